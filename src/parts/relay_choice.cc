#include "oleander/relay_choice.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace oleander {
namespace {

constexpr double kMinCores = 0.01;

}  // namespace

std::optional<RelayPeer> RelayChoice::Choose(
    Time now, const std::vector<InstanceId>& tried) {
  std::vector<const RelayPeer*> rested;
  std::vector<const RelayPeer*> failed;
  std::set<DomainId> suspects;
  for (const RelayPeer& peer : peers_) {
    const bool in_cooldown = InCooldown(now, peer.instance);
    if (in_cooldown) {
      suspects.insert(peer.location.domain);
    }
    if (std::ranges::find(tried, peer.instance) == tried.end()) {
      (in_cooldown ? failed : rested).push_back(&peer);
    }
  }
  // If all have failed, a single try shows whether that still holds.
  const auto& candidates = rested.empty() && tried.empty() ? failed : rested;
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::vector<double> weights;
  std::ranges::transform(
      candidates, std::back_inserter(weights), [&](const RelayPeer* peer) {
        return WeightOf(*peer, suspects.contains(peer->location.domain));
      });
  std::discrete_distribution<size_t> draw(weights.begin(), weights.end());
  return *candidates[draw(gen_)];
}

bool RelayChoice::InCooldown(Time now, const InstanceId& peer) const {
  const auto found = failed_.find(peer);
  return found != failed_.end() &&
         now - found->second < options_.failure_cooldown;
}

double RelayChoice::WeightOf(const RelayPeer& peer, bool suspect) const {
  const Location& location = peer.location;
  double weight = std::max(peer.cores, kMinCores);
  if (location.domain == self_.domain) {
    weight *= options_.same_domain;
  } else if (location.region != self_.region) {
    weight *= options_.other_region;
  }
  return suspect ? weight * options_.suspect_domain : weight;
}

}  // namespace oleander
