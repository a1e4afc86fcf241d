// A chat or a long review, whose answer is streamed, sent whole, or fetched
// later.
#ifndef OLEANDER_APPS_LOAD_CHAT_OPERATION_H_
#define OLEANDER_APPS_LOAD_CHAT_OPERATION_H_

#include <memory>
#include <string>
#include <string_view>

#include "load/operation.h"
#include "load/sse_reader.h"

namespace oleander::load {

// Sends the request, checks every token against the expected one, and
// continues at another entry instance after a `moved` event, a 303 or a lost
// connection.
class ChatOperation : public Operation {
 public:
  ChatOperation(OperationContext context, const PlannedOperation& plan,
                std::function<void()> on_end);

  void Start() override;

 private:
  enum class Stage { kPosting, kStreaming, kPolling };

  void Post();
  // Streams or polls the accepted request at another entry instance.
  void Follow();
  void Call(io::HttpCallRequest request);
  void OnHead(int status, const io::Headers& headers);
  void OnBody(std::string_view chunk);
  void OnEnd(const io::HttpCallEnd& end);
  void OnPostFailed(const io::HttpCallEnd& end);
  void OnPostAnswered();
  void OnFollowAnswered();
  void OnState();
  void OnEvent(const SseEvent& event);
  void OnToken(const SseEvent& event);
  void OnDone();
  // Follows the request again after a backoff; ends the operation as lost
  // after the workload's recover_within, or at once in direct mode.
  void Recover();
  void EndAsWrong(std::string detail);
  void CheckWholeAnswer(const std::string& text);
  // Records the time to the first token or the gap since the previous one.
  void RecordTokenTime();
  bool is_whole() const { return plan_.kind == OperationKind::kChatWhole; }
  bool is_review() const { return plan_.kind == OperationKind::kLongReview; }
  bool uses_stream() const;

  std::shared_ptr<io::HttpCall> call_;
  Stage stage_ = Stage::kPosting;
  size_t entry_ = 0;
  int posts_ = 0;
  int status_ = 0;
  std::string body_;
  SseReader reader_;
  int next_ = 0;  // Index of the next expected token.
  bool finish_seen_ = false;
  // A `moved` event has arrived; further events of this call are ignored.
  bool moving_ = false;
  Time last_token_;
  Duration recovering_since_{-1};  // Negative when not recovering.
  Duration backoff_;
};

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_CHAT_OPERATION_H_
