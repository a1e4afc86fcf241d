#include "node/dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "io/log.h"
#include "node/chat_request.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

// Estimated bytes per token of an answer on the network, for the traffic budget
// of the link between regions.
constexpr int64_t kBytesPerToken = 200;

bool IsRetryable(const absl::Status& status) {
  const ResultCode code = CodeOf(status);
  return code != ResultCode::kCancelled &&
         code != ResultCode::kMalformedRequest;
}

}  // namespace

AttemptOutcome OutcomeOf(const io::CompletionEnd& end, uint64_t resume_from) {
  AttemptOutcome outcome;
  outcome.status = end.status;
  outcome.finish_reason = end.finish_reason;
  if (end.status.ok() && end.usage.has_value() &&
      end.usage->completion_tokens > 0) {
    outcome.total_events =
        resume_from + static_cast<uint64_t>(end.usage->completion_tokens);
  }
  // An engine may be able to resume an answer that another engine rejects.
  outcome.retryable = IsRetryable(end.status) || resume_from > 0;
  return outcome;
}

RoutableRequest MakeRoutable(const std::string& body) {
  RoutableRequest routable;
  const auto chat = ParseChatRequest(body);
  if (chat.ok()) {
    routable.blocks = PrefixBlocks(chat->prompt);
    routable.prompt_tokens = CountWords(chat->prompt);
    routable.max_tokens = chat->max_tokens;
  }
  return routable;
}

Dispatcher::Dispatcher(const DispatcherParts& parts, InstanceId self,
                       DispatchCallbacks callbacks)
    : parts_(parts), self_(std::move(self)), callbacks_(std::move(callbacks)) {}

void Dispatcher::RetainAdmission(const RequestId& id, AdmissionId admission,
                                 RoutableRequest routable) {
  retained_admissions_[id] = {.admission = admission,
                              .routable = std::move(routable)};
}

void Dispatcher::Start(Time now, const DispatchAttempt& dispatch) {
  const AttemptKey key = dispatch.key;
  Attempt& attempt = attempts_[key];
  attempt.dispatch = dispatch;
  const auto retained = retained_admissions_.find(key.id);
  if (retained == retained_admissions_.end()) {
    attempt.routable = MakeRoutable(dispatch.spec->body);
    RequestAdmission(now, attempt);
    return;
  }
  attempt.admission = retained->second.admission;
  attempt.admitted = true;
  attempt.routable = std::move(retained->second.routable);
  retained_admissions_.erase(retained);
  Send(now, key);
}

void Dispatcher::Cancel(Time now, const AttemptKey& key) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  if (attempt.call != nullptr) {
    parts_.engines.Cancel(attempt.server, AttemptName(key, self_));
    FinishCall(now, attempt, CallOutcome::kCancelled, std::nullopt);
    DestroyLater(std::move(attempt.call));
  } else {
    parts_.admission.Withdraw(now, attempt.admission);
  }
  attempts_.erase(key);
}

void Dispatcher::ResumeFrom(const RequestId& id, const ServerId& server,
                            std::string kv_handle) {
  kv_resumes_[id] = {.server = server, .handle = std::move(kv_handle)};
}

std::optional<Dispatcher::AttemptView> Dispatcher::Find(
    const AttemptKey& key) const {
  const auto found = attempts_.find(key);
  if (found == attempts_.end() || found->second.call == nullptr) {
    return std::nullopt;
  }
  const Attempt& attempt = found->second;
  AttemptView view;
  view.server = attempt.server.id;
  view.prompt_tokens = attempt.routable.prompt_tokens;
  view.generated =
      static_cast<int64_t>(attempt.dispatch.resume_from) + attempt.tokens;
  view.max_tokens = attempt.routable.max_tokens;
  if (attempt.tokens > 1) {
    view.token_interval =
        (attempt.last_token_at - attempt.sent_at) / attempt.tokens;
  }
  return view;
}

void Dispatcher::RequestAdmission(Time now, Attempt& attempt) {
  const RequestSpec& spec = *attempt.dispatch.spec;
  AdmissionQuery query;
  query.service = spec.service;
  query.workspace = spec.workspace;
  query.priority = spec.priority;
  query.deadline = attempt.dispatch.deadline.value_or(Time::max());
  const ProfileState* state = parts_.profiles.ForService(spec.service);
  if (state != nullptr && state->profile.has_value()) {
    query.share = ShareOf(*state->profile, spec.workspace);
  }
  query.cost_tokens = static_cast<double>(attempt.routable.prompt_tokens +
                                          attempt.routable.max_tokens);
  const AttemptKey key = attempt.dispatch.key;
  const AdmissionId id = parts_.admission.Offer(
      now, query, [this, key](const absl::Status& status) {
        const auto found = attempts_.find(key);
        if (found == attempts_.end()) {
          return;
        }
        found->second.admitted = status.ok();
        // The decision may come before Offer() has returned the admission id,
        // so the remaining steps run in a later event.
        parts_.loop.Post([this, key, status] {
          if (!attempts_.contains(key)) {
            return;
          }
          if (status.ok()) {
            Send(parts_.loop.now(), key);
          } else {
            End(key, {.status = status,
                      .finish_reason = "",
                      .total_events = {},
                      .retryable = true});
          }
        });
      });
  attempt.admission = id;
}

void Dispatcher::Send(Time now, const AttemptKey& key) {
  Attempt& attempt = attempts_.at(key);
  const auto route = ChooseServer(now, attempt);
  const auto server =
      route.ok() ? parts_.servers.Find(route->server) : std::nullopt;
  if (!server.has_value()) {
    kv_resumes_.erase(key.id);
    const absl::Status status =
        route.ok() ? MakeError(ResultCode::kNoServer,
                               "The chosen server is no longer listed.")
                   : route.status();
    parts_.admission.Finish(now, attempt.admission,
                            {.first_token = {}, .answered = false});
    End(key, {.status = status,
              .finish_reason = "",
              .total_events = {},
              .retryable = true});
    return;
  }
  attempt.server = *server;
  attempt.call_id = next_call_id_++;
  attempt.sent_at = now;
  const int64_t output = attempt.routable.max_tokens;
  parts_.router.OnDispatched(
      now, {.attempt = attempt.call_id,
            .service = attempt.dispatch.spec->service,
            .server = server->id,
            .blocks = attempt.routable.blocks,
            .prompt_tokens = attempt.routable.prompt_tokens,
            .cached_tokens = route->cached_tokens,
            .max_tokens = output,
            .bytes = static_cast<int64_t>(attempt.dispatch.spec->body.size()) +
                     output * kBytesPerToken,
            .expected_first_token = route->expected_first_token});
  io::CompletionOptions options;
  options.attempt = AttemptName(key, self_);
  options.body = BodyOf(attempt);
  options.first_event_bound = attempt.dispatch.spec->first_event_bound;
  options.progress_bound = attempt.dispatch.spec->stall_bound;
  options.fresh_connection = key.attempt > 1;
  callbacks_.on_started(key, server->id);
  if (key.attempt > 1) {
    parts_.metrics.CountRetry(attempt.dispatch.spec->service.value());
  }
  io::Log(io::LogLevel::kDebug, "attempt.started",
          {{"request", key.id.value()},
           {"attempt", options.attempt},
           {"server", server->id.value()},
           {"from", attempt.dispatch.resume_from}});
  attempt.call = parts_.engines.Complete(
      *server, std::move(options),
      {.on_tokens =
           [this, key](uint64_t first_index,
                       const std::vector<std::string>& tokens) {
             OnTokens(key, first_index, tokens);
           },
       .on_end = [this,
                  key](const io::CompletionEnd& end) { OnCallEnd(key, end); }});
}

absl::StatusOr<Route> Dispatcher::ChooseServer(Time now, Attempt& attempt) {
  const RequestSpec& spec = *attempt.dispatch.spec;
  if (const auto kv = kv_resumes_.find(attempt.dispatch.key.id);
      kv != kv_resumes_.end()) {
    return Route{.server = kv->second.server,
                 .expected_first_token = {},
                 .cached_tokens = attempt.routable.prompt_tokens,
                 .crosses_region = false,
                 .may_be_stale = false};
  }
  const ProfileState* state = parts_.profiles.ForService(spec.service);
  RouteQuery query;
  query.service = spec.service;
  query.workspace = spec.workspace;
  query.blocks = attempt.routable.blocks;
  query.prompt_tokens = attempt.routable.prompt_tokens +
                        static_cast<int64_t>(attempt.dispatch.resume_from);
  query.max_tokens = attempt.routable.max_tokens;
  query.bytes = static_cast<int64_t>(spec.body.size()) +
                attempt.routable.max_tokens * kBytesPerToken;
  query.priority = spec.priority;
  if (state != nullptr && state->profile.has_value()) {
    query.weights = state->profile->weights;
    query.first_token_target = state->profile->latency.first_token;
  }
  query.avoid = attempt.dispatch.avoid;
  query.random_bits = random_();
  auto route = parts_.router.Choose(now, query);
  if (!route.ok() && !query.avoid.empty()) {
    // A server on which this request failed before is better than none.
    query.avoid = {};
    route = parts_.router.Choose(now, query);
  }
  return route;
}

std::string Dispatcher::BodyOf(const Attempt& attempt) {
  const DispatchAttempt& dispatch = attempt.dispatch;
  EngineCallOptions options;
  options.priority = static_cast<int>(dispatch.spec->priority);
  options.resume_from = dispatch.resume_from;
  options.resume_text = dispatch.resume_text;
  if (const auto kv = kv_resumes_.find(dispatch.key.id);
      kv != kv_resumes_.end()) {
    options.kv_handle = std::move(kv->second.handle);
    kv_resumes_.erase(kv);
  }
  return EngineBody(dispatch.spec->body, options);
}

void Dispatcher::OnTokens(const AttemptKey& key, uint64_t first_index,
                          const std::vector<std::string>& tokens) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  const Time now = parts_.loop.now();
  if (!std::exchange(attempt.first_token_seen, true)) {
    parts_.router.OnFirstToken(now, attempt.call_id);
    parts_.admission.OnFirstToken(now, attempt.admission);
    parts_.metrics.ObserveFirstToken(attempt.dispatch.spec->service.value(),
                                     now - attempt.sent_at);
  }
  attempt.tokens += static_cast<int64_t>(tokens.size());
  attempt.last_token_at = now;
  parts_.metrics.CountTokens(attempt.dispatch.spec->service.value(),
                             tokens.size());
  callbacks_.on_tokens(key, first_index, tokens);
}

void Dispatcher::OnCallEnd(const AttemptKey& key,
                           const io::CompletionEnd& end) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  FinishCall(parts_.loop.now(), attempt,
             end.status.ok() ? CallOutcome::kAnswered : CallOutcome::kFailed,
             end.usage);
  if (!end.status.ok()) {
    io::Log(io::LogLevel::kInfo, "attempt.failed",
            {{"request", key.id.value()},
             {"attempt", AttemptName(key, self_)},
             {"server", attempt.server.id.value()},
             {"code", static_cast<int>(CodeOf(end.status))},
             {"message", std::string(end.status.message())}});
  }
  DestroyLater(std::move(attempt.call));
  End(key, OutcomeOf(end, attempt.dispatch.resume_from));
}

void Dispatcher::FinishCall(Time now, Attempt& attempt, CallOutcome outcome,
                            const std::optional<io::EngineUsage>& usage) {
  const std::string& service = attempt.dispatch.spec->service.value();
  EndedCall ended{.outcome = outcome, .tokens = attempt.tokens};
  if (usage.has_value()) {
    parts_.metrics.CountRecomputedTokens(
        service, static_cast<uint64_t>(usage->recomputed_tokens));
  }
  parts_.router.OnEnded(now, attempt.call_id, ended);
  parts_.admission.Finish(
      now, attempt.admission,
      {.first_token = {}, .answered = outcome == CallOutcome::kAnswered});
}

void Dispatcher::End(const AttemptKey& key, const AttemptOutcome& outcome) {
  attempts_.erase(key);
  callbacks_.on_ended(key, outcome);
}

// Destroys a call in a later event, because a call can end inside its own
// callbacks.
void Dispatcher::DestroyLater(std::unique_ptr<io::CompletionCall> call) {
  parts_.loop.Post(
      [shared = std::shared_ptr<io::CompletionCall>(std::move(call))] {});
}

}  // namespace oleander::node
