// The callers' HTTP API: which path is whose.
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

// Reading and cancelling requests by id; the operator API offers the same.
class RequestApi {
 public:
  RequestApi(RequestDriver& requests, Metrics& metrics)
      : requests_(requests), metrics_(metrics) {}

  // `parts` are the parts of a path below /v1/requests.
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
  // Why the balancer should send nothing here; empty when it should.
  std::function<std::string()> not_ready;
};

class CallerApi {
 public:
  explicit CallerApi(CallerApiParts parts) : parts_(std::move(parts)) {}

  void Handle(const std::shared_ptr<io::HttpExchange>& exchange);

 private:
  CallerApiParts parts_;
};

// /healthz and /readyz, on both listeners. Returns whether the path was one of
// them.
bool HandleHealth(const std::shared_ptr<io::HttpExchange>& exchange,
                  const std::function<std::string()>& not_ready);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_CALLER_API_H_
