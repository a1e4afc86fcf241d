// Accepts callers' requests: determines the route, workspace and deadline of
// each request, then either refuses it at once or starts a ForwardedCall.
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
  // Serves a request that a peer relays, because it is cut off from the
  // servers. The peer has taken the quota.
  void HandleFromPeer(std::shared_ptr<io::HttpExchange> exchange);
  // Refuses a request whose body was not read.
  void RefuseBody(std::shared_ptr<io::HttpExchange> exchange,
                  const absl::Status& status) const;
  // Processes the parked requests if the configuration and the servers are now
  // known.
  void Resume();
  // Sends each open call its final answer, because the process is about to end.
  // Returns their number.
  size_t EndOpenCalls();
  // This instance has been cut off from the servers.
  void OnCutOff();

 private:
  // A request that arrived before the configuration and the servers were known.
  struct Parked {
    std::shared_ptr<io::HttpExchange> exchange;
    Time arrived;
  };

  bool is_initialized() const {
    return context_.config != nullptr && context_.listed.has_listing();
  }
  void Process(std::shared_ptr<io::HttpExchange> exchange, Time arrived,
               bool from_peer = false);
  void Park(std::shared_ptr<io::HttpExchange> exchange);
  void Forward(AcceptedCall call);
  // Forwards the call if the quota admitted it (`retry_after` is empty), else
  // refuses it. Refunds the cost if the caller disconnected meanwhile.
  void OnQuota(AcceptedCall call, double cost,
               const std::optional<Duration>& retry_after);
  // Fills in `call`. Returns an error if the request has to be refused.
  absl::Status Accept(AcceptedCall& call) const;
  // Returns an error if the configuration here is older than that of the peer
  // that relays the call.
  static absl::Status CheckConfigOfPeer(const AcceptedCall& call);
  absl::Status FindRoute(AcceptedCall& call) const;
  absl::Status FindWorkspace(AcceptedCall& call) const;
  // Returns the call's cost in its workspace's quota; 0 if there is no quota.
  static double QuotaCostOf(const AcceptedCall& call);
  // Returns whether the configuration is recent enough to reject a route or
  // credential as unknown. An older configuration may lack it.
  bool config_is_recent() const;
  void Refuse(const AcceptedCall& call, const absl::Status& status) const;

  CallContext& context_;
  std::vector<Parked> parked_;
  io::Timer parked_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CALL_HANDLER_H_
