#include "oleander/quota_allocator.h"

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

constexpr Duration kShortestWait = std::chrono::milliseconds(100);
constexpr Duration kLongestWait = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void QuotaAllocator::SetQuotas(Time now, const ServingConfig& config) {
  absl::flat_hash_map<WorkspaceId, Bucket> kept;
  for (const Workspace& workspace : config.workspaces()) {
    if (workspace.quota.per_s <= 0) {
      continue;
    }
    const auto known = buckets_.find(workspace.id);
    Bucket bucket;
    if (known != buckets_.end()) {
      bucket = known->second;
      bucket.level =
          std::min(bucket.level, options_.bound.DepthOf(workspace.quota));
    } else {
      bucket.filled_at = now;
    }
    bucket.quota = workspace.quota;
    bucket.group = QuotaGroupOf(workspace.id);
    kept.emplace(workspace.id, bucket);
  }
  buckets_ = std::move(kept);
}

QuotaGrant QuotaAllocator::OnAsk(Time now, const InstanceId& from,
                                 const QuotaAsk& ask) {
  QuotaGrant grant{.group = ask.group, .round = ask.round};
  if (ask.group >= kQuotaGroups) {
    return grant;
  }
  const auto [sender, is_new] = senders_.try_emplace(from);
  const bool returns = !is_new && !IsHeard(now, sender->second, ask.group);
  sender->second.heard_at.at(ask.group) =
      ask.leaving ? std::nullopt : std::optional(now);
  if (is_new || returns || ask.leaving ||
      now - counted_at_ >= options_.recount) {
    CountHeard(now);
  }
  for (const QuotaAskItem& item : ask.items) {
    const auto found = buckets_.find(item.workspace);
    if (found == buckets_.end()) {
      grant.items.push_back(
          {.workspace = item.workspace,
           .waits = std::vector<Duration>(item.wanted.size())});
      continue;
    }
    Fill(now, found->second);
    grant.items.push_back(Give(found->second, item));
  }
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.group != ask.group) {
      continue;
    }
    Fill(now, bucket);
    Judge(now, bucket);
    if (bucket.scarce) {
      grant.scarce.push_back(workspace);
    }
  }
  return grant;
}

std::vector<QuotaNotice> QuotaAllocator::TakeNotices(Time now) {
  std::array<std::vector<WorkspaceId>, kQuotaGroups> scarce;
  for (auto& [workspace, bucket] : buckets_) {
    if (std::exchange(bucket.news, false)) {
      scarce.at(bucket.group).push_back(workspace);
    }
  }
  std::vector<QuotaNotice> notices;
  for (size_t group = 0; group < kQuotaGroups; ++group) {
    if (scarce.at(group).empty()) {
      continue;
    }
    for (const auto& [instance, sender] : senders_) {
      if (IsHeard(now, sender, group)) {
        notices.push_back(
            {.to = instance,
             .news = {.group = group, .scarce = scarce.at(group)}});
      }
    }
  }
  return notices;
}

double QuotaAllocator::level(const WorkspaceId& workspace) const {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? 0 : found->second.level;
}

double QuotaAllocator::PartHeard(const Bucket& bucket) const {
  const auto heard = static_cast<double>(heard_.at(bucket.group));
  const auto all = static_cast<double>(std::max<size_t>(1, instances_));
  return std::min(1.0, heard / all);
}

// Buckets are filled by who was heard until now before the count changes.
void QuotaAllocator::CountHeard(Time now) {
  counted_at_ = now;
  for (auto& [workspace, bucket] : buckets_) {
    Fill(now, bucket);
  }
  heard_.fill(0);
  absl::erase_if(senders_, [this, now](const auto& item) {
    bool heard = false;
    for (size_t group = 0; group < kQuotaGroups; ++group) {
      if (IsHeard(now, item.second, group)) {
        ++heard_.at(group);
        heard = true;
      }
    }
    return !heard;
  });
}

// What was filled for instances that have gone elsewhere goes with them.
void QuotaAllocator::Fill(Time now, Bucket& bucket) {
  const Duration passed = std::max(now - bucket.filled_at, Duration::zero());
  bucket.filled_at = now;
  const double part = PartHeard(bucket);
  const double added =
      options_.bound.RateOf(bucket.quota) * part * Seconds(passed);
  bucket.level = std::min(options_.bound.DepthOf(bucket.quota) * part,
                          bucket.level + added);
  bucket.promised = std::max(0.0, bucket.promised - added);
}

bool QuotaAllocator::IsHeard(Time now, const Sender& sender,
                             size_t group) const {
  const std::optional<Time>& heard_at = sender.heard_at.at(group);
  return heard_at && now - *heard_at < options_.silent_after;
}

void QuotaAllocator::Judge(Time now, Bucket& bucket) {
  const double full = options_.bound.DepthOf(bucket.quota) * PartHeard(bucket);
  if (!bucket.scarce && bucket.level < full * options_.scarce_below) {
    bucket.scarce = true;
    bucket.news = true;
    bucket.scarce_until = now + options_.scarce_for;
  } else if (bucket.scarce && now >= bucket.scarce_until &&
             bucket.level > full * options_.plenty_above) {
    bucket.scarce = false;
    bucket.news = false;
  }
}

bool QuotaAllocator::Passes(const Bucket& bucket, double cost) {
  if (cost <= bucket.level * options_.sure_part) {
    return true;
  }
  const double full = options_.bound.DepthOf(bucket.quota) * PartHeard(bucket);
  const double room = bucket.level - full * options_.kept_for_small;
  if (room <= 0) {
    return false;
  }
  const double sure = std::max(room * options_.sure_part,
                               bucket.level - full * options_.ration_below);
  return cost <= sure || std::bernoulli_distribution(sure / cost)(gen_);
}

QuotaGrantItem QuotaAllocator::Give(Bucket& bucket, const QuotaAskItem& item) {
  QuotaGrantItem given{.workspace = item.workspace};
  // What is given back fills no bucket beyond its depth.
  bucket.level =
      std::min(bucket.level - item.spent,
               options_.bound.DepthOf(bucket.quota) * PartHeard(bucket));
  for (const double cost : item.wanted) {
    if (Passes(bucket, cost)) {
      bucket.level -= cost;
      given.waits.push_back(Duration::zero());
    } else {
      bucket.promised += cost;
      given.waits.push_back(WaitFor(bucket));
    }
  }
  return given;
}

// Refused callers return one after the other, as the bucket fills for them.
Duration QuotaAllocator::WaitFor(const Bucket& bucket) const {
  const double rate = options_.bound.RateOf(bucket.quota) * PartHeard(bucket);
  const double missing = bucket.promised - std::min(bucket.level, 0.0);
  const double wait = rate > 0 ? std::min(missing / rate, Seconds(kLongestWait))
                               : Seconds(kLongestWait);
  return std::clamp(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
      kShortestWait, kLongestWait);
}

}  // namespace oleander
