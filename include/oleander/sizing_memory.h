// What the next holder of the sizing duty needs to know of a service's servers
// in one region.
//
// A holder that has just taken over has heard no load and sees only the servers
// that are listed. From the memory it learns how many servers were needed, how
// many the operators started with, which orders may still take effect, and
// which markets had none available.
//
//   SizingMemory memory = sizing.Remember();   // The earlier holder.
//   ...
//   successor.Restore(now, memory);               // Its successor.
//
// The memory may be old: it is written only now and then, and the store may be
// restored from an older copy. It raises what a holder wants and never lowers
// it below what the holder hears.
//
// Designed for holders that are cut off from the store, frozen or killed within
// seconds of each other, in bursts too.
#ifndef OLEANDER_SIZING_MEMORY_H_
#define OLEANDER_SIZING_MEMORY_H_

#include <map>
#include <optional>
#include <utility>

#include "oleander/types.h"

namespace oleander {

// A failure domain, and the market in which its servers are bought.
using DomainMarket = std::pair<DomainId, Market>;

// The last order of servers in one domain and market.
struct MarketMemory {
  // Servers ordered in all, also those that have not booted; empty if no order
  // was accepted.
  std::optional<int> ordered = {};
  Time ordered_at = {};
  // When the market last had none available.
  std::optional<Time> refused_at = {};

  bool operator==(const MarketMemory&) const = default;
};

struct SizingMemory {
  int floor = 0;   // Least number of on-demand servers.
  int needed = 0;  // Servers that the load within the load window needed.
  std::map<DomainMarket, MarketMemory> markets = {};

  bool operator==(const SizingMemory&) const = default;
};

// Returns the larger need and floor of two memories, and of each market the
// later order and refusal.
SizingMemory Merge(SizingMemory memory, const SizingMemory& other);

// Returns whether a successor would decide differently with `now` than with
// `written`. Small changes of the need don't count.
bool WorthWriting(const SizingMemory& written, const SizingMemory& now);

}  // namespace oleander

#endif  // OLEANDER_SIZING_MEMORY_H_
