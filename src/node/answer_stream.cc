#include "node/answer_stream.h"

#include <fmt/format.h>

#include <utility>

#include "io/log.h"
#include "node/chat_request.h"
#include "node/http_answers.h"
#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr int kOkStatus = 200;
constexpr int kSeeOther = 303;
// Unsent bytes to one caller above which its stream pauses.
constexpr size_t kMaxUnsentBytes = 64 << 10;

}  // namespace

std::shared_ptr<AnswerStream> AnswerStream::Start(
    RequestDriver& driver, Metrics& metrics,
    std::shared_ptr<io::HttpExchange> exchange, AnswerStreamOptions options) {
  // make_shared can't call the private constructor.
  std::shared_ptr<AnswerStream> stream(new AnswerStream(
      driver, metrics, std::move(exchange), std::move(options)));
  stream->Begin();
  return stream;
}

AnswerStream::AnswerStream(RequestDriver& driver, Metrics& metrics,
                           std::shared_ptr<io::HttpExchange> exchange,
                           AnswerStreamOptions options)
    : driver_(driver),
      metrics_(metrics),
      exchange_(std::move(exchange)),
      options_(std::move(options)),
      next_(options_.from) {}

void AnswerStream::Begin() {
  exchange_->OnDisconnected(
      [self = shared_from_this()] { self->OnDisconnected(); });
  if (options_.form == AnswerForm::kEvents) {
    exchange_->OnDrained([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnDrained();
      }
    });
    exchange_->Begin(kOkStatus, AllHeaders());
  }
  Follow();
  if (exchange_->closed()) {
    // The caller disconnected before the request was accepted.
    OnDisconnected();
  }
}

void AnswerStream::Follow() {
  const auto self = shared_from_this();
  AnswerReader reader;
  reader.on_events = [self](uint64_t first_index,
                            const std::vector<std::string>& events) {
    self->OnEvents(first_index, events);
  };
  reader.on_end = [self](const RequestEnd& end) { self->OnEnd(end); };
  reader.on_moved = [self](uint64_t next, const InstanceId& to) {
    self->OnMoved(next, to);
  };
  follower_ = driver_.Follow(options_.id, next_, FollowMode::kStream,
                             std::move(reader));
}

void AnswerStream::OnEvents(uint64_t first_index,
                            const std::vector<std::string>& events) {
  if (ended_ || paused_) {
    return;
  }
  const bool continuous =
      CheckInvariant(first_index == next_, "answer_continuous", [&] {
        return fmt::format("Request {} was at event {} and got event {}.",
                           options_.id.value(), next_, first_index);
      });
  if (!continuous) {
    return;
  }
  if (options_.form == AnswerForm::kEvents) {
    WriteEvents(events);
  } else {
    for (const std::string& event : events) {
      text_ += event;
    }
  }
  next_ += events.size();
  PauseIfSlow();
}

void AnswerStream::WriteEvents(const std::vector<std::string>& events) {
  std::string chunk;
  uint64_t index = next_;
  for (const std::string& event : events) {
    fmt::format_to(std::back_inserter(chunk), "id: {}\ndata: {}\n\n", index,
                   ChunkData(options_.id, options_.model, event));
    ++index;
  }
  exchange_->Write(chunk);
}

void AnswerStream::PauseIfSlow() {
  if (options_.form == AnswerForm::kEvents &&
      exchange_->pending_bytes() > kMaxUnsentBytes) {
    paused_ = true;
  }
}

void AnswerStream::OnDrained() {
  if (ended_ || !paused_) {
    return;
  }
  paused_ = false;
  const FollowerId earlier = follower_;
  // Adds the new reader before it removes the earlier one, so that the request
  // always has a reader. If the answer has ended meanwhile, the earlier reader
  // is removed already.
  Follow();
  driver_.Unfollow(earlier);
}

void AnswerStream::OnDisconnected() {
  if (std::exchange(ended_, true)) {
    return;
  }
  driver_.Unfollow(follower_);
}

void AnswerStream::OnEnd(const RequestEnd& end) {
  if (ended_) {
    return;
  }
  if (paused_) {
    // OnDrained() follows the request again and gets the remaining events.
    return;
  }
  ended_ = true;
  metrics_.CountAnswer(options_.service, CodeOf(end.status));
  if (!end.status.ok()) {
    io::Log(io::LogLevel::kInfo, "request.failed",
            {{"request", options_.id.value()},
             {"code", static_cast<int>(CodeOf(end.status))},
             {"message", std::string(end.status.message())}});
  }
  if (options_.form == AnswerForm::kEvents) {
    EndEvents(end);
  } else {
    EndWhole(end);
  }
}

void AnswerStream::EndEvents(const RequestEnd& end) {
  if (end.status.ok()) {
    exchange_->Write(fmt::format(
        "id: {}\ndata: {}\n\ndata: [DONE]\n\n", next_,
        FinishData(options_.id, options_.model, end.finish_reason)));
  } else {
    exchange_->Write(
        fmt::format("event: error\ndata: {}\n\n", ErrorBody(end.status)));
  }
  exchange_->End();
}

void AnswerStream::EndWhole(const RequestEnd& end) {
  if (!end.status.ok()) {
    RespondError(*exchange_, end.status, AllHeaders());
    return;
  }
  exchange_->Respond(
      kOkStatus, AllHeaders(),
      WholeAnswer(options_.id, options_.model, text_, end.finish_reason));
}

void AnswerStream::OnMoved(uint64_t next, const InstanceId& to) {
  if (std::exchange(ended_, true)) {
    return;
  }
  io::Log(
      io::LogLevel::kInfo, "request.moved",
      {{"request", options_.id.value()}, {"to", to.value()}, {"next", next}});
  if (options_.form == AnswerForm::kEvents) {
    exchange_->Write(
        fmt::format("event: moved\ndata: {{\"id\":\"{}\",\"from\":{}}}\n\n",
                    options_.id.value(), next_));
    exchange_->End();
    return;
  }
  io::Headers headers = {
      {.name = "location", .value = "/v1/requests/" + options_.id.value()},
      {.name = "oleander-request-id", .value = options_.id.value()}};
  exchange_->Respond(kSeeOther, std::move(headers), "");
}

io::Headers AnswerStream::AllHeaders() const {
  io::Headers headers = options_.headers;
  headers.push_back(
      {.name = "oleander-request-id", .value = options_.id.value()});
  if (options_.form == AnswerForm::kEvents) {
    headers.push_back({.name = "content-type", .value = "text/event-stream"});
    headers.push_back({.name = "cache-control", .value = "no-cache"});
  } else {
    headers.push_back({.name = "content-type", .value = "application/json"});
  }
  return headers;
}

}  // namespace oleander::node
