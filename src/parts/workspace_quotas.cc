#include "oleander/workspace_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleander {
namespace {

constexpr Duration kShortestWait = std::chrono::milliseconds(100);
constexpr Duration kLongestWait = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void WorkspaceQuotas::SetQuotas(Time now, const ServingConfig& config) {
  absl::flat_hash_map<WorkspaceId, Bucket> kept;
  for (const Workspace& workspace : config.workspaces()) {
    if (workspace.quota.per_s <= 0) {
      continue;
    }
    const auto known = buckets_.find(workspace.id);
    Bucket bucket;
    if (known != buckets_.end()) {
      bucket = known->second;
      bucket.level = std::min(bucket.level, DepthOf(workspace.quota));
      bucket.grant = std::min(bucket.grant, DepthOf(workspace.quota));
    } else {
      bucket.filled_at = now;
    }
    bucket.quota = workspace.quota;
    kept.emplace(workspace.id, bucket);
  }
  buckets_ = std::move(kept);
}

std::optional<Duration> WorkspaceQuotas::TryTake(Time now,
                                                 const WorkspaceId& workspace,
                                                 double cost) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  Fill(now, bucket);
  QuotaTotals& totals = totals_[workspace];
  totals.asked += cost;
  bucket.own_demand += cost;
  const double share = ShareOf(bucket);
  const bool passes = bucket.grant > 0 && bucket.level > 0 &&
                      (cost <= bucket.grant || PassesByChance(bucket, cost));
  if (passes) {
    bucket.level -= cost;
    bucket.grant -= cost;
    totals.used += cost;
    return std::nullopt;
  }
  // Refused callers return one after the other, as the bucket fills for them.
  const double rate = RateOf(bucket.quota) * share;
  bucket.promised += cost;
  const double missing =
      bucket.promised - std::min({bucket.level, bucket.grant, 0.0});
  return std::clamp(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::min(missing / rate, Seconds(kLongestWait)))),
      kShortestWait, kLongestWait);
}

// Large calls must pass at times, too, and many instances may find a large one
// at the same moment; with this chance they take what is granted on average.
bool WorkspaceQuotas::PassesByChance(const Bucket& bucket, double cost) {
  return std::bernoulli_distribution(std::clamp(bucket.grant / cost, 0.0, 1.0))(
      gen_);
}

void WorkspaceQuotas::OnPeer(
    Time now, const InstanceId& peer, uint64_t run, bool fresh,
    const absl::flat_hash_map<WorkspaceId, QuotaTotals>& totals) {
  const bool known = peers_.contains(peer) && peers_[peer].run == run;
  Peer& last = peers_[peer];
  const bool counts = known || fresh;
  if (!known) {
    last.totals.clear();
  }
  last.run = run;
  last.heard_at = now;
  for (const auto& [workspace, total] : totals) {
    QuotaTotals& before = last.totals[workspace];
    const auto bucket = buckets_.find(workspace);
    if (counts && bucket != buckets_.end()) {
      Fill(now, bucket->second);
      bucket->second.level -= std::max(0.0, total.used - before.used);
      bucket->second.peers_demand += std::max(0.0, total.asked - before.asked);
    }
    before = total;
  }
  for (auto& [workspace, bucket] : buckets_) {
    Fill(now, bucket);
    Divide(bucket);
  }
}

double WorkspaceQuotas::level(const WorkspaceId& workspace) const {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? 0 : found->second.level;
}

double WorkspaceQuotas::share(Time /*now*/,
                              const WorkspaceId& workspace) const {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? 1 : ShareOf(found->second);
}

double WorkspaceQuotas::BoundOf(const WorkspaceQuota& quota) const {
  return (quota.per_s * Seconds(options_.window) + quota.burst) *
             (1 + options_.overage * options_.used_overage) +
         options_.slack * options_.used_slack;
}

double WorkspaceQuotas::RateOf(const WorkspaceQuota& quota) const {
  return BoundOf(quota) * (1 - options_.depth_share) / Seconds(options_.window);
}

double WorkspaceQuotas::DepthOf(const WorkspaceQuota& quota) const {
  return BoundOf(quota) * options_.depth_share;
}

void WorkspaceQuotas::Fill(Time now, Bucket& bucket) {
  const Duration passed = std::max(now - bucket.filled_at, Duration::zero());
  bucket.filled_at = now;
  const auto instances = static_cast<double>(std::max<size_t>(1, instances_));
  const double heard = 1 - static_cast<double>(SilentPeers(now)) / instances;
  const double added = RateOf(bucket.quota) * heard * Seconds(passed);
  const double depth = DepthOf(bucket.quota);
  bucket.level = std::min(depth, bucket.level + added);
  // What silent peers are taken to use is not to be divided again.
  bucket.grant = std::min(depth, bucket.grant + added * ShareOf(bucket));
  bucket.promised = std::max(0.0, bucket.promised - added * ShareOf(bucket));
  const double fade =
      std::exp(-Seconds(passed) / Seconds(options_.demand_memory));
  bucket.own_demand *= fade;
  bucket.peers_demand *= fade;
}

// While the bucket is more than half full a flood is seen before it is empty,
// so what is above that needn't be divided.
void WorkspaceQuotas::Divide(Bucket& bucket) const {
  const double above_half = bucket.level - DepthOf(bucket.quota) / 2;
  bucket.grant = std::max({0.0, bucket.level * ShareOf(bucket), above_half});
}

double WorkspaceQuotas::ShareOf(const Bucket& bucket) const {
  const auto instances = static_cast<double>(std::max<size_t>(1, instances_));
  const double all = bucket.own_demand + bucket.peers_demand;
  const double measured = all > 0 ? bucket.own_demand / all : 1 / instances;
  return std::clamp(measured, options_.least_share / instances, 1.0);
}

size_t WorkspaceQuotas::SilentPeers(Time now) const {
  const auto heard = static_cast<size_t>(
      std::ranges::count_if(peers_, [this, now](const auto& item) {
        return now - item.second.heard_at <= options_.silent_after;
      }));
  return instances_ > heard + 1 ? instances_ - heard - 1 : 0;
}

double QuotaCost(const WorkspaceQuota& quota,
                 std::optional<int64_t> prompt_tokens,
                 int64_t max_output_tokens) {
  if (!quota.in_tokens) {
    return 1;
  }
  return prompt_tokens ? static_cast<double>(*prompt_tokens + max_output_tokens)
                       : quota.plain_tokens;
}

}  // namespace oleander
