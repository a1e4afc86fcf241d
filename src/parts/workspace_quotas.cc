#include "oleander/workspace_quotas.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

// Instances of the whole fleet in a ranking: the first may be dead and the
// second cut off.
constexpr size_t kRankedOfAll = 3;
// For a call whose question has no answer yet.
constexpr Duration kUnansweredWait = std::chrono::milliseconds(200);
constexpr Duration kShortestWait = std::chrono::milliseconds(100);
constexpr Duration kLongestWait = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Those with the most cores first: an allocator answers hundreds of questions a
// second. Among equals a hash of the group decides.
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
    size_t group, const Place& place,
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
    if (ranked.size() < kRankedOfAll) {
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
  add_first([&place](const AllocatorCandidate& candidate) {
    return candidate.region == place.region;
  });
  add_first([&place](const AllocatorCandidate& candidate) {
    return candidate.domain == place.domain;
  });
  return ranked;
}

}  // namespace

AllocatorRanking RankAllocators(
    const Place& place, const std::vector<AllocatorCandidate>& candidates) {
  AllocatorRanking ranking;
  for (size_t group = 0; group < kQuotaGroups; ++group) {
    ranking.at(group) = RankFor(group, place, candidates);
  }
  return ranking;
}

void WorkspaceQuotas::SetQuotas(Time now, const ServingConfig& config) {
  absl::flat_hash_map<WorkspaceId, Bucket> kept;
  for (const Workspace& workspace : config.workspaces()) {
    if (workspace.quota.per_s <= 0) {
      continue;
    }
    const auto known = buckets_.find(workspace.id);
    Bucket& bucket = kept[workspace.id];
    if (known != buckets_.end()) {
      bucket = std::move(known->second);
      buckets_.erase(known);
    } else {
      bucket.shared_at = now;
    }
    bucket.quota = workspace.quota;
    bucket.group = QuotaGroupOf(workspace.id);
  }
  // Calls of workspaces that no longer have a limit needn't wait.
  for (const auto& [workspace, bucket] : buckets_) {
    for (const Waiting& call : bucket.waiting) {
      Settle(call, /*passes=*/true, Duration::zero());
    }
  }
  buckets_ = std::move(kept);
}

void WorkspaceQuotas::SetAllocators(Time now, AllocatorRanking ranking) {
  for (size_t index = 0; index < kQuotaGroups; ++index) {
    groups_.at(index).ranked = std::move(ranking.at(index));
  }
  absl::erase_if(passed_over_, [this](const auto& item) {
    return std::ranges::none_of(groups_, [&item](const Group& group) {
      return std::ranges::find(group.ranked, item.first) != group.ranked.end();
    });
  });
  for (size_t index = 0; index < kQuotaGroups; ++index) {
    Choose(now, index);
  }
}

std::optional<uint64_t> WorkspaceQuotas::TryTake(Time now,
                                                 const WorkspaceId& workspace,
                                                 double cost,
                                                 Duration patience) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  Group& group = groups_.at(bucket.group);
  if (group.lost_at) {
    if (TakeShare(now, bucket, cost)) {
      return std::nullopt;
    }
    const Waiting refused{.ticket = ++tickets_, .cost = cost};
    Settle(refused, /*passes=*/false,
           FromSeconds(
               std::min(Seconds(kLongestWait), cost / ShareRate(now, bucket))));
    return refused.ticket;
  }
  if (PassesFirst(now, bucket, cost)) {
    bucket.untold += cost;
    group.due = std::min(group.due, now + options_.gather);
    return std::nullopt;
  }
  bucket.waiting.push_back({.ticket = ++tickets_,
                            .cost = cost,
                            .until = now + patience,
                            .ask_at = now});
  group.due = now;
  return bucket.waiting.back().ticket;
}

void WorkspaceQuotas::OnGrant(Time now, const InstanceId& from,
                              const QuotaGrant& grant) {
  const auto passed = passed_over_.find(from);
  if (passed != passed_over_.end() && passed->second.probed && !grant.retired) {
    passed_over_.erase(passed);
    for (size_t index = 0; index < kQuotaGroups; ++index) {
      Choose(now, index);
    }
    return;
  }
  if (grant.group >= kQuotaGroups ||
      groups_.at(grant.group).allocator != from) {
    return;
  }
  Group& group = groups_.at(grant.group);
  if (grant.retired) {
    PassOver(now, grant.group);
    return;
  }
  const bool answers = grant.round == group.round && group.asked_at;
  if (!answers && grant.round != 0) {
    return;
  }
  const auto is_scarce = [&grant](const WorkspaceId& workspace) {
    return std::ranges::find(grant.scarce, workspace) != grant.scarce.end();
  };
  if (!answers) {
    ForGroup(grant.group, [&](const WorkspaceId& workspace, Bucket& bucket) {
      bucket.scarce = bucket.scarce || is_scarce(workspace);
    });
    return;
  }
  group.asked_at.reset();
  group.heard_at = now;
  group.lost_at.reset();
  ForGroup(grant.group, [&](const WorkspaceId& workspace, Bucket& bucket) {
    bucket.told = 0;
    bucket.scarce = is_scarce(workspace);
  });
  for (const QuotaGrantItem& item : grant.items) {
    const auto bucket = buckets_.find(item.workspace);
    if (bucket != buckets_.end() && bucket->second.group == grant.group) {
      ApplyItem(now, bucket->second, item);
    }
  }
  SetNextAsk(now, grant.group);
}

void WorkspaceQuotas::Tick(Time now) {
  Probe(now);
  for (size_t index = 0; index < kQuotaGroups; ++index) {
    Group& group = groups_.at(index);
    ForGroup(index, [&](const WorkspaceId&, Bucket& bucket) {
      ExpireWaiting(now, bucket);
    });
    if (group.asked_at && now - *group.asked_at >= options_.answer_within) {
      PassOver(now, index);
    }
    if (!group.asked_at && now >= group.due) {
      Ask(now, index);
    }
  }
}

Time WorkspaceQuotas::next_due() const {
  Time due = Time::max();
  for (const auto& [instance, passed] : passed_over_) {
    due = std::min(due, passed.probe_at);
  }
  for (const Group& group : groups_) {
    due =
        std::min(due, group.asked_at ? *group.asked_at + options_.answer_within
                                     : group.due);
  }
  for (const auto& [workspace, bucket] : buckets_) {
    for (const Waiting& call : bucket.waiting) {
      due = call.settled ? due : std::min(due, call.until);
    }
  }
  return due;
}

std::vector<QuotaQuestion> WorkspaceQuotas::TakeQuestions(Time now) {
  Tick(now);
  return std::exchange(questions_, {});
}

std::vector<QuotaVerdict> WorkspaceQuotas::TakeVerdicts() {
  return std::exchange(verdicts_, {});
}

std::vector<AllocatorChange> WorkspaceQuotas::TakeChanges() {
  return std::exchange(changes_, {});
}

void WorkspaceQuotas::Refund(Time now, const WorkspaceId& workspace,
                             double cost) {
  const auto found = buckets_.find(workspace);
  if (found != buckets_.end()) {
    found->second.untold -= cost;
    Group& group = groups_.at(found->second.group);
    group.due = std::min(group.due, now + options_.gather);
  }
}

size_t WorkspaceQuotas::waiting() const {
  size_t count = 0;
  for (const auto& [workspace, bucket] : buckets_) {
    count += static_cast<size_t>(
        std::ranges::count(bucket.waiting, false, &Waiting::settled));
  }
  return count;
}

// The word that much is left must be fresh, and the allocator must answer, so
// that a flood is seen after some dozens of milliseconds.
bool WorkspaceQuotas::PassesFirst(Time now, const Bucket& bucket,
                                  double cost) const {
  const Group& group = groups_.at(bucket.group);
  const bool fresh =
      group.heard_at && now - *group.heard_at < options_.heartbeat * 2;
  const bool overdue =
      group.asked_at && now - *group.asked_at > options_.trust_within;
  const bool little =
      bucket.untold + bucket.told + cost <=
      options_.bound.DepthOf(bucket.quota) * options_.first_part;
  return !bucket.scarce && fresh && !overdue && little;
}

double WorkspaceQuotas::ShareRate(Time now, const Bucket& bucket) const {
  const auto instances = static_cast<double>(std::max<size_t>(1, instances_));
  const std::optional<Time>& lost_at = groups_.at(bucket.group).lost_at;
  const bool counted_elsewhere =
      lost_at && now - *lost_at < options_.counted_for;
  return options_.bound.RateOf(bucket.quota) / instances *
         (counted_elsewhere ? options_.early_share : 1);
}

// A call may cost more than the share of a second; it passes with the chance
// that makes up for it.
bool WorkspaceQuotas::TakeShare(Time now, Bucket& bucket, double cost) {
  const Time since =
      std::max(bucket.shared_at, *groups_.at(bucket.group).lost_at);
  const double most = options_.bound.DepthOf(bucket.quota) /
                      static_cast<double>(std::max<size_t>(1, instances_));
  bucket.share = std::min(
      most, bucket.share + ShareRate(now, bucket) * Seconds(now - since));
  bucket.shared_at = now;
  const double chance =
      cost > 0 ? std::clamp(bucket.share / cost, 0.0, 1.0) : 1.0;
  if (!std::bernoulli_distribution(chance)(gen_)) {
    return false;
  }
  bucket.share -= cost;
  return true;
}

// A word to which no calls hang; who answers is asked again.
void WorkspaceQuotas::Probe(Time now) {
  const bool lost = std::ranges::any_of(
      groups_, [](const Group& group) { return group.lost_at.has_value(); });
  for (auto& [instance, passed] : passed_over_) {
    if (now >= passed.probe_at) {
      passed.length =
          lost ? options_.pass_over
               : std::min(passed.length * 2, options_.longest_pass_over);
      passed.probe_at = now + passed.length;
      passed.probed = true;
      questions_.push_back({.to = instance, .ask = {.leaving = true}});
    }
  }
}

void WorkspaceQuotas::Choose(Time now, size_t index) {
  Group& group = groups_.at(index);
  const auto next =
      std::ranges::find_if(group.ranked, [this](const InstanceId& instance) {
        return !passed_over_.contains(instance);
      });
  const std::optional<InstanceId> chosen =
      next == group.ranked.end() ? std::nullopt : std::optional(*next);
  if (chosen == group.allocator) {
    if (!chosen && !group.lost_at) {
      group.lost_at = now;
    }
    return;
  }
  changes_.push_back({.group = index,
                      .from = group.allocator.value_or(InstanceId()),
                      .to = chosen.value_or(InstanceId())});
  LeaveAllocator(index);
  group.allocator = chosen;
  group.due = now;
  if (!chosen && !group.lost_at) {
    group.lost_at = now;
  }
}

// What it was told may not have arrived; the next one hears it instead.
void WorkspaceQuotas::LeaveAllocator(size_t index) {
  Group& group = groups_.at(index);
  if (group.allocator) {
    questions_.push_back(
        {.to = *group.allocator,
         .ask = {.group = index, .round = ++group.round, .leaving = true}});
  }
  group.asked_at.reset();
  group.heard_at.reset();
  ForGroup(index, [](const WorkspaceId&, Bucket& bucket) {
    bucket.untold += std::exchange(bucket.told, 0);
    bucket.scarce = true;
    std::erase_if(bucket.waiting, &Waiting::settled);
    for (Waiting& call : bucket.waiting) {
      call.asked = false;
    }
  });
}

void WorkspaceQuotas::PassOver(Time now, size_t index) {
  passed_over_.try_emplace(*groups_.at(index).allocator,
                           PassedOver{.probe_at = now + options_.pass_over,
                                      .length = options_.pass_over});
  Choose(now, index);
}

void WorkspaceQuotas::Ask(Time now, size_t index) {
  Choose(now, index);
  Group& group = groups_.at(index);
  if (!group.allocator) {
    ForGroup(index, [this](const WorkspaceId&, Bucket& bucket) {
      for (const Waiting& call : std::exchange(bucket.waiting, {})) {
        Settle(call, /*passes=*/false, kUnansweredWait);
      }
    });
    group.due = now + options_.heartbeat;
    return;
  }
  QuotaAsk ask{.group = index, .round = ++group.round};
  ForGroup(index, [&](const WorkspaceId& workspace, Bucket& bucket) {
    if (auto item = ItemFor(now, workspace, bucket)) {
      ask.items.push_back(*std::move(item));
    }
  });
  group.asked_at = now;
  group.due = now + options_.heartbeat;
  questions_.push_back({.to = *group.allocator, .ask = std::move(ask)});
}

std::optional<QuotaAskItem> WorkspaceQuotas::ItemFor(
    Time now, const WorkspaceId& workspace, Bucket& bucket) {
  QuotaAskItem item{.workspace = workspace, .spent = bucket.untold};
  bucket.told = std::exchange(bucket.untold, 0);
  for (Waiting& call : bucket.waiting) {
    call.asked = call.ask_at <= now;
    if (call.asked) {
      item.wanted.push_back(call.cost);
    }
  }
  return item.spent == 0 && item.wanted.empty() ? std::nullopt
                                                : std::optional(item);
}

void WorkspaceQuotas::SetNextAsk(Time now, size_t index) {
  Group& group = groups_.at(index);
  group.due = now + options_.heartbeat;
  ForGroup(index, [&](const WorkspaceId&, Bucket& bucket) {
    if (bucket.untold != 0) {
      group.due = std::min(group.due, now + options_.gather);
    }
    for (const Waiting& call : bucket.waiting) {
      group.due = std::min(group.due, call.ask_at);
    }
  });
}

void WorkspaceQuotas::ExpireWaiting(Time now, Bucket& bucket) {
  for (Waiting& call : bucket.waiting) {
    if (!call.settled && now >= call.until) {
      Settle(call, /*passes=*/false, kUnansweredWait);
      call.settled = true;
    }
  }
  // What is asked stays in its place until the answer comes.
  std::erase_if(bucket.waiting, [](const Waiting& call) {
    return call.settled && !call.asked;
  });
}

void WorkspaceQuotas::ApplyItem(Time now, Bucket& bucket,
                                const QuotaGrantItem& item) {
  size_t index = 0;
  for (Waiting& call : bucket.waiting) {
    if (!call.asked) {
      continue;
    }
    call.asked = false;
    const Duration wait =
        index < item.waits.size() ? item.waits[index] : kUnansweredWait;
    ++index;
    const bool granted = wait <= Duration::zero();
    if (call.settled) {
      bucket.untold -= granted ? call.cost : 0;
      continue;
    }
    if (!granted && now + wait <= call.until) {
      call.ask_at = now + wait;
      continue;
    }
    Settle(call, granted, wait);
    call.settled = true;
  }
  std::erase_if(bucket.waiting, &Waiting::settled);
}

void WorkspaceQuotas::Settle(const Waiting& call, bool passes,
                             Duration come_back) {
  verdicts_.push_back(
      {.ticket = call.ticket,
       .passes = passes,
       .come_back = std::clamp(come_back, kShortestWait, kLongestWait)});
}

void WorkspaceQuotas::ForGroup(
    size_t index,
    const std::function<void(const WorkspaceId&, Bucket&)>& apply) {
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.group == index) {
      apply(workspace, bucket);
    }
  }
}

}  // namespace oleander
