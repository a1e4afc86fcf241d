#include "load/chat_operation.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/shared_answer.h"

namespace oleander::load {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kSeeOther = 303;
constexpr int kGone = 410;
constexpr int kMaxPosts = 5;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
constexpr Duration kPollPeriod = std::chrono::milliseconds(300);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kProgressTimeout = std::chrono::seconds(20);

}  // namespace

ChatOperation::ChatOperation(OperationContext context,
                             const PlannedOperation& plan,
                             std::function<void()> on_end)
    : Operation(context, plan, std::move(on_end)), backoff_(kFirstBackoff) {
  result_.prompt_hash = standins::PromptHash(plan.prompt);
}

bool ChatOperation::uses_stream() const {
  // Every second review is followed as a stream; the others are polled.
  return plan_.kind == OperationKind::kChatStream ||
         (is_review() && plan_.number % 2 == 0);
}

void ChatOperation::Start() {
  entry_ = context_.entries->Pick();
  Post();
}

void ChatOperation::Post() {
  ++posts_;
  stage_ = Stage::kPosting;
  const ChatShape& shape =
      is_review() ? context_.workload->review : context_.workload->chat;
  io::HttpCallRequest request =
      RequestTo(entry_, "POST", "/v1/chat/completions");
  request.headers.push_back({"content-type", "application/json"});
  request.headers.push_back({"oleander-service", shape.service});
  if (is_review()) {
    request.headers.push_back({"prefer", "respond-async"});
  }
  if (context_.workload->direct) {
    request.headers.push_back({"x-request-id", result_.prompt_hash});
  }
  request.body =
      Json{{"model", shape.model},
           {"stream", plan_.kind == OperationKind::kChatStream},
           {"max_tokens", plan_.max_tokens},
           {"messages", {{{"role", "user"}, {"content", plan_.prompt}}}}}
          .dump();
  Call(std::move(request));
}

void ChatOperation::Call(io::HttpCallRequest request) {
  status_ = 0;
  moving_ = false;
  body_.clear();
  reader_.Reset();
  request.options.connect_timeout = kConnectTimeout;
  request.options.head_timeout = context_.workload->recover_within;
  request.options.progress_timeout = kProgressTimeout;
  // This function may run in a callback of the earlier call, so that call is
  // destroyed from the event loop.
  context_.loop->Post([earlier = std::move(call_)] {});
  call_ = context_.client->Start(
      std::move(request),
      {.on_sent = nullptr,
       .on_head = [this](
                      int status,
                      const io::Headers& headers) { OnHead(status, headers); },
       .on_body = [this](std::string_view chunk) { OnBody(chunk); },
       .on_end = [this](const io::HttpCallEnd& end) { OnEnd(end); }});
}

void ChatOperation::OnHead(int status, const io::Headers& headers) {
  status_ = status;
  const auto id = io::FindHeader(headers, "oleander-request-id");
  const bool accepted =
      status == kOk || status == kAccepted || status == kSeeOther;
  if (stage_ == Stage::kPosting && accepted && id) {
    result_.accepted = true;
    result_.request_id = *id;
  }
  if (context_.workload->direct && status == kOk) {
    result_.accepted = true;
    result_.request_id = result_.prompt_hash;
  }
}

void ChatOperation::OnBody(std::string_view chunk) {
  const bool events =
      status_ == kOk &&
      (stage_ == Stage::kStreaming ||
       (stage_ == Stage::kPosting && plan_.kind == OperationKind::kChatStream));
  if (!events) {
    body_ += chunk;
    return;
  }
  reader_.Feed(chunk, [this](const SseEvent& event) { OnEvent(event); });
}

void ChatOperation::OnEnd(const io::HttpCallEnd& end) {
  if (ended() || moving_) {
    return;
  }
  if (!end.status.ok()) {
    if (stage_ == Stage::kPosting && !result_.accepted) {
      OnPostFailed(end);
    } else {
      result_.detail = end.status.ToString();
      Recover();
    }
    return;
  }
  if (stage_ == Stage::kPosting) {
    OnPostAnswered();
  } else {
    OnFollowAnswered();
  }
}

void ChatOperation::OnPostFailed(const io::HttpCallEnd& end) {
  if (end.sent || posts_ >= kMaxPosts) {
    End(Outcome::kUnknown, end.status.ToString());
    return;
  }
  entry_ = context_.entries->Pick(static_cast<int>(entry_));
  Later(kFirstBackoff, [this] { Post(); });
}

void ChatOperation::OnPostAnswered() {
  if (status_ == kOk && is_whole()) {
    const Json json = Json::parse(body_, nullptr, false);
    const Json::json_pointer content("/choices/0/message/content");
    CheckWholeAnswer(json.is_object() && json.contains(content) &&
                             json[content].is_string()
                         ? json[content].get<std::string>()
                         : "");
    return;
  }
  if (status_ == kOk && plan_.kind == OperationKind::kChatStream) {
    result_.detail = "the stream ended without [DONE]";
    Recover();
    return;
  }
  if ((status_ == kAccepted || status_ == kSeeOther) && result_.accepted) {
    Follow();
    return;
  }
  const std::string ran = ReadError(body_);
  End(ran == "no" ? Outcome::kRefused : Outcome::kUnknown,
      fmt::format("status {} code {}", status_, result_.code));
}

void ChatOperation::Follow() {
  entry_ = context_.entries->Pick(static_cast<int>(entry_));
  stage_ = uses_stream() ? Stage::kStreaming : Stage::kPolling;
  std::string target = "/v1/requests/" + result_.request_id;
  if (uses_stream()) {
    target += fmt::format("/stream?from={}", next_);
  }
  Call(RequestTo(entry_, "GET", std::move(target)));
}

void ChatOperation::OnFollowAnswered() {
  if (status_ == kOk && stage_ == Stage::kPolling) {
    OnState();
    return;
  }
  if (status_ == kGone) {
    End(Outcome::kLost, "HTTP 410 for an accepted request");
    return;
  }
  if (status_ != kOk) {
    ReadError(body_);
  }
  result_.detail = fmt::format("following the request: status {} code {}",
                               status_, result_.code);
  Recover();
}

void ChatOperation::OnState() {
  const Json json = Json::parse(body_, nullptr, false);
  const std::string state =
      json.is_object() ? json.value("state", "") : std::string();
  if (state == "done") {
    CheckWholeAnswer(json.value("text", ""));
    return;
  }
  if (state == "failed" || state == "cancelled") {
    ReadError(body_);
    End(Outcome::kLost, fmt::format("{} code {}", state, result_.code));
    return;
  }
  recovering_since_ = Duration(-1);
  backoff_ = kFirstBackoff;
  Later(kPollPeriod, [this] { Follow(); });
}

void ChatOperation::OnEvent(const SseEvent& event) {
  if (ended() || moving_) {
    return;
  }
  if (event.type == "moved") {
    ++result_.moved;
    recovering_since_ = Duration(-1);
    moving_ = true;
    Later(Duration::zero(), [this] { Follow(); });
    return;
  }
  if (event.type == "error") {
    const std::string ran = ReadError(event.data);
    End(Outcome::kLost,
        fmt::format("error event: code {} ran {}", result_.code, ran));
    return;
  }
  if (event.data == "[DONE]") {
    OnDone();
    return;
  }
  OnToken(event);
}

void ChatOperation::RecordTokenTime() {
  using Milliseconds = std::chrono::duration<float, std::milli>;
  const Time now = context_.loop->now();
  if (next_ == 0) {
    result_.first_token = since_intended();
  } else {
    result_.token_gaps_ms.push_back(Milliseconds(now - last_token_).count());
  }
  last_token_ = now;
}

void ChatOperation::OnToken(const SseEvent& event) {
  const Json json = Json::parse(event.data, nullptr, false);
  const Json::json_pointer content("/choices/0/delta/content");
  const Json::json_pointer finish("/choices/0/finish_reason");
  if (!json.is_object() || json.value("id", "") != result_.request_id) {
    EndAsWrong("an event with another request id: " +
               event.data.substr(0, 200));
    return;
  }
  finish_seen_ |= json.contains(finish) && json[finish].is_string();
  if (finish_seen_ && !json.contains(content)) {
    return;  // The event carries only the finish reason.
  }
  if (!json.contains(content) || !json[content].is_string()) {
    EndAsWrong("an event without content: " + event.data.substr(0, 200));
    return;
  }
  if (event.id != next_) {
    EndAsWrong(fmt::format("event {} received, expected {}",
                           event.id.value_or(-1), next_));
    return;
  }
  if (json[content] !=
      standins::AnswerToken(plan_.prompt, static_cast<uint64_t>(next_))) {
    EndAsWrong(fmt::format("token {} is {}, not the expected one", next_,
                           json[content].dump()));
    return;
  }
  RecordTokenTime();
  ++next_;
  ++result_.tokens;
  recovering_since_ = Duration(-1);
  backoff_ = kFirstBackoff;
}

void ChatOperation::OnDone() {
  if (next_ != plan_.max_tokens || !finish_seen_) {
    EndAsWrong(
        fmt::format("[DONE] after {} of {} tokens, or without a finish reason",
                    next_, plan_.max_tokens));
    return;
  }
  End(Outcome::kAnswered);
}

void ChatOperation::CheckWholeAnswer(const std::string& text) {
  if (text != standins::AnswerText(plan_.prompt, 0,
                                   static_cast<uint64_t>(plan_.max_tokens))) {
    EndAsWrong(fmt::format(
        "the answer of {} bytes differs from the expected text", text.size()));
    return;
  }
  result_.tokens = plan_.max_tokens;
  End(Outcome::kAnswered);
}

void ChatOperation::EndAsWrong(std::string detail) {
  End(Outcome::kWrong, std::move(detail));
}

void ChatOperation::Recover() {
  if (context_.workload->direct) {
    End(Outcome::kLost, result_.detail);
    return;
  }
  const Duration now = context_.elapsed();
  if (recovering_since_ < Duration::zero()) {
    recovering_since_ = now;
  }
  if (now - recovering_since_ > context_.workload->recover_within) {
    End(Outcome::kLost, "not recovered in time: " + result_.detail);
    return;
  }
  ++result_.reconnects;
  Later(backoff_, [this] { Follow(); });
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

}  // namespace oleander::load
