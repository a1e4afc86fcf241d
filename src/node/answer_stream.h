// Writes one answer to one caller: as server-sent events, or whole at its end.
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
  uint64_t from = 0;    // The first event that the caller lacks.
  io::Headers headers;  // Of the answer, besides the request id.
};

// Follows a request and writes to the exchange until the answer ends, moves to
// another instance, or the caller goes. While the caller reads slowly it stops
// following and goes on from the same event later, so that an answer is never
// buffered twice.
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
  void OnGone();
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
  std::string text_;  // Of a whole answer.
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_ANSWER_STREAM_H_
