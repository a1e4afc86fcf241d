#include "node/fleet.h"

#include <algorithm>
#include <utility>

#include "io/log.h"

namespace oleander::node {

Fleet::Fleet(io::EventLoop& loop, io::CloudClient& cloud,
             const Settings& settings, Callbacks callbacks)
    : loop_(loop),
      cloud_(cloud),
      callbacks_(std::move(callbacks)),
      self_(settings.instance),
      list_interval_(settings.platform.instance_poll),
      notice_interval_(settings.platform.notice_poll) {
  for (const PeerSettings& peer : settings.mesh.peers) {
    seeds_.push_back({.info = peer.info, .public_key = peer.public_key});
  }
}

void Fleet::Start() {
  callbacks_.on_entries(seeds_);
  PollList();
  PollNotices();
  list_timer_ = loop_.Every(list_interval_, [this] { PollList(); });
  notice_timer_ = loop_.Every(notice_interval_, [this] { PollNotices(); });
}

void Fleet::PollList() {
  cloud_.FetchInstances(
      [this](const absl::StatusOr<io::InstanceList>& list) { OnList(list); });
}

void Fleet::PollNotices() {
  cloud_.FetchNotices(
      [this](
          const absl::StatusOr<std::vector<io::ReclaimNoticeInfo>>& notices) {
        OnNotices(notices);
      });
}

// If the list can't be read, the list that was read last stays in use.
void Fleet::OnList(const absl::StatusOr<io::InstanceList>& list) {
  if (!list.ok()) {
    return;
  }
  list_read_at_ = loop_.now();
  // Peers from the settings override listed ones, because the settings may give
  // another address.
  std::vector<EntryPeer> entries = seeds_;
  for (const io::ListedEntry& listed : list->entries) {
    const bool is_seed = std::ranges::any_of(
        seeds_,
        [&](const EntryPeer& seed) { return seed.info.id == listed.info.id; });
    if (listed.info.id != self_ && !is_seed) {
      entries.push_back({.info = listed.info, .public_key = listed.public_key});
    }
  }
  callbacks_.on_entries(entries);
  ReportServers(list->servers);
}

void Fleet::ReportServers(const std::vector<io::ListedServer>& servers) {
  std::vector<ServerInfo> infos;
  absl::flat_hash_set<ServerId> now_listed;
  for (const io::ListedServer& server : servers) {
    infos.push_back(server.info);
    now_listed.insert(server.info.id);
  }
  callbacks_.on_servers(infos);
  for (const io::ListedServer& server : servers) {
    if (server.leaving) {
      callbacks_.on_server_leaving(server.info.id, std::nullopt);
    }
  }
  for (const ServerId& earlier : listed_servers_) {
    if (!now_listed.contains(earlier)) {
      callbacks_.on_server_removed(earlier);
    }
  }
  listed_servers_ = std::move(now_listed);
}

void Fleet::OnNotices(
    const absl::StatusOr<std::vector<io::ReclaimNoticeInfo>>& notices) {
  if (!notices.ok()) {
    return;
  }
  for (const io::ReclaimNoticeInfo& notice : *notices) {
    if (!active_notices_.insert(notice.id).second) {
      continue;
    }
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(notice.time_left)
            .count();
    if (notice.id == self_.value()) {
      io::Log(io::LogLevel::kWarning, "reclaim.own_notice",
              {{"left_ms", milliseconds}});
      callbacks_.on_self_notice(notice.time_left);
    } else if (listed_servers_.contains(ServerId(notice.id))) {
      io::Log(io::LogLevel::kInfo, "reclaim.server_notice",
              {{"server", notice.id}, {"left_ms", milliseconds}});
      callbacks_.on_server_leaving(ServerId(notice.id), notice.time_left);
    }
  }
  // Forgets notices that are no longer listed, because a later notice may have
  // the same name.
  absl::erase_if(active_notices_, [&](const std::string& id) {
    return std::ranges::none_of(
        *notices,
        [&](const io::ReclaimNoticeInfo& notice) { return notice.id == id; });
  });
}

}  // namespace oleander::node
