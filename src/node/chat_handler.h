// Handles chat completion calls: validation, admission, acceptance, and the
// answer.
#ifndef OLEANDER_NODE_CHAT_HANDLER_H_
#define OLEANDER_NODE_CHAT_HANDLER_H_

#include <memory>

#include "absl/random/random.h"
#include "absl/status/statusor.h"
#include "io/event_loop.h"
#include "io/http_server.h"
#include "node/admission_gate.h"
#include "node/chat_request.h"
#include "node/dispatcher.h"
#include "node/metrics.h"
#include "node/request_driver.h"
#include "oleander/profiles.h"
#include "oleander/routing.h"

namespace oleander::node {

struct ChatHandlerParts {
  io::EventLoop& loop;
  RequestDriver& requests;
  Dispatcher& dispatcher;
  AdmissionGate& admission;
  Router& router;
  ProfileStore& profiles;
  Metrics& metrics;
};

class ChatHandler {
 public:
  explicit ChatHandler(const ChatHandlerParts& parts) : parts_(parts) {}

  void Handle(const std::shared_ptr<io::HttpExchange>& exchange);

 private:
  // A call that has not been accepted yet.
  struct Call;

  absl::StatusOr<std::shared_ptr<Call>> Check(
      const std::shared_ptr<io::HttpExchange>& exchange);
  void RequestAdmission(const std::shared_ptr<Call>& call);
  void Accept(const std::shared_ptr<Call>& call);
  void OnAccepted(const std::shared_ptr<Call>& call,
                  const AcceptResult& result);
  void Refuse(const std::shared_ptr<Call>& call, const absl::Status& status);
  AdmissionQuery AdmissionQueryOf(const Call& call,
                                  Duration expected_first_token) const;
  absl::StatusOr<Route> ExpectedRoute(const Call& call);

  ChatHandlerParts parts_;
  absl::BitGen random_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_CHAT_HANDLER_H_
