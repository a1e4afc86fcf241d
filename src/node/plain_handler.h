// Handles calls of plain services: /v1/services/{service}/{path}.
#ifndef OLEANDER_NODE_PLAIN_HANDLER_H_
#define OLEANDER_NODE_PLAIN_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/status/statusor.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "node/ledger_driver.h"
#include "node/metrics.h"
#include "node/server_directory.h"
#include "oleander/profiles.h"
#include "oleander/retries.h"
#include "oleander/routing.h"

namespace oleander::node {

struct PlainHandlerParts {
  io::EventLoop& loop;
  io::HttpClient& http;
  Router& router;
  ServerDirectory& servers;
  ProfileStore& profiles;
  LedgerDriver& ledger;
  RetryBudget& retries;
  Metrics& metrics;
  // Returns whether this instance is draining.
  std::function<bool()> draining;
  // Announces an acknowledged write to the other instances of the region.
  std::function<void(const WriteMark&)> broadcast_write;
};

class PlainHandler {
 public:
  explicit PlainHandler(const PlainHandlerParts& parts) : parts_(parts) {}

  void Handle(const std::shared_ptr<io::HttpExchange>& exchange);

  // Returns the number of unanswered repeatable calls. The ledger counts the
  // other calls.
  size_t open_calls() const { return open_calls_; }

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  absl::StatusOr<CallPtr> Check(
      const std::shared_ptr<io::HttpExchange>& exchange);
  absl::StatusOr<Route> ChooseServer(Time now, const Call& call,
                                     const RouteQuery& query) const;
  void RunOnce(const CallPtr& call);
  void RunRepeatable(const CallPtr& call);
  void OnRepeatableEnd(const CallPtr& call, const ServerInfo& server,
                       uint64_t call_id, const io::HttpAnswer& answer);
  void RetryOrFail(const CallPtr& call, const absl::Status& status);
  void Answer(const CallPtr& call, int http_status,
              const std::string& content_type, const std::string& body,
              io::Headers headers);
  void Fail(const CallPtr& call, const absl::Status& error);
  void RecordWrite(const Call& call, const ServerId& server);

  PlainHandlerParts parts_;
  absl::BitGen random_;
  size_t open_calls_ = 0;
  // Starts high to be distinct from the dispatcher's ids.
  uint64_t next_call_id_ = uint64_t{1} << 62;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_PLAIN_HANDLER_H_
