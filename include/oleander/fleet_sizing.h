// Decides how many servers of which market each failure domain should have.
//
// Reclaimable servers cost a fraction of on-demand servers, but a whole domain
// of them is reclaimed at once, sometimes several domains in succession while
// no new ones are available. On-demand servers take seconds to boot. So
// on-demand servers always carry a good part of the recent load, reclaimable
// ones carry the remainder and serve as reserve, and on-demand servers replace
// the reclaimable ones that are missing.
//
// The size needed follows from the calls in progress and from the pending
// prefill: where prompts are long, few calls keep an engine busy.
//
// Designed for calls over all servers of a service, with bursts that end before
// a server has booted, and with domains reclaimed seconds apart.
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
  // Calls per server at which the time to first token stays within its
  // objective: this share of the server's slots, since calls wait when none is
  // free ...
  double busy_share = 0.6;
  // ... and no more than this, since prefills on one server delay each other.
  double max_calls_per_server = 24;
  // Share of its time that an engine may spend on prefill, so that prompts wait
  // little and concurrent streams aren't delayed.
  double prefill_share = 1.0;
  // Calls accumulate at an overloaded server. Beyond this multiple of the calls
  // per server they show how slow it is, not how many servers are missing.
  double max_overload = 1.5;
  // Window over which the highest load counts: a server takes seconds to boot,
  // and traffic arrives in waves.
  Duration load_window = std::chrono::seconds(12);
  // Servers are released after fewer were needed for this long.
  Duration shrink_after = std::chrono::seconds(6);
  // For this long after the first observation, servers are ordered only if the
  // load needs more than are present: a new owner of the duty has to see the
  // load first, and the servers have to be listed.
  Duration startup_delay = std::chrono::seconds(4);
  // Share of the on-demand servers found at the start that is retained until
  // there is load.
  double initial_share = 0.67;
  // The load shows the need reliably only while servers are short. So the
  // number of on-demand servers never falls below this share of those found at
  // the start, which operators ordered for their usual load.
  double floor_share = 0.25;
  // On-demand servers to have at any time, and reclaimable servers to have, as
  // shares of the servers needed.
  double on_demand_share = 0.3;
  double reclaimable_share = 1.5;
};

// The number of servers of one market that a domain should have.
struct DomainSize {
  DomainId domain;
  Market market = Market::kOnDemand;
  int servers = 0;

  bool operator==(const DomainSize&) const = default;
};

// Sizes the fleet of one service over time.
class FleetSizing {
 public:
  explicit FleetSizing(FleetSizingOptions options = {}) : options_(options) {}

  // Records the calls running and waiting at each server of the service, which
  // have `slots` slots each, and how many engines the prompts keep busy with
  // prefill (0 if unknown).
  void Observe(Time now, int slots, const std::vector<double>& calls,
               double prefill_load = 0);

  // Returns the sizes wanted now, for each domain with a price and for both
  // markets. Empty if no domain has a price or nothing is to be ordered yet.
  std::vector<DomainSize> Plan(Time now, const ScalingRule& rule,
                               const std::vector<const ListedServer*>& servers);

  // Returns the number of servers that the load within load_window needs.
  int needed() const;

 private:
  struct Sample {
    Time at;
    double servers = 0;  // Servers that the load needed.
  };

  FleetSizingOptions options_;
  std::deque<Sample> samples_;
  // Updates and returns wanted_: follows a rising need at once, a falling one
  // after shrink_after.
  int WithDelayedShrink(Time now, int need);

  std::optional<Time> observed_since_;
  bool loaded_ = false;  // Whether any load was observed.
  int floor_ = 0;        // Least number of on-demand servers.
  int wanted_ = 0;       // Servers wanted over all domains.
  std::optional<Time> fewer_since_;
};

}  // namespace oleander

#endif  // OLEANDER_FLEET_SIZING_H_
