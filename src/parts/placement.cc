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
  }
  absl::erase_if(servers_, [](const auto& item) {
    return !item.second.listed && item.second.own == 0;
  });
}

std::optional<ServerId> Placement::Pick(Time now,
                                        const PlacementQuestion& question) {
  std::vector<const Server*> candidates = Candidates(now, question);
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (question.subject) {
    std::ranges::sort(candidates, std::greater<>(),
                      [&question](const Server* server) {
                        return RankHash(*question.subject, server->id);
                      });
  }
  std::vector<std::pair<Duration, const Server*>> costs;
  int rank = 0;
  for (const Server* server : candidates) {
    const RegionId* region = RegionOf(server->domain);
    const bool own_region = region != nullptr && *region == self_.region;
    costs.emplace_back(CostOf(now, *server, own_region ? rank : 1, question),
                       server);
    rank += own_region ? 1 : 0;
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

void Placement::OnSent(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    ++found->second.own;
  }
}

void Placement::OnEnded(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  found->second.own = std::max(0, found->second.own - 1);
  if (found->second.own == 0 && !found->second.listed) {
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

Duration Placement::CostOf(Time now, const Server& server, int rank,
                           const PlacementQuestion& question) const {
  const double calls = EstimatedCalls(now, server.id);
  const double waiting = std::max(0.0, calls - server.slots);
  Duration cost = Scaled(options_.per_running, calls) +
                  Scaled(options_.per_waiting, waiting);
  if (rank > 0) {
    cost += Scaled(options_.per_thousand_tokens,
                   static_cast<double>(question.shared_tokens) / 1000);
  }
  if (server.domain != self_.domain) {
    cost += options_.other_domain;
  }
  const RegionId* region = RegionOf(server.domain);
  if (region == nullptr || *region != self_.region) {
    cost += options_.other_region;
  }
  return cost;
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
    if (notices_.leaving(id, server.born_ms) ||
        notices_.rests_until(now, id, server.born_ms)) {
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
