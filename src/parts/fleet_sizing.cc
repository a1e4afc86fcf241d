#include "oleander/fleet_sizing.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace oleander {
namespace {

// Sums of shares within this of a whole number are taken as that number.
constexpr double kRoundingError = 1e-6;

int CountReady(const std::vector<const ListedServer*>& servers, Market market) {
  return static_cast<int>(
      std::ranges::count_if(servers, [market](const ListedServer* server) {
        return server->state == ListedState::kReady && server->market == market;
      }));
}

std::vector<std::pair<double, DomainId>> CheapestFirst(
    const ScalingRule& rule) {
  std::vector<std::pair<double, DomainId>> domains;
  domains.reserve(rule.domain_prices.size());
  for (const auto& [domain, price] : rule.domain_prices) {
    domains.emplace_back(price, domain);
  }
  std::ranges::sort(domains);
  return domains;
}

int Share(double share, int servers) {
  return static_cast<int>(std::ceil(share * servers - kRoundingError));
}

// Divides the servers evenly among the domains, so that the loss of a domain
// takes only its part; the cheapest domains take the remainder. On-demand
// servers that replace reclaimable ones leave capacity for one reclaimable
// server in each domain, since otherwise none could ever return.
std::vector<DomainSize> Spread(
    const ScalingRule& rule,
    const std::vector<std::pair<double, DomainId>>& domains, int on_demand,
    int reclaimable) {
  std::vector<DomainSize> plan;
  const int max_on_demand =
      reclaimable > 0 ? std::max(rule.minimum, rule.maximum - 1) : rule.maximum;
  auto domains_left = static_cast<int>(domains.size());
  for (const auto& [price, domain] : domains) {
    const int on_demand_here =
        std::clamp((on_demand + domains_left - 1) / domains_left, rule.minimum,
                   max_on_demand);
    const int reclaimable_here =
        std::min((reclaimable + domains_left - 1) / domains_left,
                 rule.maximum - on_demand_here);
    plan.push_back({.domain = domain,
                    .market = Market::kOnDemand,
                    .servers = on_demand_here});
    plan.push_back({.domain = domain,
                    .market = Market::kReclaimable,
                    .servers = reclaimable_here});
    on_demand -= on_demand_here;
    reclaimable -= reclaimable_here;
    --domains_left;
  }
  return plan;
}

// A release that a plan asks for.
struct Release {
  DomainSize size;
  int counted = 0;   // Servers before it.
  int released = 0;  // Of those, the ones in this step.

  int remaining() const { return counted - size.servers - released; }
};

// Divides `budget` among the releases. On-demand servers cost most, so they go
// first; the largest surplus first, so that no domain loses all of its servers
// at once.
int Divide(int budget, std::vector<Release>& releases) {
  int divided = 0;
  for (; divided < budget; ++divided) {
    const auto next =
        std::ranges::max_element(releases, {}, [](const Release& release) {
          return release.remaining() > 0
                     ? std::pair(release.size.market == Market::kOnDemand,
                                 release.remaining())
                     : std::pair(false, 0);
        });
    if (next == releases.end() || next->remaining() <= 0) {
      break;
    }
    ++next->released;
  }
  return divided;
}

}  // namespace

void FleetSizing::Restore(Time /*now*/,
                          const std::optional<SizingMemory>& memory) {
  memory_known_ = true;
  if (!memory) {
    return;
  }
  remembers_ = true;
  const SizingMemory merged = Merge(Remember(), *memory);
  floor_ = merged.floor;
  initialised_ = floor_ > 0;
  wanted_ = std::max(wanted_, merged.needed);
  markets_ = merged.markets;
}

SizingMemory FleetSizing::Remember() const {
  return {.floor = floor_,
          .needed = loaded_ || remembers_ ? wanted_ : 0,
          .markets = markets_};
}

void FleetSizing::OnTaken() {
  memory_known_ = false;
  samples_.clear();
  observed_since_.reset();
  covered_since_.reset();
  fewer_since_.reset();
  last_step_.reset();
}

bool FleetSizing::IsCovered(Time now, const LoadObservation& observation) {
  if (observation.prefill_load.value_or(0) > 0) {
    prefill_heard_at_ = now;
  }
  const bool expects_prefill =
      prefill_heard_at_ && now - *prefill_heard_at_ < options_.prefill_memory;
  return observation.reporting_share >= options_.evidence_share &&
         (observation.prefill_load || !expects_prefill);
}

void FleetSizing::Observe(Time now, const LoadObservation& observation) {
  const double per_server = std::clamp(observation.slots * options_.busy_share,
                                       1.0, options_.max_calls_per_server);
  const double max_calls = per_server * options_.max_overload;
  const double load = std::accumulate(
      observation.calls.begin(), observation.calls.end(), 0.0,
      [max_calls](double sum, const std::optional<int>& calls) {
        return sum + std::min<double>(calls.value_or(0), max_calls);
      });
  const bool gap =
      !samples_.empty() && now - samples_.back().at > options_.max_report_gap;
  if (gap || !IsCovered(now, observation)) {
    covered_since_.reset();
  } else {
    covered_since_ = covered_since_.value_or(now);
  }
  observed_since_ = observed_since_.value_or(now);
  loaded_ = loaded_ || load > 0;
  samples_.push_back(
      {.at = now,
       .servers =
           std::max(load / per_server, observation.prefill_load.value_or(0) /
                                           options_.prefill_share),
       .turned_away = observation.turned_away,
       .heard = std::ranges::any_of(
           observation.calls,
           [](const std::optional<int>& calls) { return calls.has_value(); })});
  while (samples_.front().at + options_.load_window < now) {
    samples_.pop_front();
  }
}

void FleetSizing::OnOrdered(Time now, const DomainSize& size,
                            OrderOutcome outcome) {
  MarketMemory& market = markets_[{size.domain, size.market}];
  if (outcome == OrderOutcome::kAccepted) {
    market.ordered = size.servers;
    market.ordered_at = now;
  } else if (outcome == OrderOutcome::kRefused) {
    market.refused_at = now;
  }
}

bool FleetSizing::has_evidence(Time now) const {
  return covered_since_ && now - *covered_since_ >= options_.load_window &&
         std::ranges::any_of(samples_, &Sample::heard);
}

int FleetSizing::needed() const {
  if (samples_.empty()) {
    return 0;
  }
  // The second highest sample, so that a single outlier orders no server.
  std::vector<double> loads;
  std::ranges::transform(samples_, std::back_inserter(loads), &Sample::servers);
  std::ranges::sort(loads, std::greater<>());
  return static_cast<int>(
      std::ceil(loads[std::min<size_t>(1, loads.size() - 1)] - kRoundingError));
}

int FleetSizing::WithDelayedShrink(Time now, int need) {
  if (need < wanted_ && !fewer_since_) {
    fewer_since_ = now;
  }
  const bool fewer_for_long =
      fewer_since_ && now - *fewer_since_ >= options_.shrink_after;
  if (need >= wanted_ || (fewer_for_long && has_evidence(now))) {
    wanted_ = need;
    fewer_since_.reset();
  }
  return wanted_;
}

FleetSizing::PresentServers FleetSizing::CountPresent(
    Time now, const ScalingRule& rule,
    const std::vector<const ListedServer*>& servers,
    const HeldServer& held) const {
  PresentServers present;
  for (const ListedServer* server : servers) {
    Present& here = present[{server->domain, server->market}];
    here.ready += server->state == ListedState::kReady ? 1 : 0;
    here.held = here.held || held(*server);
  }
  for (const auto& [key, market] : markets_) {
    const bool may_boot =
        market.ordered &&
        now - market.ordered_at < rule.boot + options_.boot_margin;
    present[key].counted = may_boot ? *market.ordered : 0;
  }
  for (auto& [key, here] : present) {
    here.counted = std::max(here.counted, here.ready);
  }
  return present;
}

bool FleetSizing::LastStepHurt() const {
  const auto since =
      std::ranges::lower_bound(samples_, last_step_->at, {}, &Sample::at);
  if (since == samples_.end()) {
    return false;
  }
  // One sample alone may be an outlier.
  const auto too_high =
      std::count_if(since, samples_.end(), [this](const Sample& sample) {
        return sample.servers > last_step_->ready;
      });
  return too_high > 1 || samples_.back().turned_away - since->turned_away >
                             options_.max_turned_away;
}

int FleetSizing::ReleaseBudget(Time now, const ScalingRule& rule, int ready) {
  if (IsFirstStart()) {
    return covered_since_ ? ready : 0;
  }
  const bool paused = paused_until_ && now < *paused_until_;
  const bool waits_for_effect = last_step_ && now - last_step_->at < rule.boot;
  if (!memory_known_ || paused || waits_for_effect || !has_evidence(now)) {
    return 0;
  }
  if (last_step_ && LastStepHurt()) {
    paused_until_ = now + options_.load_window;
    last_step_.reset();
    return 0;
  }
  return std::max(1, static_cast<int>(options_.step_share * ready));
}

std::vector<DomainSize> FleetSizing::Permitted(
    Time now, const ScalingRule& rule, const std::vector<DomainSize>& plan,
    const PresentServers& present) {
  std::vector<DomainSize> permitted;
  std::vector<Release> releases;
  for (const DomainSize& size : plan) {
    const DomainMarket key(size.domain, size.market);
    const auto found = present.find(key);
    const Present here = found == present.end() ? Present() : found->second;
    if (size.servers < here.counted) {
      if (!here.held) {
        releases.push_back({.size = size, .counted = here.counted});
      }
      continue;
    }
    const auto market = markets_.find(key);
    const bool refused =
        market != markets_.end() && market->second.refused_at &&
        now - *market->second.refused_at < options_.refusal_cooldown;
    if (size.servers == here.ready || !refused) {
      permitted.push_back(size);
    }
  }
  if (releases.empty()) {
    return permitted;
  }
  const int ready = std::accumulate(
      present.begin(), present.end(), 0,
      [](int sum, const auto& item) { return sum + item.second.ready; });
  const int released = Divide(ReleaseBudget(now, rule, ready), releases);
  if (released > 0) {
    last_step_ = {
        .at = now,
        .ready = ready - released,
        .turned_away = samples_.empty() ? 0 : samples_.back().turned_away};
  }
  for (const Release& release : releases) {
    if (release.released > 0) {
      permitted.push_back({.domain = release.size.domain,
                           .market = release.size.market,
                           .servers = release.counted - release.released});
    }
  }
  return permitted;
}

std::vector<DomainSize> FleetSizing::Plan(
    Time now, const ScalingRule& rule,
    const std::vector<const ListedServer*>& servers, const HeldServer& held) {
  const auto domains = CheapestFirst(rule);
  if (domains.empty()) {
    return {};
  }
  const int on_demand_now = CountReady(servers, Market::kOnDemand);
  const int reclaimable_now = CountReady(servers, Market::kReclaimable);
  const int present = on_demand_now + reclaimable_now;
  const bool startup_over = memory_known_ && observed_since_ &&
                            now - *observed_since_ >= options_.startup_delay;
  const int need = std::max(needed(), remembers_ ? wanted_ : 0);
  if (!startup_over && need <= present) {
    return {};
  }
  if (!initialised_ && memory_known_) {
    initialised_ = true;
    floor_ = Share(options_.floor_share, on_demand_now);
    wanted_ = IsFirstStart() ? Share(options_.initial_share, on_demand_now)
                             : std::max(present, need);
  }
  const int wanted =
      loaded_ ? WithDelayedShrink(now, std::max(1, needed())) : wanted_;
  const bool reclaimable_pays = rule.reclaimable_price < 1;
  const int on_demand = reclaimable_pays
                            ? std::max(Share(options_.on_demand_share, wanted),
                                       wanted - reclaimable_now)
                            : wanted;
  const int reclaimable =
      reclaimable_pays ? Share(options_.reclaimable_share, wanted) : 0;
  return Permitted(
      now, rule,
      Spread(rule, domains, std::max(on_demand, floor_), reclaimable),
      CountPresent(now, rule, servers, held));
}

}  // namespace oleander
