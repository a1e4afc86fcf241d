#include "parts/gossip_link.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace oleander::parts {
namespace {

constexpr size_t kClaimFieldBytes = 10;
constexpr size_t kInfoFieldBytes = 18;

}  // namespace

size_t ClaimBytes(const MemberUpdate& claim) {
  size_t bytes = claim.id.value().size() + kClaimFieldBytes;
  if (claim.info.has_value()) {
    bytes += claim.info->address.size() +
             claim.info->location.domain.value().size() +
             claim.info->location.region.value().size() + kInfoFieldBytes;
  }
  return bytes;
}

void GossipLink::OnReceived(Time now, Duration grace) {
  last_received = now;
  heartbeat_due = now + interval + grace;
  next_probe = Time::max();
  probe_round = 0;
}

void GossipLink::QueueClaim(const InstanceId& id, int repeats, Time now,
                            Duration update_interval) {
  pending[id] = repeats;
  next_update =
      std::min(next_update, std::max(now, last_update + update_interval));
}

std::vector<InstanceId> GossipLink::TakePending(size_t max_claims) {
  std::vector<std::pair<int, InstanceId>> ranked;
  ranked.reserve(pending.size());
  std::ranges::transform(
      pending, std::back_inserter(ranked),
      [](const auto& item) { return std::pair(item.second, item.first); });
  std::ranges::sort(ranked, std::greater<>());
  ranked.resize(std::min(max_claims, ranked.size()));
  std::vector<InstanceId> taken;
  for (const auto& [repeats, id] : ranked) {
    taken.push_back(id);
    if (repeats <= 1) {
      pending.erase(id);
    } else {
      pending[id] = repeats - 1;
    }
  }
  return taken;
}

}  // namespace oleander::parts
