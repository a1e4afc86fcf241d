// Polls the platform's list of entry instances and backend servers, and its
// reclaim notices.
#ifndef OLEANDER_NODE_FLEET_H_
#define OLEANDER_NODE_FLEET_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "io/cloud_client.h"
#include "io/event_loop.h"
#include "node/settings.h"
#include "oleander/types.h"

namespace oleander::node {

// An entry instance and the key with which the mesh authenticates it.
struct EntryPeer {
  InstanceInfo info;
  std::string public_key;
};

class Fleet {
 public:
  struct Callbacks {
    std::function<void(const std::vector<EntryPeer>&)> on_entries;
    std::function<void(const std::vector<ServerInfo>&)> on_servers;
    // A backend server is leaving. `left` is the time until its removal if a
    // reclaim notice gives one.
    std::function<void(const ServerId&, std::optional<Duration> left)>
        on_server_leaving;
    // A backend server is no longer on the list.
    std::function<void(const ServerId&)> on_server_removed;
    // This instance is being reclaimed and has `left` until its removal.
    std::function<void(Duration left)> on_self_notice;
  };

  Fleet(io::EventLoop& loop, io::CloudClient& cloud, const Settings& settings,
        Callbacks callbacks);

  void Start();
  // Returns when the list was last read successfully, if ever.
  std::optional<Time> list_read_at() const { return list_read_at_; }

 private:
  void PollList();
  void PollNotices();
  void OnList(const absl::StatusOr<io::InstanceList>& list);
  void ReportServers(const std::vector<io::ListedServer>& servers);
  void OnNotices(
      const absl::StatusOr<std::vector<io::ReclaimNoticeInfo>>& notices);

  io::EventLoop& loop_;
  io::CloudClient& cloud_;
  Callbacks callbacks_;
  InstanceId self_;
  std::vector<EntryPeer> seeds_;
  Duration list_interval_;
  Duration notice_interval_;
  io::Timer list_timer_;
  io::Timer notice_timer_;
  std::optional<Time> list_read_at_;
  absl::flat_hash_set<ServerId> listed_servers_;
  absl::flat_hash_set<std::string> active_notices_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_FLEET_H_
