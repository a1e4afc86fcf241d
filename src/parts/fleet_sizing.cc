#include "oleander/fleet_sizing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleander {
namespace {

int CountReady(const std::vector<const ListedServer*>& servers,
               Market market) {
  return static_cast<int>(
      std::ranges::count_if(servers, [market](const ListedServer* server) {
        return server->state == ListedState::kReady &&
               server->market == market;
      }));
}

std::vector<std::pair<double, DomainId>> CheapestFirst(
    const ScalingRule& rule) {
  std::vector<std::pair<double, DomainId>> domains;
  for (const auto& [domain, price] : rule.domain_prices) {
    domains.emplace_back(price, domain);
  }
  std::ranges::sort(domains);
  return domains;
}

}  // namespace

void FleetSizing::Observe(Time now, double calls) {
  if (calls > 0 && !loaded_since_) {
    loaded_since_ = now;
  }
  samples_.push_back({.at = now, .calls = calls});
  while (samples_.front().at + options_.load_memory < now) {
    samples_.pop_front();
  }
}

int FleetSizing::needed(int slots) const {
  if (samples_.empty()) {
    return 0;
  }
  // The highest load that was seen twice, so that one odd report orders no
  // server.
  std::vector<double> calls;
  std::ranges::transform(samples_, std::back_inserter(calls), &Sample::calls);
  std::ranges::sort(calls, std::greater<>());
  const double load = calls[std::min<size_t>(1, calls.size() - 1)];
  const double per_server = std::max(1.0, slots * options_.calls_per_slot);
  return static_cast<int>(std::ceil(load / per_server));
}

int FleetSizing::Settled(Time now, int need) {
  if (need >= wanted_) {
    wanted_ = need;
    fewer_since_.reset();
  } else if (!fewer_since_) {
    fewer_since_ = now;
  } else if (now - *fewer_since_ >= options_.shrink_after) {
    wanted_ = need;
    fewer_since_.reset();
  }
  return wanted_;
}

std::vector<DomainSize> FleetSizing::Plan(
    Time now, const ScalingRule& rule, int slots,
    const std::vector<const ListedServer*>& servers) {
  const auto domains = CheapestFirst(rule);
  if (domains.empty()) {
    return {};
  }
  const bool settled =
      loaded_since_ && now - *loaded_since_ >= options_.settle;
  const int at_start = static_cast<int>(std::lround(
      options_.share_at_start *
      CountReady(servers, Market::kOnDemand)));
  if (wanted_ == 0) {
    wanted_ = std::max(1, at_start);
  }
  const int wanted =
      settled ? Settled(now, needed(slots)) : std::max(wanted_, needed(slots));
  const auto count = static_cast<int>(domains.size());
  const bool reclaimable_pays = rule.reclaimable_price < 1;
  const int reclaimable =
      reclaimable_pays
          ? static_cast<int>(std::ceil(wanted * options_.reclaimable_share /
                                       count))
          : 0;
  std::vector<DomainSize> plan;
  int left = wanted;
  int domains_left = count;
  for (const auto& [price, domain] : domains) {
    // An even part, and the cheapest domains take what can't be divided: a
    // domain's loss or cut then takes a part only.
    const int even = (left + domains_left - 1) / domains_left;
    const int here = std::clamp(even, rule.minimum, rule.maximum);
    left -= here;
    --domains_left;
    plan.push_back({.domain = domain,
                    .market = Market::kOnDemand,
                    .servers = here});
    if (reclaimable_pays) {
      plan.push_back({.domain = domain,
                      .market = Market::kReclaimable,
                      .servers = std::min(reclaimable, rule.maximum - here)});
    }
  }
  return plan;
}

}  // namespace oleander
