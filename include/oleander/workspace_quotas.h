// One instance's view of the workspace quotas: decides which calls pass at once
// and which wait for a grant, and produces the requests to the allocators.
//
// An allocator is the instance that decides which calls of a group of
// workspaces may pass (quota_messages.h). While a quota is far from exhausted,
// a call passes at once and is reported afterwards; otherwise it waits for a
// grant. Every instance computes the same ranking of allocators without
// exchanging messages, and moves on to the next one when an answer doesn't
// arrive in time. If no allocator answers, an instance passes an even share of
// the rate, which the allocators have by then stopped giving out.
//
//   WorkspaceQuotas quotas({.bound = bound}, seed);
//   quotas.SetQuotas(now, config);
//   quotas.SetAllocators(now, RankAllocators(location, candidates));
//   if (auto ticket = quotas.TryTake(now, workspace, cost, timeout)) {
//     // Waits: TakeDecisions() will name the ticket.
//   }
//   for (auto& out : quotas.TakeRequests(now)) Send(out.to, out.request);
//
// Handles allocators that crash, hang or are partitioned from the network, with
// or without their callers, and the load described in quota_allocator.h.
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
  // An allocator that hasn't answered a request for this long is skipped. A
  // request across regions takes several tens of milliseconds.
  Duration answer_timeout = std::chrono::milliseconds(250);
  // Once a request has been unanswered for this long, no call passes before it
  // is granted.
  Duration optimistic_timeout = std::chrono::milliseconds(150);
  // A skipped allocator isn't used until it answers a probe. The first probe is
  // sent after `probe_interval`; the interval then doubles up to
  // `max_probe_interval`, but stays at `probe_interval` while some group has no
  // allocator that answers.
  Duration probe_interval = std::chrono::seconds(1);
  Duration max_probe_interval = std::chrono::seconds(4);
  // The fraction of a full bucket that an instance lets pass before the
  // allocator has confirmed it.
  double optimistic_share = 0.05;
  // The longest time between two requests to an allocator. Requests also show
  // that this instance is alive.
  Duration heartbeat = std::chrono::milliseconds(700);
  // Passed calls are collected for this long and then reported together.
  Duration report_delay = std::chrono::milliseconds(30);
  // While no allocator answers, an instance passes its even share of the rate.
  // For the first `counted_elsewhere_for`, an unreachable allocator may still
  // count this instance as active, so only this fraction of the share passes.
  double early_fallback_share = 0.5;
  Duration counted_elsewhere_for = std::chrono::milliseconds(2500);
};

// An instance that may allocate.
struct AllocatorCandidate {
  InstanceId instance;
  DomainId domain;
  RegionId region;
  double cores = 1;  // Instances with the most cores are preferred.
};

// For each group the allocators that an instance uses, in order of preference.
using AllocatorRanking = std::array<std::vector<InstanceId>, kQuotaGroups>;

// Returns the ranking for an instance at `location`: the first few of the whole
// fleet, which are the same for every instance, then the first of its own
// region and the first of its own domain, which remain reachable while the
// region or the domain is partitioned. The order of the candidates has no
// influence.
AllocatorRanking RankAllocators(
    const Location& location,
    const std::vector<AllocatorCandidate>& candidates);

// A request and the allocator that it goes to.
struct OutgoingQuotaRequest {
  InstanceId to;
  QuotaRequest request;
};

// The outcome of a call that waited.
struct QuotaDecision {
  uint64_t ticket = 0;
  bool passes = false;
  Duration retry_after{};  // If it doesn't pass.
};

// A change of a group's allocator, for the log.
struct AllocatorChange {
  size_t group = 0;
  InstanceId from;  // Empty if there was none.
  InstanceId to;    // Empty if none is left.
};

class WorkspaceQuotas {
 public:
  explicit WorkspaceQuotas(WorkspaceQuotaOptions options = {},
                           uint64_t seed = 1)
      : options_(options), gen_(seed) {}

  // Replaces the quotas. A workspace that still has a quota keeps its state;
  // waiting calls of a workspace without a quota pass.
  void SetQuotas(Time now, const ServingConfig& config);
  // Sets the number of serving instances, this one included.
  void SetInstances(size_t instances) { instances_ = instances; }
  // Sets the ranking, and changes allocators where the ranking requires it.
  void SetAllocators(Time now, AllocatorRanking ranking);

  // Returns nothing if the call passes. Otherwise returns a ticket;
  // TakeDecisions() has its outcome within `timeout`, at once if no allocator
  // answers.
  std::optional<uint64_t> TryTake(Time now, const WorkspaceId& workspace,
                                  double cost, Duration timeout);
  // Handles an answer or a notice of an allocator.
  void OnGrant(Time now, const InstanceId& from, const QuotaGrant& grant);
  // Handles timeouts and prepares the requests that are due.
  void Tick(Time now);
  // Returns when Tick() is to be called next.
  Time next_due() const;

  // Each returns the items produced since its last call. TakeRequests() calls
  // Tick().
  std::vector<OutgoingQuotaRequest> TakeRequests(Time now);
  std::vector<QuotaDecision> TakeDecisions();
  std::vector<AllocatorChange> TakeChanges();

  // Gives back the cost of a call that passed and won't be sent after all.
  void Refund(Time now, const WorkspaceId& workspace, double cost);

  // Returns the number of waiting calls.
  size_t waiting() const;

 private:
  struct Waiting {
    uint64_t ticket = 0;
    double cost = 0;
    Time until = {};         // The call is refused at this time.
    Time request_at = {};    // Not included in a request before this time.
    bool requested = false;  // Included in the request in flight.
    bool resolved = false;   // Refused while its request was in flight.
  };
  struct Bucket {
    WorkspaceQuota quota;
    size_t group = 0;
    bool nearly_exhausted = true;
    double unreported = 0;  // Cost that passed since the last request.
    double reported = 0;    // Cost in the request in flight.
    std::deque<Waiting> waiting;
    // Unused part of the even share, while no allocator answers.
    double fallback_tokens = 0;
    Time fallback_filled_at;
  };
  struct Group {
    std::vector<InstanceId> ranked;
    std::optional<InstanceId> allocator;
    uint64_t round = 0;                // Number of the last request.
    std::optional<Time> requested_at;  // When the request in flight was sent.
    std::optional<Time> answered_at;   // When the allocator last answered.
    // Since when no allocator answers; until one does, calls pass by the even
    // share.
    std::optional<Time> unanswered_since;
    Time next_request_at;  // When the next request is due.
  };
  struct SkippedAllocator {
    Time probe_at;
    Duration interval{};
    bool probed = false;  // A probe was sent.
  };

  bool PassesOptimistically(Time now, const Bucket& bucket, double cost) const;
  // Returns the even share of the workspace's rate, per second.
  double FallbackRate(Time now, const Bucket& bucket) const;
  bool TakeFallback(Time now, Bucket& bucket, double cost);
  // Makes the first allocator of the ranking that isn't skipped the group's
  // allocator, and notifies the previous one.
  void ChooseAllocator(Time now, size_t index);
  // Ends the use of the group's allocator; its unanswered calls and reports are
  // requested from the next one.
  void LeaveAllocator(size_t index);
  // Marks the group's allocator as skipped and chooses another one.
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
