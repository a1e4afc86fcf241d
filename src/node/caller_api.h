// The callers' HTTP API: dispatches each path to its handler.
#ifndef OLEANDER_NODE_CALLER_API_H_
#define OLEANDER_NODE_CALLER_API_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/http_server.h"
#include "node/chat_handler.h"
#include "node/metrics.h"
#include "node/plain_handler.h"
#include "node/request_driver.h"

namespace oleander::node {

// Reads and cancels requests by id. The operator API uses it too.
class RequestApi {
 public:
  RequestApi(RequestDriver& requests, Metrics& metrics)
      : requests_(requests), metrics_(metrics) {}

  // `parts` are the path segments after /v1/requests.
  void Handle(const std::shared_ptr<io::HttpExchange>& exchange,
              const std::vector<std::string>& parts);

 private:
  void Show(const std::shared_ptr<io::HttpExchange>& exchange,
            const RequestId& id);
  void Stream(const std::shared_ptr<io::HttpExchange>& exchange,
              const RequestId& id);
  void Cancel(const std::shared_ptr<io::HttpExchange>& exchange,
              const RequestId& id);

  RequestDriver& requests_;
  Metrics& metrics_;
};

struct CallerApiParts {
  ChatHandler& chat;
  PlainHandler& plain;
  RequestApi& requests;
  // Returns why a load balancer should send no calls to this instance, or an
  // empty string if it may.
  std::function<std::string()> not_ready;
};

class CallerApi {
 public:
  explicit CallerApi(CallerApiParts parts) : parts_(std::move(parts)) {}

  void Handle(const std::shared_ptr<io::HttpExchange>& exchange);

 private:
  CallerApiParts parts_;
};

// Answers /healthz and /readyz, which both listeners serve. Returns whether the
// path was one of them.
bool HandleHealth(const std::shared_ptr<io::HttpExchange>& exchange,
                  const std::function<std::string()>& not_ready);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_CALLER_API_H_
