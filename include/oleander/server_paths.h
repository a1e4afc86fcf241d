// Whether this instance is cut off from all backend servers.
//
// A single server that can't be reached may have crashed. If connections to
// several servers fail and no byte arrives from any other one meanwhile, it is
// the path of this instance that is broken: its calls have to go through an
// instance that reaches the servers.
//
//   ServerPaths paths;
//   paths.SetServers(12);
//   paths.OnUnreached(now, ServerId("i-1"));  // and i-2, i-3
//   paths.cut_off(now);                       // true
//   paths.OnReached();
//   paths.cut_off(now);                       // false
//
// Designed for an instance, or all of a failure domain, that keeps its callers,
// its peers and the store, while its connections to servers hang, are reset or
// are refused.
#ifndef OLEANDER_SERVER_PATHS_H_
#define OLEANDER_SERVER_PATHS_H_

#include <cstddef>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct ServerPathsOptions {
  // Servers that can't be reached before the instance counts as cut off; all of
  // them if fewer are listed.
  size_t min_unreached = 3;
  // A failure to reach a server counts for this long.
  Duration failure_lifetime = std::chrono::seconds(3);
  // Calls that wait for this long, without a byte from any server, are a reason
  // to check the path.
  Duration silence_bound = std::chrono::milliseconds(500);
};

class ServerPaths {
 public:
  explicit ServerPaths(ServerPathsOptions options = {}) : options_(options) {}

  // Sets the number of listed servers.
  void SetServers(size_t listed) { listed_ = listed; }
  // A call was handed to a connection.
  void OnSent(Time now);
  // A connection was established, or bytes arrived.
  void OnReached();
  // No connection could be established.
  void OnUnreached(Time now, const ServerId& server);

  bool cut_off(Time now) const;
  // Returns whether a connection has failed since a server was last reached.
  bool suspect() const { return !unreached_.empty(); }
  // Returns whether calls were sent and no server has sent anything for
  // silence_bound.
  bool silent(Time now) const;

 private:
  ServerPathsOptions options_;
  size_t listed_ = 0;
  absl::flat_hash_map<ServerId, Time> unreached_;  // Since the last reach.
  std::optional<Time> waiting_since_;
};

}  // namespace oleander

#endif  // OLEANDER_SERVER_PATHS_H_
