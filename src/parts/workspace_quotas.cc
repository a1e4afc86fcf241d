#include "oleander/workspace_quotas.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

// Instances of the whole fleet in a ranking. With three, one may be dead and
// another partitioned.
constexpr size_t kFleetWideAllocators = 3;
// For a call whose request wasn't answered.
constexpr Duration kUnansweredRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Sorts candidates with more cores first, because an allocator answers hundreds
// of requests per second; among equals a hash of the group decides.
using Score = std::pair<double, uint64_t>;
Score ScoreOf(size_t group, const AllocatorCandidate& candidate) {
  const std::string& name = candidate.instance.value();
  return {-candidate.cores, XXH64(name.data(), name.size(), group + 1)};
}

void AddOnce(std::vector<InstanceId>& ranked, const InstanceId& instance) {
  if (std::ranges::find(ranked, instance) == ranked.end()) {
    ranked.push_back(instance);
  }
}

std::vector<InstanceId> RankFor(
    size_t group, const Location& location,
    const std::vector<AllocatorCandidate>& candidates) {
  std::vector<std::pair<Score, const AllocatorCandidate*>> scored;
  scored.reserve(candidates.size());
  for (const AllocatorCandidate& candidate : candidates) {
    scored.emplace_back(ScoreOf(group, candidate), &candidate);
  }
  std::ranges::sort(scored, [](const auto& a, const auto& b) {
    return std::pair(a.first, a.second->instance) <
           std::pair(b.first, b.second->instance);
  });
  std::vector<InstanceId> ranked;
  for (const auto& [score, candidate] : scored) {
    if (ranked.size() < kFleetWideAllocators) {
      AddOnce(ranked, candidate->instance);
    }
  }
  const auto add_first = [&](auto is_near) {
    const auto near = std::ranges::find_if(
        scored, [&](const auto& row) { return is_near(*row.second); });
    if (near != scored.end()) {
      AddOnce(ranked, near->second->instance);
    }
  };
  add_first([&location](const AllocatorCandidate& candidate) {
    return candidate.region == location.region;
  });
  add_first([&location](const AllocatorCandidate& candidate) {
    return candidate.domain == location.domain;
  });
  return ranked;
}

}  // namespace

AllocatorRanking RankAllocators(
    const Location& location,
    const std::vector<AllocatorCandidate>& candidates) {
  AllocatorRanking ranking;
  for (size_t group = 0; group < kQuotaGroups; ++group) {
    ranking.at(group) = RankFor(group, location, candidates);
  }
  return ranking;
}

void WorkspaceQuotas::SetQuotas(Time now, const ServingConfig& config) {
  absl::flat_hash_map<WorkspaceId, Bucket> retained;
  for (const Workspace& workspace : config.workspaces()) {
    if (workspace.quota.per_s <= 0) {
      continue;
    }
    const auto previous = buckets_.find(workspace.id);
    Bucket& bucket = retained[workspace.id];
    if (previous != buckets_.end()) {
      bucket = std::move(previous->second);
      buckets_.erase(previous);
    } else {
      bucket.fallback_filled_at = now;
    }
    bucket.quota = workspace.quota;
    bucket.group = QuotaGroupOf(workspace.id);
  }
  // Calls of workspaces that no longer have a quota needn't wait.
  for (const auto& [workspace, bucket] : buckets_) {
    for (const Waiting& call : bucket.waiting) {
      Resolve(call, /*passes=*/true, Duration::zero());
    }
  }
  buckets_ = std::move(retained);
}

void WorkspaceQuotas::SetAllocators(Time now, AllocatorRanking ranking) {
  for (size_t index = 0; index < kQuotaGroups; ++index) {
    groups_.at(index).ranked = std::move(ranking.at(index));
  }
  absl::erase_if(skipped_allocators_, [this](const auto& item) {
    return std::ranges::none_of(groups_, [&item](const Group& group) {
      return std::ranges::find(group.ranked, item.first) != group.ranked.end();
    });
  });
  for (size_t index = 0; index < kQuotaGroups; ++index) {
    ChooseAllocator(now, index);
  }
}

std::optional<uint64_t> WorkspaceQuotas::TryTake(Time now,
                                                 const WorkspaceId& workspace,
                                                 double cost,
                                                 Duration timeout) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  Group& group = groups_.at(bucket.group);
  if (group.unanswered_since) {
    if (TakeFallback(now, bucket, cost)) {
      return std::nullopt;
    }
    const Waiting refused{.ticket = ++tickets_, .cost = cost};
    Resolve(refused, /*passes=*/false,
            FromSeconds(std::min(Seconds(kMaxRetryAfter),
                                 cost / FallbackRate(now, bucket))));
    return refused.ticket;
  }
  if (PassesOptimistically(now, bucket, cost)) {
    bucket.unreported += cost;
    group.next_request_at =
        std::min(group.next_request_at, now + options_.report_delay);
    return std::nullopt;
  }
  bucket.waiting.push_back({.ticket = ++tickets_,
                            .cost = cost,
                            .until = now + timeout,
                            .request_at = now});
  group.next_request_at = now;
  return bucket.waiting.back().ticket;
}

void WorkspaceQuotas::OnGrant(Time now, const InstanceId& from,
                              const QuotaGrant& grant) {
  const auto skipped = skipped_allocators_.find(from);
  if (skipped != skipped_allocators_.end() && skipped->second.probed &&
      !grant.retired) {
    skipped_allocators_.erase(skipped);
    for (size_t index = 0; index < kQuotaGroups; ++index) {
      ChooseAllocator(now, index);
    }
    return;
  }
  if (grant.group >= kQuotaGroups ||
      groups_.at(grant.group).allocator != from) {
    return;
  }
  Group& group = groups_.at(grant.group);
  if (grant.retired) {
    SkipAllocator(now, grant.group);
    return;
  }
  const bool answers = grant.round == group.round && group.requested_at;
  if (!answers && grant.round != 0) {
    return;
  }
  const auto is_nearly_exhausted = [&grant](const WorkspaceId& workspace) {
    return std::ranges::find(grant.nearly_exhausted, workspace) !=
           grant.nearly_exhausted.end();
  };
  if (!answers) {
    ForEachBucket(
        grant.group, [&](const WorkspaceId& workspace, Bucket& bucket) {
          bucket.nearly_exhausted =
              bucket.nearly_exhausted || is_nearly_exhausted(workspace);
        });
    return;
  }
  group.requested_at.reset();
  group.answered_at = now;
  group.unanswered_since.reset();
  ForEachBucket(grant.group, [&](const WorkspaceId& workspace, Bucket& bucket) {
    bucket.reported = 0;
    bucket.nearly_exhausted = is_nearly_exhausted(workspace);
  });
  for (const QuotaGrantItem& item : grant.items) {
    const auto bucket = buckets_.find(item.workspace);
    if (bucket != buckets_.end() && bucket->second.group == grant.group) {
      ApplyItem(now, bucket->second, item);
    }
  }
  ScheduleNextRequest(now, grant.group);
}

void WorkspaceQuotas::Tick(Time now) {
  Probe(now);
  for (size_t index = 0; index < kQuotaGroups; ++index) {
    Group& group = groups_.at(index);
    ForEachBucket(index, [&](const WorkspaceId&, Bucket& bucket) {
      ExpireWaiting(now, bucket);
    });
    if (group.requested_at &&
        now - *group.requested_at >= options_.answer_timeout) {
      SkipAllocator(now, index);
    }
    if (!group.requested_at && now >= group.next_request_at) {
      SendRequest(now, index);
    }
  }
}

Time WorkspaceQuotas::next_due() const {
  Time due = Time::max();
  for (const auto& [instance, skipped] : skipped_allocators_) {
    due = std::min(due, skipped.probe_at);
  }
  for (const Group& group : groups_) {
    due = std::min(due, group.requested_at
                            ? *group.requested_at + options_.answer_timeout
                            : group.next_request_at);
  }
  for (const auto& [workspace, bucket] : buckets_) {
    for (const Waiting& call : bucket.waiting) {
      due = call.resolved ? due : std::min(due, call.until);
    }
  }
  return due;
}

std::vector<OutgoingQuotaRequest> WorkspaceQuotas::TakeRequests(Time now) {
  Tick(now);
  return std::exchange(requests_, {});
}

std::vector<QuotaDecision> WorkspaceQuotas::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::vector<AllocatorChange> WorkspaceQuotas::TakeChanges() {
  return std::exchange(changes_, {});
}

void WorkspaceQuotas::Refund(Time now, const WorkspaceId& workspace,
                             double cost) {
  const auto found = buckets_.find(workspace);
  if (found != buckets_.end()) {
    found->second.unreported -= cost;
    Group& group = groups_.at(found->second.group);
    group.next_request_at =
        std::min(group.next_request_at, now + options_.report_delay);
  }
}

size_t WorkspaceQuotas::waiting() const {
  size_t count = 0;
  for (const auto& [workspace, bucket] : buckets_) {
    count += static_cast<size_t>(
        std::ranges::count(bucket.waiting, false, &Waiting::resolved));
  }
  return count;
}

// A call passes before it is granted only if the bucket isn't nearly exhausted
// and little cost is unconfirmed. The allocator's last answer must also be
// recent and no request overdue, so that a flood is noticed within several tens
// of milliseconds.
bool WorkspaceQuotas::PassesOptimistically(Time now, const Bucket& bucket,
                                           double cost) const {
  const Group& group = groups_.at(bucket.group);
  const bool fresh =
      group.answered_at && now - *group.answered_at < options_.heartbeat * 2;
  const bool overdue = group.requested_at &&
                       now - *group.requested_at > options_.optimistic_timeout;
  const bool small =
      bucket.unreported + bucket.reported + cost <=
      options_.bound.DepthOf(bucket.quota) * options_.optimistic_share;
  return !bucket.nearly_exhausted && fresh && !overdue && small;
}

double WorkspaceQuotas::FallbackRate(Time now, const Bucket& bucket) const {
  const auto instances = static_cast<double>(std::max<size_t>(1, instances_));
  const std::optional<Time>& unanswered_since =
      groups_.at(bucket.group).unanswered_since;
  const bool counted_elsewhere =
      unanswered_since &&
      now - *unanswered_since < options_.counted_elsewhere_for;
  return options_.bound.RateOf(bucket.quota) / instances *
         (counted_elsewhere ? options_.early_fallback_share : 1);
}

// A call may cost more than the share of a whole second. It passes with a
// probability proportional to the available share, so that the average rate
// holds.
bool WorkspaceQuotas::TakeFallback(Time now, Bucket& bucket, double cost) {
  const Time since = std::max(bucket.fallback_filled_at,
                              *groups_.at(bucket.group).unanswered_since);
  const double capacity = options_.bound.DepthOf(bucket.quota) /
                          static_cast<double>(std::max<size_t>(1, instances_));
  bucket.fallback_tokens =
      std::min(capacity, bucket.fallback_tokens +
                             FallbackRate(now, bucket) * Seconds(now - since));
  bucket.fallback_filled_at = now;
  const double probability =
      cost > 0 ? std::clamp(bucket.fallback_tokens / cost, 0.0, 1.0) : 1.0;
  if (!std::bernoulli_distribution(probability)(gen_)) {
    return false;
  }
  bucket.fallback_tokens -= cost;
  return true;
}

// Sends probes to skipped allocators. A probe carries no calls; an allocator
// that answers one is used again.
void WorkspaceQuotas::Probe(Time now) {
  const bool unanswered = std::ranges::any_of(groups_, [](const Group& group) {
    return group.unanswered_since.has_value();
  });
  for (auto& [instance, skipped] : skipped_allocators_) {
    if (now >= skipped.probe_at) {
      skipped.interval = unanswered ? options_.probe_interval
                                    : std::min(skipped.interval * 2,
                                               options_.max_probe_interval);
      skipped.probe_at = now + skipped.interval;
      skipped.probed = true;
      requests_.push_back({.to = instance, .request = {.leaving = true}});
    }
  }
}

void WorkspaceQuotas::ChooseAllocator(Time now, size_t index) {
  Group& group = groups_.at(index);
  const auto next =
      std::ranges::find_if(group.ranked, [this](const InstanceId& instance) {
        return !skipped_allocators_.contains(instance);
      });
  const std::optional<InstanceId> chosen =
      next == group.ranked.end() ? std::nullopt : std::optional(*next);
  if (chosen == group.allocator) {
    if (!chosen && !group.unanswered_since) {
      group.unanswered_since = now;
    }
    return;
  }
  changes_.push_back({.group = index,
                      .from = group.allocator.value_or(InstanceId()),
                      .to = chosen.value_or(InstanceId())});
  LeaveAllocator(index);
  group.allocator = chosen;
  group.next_request_at = now;
  if (!chosen && !group.unanswered_since) {
    group.unanswered_since = now;
  }
}

// The last report may not have reached the allocator, so its costs are reported
// to the next one instead.
void WorkspaceQuotas::LeaveAllocator(size_t index) {
  Group& group = groups_.at(index);
  if (group.allocator) {
    requests_.push_back(
        {.to = *group.allocator,
         .request = {.group = index, .round = ++group.round, .leaving = true}});
  }
  group.requested_at.reset();
  group.answered_at.reset();
  ForEachBucket(index, [](const WorkspaceId&, Bucket& bucket) {
    bucket.unreported += std::exchange(bucket.reported, 0);
    bucket.nearly_exhausted = true;
    std::erase_if(bucket.waiting, &Waiting::resolved);
    for (Waiting& call : bucket.waiting) {
      call.requested = false;
    }
  });
}

void WorkspaceQuotas::SkipAllocator(Time now, size_t index) {
  skipped_allocators_.try_emplace(
      *groups_.at(index).allocator,
      SkippedAllocator{.probe_at = now + options_.probe_interval,
                       .interval = options_.probe_interval});
  ChooseAllocator(now, index);
}

void WorkspaceQuotas::SendRequest(Time now, size_t index) {
  ChooseAllocator(now, index);
  Group& group = groups_.at(index);
  if (!group.allocator) {
    ForEachBucket(index, [this](const WorkspaceId&, Bucket& bucket) {
      for (const Waiting& call : std::exchange(bucket.waiting, {})) {
        Resolve(call, /*passes=*/false, kUnansweredRetryAfter);
      }
    });
    group.next_request_at = now + options_.heartbeat;
    return;
  }
  QuotaRequest request{.group = index, .round = ++group.round};
  ForEachBucket(index, [&](const WorkspaceId& workspace, Bucket& bucket) {
    if (auto item = RequestItemFor(now, workspace, bucket)) {
      request.items.push_back(*std::move(item));
    }
  });
  group.requested_at = now;
  group.next_request_at = now + options_.heartbeat;
  requests_.push_back({.to = *group.allocator, .request = std::move(request)});
}

std::optional<QuotaRequestItem> WorkspaceQuotas::RequestItemFor(
    Time now, const WorkspaceId& workspace, Bucket& bucket) {
  QuotaRequestItem item{.workspace = workspace, .spent = bucket.unreported};
  bucket.reported = std::exchange(bucket.unreported, 0);
  for (Waiting& call : bucket.waiting) {
    call.requested = call.request_at <= now;
    if (call.requested) {
      item.wanted.push_back(call.cost);
    }
  }
  return item.spent == 0 && item.wanted.empty() ? std::nullopt
                                                : std::optional(item);
}

void WorkspaceQuotas::ScheduleNextRequest(Time now, size_t index) {
  Group& group = groups_.at(index);
  group.next_request_at = now + options_.heartbeat;
  ForEachBucket(index, [&](const WorkspaceId&, Bucket& bucket) {
    if (bucket.unreported != 0) {
      group.next_request_at =
          std::min(group.next_request_at, now + options_.report_delay);
    }
    for (const Waiting& call : bucket.waiting) {
      group.next_request_at = std::min(group.next_request_at, call.request_at);
    }
  });
}

void WorkspaceQuotas::ExpireWaiting(Time now, Bucket& bucket) {
  for (Waiting& call : bucket.waiting) {
    if (!call.resolved && now >= call.until) {
      Resolve(call, /*passes=*/false, kUnansweredRetryAfter);
      call.resolved = true;
    }
  }
  // A requested call keeps its position until the answer arrives, because the
  // answer lists its calls by position.
  std::erase_if(bucket.waiting, [](const Waiting& call) {
    return call.resolved && !call.requested;
  });
}

void WorkspaceQuotas::ApplyItem(Time now, Bucket& bucket,
                                const QuotaGrantItem& item) {
  size_t index = 0;
  for (Waiting& call : bucket.waiting) {
    if (!call.requested) {
      continue;
    }
    call.requested = false;
    const Duration wait =
        index < item.waits.size() ? item.waits[index] : kUnansweredRetryAfter;
    ++index;
    const bool granted = wait <= Duration::zero();
    if (call.resolved) {
      bucket.unreported -= granted ? call.cost : 0;
      continue;
    }
    if (!granted && now + wait <= call.until) {
      call.request_at = now + wait;
      continue;
    }
    Resolve(call, granted, wait);
    call.resolved = true;
  }
  std::erase_if(bucket.waiting, &Waiting::resolved);
}

void WorkspaceQuotas::Resolve(const Waiting& call, bool passes,
                              Duration retry_after) {
  decisions_.push_back(
      {.ticket = call.ticket,
       .passes = passes,
       .retry_after = std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter)});
}

void WorkspaceQuotas::ForEachBucket(
    size_t index,
    const std::function<void(const WorkspaceId&, Bucket&)>& apply) {
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.group == index) {
      apply(workspace, bucket);
    }
  }
}

}  // namespace oleander
