// The backend servers in a canonical order, so that instances with the same
// list can identify a server by its position.
#ifndef OLEANDER_PARTS_SERVER_ROSTER_H_
#define OLEANDER_PARTS_SERVER_ROSTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "oleander/types.h"

namespace oleander::parts {

// The servers of one service in one failure domain.
struct Pool {
  ServiceId service;
  DomainId domain;

  auto operator<=>(const Pool&) const = default;
};

uint32_t HashOf(const ServerId& server);
uint32_t HashOf(const Pool& pool);

class ServerRoster {
 public:
  void Set(std::vector<ServerInfo> servers);

  const std::vector<ServerInfo>& servers() const { return servers_; }
  const std::vector<Pool>& pools() const { return pools_; }
  uint32_t fingerprint() const { return fingerprint_; }
  // Return a position in servers() or pools(), or nothing if it is unknown. A
  // `key` is a position or a hash. Servers whose hashes collide aren't found by
  // hash.
  std::optional<size_t> FindServer(const ServerId& id) const;
  std::optional<size_t> FindServer(uint32_t key, bool by_position) const;
  std::optional<size_t> FindPool(uint32_t key, bool by_position) const;

 private:
  using Index = std::unordered_map<uint32_t, std::optional<size_t>>;

  std::vector<ServerInfo> servers_;  // Sorted by id.
  std::vector<Pool> pools_;          // Sorted.
  Index server_hashes_;
  Index pool_hashes_;
  uint32_t fingerprint_ = 0;
};

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_SERVER_ROSTER_H_
