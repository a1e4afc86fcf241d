#include "oleander/listed_servers.h"

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

// All remembered removals are dropped at this number. Delayed older writes of a
// server that was removed long ago aren't expected.
constexpr size_t kMaxRememberedRemovals = 4096;

}  // namespace

void ListedServers::Replace(Time now, std::vector<ListedServer> servers,
                            int64_t revision) {
  has_listing_ = true;
  absl::flat_hash_map<ServerId, bool> listed;
  for (ListedServer& server : servers) {
    if (IsFromOlderCopy(now, server)) {
      continue;
    }
    listed.emplace(server.id, true);
    PutAtRevision(std::move(server), revision);
  }
  std::vector<ServerId> missing;
  for (const auto& [id, entry] : entries_) {
    if (!listed.contains(id) && entry.revision <= revision) {
      missing.push_back(id);
    }
  }
  std::ranges::for_each(
      missing, [&](const ServerId& id) { MarkMissingOrErase(now, id); });
}

void ListedServers::Put(Time /*now*/, ListedServer server, int64_t revision) {
  PutAtRevision(std::move(server), revision);
}

void ListedServers::PutAtRevision(ListedServer server, int64_t revision) {
  const auto removed = removed_.find(server.id);
  if (removed != removed_.end()) {
    if (removed->second >= revision) {
      return;
    }
    removed_.erase(removed);
  }
  removed_starts_.erase(server.id);
  Entry& entry = entries_[server.id];
  if (entry.revision > revision) {
    return;
  }
  const bool same = entry.server == server && !entry.missing_since;
  entry = {.server = std::move(server),
           .revision = revision,
           .missing_since = std::nullopt};
  generation_ += same ? 0 : 1;
}

void ListedServers::Remove(Time now, const ServerId& server, int64_t revision) {
  const auto found = entries_.find(server);
  if (found == entries_.end() || found->second.revision > revision) {
    return;
  }
  if (removed_.size() >= kMaxRememberedRemovals) {
    removed_.clear();
  }
  removed_[server] = revision;
  MarkMissingOrErase(now, server);
}

std::vector<ListedServer> ListedServers::OnNewEra(Time now) {
  unreachable_ = false;
  reachable_since_ = now;
  older_copy_until_ = now + options_.older_copy_grace;
  removed_.clear();
  std::vector<ListedServer> leaving;
  for (auto& [id, entry] : entries_) {
    entry.revision = 0;
    if (entry.server.state == ListedState::kLeaving) {
      leaving.push_back(entry.server);
    }
  }
  for (const ListedServer& server : leaving) {
    RememberRemoved(server);
    entries_.erase(server.id);
  }
  generation_ += leaving.empty() ? 0 : 1;
  return leaving;
}

bool ListedServers::IsFromOlderCopy(Time now,
                                    const ListedServer& server) const {
  const auto removed = removed_starts_.find(server.id);
  return older_copy_until_ && now < *older_copy_until_ &&
         removed != removed_starts_.end() &&
         removed->second == server.started_ms;
}

void ListedServers::RememberRemoved(const ListedServer& server) {
  if (removed_starts_.size() >= kMaxRememberedRemovals) {
    removed_starts_.clear();
  }
  removed_starts_[server.id] = server.started_ms;
}

void ListedServers::OnStoreUnreachable(Time /*now*/) {
  unreachable_ = true;
  reachable_since_.reset();
}

void ListedServers::OnStoreReachable(Time now) {
  if (!unreachable_) {
    return;
  }
  unreachable_ = false;
  reachable_since_ = now;
}

void ListedServers::OnStoreStable(Time now) {
  unreachable_ = false;
  reachable_since_.reset();
  Tick(now);
}

void ListedServers::Tick(Time now) {
  if (ReturnsExpected(now)) {
    return;
  }
  const size_t before = entries_.size();
  absl::erase_if(entries_, [this](const auto& item) {
    const bool removed = item.second.missing_since.has_value();
    if (removed) {
      RememberRemoved(item.second.server);
    }
    return removed;
  });
  generation_ += before == entries_.size() ? 0 : 1;
}

Time ListedServers::next_due() const {
  const bool missing = std::ranges::any_of(entries_, [](const auto& item) {
    return item.second.missing_since.has_value();
  });
  return missing && reachable_since_ ? *reachable_since_ + options_.return_grace
                                     : Time::max();
}

const ListedServer* ListedServers::Find(const ServerId& server) const {
  const auto found = entries_.find(server);
  return found == entries_.end() ? nullptr : &found->second.server;
}

std::vector<const ListedServer*> ListedServers::ready() const {
  std::vector<const ListedServer*> servers = all();
  std::erase_if(servers, [](const ListedServer* server) {
    return server->state != ListedState::kReady;
  });
  return servers;
}

std::vector<const ListedServer*> ListedServers::all() const {
  std::vector<const ListedServer*> servers;
  servers.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    servers.push_back(&entry.server);
  }
  std::ranges::sort(servers, {},
                    [](const ListedServer* server) { return server->id; });
  return servers;
}

bool ListedServers::ReturnsExpected(Time now) const {
  return unreachable_ ||
         (reachable_since_ && now < *reachable_since_ + options_.return_grace);
}

void ListedServers::MarkMissingOrErase(Time now, const ServerId& server) {
  const auto found = entries_.find(server);
  if (found == entries_.end()) {
    return;
  }
  // A server that announced that it was leaving doesn't return.
  const bool may_return =
      ReturnsExpected(now) && found->second.server.state == ListedState::kReady;
  if (!may_return) {
    RememberRemoved(found->second.server);
    entries_.erase(found);
    ++generation_;
    return;
  }
  if (!found->second.missing_since) {
    found->second.missing_since = now;
  }
}

}  // namespace oleander
