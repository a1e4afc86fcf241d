#include "oleander/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleander {
namespace {

constexpr int kLongestRest = 4;  // Doublings of the rest after failures.

uint64_t RankHash(uint64_t subject, const ServerId& server) {
  return XXH64(server.value().data(), server.value().size(), subject);
}

Duration Scaled(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void Placement::SetServers(const std::vector<const ListedServer*>& ready) {
  for (auto& [id, server] : servers_) {
    server.listed = false;
  }
  by_service_.clear();
  for (const ListedServer* listed : ready) {
    Server& server = servers_[listed->id];
    server.id = listed->id;
    server.service = listed->service;
    server.domain = listed->domain;
    server.slots = listed->slots;
    server.born_ms = listed->born_ms;
    server.listed = true;
    by_service_[listed->service].push_back(listed->id);
    const auto memory = memories_.find(listed->service);
    if (memory != memories_.end()) {
      backlog_.SetEngine(listed->id, memory->second);
    }
  }
  absl::erase_if(servers_, [this](const auto& item) {
    const bool gone = !item.second.listed && item.second.own == 0;
    if (gone) {
      backlog_.Forget(item.first);
    }
    return gone;
  });
}

std::optional<ServerId> Placement::Pick(Time now,
                                        const PlacementQuestion& question) {
  std::vector<const Server*> candidates = Candidates(now, question);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const Preference preference = PreferenceFor(candidates, question);
  std::vector<std::pair<Duration, const Server*>> costs;
  costs.reserve(candidates.size());
  for (const Server* server : candidates) {
    costs.emplace_back(CostOf(now, *server, preference, question), server);
  }
  const Duration least = std::ranges::min(costs, {}, [](const auto& row) {
                           return row.first;
                         }).first;
  std::erase_if(costs, [this, least](const auto& row) {
    return row.first > least + options_.near_equal;
  });
  const auto& [cost, server] =
      costs[std::uniform_int_distribution<size_t>(0, costs.size() - 1)(gen_)];
  return server->id;
}

uint64_t Placement::OnSent(Time now, const ServerId& server,
                           const Prompt& prompt) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 0;
  }
  ++found->second.own;
  if (prompt.tokens == 0) {
    return 0;
  }
  if (InOwnRegion(found->second)) {
    std::deque<Sent>& sent = sent_[found->second.service];
    sent.push_back(
        {.at = now,
         .takes = backlog_.TimeToRead(server, prompt.tokens,
                                      backlog_.Unkept(server, prompt))});
    while (sent.front().at + options_.reading_window < now) {
      sent.pop_front();
    }
  }
  return backlog_.OnSent(now, server, prompt);
}

std::vector<std::pair<ServiceId, double>> Placement::ReadingHere(
    Time now) const {
  std::vector<std::pair<ServiceId, double>> engines;
  for (const auto& [service, sent] : sent_) {
    Duration takes{};
    for (const Sent& call : sent) {
      takes += call.at + options_.reading_window < now ? Duration::zero()
                                                       : call.takes;
    }
    engines.emplace_back(
        service, std::chrono::duration<double>(takes) /
                     std::chrono::duration<double>(options_.reading_window));
  }
  return engines;
}

void Placement::OnBegun(Time now, uint64_t call) { backlog_.OnRead(now, call); }

void Placement::OnEnded(Time now, const ServerId& server, uint64_t call) {
  backlog_.OnEnded(now, call);
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  found->second.own = std::max(0, found->second.own - 1);
  if (found->second.own == 0 && !found->second.listed) {
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
  known.own_at_report = known.own;
}

void Placement::OnFailure(Time now, const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  Server& known = found->second;
  known.failures_in_row = std::min(known.failures_in_row + 1, kLongestRest);
  // One failure is chance; from the second in a row on the server rests.
  if (known.failures_in_row >= 2) {
    known.resting_until =
        now + options_.rest_after_failure * (1 << (known.failures_in_row - 2));
  }
}

void Placement::OnSuccess(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.failures_in_row = 0;
    found->second.resting_until.reset();
  }
}

double Placement::EstimatedCalls(Time now, const ServerId& server) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 0;
  }
  const Server& known = found->second;
  if (!known.reported_at || now - *known.reported_at > options_.report_age) {
    return known.own;
  }
  return std::max<double>(known.own, known.running + known.waiting + known.own -
                                         known.own_at_report);
}

int Placement::own_calls(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.own;
}

Placement::Preference Placement::PreferenceFor(
    const std::vector<const Server*>& candidates,
    const PlacementQuestion& question) const {
  Preference preference;
  const Prompt& prompt = question.prompt;
  if (prompt.shared.empty()) {
    return preference;
  }
  preference.kept_somewhere =
      std::ranges::any_of(candidates, [&](const Server* server) {
        return backlog_.Unkept(server->id, prompt) <=
               prompt.tokens - prompt.shared.back().tokens;
      });
  const uint64_t subject = prompt.shared.back().hash;
  for (const Server* server : candidates) {
    const bool better =
        InOwnRegion(*server) && (preference.home == nullptr ||
                                 RankHash(subject, server->id) >
                                     RankHash(subject, preference.home->id));
    preference.home = better ? server : preference.home;
  }
  return preference;
}

int64_t Placement::TokensToRead(const Server& server,
                                const Preference& preference,
                                const Prompt& prompt) const {
  const int64_t unkept = backlog_.Unkept(server.id, prompt);
  if (preference.kept_somewhere || preference.home != &server) {
    return unkept;
  }
  const auto guessed = static_cast<int64_t>(
      options_.home_share * static_cast<double>(prompt.shared.back().tokens));
  return std::min(unkept, prompt.tokens - guessed);
}

Duration Placement::WaitAt(Time now, const Server& server, int urgency) const {
  const Duration known = backlog_.WaitAt(now, server.id, urgency);
  const bool told =
      server.told_at && now - *server.told_at < options_.told_wait_age;
  return told ? std::max(known, server.told_wait - (now - *server.told_at))
              : known;
}

void Placement::OnToldWait(Time now, const ServerId& server, Duration wait) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.told_wait = wait;
    found->second.told_at = now;
  }
}

std::vector<std::pair<ServerId, Duration>> Placement::WaitsHere(
    Time now) const {
  std::vector<std::pair<ServerId, Duration>> waits;
  for (const auto& [id, server] : servers_) {
    const bool engine = memories_.contains(server.service);
    if (engine && server.own > 0 && InOwnRegion(server)) {
      waits.emplace_back(id, backlog_.WaitAt(now, id, 0));
    }
  }
  return waits;
}

const RegionId* Placement::RegionOfServer(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : RegionOf(found->second.domain);
}

Duration Placement::FirstTokenAt(Time now, const Server& server,
                                 const Prompt& prompt, int64_t unkept) const {
  return WaitAt(now, server, prompt.urgency) +
         backlog_.TimeToRead(server.id, prompt.tokens, unkept) + WayTo(server);
}

Duration Placement::ExpectedAt(Time now, const ServerId& server,
                               const PlacementQuestion& question) const {
  const auto found = servers_.find(server);
  return found == servers_.end()
             ? Duration::max()
             : FirstTokenAt(now, found->second, question.prompt,
                            backlog_.Unkept(server, question.prompt));
}

Duration Placement::CostOf(Time now, const Server& server,
                           const Preference& preference,
                           const PlacementQuestion& question) const {
  const double calls = EstimatedCalls(now, server.id);
  const double waiting = std::max(0.0, calls - server.slots);
  const Duration crowd = Scaled(options_.per_running, calls) +
                         Scaled(options_.per_waiting, waiting);
  const Prompt& prompt = question.prompt;
  if (prompt.tokens == 0) {
    return crowd + WayTo(server);
  }
  const int64_t tokens = TokensToRead(server, preference, prompt);
  const int64_t own_tokens =
      prompt.tokens - (prompt.shared.empty() ? 0 : prompt.shared.back().tokens);
  const Duration again =
      backlog_.TimeToRead(server.id, prompt.tokens - own_tokens,
                          std::max<int64_t>(0, tokens - own_tokens));
  const Duration first = FirstTokenAt(now, server, prompt, tokens);
  const Duration goal =
      question.goal > Duration::zero() ? question.goal : options_.usual_goal;
  const double lateness =
      static_cast<double>(first.count()) / static_cast<double>(goal.count());
  return crowd + first + Scaled(first, lateness) +
         Scaled(again, options_.reread_weight);
}

Duration Placement::WayTo(const Server& server) const {
  if (!InOwnRegion(server)) {
    return options_.other_region;
  }
  return server.domain == self_.domain ? Duration::zero()
                                       : options_.other_domain;
}

bool Placement::InOwnRegion(const Server& server) const {
  const RegionId* region = RegionOf(server.domain);
  return region != nullptr && *region == self_.region;
}

bool Placement::MayUse(Time now, const ServerId& server) const {
  const auto found = servers_.find(server);
  return found != servers_.end() && found->second.listed &&
         !notices_.leaving(server, found->second.born_ms) &&
         !notices_.rests_until(now, server, found->second.born_ms);
}

std::vector<const Placement::Server*> Placement::Candidates(
    Time now, const PlacementQuestion& question) const {
  std::vector<const Server*> rested;
  std::vector<const Server*> resting;
  const auto service = by_service_.find(question.service);
  if (service == by_service_.end()) {
    return rested;
  }
  for (const ServerId& id : service->second) {
    if (std::ranges::find(question.tried, id) != question.tried.end()) {
      continue;
    }
    const Server& server = servers_.at(id);
    if (!MayUse(now, id)) {
      continue;
    }
    const bool rests = server.resting_until && now < *server.resting_until;
    (rests ? resting : rested).push_back(&server);
  }
  return rested.empty() ? resting : rested;
}

std::optional<Time> Placement::FirstRested(Time now,
                                           const ServiceId& service) const {
  const auto listed = by_service_.find(service);
  std::optional<Time> first;
  if (listed == by_service_.end()) {
    return first;
  }
  for (const ServerId& id : listed->second) {
    const int64_t born_ms = servers_.at(id).born_ms;
    const auto until = notices_.leaving(id, born_ms)
                           ? std::nullopt
                           : notices_.rests_until(now, id, born_ms);
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
