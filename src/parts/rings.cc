#include "parts/rings.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace oleander::parts {
namespace {

struct Ranked {
  uint64_t hash = 0;
  size_t index = 0;

  auto operator<=>(const Ranked&) const = default;
};

}  // namespace

uint64_t StableHash(std::string_view text, uint64_t salt) {
  return XXH64(text.data(), text.size(), salt);
}

std::vector<size_t> RingNeighbours(const InstanceId& self,
                                   std::span<const InstanceId* const> ids,
                                   uint64_t salt) {
  const uint64_t self_hash = StableHash(self.value(), salt);
  uint64_t next_gap = std::numeric_limits<uint64_t>::max();
  uint64_t previous_gap = next_gap;
  size_t next = ids.size();
  size_t previous = ids.size();
  for (size_t i = 0; i < ids.size(); ++i) {
    if (*ids[i] == self) {
      continue;
    }
    // Unsigned differences wrap around like the ring.
    const uint64_t hash = StableHash(ids[i]->value(), salt);
    if (hash - self_hash <= next_gap) {
      next_gap = hash - self_hash;
      next = i;
    }
    if (self_hash - hash <= previous_gap) {
      previous_gap = self_hash - hash;
      previous = i;
    }
  }
  if (next == ids.size()) {
    return {};
  }
  if (next == previous) {
    return {next};
  }
  return {next, previous};
}

std::vector<size_t> Rendezvous(std::string_view key,
                               std::span<const InstanceId* const> ids,
                               size_t count) {
  const uint64_t salt = StableHash(key, 0);
  std::vector<Ranked> ranked;
  ranked.reserve(ids.size());
  for (size_t i = 0; i < ids.size(); ++i) {
    ranked.push_back({.hash = StableHash(ids[i]->value(), salt), .index = i});
  }
  const size_t result_size = std::min(count, ranked.size());
  std::ranges::partial_sort(
      ranked, ranked.begin() + static_cast<ptrdiff_t>(result_size),
      std::greater<>());
  std::vector<size_t> indices(result_size);
  std::ranges::transform(ranked.begin(),
                         ranked.begin() + static_cast<ptrdiff_t>(result_size),
                         indices.begin(), &Ranked::index);
  return indices;
}

}  // namespace oleander::parts
