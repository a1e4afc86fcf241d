// One instance's side of the workspaces' quotas: which calls pass at once,
// which wait for a word of the allocator, and what is requested of whom.
//
// While a quota is known to be far from spent a call passes and is reported
// afterwards; else it waits for a grant. Who allocates a group of workspaces
// follows from a ranking on which all agree without a message; the next one is
// requested where an answer stays out. Where none answers, an instance passes
// an even part of the rate, which the allocators have left to it by then.
//
//   WorkspaceQuotas quotas({.bound = bound}, seed);
//   quotas.SetQuotas(now, config);
//   quotas.SetAllocators(now, RankAllocators(self, candidates));
//   if (auto ticket = quotas.TryTake(now, workspace, cost, timeout)) {
//     // Waits: TakeDecisions() will name the ticket.
//   }
//   for (auto& out : quotas.TakeAsks(now)) Send(out.to, out.request);
//
// Load it answers: see quota_allocator.h; and allocators that die, hang or are
// cut off, with and without their callers.
#ifndef OLEANDER_WORKSPACE_QUOTAS_H_
#define OLEANDER_WORKSPACE_QUOTAS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/quota_messages.h"
#include "oleander/serving_config.h"
#include "oleander/types.h"

namespace oleander {

struct WorkspaceQuotaOptions {
  QuotaBound bound;
  // An allocator that owes an answer for this long is passed over; a question
  // across regions takes some dozens of milliseconds.
  Duration answer_timeout = std::chrono::milliseconds(250);
  // No call passes before it is requested for while an answer is out so long.
  Duration optimistic_timeout = std::chrono::milliseconds(150);
  // An allocator that gave no answer is passed over until it answers a probe;
  // the first is sent after this time, the later ones at doubled times as long
  // as another one answers.
  Duration probe_interval = std::chrono::seconds(1);
  Duration max_probe_interval = std::chrono::seconds(4);
  // The part of a full bucket that an instance lets through before the
  // allocator has heard of it.
  double optimistic_share = 0.05;
  // Without other news an allocator hears this often that its askers live.
  Duration heartbeat = std::chrono::milliseconds(700);
  // What passed is gathered for so long before it is reported.
  Duration report_delay = std::chrono::milliseconds(30);
  // Without an allocator, this part of an even share of the bucket passes until
  // all that heard this instance have stopped counting it, and all of it then.
  double early_fallback_share = 0.5;
  Duration counted_elsewhere_for = std::chrono::milliseconds(2500);
};

// An instance that may allocate.
struct AllocatorCandidate {
  InstanceId instance;
  DomainId domain;
  RegionId region;
  double cores = 1;  // Those with the most are chosen.
};

// Whom an instance asks for each group, first choice first.
using AllocatorRanking = std::array<std::vector<InstanceId>, kQuotaGroups>;

// The ranking for an instance in `place`: a few of the whole fleet, the same
// for every instance, then the first of its own region and its own domain, for
// the time when those are cut off. The same for any order of the candidates.
AllocatorRanking RankAllocators(
    const Location& location,
    const std::vector<AllocatorCandidate>& candidates);

// An request and whom it goes to.
struct OutgoingQuotaRequest {
  InstanceId to;
  QuotaRequest request;
};

// What became of a call that waited.
struct QuotaDecision {
  uint64_t ticket = 0;
  bool passes = false;
  Duration retry_after{};  // Where it doesn't pass.
};

// A group's allocator was changed; for the log.
struct AllocatorChange {
  size_t group = 0;
  InstanceId from;  // Empty: there was none.
  InstanceId to;    // Empty: none is left.
};

class WorkspaceQuotas {
 public:
  explicit WorkspaceQuotas(WorkspaceQuotaOptions options = {},
                           uint64_t seed = 1)
      : options_(options), gen_(seed) {}

  // The quotas in force; a workspace that keeps its quota keeps its state.
  void SetQuotas(Time now, const ServingConfig& config);
  // How many instances serve, this one included.
  void SetInstances(size_t instances) { instances_ = instances; }
  void SetAllocators(Time now, AllocatorRanking ranking);

  // Nothing: the call passes. Else the ticket of a call that waits, for
  // `timeout` at most.
  std::optional<uint64_t> TryTake(Time now, const WorkspaceId& workspace,
                                  double cost, Duration timeout);
  void OnGrant(Time now, const InstanceId& from, const QuotaGrant& grant);
  void Tick(Time now);
  Time next_due() const;

  // What has come up since the last call.
  std::vector<OutgoingQuotaRequest> TakeRequests(Time now);
  std::vector<QuotaDecision> TakeDecisions();
  std::vector<AllocatorChange> TakeChanges();

  // A call that was let through and will not be sent after all.
  void Refund(Time now, const WorkspaceId& workspace, double cost);

  // Calls that wait.
  size_t waiting() const;

 private:
  struct Waiting {
    uint64_t ticket = 0;
    double cost = 0;
    Time until = {};       // Refused then.
    Time request_at = {};  // Not requested for before.
    bool requested = false;
    bool resolved = false;  // Refused while its question was under way.
  };
  struct Bucket {
    WorkspaceQuota quota;
    size_t group = 0;
    bool nearly_exhausted = true;
    double unreported = 0;  // Passed since the last request.
    double reported = 0;    // In the request under way.
    std::deque<Waiting> waiting;
    // The even share, while no allocator answers.
    double fallback_tokens = 0;
    Time fallback_filled_at;
  };
  struct Group {
    std::vector<InstanceId> ranked;
    std::optional<InstanceId> allocator;
    uint64_t round = 0;
    std::optional<Time> requested_at;  // The request under way.
    std::optional<Time> answered_at;   // The allocator's last answer.
    // Since when none answers; until one does, the even share decides.
    std::optional<Time> unanswered_since;
    Time next_request_at;  // The next request.
  };
  struct SkippedAllocator {
    Time probe_at;
    Duration interval{};
    bool probed = false;
  };

  bool PassesOptimistically(Time now, const Bucket& bucket, double cost) const;
  double FallbackRate(Time now, const Bucket& bucket) const;
  bool TakeFallback(Time now, Bucket& bucket, double cost);
  // Whom to request; the one before hears that it isn't requested any more.
  void ChooseAllocator(Time now, size_t index);
  void LeaveAllocator(size_t index);
  void SkipAllocator(Time now, size_t index);
  void Probe(Time now);
  void SendRequest(Time now, size_t index);
  std::optional<QuotaRequestItem> RequestItemFor(Time now,
                                                 const WorkspaceId& workspace,
                                                 Bucket& bucket);
  void ScheduleNextRequest(Time now, size_t index);
  void ExpireWaiting(Time now, Bucket& bucket);
  void ApplyItem(Time now, Bucket& bucket, const QuotaGrantItem& item);
  void Resolve(const Waiting& call, bool passes, Duration retry_after);
  void ForEachBucket(
      size_t index,
      const std::function<void(const WorkspaceId&, Bucket&)>& apply);

  WorkspaceQuotaOptions options_;
  std::mt19937_64 gen_;
  size_t instances_ = 1;
  uint64_t tickets_ = 0;
  absl::flat_hash_map<WorkspaceId, Bucket> buckets_;
  std::array<Group, kQuotaGroups> groups_;
  absl::flat_hash_map<InstanceId, SkippedAllocator> skipped_allocators_;
  std::vector<OutgoingQuotaRequest> requests_;
  std::vector<QuotaDecision> decisions_;
  std::vector<AllocatorChange> changes_;
};

}  // namespace oleander

#endif  // OLEANDER_WORKSPACE_QUOTAS_H_
