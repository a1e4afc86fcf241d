// The workload that the load tool runs, and the seeded plan that is made from
// it.
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

// Returns the name in workload files and reports, such as "chat_stream".
std::string_view KindName(OperationKind kind);

struct EntryAddress {
  std::string address;  // An IP address.
  uint16_t port = 0;
};

// A period of the run with a constant arrival rate.
struct Phase {
  Duration until{};  // From the start of the run.
  double per_second = 0;
};

struct WorkspaceLoad {
  std::string name;
  double weight = 1;
  int prefix_words = 0;  // Length of the prefix that its prompts share.
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
  bool poisson = true;  // If false, arrivals are evenly spaced.
  std::vector<Phase> phases;
  std::vector<WorkspaceLoad> workspaces;
  std::vector<double> mix = std::vector<double>(kOperationKinds, 0);
  ChatShape chat;
  ChatShape review;
  std::string desk_service;
  // Reads the balance from the entry instance that took the deposit; if false,
  // from another one.
  bool read_where_written = false;
  Duration recover_within = std::chrono::seconds(30);
  Duration end_within = std::chrono::seconds(60);  // After the last arrival.
  Duration first_token_target = std::chrono::milliseconds(1500);
};

// One operation of the plan. It starts at its time, regardless of whether
// earlier operations have ended (open loop).
struct PlannedOperation {
  OperationKind kind = OperationKind::kChatStream;
  int number = 0;
  Duration at{};  // From the start of the run.
  std::string workspace;
  std::string prompt;  // Chats and reviews only.
  int max_tokens = 0;
  int amount = 0;  // Deposits only.
};

// Parses a workload (JSON with comments); the error lists every problem.
absl::StatusOr<Workload> ParseWorkload(std::string_view text,
                                       std::string_view source);

// Returns all operations in order of arrival; the same seed gives the same
// plan.
std::vector<PlannedOperation> PlanOperations(const Workload& workload);

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_WORKLOAD_H_
