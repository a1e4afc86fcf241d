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

void GossipLink::Heard(Time now, Duration grace) {
  heard = now;
  expected = now + interval + grace;
  next_probe = Time::max();
  probe_round = 0;
}

void GossipLink::Queue(const InstanceId& id, int repeats, Time now,
                       Duration news_every) {
  pending[id] = repeats;
  news_at = std::min(news_at, std::max(now, last_news + news_every));
}

std::vector<InstanceId> GossipLink::TakePending(size_t most) {
  std::vector<std::pair<int, InstanceId>> ranked;
  ranked.reserve(pending.size());
  std::ranges::transform(
      pending, std::back_inserter(ranked),
      [](const auto& item) { return std::pair(item.second, item.first); });
  std::ranges::sort(ranked, std::greater<>());
  ranked.resize(std::min(most, ranked.size()));
  std::vector<InstanceId> taken;
  for (const auto& [left, id] : ranked) {
    taken.push_back(id);
    if (left <= 1) {
      pending.erase(id);
    } else {
      pending[id] = left - 1;
    }
  }
  return taken;
}

}  // namespace oleander::parts
