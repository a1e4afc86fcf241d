// Runs the load spread, which polls backend servers and exchanges their load
// between instances, and passes the known load to the router.
#ifndef OLEANDER_NODE_LOAD_DRIVER_H_
#define OLEANDER_NODE_LOAD_DRIVER_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "io/engine_client.h"
#include "io/event_loop.h"
#include "node/server_directory.h"
#include "oleander/load_spread.h"
#include "oleander/routing.h"

namespace oleander::node {

class LoadDriver {
 public:
  LoadDriver(io::EventLoop& loop, io::EngineClient& engines, Router& router,
             ServerDirectory& servers, const InstanceInfo& self,
             const LoadSpreadOptions& options, uint64_t seed,
             std::function<void()> send_updates_now);

  void SetServers(const std::vector<ServerInfo>& servers);
  void SetLiveInstances(const std::vector<InstanceInfo>& live);
  // Marks a server that takes no new work, and lets the load spread announce it
  // to the other instances.
  void OnLeaving(const ServerId& server);
  void OnUpdate(const InstanceId& from, const LoadUpdate& update);
  LoadUpdate UpdateFor(const InstanceId& neighbour, bool same_domain);
  void Tick();

  const LoadSpread& spread() const { return spread_; }

 private:
  void ExecuteActions();
  void Perform(const PollLoad& action);
  void Perform(const SendUpdatesNow&) { send_updates_now_(); }
  void Poll(const ServerInfo& server);
  void PollCacheEvents(const ServerInfo& server);
  void OnReport(const ServerId& server, const absl::StatusOr<ServerLoad>& load);
  // Passes the load that other instances reported to the router.
  void SyncRouter();

  io::EventLoop& loop_;
  io::EngineClient& engines_;
  Router& router_;
  ServerDirectory& servers_;
  LoadSpreadOptions options_;
  LoadSpread spread_;
  // Sends every neighbour its pending load updates without waiting for a
  // heartbeat.
  std::function<void()> send_updates_now_;
  Time next_sync_{};
  absl::flat_hash_map<ServerId, uint64_t> cache_event_cursors_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_LOAD_DRIVER_H_
