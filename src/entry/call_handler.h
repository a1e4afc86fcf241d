// Takes callers' requests: who asks, on which route, with how much time; then
// either a refusal at once or a ForwardedCall.
#ifndef OLEANDER_ENTRY_CALL_HANDLER_H_
#define OLEANDER_ENTRY_CALL_HANDLER_H_

#include <memory>

#include "absl/status/status.h"
#include "entry/call_context.h"
#include "entry/forwarded_call.h"
#include "io/http_server.h"

namespace oleander::entry {

class CallHandler {
 public:
  explicit CallHandler(CallContext& context) : context_(context) {}

  void Handle(std::shared_ptr<io::HttpExchange> exchange);

 private:
  // Fills in `call`, or tells why the request is refused.
  absl::Status Accept(AcceptedCall& call) const;
  absl::Status FindRoute(AcceptedCall& call) const;
  absl::Status FindWorkspace(AcceptedCall& call) const;
  // Takes the call out of its workspace's quota.
  absl::Status TakeQuota(const AcceptedCall& call) const;
  // Whether "unknown" may be said of a route or credential: an instance that
  // may lag behind can't know.
  bool knows_newest() const;
  void Refuse(const AcceptedCall& call, const absl::Status& status) const;

  CallContext& context_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CALL_HANDLER_H_
