#include "oleander/rollout_split.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace oleander {
namespace {

// Versions of a service of which the open calls are counted; versions without
// open calls are dropped beyond it.
constexpr size_t kManyVersions = 16;
// Spreads the beginnings of the error terms of the routes.
constexpr double kGoldenRatio = 0.6180339887498949;

bool Contains(const std::vector<std::string>& list, std::string_view item) {
  return std::ranges::find(list, item) != list.end();
}

void AddOnce(std::vector<std::string>& list, const std::string& item) {
  if (!Contains(list, item)) {
    list.push_back(item);
  }
}

// Returns whether `stage` is newer than `other`.
bool IsNewer(const RolloutStage& stage, const RolloutStage& other) {
  return std::tie(stage.order_revision, stage.step) >
         std::tie(other.order_revision, other.step);
}

size_t BucketOf(Duration first) {
  const double ms = std::chrono::duration<double, std::milli>(first).count();
  if (ms < 1) {
    return 0;
  }
  const auto bucket = static_cast<size_t>(2 * std::log2(ms));
  return std::min(bucket, RolloutEvidence::kBuckets - 1);
}

}  // namespace

void RolloutSplit::SetOrders(Time /*now*/,
                             const std::vector<RolloutOrder>& orders) {
  for (auto& [id, service] : services_) {
    const bool is_listed = std::ranges::any_of(
        orders, [&](const RolloutOrder& order) { return order.service == id; });
    if (service.ordered && !is_listed) {
      service.ordered = false;
      Prepare(service);
    }
  }
  for (const RolloutOrder& order : orders) {
    Service& service = services_[order.service];
    const bool is_new = service.order.revision != order.revision;
    const bool changed = !service.ordered || is_new;
    service.ordered = true;
    if (changed) {
      service.order = order;
      Prepare(service);
    }
    if (is_new) {
      service.total_calls = 0;
      service.total_target = 0;
    }
  }
}

void RolloutSplit::SetStages(Time now,
                             const std::vector<RolloutStage>& stages) {
  for (const RolloutStage& stage : stages) {
    Service& service = services_[stage.service];
    const bool is_older = service.staged && IsNewer(service.stage, stage);
    if (is_older) {
      continue;
    }
    service.heard_at = now;
    if (!service.staged || IsNewer(stage, service.stage)) {
      service.staged = true;
      service.stage = stage;
      Prepare(service);
    }
  }
}

bool RolloutSplit::IsActive(const Service& service) {
  const bool is_open_stage = service.staged && !service.stage.is_over();
  const bool is_open_order =
      service.ordered && (!service.staged || service.stage.order_revision <
                                                 service.order.revision);
  return is_open_stage || is_open_order;
}

bool RolloutSplit::IsRecent(Time now, const Service& service) const {
  const bool is_of_order = !service.ordered || service.stage.order_revision >=
                                                   service.order.revision;
  return service.staged && is_of_order &&
         now - service.heard_at <= options_.max_stage_age;
}

void RolloutSplit::Prepare(Service& service) const {
  const RolloutStage& stage = service.stage;
  service.to_target = {};
  service.to_earlier = {};
  service.after = {};
  const bool is_newer_order =
      service.ordered &&
      (!service.staged || stage.order_revision < service.order.revision);
  const bool is_complete =
      service.staged && stage.phase == RolloutPhase::kComplete;
  std::vector<std::string>& avoided = service.to_earlier.avoided_versions;
  if (service.staged) {
    avoided = stage.avoided;
    if (!is_complete && !stage.proven) {
      AddOnce(avoided, stage.target);
    }
  }
  const bool has_served = service.staged && !is_complete &&
                          Contains(stage.earlier, service.order.target);
  if (is_newer_order && !has_served) {
    AddOnce(avoided, service.order.target);
  }
  if (!service.staged) {
    return;
  }
  service.to_target.version = stage.target;
  if (stage.phase == RolloutPhase::kCanary) {
    service.to_target.servers = stage.canaries;
  }
  service.after = service.to_earlier;
  if (is_complete) {
    for (const std::string& version : stage.earlier) {
      AddOnce(service.after.avoided_versions, version);
    }
  }
  std::vector<RouteShare> shares(1);
  shares.front().share = stage.share;
  for (const auto& [route, share] : stage.route_shares) {
    shares.push_back({.route = route, .share = share});
  }
  double fraction = fraction_;
  for (RouteShare& share : shares) {
    const auto known =
        std::ranges::find(service.shares, share.route, &RouteShare::route);
    share.error = known != service.shares.end() ? known->error : fraction;
    fraction = std::fmod(fraction + kGoldenRatio, 1.0);
  }
  service.shares = std::move(shares);
}

const RolloutChoice* RolloutSplit::Choose(Time now, const ServiceId& id,
                                          std::string_view route) {
  const auto found = services_.find(id);
  if (found == services_.end()) {
    return nullptr;
  }
  Service& service = found->second;
  if (!service.ordered && !service.staged) {
    return nullptr;
  }
  if (!IsActive(service)) {
    const bool is_free =
        service.after.avoided_versions.empty() ||
        (!service.ordered && service.stage.phase == RolloutPhase::kComplete);
    return is_free ? nullptr : &service.after;
  }
  ++service.calls;
  ++service.total_calls;
  if (!IsRecent(now, service)) {
    return &service.to_earlier;
  }
  if (service.stage.phase == RolloutPhase::kMoving) {
    return &service.to_target;
  }
  if (service.stage.phase != RolloutPhase::kCanary) {
    return &service.to_earlier;
  }
  const auto own =
      std::ranges::find(service.shares.begin() + 1, service.shares.end(), route,
                        &RouteShare::route);
  RouteShare& share =
      own != service.shares.end() ? *own : service.shares.front();
  share.error += share.share;
  if (share.error < 1) {
    return &service.to_earlier;
  }
  share.error -= 1;
  return &service.to_target;
}

RolloutSplit::Version& RolloutSplit::VersionOf(Service& service,
                                               std::string_view name) {
  const auto known = std::ranges::find(service.versions, name, &Version::name);
  if (known != service.versions.end()) {
    return *known;
  }
  if (service.versions.size() >= kManyVersions) {
    std::erase_if(service.versions,
                  [](const Version& version) { return version.open == 0; });
  }
  return service.versions.emplace_back(Version{.name = std::string(name)});
}

RolloutEvidence* RolloutSplit::RowOf(Service& service, std::string_view version,
                                     std::string_view route,
                                     const ServerId& server) const {
  if (!IsActive(service)) {
    return nullptr;
  }
  const std::string& target =
      service.ordered ? service.order.target : service.stage.target;
  const bool by_server =
      version == target && service.rows.size() < options_.max_rows;
  const auto known =
      std::ranges::find_if(service.rows, [&](const RolloutEvidence& row) {
        return row.route == route && row.version == version &&
               (by_server ? row.server == server : row.server.empty());
      });
  if (known != service.rows.end()) {
    return &*known;
  }
  if (service.rows.size() >= 2 * options_.max_rows) {
    return nullptr;
  }
  RolloutEvidence& row = service.rows.emplace_back();
  row.version = version;
  row.route = route;
  if (by_server) {
    row.server = server;
  }
  return &row;
}

void RolloutSplit::OnSent(const ServiceId& id, std::string_view version,
                          std::string_view route, const ServerId& server) {
  Service& service = services_[id];
  Version& counts = VersionOf(service, version);
  ++counts.open;
  ++counts.waiting;
  if (RolloutEvidence* row = RowOf(service, version, route, server)) {
    ++row->sent;
    const std::string& target =
        service.ordered ? service.order.target : service.stage.target;
    service.total_target += version == target ? 1 : 0;
  }
}

void RolloutSplit::OnAnswer(Time /*now*/, const ServiceId& id,
                            std::string_view version, std::string_view route,
                            const ServerId& server, bool good, Duration first) {
  Service& service = services_[id];
  Version& counts = VersionOf(service, version);
  counts.waiting = std::max<int64_t>(0, counts.waiting - 1);
  if (RolloutEvidence* row = RowOf(service, version, route, server)) {
    if (good) {
      ++row->good;
      ++row->times[BucketOf(first)];
    } else {
      ++row->failed;
    }
  }
}

void RolloutSplit::OnBrokenOff(const ServiceId& id, std::string_view version,
                               std::string_view route, const ServerId& server) {
  if (RolloutEvidence* row = RowOf(services_[id], version, route, server)) {
    ++row->failed;
  }
}

void RolloutSplit::OnEnd(const ServiceId& id, std::string_view version,
                         bool answered, Duration lasted) {
  Version& counts = VersionOf(services_[id], version);
  counts.open = std::max<int64_t>(0, counts.open - 1);
  if (!answered) {
    counts.waiting = std::max<int64_t>(0, counts.waiting - 1);
  }
  counts.longest = std::max(counts.longest, lasted);
}

std::vector<RolloutEvidence> RolloutSplit::TakeEvidence(Time now) {
  std::vector<RolloutEvidence> evidence;
  for (auto& [id, service] : services_) {
    if (IsActive(service)) {
      RolloutEvidence& summary = evidence.emplace_back();
      summary.service = id;
      summary.sent = service.calls;
      summary.order_revision =
          service.ordered
              ? std::max(service.order.revision, service.stage.order_revision)
              : service.stage.order_revision;
      summary.step = IsRecent(now, service) ? service.stage.step : 0;
      summary.total_calls = service.total_calls;
      summary.total_target = service.total_target;
      for (const Version& version : service.versions) {
        if (version.open > 0 || version.waiting > 0 ||
            version.longest > Duration::zero()) {
          RolloutEvidence& row = evidence.emplace_back();
          row.service = id;
          row.version = version.name;
          row.open = version.open;
          row.waiting = version.waiting;
          row.longest = version.longest;
        }
      }
      for (RolloutEvidence& row : service.rows) {
        row.service = id;
        evidence.push_back(std::move(row));
      }
    }
    service.rows.clear();
    service.calls = 0;
    for (Version& version : service.versions) {
      version.longest = Duration::zero();
    }
  }
  return evidence;
}

const RolloutStage* RolloutSplit::stage(const ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.staged ? &found->second.stage
                                                          : nullptr;
}

}  // namespace oleander
