#include "oleander/listed_servers.h"

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

// Removals are remembered for the newest ones only; older writes of a server
// that went long ago don't come.
constexpr size_t kRememberedRemovals = 4096;

}  // namespace

void ListedServers::Replace(Time now, std::vector<ListedServer> servers,
                            int64_t revision) {
  known_ = true;
  absl::flat_hash_map<ServerId, bool> listed;
  for (ListedServer& server : servers) {
    if (IsOfOlderCopy(now, server)) {
      continue;
    }
    listed.emplace(server.id, true);
    PutAsOf(std::move(server), revision);
  }
  std::vector<ServerId> missing;
  for (const auto& [id, entry] : entries_) {
    if (!listed.contains(id) && entry.revision <= revision) {
      missing.push_back(id);
    }
  }
  std::ranges::for_each(missing,
                        [&](const ServerId& id) { MissOrErase(now, id); });
}

void ListedServers::Put(Time /*now*/, ListedServer server, int64_t revision) {
  PutAsOf(std::move(server), revision);
}

void ListedServers::PutAsOf(ListedServer server, int64_t revision) {
  const auto removed = removed_.find(server.id);
  if (removed != removed_.end()) {
    if (removed->second >= revision) {
      return;
    }
    removed_.erase(removed);
  }
  gone_births_.erase(server.id);
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
  if (removed_.size() >= kRememberedRemovals) {
    removed_.clear();
  }
  removed_[server] = revision;
  MissOrErase(now, server);
}

std::vector<ListedServer> ListedServers::OnNewEra(Time now) {
  away_ = false;
  back_at_ = now;
  copied_until_ = now + options_.copy_time;
  removed_.clear();
  std::vector<ListedServer> leaving;
  for (auto& [id, entry] : entries_) {
    entry.revision = 0;
    if (entry.server.state == ListedState::kLeaving) {
      leaving.push_back(entry.server);
    }
  }
  for (const ListedServer& server : leaving) {
    NoteGone(server);
    entries_.erase(server.id);
  }
  generation_ += leaving.empty() ? 0 : 1;
  return leaving;
}

bool ListedServers::IsOfOlderCopy(Time now, const ListedServer& server) const {
  const auto gone = gone_births_.find(server.id);
  return copied_until_ && now < *copied_until_ && gone != gone_births_.end() &&
         gone->second == server.born_ms;
}

void ListedServers::NoteGone(const ListedServer& server) {
  if (gone_births_.size() >= kRememberedRemovals) {
    gone_births_.clear();
  }
  gone_births_[server.id] = server.born_ms;
}

void ListedServers::OnStoreAway(Time /*now*/) {
  away_ = true;
  back_at_.reset();
}

void ListedServers::OnStoreBack(Time now) {
  if (!away_) {
    return;
  }
  away_ = false;
  back_at_ = now;
}

void ListedServers::OnStoreSteady(Time now) {
  away_ = false;
  back_at_.reset();
  Tick(now);
}

void ListedServers::Tick(Time now) {
  if (ReturnsExpected(now)) {
    return;
  }
  const size_t before = entries_.size();
  absl::erase_if(entries_, [this](const auto& item) {
    const bool gone = item.second.missing_since.has_value();
    if (gone) {
      NoteGone(item.second.server);
    }
    return gone;
  });
  generation_ += before == entries_.size() ? 0 : 1;
}

Time ListedServers::next_due() const {
  const bool missing = std::ranges::any_of(entries_, [](const auto& item) {
    return item.second.missing_since.has_value();
  });
  return missing && back_at_ ? *back_at_ + options_.return_time : Time::max();
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
  return away_ || (back_at_ && now < *back_at_ + options_.return_time);
}

void ListedServers::MissOrErase(Time now, const ServerId& server) {
  const auto found = entries_.find(server);
  if (found == entries_.end()) {
    return;
  }
  // A server that said it was leaving doesn't come back.
  const bool may_return =
      ReturnsExpected(now) && found->second.server.state == ListedState::kReady;
  if (!may_return) {
    NoteGone(found->second.server);
    entries_.erase(found);
    ++generation_;
    return;
  }
  if (!found->second.missing_since) {
    found->second.missing_since = now;
  }
}

}  // namespace oleander
