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

}  // namespace

void FleetSizing::Observe(Time now, int slots, const std::vector<double>& calls,
                          double prefill_load) {
  const double per_server = std::clamp(slots * options_.busy_share, 1.0,
                                       options_.max_calls_per_server);
  const double max_calls = per_server * options_.max_overload;
  const double load =
      std::accumulate(calls.begin(), calls.end(), 0.0,
                      [max_calls](double sum, double server_calls) {
                        return sum + std::min(server_calls, max_calls);
                      });
  observed_since_ = observed_since_.value_or(now);
  loaded_ = loaded_ || load > 0;
  samples_.push_back(
      {.at = now,
       .servers =
           std::max(load / per_server, prefill_load / options_.prefill_share)});
  while (samples_.front().at + options_.load_window < now) {
    samples_.pop_front();
  }
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
  if (need >= wanted_ || fewer_for_long) {
    wanted_ = need;
    fewer_since_.reset();
  }
  return wanted_;
}

std::vector<DomainSize> FleetSizing::Plan(
    Time now, const ScalingRule& rule,
    const std::vector<const ListedServer*>& servers) {
  const auto domains = CheapestFirst(rule);
  if (domains.empty()) {
    return {};
  }
  const int on_demand_now = CountReady(servers, Market::kOnDemand);
  const int present = on_demand_now + CountReady(servers, Market::kReclaimable);
  const bool startup_over =
      observed_since_ && now - *observed_since_ >= options_.startup_delay;
  if (!startup_over && needed() <= present) {
    return {};
  }
  if (wanted_ == 0) {
    floor_ = Share(options_.floor_share, on_demand_now);
    wanted_ = loaded_ ? std::max(present, needed())
                      : Share(options_.initial_share, on_demand_now);
  }
  const int wanted =
      loaded_ ? WithDelayedShrink(now, std::max(1, needed())) : wanted_;
  const bool reclaimable_pays = rule.reclaimable_price < 1;
  const int on_demand =
      reclaimable_pays
          ? std::max(Share(options_.on_demand_share, wanted),
                     wanted - CountReady(servers, Market::kReclaimable))
          : wanted;
  const int reclaimable =
      reclaimable_pays ? Share(options_.reclaimable_share, wanted) : 0;
  return Spread(rule, domains, std::max(on_demand, floor_), reclaimable);
}

}  // namespace oleander
