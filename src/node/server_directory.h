// The backend servers on the platform's list, by id.
#ifndef OLEANDER_NODE_SERVER_DIRECTORY_H_
#define OLEANDER_NODE_SERVER_DIRECTORY_H_

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander::node {

class ServerDirectory {
 public:
  // Replaces the whole list.
  void Set(const std::vector<ServerInfo>& servers) {
    servers_.clear();
    for (const ServerInfo& server : servers) {
      servers_.emplace(server.id, server);
    }
  }

  std::optional<ServerInfo> Find(const ServerId& id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  std::vector<ServerInfo> all() const {
    std::vector<ServerInfo> servers;
    for (const auto& [id, server] : servers_) {
      servers.push_back(server);
    }
    return servers;
  }

 private:
  absl::flat_hash_map<ServerId, ServerInfo> servers_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_SERVER_DIRECTORY_H_
