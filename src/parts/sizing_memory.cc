#include "oleander/sizing_memory.h"

#include <algorithm>
#include <cstdlib>

namespace oleander {
namespace {

// A need that differs by less than this share is not written again.
constexpr double kNeedTolerance = 0.1;

}  // namespace

SizingMemory Merge(SizingMemory memory, const SizingMemory& other) {
  memory.floor = std::max(memory.floor, other.floor);
  memory.needed = std::max(memory.needed, other.needed);
  for (const auto& [key, theirs] : other.markets) {
    MarketMemory& ours = memory.markets[key];
    if (theirs.ordered &&
        (!ours.ordered || ours.ordered_at < theirs.ordered_at)) {
      ours.ordered = theirs.ordered;
      ours.ordered_at = theirs.ordered_at;
    }
    if (theirs.refused_at) {
      ours.refused_at = std::max(ours.refused_at.value_or(*theirs.refused_at),
                                 *theirs.refused_at);
    }
  }
  return memory;
}

bool WorthWriting(const SizingMemory& written, const SizingMemory& now) {
  const bool need_changed = std::abs(now.needed - written.needed) >
                            kNeedTolerance * std::max(1, written.needed);
  return need_changed || now.floor != written.floor ||
         now.markets != written.markets;
}

}  // namespace oleander
