// Gives out what may pass of workspaces' quotas, for all instances that
// request.
//
// One bucket per workspace: it holds a part of the operators' bound and fills
// with the rest over a window, so that no window passes more, also when a fresh
// allocator takes over, since its buckets start empty. While a bucket is nearly
// full, instances pass calls first and tell afterwards; when it gets
// nearly_exhausted all of them hear it at once, and request before a call
// passes.
//
// Two instances may both believe that they allocate, while the fleet is cut in
// two or the views of who serves differ. An allocator fills its buckets only by
// the part of the fleet that it hears, and everyone asks one allocator at a
// time, so both together give out no more than one would.
//
//   QuotaAllocator allocator(bound);
//   allocator.SetQuotas(now, config);
//   allocator.SetInstances(90);
//   QuotaGrant grant = allocator.OnRequest(now, from, request);
//   for (auto& notice : allocator.TakeNotices(now)) Send(notice.to,
//   notice.news);
//
// Load it answers: one workspace that sends many times its usual, hundreds of
// instances that each see a call of it now and then, large calls, instances
// that are cut off or restart meanwhile.
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
  // An instance that said nothing for this long isn't counted as heard; they
  // speak about every 700 ms.
  Duration sender_timeout = std::chrono::milliseconds(2000);
  // Below this part of a full bucket it is nearly_exhausted, above the other no
  // more.
  double nearly_exhausted_below = 0.7;
  double replenished_above = 0.85;
  // A bucket that was nearly_exhausted stays so for this long, so that one that
  // comes and goes costs each instance at most a notice in that time.
  Duration min_nearly_exhausted = std::chrono::seconds(5);
  // A call passes surely that takes at most this part of what is left; of
  // larger ones the fewer pass the more they take, so that small calls of a
  // workspace that sends too much don't wait behind large ones, and no size is
  // left out.
  double certain_share = 0.125;
  // This part of a full bucket is left to calls that pass surely.
  double reserved_for_small = 0.05;
  // Above this part of a full bucket nothing is rationed.
  double ration_below = 0.35;
  // Between two counts of who is heard.
  Duration recount_interval = std::chrono::milliseconds(100);
};

// What goes to one instance unasked.
struct QuotaNotice {
  InstanceId to;
  QuotaGrant grant;
};

class QuotaAllocator {
 public:
  explicit QuotaAllocator(QuotaAllocatorOptions options = {}, uint64_t seed = 1)
      : options_(options), gen_(seed) {}

  // The quotas in force; a workspace that keeps its quota keeps its bucket.
  void SetQuotas(Time now, const ServingConfig& config);
  // How many instances serve.
  void SetInstances(size_t instances) { instances_ = instances; }

  // The answer for the asker. A workspace without a quota here isn't limited.
  QuotaGrant OnRequest(Time now, const InstanceId& from,
                       const QuotaRequest& request);
  // What became nearly_exhausted since the last call, for all who are heard but
  // those who got it with their answers.
  std::vector<QuotaNotice> TakeNotices(Time now);

  double level(const WorkspaceId& workspace) const;
  // Instances heard of late that request here for `group`.
  size_t active_senders(size_t group) const { return active_.at(group); }

 private:
  struct Bucket {
    WorkspaceQuota quota;
    size_t group = 0;
    double level = 0;
    double promised = 0;  // Of calls that were told when to return.
    bool nearly_exhausted = true;
    bool unannounced =
        false;  // Became nearly_exhausted, and not all have heard it.
    Time nearly_exhausted_until;
    Time filled_at;
  };
  struct Sender {
    std::array<std::optional<Time>, kQuotaGroups> received_at;
  };

  // The part of the fleet that is heard for the bucket's group.
  double ActiveFraction(const Bucket& bucket) const;
  void CountActiveSenders(Time now);
  void Fill(Time now, Bucket& bucket);
  void UpdateNearlyExhausted(Time now, Bucket& bucket);
  bool IsActive(Time now, const Sender& sender, size_t group) const;
  bool Passes(const Bucket& bucket, double cost);
  QuotaGrantItem Allocate(Bucket& bucket, const QuotaRequestItem& item);
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
