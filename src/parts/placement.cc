#include "oleander/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <ranges>
#include <utility>

namespace oleander {
namespace {

// Further failures in a row don't lengthen the cooldown, which is then four
// times failure_cooldown.
constexpr int kMaxCountedFailures = 4;
// Answers faster than this are taken to have taken this long.
constexpr Duration kMinAnswerTime = std::chrono::milliseconds(1);
// Weight of a report in the mean of what the servers of a service report.
constexpr double kMeanCallsWeight = 0.05;
// Among servers of equal cost, the choice falls on each by this power of the
// rate that it works at. In proportion to its rate, it would be as busy as the
// others, and its calls would be late as often as theirs are or more.
constexpr double kShareExponent = 2;

uint64_t RankHash(uint64_t prefix_hash, const ServerId& server) {
  return XXH64(server.value().data(), server.value().size(), prefix_hash);
}

Duration Scaled(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void Placement::SetServers(const std::vector<const ListedServer*>& ready) {
  pace_.SetServers(ready);
  for (auto& [id, server] : servers_) {
    server.listed = false;
  }
  by_service_.clear();
  for (const ListedServer* listed : ready) {
    Server& server = servers_[listed->id];
    if (server.started_ms != listed->started_ms) {
      ForgetRun(server);
    }
    server.id = listed->id;
    server.service = listed->service;
    server.domain = listed->domain;
    server.slots = listed->slots;
    server.started_ms = listed->started_ms;
    server.version = listed->version;
    server.listed = true;
    by_service_[listed->service].push_back(listed->id);
    const auto memory = memories_.find(listed->service);
    if (memory != memories_.end()) {
      backlog_.SetEngine(listed->id, memory->second);
    }
  }
  absl::erase_if(servers_, [this](const auto& item) {
    const bool removed = !item.second.listed && item.second.local_calls == 0;
    if (removed) {
      backlog_.Forget(item.first);
    }
    return removed;
  });
}

void Placement::ForgetRun(Server& server) {
  backlog_.Forget(server.id);
  const int local_calls = server.local_calls;
  server = Server();
  server.local_calls = local_calls;  // Those to the earlier run may be open.
}

std::optional<ServerId> Placement::Pick(Time now,
                                        const PlacementRequest& request) {
  std::vector<const Server*> candidates = Candidates(now, request);
  if (candidates.empty()) {
    return std::nullopt;
  }
  Preference preference = PreferenceFor(candidates, request);
  if (request.prompt.tokens == 0 && options_.learned_pace) {
    preference.usual_us = pace_.UsualTime(request.service, request.kind);
    preference.mean_calls = mean_calls_[request.service];
  }
  std::vector<Cost> costs;
  costs.reserve(candidates.size());
  for (const Server* server : candidates) {
    costs.push_back(CostOf(now, *server, preference, request));
  }
  const Duration least = std::ranges::min(costs, {}, &Cost::cost).cost;
  std::erase_if(costs, [this, least](const Cost& row) {
    return row.cost > least + options_.tie_margin;
  });
  return Draw(costs).server->id;
}

const Placement::Cost& Placement::Draw(const std::vector<Cost>& equal) {
  const auto shares = equal | std::views::transform(&Cost::share);
  const bool alike =
      std::ranges::adjacent_find(shares, std::not_equal_to{}) == shares.end();
  return equal[alike ? std::uniform_int_distribution<size_t>(
                           0, equal.size() - 1)(gen_)
                     : std::discrete_distribution<size_t>(shares.begin(),
                                                          shares.end())(gen_)];
}

uint64_t Placement::OnSent(Time now, const ServerId& server,
                           const Prompt& prompt) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 0;
  }
  ++found->second.local_calls;
  limits_.OnSent(now, server);
  if (prompt.tokens == 0) {
    return 0;
  }
  if (InLocalRegion(found->second)) {
    std::deque<SentPrefill>& sent = sent_prefills_[found->second.service];
    sent.push_back(
        {.at = now,
         .prefill_time = backlog_.PrefillTime(
             server, prompt.tokens, backlog_.UncachedTokens(server, prompt))});
    while (sent.front().at + options_.prefill_window < now) {
      sent.pop_front();
    }
  }
  const uint64_t call = backlog_.OnSent(now, server, prompt);
  prompt_calls_[call] = server;
  return call;
}

std::vector<std::pair<ServiceId, double>> Placement::PrefillLoadInRegion(
    Time now) const {
  std::vector<std::pair<ServiceId, double>> engines;
  for (const auto& [service, sent] : sent_prefills_) {
    Duration prefill_time{};
    for (const SentPrefill& call : sent) {
      prefill_time += call.at + options_.prefill_window < now
                          ? Duration::zero()
                          : call.prefill_time;
    }
    engines.emplace_back(
        service, std::chrono::duration<double>(prefill_time) /
                     std::chrono::duration<double>(options_.prefill_window));
  }
  return engines;
}

void Placement::OnStarted(Time now, uint64_t call) {
  const auto started = prompt_calls_.extract(call);
  if (started.empty()) {
    return;
  }
  const ServerId& id = started.mapped();
  const double told = options_.learned_pace ? pace_.BelievedTold(now, id) : 1;
  const auto longer = backlog_.OnPrefilled(now, call, told);
  const auto server = servers_.find(id);
  if (longer && server != servers_.end() && options_.learned_pace) {
    // The backlog has already taken the calls that wait into account.
    const double calls =
        std::clamp<double>(EstimatedCalls(now, id), 1, server->second.slots);
    pace_.OnAnswer(now, id,
                   {.calls = calls, .time = *longer, .reported = false});
  }
}

void Placement::OnAnswered(Time now, const ServerId& server,
                           const PlacementRequest& request, Duration took) {
  const auto found = servers_.find(server);
  if (found == servers_.end() || request.prompt.tokens != 0 ||
      !options_.learned_pace) {
    return;
  }
  const Duration worked =
      std::max(kMinAnswerTime, took - NetworkDelayTo(found->second));
  pace_.OnAnswer(now, server,
                 {.kind = request.kind,
                  .calls = std::max(1.0, EstimatedCalls(now, server)),
                  .time = static_cast<double>(worked.count())});
}

void Placement::OnToldSlowness(Time now, const ServerId& server,
                               double slowness) {
  pace_.OnTold(now, server, slowness);
}

void Placement::OnEnded(Time now, const ServerId& server, uint64_t call) {
  backlog_.OnEnded(now, call);
  prompt_calls_.erase(call);
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  found->second.local_calls = std::max(0, found->second.local_calls - 1);
  if (found->second.local_calls == 0 && !found->second.listed) {
    backlog_.Forget(server);
    servers_.erase(found);
  }
}

void Placement::OnLoad(Time now, const ServerId& server, int running,
                       int waiting) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  Server& known = found->second;
  known.running = running;
  known.waiting = waiting;
  known.reported_at = now;
  known.local_calls_at_report = known.local_calls;
  double& mean = mean_calls_[known.service];
  mean += kMeanCallsWeight * (running + waiting - mean);
}

void Placement::OnFailure(Time now, const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  Server& known = found->second;
  known.failures_in_row =
      std::min(known.failures_in_row + 1, kMaxCountedFailures);
  // A single failure may be chance; the second one in a row starts a cooldown.
  if (known.failures_in_row >= 2) {
    known.cooldown_until =
        now + options_.failure_cooldown * (1 << (known.failures_in_row - 2));
  }
}

void Placement::OnSuccess(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.failures_in_row = 0;
    found->second.cooldown_until.reset();
  }
}

double Placement::EstimatedCalls(Time now, const ServerId& server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 0;
  }
  const Server& known = found->second;
  if (!known.reported_at ||
      now - *known.reported_at > options_.report_max_age) {
    return known.local_calls;
  }
  return std::max<double>(known.local_calls, known.running + known.waiting +
                                                 known.local_calls -
                                                 known.local_calls_at_report);
}

int Placement::local_calls(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.local_calls;
}

Placement::Preference Placement::PreferenceFor(
    const std::vector<const Server*>& candidates,
    const PlacementRequest& request) const {
  Preference preference;
  const Prompt& prompt = request.prompt;
  if (prompt.shared.empty()) {
    return preference;
  }
  preference.cached_somewhere =
      std::ranges::any_of(candidates, [&](const Server* server) {
        return backlog_.UncachedTokens(server->id, prompt) <=
               prompt.tokens - prompt.shared.back().tokens;
      });
  const uint64_t prefix_hash = prompt.shared.back().hash;
  for (const Server* server : candidates) {
    const bool better = InLocalRegion(*server) &&
                        (preference.preferred == nullptr ||
                         RankHash(prefix_hash, server->id) >
                             RankHash(prefix_hash, preference.preferred->id));
    preference.preferred = better ? server : preference.preferred;
  }
  return preference;
}

int64_t Placement::ExpectedPrefillTokens(const Server& server,
                                         const Preference& preference,
                                         const Prompt& prompt) const {
  const int64_t uncached = backlog_.UncachedTokens(server.id, prompt);
  if (preference.cached_somewhere || preference.preferred != &server) {
    return uncached;
  }
  const auto assumed_cached =
      static_cast<int64_t>(options_.preferred_cached_share *
                           static_cast<double>(prompt.shared.back().tokens));
  return std::min(uncached, prompt.tokens - assumed_cached);
}

Duration Placement::WaitAt(Time now, const Server& server, int urgency) const {
  const Duration known = backlog_.WaitAt(now, server.id, urgency);
  const bool reported =
      server.wait_reported_at &&
      now - *server.wait_reported_at < options_.reported_wait_max_age;
  return reported ? std::max(known, server.reported_wait -
                                        (now - *server.wait_reported_at))
                  : known;
}

void Placement::OnReportedWait(Time now, const ServerId& server,
                               Duration wait) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.reported_wait = wait;
    found->second.wait_reported_at = now;
  }
}

std::vector<std::pair<ServerId, Duration>> Placement::WaitsInRegion(
    Time now) const {
  std::vector<std::pair<ServerId, Duration>> waits;
  for (const auto& [id, server] : servers_) {
    const bool engine = memories_.contains(server.service);
    if (engine && server.local_calls > 0 && InLocalRegion(server)) {
      waits.emplace_back(id, backlog_.WaitAt(now, id, 0));
    }
  }
  return waits;
}

const RegionId* Placement::RegionOfServer(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : RegionOf(found->second.domain);
}

Duration Placement::TimeToFirstToken(Time now, const Server& server,
                                     const Prompt& prompt, int64_t uncached,
                                     double slowness) const {
  return Scaled(WaitAt(now, server, prompt.urgency) +
                    backlog_.PrefillTime(server.id, prompt.tokens, uncached),
                slowness) +
         NetworkDelayTo(server);
}

double Placement::SlownessAt(Time now, const Server& server,
                             double calls) const {
  return options_.learned_pace ? pace_.SlownessAt(now, server.id, calls) : 1;
}

Duration Placement::ExpectedFirstToken(Time now, const ServerId& server,
                                       const PlacementRequest& request) const {
  const auto found = servers_.find(server);
  return found == servers_.end()
             ? Duration::max()
             : TimeToFirstToken(now, found->second, request.prompt,
                                backlog_.UncachedTokens(server, request.prompt),
                                SlownessAt(now, found->second,
                                           EstimatedCalls(now, server) + 1));
}

Placement::Cost Placement::CostOf(Time now, const Server& server,
                                  const Preference& preference,
                                  const PlacementRequest& request) const {
  const auto [calls, fresh] = EstimateLoad(now, server, preference);
  const double waiting = std::max(0.0, calls - server.slots);
  const double slowness = SlownessAt(now, server, calls + 1);
  const Duration load_cost = Scaled(options_.cost_per_running, calls) +
                             Scaled(options_.cost_per_waiting, waiting);
  const Prompt& prompt = request.prompt;
  if (prompt.tokens == 0) {
    return {.server = &server,
            .cost = Scaled(load_cost, std::pow(slowness, fresh)) +
                    NetworkDelayTo(server),
            .share = std::pow(slowness, -kShareExponent)};
  }
  const int64_t tokens = ExpectedPrefillTokens(server, preference, prompt);
  const int64_t own_tokens =
      prompt.tokens - (prompt.shared.empty() ? 0 : prompt.shared.back().tokens);
  const Duration repeated =
      backlog_.PrefillTime(server.id, prompt.tokens - own_tokens,
                           std::max<int64_t>(0, tokens - own_tokens));
  const Duration first =
      TimeToFirstToken(now, server, prompt, tokens, slowness);
  const Duration goal =
      request.goal > Duration::zero() ? request.goal : options_.default_goal;
  const double lateness =
      static_cast<double>(first.count()) / static_cast<double>(goal.count());
  return {.server = &server,
          .cost = Scaled(load_cost, slowness) + first +
                  Scaled(first, lateness) +
                  Scaled(repeated, options_.repeated_prefill_weight)};
}

Placement::LoadEstimate Placement::EstimateLoad(
    Time now, const Server& server, const Preference& preference) const {
  const double calls = EstimatedCalls(now, server.id);
  if (preference.usual_us <= 0) {
    return {.calls = calls};
  }
  const bool reported = server.reported_at &&
                        now - *server.reported_at <= options_.report_max_age;
  const double turns = std::max(1.0, calls / server.slots);
  const double fresh =
      reported ? std::exp2(
                     -static_cast<double>((now - *server.reported_at).count()) /
                     (preference.usual_us * turns))
               : 0;
  return {.calls = std::max<double>(
              server.local_calls,
              preference.mean_calls + (calls - preference.mean_calls) * fresh),
          .fresh = fresh};
}

Duration Placement::NetworkDelayTo(const Server& server) const {
  if (!InLocalRegion(server)) {
    return options_.other_region_delay;
  }
  return server.domain == self_.domain ? Duration::zero()
                                       : options_.other_domain_delay;
}

bool Placement::InLocalRegion(const Server& server) const {
  const RegionId* region = RegionOf(server.domain);
  return region != nullptr && *region == self_.region;
}

bool Placement::MayUse(Time now, const ServerId& server,
                       const std::optional<InstanceId>& sender) const {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !found->second.listed) {
    return false;
  }
  const int64_t started_ms = found->second.started_ms;
  return !notices_.leaving(server, started_ms) &&
         !notices_.pause_until(now, server, started_ms) &&
         limits_.MaySend(now, server, started_ms, sender) &&
         MayUseIfBrittle(now, found->second);
}

bool Placement::MayUseIfBrittle(Time now, const Server& server) const {
  return !brittle_.brittle(now, server.id, server.started_ms) ||
         (brittle_.MaySend(now, server.id, server.started_ms) &&
          EstimatedCalls(now, server.id) < server.slots);
}

bool Placement::HasVersionFor(const PlacementRequest& request,
                              const ServerId& server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return false;
  }
  const std::string& version = found->second.version;
  const bool is_allowed =
      request.servers.empty() ||
      std::ranges::find(request.servers, server) != request.servers.end();
  return is_allowed && (!request.version || version == *request.version) &&
         std::ranges::find(request.avoided_versions, version) ==
             request.avoided_versions.end();
}

std::vector<const Placement::Server*> Placement::Candidates(
    Time now, const PlacementRequest& request) const {
  std::vector<const Server*> available;
  std::vector<const Server*> cooling_down;
  const auto service = by_service_.find(request.service);
  if (service == by_service_.end()) {
    return available;
  }
  for (const ServerId& id : service->second) {
    if (std::ranges::find(request.tried, id) != request.tried.end()) {
      continue;
    }
    const Server& server = servers_.at(id);
    if (!HasVersionFor(request, id) || !MayUse(now, id, request.sender)) {
      continue;
    }
    const bool in_cooldown =
        server.cooldown_until && now < *server.cooldown_until;
    (in_cooldown ? cooling_down : available).push_back(&server);
  }
  return available.empty() ? cooling_down : available;
}

std::optional<Time> Placement::NextUsableAt(Time now,
                                            const ServiceId& service) const {
  const auto listed = by_service_.find(service);
  std::optional<Time> first;
  if (listed == by_service_.end()) {
    return first;
  }
  for (const ServerId& id : listed->second) {
    const int64_t started_ms = servers_.at(id).started_ms;
    if (notices_.leaving(id, started_ms)) {
      continue;
    }
    auto until = notices_.pause_until(now, id, started_ms);
    until = until ? until : brittle_.PausedUntil(now, id, started_ms);
    until = until ? until : limits_.NextTurn(now, id, started_ms);
    if (until && (!first || *until < *first)) {
      first = until;
    }
  }
  return first;
}

const RegionId* Placement::RegionOf(const DomainId& domain) const {
  const auto found = regions_.find(domain);
  return found == regions_.end() ? nullptr : &found->second;
}

}  // namespace oleander
