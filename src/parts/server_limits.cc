#include "oleander/server_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleander {
namespace {

// A lower limit counts as this one, so that the number of a turn stays exact.
constexpr double kLowestPerS = 1e-3;
// A report of a higher limit is not plausible.
constexpr double kHighestPerS = 1e6;

}  // namespace

void ServerLimits::SetInstances(std::vector<InstanceId> live, InstanceId self) {
  live_ = std::move(live);
  std::ranges::sort(live_);
  self_ = std::move(self);
}

bool ServerLimits::OnAnswer(Time now, const ServerId& server,
                            int64_t started_ms, std::optional<double> per_s) {
  const auto known = limits_.find(server);
  const bool was_limited = known != limits_.end() && known->second.per_s > 0;
  if (!per_s && !was_limited) {
    return false;
  }
  return Apply(now, {.server = server,
                     .started_ms = started_ms,
                     .per_s = per_s ? std::max(*per_s, kLowestPerS) : 0});
}

bool ServerLimits::OnPeerReport(Time now, const ServerLimitReport& report) {
  const auto known = limits_.find(report.server);
  const bool newer =
      known == limits_.end() || now - report.age > known->second.reported_at;
  const bool plausible = report.per_s >= 0 && report.per_s <= kHighestPerS;
  return plausible && newer && report.age < options_.announce_time &&
         Apply(now, report);
}

bool ServerLimits::Apply(Time now, const ServerLimitReport& report) {
  absl::erase_if(limits_, [&](const auto& item) {
    return now - item.second.reported_at >= options_.max_age;
  });
  Limit& limit = limits_[report.server];
  const bool changed =
      limit.per_s != report.per_s || limit.started_ms != report.started_ms;
  if (changed) {
    limit.used_turn = 0;
  }
  limit.started_ms = report.started_ms;
  limit.per_s = report.per_s;
  limit.reported_at = now - report.age;
  if (changed && limit.per_s > 0) {
    // The server may have had its calls of this turn already.
    limit.used_turn = TurnAt(now, limit);
  }
  return changed;
}

std::vector<ServerLimitReport> ServerLimits::RecentReports(Time now) const {
  std::vector<ServerLimitReport> reports;
  for (const auto& [server, limit] : limits_) {
    const Duration age = now - limit.reported_at;
    if (age < options_.announce_time) {
      reports.push_back({.server = server,
                         .started_ms = limit.started_ms,
                         .per_s = limit.per_s,
                         .age = age});
    }
  }
  return reports;
}

bool ServerLimits::MaySend(Time now, const ServerId& server, int64_t started_ms,
                           const std::optional<InstanceId>& sender) const {
  const Limit* limit = Find(now, server, started_ms);
  if (limit == nullptr) {
    return true;
  }
  const auto index = IndexOf(sender.value_or(self_));
  if (!index) {
    return false;
  }
  const auto is_free = [&](int64_t turn) {
    return turn > limit->used_turn && OwnerOf(server, turn) == *index;
  };
  return is_free(TurnAt(now, *limit)) ||
         is_free(TurnAt(now - options_.grace, *limit));
}

void ServerLimits::OnSent(Time now, const ServerId& server) {
  const auto found = limits_.find(server);
  if (found != limits_.end() && found->second.per_s > 0) {
    found->second.used_turn = TurnAt(now, found->second);
  }
}

std::optional<Time> ServerLimits::NextTurn(Time now, const ServerId& server,
                                           int64_t started_ms) const {
  const Limit* limit = Find(now, server, started_ms);
  const auto index = IndexOf(self_);
  if (limit == nullptr || !index) {
    return std::nullopt;
  }
  const int64_t turn = TurnAt(now, *limit);
  const size_t ahead =
      (*index + live_.size() - OwnerOf(server, turn + 1)) % live_.size();
  const double starts_s =
      static_cast<double>(turn + 1 + static_cast<int64_t>(ahead)) /
      limit->per_s;
  const Duration since_epoch = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(starts_s));
  return now + (since_epoch - wall_time_(now).time_since_epoch());
}

const ServerLimits::Limit* ServerLimits::Find(Time now, const ServerId& server,
                                              int64_t started_ms) const {
  const auto found = limits_.find(server);
  const bool holds = found != limits_.end() && found->second.per_s > 0 &&
                     started_ms <= found->second.started_ms &&
                     now - found->second.reported_at < options_.max_age;
  return holds ? &found->second : nullptr;
}

int64_t ServerLimits::TurnAt(Time now, const Limit& limit) const {
  const double seconds =
      std::chrono::duration<double>(wall_time_(now).time_since_epoch()).count();
  return static_cast<int64_t>(std::floor(seconds * limit.per_s));
}

size_t ServerLimits::OwnerOf(const ServerId& server, int64_t turn) const {
  // The hash spreads the turns of different servers over the instances.
  const uint64_t offset =
      XXH64(server.value().data(), server.value().size(), 0);
  return (offset + static_cast<uint64_t>(turn)) % live_.size();
}

std::optional<size_t> ServerLimits::IndexOf(const InstanceId& instance) const {
  const auto found = std::ranges::lower_bound(live_, instance);
  return found != live_.end() && *found == instance
             ? std::optional<size_t>(found - live_.begin())
             : std::nullopt;
}

}  // namespace oleander
