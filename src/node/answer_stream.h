// Writes one answer to one caller, either as server-sent events or as a single
// JSON document when the answer has ended.
#ifndef OLEANDER_NODE_ANSWER_STREAM_H_
#define OLEANDER_NODE_ANSWER_STREAM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "io/http_server.h"
#include "node/metrics.h"
#include "node/request_driver.h"
#include "oleander/types.h"

namespace oleander::node {

enum class AnswerForm { kEvents, kWhole };

struct AnswerStreamOptions {
  RequestId id;
  std::string model;
  std::string service;  // For metrics.
  AnswerForm form = AnswerForm::kEvents;
  uint64_t from = 0;    // Index of the first event to send.
  io::Headers headers;  // Additional response headers.
};

// Follows a request and writes to the exchange until the answer ends, the
// request moves to another instance, or the caller disconnects. While the
// caller reads slowly, the stream ignores new events; it follows the request
// again from the same event later. So an answer is buffered only in the request
// table and not a second time here.
class AnswerStream : public std::enable_shared_from_this<AnswerStream> {
 public:
  static std::shared_ptr<AnswerStream> Start(
      RequestDriver& driver, Metrics& metrics,
      std::shared_ptr<io::HttpExchange> exchange, AnswerStreamOptions options);

 private:
  AnswerStream(RequestDriver& driver, Metrics& metrics,
               std::shared_ptr<io::HttpExchange> exchange,
               AnswerStreamOptions options);

  void Begin();
  void Follow();
  void OnEvents(uint64_t first_index, const std::vector<std::string>& events);
  void WriteEvents(const std::vector<std::string>& events);
  void PauseIfSlow();
  void OnDrained();
  void OnDisconnected();
  void OnEnd(const RequestEnd& end);
  void EndEvents(const RequestEnd& end);
  void EndWhole(const RequestEnd& end);
  void OnMoved(uint64_t next, const InstanceId& to);
  io::Headers AllHeaders() const;

  RequestDriver& driver_;
  Metrics& metrics_;
  std::shared_ptr<io::HttpExchange> exchange_;
  AnswerStreamOptions options_;
  uint64_t next_;
  FollowerId follower_{};
  bool paused_ = false;
  bool ended_ = false;
  std::string text_;  // The answer so far, for AnswerForm::kWhole.
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_ANSWER_STREAM_H_
