// Takes callers' requests: who asks, on which route, with how much time; then
// either a refusal at once or a ForwardedCall.
#ifndef OLEANDER_ENTRY_CALL_HANDLER_H_
#define OLEANDER_ENTRY_CALL_HANDLER_H_

#include <memory>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "entry/call_context.h"
#include "entry/forwarded_call.h"
#include "io/http_server.h"

namespace oleander::entry {

class CallHandler {
 public:
  explicit CallHandler(CallContext& context) : context_(context) {}

  void Handle(std::shared_ptr<io::HttpExchange> exchange);
  // The configuration or the servers became known: what came too early for them
  // is taken up.
  void Resume();

 private:
  // A request that arrived before anything was known.
  struct Parked {
    std::shared_ptr<io::HttpExchange> exchange;
    Time arrived;
  };

  bool is_initialized() const {
    return context_.config != nullptr && context_.listed.has_listing();
  }
  void Process(std::shared_ptr<io::HttpExchange> exchange, Time arrived);
  void Park(std::shared_ptr<io::HttpExchange> exchange);
  void Forward(AcceptedCall call);
  // The quota's word on a call: it passes, or its caller comes back later.
  void OnQuota(AcceptedCall call, double cost,
               const std::optional<Duration>& retry_after);
  // Fills in `call`, or tells why the request is refused.
  absl::Status Accept(AcceptedCall& call) const;
  absl::Status FindRoute(AcceptedCall& call) const;
  absl::Status FindWorkspace(AcceptedCall& call) const;
  // What the call takes out of its workspace's quota; 0 without a quota.
  static double QuotaCostOf(const AcceptedCall& call);
  // Whether "unknown" may be said of a route or credential: an instance that
  // may lag behind can't know.
  bool config_is_recent() const;
  void Refuse(const AcceptedCall& call, const absl::Status& status) const;

  CallContext& context_;
  std::vector<Parked> parked_;
  io::Timer parked_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CALL_HANDLER_H_
