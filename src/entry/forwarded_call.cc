#include "entry/forwarded_call.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "io/log.h"
#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// An event of the users' engines takes some dozen bytes.
constexpr size_t kMaxEventBytes = size_t{1} << 20;
// What still comes of an answer that says that the call wasn't run: its end is
// waited for, so that the connection can be used again, but not for long.
constexpr size_t kMaxDiscardedBytes = size_t{64} << 10;
constexpr Duration kDiscardWithin = std::chrono::milliseconds(50);
// Bytes that a slow caller has not taken before its server's connection is not
// read any further.
constexpr size_t kPauseAbove = size_t{64} << 10;
// The caller still gets the answer that its time is over.
constexpr Duration kAnswerBeforeDeadline = std::chrono::milliseconds(15);
// A connection within a region stands after some milliseconds, across regions
// after some dozens; the rest is for a lost packet.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr int kFirstFailureStatus = 500;
// For a refused caller, where nothing tells when there is room again.
constexpr Duration kShortestComeBack = std::chrono::milliseconds(50);
constexpr Duration kLongestComeBack = std::chrono::milliseconds(500);

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// The parts that other prompts share: all but the last, which is the request's
// own.
PlacementRequest QuestionFor(const AcceptedCall& call) {
  PlacementRequest question{.service = call.service, .goal = call.route->goal};
  question.prompt.tokens = call.intake.prompt_tokens.value_or(0);
  question.prompt.urgency = call.urgency;
  const auto& parts = call.intake.prompt;
  PromptPrefix prefix;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    prefix.hash = XXH64(parts[i].id.data(), parts[i].id.size(), prefix.hash);
    prefix.tokens += parts[i].tokens;
    question.prompt.shared.push_back(prefix);
  }
  return question;
}

}  // namespace

ForwardedCall::ForwardedCall(CallContext& context, AcceptedCall call)
    : context_(context),
      call_(std::move(call)),
      question_(QuestionFor(call_)),
      cutter_(kMaxEventBytes) {
  ++context_.open_calls;
}

ForwardedCall::~ForwardedCall() {
  --context_.open_calls;
  DropBody();
  if (server_) {
    context_.placement.OnEnded(context_.loop.now(), *server_, reading_);
    context_.placer.OnEnded(placed_.call);
  }
}

void ForwardedCall::Start() {
  // The exchange holds the call until the caller's connection is done with it.
  call_.exchange->OnDisconnected(
      [self = shared_from_this()] { self->OnCallerGone(); });
  deadline_timer_ = context_.loop.After(time_left() - kAnswerBeforeDeadline,
                                        [weak = weak_from_this()] {
                                          if (const auto self = weak.lock()) {
                                            self->OnDeadline();
                                          }
                                        });
  context_.retries.OnSuccess(call_.service);
  SendNext();
}

void ForwardedCall::SendNext() {
  if (!MaySend()) {
    return;
  }
  context_.placer.Choose(
      question_, [&context = context_,
                  weak = weak_from_this()](const RegionPlacer::Placed& placed) {
        const auto self = weak.lock();
        if (self == nullptr || self->finished_) {
          context.placer.OnEnded(placed.call);
          return;
        }
        self->OnChosen(placed);
      });
}

bool ForwardedCall::MaySend() {
  if (!call_.route->is_public && !context_.proof.holds(context_.loop.now())) {
    Refuse(ResultCode::kConfigUnproven,
           "The configuration could not be confirmed of late, so credentials "
           "can't be trusted.");
    return false;
  }
  if (!IsStillAllowed()) {
    if (attempts_.may_have_run > 0) {
      Fail(ResultCode::kAnswerLost,
           "The answer was lost, and the request's credential was taken away.");
    } else {
      Refuse(ResultCode::kUnknownCredential,
             "The request's credential was taken away while it waited.");
    }
    return false;
  }
  return true;
}

void ForwardedCall::OnChosen(const RegionPlacer::Placed& placed) {
  const ListedServer* server =
      placed.server ? context_.listed.Find(*placed.server) : nullptr;
  if (server == nullptr || !MaySend()) {
    context_.placer.OnEnded(placed.call);
  }
  if (finished_) {
    return;
  }
  placed_ = placed;
  if (server != nullptr) {
    context_.placer.OnSent(placed_, question_);
  }
  if (server == nullptr) {
    attempts_.server_left = false;
    if (attempts_.may_have_run > 0) {
      Fail(ResultCode::kAnswerLost, "No further server is left to try.");
    } else {
      RefuseWithoutServer();
    }
    return;
  }
  SendTo(*server);
}

// A newer configuration than the one that the call was accepted under may have
// come while it waited or was tried elsewhere; the proof is of the newer one.
bool ForwardedCall::IsStillAllowed() const {
  if (call_.route->is_public || call_.workspace.empty() ||
      context_.config == call_.config) {
    return true;
  }
  const Workspace* workspace =
      context_.config->FindWorkspace(call_.intake.credential);
  return workspace != nullptr && workspace->id == call_.workspace;
}

// Where all servers want a pause, the caller hears when the first one ends.
void ForwardedCall::RefuseWithoutServer() {
  const Time now = context_.loop.now();
  const auto rested = context_.placement.EarliestPauseEnd(now, call_.service);
  Refuse(
      ResultCode::kNoServer,
      fmt::format("No server of service {} may get new work{}.",
                  call_.service.value(), rested ? "; some want a pause" : ""),
      rested ? std::optional(*rested - now) : std::nullopt);
}

void ForwardedCall::SendTo(const ListedServer& server) {
  server_ = server.id;
  server_born_ms_ = server.started_ms;
  question_.tried.push_back(server.id);
  mode_ = Mode::kAwaitingHead;
  begun_counted_ = false;
  status_ = 0;
  DropBody();
  ++sends_;
  context_.metrics.CountAttempt(call_.service);
  const Time now = context_.loop.now();
  choice_ = {
      .at = now,
      .expected = placed_.expected.value_or(
          context_.placement.ExpectedFirstToken(now, server.id, question_)),
      .calls = context_.placement.EstimatedCalls(now, server.id)};
  reading_ = context_.placement.OnSent(now, server.id, question_.prompt);
  // `sending_` goes with this object, so its callbacks may use it plainly; they
  // hold it because the last of them may drop the exchange's reference.
  const std::weak_ptr<ForwardedCall> weak = weak_from_this();
  const auto with_self = [weak](auto action) {
    return [weak, action](auto&&... args) {
      if (const auto self = weak.lock()) {
        action(*self, args...);
      }
    };
  };
  io::HttpCallCallbacks callbacks;
  callbacks.on_head = with_self(
      [](ForwardedCall& self, int status, const io::Headers& headers) {
        self.OnHead(status, headers);
      });
  callbacks.on_body = with_self(
      [](ForwardedCall& self, std::string_view chunk) { self.OnBody(chunk); });
  callbacks.on_end = with_self(
      [](ForwardedCall& self, const io::HttpCallEnd& end) { self.OnEnd(end); });
  sending_ =
      context_.servers_client.Start(RequestFor(server), std::move(callbacks));
}

ports::SendTerms ForwardedCall::TermsFor(const ServerId& server) const {
  return {.server = server,
          .workspace = call_.workspace,
          .time_left = time_left(),
          .urgency = call_.urgency,
          .resume_after = cutter_.last_id().empty()
                              ? call_.intake.resume_after
                              : std::optional(cutter_.last_id())};
}

io::HttpCallRequest ForwardedCall::RequestFor(
    const ListedServer& server) const {
  const io::HttpRequest& inbound = call_.exchange->request();
  io::HttpCallRequest request;
  request.address = server.address;
  request.port = server.port;
  request.method = inbound.method;
  request.target = inbound.query.empty()
                       ? inbound.path
                       : fmt::format("{}?{}", inbound.path, inbound.query);
  request.headers = context_.codec.ForServer(inbound, TermsFor(server.id));
  request.body = inbound.body;
  request.options.connect_timeout = kConnectTimeout;
  // The deadline's own timer ends a silent call.
  request.options.head_timeout = time_left() + std::chrono::seconds(1);
  request.options.progress_timeout = request.options.head_timeout;
  return request;
}

void ForwardedCall::OnHead(int status, const io::Headers& headers) {
  const ports::AnswerHead head = context_.codec.ReadAnswer(status, headers);
  if (head.load) {
    context_.placement.OnLoad(context_.loop.now(), *server_, head.load->running,
                              head.load->waiting);
    context_.loads.OnReport(context_.loop.now(), *server_,
                            head.load->running + head.load->waiting);
  }
  // An answer to a call that ran names it; without a name it may be the late
  // copy of another one.
  const bool foreign =
      head.attempt ? *head.attempt != call_.intake.attempt : !head.not_run;
  if (foreign) {
    SettleAttempt(SendOutcome::kLost, "the answer belongs to another call");
    return;
  }
  NoteServerWords(head);
  if (head.not_run) {
    DiscardRest();
    return;
  }
  if (!head.sealed || head.encoded) {
    SettleAttempt(SendOutcome::kLost, "the answer isn't the server's own");
    return;
  }
  status_ = status;
  const bool streams =
      call_.route->kind == CallKind::kStream && status / 100 == 2;
  mode_ = streams ? Mode::kStream : Mode::kCollect;
  if (!stream_begun()) {
    headers_ = context_.codec.ForCaller(headers);
  }
  if (!streams) {
    NoteBegun();
    CountBegun();
  }
}

void ForwardedCall::NoteServerWords(const ports::AnswerHead& head) {
  ServerNotices& notices = context_.placement.notices();
  const Time now = context_.loop.now();
  if (head.leaving && notices.OnLeaving(now, {.server = *server_,
                                              .started_ms = server_born_ms_})) {
    io::Log(io::LogLevel::kInfo, "server.leaving",
            {{"server", server_->value()},
             {"born_ms", server_born_ms_},
             {"by", "answer"},
             {"call", call_.intake.attempt}});
  }
  if (head.rest) {
    notices.OnPauseRequested(now, *server_, server_born_ms_, *head.rest);
    io::Log(io::LogLevel::kInfo, "server.rests",
            {{"server", server_->value()},
             {"ms", Milliseconds(*head.rest)},
             {"call", call_.intake.attempt}});
  }
}

void ForwardedCall::OnBody(std::string_view chunk) {
  if (mode_ == Mode::kStream) {
    PassEvents(chunk);
    return;
  }
  if (mode_ == Mode::kDiscard) {
    discarded_ += chunk.size();
    if (discarded_ > kMaxDiscardedBytes) {
      SettleAttempt(SendOutcome::kNotRun, "the server did not run it");
    }
    return;
  }
  if (mode_ != Mode::kCollect) {
    return;
  }
  body_.append(chunk);
  context_.collected_bytes += chunk.size();
  if (body_.size() > context_.max_answer_bytes ||
      context_.collected_bytes > context_.max_collected_bytes) {
    SettleAttempt(SendOutcome::kLost, "the answer is too large");
  }
}

void ForwardedCall::DiscardRest() {
  mode_ = Mode::kDiscard;
  discarded_ = 0;
  discard_timer_ = context_.loop.After(kDiscardWithin, [weak =
                                                            weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && !self->finished_ && self->mode_ == Mode::kDiscard &&
        self->server_) {
      self->SettleAttempt(SendOutcome::kNotRun, "the server did not run it");
    }
  });
}

void ForwardedCall::DropBody() {
  context_.collected_bytes -= body_.size();
  body_.clear();
}

void ForwardedCall::PassEvents(std::string_view chunk) {
  CountBegun();
  const auto whole = cutter_.Feed(chunk);
  if (!whole.ok()) {
    SettleAttempt(SendOutcome::kLost, "an event is too long");
    return;
  }
  if (whole->empty()) {
    return;
  }
  NoteBegun();
  BeginStream();
  call_.exchange->Write(*whole);
  if (call_.exchange->pending_bytes() > kPauseAbove && !paused_ &&
      sending_ != nullptr) {
    paused_ = true;
    sending_->Pause();
  }
}

void ForwardedCall::NoteBegun() {
  context_.placement.OnStarted(context_.loop.now(), reading_);
  context_.placer.OnBegun(placed_.call);
}

void ForwardedCall::LogIfLate() const {
  const Time now = context_.loop.now();
  if (call_.route->goal == Duration::zero() ||
      now - call_.arrived <= call_.route->goal) {
    return;
  }
  io::Log(io::LogLevel::kInfo, "call.late",
          {{"call", call_.intake.attempt},
           {"route", call_.route->name},
           {"server", server_ ? server_->value() : ""},
           {"ms", Milliseconds(now - call_.arrived)},
           {"before_choice_ms", Milliseconds(choice_.at - call_.arrived)},
           {"expected_ms", Milliseconds(choice_.expected)},
           {"calls_there", choice_.calls},
           {"prompt", question_.prompt.tokens},
           {"shared", question_.prompt.shared.empty()
                          ? 0
                          : question_.prompt.shared.back().tokens},
           {"by_placer", placed_.call != 0},
           {"attempts", sends_}});
}

void ForwardedCall::BeginStream() {
  if (stream_begun()) {
    return;
  }
  LogIfLate();
  context_.metrics.ObserveFirstEvent(call_.service,
                                     context_.loop.now() - call_.arrived);
  call_.exchange->Begin(status_, headers_);
  call_.exchange->OnDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->paused_ && self->sending_ != nullptr) {
      self->paused_ = false;
      self->sending_->Resume();
    }
  });
}

void ForwardedCall::OnEnd(const io::HttpCallEnd& end) {
  if (finished_) {
    return;
  }
  if (mode_ == Mode::kDiscard) {
    SettleAttempt(SendOutcome::kNotRun, "the server did not run it");
    return;
  }
  if (!end.status.ok()) {
    SettleAttempt(end.sent ? SendOutcome::kLost : SendOutcome::kNotSent,
                  std::string(end.status.message()));
    return;
  }
  if (mode_ == Mode::kStream) {
    if (!cutter_.at_boundary()) {
      SettleAttempt(SendOutcome::kLost, "the stream ended inside an event");
      return;
    }
    FinishStream();
    return;
  }
  if (status_ >= kFirstFailureStatus) {
    SettleAttempt(SendOutcome::kServerFailed,
                  fmt::format("the server answered with status {}", status_));
    return;
  }
  RespondCollected();
}

void ForwardedCall::OnCallerGone() {
  if (finished_) {
    return;
  }
  EndAttempt(/*failed=*/false);
  Finish(ResultCode::kCancelled, 0, "the caller has gone");
}

void ForwardedCall::OnDeadline() {
  if (finished_) {
    return;
  }
  const bool sent = sending_ != nullptr && sending_->sent();
  EndAttempt(/*failed=*/false);
  if (stream_begun()) {
    BreakStream("the time is over");
  } else if (sent || attempts_.may_have_run > 0) {
    Fail(ResultCode::kDeadlinePassed, "The request's time is over.");
  } else {
    Refuse(ResultCode::kDeadlineUnreachable,
           "The request's time is over before it was sent to a server.");
  }
}

void ForwardedCall::SettleAttempt(SendOutcome outcome,
                                  std::string_view reason) {
  const bool failed =
      outcome == SendOutcome::kLost || outcome == SendOutcome::kNotSent;
  const std::string kept(reason);
  EndAttempt(failed);
  Judge(outcome, kept);
}

void ForwardedCall::EndAttempt(bool failed) {
  if (!server_) {
    return;
  }
  // The connection is closed where the answer isn't whole, so that the server
  // stops and no late byte is taken for another answer.
  sending_.reset();
  discard_timer_.Cancel();
  paused_ = false;
  if (failed) {
    context_.placement.OnFailure(context_.loop.now(), *server_);
    context_.placer.OnFailed(placed_.call, *server_);
  }
  context_.placement.OnEnded(context_.loop.now(), *server_, reading_);
  context_.placer.OnEnded(placed_.call);
  server_.reset();
}

void ForwardedCall::Judge(SendOutcome outcome, std::string_view reason) {
  const bool known_not_run =
      outcome == SendOutcome::kNotRun || outcome == SendOutcome::kNotSent;
  (known_not_run ? attempts_.not_run : attempts_.may_have_run) += 1;
  attempts_.last = outcome;
  attempts_.time_left = time_left();
  SendDecision verdict = DecideAfterAttempt({}, *call_.route, attempts_);
  if (verdict == SendDecision::kTryNext &&
      !context_.retries.TryTake(call_.service)) {
    attempts_.budget_left = false;
    verdict = DecideAfterAttempt({}, *call_.route, attempts_);
  }
  const ServerId server =
      question_.tried.empty() ? ServerId() : question_.tried.back();
  io::Log(io::LogLevel::kInfo, "call.attempt_ended",
          {{"call", call_.intake.attempt},
           {"server", server.value()},
           {"reason", reason},
           {"attempts", sends_},
           {"events", cutter_.events()},
           {"left_ms", Milliseconds(time_left())},
           {"next", static_cast<int>(verdict)}});
  switch (verdict) {
    case SendDecision::kTryNext:
      cutter_.DropPartialEvent();
      if (stream_begun()) {
        context_.metrics.CountResume(call_.service);
      }
      SendNext();
      return;
    case SendDecision::kRefuse:
      if (context_.placement.Pick(context_.loop.now(), question_)) {
        Refuse(ResultCode::kNoServer,
               fmt::format("No server ran the request: {}.", reason));
      } else {
        RefuseWithoutServer();
      }
      return;
    case SendDecision::kUnknown:
      Fail(ResultCode::kAnswerLost,
           fmt::format("The answer was lost: {}.", reason));
      return;
    case SendDecision::kForwardFailure:
      RespondCollected();
      return;
  }
}

void ForwardedCall::CountBegun() {
  if (begun_counted_ || call_.workspace.empty()) {
    return;
  }
  begun_counted_ = true;
  context_.usage.CountStarted(context_.wall_now(), call_.workspace);
}

void ForwardedCall::RespondCollected() {
  if (stream_begun()) {
    EndAttempt(/*failed=*/false);
    BreakStream("the server that was to go on with the stream refused");
    return;
  }
  if (server_) {
    context_.placement.OnSuccess(*server_);
  }
  EndAttempt(/*failed=*/false);
  call_.exchange->Respond(status_, std::move(headers_), body_);
  Finish(status_ < kFirstFailureStatus ? ResultCode::kOk
                                       : ResultCode::kServerFailed,
         status_, "answered");
}

void ForwardedCall::FinishStream() {
  context_.placement.OnSuccess(*server_);
  EndAttempt(/*failed=*/false);
  BeginStream();  // A stream without events.
  call_.exchange->End();
  Finish(ResultCode::kOk, status_, "streamed");
}

void ForwardedCall::Refuse(ResultCode code, std::string_view message,
                           std::optional<Duration> known) {
  if (stream_begun()) {
    BreakStream(message);
    return;
  }
  // A third of what is left is the most that callers wait before they return.
  std::optional<Duration> come_back = known.value_or(std::clamp<Duration>(
      time_left() / 4, kShortestComeBack, kLongestComeBack));
  int status = 503;
  if (code == ResultCode::kUnknownCredential) {
    come_back.reset();
    status = InfoOf(code).http_status;
  }
  const absl::Status error = MakeError(
      {.code = code, .ran = Ran::kNo, .retry_after = come_back}, message);
  io::Headers headers = {{.name = "content-type", .value = "application/json"}};
  if (come_back) {
    headers.push_back(
        {.name = "retry-after",
         .value = fmt::format(
             "{:.3f}", std::chrono::duration<double>(*come_back).count())});
  }
  call_.exchange->Respond(status, std::move(headers), ErrorBody(error));
  Finish(code, status, message);
}

void ForwardedCall::Fail(ResultCode code, std::string_view message) {
  if (stream_begun()) {
    BreakStream(message);
    return;
  }
  const int status = code == ResultCode::kDeadlinePassed ? 504 : 502;
  const absl::Status error = MakeError(
      {.code = code, .ran = Ran::kUnknown, .retry_after = std::nullopt},
      message);
  call_.exchange->Respond(
      status, {{.name = "content-type", .value = "application/json"}},
      ErrorBody(error));
  Finish(code, status, message);
}

void ForwardedCall::BreakStream(std::string_view reason) {
  call_.exchange->Abort();
  Finish(ResultCode::kAnswerLost, status_, reason);
}

void ForwardedCall::Finish(ResultCode code, int status,
                           std::string_view reason) {
  if (finished_) {
    return;
  }
  finished_ = true;
  deadline_timer_.Cancel();
  const Duration took = context_.loop.now() - call_.arrived;
  context_.metrics.CountAnswer(call_.service, code, took);
  io::Log(
      code == ResultCode::kOk ? io::LogLevel::kDebug : io::LogLevel::kInfo,
      "call.ended",
      {{"call", call_.intake.attempt},
       {"route", call_.route->name},
       {"workspace", call_.workspace.value()},
       {"config", call_.config->version()},
       {"proof_age_ms", Milliseconds(context_.proof.age(context_.loop.now()))},
       {"server",
        question_.tried.empty() ? "" : question_.tried.back().value()},
       {"attempts", sends_},
       {"events", cutter_.events()},
       {"status", status},
       {"code", static_cast<int>(code)},
       {"ms", Milliseconds(took)},
       {"reason", reason}});
}

}  // namespace oleander::entry
