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
// Growth is ordered at once. Servers are released only on evidence: reports
// from most instances over a whole load window since this holder took over, in
// which some load was heard. A holder that is cut off, that hears only a part,
// or that has not read what the earlier holder left (see sizing_memory.h)
// orders more servers or none. Releases go in steps, and each step waits for
// what follows from the one before: if the remaining servers then have too many
// calls or turn calls away, releases pause.
//
//   FleetSizing sizing;
//   sizing.Restore(now, memory);          // What the earlier holder left.
//   sizing.Observe(now, observation);     // Twice a second.
//   for (const DomainSize& size : sizing.Plan(now, rule, servers)) Order(size);
//   sizing.OnOrdered(now, size, OrderOutcome::kRefused);
//   Write(sizing.Remember());             // For the next holder.
//
// For example: 100 servers are ready, and the load of the last 12 s needs 40.
// The sizes returned now release 25, the next ones 4 s later (the boot time)
// 18, and so on.
//
// Designed for calls over all servers of a service, with bursts that end before
// a server has booted, with domains reclaimed seconds apart, and with a holder
// that is replaced every few seconds.
#ifndef OLEANDER_FLEET_SIZING_H_
#define OLEANDER_FLEET_SIZING_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "oleander/listed_servers.h"
#include "oleander/serving_config.h"
#include "oleander/sizing_memory.h"
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
  // the first start, which operators ordered for their usual load.
  double floor_share = 0.25;
  // Share of the live instances whose reports must arrive. A fifth may be cut
  // off or may have just ended.
  double evidence_share = 0.8;
  // Reports that pause for longer than this are not a whole window.
  Duration max_report_gap = std::chrono::seconds(2);
  // A service that had prefill load this recently is expected to have its
  // prefill load reported.
  Duration prefill_memory = std::chrono::seconds(60);
  // Share of the ready servers that one step releases; the next step follows
  // after the boot time at the earliest.
  double step_share = 0.25;
  // Calls that servers may turn away after a step before releases pause for a
  // load window.
  int64_t max_turned_away = 3;
  // A market that had no servers available is asked again after this time.
  Duration refusal_cooldown = std::chrono::seconds(10);
  // An order counts as under way for the boot time and this margin.
  Duration boot_margin = std::chrono::seconds(2);
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

// What a holder hears of the load of one service in one region.
struct LoadObservation {
  int slots = 1;  // Calls that a server runs at the same time.
  // Calls running and waiting at each listed server; empty if no report of the
  // server arrived lately. An idle server reports nothing.
  std::vector<std::optional<int>> calls = {};
  // Engines that prompts keep busy with prefill; empty if nobody reported it.
  std::optional<double> prefill_load = {};
  // Share of the live instances whose reports arrive here.
  double reporting_share = 0;
  // Calls that servers turned away at this instance, since its start.
  int64_t turned_away = 0;
};

enum class OrderOutcome {
  kAccepted,
  kRefused,  // The market has no servers available.
  kUnknown,  // The order may or may not have arrived.
};

// Returns whether a server is under the control of another part, such as a
// roll-out, that starts and ends servers itself. Such servers count as present.
// In their domain and market nothing is released, since an order names a number
// of servers and not which ones.
using HeldServer = std::function<bool(const ListedServer&)>;

// Sizes the fleet of one service over time.
class FleetSizing {
 public:
  explicit FleetSizing(FleetSizingOptions options = {}) : options_(options) {}

  // Takes what the earlier holder left: nullopt if the service starts for the
  // first time, an empty memory if the store has lost it. Until this is called,
  // servers are only added.
  void Restore(Time now, const std::optional<SizingMemory>& memory);
  // Returns whether Remember() is complete: the memory of the earlier holder is
  // known, or the first size was planned.
  bool is_initialised() const { return initialised_; }
  // Returns what the next holder needs.
  SizingMemory Remember() const;
  // This instance has acquired the duty again: earlier reports are no evidence.
  void OnTaken();

  void Observe(Time now, const LoadObservation& observation);
  // Takes the answer to an order.
  void OnOrdered(Time now, const DomainSize& size, OrderOutcome outcome);

  // Returns the sizes to order now, for domains with a price and both markets.
  // A domain and market that is not returned stays as it is.
  std::vector<DomainSize> Plan(
      Time now, const ScalingRule& rule,
      const std::vector<const ListedServer*>& servers,
      const HeldServer& held = [](const ListedServer&) { return false; });

  // Returns the number of servers that the load within load_window needs.
  int needed() const;
  // Returns whether the reports since the takeover justify a release.
  bool has_evidence(Time now) const;

 private:
  struct Sample {
    Time at;
    double servers = 0;  // Servers that the load needed.
    int64_t turned_away = 0;
    bool heard = false;  // Whether any load report arrived.
  };
  // A release, and the calls that servers had turned away before it.
  struct Step {
    Time at;
    int ready = 0;  // Servers that remain.
    int64_t turned_away = 0;
  };
  // The servers of one domain and market.
  struct Present {
    int ready = 0;
    int counted = 0;  // Also those that boot.
    bool held = false;
  };
  using PresentServers = std::map<DomainMarket, Present>;

  // Updates and returns wanted_: follows a rising need at once, a falling one
  // after shrink_after and on evidence.
  int WithDelayedShrink(Time now, int need);
  // Returns whether the observation covers the whole load.
  bool IsCovered(Time now, const LoadObservation& observation);
  PresentServers CountPresent(Time now, const ScalingRule& rule,
                              const std::vector<const ListedServer*>& servers,
                              const HeldServer& held) const;
  // Returns the sizes of `plan` that may be ordered now: growth, except in
  // markets that had none available lately, and at most one step of releases.
  std::vector<DomainSize> Permitted(Time now, const ScalingRule& rule,
                                    const std::vector<DomainSize>& plan,
                                    const PresentServers& present);
  // Returns how many servers may be released now.
  int ReleaseBudget(Time now, const ScalingRule& rule, int ready);
  // Returns whether the last step left too few servers.
  bool LastStepHurt() const;
  // No servers were ever needed, and nothing is remembered: the fleet starts
  // for the first time.
  bool IsFirstStart() const { return memory_known_ && !remembers_ && !loaded_; }

  FleetSizingOptions options_;
  std::deque<Sample> samples_;
  std::optional<Time> observed_since_;
  std::optional<Time> covered_since_;  // Without a gap.
  std::optional<Time> prefill_heard_at_;
  bool memory_known_ = false;  // Restore() was called.
  bool remembers_ = false;     // The memory had an entry.
  bool loaded_ = false;        // Whether any load was observed.
  bool initialised_ = false;   // floor_ and wanted_ are set.
  int floor_ = 0;              // Least number of on-demand servers.
  int wanted_ = 0;             // Servers wanted over all domains.
  std::optional<Time> fewer_since_;
  std::map<DomainMarket, MarketMemory> markets_;
  std::optional<Step> last_step_;
  std::optional<Time> paused_until_;  // No release before.
};

}  // namespace oleander

#endif  // OLEANDER_FLEET_SIZING_H_
