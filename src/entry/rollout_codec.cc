#include "entry/rollout_codec.h"

#include <algorithm>
#include <array>

namespace oleander::entry {
namespace {

constexpr std::array kPhases = {RolloutPhase::kWaiting, RolloutPhase::kCanary,
                                RolloutPhase::kMoving, RolloutPhase::kComplete,
                                RolloutPhase::kReverted};
// Sums of counts of hundreds of instances must not overflow.
constexpr int64_t kMaxCount = int64_t{1} << 48;

int64_t MicrosecondsOf(WallTime time) {
  return time.time_since_epoch().count();
}

WallTime WallTimeAt(int64_t microseconds) {
  return WallTime(Duration(microseconds));
}

bool IsShare(double share) { return share >= 0 && share <= 1; }

}  // namespace

void WriteOrder(const RolloutOrder& order, entrywire::RolloutOrder& wire) {
  wire.set_service(order.service.value());
  wire.set_target(order.target);
  wire.set_duration_us(order.duration.count());
  wire.set_revision(order.revision);
}

std::optional<RolloutOrder> ReadOrder(const entrywire::RolloutOrder& wire) {
  const bool usable = !wire.service().empty() && !wire.target().empty() &&
                      wire.duration_us() > 0 && wire.revision() > 0;
  if (!usable) {
    return std::nullopt;
  }
  return RolloutOrder{.service = ServiceId(wire.service()),
                      .target = wire.target(),
                      .duration = Duration(wire.duration_us()),
                      .revision = wire.revision()};
}

void WriteStage(const RolloutStage& stage, entrywire::RolloutStage& wire) {
  wire.set_service(stage.service.value());
  wire.set_target(stage.target);
  wire.set_order_revision(stage.order_revision);
  wire.set_phase(static_cast<int32_t>(std::ranges::find(kPhases, stage.phase) -
                                      kPhases.begin()));
  wire.set_share(stage.share);
  for (const ServerId& server : stage.canaries) {
    wire.add_canaries(server.value());
  }
  wire.set_step(stage.step);
  wire.set_ordered_at_us(MicrosecondsOf(stage.ordered_at));
  wire.set_deadline_us(MicrosecondsOf(stage.deadline));
  wire.mutable_route_shares()->insert(stage.route_shares.begin(),
                                      stage.route_shares.end());
  wire.mutable_earlier()->Assign(stage.earlier.begin(), stage.earlier.end());
  wire.mutable_avoided()->Assign(stage.avoided.begin(), stage.avoided.end());
  wire.set_arrived(stage.arrived);
  wire.set_spent(stage.spent);
  wire.set_proven(stage.proven);
}

std::optional<RolloutStage> ReadStage(const entrywire::RolloutStage& wire) {
  const bool known_phase =
      wire.phase() >= 0 && wire.phase() < static_cast<int>(kPhases.size());
  const bool shares_usable =
      IsShare(wire.share()) &&
      std::ranges::all_of(wire.route_shares(),
                          [](const auto& row) { return IsShare(row.second); });
  const bool usable = !wire.service().empty() && !wire.target().empty() &&
                      known_phase && shares_usable;
  if (!usable) {
    return std::nullopt;
  }
  RolloutStage stage;
  stage.service = ServiceId(wire.service());
  stage.target = wire.target();
  stage.order_revision = wire.order_revision();
  stage.phase = kPhases[static_cast<size_t>(wire.phase())];
  stage.share = wire.share();
  for (const std::string& server : wire.canaries()) {
    stage.canaries.emplace_back(server);
  }
  stage.step = wire.step();
  stage.ordered_at = WallTimeAt(wire.ordered_at_us());
  stage.deadline = WallTimeAt(wire.deadline_us());
  stage.route_shares.insert(wire.route_shares().begin(),
                            wire.route_shares().end());
  stage.earlier.assign(wire.earlier().begin(), wire.earlier().end());
  stage.avoided.assign(wire.avoided().begin(), wire.avoided().end());
  stage.arrived = wire.arrived();
  stage.spent = wire.spent();
  stage.proven = wire.proven();
  return stage;
}

void WriteCounts(const RolloutEvidence& evidence,
                 entrywire::RolloutCounts& wire) {
  wire.set_service(evidence.service.value());
  wire.set_version(evidence.version);
  wire.set_route(evidence.route);
  wire.set_server(evidence.server.value());
  wire.set_sent(evidence.sent);
  wire.set_good(evidence.good);
  wire.set_failed(evidence.failed);
  wire.set_open(evidence.open);
  wire.set_waiting(evidence.waiting);
  wire.set_longest_us(evidence.longest.count());
  wire.set_order_revision(evidence.order_revision);
  wire.set_step(evidence.step);
  wire.set_total_calls(evidence.total_calls);
  wire.set_total_target(evidence.total_target);
  const auto last = std::find_if(evidence.times.rbegin(), evidence.times.rend(),
                                 [](int64_t count) { return count != 0; });
  wire.mutable_times()->Assign(evidence.times.begin(), last.base());
}

std::optional<RolloutEvidence> ReadCounts(
    const entrywire::RolloutCounts& wire) {
  const auto is_count = [](int64_t count) {
    return count >= 0 && count <= kMaxCount;
  };
  const std::array counts = {wire.sent(),        wire.good(),
                             wire.failed(),      wire.open(),
                             wire.waiting(),     wire.longest_us(),
                             wire.total_calls(), wire.total_target()};
  const bool usable = !wire.service().empty() &&
                      std::ranges::all_of(counts, is_count) &&
                      std::ranges::all_of(wire.times(), is_count);
  if (!usable) {
    return std::nullopt;
  }
  RolloutEvidence evidence;
  evidence.service = ServiceId(wire.service());
  evidence.version = wire.version();
  evidence.route = wire.route();
  evidence.server = ServerId(wire.server());
  evidence.sent = wire.sent();
  evidence.good = wire.good();
  evidence.failed = wire.failed();
  evidence.open = wire.open();
  evidence.waiting = wire.waiting();
  evidence.longest = Duration(wire.longest_us());
  evidence.order_revision = wire.order_revision();
  evidence.step = wire.step();
  evidence.total_calls = wire.total_calls();
  evidence.total_target = wire.total_target();
  const auto buckets = std::min<size_t>(static_cast<size_t>(wire.times_size()),
                                        evidence.times.size());
  std::copy_n(wire.times().begin(), buckets, evidence.times.begin());
  return evidence;
}

}  // namespace oleander::entry
