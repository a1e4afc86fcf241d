#include "entry/call_handler.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/numbers.h"
#include "entry/call_answers.h"
#include "entry/poison_guard.h"
#include "entry/relayed_call.h"
#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// The timeout of a call if neither the route nor the caller sets one.
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
// A configuration that was confirmed longer ago may lack routes and credentials
// that operators added since. It is read about once a second.
constexpr Duration kMaxRecentProofAge = std::chrono::milliseconds(2400);
constexpr Duration kUnreadyRetryAfter = std::chrono::milliseconds(300);
// Short, because another instance can accept the request at once.
constexpr Duration kDrainingRetryAfter = std::chrono::milliseconds(20);
// Bounds for requests that arrive before the configuration and the servers are
// known. A new process reads both within some tens of milliseconds.
constexpr Duration kMaxParkedTime = std::chrono::milliseconds(700);
constexpr size_t kMaxParked = 400;
// A quota request to an allocator in another region takes some tens of
// milliseconds.
constexpr Duration kMaxQuotaWait = std::chrono::milliseconds(250);
constexpr Duration kMinQuotaWait = std::chrono::milliseconds(100);
// The callers of a stream that broke off lose what they have if it is refused.
// They wait about two seconds for an event before they give up.
constexpr Duration kMaxTakeUpQuotaWait = std::chrono::milliseconds(1500);
constexpr int kLowestUrgency = 9;

absl::Status Unready(ResultCode code, std::string_view message) {
  return MakeError(
      {.code = code, .ran = Ran::kNo, .retry_after = kUnreadyRetryAfter},
      message);
}

// Returns a number from 0 to 1 that is the same for each attempt of one call
// and is distributed uniformly over calls.
double UniformHash(const ports::CallIntake& intake) {
  const std::string& attempt =
      intake.resumes.empty() ? intake.attempt : intake.resumes;
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(XXH64(attempt.data(), attempt.size(), 0)) / kRange;
}

Time DeadlineOf(const AcceptedCall& call) {
  const Duration timeout = call.route->timeout > Duration::zero()
                               ? call.route->timeout
                               : kDefaultTimeout;
  return call.arrived +
         std::min(timeout, call.intake.time_left.value_or(timeout));
}

// Returns how long a call may wait for its quota. A short wait costs less than
// a refusal, as long as the goal for the first token can still be met; the goal
// of a stream that its caller takes up was met or missed before.
Duration QuotaTimeout(const AcceptedCall& call) {
  const Duration usual =
      std::clamp<Duration>(call.route->goal / 3, kMinQuotaWait, kMaxQuotaWait);
  const bool taken_up =
      call.intake.resume_after.has_value() && call.route->resumable;
  return taken_up ? std::clamp<Duration>((call.deadline - call.arrived) / 3,
                                         usual, kMaxTakeUpQuotaWait)
                  : usual;
}

absl::Status QuotaError(const AcceptedCall& call, Duration wait) {
  return MakeError(
      {.code = ResultCode::kQuotaSpent, .ran = Ran::kNo, .retry_after = wait},
      fmt::format("Workspace {} has used up its quota.",
                  call.workspace.value()));
}

// Keeps calls alive that end while they are visited.
template <typename Call>
std::vector<std::shared_ptr<Call>> Shared(
    const absl::flat_hash_set<Call*>& calls) {
  std::vector<std::shared_ptr<Call>> shared;
  std::ranges::transform(calls, std::back_inserter(shared),
                         [](Call* call) { return call->shared_from_this(); });
  return shared;
}

}  // namespace

void CallHandler::Handle(std::shared_ptr<io::HttpExchange> exchange) {
  if (!is_initialized() && parked_.size() < kMaxParked) {
    Park(std::move(exchange));
    return;
  }
  Process(std::move(exchange), context_.loop.now());
}

void CallHandler::HandleFromPeer(std::shared_ptr<io::HttpExchange> exchange) {
  Process(std::move(exchange), context_.loop.now(), /*from_peer=*/true);
}

void CallHandler::RefuseBody(std::shared_ptr<io::HttpExchange> exchange,
                             const absl::Status& status) const {
  AcceptedCall call;
  call.exchange = std::move(exchange);
  call.arrived = context_.loop.now();
  if (auto intake = context_.codec.Read(call.exchange->request());
      intake.ok()) {
    call.intake = *std::move(intake);
  }
  Refuse(call, status);
}

void CallHandler::Park(std::shared_ptr<io::HttpExchange> exchange) {
  const Time now = context_.loop.now();
  if (parked_.empty()) {
    parked_timer_ = context_.loop.After(kMaxParkedTime, [this] {
      for (Parked& parked : std::exchange(parked_, {})) {
        Process(std::move(parked.exchange), parked.arrived);
      }
    });
  }
  parked_.push_back({.exchange = std::move(exchange), .arrived = now});
}

void CallHandler::Resume() {
  if (!is_initialized()) {
    return;
  }
  parked_timer_.Cancel();
  for (Parked& parked : std::exchange(parked_, {})) {
    Process(std::move(parked.exchange), parked.arrived);
  }
}

size_t CallHandler::EndOpenCalls() {
  const auto forwarded = Shared(context_.open_calls);
  std::ranges::for_each(forwarded, &ForwardedCall::OnStop);
  const auto relayed = Shared(context_.relayed_calls);
  std::ranges::for_each(relayed, &RelayedCall::OnStop);
  return forwarded.size() + relayed.size();
}

void CallHandler::OnCutOff() {
  std::ranges::for_each(Shared(context_.open_calls), &ForwardedCall::OnCutOff);
}

void CallHandler::Process(std::shared_ptr<io::HttpExchange> exchange,
                          Time arrived, bool from_peer) {
  AcceptedCall call;
  call.exchange = std::move(exchange);
  call.from_peer = from_peer;
  call.arrived = arrived;
  if (const absl::Status status = Accept(call); !status.ok()) {
    Refuse(call, status);
    return;
  }
  const double cost = from_peer ? 0 : QuotaCostOf(call);
  if (cost <= 0) {
    Forward(std::move(call));
    return;
  }
  const WorkspaceId workspace = call.workspace;
  const Duration timeout = QuotaTimeout(call);
  context_.quotas.Take(
      workspace, cost, timeout,
      [this, cost, call = std::make_shared<AcceptedCall>(std::move(call))](
          const std::optional<Duration>& retry_after) {
        OnQuota(std::move(*call), cost, retry_after);
      });
}

void CallHandler::OnQuota(AcceptedCall call, double cost,
                          const std::optional<Duration>& retry_after) {
  if (call.exchange->closed()) {
    if (!retry_after) {
      context_.quotas.Refund(call.workspace, cost);
    }
  } else if (retry_after) {
    Refuse(call, QuotaError(call, *retry_after));
  } else {
    Forward(std::move(call));
  }
}

void CallHandler::Forward(AcceptedCall call) {
  std::make_shared<ForwardedCall>(context_, std::move(call))->Start();
}

absl::Status CallHandler::Accept(AcceptedCall& call) const {
  if (context_.open_calls.size() + context_.relayed_calls.size() >=
      context_.max_calls) {
    return Unready(ResultCode::kMemoryFull,
                   "This instance has as many open requests as its memory "
                   "allows.");
  }
  auto intake = context_.codec.Read(call.exchange->request());
  if (!intake.ok()) {
    return intake.status();
  }
  call.intake = *std::move(intake);
  call.config = context_.config;
  if (context_.refusing) {
    return MakeError({.code = ResultCode::kDraining,
                      .ran = Ran::kNo,
                      .retry_after = kDrainingRetryAfter},
                     "This instance is about to stop.");
  }
  if (call.config == nullptr) {
    return Unready(ResultCode::kNoConfiguration,
                   "This instance has not read a configuration yet.");
  }
  if (context_.config_superseded) {
    return Unready(ResultCode::kConfigUnproven,
                   "A newer configuration is in force elsewhere.");
  }
  if (absl::Status status = CheckConfigOfPeer(call); !status.ok()) {
    return status;
  }
  if (absl::Status status = FindRoute(call); !status.ok()) {
    return status;
  }
  if (absl::Status status = FindWorkspace(call); !status.ok()) {
    return status;
  }
  call.parts =
      BlamableParts(call.exchange->request(), call.intake, call.workspace);
  if (absl::Status status = CheckSuspicion(context_, call.intake, call.parts);
      !status.ok()) {
    return status;
  }
  call.service = PickTarget(*call.route, UniformHash(call.intake));
  call.deadline = DeadlineOf(call);
  return absl::OkStatus();
}

double CallHandler::QuotaCostOf(const AcceptedCall& call) {
  const auto& workspaces = call.config->workspaces();
  const auto found =
      std::ranges::find(workspaces, call.workspace, &Workspace::id);
  return found == workspaces.end() || found->quota.per_s <= 0
             ? 0
             : QuotaCost(found->quota, call.intake.prompt_tokens,
                         call.intake.max_output_tokens);
}

absl::Status CallHandler::CheckConfigOfPeer(const AcceptedCall& call) {
  const auto text = call.from_peer
                        ? io::FindHeader(call.exchange->request().headers,
                                         kRelayedConfigHeader)
                        : std::nullopt;
  int64_t version = 0;
  const bool older = text && absl::SimpleAtoi(std::string(*text), &version) &&
                     call.config->version() < version;
  return older ? Unready(ResultCode::kConfigUnproven,
                         "The configuration here is older than that of the "
                         "instance that accepted the request.")
               : absl::OkStatus();
}

absl::Status CallHandler::FindRoute(AcceptedCall& call) const {
  const io::HttpRequest& request = call.exchange->request();
  call.route = call.config->FindRoute(call.intake.host, request.path);
  if (call.route != nullptr) {
    return absl::OkStatus();
  }
  if (!config_is_recent()) {
    return Unready(ResultCode::kConfigUnproven,
                   "The configuration here may lack the newest routes.");
  }
  return MakeError(ResultCode::kUnknownPath,
                   fmt::format("Host \"{}\" has no route for path \"{}\".",
                               call.intake.host, request.path));
}

absl::Status CallHandler::FindWorkspace(AcceptedCall& call) const {
  int priority = call.route->priority;
  const Workspace* workspace =
      call.intake.credential.empty()
          ? nullptr
          : call.config->FindWorkspace(call.intake.credential);
  const bool credential_required =
      !call.route->is_public && !call.config->workspaces().empty();
  if (workspace == nullptr && credential_required) {
    if (!config_is_recent()) {
      return Unready(ResultCode::kConfigUnproven,
                     "The configuration here may lack the newest "
                     "credentials.");
    }
    return MakeError(ResultCode::kUnknownCredential,
                     "The request's credential belongs to no workspace.");
  }
  if (workspace != nullptr) {
    call.workspace = workspace->id;
    priority = workspace->priority.value_or(priority);
  }
  call.urgency = std::clamp(priority, 0, kLowestUrgency);
  return absl::OkStatus();
}

bool CallHandler::config_is_recent() const {
  return context_.proof.age(context_.loop.now()) < kMaxRecentProofAge;
}

void CallHandler::Refuse(const AcceptedCall& call,
                         const absl::Status& status) const {
  const ErrorDetails details = DetailsOf(status);
  const int http_status = InfoOf(details.code).http_status;
  RespondError(*call.exchange, status);
  context_.metrics.CountAnswer(ServiceId("none"), details.code,
                               context_.loop.now() - call.arrived);
  io::Log(io::LogLevel::kInfo, "call.refused",
          {{"call", call.intake.attempt},
           {"host", call.intake.host},
           {"path", call.exchange->request().path},
           {"resumes", call.intake.resumes},
           {"status", http_status},
           {"code", static_cast<int>(details.code)},
           {"config", call.config == nullptr ? 0 : call.config->version()},
           {"reason", std::string(status.message())}});
}

}  // namespace oleander::entry
