#include "oleander/quota_allocator.h"

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void QuotaAllocator::SetQuotas(Time now, const ServingConfig& config) {
  absl::flat_hash_map<WorkspaceId, Bucket> retained;
  for (const Workspace& workspace : config.workspaces()) {
    if (workspace.quota.per_s <= 0) {
      continue;
    }
    const auto previous = buckets_.find(workspace.id);
    Bucket bucket;
    if (previous != buckets_.end()) {
      bucket = previous->second;
      bucket.level =
          std::min(bucket.level, options_.bound.DepthOf(workspace.quota));
    } else {
      bucket.filled_at = now;
    }
    bucket.quota = workspace.quota;
    bucket.group = QuotaGroupOf(workspace.id);
    retained.emplace(workspace.id, bucket);
  }
  buckets_ = std::move(retained);
}

QuotaGrant QuotaAllocator::OnRequest(Time now, const InstanceId& from,
                                     const QuotaRequest& request) {
  QuotaGrant grant{.group = request.group, .round = request.round};
  if (request.group >= kQuotaGroups) {
    return grant;
  }
  const auto [sender, is_new] = senders_.try_emplace(from);
  const bool rejoined =
      !is_new && !IsActive(now, sender->second, request.group);
  sender->second.received_at.at(request.group) =
      request.leaving ? std::nullopt : std::optional(now);
  if (is_new || rejoined || request.leaving ||
      now - counted_at_ >= options_.recount_interval) {
    CountActiveSenders(now);
  }
  for (const QuotaRequestItem& item : request.items) {
    const auto found = buckets_.find(item.workspace);
    if (found == buckets_.end()) {
      grant.items.push_back(
          {.workspace = item.workspace,
           .waits = std::vector<Duration>(item.wanted.size())});
      continue;
    }
    Fill(now, found->second);
    grant.items.push_back(Allocate(found->second, item));
  }
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.group != request.group) {
      continue;
    }
    Fill(now, bucket);
    UpdateNearlyExhausted(now, bucket);
    if (bucket.nearly_exhausted) {
      grant.nearly_exhausted.push_back(workspace);
    }
  }
  return grant;
}

std::vector<QuotaNotice> QuotaAllocator::TakeNotices(Time now) {
  std::array<std::vector<WorkspaceId>, kQuotaGroups> nearly_exhausted;
  for (auto& [workspace, bucket] : buckets_) {
    if (std::exchange(bucket.unannounced, false)) {
      nearly_exhausted.at(bucket.group).push_back(workspace);
    }
  }
  std::vector<QuotaNotice> notices;
  for (size_t group = 0; group < kQuotaGroups; ++group) {
    if (nearly_exhausted.at(group).empty()) {
      continue;
    }
    for (const auto& [instance, sender] : senders_) {
      if (IsActive(now, sender, group)) {
        notices.push_back(
            {.to = instance,
             .grant = {.group = group,
                       .nearly_exhausted = nearly_exhausted.at(group)}});
      }
    }
  }
  return notices;
}

double QuotaAllocator::level(const WorkspaceId& workspace) const {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? 0 : found->second.level;
}

double QuotaAllocator::ActiveFraction(const Bucket& bucket) const {
  const auto active = static_cast<double>(active_.at(bucket.group));
  const auto all = static_cast<double>(std::max<size_t>(1, instances_));
  return std::min(1.0, active / all);
}

// Fills the buckets by the previous count before it changes.
void QuotaAllocator::CountActiveSenders(Time now) {
  counted_at_ = now;
  for (auto& [workspace, bucket] : buckets_) {
    Fill(now, bucket);
  }
  active_.fill(0);
  absl::erase_if(senders_, [this, now](const auto& item) {
    bool active = false;
    for (size_t group = 0; group < kQuotaGroups; ++group) {
      if (IsActive(now, item.second, group)) {
        ++active_.at(group);
        active = true;
      }
    }
    return !active;
  });
}

// The capacity is scaled by the active fraction too, so that what was filled
// for instances that now use another allocator is dropped.
void QuotaAllocator::Fill(Time now, Bucket& bucket) {
  const Duration passed = std::max(now - bucket.filled_at, Duration::zero());
  bucket.filled_at = now;
  const double fraction = ActiveFraction(bucket);
  const double added =
      options_.bound.RateOf(bucket.quota) * fraction * Seconds(passed);
  bucket.level = std::min(options_.bound.DepthOf(bucket.quota) * fraction,
                          bucket.level + added);
  bucket.promised = std::max(0.0, bucket.promised - added);
}

bool QuotaAllocator::IsActive(Time now, const Sender& sender,
                              size_t group) const {
  const std::optional<Time>& received_at = sender.received_at.at(group);
  return received_at && now - *received_at < options_.sender_timeout;
}

void QuotaAllocator::UpdateNearlyExhausted(Time now, Bucket& bucket) {
  const double full =
      options_.bound.DepthOf(bucket.quota) * ActiveFraction(bucket);
  if (!bucket.nearly_exhausted &&
      bucket.level < full * options_.nearly_exhausted_below) {
    bucket.nearly_exhausted = true;
    bucket.unannounced = true;
    bucket.nearly_exhausted_until = now + options_.min_nearly_exhausted;
  } else if (bucket.nearly_exhausted && now >= bucket.nearly_exhausted_until &&
             bucket.level > full * options_.replenished_above) {
    bucket.nearly_exhausted = false;
    bucket.unannounced = false;
  }
}

bool QuotaAllocator::Passes(const Bucket& bucket, double cost) {
  if (cost <= bucket.level * options_.certain_share) {
    return true;
  }
  const double full =
      options_.bound.DepthOf(bucket.quota) * ActiveFraction(bucket);
  const double spendable = bucket.level - full * options_.reserved_for_small;
  if (spendable <= 0) {
    return false;
  }
  const double certain = std::max(spendable * options_.certain_share,
                                  bucket.level - full * options_.ration_below);
  return cost <= certain || std::bernoulli_distribution(certain / cost)(gen_);
}

QuotaGrantItem QuotaAllocator::Allocate(Bucket& bucket,
                                        const QuotaRequestItem& item) {
  QuotaGrantItem granted{.workspace = item.workspace};
  // A refund (negative `spent`) fills no bucket beyond its capacity.
  bucket.level =
      std::min(bucket.level - item.spent,
               options_.bound.DepthOf(bucket.quota) * ActiveFraction(bucket));
  for (const double cost : item.wanted) {
    if (Passes(bucket, cost)) {
      bucket.level -= cost;
      granted.waits.push_back(Duration::zero());
    } else {
      bucket.promised += cost;
      granted.waits.push_back(RetryAfterFor(bucket));
    }
  }
  return granted;
}

// Refused callers return one after the other, as the bucket fills.
Duration QuotaAllocator::RetryAfterFor(const Bucket& bucket) const {
  const double rate =
      options_.bound.RateOf(bucket.quota) * ActiveFraction(bucket);
  const double missing = bucket.promised - std::min(bucket.level, 0.0);
  const double wait = rate > 0
                          ? std::min(missing / rate, Seconds(kMaxRetryAfter))
                          : Seconds(kMaxRetryAfter);
  return std::clamp(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
      kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace oleander
