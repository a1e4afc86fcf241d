#include "oleander/version_history.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace oleander {
namespace {

using nlohmann::json;

constexpr int64_t kListed = 0;  // The stored time of a listed version.

int64_t UnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

void VersionHistory::OnServers(
    Time now, const std::vector<const ListedServer*>& servers) {
  std::map<ServiceId, std::set<std::string>> listed;
  for (const ListedServer* server : servers) {
    listed[server->service].insert(server->version);
  }
  bool changed = !has_servers_;
  for (const auto& [service, versions] : listed) {
    for (const std::string& version : versions) {
      const auto [known, added] =
          services_[service].try_emplace(version, std::nullopt);
      changed = changed || added || known->second.has_value();
      known->second = std::nullopt;
    }
  }
  for (auto& [service, versions] : services_) {
    for (auto& [version, ended] : versions) {
      if (!ended && !listed[service].contains(version)) {
        ended = now;
        changed = true;
      }
    }
  }
  if (!has_servers_) {
    // A stored version that isn't listed has ended, so the list comes first.
    has_servers_ = true;
    due_ = now;
  } else if (changed) {
    changed_ = true;
    WriteWithin(now, options_.write_spread);
  }
}

void VersionHistory::OnNewEra(Time now) {
  changed_ = true;
  stored_.clear();
  WriteWithin(now, options_.write_spread);
}

void VersionHistory::OnConfirmed(Time now, WallTime wall_now,
                                 const StoreRangeAnswer& answer) {
  if (answer.entries.empty()) {
    return;
  }
  stored_ = Parse(answer.entries.front().value);
  Merge(now, wall_now, stored_);
}

std::optional<std::string> VersionHistory::OnlyVersion(
    Time now, const ServiceId& service) const {
  const auto found = services_.find(service);
  if (!loaded_ || found == services_.end()) {
    return std::nullopt;
  }
  std::vector<std::string> possible;
  for (const auto& [version, ended] : found->second) {
    if (MayHaveStreams(now, ended)) {
      possible.push_back(version);
    }
  }
  return possible.size() == 1 ? std::optional(possible.front()) : std::nullopt;
}

bool VersionHistory::IsStored(const ServiceId& service,
                              const std::string& version) const {
  const auto found = stored_.find(service.value());
  if (found == stored_.end()) {
    return false;
  }
  const auto row = found->second.find(version);
  return row != found->second.end() && row->second == kListed;
}

bool VersionHistory::IsListed(const ServiceId& service,
                              const std::string& version) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const auto known = found->second.find(version);
  return known != found->second.end() && !known->second;
}

void VersionHistory::WriteWithin(Time now, Duration bound) {
  if (!has_servers_ || busy_) {
    return;
  }
  const Duration delay(
      std::uniform_int_distribution<Duration::rep>(0, bound.count())(gen_));
  due_ = std::min(due_, now + delay);
}

void VersionHistory::Tick(Time now) {
  if (busy_ || now < due_) {
    return;
  }
  due_ = Time::max();
  busy_ = true;
  changed_ = false;
  StoreRange read;
  read.key = options_.key;
  actions_.emplace_back(std::move(read));
}

std::vector<StoreRequest> VersionHistory::TakeActions() {
  return std::exchange(actions_, {});
}

void VersionHistory::OnRange(Time now, WallTime wall_now,
                             const absl::StatusOr<StoreRangeAnswer>& answer) {
  busy_ = false;
  if (!answer.ok()) {
    WriteWithin(now, options_.retry_interval);
    return;
  }
  const StoreEntry entry =
      answer->entries.empty() ? StoreEntry() : answer->entries.front();
  stored_ = Parse(entry.value);
  Merge(now, wall_now, stored_);
  loaded_ = true;
  written_ = Encode(now, wall_now);
  if (!Differs(written_, stored_)) {
    if (changed_) {
      WriteWithin(now, options_.write_spread);
    }
    return;
  }
  busy_ = true;
  StoreCas write;
  write.compares = {{.key = options_.key, .mod_revision = entry.mod_revision}};
  write.puts = {{.key = options_.key, .value = json(written_).dump()}};
  actions_.emplace_back(std::move(write));
}

void VersionHistory::OnCas(Time now,
                           const absl::StatusOr<StoreCasAnswer>& answer) {
  busy_ = false;
  if (!answer.ok()) {
    WriteWithin(now, options_.retry_interval);
    return;
  }
  if (answer->succeeded) {
    stored_ = written_;
  }
  if (!answer->succeeded || changed_) {
    WriteWithin(now, options_.write_spread);
  }
}

VersionHistory::Stored VersionHistory::Parse(const std::string& text) {
  Stored stored;
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return stored;
  }
  for (const auto& [service, versions] : document.items()) {
    if (!versions.is_object()) {
      continue;
    }
    for (const auto& [version, ended] : versions.items()) {
      if (ended.is_number_integer()) {
        stored[service][version] = ended.get<int64_t>();
      }
    }
  }
  return stored;
}

void VersionHistory::Merge(Time now, WallTime wall_now, const Stored& stored) {
  const int64_t wall_ms = UnixMilliseconds(wall_now);
  for (const auto& [service, versions] : stored) {
    for (const auto& [version, ended_ms] : versions) {
      // A version that was listed when its end was not yet known here ends now
      // at the latest.
      const std::chrono::milliseconds ago(
          ended_ms == kListed ? 0 : std::max<int64_t>(0, wall_ms - ended_ms));
      const Time ended = now - ago;
      auto& known = services_[ServiceId(service)];
      const auto [found, added] = known.try_emplace(version, ended);
      if (found->second && *found->second < ended) {
        found->second = ended;
      }
    }
  }
}

VersionHistory::Stored VersionHistory::Encode(Time now,
                                              WallTime wall_now) const {
  Stored stored;
  for (const auto& [service, versions] : services_) {
    for (const auto& [version, ended] : versions) {
      if (MayHaveStreams(now, ended)) {
        stored[service.value()][version] =
            ended
                ? UnixMilliseconds(
                      wall_now - std::chrono::duration_cast<WallTime::duration>(
                                     now - *ended))
                : kListed;
      }
    }
  }
  return stored;
}

bool VersionHistory::Differs(const Stored& known, const Stored& stored) {
  const auto lacks = [](const Stored& in, const std::string& service,
                        const std::string& version, bool listed) {
    const auto found = in.find(service);
    if (found == in.end()) {
      return true;
    }
    const auto row = found->second.find(version);
    return row == found->second.end() || (row->second == kListed) != listed;
  };
  const auto any_lacks = [&](const Stored& rows, const Stored& in,
                             bool listed_only) {
    return std::ranges::any_of(rows, [&](const auto& service) {
      return std::ranges::any_of(service.second, [&](const auto& row) {
        const bool listed = row.second == kListed;
        return (listed || !listed_only) &&
               lacks(in, service.first, row.first, listed);
      });
    });
  };
  return any_lacks(known, stored, false) || any_lacks(stored, known, true);
}

}  // namespace oleander
