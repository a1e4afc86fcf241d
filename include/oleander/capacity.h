// Decides which instances a service should run on, and orders the difference.
//
// The wanted mix names a count per machine class, failure domain and market: as
// cheap as the profile allows, after what reclaims have cost there, and so that
// the interactive load still fits when the largest failure domain is lost.
// Orders are typed, carry a fencing number and leave only under a lease that is
// valid at that moment. docs/design/capacity.md tells why.
#ifndef OLEANDER_CAPACITY_H_
#define OLEANDER_CAPACITY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "oleander/profile.h"
#include "oleander/types.h"
#include "oleander/weight_loading.h"

namespace oleander {

// Where and how an instance is bought.
struct MarketKey {
  std::string machine_class;
  DomainId domain;
  Market market = Market::kOnDemand;

  auto operator<=>(const MarketKey&) const = default;
};

struct MarketPrice {
  MarketKey key;
  double per_hour = 0;
};

// The lease under which orders leave. Without one the planner orders nothing.
struct OrderLease {
  uint64_t fence = 0;
  Time valid_until{};
};

// The token is a function of the service, the market, the instances listed
// there and the start's number among those of one plan. Two holders of the
// lease that see the same list thus ask with the same token, which is one
// instance.
struct StartInstance {
  ServiceId service;
  MarketKey key;
  std::string client_token;
  uint64_t fence = 0;

  auto operator<=>(const StartInstance&) const = default;
};

// No new conversations for this server, and after `linger` no work at all; it
// is stopped when its work has ended.
struct DrainServer {
  ServerId server;
  Duration grace_period{};
  uint64_t fence = 0;

  auto operator<=>(const DrainServer&) const = default;
};

struct StopInstance {
  ServerId server;
  uint64_t fence = 0;

  auto operator<=>(const StopInstance&) const = default;
};

enum class EngineOrderKind { kLoadModel, kUnloadModel, kSetRole };

// What an engine must still look like for an order to apply. An engine that
// ignores fencing numbers refuses a late order by this.
struct EngineExpectation {
  std::vector<std::string> models;
  std::string role;

  auto operator<=>(const EngineExpectation&) const = default;
};

struct EngineOrder {
  EngineOrderKind kind = EngineOrderKind::kLoadModel;
  ServerId server;
  std::string model;
  std::string role;
  uint64_t fence = 0;
  EngineExpectation expect;

  auto operator<=>(const EngineOrder&) const = default;
};

using CapacityOrder =
    std::variant<StartInstance, DrainServer, StopInstance, EngineOrder>;

// A server of the service as it is now.
struct CapacityServer {
  ServerInfo info{};
  bool leaving = false;  // By a reclaim notice or an order of ours.
  int in_flight = 0;
  std::vector<std::string> models{};  // Loaded, of an engine.
  std::string role{};
};

// The load of the service, averaged by the caller over some seconds.
struct CapacityDemand {
  double interactive = 0;      // Servers' worth at the latency target.
  double total = 0;            // With standard and batch work.
  bool target_missed = false;  // p95 was past the target in this time.
};

struct CapacityOptions {
  ServiceId service{};
  std::string model{};  // Ordered onto engines that lack it; empty orders none.
  std::string role{};   // The same.
  std::vector<std::string> classes{};  // Where the profile names none.
  // Demand over servers that the planner aims at, by the profile's weights: a
  // fleet with little to spare is cheap, one with more keeps more prefixes.
  double utilisation_for_cost = 1.0;
  double utilisation_for_recompute = 0.25;
  // Of what is left when the largest domain is lost, by interactive work.
  double utilisation_after_loss = 0.95;
  double utilisation_step =
      0.1;  // Lowers the utilisation aimed at after a miss.
  // The highest demand of this long is what the fleet is sized for.
  Duration scale_down_after = std::chrono::minutes(3);
  int scale_down_slack = 1;  // Servers too many that are left alone.
  Duration refusal_cooldown =
      std::chrono::seconds(60);  // A refused market rests.
  // A start that shows on no list by then counts as lost.
  Duration start_timeout = std::chrono::minutes(3);
  // An engine order whose effect is not seen by then is given again.
  Duration order_timeout = std::chrono::seconds(30);
  // How long a server that is drained still serves conversations whose prefix
  // only it holds.
  Duration drain_grace_period = std::chrono::seconds(60);
  // No orders from a list that is older than this.
  Duration max_list_age = std::chrono::seconds(30);
  Duration reclaim_half_life = std::chrono::hours(6);  // Half-life.
  // What one reclaim costs, in hours of that instance: the start, the weights
  // and the tokens recomputed.
  double reclaim_cost_hours = 0.25;
  // A cheaper market must save this share; one server moves at a time.
  double min_move_saving = 0.15;
  Duration move_interval = std::chrono::minutes(5);
  Duration lease_margin = std::chrono::milliseconds(500);  // Lease left over.
  Duration observe_after_takeover = std::chrono::seconds(5);
  WeightLoadingOptions weights{};
};

using CapacityMix = std::map<MarketKey, int>;

class CapacityPlanner {
 public:
  CapacityPlanner(const CapacityOptions& options, const Profile& profile);

  void SetProfile(const Profile& profile);
  void SetPrices(std::span<const MarketPrice> prices);
  void SetServers(Time now, std::span<const CapacityServer> servers);
  void OnDemand(Time now, const CapacityDemand& demand);
  void OnReclaimed(Time now, const MarketKey& key, int servers);
  // The cloud's answer to a start: the instance's id, or why it was refused.
  void OnStarted(Time now, const std::string& client_token,
                 const absl::StatusOr<ServerId>& started);
  void OnWeightsThrottled(Time now, const ServerId& server,
                          Duration retry_after);

  // The mix wanted now, from what is known.
  CapacityMix WantedMix(Time now) const;
  // Orders towards it. Empty unless `lease` is valid for long enough; after a
  // new fencing number the first orders wait until an older holder's orders
  // have run out and their effects were seen.
  std::vector<CapacityOrder> Plan(Time now, const OrderLease& lease);

  // Per hour, of the servers that run and those being started.
  double cost_per_hour() const;
  // The effective hourly price of a market with its reclaims counted in.
  double EffectivePrice(Time now, const MarketKey& key) const;

 private:
  struct History {
    double reclaims = 0;  // Decaying count.
    double hours = 0;     // Decaying instance hours.
    Time at{};
  };
  struct Start {
    MarketKey key;
    Time at{};
    ServerId server;  // Empty until the cloud has answered.
  };
  struct Size {
    int servers = 0;
    int per_domain = 0;   // At most this many in one failure domain.
    int reclaimable = 0;  // At most this many that can be reclaimed.
  };

  CapacityDemand HighestDemand() const;
  double Utilisation() const;
  Size WantedSize() const;
  bool MayUse(Time now, const MarketKey& key) const;
  size_t ClassRank(const std::string& machine_class) const;
  CapacityMix Fill(Time now, const Size& size) const;
  void LimitCost(Time now, CapacityMix& mix) const;
  CapacityMix RunningMix() const;
  CapacityMix StartingMix() const;
  std::string TokenFor(const MarketKey& key, int number) const;
  void DropOldStarts(Time now);
  bool MayOrder(Time now, const OrderLease& lease);
  void PlanStarts(Time now, const CapacityMix& wanted, uint64_t fence,
                  std::vector<CapacityOrder>& out);
  void PlanDrains(Time now, const CapacityMix& wanted, uint64_t fence,
                  std::vector<CapacityOrder>& out);
  void PlanStops(Time now, uint64_t fence,
                 std::vector<CapacityOrder>& out) const;
  void PlanModels(Time now, uint64_t fence, std::vector<CapacityOrder>& out);
  void PlanRoles(Time now, uint64_t fence, std::vector<CapacityOrder>& out);
  History Decayed(Time now, const History& history) const;

  CapacityOptions options_;
  Profile profile_;
  std::map<MarketKey, double> prices_;
  std::map<ServerId, CapacityServer> servers_;
  struct PastDemand {
    Time at;
    CapacityDemand demand;
  };
  std::deque<PastDemand> demands_;  // Of the last scale_down_after.
  double utilisation_cut_ =
      0;  // By how much misses have lowered the utilisation.
  Time utilisation_since_{};
  std::map<MarketKey, History> history_;
  std::map<MarketKey, Time> cooldown_until_;
  std::map<std::string, Start> starts_;   // By client token.
  std::map<MarketKey, int> generations_;  // Part of the client tokens.
  std::set<ServerId> formerly_listed_;    // Were listed once.
  std::map<ServerId, Time> draining_;     // Since when, by an order of ours.
  std::map<ServerId, Time> role_orders_;
  WeightLoadQueue weights_;
  Time last_move_ = Time::min();
  uint64_t fence_ = 0;
  Time fence_since_{};
  Time listed_at_ = Time::min();
};

}  // namespace oleander

#endif  // OLEANDER_CAPACITY_H_
