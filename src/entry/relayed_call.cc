#include "entry/relayed_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "entry/call_answers.h"
#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Peers that are asked for a call while this instance is cut off, and for one
// that could not be sent for another reason: perhaps no instance can send it.
constexpr size_t kMaxPeers = 4;
constexpr size_t kMaxPeersIfNotCutOff = 1;
// Connecting takes some milliseconds within a region and some tens across
// regions; the remainder covers a lost packet.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// The peer answers this long before the caller's deadline, and this instance
// shortly before it.
constexpr Duration kPeerMargin = std::chrono::milliseconds(25);
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(10);
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
constexpr size_t kMaxPendingBytes = size_t{64} << 10;
constexpr int kFirstFailureStatus = 500;

// Refusals that concern the peer, not the call: another peer may serve it.
constexpr ResultCode kPeerRefusals[] = {
    ResultCode::kServersUnreachable, ResultCode::kDraining,
    ResultCode::kMemoryFull, ResultCode::kNoConfiguration,
    ResultCode::kConfigUnproven};

bool ConcernsPeer(const std::optional<ResultCode>& code) {
  return code &&
         std::ranges::find(kPeerRefusals, *code) != std::end(kPeerRefusals);
}

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

RelayedCall::RelayedCall(CallContext& context, AcceptedCall call,
                         bool may_have_run)
    : context_(context), call_(std::move(call)), may_have_run_(may_have_run) {
  context_.relayed_calls.insert(this);
}

RelayedCall::~RelayedCall() {
  context_.relayed_calls.erase(this);
  context_.collected_bytes -= body_.size();
}

void RelayedCall::Start() {
  call_.exchange->OnDisconnected(
      [self = shared_from_this()] { self->OnCallerDisconnected(); });
  deadline_timer_ = context_.loop.After(time_left() - kDeadlineMargin,
                                        [weak = weak_from_this()] {
                                          if (const auto self = weak.lock()) {
                                            self->OnDeadline();
                                          }
                                        });
  SendNext();
}

void RelayedCall::SendNext() {
  const Time now = context_.loop.now();
  const size_t most =
      context_.paths.cut_off(now) ? kMaxPeers : kMaxPeersIfNotCutOff;
  const auto peer = tried_.size() < most && time_left() > kPeerMargin
                        ? context_.relays.Choose(now, tried_)
                        : std::nullopt;
  if (peer) {
    SendTo(*peer);
  } else if (may_have_run_) {
    Fail(ResultCode::kAnswerLost,
         "The answer was lost, and no instance reaches a backend server.");
  } else {
    Refuse(ResultCode::kServersUnreachable,
           "No instance that was asked reaches a backend server.");
  }
}

void RelayedCall::SendTo(const RelayPeer& peer) {
  tried_.push_back(peer.instance);
  context_.metrics.CountRelayed();
  io::Log(io::LogLevel::kInfo, "call.relayed",
          {{"call", call_.intake.attempt},
           {"peer", peer.instance.value()},
           {"try", tried_.size()},
           {"left_ms", Milliseconds(time_left())}});
  const io::HttpRequest& inbound = call_.exchange->request();
  io::HttpCallRequest request;
  request.address = peer.address;
  request.port = context_.relay_port;
  request.method = inbound.method;
  request.target = inbound.query.empty()
                       ? inbound.path
                       : fmt::format("{}?{}", inbound.path, inbound.query);
  request.headers = context_.codec.ForPeer(
      inbound, std::max(Duration::zero(), time_left() - kPeerMargin));
  request.headers.push_back({.name = std::string(kRelayedConfigHeader),
                             .value = std::to_string(call_.config->version())});
  request.shared_body = {call_.exchange, &inbound.body};
  request.id = call_.intake.attempt;
  request.options.connect_timeout = kConnectTimeout;
  // `deadline_timer_` ends the call before these timeouts do.
  request.options.head_timeout = time_left() + std::chrono::seconds(1);
  request.options.progress_timeout = request.options.head_timeout;
  // As in ForwardedCall::SendTo(), a callback may release the exchange's
  // reference.
  const auto with_self = [weak = weak_from_this()](auto action) {
    return [weak, action](auto&&... args) {
      const auto self = weak.lock();
      if (self != nullptr && !self->finished_) {
        action(*self, args...);
      }
    };
  };
  io::HttpCallCallbacks callbacks;
  callbacks.on_head =
      with_self([](RelayedCall& self, int status, const io::Headers& headers) {
        self.OnHead(status, headers);
      });
  callbacks.on_body = with_self(
      [](RelayedCall& self, std::string_view chunk) { self.OnBody(chunk); });
  callbacks.on_end = with_self(
      [](RelayedCall& self, const io::HttpCallEnd& end) { self.OnEnd(end); });
  peer_call_ =
      context_.servers_client.Start(std::move(request), std::move(callbacks));
}

void RelayedCall::OnHead(int status, const io::Headers& headers) {
  const ports::AnswerHead head = context_.codec.ReadAnswer(status, headers);
  from_server_ = head.sealed && head.attempt == call_.intake.attempt;
  lost_ = !from_server_ && (head.sealed || status / 100 == 2);
  status_ = status;
  headers_ = context_.codec.ForCaller(headers);
  const bool streams = from_server_ && call_.route->kind == CallKind::kStream &&
                       status / 100 == 2;
  if (!streams) {
    return;
  }
  context_.metrics.ObserveFirstEvent(call_.service,
                                     context_.loop.now() - call_.arrived);
  call_.exchange->Begin(status, headers_);
  call_.exchange->OnDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->paused_ && self->peer_call_ != nullptr) {
      self->paused_ = false;
      self->peer_call_->Resume();
    }
  });
}

void RelayedCall::OnBody(std::string_view chunk) {
  if (call_.exchange->started()) {
    call_.exchange->Write(chunk);
    PauseIfSlow();
    return;
  }
  body_.append(chunk);
  context_.collected_bytes += chunk.size();
  if (body_.size() > context_.max_answer_bytes ||
      context_.collected_bytes > context_.max_collected_bytes) {
    Fail(ResultCode::kAnswerLost, "The answer is too large.");
  }
}

void RelayedCall::PauseIfSlow() {
  if (call_.exchange->pending_bytes() > kMaxPendingBytes && !paused_ &&
      peer_call_ != nullptr) {
    paused_ = true;
    peer_call_->Pause();
  }
}

void RelayedCall::OnEnd(const io::HttpCallEnd& end) {
  if (!end.status.ok() || lost_) {
    OnLost(end);
    return;
  }
  context_.relays.OnRelayed(tried_.back());
  if (call_.exchange->started()) {
    call_.exchange->End();
    Finish(ResultCode::kOk, status_, "streamed");
    return;
  }
  OnWholeAnswer();
}

void RelayedCall::OnWholeAnswer() {
  const auto code = from_server_ ? std::nullopt : ResultCodeIn(headers_);
  if (ConcernsPeer(code)) {
    OnPeerFailed(fmt::format("{} refused it with code {}",
                             tried_.back().value(), static_cast<int>(*code)));
    return;
  }
  // That the peer's servers did not run the call says nothing about those that
  // this instance sent it to.
  if (!from_server_ && may_have_run_) {
    Fail(ResultCode::kAnswerLost, "The answer was lost.");
    return;
  }
  const ResultCode of_server = status_ < kFirstFailureStatus
                                   ? ResultCode::kOk
                                   : ResultCode::kServerFailed;
  call_.exchange->Respond(status_, std::move(headers_), body_);
  Finish(code.value_or(of_server), status_, "answered");
}

void RelayedCall::OnLost(const io::HttpCallEnd& end) {
  if (call_.exchange->started()) {
    call_.exchange->Abort();
    Finish(ResultCode::kAnswerLost, status_, "the peer's stream broke off");
    return;
  }
  if (!end.sent) {
    OnPeerFailed(std::string(end.status.message()));
    return;
  }
  may_have_run_ = true;
  context_.relays.OnFailed(context_.loop.now(), tried_.back());
  if (call_.route->may_repeat() && context_.retries.TryTake(call_.service)) {
    OnPeerFailed("the answer was lost");
    return;
  }
  Fail(ResultCode::kAnswerLost,
       fmt::format("The answer of {} was lost.", tried_.back().value()));
}

void RelayedCall::OnPeerFailed(std::string_view reason) {
  const InstanceId& peer = tried_.back();
  io::Log(io::LogLevel::kInfo, "call.relay_failed",
          {{"call", call_.intake.attempt},
           {"peer", peer.value()},
           {"reason", reason}});
  context_.relays.OnFailed(context_.loop.now(), peer);
  context_.collected_bytes -= body_.size();
  body_.clear();
  headers_.clear();
  from_server_ = lost_ = false;
  SendNext();
}

void RelayedCall::OnDeadline() {
  if (!finished_) {
    RefuseOrFail(DeadlineError(may_have_run()));
  }
}

void RelayedCall::OnStop() {
  if (!finished_) {
    RefuseOrFail(StopError(may_have_run()));
  }
}

void RelayedCall::OnCallerDisconnected() {
  if (!finished_) {
    Finish(ResultCode::kCancelled, 0, "the caller disconnected");
  }
}

void RelayedCall::RefuseOrFail(const absl::Status& error) {
  const ErrorDetails details = DetailsOf(error);
  const std::string message(error.message());
  if (details.ran == Ran::kNo) {
    Refuse(details.code, message);
  } else {
    Fail(details.code, message);
  }
}

void RelayedCall::Refuse(ResultCode code, std::string_view message) {
  RespondError(
      *call_.exchange,
      MakeError({.code = code, .ran = Ran::kNo, .retry_after = kRetryAfter},
                message));
  Finish(code, InfoOf(code).http_status, message);
}

void RelayedCall::Fail(ResultCode code, std::string_view message) {
  if (call_.exchange->started()) {
    call_.exchange->Abort();
    Finish(code, status_, message);
    return;
  }
  RespondError(*call_.exchange, MakeError(code, message));
  Finish(code, InfoOf(code).http_status, message);
}

void RelayedCall::Finish(ResultCode code, int status, std::string_view reason) {
  finished_ = true;
  deadline_timer_.Cancel();
  peer_call_.reset();
  const Duration elapsed = context_.loop.now() - call_.arrived;
  context_.metrics.CountAnswer(call_.service, code, elapsed);
  io::Log(code == ResultCode::kOk ? io::LogLevel::kDebug : io::LogLevel::kInfo,
          "call.ended",
          {{"call", call_.intake.attempt},
           {"route", call_.route->name},
           {"workspace", call_.workspace.value()},
           {"config", call_.config->version()},
           {"relayed_by", tried_.empty() ? "" : tried_.back().value()},
           {"attempts", tried_.size()},
           {"status", status},
           {"code", static_cast<int>(code)},
           {"ms", Milliseconds(elapsed)},
           {"reason", reason}});
}

}  // namespace oleander::entry
