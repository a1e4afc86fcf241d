// State that all calls of an entry instance share. The instance owns it.
#ifndef OLEANDER_ENTRY_CALL_CONTEXT_H_
#define OLEANDER_ENTRY_CALL_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>

#include "absl/container/flat_hash_set.h"
#include "entry/entry_metrics.h"
#include "entry/quota_gate.h"
#include "entry/region_placer.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "oleander/agreed_clock.h"
#include "oleander/config_proof.h"
#include "oleander/listed_servers.h"
#include "oleander/load_coverage.h"
#include "oleander/placement.h"
#include "oleander/poison_parts.h"
#include "oleander/relay_choice.h"
#include "oleander/report_limit.h"
#include "oleander/retries.h"
#include "oleander/rollout_split.h"
#include "oleander/server_loads.h"
#include "oleander/server_paths.h"
#include "oleander/serving_config.h"
#include "oleander/store_era.h"
#include "oleander/usage_windows.h"
#include "ports/call_port.h"

namespace oleander::entry {

class ForwardedCall;
class OriginKeeper;
class RelayedCall;
class RolloutFeed;

struct CallContext {
  io::EventLoop& loop;
  io::HttpClient& servers_client;
  const ports::CallPort& codec;
  EntryMetrics& metrics;
  AgreedClock clock;
  StoreEra era = {};
  ConfigProof proof;
  ListedServers listed;
  Placement placement;
  RegionPlacer placer;
  // Open calls at each server, from all instances together.
  ServerLoads loads = {};
  // Log lines about loads that can't be read, by run of a server.
  ReportLimit unreadable_loads = ReportLimit();
  // Engines kept busy with prefill, by service and region.
  ServerLoads prefill_load = {};
  // From how many instances these loads are known.
  LoadCoverage coverage = {};
  // This instance sizes the fleet and needs the loads of all servers.
  bool needs_loads = false;
  // Calls that servers turned away at this instance, since its start.
  int64_t turned_away = 0;
  PoisonParts poison = PoisonParts();
  // Called when peers should learn at once that a server crashed, or that a
  // suspected part was answered on.
  std::function<void()> on_crash_news = [] {};
  // Which versions began streams. The owner of the context sets it before the
  // first call.
  OriginKeeper* origins = nullptr;
  // Null if the deployment has no roll-outs.
  RolloutSplit* rollouts = nullptr;
  const RolloutFeed* rollout_feed = nullptr;
  RetryBudget retries;
  UsageWindows usage;
  QuotaGate quotas;
  std::shared_ptr<const ServingConfig> config = nullptr;  // Null until read.
  // A newer version is in force elsewhere and could not be obtained in time.
  bool config_superseded = false;
  absl::flat_hash_set<ForwardedCall*> open_calls = {};
  // Whether this instance reaches the backend servers, the peers that may relay
  // its calls, the port at which each of them takes such calls, and the calls
  // that are being relayed.
  ServerPaths paths = ServerPaths();
  RelayChoice relays = RelayChoice(Location(), 0);
  uint16_t relay_port = 0;
  absl::flat_hash_set<RelayedCall*> relayed_calls = {};
  size_t max_calls = std::numeric_limits<size_t>::max();
  // Bytes of all answers that are being buffered in full, and the limits for
  // one answer and for all.
  size_t collected_bytes = 0;
  size_t max_answer_bytes = size_t{32} << 20;
  size_t max_collected_bytes = std::numeric_limits<size_t>::max();
  bool draining = false;
  // New requests are refused, because the process is about to stop.
  bool refusing = false;

  WallTime wall_now() const { return clock.At(loop.now()); }
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CALL_CONTEXT_H_
