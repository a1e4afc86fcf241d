// How many servers of which market each failure domain is to have.
//
// Reclaimable servers cost a fraction of the others and go all at once, a
// domain at a time, sometimes several domains in turn while none are to be had;
// others take seconds to boot. So the load of late is carried by the others, and
// a few reclaimable ones in each domain take what comes on top.
//
// Load it answers: calls under way over all servers of a service, with bursts
// and with domains reclaimed seconds apart.
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
  // Calls under way per server that keep first tokens within their objective,
  // as a share of the server's slots.
  double calls_per_slot = 0.25;
  // The highest load of this long counts, since a server takes seconds to boot.
  Duration load_memory = std::chrono::seconds(20);
  // Servers are given back after fewer were needed for this long.
  Duration shrink_after = std::chrono::seconds(8);
  // Until load has been seen for this long, a share of the servers that are
  // there is kept.
  Duration settle = std::chrono::seconds(6);
  double share_at_start = 0.67;
  // Reclaimable servers, all domains together, as a share of the others.
  double reclaimable_share = 0.5;
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

  // Calls running and waiting at all servers of the service.
  void Observe(Time now, double calls);

  // The sizes wanted now, for each domain with a price and both markets.
  std::vector<DomainSize> Plan(Time now, const ScalingRule& rule, int slots,
                               const std::vector<const ListedServer*>& servers);

  // Servers that the load of late needs.
  int needed(int slots) const;

 private:
  struct Sample {
    Time at;
    double calls = 0;
  };

  FleetSizingOptions options_;
  std::deque<Sample> samples_;
  // What the load asks for, with servers given back late.
  int Settled(Time now, int need);

  std::optional<Time> loaded_since_;
  int wanted_ = 0;  // Others than reclaimable ones, all domains together.
  std::optional<Time> fewer_since_;
};

}  // namespace oleander

#endif  // OLEANDER_FLEET_SIZING_H_
