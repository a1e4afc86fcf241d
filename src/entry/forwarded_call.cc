#include "entry/forwarded_call.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "entry/call_answers.h"
#include "entry/poison_guard.h"
#include "entry/relayed_call.h"
#include "entry/rollout_feed.h"
#include "io/log.h"
#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Usual engine events have some tens of bytes.
constexpr size_t kMaxEventBytes = size_t{1} << 20;
// Limits for the body of an answer that says that the call wasn't run. The body
// is read to its end so that the connection can be reused, but a long or slow
// one isn't worth the wait.
constexpr size_t kMaxDiscardedBytes = size_t{64} << 10;
constexpr Duration kDiscardTimeout = std::chrono::milliseconds(50);
// Reading from the server pauses while more bytes than this wait for a slow
// caller.
constexpr size_t kMaxPendingBytes = size_t{64} << 10;
// Leaves time for the caller to receive the answer that the deadline passed.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(15);
// Connecting takes some milliseconds within a region and some tens across
// regions; the remainder covers a lost packet.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr int kFirstFailureStatus = 500;
// Callers read these statuses as a promise that the call was not run.
constexpr int kPromisingStatuses[] = {408, 421, 429, 503};
// Bounds of a refusal's retry-after if it isn't known when capacity becomes
// available.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(500);

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Returns the call's request for a server. The shared prefixes consist of all
// parts of the prompt but the last, which belongs to this request alone.
PlacementRequest PlacementRequestFor(const AcceptedCall& call) {
  const std::string& name = call.route->name;
  PlacementRequest request{.service = call.service,
                           .goal = call.route->goal,
                           .kind = XXH64(name.data(), name.size(), 0)};
  request.prompt.tokens = call.intake.prompt_tokens.value_or(0);
  request.prompt.urgency = call.urgency;
  const auto& parts = call.intake.prompt;
  PromptPrefix prefix;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    prefix.hash = XXH64(parts[i].id.data(), parts[i].id.size(), prefix.hash);
    prefix.tokens += parts[i].tokens;
    request.prompt.shared.push_back(prefix);
  }
  return request;
}

}  // namespace

ForwardedCall::ForwardedCall(CallContext& context, AcceptedCall call)
    : context_(context),
      call_(std::move(call)),
      placement_request_(PlacementRequestFor(call_)),
      cutter_(kMaxEventBytes) {
  context_.open_calls.insert(this);
}

ForwardedCall::~ForwardedCall() {
  context_.open_calls.erase(this);
  ClearCollectedBody();
  if (server_) {
    RecordRolloutEnd();
    context_.placement.OnEnded(context_.loop.now(), *server_, placement_call_);
    context_.placer.OnEnded(placed_.call);
  }
}

void ForwardedCall::Start() {
  // The exchange owns the call until the caller's connection has finished it.
  call_.exchange->OnDisconnected(
      [self = shared_from_this()] { self->OnCallerDisconnected(); });
  deadline_timer_ = context_.loop.After(time_left() - kDeadlineMargin,
                                        [weak = weak_from_this()] {
                                          if (const auto self = weak.lock()) {
                                            self->OnDeadline();
                                          }
                                        });
  context_.retries.OnSuccess(call_.service);
  if (TakesUpStream()) {
    SendToOrigin();
  } else {
    SendNext();
  }
}

bool ForwardedCall::TakesUpStream() const {
  return call_.route->kind == CallKind::kStream && call_.route->resumable &&
         call_.intake.resume_after.has_value();
}

void ForwardedCall::SendToOrigin() {
  context_.origins->Find(call_.intake.resumes, call_.service,
                         [weak = weak_from_this()](const OriginAnswer& answer) {
                           const auto self = weak.lock();
                           if (self != nullptr && !self->finished_) {
                             self->OnOrigin(answer);
                           }
                         });
}

void ForwardedCall::OnOrigin(const OriginAnswer& answer) {
  using Kind = OriginAnswer::Kind;
  io::Log(io::LogLevel::kInfo, "stream.taken_up",
          {{"call", call_.intake.attempt},
           {"resumes", call_.intake.resumes},
           {"after", call_.intake.resume_after.value_or("")},
           {"known", static_cast<int>(answer.kind)},
           {"version", answer.version}});
  if (answer.kind == Kind::kUnknown) {
    Refuse(ResultCode::kStreamVersionGone,
           "It isn't known which software version began the stream.");
    return;
  }
  if (answer.kind == Kind::kUnreachable) {
    Refuse(ResultCode::kStoreUnavailable,
           "The record of the software version that began the stream can't be "
           "read now.");
    return;
  }
  if (answer.kind == Kind::kVersion) {
    stream_version_ = answer.version;
  }
  SendNext();
}

std::optional<StreamOrigin> ForwardedCall::origin() const {
  const bool begun_here = cutter_.events() > 0 && !TakesUpStream();
  if (!begun_here || !call_.route->resumable || !stream_version_) {
    return std::nullopt;
  }
  return StreamOrigin{.service = call_.service, .version = *stream_version_};
}

void ForwardedCall::RecordOrigin() {
  if (stream_version_) {
    return;
  }
  stream_version_ = server_version_;
  if (const auto begun = origin()) {
    context_.origins->OnBegun(attempt(), *begun);
  }
}

void ForwardedCall::SendNext() {
  if (!MaySend()) {
    return;
  }
  if (context_.paths.cut_off(context_.loop.now()) && LeaveToPeer()) {
    return;
  }
  if (SetVersion()) {
    ChooseServer();
  }
}

bool ForwardedCall::SetVersion() {
  placement_request_.version = stream_version_;
  placement_request_.avoided_versions = VersionsNotToBegin();
  placement_request_.servers.clear();
  rollout_widened_ = false;
  if (context_.rollouts == nullptr) {
    return true;
  }
  if (stream_version_) {
    const RolloutStage* stage = context_.rollouts->stage(call_.service);
    const bool is_reverted = stage != nullptr &&
                             stage->phase == RolloutPhase::kReverted &&
                             stage->target == *stream_version_;
    if (is_reverted) {
      Refuse(ResultCode::kStreamVersionGone,
             fmt::format("Version \"{}\", which began the stream, was taken "
                         "back.",
                         *stream_version_));
    }
    return !is_reverted;
  }
  RolloutChoice choice = ChooseByRollout();
  placement_request_.version = std::move(choice.version);
  placement_request_.servers = std::move(choice.servers);
  rollout_avoided_ = std::move(choice.avoided_versions);
  std::ranges::move(context_.rollout_feed->UnplacedVersions(call_.service),
                    std::back_inserter(rollout_avoided_));
  std::ranges::copy(rollout_avoided_,
                    std::back_inserter(placement_request_.avoided_versions));
  return true;
}

std::vector<std::string> ForwardedCall::VersionsNotToBegin() const {
  return call_.route->resumable && !stream_version_
             ? context_.origins->VersionsNotToBegin(call_.service)
             : std::vector<std::string>();
}

RolloutChoice ForwardedCall::ChooseByRollout() {
  if (sends_ == 0 && !rollout_choice_) {
    const RolloutChoice* choice = context_.rollouts->Choose(
        context_.loop.now(), call_.service, call_.route->name);
    rollout_choice_ = choice == nullptr ? RolloutChoice() : *choice;
    return *rollout_choice_;
  }
  const RolloutStage* stage = context_.rollouts->stage(call_.service);
  RolloutChoice choice = rollout_choice_.value_or(RolloutChoice());
  const bool on_trial =
      stage == nullptr || stage->phase != RolloutPhase::kMoving;
  if (choice.version && on_trial) {
    choice.avoided_versions.push_back(*choice.version);
    choice.version.reset();
    choice.servers.clear();
  }
  return choice;
}

bool ForwardedCall::WidenRollout() {
  if (context_.rollouts == nullptr || stream_version_ || rollout_widened_) {
    return false;
  }
  rollout_widened_ = true;
  if (placement_request_.version) {
    placement_request_.avoided_versions.push_back(*placement_request_.version);
    placement_request_.version.reset();
    placement_request_.servers.clear();
    return true;
  }
  if (rollout_avoided_.empty() || HasOtherVersion(rollout_avoided_)) {
    return false;
  }
  placement_request_.avoided_versions = VersionsNotToBegin();
  return true;
}

bool ForwardedCall::HasOtherVersion(
    const std::vector<std::string>& versions) const {
  return std::ranges::any_of(
      context_.listed.ready(), [&](const ListedServer* server) {
        return server->service == call_.service &&
               std::ranges::find(versions, server->version) == versions.end();
      });
}

void ForwardedCall::RecordRolloutAnswer(bool good) {
  if (context_.rollouts == nullptr || !server_) {
    return;
  }
  if (rollout_answered_) {
    if (!good) {
      context_.rollouts->OnBrokenOff(call_.service, server_version_,
                                     call_.route->name, *server_);
    }
    return;
  }
  rollout_answered_ = true;
  const Time now = context_.loop.now();
  context_.rollouts->OnAnswer(now, call_.service, server_version_,
                              call_.route->name, *server_, good,
                              now - choice_.at);
}

void ForwardedCall::RecordRolloutEnd() {
  if (context_.rollouts != nullptr) {
    context_.rollouts->OnEnd(call_.service, server_version_, rollout_answered_,
                             context_.loop.now() - choice_.at);
  }
}

void ForwardedCall::ChooseServer() {
  context_.placer.Choose(placement_request_,
                         [&context = context_, weak = weak_from_this()](
                             const RegionPlacer::Placed& placed) {
                           const auto self = weak.lock();
                           if (self == nullptr || self->finished_) {
                             context.placer.OnEnded(placed.call);
                             return;
                           }
                           self->OnChosen(placed);
                         });
}

bool ForwardedCall::MayBeRelayed() const {
  return !call_.from_peer && !stream_started() && !context_.relays.empty() &&
         context_.relay_port != 0;
}

bool ForwardedCall::LeaveToPeer() {
  if (MayBeRelayed()) {
    HandOver();
    return true;
  }
  if (call_.from_peer) {
    GiveUp(ResultCode::kServersUnreachable,
           "This instance reaches no backend server.");
    return true;
  }
  return false;
}

void ForwardedCall::HandOver() {
  const auto self = shared_from_this();  // The exchange releases its reference.
  EndAttempt(/*failed=*/false);
  finished_ = true;
  deadline_timer_.Cancel();
  std::make_shared<RelayedCall>(context_, call_, attempts_.may_have_run > 0)
      ->Start();
}

void ForwardedCall::OnCutOff() {
  const bool waits = server_call_ != nullptr && server_call_->sent() &&
                     mode_ == Mode::kAwaitingHead;
  const bool attempts_left =
      attempts_.may_have_run + 1 < call_.route->max_attempts;
  if (!finished_ && waits && call_.route->may_repeat() && attempts_left &&
      MayBeRelayed()) {
    FinishAttempt(SendOutcome::kLost,
                  "this instance is cut off from the servers");
  }
}

bool ForwardedCall::MaySend() {
  if (context_.config_superseded) {
    GiveUp(ResultCode::kConfigUnproven,
           "A newer configuration is in force elsewhere.");
    return false;
  }
  if (!call_.route->is_public && !context_.proof.holds(context_.loop.now())) {
    GiveUp(ResultCode::kConfigUnproven,
           "The configuration has not been confirmed recently, so credentials "
           "can't be trusted.");
    return false;
  }
  if (!IsStillAllowed()) {
    GiveUp(ResultCode::kUnknownCredential,
           "The request's credential was revoked while the request waited.");
    return false;
  }
  if (const absl::Status status =
          CheckSuspicion(context_, call_.intake, call_.parts);
      !status.ok()) {
    GiveUp(CodeOf(status), std::string(status.message()),
           DetailsOf(status).retry_after);
    return false;
  }
  return true;
}

void ForwardedCall::GiveUp(ResultCode code, std::string_view reason,
                           std::optional<Duration> known_retry_after) {
  if (attempts_.may_have_run > 0) {
    Fail(ResultCode::kAnswerLost,
         fmt::format("The answer was lost. {}", reason));
  } else {
    Refuse(code, reason, known_retry_after);
  }
}

void ForwardedCall::OnChosen(const RegionPlacer::Placed& placed) {
  const ListedServer* server =
      placed.server ? context_.listed.Find(*placed.server) : nullptr;
  // A loop that is behind handles a request before the close that followed it.
  if (call_.exchange->caller_has_left()) {
    OnCallerDisconnected();
  }
  if (finished_ || server == nullptr || !MaySend()) {
    context_.placer.OnEnded(placed.call);
  }
  if (finished_) {
    return;
  }
  placed_ = placed;
  if (server != nullptr) {
    context_.placer.OnSent(placed_, placement_request_);
  }
  if (server == nullptr) {
    if (WidenRollout()) {
      ChooseServer();
      return;
    }
    attempts_.server_left = false;
    if (attempts_.may_have_run > 0) {
      Fail(ResultCode::kAnswerLost,
           "The answer was lost, and there is no other server to try.");
    } else {
      RefuseWithoutServer();
    }
    return;
  }
  SendTo(*server);
}

// A newer configuration may have arrived after the call was accepted, while it
// waited or was tried at another server. ConfigProof covers only the newer one.
bool ForwardedCall::IsStillAllowed() const {
  if (call_.route->is_public || call_.workspace.empty() ||
      context_.config == call_.config) {
    return true;
  }
  const Workspace* workspace =
      context_.config->FindWorkspace(call_.intake.credential);
  return workspace != nullptr && workspace->id == call_.workspace;
}

// If servers are paused or limited, tells the caller when the first one is
// usable again.
void ForwardedCall::RefuseWithoutServer() {
  if (never_connected() && LeaveToPeer()) {
    return;
  }
  const Time now = context_.loop.now();
  const auto& version = stream_version_;
  if (version && !context_.origins->IsListed(call_.service, *version)) {
    Refuse(
        ResultCode::kStreamVersionGone,
        fmt::format("No server of service {} has version \"{}\", which began "
                    "the stream.",
                    call_.service.value(), *version));
    return;
  }
  const auto usable_at = context_.placement.NextUsableAt(now, call_.service);
  Refuse(ResultCode::kNoServer,
         fmt::format("No server of service {} accepts new work{}.",
                     call_.service.value(),
                     usable_at ? "; some are paused or limited" : ""),
         usable_at ? std::optional(*usable_at - now) : std::nullopt);
}

void ForwardedCall::SendTo(const ListedServer& server) {
  server_ = server.id;
  server_started_ms_ = server.started_ms;
  server_version_ = server.version;
  placement_request_.tried.push_back(server.id);
  mode_ = Mode::kAwaitingHead;
  start_counted_ = false;
  status_ = 0;
  told_slowness_.reset();
  events_before_ = cutter_.events();
  ClearCollectedBody();
  ++sends_;
  context_.metrics.CountAttempt(call_.service);
  const Time now = context_.loop.now();
  choice_ = {.at = now,
             .expected = placed_.expected.value_or(
                 context_.placement.ExpectedFirstToken(now, server.id,
                                                       placement_request_)),
             .calls = context_.placement.EstimatedCalls(now, server.id)};
  placement_call_ =
      context_.placement.OnSent(now, server.id, placement_request_.prompt);
  rollout_answered_ = false;
  if (context_.rollouts != nullptr) {
    context_.rollouts->OnSent(call_.service, server.version, call_.route->name,
                              server.id);
  }
  context_.poison.OnSent(now, call_.parts);
  // `server_call_` is destroyed with this object, so its callbacks never run
  // without it. They lock a reference because a callback may release the
  // exchange's, which would destroy the object while the callback runs.
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
  context_.paths.OnSent(now);
  server_call_ =
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
  std::erase_if(request.headers, [](const io::Header& header) {
    return header.name == kRelayedConfigHeader;
  });
  request.shared_body = {call_.exchange, &inbound.body};
  request.id = call_.intake.attempt;
  request.options.connect_timeout = kConnectTimeout;
  // `deadline_timer_` ends a call without an answer before these timeouts do.
  request.options.head_timeout = time_left() + std::chrono::seconds(1);
  request.options.progress_timeout = request.options.head_timeout;
  return request;
}

void ForwardedCall::OnHead(int status, const io::Headers& headers) {
  context_.paths.OnReached();
  const ports::AnswerHead head = context_.codec.ReadAnswer(status, headers);
  // An answer without this call's id may be a late copy of another call's.
  if (head.attempt != call_.intake.attempt) {
    FinishAttempt(SendOutcome::kLost, head.attempt
                                          ? "the answer belongs to another call"
                                          : "the answer names no call");
    return;
  }
  if (head.not_run && (head.sealed || status / 100 == 2)) {
    FinishAttempt(
        SendOutcome::kLost,
        "the answer states both that the call ran and that it didn't");
    return;
  }
  ApplyServerNotices(head);
  if (head.not_run) {
    context_.turned_away += head.other_server ? 0 : 1;
    DiscardBody();
    return;
  }
  if (!head.sealed || head.encoded) {
    FinishAttempt(SendOutcome::kLost,
                  "the answer is not signed by the server or was re-encoded");
    return;
  }
  if (std::ranges::find(kPromisingStatuses, status) !=
      std::end(kPromisingStatuses)) {
    CountStart();
    FinishAttempt(SendOutcome::kLost,
                  fmt::format("the server answered with status {}, but did not "
                              "state that the call was not run",
                              status));
    return;
  }
  status_ = status;
  const bool streams =
      call_.route->kind == CallKind::kStream && status / 100 == 2;
  if (streams && stream_started() &&
      io::FindHeader(headers, "content-type") !=
          io::FindHeader(headers_, "content-type")) {
    FinishAttempt(SendOutcome::kLost,
                  "the server that should have resumed the stream sent another "
                  "type of content");
    return;
  }
  mode_ = streams ? Mode::kStream : Mode::kCollect;
  if (!stream_started()) {
    headers_ = context_.codec.ForCaller(headers);
  }
  if (!streams) {
    if (status < kFirstFailureStatus) {
      context_.placement.OnAnswered(context_.loop.now(), *server_,
                                    placement_request_,
                                    context_.loop.now() - choice_.at);
    }
    RecordStart();
    CountStart();
  }
}

void ForwardedCall::ApplyServerNotices(const ports::AnswerHead& head) {
  ServerNotices& notices = context_.placement.notices();
  const Time now = context_.loop.now();
  if (head.load) {
    context_.placement.OnLoad(now, *server_, head.load->running,
                              head.load->waiting);
    context_.loads.OnReport(now, *server_,
                            head.load->running + head.load->waiting);
    told_slowness_ = head.load->slowness;
    if (told_slowness_) {
      context_.placement.OnToldSlowness(now, *server_, *told_slowness_);
    }
  }
  if (head.unreadable_load) {
    context_.metrics.CountUnreadableLoad(call_.service);
    if (context_.unreadable_loads.Allows(
            now, HashOfServerRun(*server_, server_started_ms_))) {
      io::Log(io::LogLevel::kWarning, "server.load_unreadable",
              {{"server", server_->value()},
               {"born_ms", server_started_ms_},
               {"load", *head.unreadable_load},
               {"used", head.load.has_value()},
               {"call", call_.intake.attempt}});
    }
  }
  if (head.leaving &&
      notices.OnLeaving(
          now, {.server = *server_, .started_ms = server_started_ms_})) {
    io::Log(io::LogLevel::kInfo, "server.leaving",
            {{"server", server_->value()},
             {"born_ms", server_started_ms_},
             {"by", "answer"},
             {"call", call_.intake.attempt}});
  }
  if (head.pause) {
    notices.OnPauseRequested(now, *server_, server_started_ms_, *head.pause);
    io::Log(io::LogLevel::kInfo, "server.rests",
            {{"server", server_->value()},
             {"ms", Milliseconds(*head.pause)},
             {"call", call_.intake.attempt}});
  }
  // As for a limit, below.
  const bool tells_brittle = head.brittle_per_s || head.sealed;
  if (tells_brittle &&
      context_.placement.brittle().OnAnswer(
          now, *server_, server_started_ms_,
          {.bound_per_s = head.brittle_per_s, .turned_away = head.not_run})) {
    io::Log(io::LogLevel::kInfo, "server.brittle",
            {{"server", server_->value()},
             {"per_s", head.brittle_per_s.value_or(0)},
             {"call", call_.intake.attempt}});
  }
  // Only an answer to a call that ran shows that a limit has ended.
  const bool tells_limit = head.limit_per_s || head.sealed;
  if (tells_limit && context_.placement.limits().OnAnswer(
                         now, *server_, server_started_ms_, head.limit_per_s)) {
    io::Log(io::LogLevel::kInfo, "server.limit",
            {{"server", server_->value()},
             {"per_s", head.limit_per_s.value_or(0)},
             {"by", "answer"},
             {"call", call_.intake.attempt}});
  }
}

void ForwardedCall::OnBody(std::string_view chunk) {
  context_.paths.OnReached();
  if (mode_ == Mode::kStream) {
    ForwardEvents(chunk);
    return;
  }
  if (mode_ == Mode::kDiscard) {
    discarded_bytes_ += chunk.size();
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      FinishAttempt(SendOutcome::kNotRun, "the server did not run it");
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
    FinishAttempt(SendOutcome::kLost, "the answer is too large");
  }
}

void ForwardedCall::DiscardBody() {
  mode_ = Mode::kDiscard;
  discarded_bytes_ = 0;
  discard_timer_ = context_.loop.After(kDiscardTimeout, [weak =
                                                             weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && !self->finished_ && self->mode_ == Mode::kDiscard &&
        self->server_) {
      self->FinishAttempt(SendOutcome::kNotRun, "the server did not run it");
    }
  });
}

void ForwardedCall::ClearCollectedBody() {
  context_.collected_bytes -= body_.size();
  body_.clear();
}

void ForwardedCall::ForwardEvents(std::string_view chunk) {
  CountStart();
  const bool had_event = has_event();
  const auto whole = cutter_.Feed(chunk);
  if (!whole.ok()) {
    FinishAttempt(SendOutcome::kLost, "an event is too long");
    return;
  }
  if (whole->empty()) {
    return;
  }
  if (!had_event) {
    RecordStart();
    RecordRolloutAnswer(/*good=*/true);
    RecordAnswer(context_, call_.parts);
    RecordOrigin();
  }
  StartStream();
  call_.exchange->Write(*whole);
  if (call_.exchange->pending_bytes() > kMaxPendingBytes && !paused_ &&
      server_call_ != nullptr) {
    paused_ = true;
    server_call_->Pause();
  }
}

void ForwardedCall::RecordStart() {
  context_.placement.OnStarted(context_.loop.now(), placement_call_);
  context_.placer.OnStarted(placed_.call, told_slowness_);
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
           {"prompt", placement_request_.prompt.tokens},
           {"shared", placement_request_.prompt.shared.empty()
                          ? 0
                          : placement_request_.prompt.shared.back().tokens},
           {"by_placer", placed_.call != 0},
           {"attempts", sends_}});
}

void ForwardedCall::StartStream() {
  if (stream_started()) {
    return;
  }
  LogIfLate();
  context_.metrics.ObserveFirstEvent(call_.service,
                                     context_.loop.now() - call_.arrived);
  call_.exchange->Begin(status_, headers_);
  call_.exchange->OnDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->paused_ && self->server_call_ != nullptr) {
      self->paused_ = false;
      self->server_call_->Resume();
    }
  });
}

void ForwardedCall::OnEnd(const io::HttpCallEnd& end) {
  if (finished_) {
    return;
  }
  if (mode_ == Mode::kDiscard) {
    FinishAttempt(SendOutcome::kNotRun, "the server did not run it");
    return;
  }
  if (!end.status.ok()) {
    if (!end.sent) {
      context_.paths.OnUnreached(context_.loop.now(), *server_);
    }
    if (end.sent && CodeOf(end.status) == ResultCode::kAnswerLost) {
      RecordLostConnection();
    }
    FinishAttempt(end.sent ? SendOutcome::kLost : SendOutcome::kNotSent,
                  std::string(end.status.message()));
    return;
  }
  if (mode_ == Mode::kStream) {
    if (!cutter_.at_boundary()) {
      FinishAttempt(SendOutcome::kLost, "the stream ended inside an event");
      return;
    }
    if (!has_event() && end.by_close) {
      RecordLostConnection();
      FinishAttempt(SendOutcome::kLost,
                    "the connection was closed before the first event");
      return;
    }
    FinishStream();
    return;
  }
  if (status_ >= kFirstFailureStatus) {
    FinishAttempt(SendOutcome::kServerFailed,
                  fmt::format("the server answered with status {}", status_));
    return;
  }
  RespondCollected();
}

// A server that crashes ends its connections. If it wasn't a crash, answers on
// the same parts elsewhere show it.
void ForwardedCall::RecordLostConnection() {
  if (has_event()) {
    return;
  }
  RecordServerCrash(context_, call_.intake, *server_,
                    {.run = HashOfServerRun(*server_, server_started_ms_),
                     .begun = mode_ != Mode::kAwaitingHead,
                     .parts = call_.parts});
  attempts_.may_end_servers =
      !context_.poison.MayRetry(context_.loop.now(), call_.parts);
}

void ForwardedCall::OnCallerDisconnected() {
  if (finished_) {
    return;
  }
  EndAttempt(/*failed=*/false);
  Finish(ResultCode::kCancelled, 0, "the caller disconnected");
}

void ForwardedCall::OnDeadline() {
  if (!finished_) {
    const bool waits =
        server_call_ != nullptr && server_call_->sent() && !rollout_answered_;
    if (waits && !context_.paths.cut_off(context_.loop.now())) {
      RecordRolloutAnswer(/*good=*/false);
    }
    RefuseOrFail(DeadlineError(GiveUpAttempt()));
  }
}

void ForwardedCall::OnStop() {
  if (!finished_) {
    RefuseOrFail(StopError(GiveUpAttempt()));
  }
}

bool ForwardedCall::GiveUpAttempt() {
  const bool sent = server_call_ != nullptr && server_call_->sent();
  EndAttempt(/*failed=*/false);
  return sent || attempts_.may_have_run > 0;
}

void ForwardedCall::FinishAttempt(SendOutcome outcome,
                                  std::string_view reason) {
  const bool failed =
      outcome == SendOutcome::kLost || outcome == SendOutcome::kNotSent;
  const bool bad_answer =
      outcome == SendOutcome::kLost || outcome == SendOutcome::kServerFailed;
  if (bad_answer && !context_.paths.cut_off(context_.loop.now())) {
    RecordRolloutAnswer(/*good=*/false);
  }
  const std::string reason_copy(reason);
  EndAttempt(failed);
  DecideNext(outcome, reason_copy);
}

void ForwardedCall::EndAttempt(bool failed) {
  if (!server_) {
    return;
  }
  // This closes the connection if the answer is incomplete, so that the server
  // stops and no late byte is read as part of another answer.
  server_call_.reset();
  discard_timer_.Cancel();
  paused_ = false;
  if (failed) {
    context_.placement.OnFailure(context_.loop.now(), *server_);
    // The failures of an instance that is cut off say nothing about servers.
    if (!context_.paths.cut_off(context_.loop.now())) {
      context_.placer.OnFailed(placed_.call, *server_);
    }
  }
  RecordRolloutEnd();
  context_.placement.OnEnded(context_.loop.now(), *server_, placement_call_);
  context_.placer.OnEnded(placed_.call);
  server_.reset();
}

void ForwardedCall::DecideNext(SendOutcome outcome, std::string_view reason) {
  const bool known_not_run =
      outcome == SendOutcome::kNotRun || outcome == SendOutcome::kNotSent;
  (known_not_run ? attempts_.not_run : attempts_.may_have_run) += 1;
  attempts_.last = outcome;
  attempts_.time_left = time_left();
  SendDecision decision = DecideAfterAttempt({}, *call_.route, attempts_);
  if (decision == SendDecision::kTryNext &&
      !context_.retries.TryTake(call_.service)) {
    attempts_.budget_left = false;
    decision = DecideAfterAttempt({}, *call_.route, attempts_);
  }
  const ServerId server = placement_request_.tried.empty()
                              ? ServerId()
                              : placement_request_.tried.back();
  io::Log(io::LogLevel::kInfo, "call.attempt_ended",
          {{"call", call_.intake.attempt},
           {"server", server.value()},
           {"reason", reason},
           {"attempts", sends_},
           {"events", cutter_.events()},
           {"left_ms", Milliseconds(time_left())},
           {"next", static_cast<int>(decision)}});
  switch (decision) {
    case SendDecision::kTryNext:
      cutter_.DropPartialEvent();
      if (stream_started()) {
        context_.metrics.CountResume(call_.service);
      }
      SendNext();
      return;
    case SendDecision::kRefuse:
      if (never_connected() && LeaveToPeer()) {
        return;
      }
      if (context_.placement.Pick(context_.loop.now(), placement_request_)) {
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

void ForwardedCall::CountStart() {
  if (start_counted_ || call_.workspace.empty()) {
    return;
  }
  start_counted_ = true;
  context_.usage.CountStarted(context_.wall_now(), call_.workspace);
}

void ForwardedCall::RespondCollected() {
  if (stream_started()) {
    EndAttempt(/*failed=*/false);
    AbortStream(
        "the server that should have resumed the stream sent no stream");
    return;
  }
  if (server_) {
    RecordRolloutAnswer(/*good=*/true);
    context_.placement.OnSuccess(*server_);
    RecordAnswer(context_, call_.parts);
  }
  EndAttempt(/*failed=*/false);
  call_.exchange->Respond(status_, std::move(headers_), body_);
  Finish(status_ < kFirstFailureStatus ? ResultCode::kOk
                                       : ResultCode::kServerFailed,
         status_, "answered");
}

void ForwardedCall::FinishStream() {
  RecordRolloutAnswer(/*good=*/true);
  context_.placement.OnSuccess(*server_);
  EndAttempt(/*failed=*/false);
  StartStream();  // In case the stream had no events.
  call_.exchange->End();
  Finish(ResultCode::kOk, status_, "streamed");
}

void ForwardedCall::RefuseOrFail(const absl::Status& error) {
  const ErrorDetails details = DetailsOf(error);
  const std::string message(error.message());
  if (details.ran == Ran::kNo) {
    Refuse(details.code, message);
  } else {
    Fail(details.code, message);
  }
}

void ForwardedCall::Refuse(ResultCode code, std::string_view message,
                           std::optional<Duration> known_retry_after) {
  if (stream_started()) {
    AbortStream(message);
    return;
  }
  // Callers wait for at most a third of their remaining time before a retry, so
  // stay below that.
  std::optional<Duration> retry_after = known_retry_after.value_or(
      std::clamp<Duration>(time_left() / 4, kMinRetryAfter, kMaxRetryAfter));
  const bool is_final = code == ResultCode::kUnknownCredential ||
                        code == ResultCode::kStreamVersionGone;
  if (is_final) {
    retry_after.reset();
  }
  RespondError(
      *call_.exchange,
      MakeError({.code = code, .ran = Ran::kNo, .retry_after = retry_after},
                message));
  Finish(code, InfoOf(code).http_status, message);
}

void ForwardedCall::Fail(ResultCode code, std::string_view message) {
  if (stream_started()) {
    AbortStream(message);
    return;
  }
  RespondError(*call_.exchange, MakeError(code, message));
  Finish(code, InfoOf(code).http_status, message);
}

void ForwardedCall::AbortStream(std::string_view reason) {
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
  const Duration elapsed = context_.loop.now() - call_.arrived;
  context_.metrics.CountAnswer(call_.service, code, elapsed);
  io::Log(
      code == ResultCode::kOk ? io::LogLevel::kDebug : io::LogLevel::kInfo,
      "call.ended",
      {{"call", call_.intake.attempt},
       {"route", call_.route->name},
       {"workspace", call_.workspace.value()},
       {"config", call_.config->version()},
       {"proof_age_ms", Milliseconds(context_.proof.age(context_.loop.now()))},
       {"server", placement_request_.tried.empty()
                      ? ""
                      : placement_request_.tried.back().value()},
       {"attempts", sends_},
       {"events", cutter_.events()},
       {"status", status},
       {"code", static_cast<int>(code)},
       {"ms", Milliseconds(elapsed)},
       {"reason", reason}});
}

}  // namespace oleander::entry
