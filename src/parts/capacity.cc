#include "oleander/capacity.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <ranges>
#include <tuple>
#include <utility>

#include "oleander/invariant.h"

namespace oleander {
namespace {

using Hours = std::chrono::duration<double, std::ratio<3600>>;

constexpr double kMinUtilisation = 0.1;
// Rise of the target utilisation per kUtilisationInterval without a miss.
constexpr double kUtilisationRecovery = 0.01;
constexpr Duration kUtilisationInterval = std::chrono::minutes(1);
// Minimum instance hours for a market's reclaim rate; fewer count as this many.
constexpr double kMinHours = 1;

int Total(const CapacityMix& mix) {
  auto counts = std::views::values(mix);
  return std::accumulate(counts.begin(), counts.end(), 0);
}

int CountOf(const CapacityMix& mix, const MarketKey& key) {
  const auto found = mix.find(key);
  return found == mix.end() ? 0 : found->second;
}

MarketKey KeyOf(const ServerInfo& info) {
  return {info.machine_class, info.location.domain, info.market};
}

int CeilOf(double servers) {
  return static_cast<int>(std::ceil(servers - 1e-9));
}

}  // namespace

CapacityPlanner::CapacityPlanner(const CapacityOptions& options,
                                 const Profile& profile)
    : options_(options), profile_(profile), weights_(options.weights) {}

void CapacityPlanner::SetProfile(const Profile& profile) { profile_ = profile; }

void CapacityPlanner::SetPrices(std::span<const MarketPrice> prices) {
  prices_.clear();
  for (const MarketPrice& price : prices) prices_[price.key] = price.per_hour;
}

void CapacityPlanner::SetServers(Time now,
                                 std::span<const CapacityServer> servers) {
  if (listed_at_ != Time::min()) {
    const double hours = Hours(now - listed_at_).count();
    for (const auto& [id, server] : servers_) {
      History& history = history_[KeyOf(server.info)];
      history = Decayed(now, history);
      history.hours += hours;
    }
  }
  listed_at_ = now;
  std::map<ServerId, CapacityServer> listed;
  for (const CapacityServer& server : servers) {
    if (server.info.service == options_.service) {
      listed[server.info.id] = server;
    }
  }
  for (const auto& [id, server] : servers_) {
    if (listed.contains(id)) continue;
    formerly_listed_.insert(id);
    draining_.erase(id);
    role_orders_.erase(id);
    weights_.Remove(id);
  }
  servers_ = std::move(listed);
  std::erase_if(starts_, [&](const auto& entry) {
    return servers_.contains(entry.second.server);
  });
  for (const auto& [id, server] : servers_) {
    const bool loaded =
        std::ranges::find(server.models, options_.model) != server.models.end();
    if (loaded) weights_.OnLoaded(now, id);
    // The server was drained by an earlier lease holder, or is being reclaimed.
    if (server.leaving) draining_.try_emplace(id, now);
  }
}

// A missed latency target lowers the target utilisation by a step; each
// interval without a miss raises it by kUtilisationRecovery.
void CapacityPlanner::OnDemand(Time now, const CapacityDemand& demand) {
  demands_.push_back({now, demand});
  if (demand.heard_share < options_.min_heard_share) {
    partly_heard_at_ = now;
  }
  while (now - demands_.front().at > options_.scale_down_after) {
    demands_.pop_front();
  }
  if (now - utilisation_since_ < kUtilisationInterval) return;
  utilisation_since_ = now;
  utilisation_cut_ =
      demand.target_missed
          ? utilisation_cut_ + options_.utilisation_step
          : std::max(0.0, utilisation_cut_ - kUtilisationRecovery);
}

double CapacityPlanner::Utilisation() const {
  const MeasureWeights& weights = profile_.weights;
  const double total = weights.cost + weights.recomputed_tokens;
  const double share = total > 0 ? weights.recomputed_tokens / total : 0;
  const double target = options_.utilisation_for_cost +
                        share * (options_.utilisation_for_recompute -
                                 options_.utilisation_for_cost);
  return std::max(kMinUtilisation, target - utilisation_cut_);
}

void CapacityPlanner::OnReclaimed(Time now, const MarketKey& key, int servers) {
  History& history = history_[key];
  history = Decayed(now, history);
  history.reclaims += servers;
}

void CapacityPlanner::OnStarted(Time now, const std::string& client_token,
                                const absl::StatusOr<ServerId>& started) {
  const auto found = starts_.find(client_token);
  if (found == starts_.end()) return;
  const MarketKey key = found->second.key;
  if (!started.ok()) {
    cooldown_until_[key] = now + options_.refusal_cooldown;
    starts_.erase(found);
    return;
  }
  if (formerly_listed_.contains(*started)) {
    // The token belongs to an ended instance. The new generation changes the
    // next token.
    ++generations_[key];
    starts_.erase(found);
    return;
  }
  found->second.server = *started;
  if (servers_.contains(*started)) starts_.erase(found);
}

void CapacityPlanner::OnWeightsThrottled(Time now, const ServerId& server,
                                         Duration retry_after) {
  weights_.OnThrottled(now, server, retry_after);
}

CapacityPlanner::History CapacityPlanner::Decayed(
    Time now, const History& history) const {
  const double half_lives =
      Hours(now - history.at) / Hours(options_.reclaim_half_life);
  const double retained = std::exp2(-std::max(0.0, half_lives));
  return {history.reclaims * retained, history.hours * retained, now};
}

double CapacityPlanner::EffectivePrice(Time now, const MarketKey& key) const {
  const auto price = prices_.find(key);
  if (price == prices_.end()) return std::numeric_limits<double>::infinity();
  const auto known = history_.find(key);
  if (known == history_.end()) return price->second;
  const History history = Decayed(now, known->second);
  const double per_hour = history.reclaims / std::max(history.hours, kMinHours);
  return price->second * (1 + per_hour * options_.reclaim_cost_hours);
}

CapacityDemand CapacityPlanner::HighestDemand() const {
  CapacityDemand highest;
  for (const PastDemand& past : demands_) {
    highest.interactive =
        std::max(highest.interactive, past.demand.interactive);
    highest.total = std::max(highest.total, past.demand.total);
  }
  return highest;
}

// With survive_domain_loss, the servers outside the largest domain must carry
// the interactive load. For D domains of equal size this takes D / (D - 1)
// times the servers that the load needs.
CapacityPlanner::Size CapacityPlanner::WantedSize() const {
  const CapacityRules& rules = profile_.capacity;
  const CapacityDemand demand = HighestDemand();
  const double utilisation = Utilisation();
  std::set<DomainId> domains;
  for (const auto& [key, price] : prices_) domains.insert(key.domain);
  const int interactive =
      CeilOf(demand.interactive /
             std::max(kMinUtilisation,
                      options_.utilisation_after_loss - utilisation_cut_));
  int servers = std::max(rules.min_servers, CeilOf(demand.total / utilisation));
  const auto spread = static_cast<double>(domains.size());
  const bool survive = rules.survive_domain_loss && domains.size() > 1;
  if (survive) {
    servers = std::max(servers, CeilOf(interactive * spread / (spread - 1)));
  }
  servers = std::clamp(servers, rules.min_servers,
                       std::max(rules.min_servers, rules.max_servers));
  Size size{.servers = servers,
            .per_domain = servers,
            .reclaimable =
                static_cast<int>(rules.reclaimable_share * servers + 1e-9)};
  if (survive) {
    size.per_domain = std::max(servers - interactive, CeilOf(servers / spread));
  }
  return size;
}

bool CapacityPlanner::MayUse(Time now, const MarketKey& key) const {
  const auto cooldown = cooldown_until_.find(key);
  if (cooldown != cooldown_until_.end() && cooldown->second > now) return false;
  return ClassRank(key.machine_class) != std::string::npos;
}

size_t CapacityPlanner::ClassRank(const std::string& machine_class) const {
  const std::vector<std::string>& classes =
      profile_.capacity.machine_classes.empty()
          ? options_.classes
          : profile_.capacity.machine_classes;
  if (classes.empty()) return 0;
  const auto found = std::ranges::find(classes, machine_class);
  return found == classes.end() ? std::string::npos
                                : static_cast<size_t>(found - classes.begin());
}

CapacityMix CapacityPlanner::WantedMix(Time now) const {
  Size size = WantedSize();
  CapacityMix mix = Fill(now, size);
  if (Total(mix) < size.servers) {
    // If starts are refused, too many servers in one domain are better than too
    // few servers.
    size.per_domain = size.servers;
    mix = Fill(now, size);
  }
  LimitCost(now, mix);
  return mix;
}

// Adds servers one at a time, each in the cheapest market within the limits. A
// server that already runs or starts is discounted by min_move_saving, so that
// a move has to save at least that share.
CapacityMix CapacityPlanner::Fill(Time now, const Size& size) const {
  const CapacityMix running = RunningMix();
  const CapacityMix starting = StartingMix();
  CapacityMix mix;
  std::map<DomainId, int> in_domain;
  int reclaimable = 0;
  while (Total(mix) < size.servers) {
    std::optional<std::tuple<double, int, size_t, MarketKey>> best;
    for (const auto& [key, price] : prices_) {
      const int have = CountOf(running, key) + CountOf(starting, key);
      const bool retained = CountOf(mix, key) < have;
      if (!retained && !MayUse(now, key)) continue;
      if (in_domain[key.domain] >= size.per_domain) continue;
      if (key.market == Market::kReclaimable &&
          reclaimable >= size.reclaimable) {
        continue;
      }
      const double adjusted = EffectivePrice(now, key) *
                              (retained ? 1 - options_.min_move_saving : 1);
      const std::tuple candidate(adjusted, in_domain[key.domain],
                                 ClassRank(key.machine_class), key);
      if (!best || candidate < *best) best = candidate;
    }
    if (!best) break;
    const MarketKey& key = std::get<MarketKey>(*best);
    ++mix[key];
    ++in_domain[key.domain];
    if (key.market == Market::kReclaimable) ++reclaimable;
  }
  return mix;
}

void CapacityPlanner::LimitCost(Time now, CapacityMix& mix) const {
  const double limit = profile_.capacity.max_cost_per_hour;
  if (limit <= 0) return;
  const auto cost = [&] {
    return std::accumulate(
        mix.begin(), mix.end(), 0.0, [&](double sum, const auto& entry) {
          return sum + entry.second * prices_.at(entry.first);
        });
  };
  while (cost() > limit && Total(mix) > profile_.capacity.min_servers) {
    const auto most_expensive =
        std::ranges::max_element(mix, {}, [&](const auto& entry) {
          return entry.second > 0 ? EffectivePrice(now, entry.first) : -1;
        });
    --most_expensive->second;
  }
}

CapacityMix CapacityPlanner::RunningMix() const {
  CapacityMix mix;
  for (const auto& [id, server] : servers_) {
    if (!server.leaving && !draining_.contains(id)) ++mix[KeyOf(server.info)];
  }
  return mix;
}

CapacityMix CapacityPlanner::StartingMix() const {
  CapacityMix mix;
  for (const auto& [token, start] : starts_) ++mix[start.key];
  return mix;
}

std::string CapacityPlanner::TokenFor(const MarketKey& key, int number) const {
  std::string listed_ids;
  for (const auto& [id, server] : servers_) {
    if (KeyOf(server.info) == key) listed_ids += id.value() + "\n";
  }
  const auto generation = generations_.find(key);
  return fmt::format(
      "{}/{}/{}/{}/{:016x}-{}-{}", options_.service.value(), key.machine_class,
      key.domain.value(),
      key.market == Market::kReclaimable ? "reclaimable" : "on-demand",
      XXH64(listed_ids.data(), listed_ids.size(), 0),
      generation == generations_.end() ? 0 : generation->second, number);
}

void CapacityPlanner::DropOldStarts(Time now) {
  std::erase_if(starts_, [&](const auto& entry) {
    const bool lost = now - entry.second.at > options_.start_timeout;
    if (lost) ++generations_[entry.second.key];
    return lost;
  });
}

// The sender checks the lease again before each order, since time passes
// between planning and sending.
bool CapacityPlanner::MayOrder(Time now, const OrderLease& lease) {
  if (lease.fence == 0 || lease.valid_until - options_.lease_margin <= now) {
    return false;
  }
  if (!CheckInvariant(lease.fence >= fence_, "fence_never_falls", [&] {
        return fmt::format("The planner received fencing number {} after {}.",
                           lease.fence, fence_);
      })) {
    return false;
  }
  if (lease.fence != fence_) {
    fence_ = lease.fence;
    fence_since_ = now;
  }
  const Time observed = fence_since_ + options_.observe_after_takeover;
  return now >= observed && listed_at_ >= fence_since_ &&
         now - listed_at_ <= options_.max_list_age;
}

std::vector<CapacityOrder> CapacityPlanner::Plan(Time now,
                                                 const OrderLease& lease) {
  std::vector<CapacityOrder> orders;
  DropOldStarts(now);
  if (!MayOrder(now, lease)) return orders;
  const CapacityMix wanted = WantedMix(now);
  PlanStops(now, fence_, orders);
  PlanStarts(now, wanted, fence_, orders);
  PlanDrains(now, wanted, fence_, orders);
  PlanModels(now, fence_, orders);
  PlanRoles(now, fence_, orders);
  return orders;
}

void CapacityPlanner::PlanStarts(Time now, const CapacityMix& wanted,
                                 uint64_t fence,
                                 std::vector<CapacityOrder>& out) {
  const CapacityMix running = RunningMix();
  const CapacityMix starting = StartingMix();
  int missing = Total(wanted) - Total(running) - Total(starting);
  // If there are enough servers, a start is a move to a cheaper market. Only
  // one server moves at a time.
  const bool moving = missing <= 0;
  if (moving) {
    const bool paused =
        last_move_ != Time::min() && now - last_move_ < options_.move_interval;
    if (paused || missing < 0 || !starts_.empty()) return;
    missing = 1;
  }
  for (const auto& [key, count] : wanted) {
    const int deficit = count - CountOf(running, key) - CountOf(starting, key);
    for (int i = 0; i < deficit && missing > 0; ++i) {
      const std::string token = TokenFor(key, CountOf(starting, key) + i);
      if (!starts_.try_emplace(token, Start{key, now, ServerId()}).second) {
        continue;
      }
      --missing;
      if (moving) last_move_ = now;
      out.emplace_back(StartInstance{options_.service, key, token, fence});
    }
  }
}

bool CapacityPlanner::KnowsDemand(Time now) const {
  return !demands_.empty() &&
         (!partly_heard_at_ ||
          now - *partly_heard_at_ >= options_.scale_down_after);
}

// Drains surplus servers: the most expensive first, then those with the fewest
// requests in flight. At least the wanted number remains.
void CapacityPlanner::PlanDrains(Time now, const CapacityMix& wanted,
                                 uint64_t fence,
                                 std::vector<CapacityOrder>& out) {
  CapacityMix running = RunningMix();
  int surplus = Total(running) - Total(wanted);
  // After a move to a cheaper market the old server is surplus, so no slack
  // applies.
  const bool moving =
      last_move_ != Time::min() && now - last_move_ < options_.move_interval;
  if (surplus <= (moving ? 0 : options_.scale_down_slack)) return;
  // Markets without a known price are missing from the wanted mix, so their
  // servers would wrongly count as surplus.
  const bool all_priced = std::ranges::all_of(running, [&](const auto& entry) {
    return prices_.contains(entry.first);
  });
  if (!all_priced) return;
  if (!KnowsDemand(now)) return;
  // A new lease holder hasn't seen the demand before its takeover. It only
  // replaces the server that it moved.
  if (now - fence_since_ < options_.scale_down_after) {
    if (!moving) return;
    surplus = 1;
  }
  std::vector<const CapacityServer*> servers;
  for (const auto& [id, server] : servers_) {
    if (!server.leaving && !draining_.contains(id)) servers.push_back(&server);
  }
  std::ranges::sort(servers, {}, [&](const CapacityServer* server) {
    return std::tuple(
        -EffectivePrice(now, KeyOf(server->info)),
        server->in_flight.value_or(std::numeric_limits<int>::max()),
        server->info.id);
  });
  for (const CapacityServer* server : servers) {
    if (surplus == 0) break;
    const MarketKey key = KeyOf(server->info);
    if (running[key] <= CountOf(wanted, key)) continue;
    --running[key];
    --surplus;
    draining_[server->info.id] = now;
    out.emplace_back(
        DrainServer{server->info.id, options_.drain_grace_period, fence});
  }
}

void CapacityPlanner::PlanStops(Time now, uint64_t fence,
                                std::vector<CapacityOrder>& out) const {
  for (const auto& [id, since] : draining_) {
    const auto server = servers_.find(id);
    if (server == servers_.end()) continue;
    const Duration over = now - since - options_.drain_grace_period;
    const std::optional<int>& in_flight = server->second.in_flight;
    const bool ended =
        in_flight ? *in_flight == 0 : over >= options_.silent_stop_after;
    if (over >= Duration::zero() && ended) {
      out.emplace_back(StopInstance{id, fence});
    }
  }
}

void CapacityPlanner::PlanModels(Time now, uint64_t fence,
                                 std::vector<CapacityOrder>& out) {
  if (options_.model.empty()) return;
  for (const auto& [id, server] : servers_) {
    const bool loaded =
        std::ranges::find(server.models, options_.model) != server.models.end();
    const bool wanted = !server.leaving && !draining_.contains(id) &&
                        server.info.kind == ServerKind::kEngine;
    if (wanted && !loaded) {
      weights_.Add(now, {.server = id, .model = options_.model});
    }
    if (!wanted) weights_.Remove(id);
  }
  for (const WeightLoad& load : weights_.Start(now)) {
    const CapacityServer& server = servers_.at(load.server);
    out.emplace_back(
        EngineOrder{.kind = EngineOrderKind::kLoadModel,
                    .server = load.server,
                    .model = load.model,
                    .role = "",
                    .fence = fence,
                    .expect = {.models = server.models, .role = server.role}});
  }
}

void CapacityPlanner::PlanRoles(Time now, uint64_t fence,
                                std::vector<CapacityOrder>& out) {
  if (options_.role.empty()) return;
  for (const auto& [id, server] : servers_) {
    if (server.info.kind != ServerKind::kEngine || server.leaving ||
        server.role == options_.role) {
      continue;
    }
    const auto last = role_orders_.find(id);
    if (last != role_orders_.end() &&
        now - last->second < options_.order_timeout) {
      continue;
    }
    role_orders_[id] = now;
    out.emplace_back(
        EngineOrder{.kind = EngineOrderKind::kSetRole,
                    .server = id,
                    .model = "",
                    .role = options_.role,
                    .fence = fence,
                    .expect = {.models = server.models, .role = server.role}});
  }
}

double CapacityPlanner::cost_per_hour() const {
  const auto price_of = [&](const MarketKey& key) {
    const auto found = prices_.find(key);
    return found == prices_.end() ? 0.0 : found->second;
  };
  double cost = 0;
  for (const auto& [id, server] : servers_) {
    cost += price_of(KeyOf(server.info));
  }
  for (const auto& [token, start] : starts_) cost += price_of(start.key);
  return cost;
}

}  // namespace oleander
