// Decides which instances a service should run on, and orders the changes.
//
// The wanted mix is a number of instances per machine class, failure domain and
// market. It is as cheap as the profile allows, with the cost of past reclaims
// counted in, and carries the interactive load even if the largest failure
// domain is lost. Each order carries the lease's fencing number, a number that
// grows with each holder so that receivers can refuse orders of an earlier one.
// Orders are issued only while the lease is valid. docs/design/capacity.md
// explains the design.
#ifndef OLEANDER_CAPACITY_H_
#define OLEANDER_CAPACITY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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

// The machine class, failure domain and market in which an instance is bought.
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

// The lease that orders are issued under. Without a valid lease the planner
// orders nothing.
struct OrderLease {
  uint64_t fence = 0;
  Time valid_until{};
};

// Orders the start of an instance. The client token is a function of the
// service, the market, its listed instances, its generation (see generations_)
// and the index of this start. Two lease holders with the same list and
// generation therefore use the same token, and the cloud starts only one
// instance.
struct StartInstance {
  ServiceId service;
  MarketKey key;
  std::string client_token;
  uint64_t fence = 0;

  auto operator<=>(const StartInstance&) const = default;
};

// Orders that a server gets no new conversations, and no work at all after
// `grace_period`. It is stopped when its running work has ended.
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

// The engine state that an order requires. Engines that ignore fencing numbers
// use it to refuse a late order.
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

// The current state of a server of the service.
struct CapacityServer {
  ServerInfo info{};
  bool leaving = false;  // Because of a reclaim notice or a drain order.
  // Empty if no fresh report of the server is known.
  std::optional<int> in_flight = 0;
  std::vector<std::string> models{};  // Models loaded on an engine.
  std::string role{};
};

// The load of the service in servers, averaged by the caller over some seconds.
struct CapacityDemand {
  // Servers that the interactive load needs at the latency target.
  double interactive = 0;
  double total = 0;  // Including standard and batch work.
  // The p95 latency exceeded the target in this period.
  bool target_missed = false;
  // Share of the listed servers whose load is known. The load of the others is
  // missing from the sums.
  double heard_share = 1;
};

struct CapacityOptions {
  ServiceId service{};
  // Model to load on engines that lack it; empty for none.
  std::string model{};
  // Role to set on engines that have another; empty for none.
  std::string role{};
  std::vector<std::string> classes{};  // Used if the profile names none.
  // Target ratio of demand to servers if the profile weighs only cost, and if
  // it weighs only recomputed tokens; other weights interpolate. A fleet with
  // little spare capacity is cheap, one with more retains more cached prefixes.
  double utilisation_for_cost = 1.0;
  double utilisation_for_recompute = 0.25;
  // Maximum ratio of interactive demand to the servers that remain if the
  // largest domain is lost.
  double utilisation_after_loss = 0.95;
  // Reduction of the target utilisation after a missed latency target.
  double utilisation_step = 0.1;
  // The fleet is sized for the highest demand within this period.
  Duration scale_down_after = std::chrono::minutes(3);
  int scale_down_slack = 1;  // Number of surplus servers that is tolerated.
  // No server is drained unless the load of this share of the servers was known
  // throughout scale_down_after.
  double min_heard_share = 0.8;
  // A draining server whose load is unknown is stopped this long after its
  // grace period.
  Duration silent_stop_after = std::chrono::minutes(2);
  // Time without starts in a market after a refusal.
  Duration refusal_cooldown = std::chrono::seconds(60);
  // A start counts as lost if its server isn't listed within this time.
  Duration start_timeout = std::chrono::minutes(3);
  // A role order is repeated if its effect isn't seen within this time.
  Duration order_timeout = std::chrono::seconds(30);
  // How long a draining server still serves conversations whose prefix no other
  // server has.
  Duration drain_grace_period = std::chrono::seconds(60);
  // No orders are issued from a server list that is older than this.
  Duration max_list_age = std::chrono::seconds(30);
  // Half-life of the reclaim history.
  Duration reclaim_half_life = std::chrono::hours(6);
  // Cost of one reclaim in instance hours: the start of a new instance, loading
  // the weights and the recomputed tokens.
  double reclaim_cost_hours = 0.25;
  // Share of the price that a move to a cheaper market must save. One server
  // moves at a time.
  double min_move_saving = 0.15;
  // Minimum time between two moves.
  Duration move_interval = std::chrono::minutes(5);
  // Remaining lease time that is required for orders.
  Duration lease_margin = std::chrono::milliseconds(500);
  // Time without orders after a new fencing number.
  Duration observe_after_takeover = std::chrono::seconds(5);
  WeightLoadingOptions weights{};
};

using CapacityMix = std::map<MarketKey, int>;

// Plans the fleet of one service from its demand, prices and listed servers.
class CapacityPlanner {
 public:
  CapacityPlanner(const CapacityOptions& options, const Profile& profile);

  void SetProfile(const Profile& profile);
  void SetPrices(std::span<const MarketPrice> prices);
  void SetServers(Time now, std::span<const CapacityServer> servers);
  void OnDemand(Time now, const CapacityDemand& demand);
  void OnReclaimed(Time now, const MarketKey& key, int servers);
  // Handles the cloud's response to a start: the instance's id, or why the
  // start was refused.
  void OnStarted(Time now, const std::string& client_token,
                 const absl::StatusOr<ServerId>& started);
  void OnWeightsThrottled(Time now, const ServerId& server,
                          Duration retry_after);

  // Returns the mix that fits the current demand, prices and limits.
  CapacityMix WantedMix(Time now) const;
  // Returns the orders that change the running mix towards WantedMix(). Returns
  // none unless `lease` is valid for more than lease_margin. After a new
  // fencing number it returns none for observe_after_takeover, so that the
  // effects of the earlier holder's orders become visible first.
  std::vector<CapacityOrder> Plan(Time now, const OrderLease& lease);

  // Returns the hourly cost of the running servers and those being started.
  double cost_per_hour() const;
  // Returns a market's hourly price with the cost of past reclaims counted in;
  // infinity if the price is unknown.
  double EffectivePrice(Time now, const MarketKey& key) const;

 private:
  struct History {
    double reclaims = 0;  // Decaying number of reclaims.
    double hours = 0;     // Decaying instance hours.
    Time at{};
  };
  // A start that was ordered and whose server isn't listed yet.
  struct Start {
    MarketKey key;
    Time at{};
    ServerId server;  // Empty until the cloud has responded.
  };
  // Wanted number of servers, with limits on their distribution.
  struct Size {
    int servers = 0;
    int per_domain = 0;   // Maximum in one failure domain.
    int reclaimable = 0;  // Maximum number of reclaimable servers.
  };

  CapacityDemand HighestDemand() const;
  double Utilisation() const;
  Size WantedSize() const;
  // Returns whether the demands show that servers can be spared.
  bool KnowsDemand(Time now) const;
  // Returns true if servers may be started in the market now.
  bool MayUse(Time now, const MarketKey& key) const;
  // Returns the position among the allowed machine classes; npos if not
  // allowed.
  size_t ClassRank(const std::string& machine_class) const;
  CapacityMix Fill(Time now, const Size& size) const;
  // Removes the most expensive servers until the mix is within the cost limit
  // or at min_servers.
  void LimitCost(Time now, CapacityMix& mix) const;
  CapacityMix RunningMix() const;
  CapacityMix StartingMix() const;
  std::string TokenFor(const MarketKey& key, int number) const;
  void DropOldStarts(Time now);
  // Returns true if orders may be issued now under `lease`.
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
  std::deque<PastDemand> demands_;  // Samples of the last scale_down_after.
  std::optional<Time>
      partly_heard_at_;  // When too few servers were last heard.
  // Reduction of the target utilisation after missed latency targets.
  double utilisation_cut_ = 0;
  Time utilisation_since_{};
  std::map<MarketKey, History> history_;
  std::map<MarketKey, Time> cooldown_until_;
  std::map<std::string, Start> starts_;  // By client token.
  // Raised when a start is lost or its token names an ended instance. Part of
  // the client tokens, so that the next start gets a new one.
  std::map<MarketKey, int> generations_;
  // Servers that were listed earlier and are no longer.
  std::set<ServerId> formerly_listed_;
  std::map<ServerId, Time> draining_;  // Start of draining.
  std::map<ServerId, Time> role_orders_;
  WeightLoadQueue weights_;
  Time last_move_ = Time::min();
  uint64_t fence_ = 0;
  Time fence_since_{};
  Time listed_at_ = Time::min();
};

}  // namespace oleander

#endif  // OLEANDER_CAPACITY_H_
