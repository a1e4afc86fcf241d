#include "parts/server_roster.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "parts/rings.h"

namespace oleander::parts {
namespace {

std::optional<size_t> FindKey(
    const std::unordered_map<uint32_t, std::optional<size_t>>& hashes,
    size_t count, uint32_t key, bool by_position) {
  if (by_position) {
    return key < count ? std::optional<size_t>(key) : std::nullopt;
  }
  const auto found = hashes.find(key);
  return found == hashes.end() ? std::nullopt : found->second;
}

}  // namespace

uint32_t HashOf(const ServerId& server) {
  return static_cast<uint32_t>(StableHash(server.value(), 0));
}

uint32_t HashOf(const Pool& pool) {
  const uint64_t domain = StableHash(pool.domain.value(), 0);
  return static_cast<uint32_t>(StableHash(pool.service.value(), domain));
}

void ServerRoster::Set(std::vector<ServerInfo> servers) {
  servers_ = std::move(servers);
  std::ranges::sort(servers_, {}, &ServerInfo::id);
  const auto repeated = std::ranges::unique(servers_, {}, &ServerInfo::id);
  servers_.erase(repeated.begin(), repeated.end());
  pools_.clear();
  server_hashes_.clear();
  pool_hashes_.clear();
  uint64_t fingerprint = 0;
  for (size_t i = 0; i < servers_.size(); ++i) {
    const ServerInfo& server = servers_[i];
    pools_.push_back(
        {.service = server.service, .domain = server.location.domain});
    const auto [slot, added] = server_hashes_.emplace(HashOf(server.id), i);
    if (!added) {
      slot->second = std::nullopt;
    }
    fingerprint = StableHash(server.id.value(), fingerprint);
    fingerprint = StableHash(server.service.value(), fingerprint);
    fingerprint = StableHash(server.location.domain.value(), fingerprint);
  }
  std::ranges::sort(pools_);
  const auto same = std::ranges::unique(pools_);
  pools_.erase(same.begin(), same.end());
  for (size_t i = 0; i < pools_.size(); ++i) {
    pool_hashes_.emplace(HashOf(pools_[i]), i);
  }
  fingerprint_ = static_cast<uint32_t>(fingerprint);
}

std::optional<size_t> ServerRoster::FindServer(const ServerId& id) const {
  const auto found =
      std::ranges::lower_bound(servers_, id, {}, &ServerInfo::id);
  if (found == servers_.end() || found->id != id) {
    return std::nullopt;
  }
  return static_cast<size_t>(std::distance(servers_.begin(), found));
}

std::optional<size_t> ServerRoster::FindServer(uint32_t key,
                                               bool by_position) const {
  return FindKey(server_hashes_, servers_.size(), key, by_position);
}

std::optional<size_t> ServerRoster::FindPool(uint32_t key,
                                             bool by_position) const {
  return FindKey(pool_hashes_, pools_.size(), key, by_position);
}

}  // namespace oleander::parts
