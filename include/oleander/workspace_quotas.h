// Keeps each workspace within its quota over all instances together.
//
// The operators' bound counts what passes in any window of some seconds. A
// bucket that holds a part of the bound and fills with the rest over a window
// keeps it, also across a restart of all instances at once, since a fresh one
// starts empty.
//
// Every instance keeps a bucket per workspace. It takes out what it lets
// through itself at once, and what its peers let through as soon as they tell.
// Between two tidings an instance spends at most its part of what the bucket
// holds, by how much of the demand comes to it. A peer that is silent is taken
// to use an even part of the rate, so that instances that are cut off from each
// other stay within the whole together.
//
// Load it answers: one workspace that sends many times its usual, unevenly over
// instances, and instances that are cut off or restart meanwhile.
#ifndef OLEANDER_WORKSPACE_QUOTAS_H_
#define OLEANDER_WORKSPACE_QUOTAS_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

struct WorkspaceQuotaOptions {
  // A peer that told nothing for this long counts as silent.
  Duration silent_after = std::chrono::milliseconds(1500);
  // How long demand is remembered when it is divided among instances.
  Duration demand_memory = std::chrono::seconds(2);
  // An instance with little demand may still use this part of an even share.
  double least_share = 0.5;
  // The operators' bound: in any `window` at most (rate x window + burst) x
  // (1 + overage) + slack passes.
  Duration window = std::chrono::seconds(8);
  double overage = 0;
  double slack = 0;
  // The parts of overage and slack that are used; the rest covers what
  // instances can't know of each other in time, and the last call that takes
  // out more than the bucket holds.
  double used_overage = 0.7;
  double used_slack = 0.7;
  // How much of the bound may pass at once.
  double depth_share = 0.12;
};

// One workspace's totals since a process's start, in the quota's unit.
struct QuotaTotals {
  double asked = 0;
  double used = 0;
};

class WorkspaceQuotas {
 public:
  explicit WorkspaceQuotas(WorkspaceQuotaOptions options = {},
                           uint64_t seed = 1)
      : options_(options), gen_(seed) {}

  // The quotas in force; a workspace that keeps its quota keeps its bucket.
  void SetQuotas(Time now, const ServingConfig& config);
  // How many instances serve, this one included, and how long a peer may tell
  // nothing before it counts as silent.
  void SetInstances(size_t instances, Duration silent_after) {
    instances_ = instances;
    options_.silent_after = silent_after;
  }

  // Takes `cost` out, or tells when to come back.
  std::optional<Duration> TryTake(Time now, const WorkspaceId& workspace,
                                  double cost);

  // This process's totals, for its peers.
  const absl::flat_hash_map<WorkspaceId, QuotaTotals>& totals() const {
    return totals_;
  }
  // A peer's totals. `fresh` tells that its process has just started, so that
  // its first totals are all news.
  void OnPeer(Time now, const InstanceId& peer, uint64_t run, bool fresh,
              const absl::flat_hash_map<WorkspaceId, QuotaTotals>& totals);

  double level(const WorkspaceId& workspace) const;
  double share(Time now, const WorkspaceId& workspace) const;

 private:
  struct Bucket {
    WorkspaceQuota quota;
    double level = 0;
    double grant = 0;  // What this instance may spend until the next tidings.
    double own_demand = 0;    // Fading with time.
    double peers_demand = 0;  // Fading with time.
    double promised = 0;      // Of refused calls that were told when to return.
    Time filled_at;
  };
  struct Peer {
    uint64_t run = 0;
    Time heard_at;
    absl::flat_hash_map<WorkspaceId, QuotaTotals> totals;
  };

  double BoundOf(const WorkspaceQuota& quota) const;
  double RateOf(const WorkspaceQuota& quota) const;
  double DepthOf(const WorkspaceQuota& quota) const;
  void Fill(Time now, Bucket& bucket);
  void Divide(Bucket& bucket) const;
  double ShareOf(const Bucket& bucket) const;
  size_t SilentPeers(Time now) const;

  // Whether a call passes that takes more than is granted here.
  bool PassesByChance(const Bucket& bucket, double cost);

  WorkspaceQuotaOptions options_;
  std::mt19937_64 gen_;
  size_t instances_ = 1;
  absl::flat_hash_map<WorkspaceId, Bucket> buckets_;
  absl::flat_hash_map<WorkspaceId, QuotaTotals> totals_;
  absl::flat_hash_map<InstanceId, Peer> peers_;
};

// What a call takes out of a quota.
double QuotaCost(const WorkspaceQuota& quota,
                 std::optional<int64_t> prompt_tokens,
                 int64_t max_output_tokens);

}  // namespace oleander

#endif  // OLEANDER_WORKSPACE_QUOTAS_H_
