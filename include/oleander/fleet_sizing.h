// How many servers of which market each failure domain is to have.
//
// Reclaimable servers cost a fraction of the others and go all at once, a
// domain at a time, sometimes several domains in turn while none are to be had;
// others take seconds to boot. So the others carry a good part of the load of
// late at any time, reclaimable ones take the rest and what comes on top, and
// the others take over what reclaimable ones are missing.
//
// What is needed follows from the calls under way and from the prompts that are
// to be read: where prompts are long, few calls keep an engine busy.
//
// Load it answers: calls under way over all servers of a service, with bursts
// that end before a server has booted, and with domains reclaimed seconds
// apart.
#ifndef OLEANDER_FLEET_SIZING_H_
#define OLEANDER_FLEET_SIZING_H_

#include <deque>
#include <map>
#include <vector>

#include "oleander/listed_servers.h"
#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

struct FleetSizingOptions {
  // Calls under way per server that keep first tokens within their objective:
  // this share of the server's slots, since a call waits where none is free ...
  double busy_share = 0.6;
  // ... and no more than this, since prompts that are read hold up each other.
  double max_calls_per_server = 24;
  // The part of its time that an engine may read, so that prompts wait little
  // and the streams beside them aren't held up.
  double prefill_share = 1.0;
  // A server that is overloaded collects calls; beyond this many times the
  // calls above they say how slow it is, not how many servers are missing.
  double max_overload = 1.5;
  // The highest load of this long counts: a server takes seconds to boot, and
  // traffic comes and goes in waves.
  Duration load_window = std::chrono::seconds(12);
  // Servers are given back after fewer were needed for this long.
  Duration shrink_after = std::chrono::seconds(6);
  // Who takes up the duty orders nothing for this long, but what the load
  // lacks: it has to see the load, and the servers have to be listed.
  Duration startup_delay = std::chrono::seconds(4);
  // Without any load, a share of the servers that are there is kept.
  double initial_share = 0.67;
  // The load shows what is needed only while servers are short, so never fewer
  // steady servers are kept than this share of those found at the start, which
  // operators ordered for their usual load.
  double floor_share = 0.25;
  // Of the servers needed: how many aren't reclaimable at any time, and how
  // many reclaimable ones there are.
  double on_demand_share = 0.3;
  double reclaimable_share = 1.5;
};

// How many servers of one market a domain is to have.
struct DomainSize {
  DomainId domain;
  Market market = Market::kOnDemand;
  int servers = 0;

  bool operator==(const DomainSize&) const = default;
};

// One service's size over time.
class FleetSizing {
 public:
  explicit FleetSizing(FleetSizingOptions options = {}) : options_(options) {}

  // Calls running and waiting at each server of the service, and how many
  // engines would read all the time; 0 where that isn't known.
  void Observe(Time now, int slots, const std::vector<double>& calls,
               double prefill_load = 0);

  // The sizes wanted now, for each domain with a price and both markets.
  std::vector<DomainSize> Plan(Time now, const ScalingRule& rule,
                               const std::vector<const ListedServer*>& servers);

  // Servers that the load of late needs.
  int needed() const;

 private:
  struct Sample {
    Time at;
    double servers = 0;  // That the load then needed.
  };

  FleetSizingOptions options_;
  std::deque<Sample> samples_;
  // What the load asks for, with servers given back late.
  int WithDelayedShrink(Time now, int need);

  std::optional<Time> observed_since_;
  bool loaded_ = false;  // There was load.
  int floor_ = 0;        // Steady servers that are kept in any case.
  int wanted_ = 0;       // Servers of both markets, all domains together.
  std::optional<Time> fewer_since_;
};

}  // namespace oleander

#endif  // OLEANDER_FLEET_SIZING_H_
