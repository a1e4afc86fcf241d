// One operation of the load: everything that a real caller does until it has
// its answer or knows that it will not get one.
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
  kOpen,      // Has not ended.
  kAnswered,  // The complete correct answer arrived.
  kRefused,   // An error said that the request did not run.
  kUnknown,   // Never accepted; the caller does not know whether it ran.
  kLost,      // Accepted, but the answer never arrived.
  kWrong,     // An incorrect answer arrived.
};

std::string_view OutcomeName(Outcome outcome);

struct OperationResult {
  OperationKind kind = OperationKind::kChatStream;
  std::string workspace;
  Duration intended{};  // Planned arrival, from the start of the run.
  Outcome outcome = Outcome::kOpen;
  bool accepted = false;
  std::string request_id;
  std::string prompt_hash;  // Chats and reviews only.
  // Deposits only: the note in the body, and the idempotency key if any.
  std::string marker;
  int code = 0;  // The last result code received.
  std::string detail;
  int64_t retry_after_ms = -1;  // -1 if the error had none.
  Duration first_token{-1};     // Since the planned arrival; negative if none.
  Duration end{-1};             // Since the planned arrival; negative if open.
  std::vector<float> token_gaps_ms;
  int tokens = 0;
  int moved = 0;
  int reconnects = 0;
  bool stale_read = false;
  bool ran_twice = false;  // Two answers for one key named different runs.
};

// The objects that all operations of a run share.
struct OperationContext {
  io::EventLoop* loop;
  io::HttpClient* client;
  Entries* entries;
  const Workload* workload;
  Time started;

  Duration elapsed() const;  // Since the start of the run.
};

class Operation {
 public:
  virtual ~Operation() = default;
  // Called once, at the planned arrival or as soon as possible after it.
  virtual void Start() = 0;

  const OperationResult& result() const { return result_; }

 protected:
  Operation(OperationContext context, const PlannedOperation& plan,
            std::function<void()> on_end);

  // Ends the operation; later calls have no effect.
  void End(Outcome outcome, std::string detail = "");
  bool ended() const { return result_.outcome != Outcome::kOpen; }
  Duration since_intended() const;  // Since the planned arrival.
  // Runs `callback` after `delay`; replaces an earlier callback that is
  // pending.
  void Later(Duration delay, std::function<void()> callback);
  // Stores the code and retry_after_ms of an error body in the result. Returns
  // its `ran`, which is "unknown" if the body is no error.
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
