// One operation of the load: what a real caller does until it has its answer
// or knows that it will not get one.
#ifndef OLEANDER_APPS_LOAD_OPERATION_H_
#define OLEANDER_APPS_LOAD_OPERATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/event_loop.h"
#include "io/http_client.h"
#include "load/entries.h"
#include "load/workload.h"

namespace oleander::load {

enum class Outcome {
  kOpen,      // Not ended yet.
  kAnswered,  // The whole right answer.
  kRefused,   // Told that it did not run.
  kUnknown,   // Never accepted, and not told whether it ran.
  kLost,      // Accepted, and the answer never came.
  kWrong,     // An answer that is not the right one.
};

std::string_view OutcomeName(Outcome outcome);

struct OperationResult {
  OperationKind kind = OperationKind::kChatStream;
  std::string workspace;
  Duration intended{};  // Arrival, from the start of the run.
  Outcome outcome = Outcome::kOpen;
  bool accepted = false;
  std::string request_id;
  std::string prompt_hash;  // Of chats.
  std::string marker;       // Of deposits: in the body, and the key if any.
  int code = 0;             // The last result code that was told.
  std::string detail;
  int64_t retry_after_ms = -1;
  Duration first_token{-1};  // From the intended arrival.
  Duration end{-1};          // The same.
  std::vector<float> token_gaps_ms;
  int tokens = 0;
  int moved = 0;
  int reconnects = 0;
  bool stale_read = false;
  bool ran_twice = false;  // Two answers of one key named different runs.
};

// What operations share.
struct OperationContext {
  io::EventLoop* loop;
  io::HttpClient* client;
  Entries* entries;
  const Workload* workload;
  Time started;

  Duration elapsed() const;
};

class Operation {
 public:
  virtual ~Operation() = default;
  // Called once, at the intended arrival or as soon after it as can be.
  virtual void Start() = 0;

  const OperationResult& result() const { return result_; }

 protected:
  Operation(OperationContext context, const PlannedOperation& plan,
            std::function<void()> on_end);

  // Ends the operation; later calls change nothing.
  void End(Outcome outcome, std::string detail = "");
  bool ended() const { return result_.outcome != Outcome::kOpen; }
  Duration since_intended() const;
  void Later(Duration delay, std::function<void()> callback);
  // Takes code, `ran` and retry_after_ms from an error body; returns `ran`.
  std::string ReadError(const std::string& body);
  io::HttpCallRequest RequestTo(size_t entry, std::string method,
                                std::string target) const;

  OperationContext context_;
  const PlannedOperation& plan_;
  OperationResult result_;

 private:
  std::function<void()> on_end_;
  io::Timer timer_;
};

std::unique_ptr<Operation> MakeOperation(OperationContext context,
                                         const PlannedOperation& plan,
                                         std::function<void()> on_end);

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_OPERATION_H_
