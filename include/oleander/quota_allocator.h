// Allocates the quotas of workspaces among all instances that send requests.
//
// There is one token bucket per workspace. Its capacity is a fraction of the
// operators' bound, and it fills with the remainder over a window, so that no
// window passes more than the bound, even when a new allocator takes over,
// since its buckets start empty. While a bucket is nearly full, instances let
// calls pass first and report them afterwards. When it becomes nearly
// exhausted, all instances are notified at once and request a grant before a
// call passes.
//
// Two instances may both act as allocator while the fleet is partitioned or
// views of its members differ. An allocator fills its buckets only in
// proportion to the instances that send it requests, and each instance uses one
// allocator at a time, so the two together give out no more than one would.
//
//   QuotaAllocator allocator(bound);
//   allocator.SetQuotas(now, config);
//   allocator.SetInstances(90);
//   QuotaGrant grant = allocator.OnRequest(now, from, request);
//   for (auto& notice : allocator.TakeNotices(now)) {
//     Send(notice.to, notice.grant);
//   }
//
// Handles a workspace that sends many times its usual load, hundreds of
// instances that each see one of its calls now and then, large calls, and
// instances that are partitioned or restart meanwhile.
#ifndef OLEANDER_QUOTA_ALLOCATOR_H_
#define OLEANDER_QUOTA_ALLOCATOR_H_

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/quota_messages.h"
#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

struct QuotaAllocatorOptions {
  QuotaBound bound;
  // An instance that sent no request for this long is no longer counted as
  // active; instances send one at least about every 700 ms.
  Duration sender_timeout = std::chrono::milliseconds(2000);
  // A bucket is nearly exhausted below the first fraction of its capacity, and
  // no longer so above the second.
  double nearly_exhausted_below = 0.7;
  double replenished_above = 0.85;
  // A nearly exhausted bucket remains so for at least this long, so that a
  // level that oscillates costs each instance at most one notice in that time.
  Duration min_nearly_exhausted = std::chrono::seconds(5);
  // A call that costs at most this fraction of what is left always passes. A
  // larger call passes with a probability that falls with its cost, so that
  // small calls of a workspace that sends too much don't wait behind large
  // ones, and calls of every size can pass.
  double certain_share = 0.125;
  // This fraction of a full bucket is reserved for such small calls.
  double reserved_for_small = 0.05;
  // The part of the level above this fraction of a full bucket isn't rationed:
  // a call that costs at most that much always passes.
  double ration_below = 0.35;
  // The interval between two counts of the active instances; an instance that
  // joins or leaves causes one at once.
  Duration recount_interval = std::chrono::milliseconds(100);
};

// A grant sent to an instance without a request, which lists workspaces that
// have become nearly exhausted.
struct QuotaNotice {
  InstanceId to;
  QuotaGrant grant;
};

class QuotaAllocator {
 public:
  explicit QuotaAllocator(QuotaAllocatorOptions options = {}, uint64_t seed = 1)
      : options_(options), gen_(seed) {}

  // Replaces the quotas. A workspace that still has a quota keeps its bucket.
  void SetQuotas(Time now, const ServingConfig& config);
  // Sets the number of serving instances.
  void SetInstances(size_t instances) { instances_ = instances; }

  // Returns the answer to `request`. Calls of a workspace without a quota here
  // always pass.
  QuotaGrant OnRequest(Time now, const InstanceId& from,
                       const QuotaRequest& request);
  // Returns notices of the workspaces that became nearly exhausted since the
  // last call, for all active instances of their group.
  std::vector<QuotaNotice> TakeNotices(Time now);

  // Returns the content of the workspace's bucket; 0 without a quota.
  double level(const WorkspaceId& workspace) const;
  // Returns the number of active instances that use this allocator for `group`.
  size_t active_senders(size_t group) const { return active_.at(group); }

 private:
  struct Bucket {
    WorkspaceQuota quota;
    size_t group = 0;
    double level = 0;
    // Cost of refused calls that were given a time to return.
    double promised = 0;
    bool nearly_exhausted = true;
    // Became nearly exhausted, and no notice was sent.
    bool unannounced = false;
    Time nearly_exhausted_until;
    Time filled_at;
  };
  struct Sender {
    // Arrival of the instance's last request, by group; empty after it left.
    std::array<std::optional<Time>, kQuotaGroups> received_at;
  };

  // Returns the fraction of the fleet that is active in the bucket's group.
  double ActiveFraction(const Bucket& bucket) const;
  // Recounts the active instances and removes the others.
  void CountActiveSenders(Time now);
  // Adds what the bucket gained since it was last filled.
  void Fill(Time now, Bucket& bucket);
  void UpdateNearlyExhausted(Time now, Bucket& bucket);
  bool IsActive(Time now, const Sender& sender, size_t group) const;
  // Decides whether a call passes; at random if it is large.
  bool Passes(const Bucket& bucket, double cost);
  // Subtracts the reported and granted costs from the bucket.
  QuotaGrantItem Allocate(Bucket& bucket, const QuotaRequestItem& item);
  // Returns when a refused call is to be requested again.
  Duration RetryAfterFor(const Bucket& bucket) const;

  QuotaAllocatorOptions options_;
  std::mt19937_64 gen_;
  size_t instances_ = 1;
  absl::flat_hash_map<WorkspaceId, Bucket> buckets_;
  absl::flat_hash_map<InstanceId, Sender> senders_;
  std::array<size_t, kQuotaGroups> active_ = {};
  Time counted_at_;
};

}  // namespace oleander

#endif  // OLEANDER_QUOTA_ALLOCATOR_H_
