// What the load tool is asked to do, and the seeded plan it makes of it.
#ifndef OLEANDER_APPS_LOAD_WORKLOAD_H_
#define OLEANDER_APPS_LOAD_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/types.h"

namespace oleander::load {

enum class OperationKind {
  kChatStream,
  kChatWhole,
  kLongReview,
  kDepositWithKey,
  kDepositWithoutKey,
  kDoubleSubmit,
  kDepositThenRead,
};

inline constexpr int kOperationKinds = 7;

// The name in workload files and reports, such as "chat_stream".
std::string_view KindName(OperationKind kind);

struct EntryAddress {
  std::string address;  // An IP number.
  uint16_t port = 0;
};

// A stretch of the run with one arrival rate.
struct Phase {
  Duration until{};  // From the start of the run.
  double per_second = 0;
};

struct WorkspaceLoad {
  std::string name;
  double weight = 1;
  int prefix_words = 0;  // Shared by all prompts of the workspace.
};

struct ChatShape {
  std::string service;
  std::string model;
  int tokens_min = 8;
  int tokens_max = 40;
  int prompt_words = 30;
};

struct Workload {
  uint64_t seed = 1;
  std::vector<EntryAddress> entries;
  bool direct = false;  // The entries are stand-in engines, not oleanderd.
  bool poisson = true;  // Else evenly spaced.
  std::vector<Phase> phases;
  std::vector<WorkspaceLoad> workspaces;
  std::vector<double> mix = std::vector<double>(kOperationKinds, 0);
  ChatShape chat;
  ChatShape review;
  std::string desk_service;
  bool read_where_written = false;  // Else through another entry instance.
  Duration recover_within = std::chrono::seconds(30);
  Duration end_within = std::chrono::seconds(60);  // After the last arrival.
  Duration first_token_target = std::chrono::milliseconds(1500);
};

// One request that will be made, whatever became of the earlier ones.
struct PlannedOperation {
  OperationKind kind = OperationKind::kChatStream;
  int number = 0;
  Duration at{};  // From the start of the run.
  std::string workspace;
  std::string prompt;  // Of chats and reviews.
  int max_tokens = 0;
  int amount = 0;  // Of deposits.
};

// Parses a workload (JSON with comments); the error lists every fault.
absl::StatusOr<Workload> ParseWorkload(std::string_view text,
                                       std::string_view source);

// All operations in order of their arrival; the same seed gives the same plan.
std::vector<PlannedOperation> PlanOperations(const Workload& workload);

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_WORKLOAD_H_
