// Selects the backend server for one attempt of a request.
//
// A candidate's score adds up the expected time to first token, the fullness of
// its batch and the cached prefixes that the prompt would evict; the profile's
// weights set how much eviction counts. The candidates are the servers that
// hold the prompt's prefix, two random servers of the local failure domain and
// two of the other domains of the region. Two servers of other regions are
// added when these are all unusable or too slow. docs/design/routing.md
// explains the design.
#ifndef OLEANDER_ROUTING_H_
#define OLEANDER_ROUTING_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "oleander/outliers.h"
#include "oleander/prefix_index.h"
#include "oleander/profile.h"
#include "oleander/types.h"

namespace oleander {

// A backend server's load report. `age` is the time since the server sampled
// it.
struct ServerLoad {
  ServerId server{};
  Duration age{};
  int running = 0;
  int waiting = 0;
  int slots = 1;              // Size of the batch.
  int64_t queued_tokens = 0;  // Prompt tokens waiting for prefill.
  double tokens_per_s = 0;    // Generation rate of the whole batch.
  double prefill_tokens_per_s = 0;
  int64_t kv_used_tokens = 0;
  int64_t kv_total_tokens = 0;
  bool leaving = false;
  // The latest state version that a server of a plain service holds; zero if
  // the server reports none.
  uint64_t version = 0;
};

// Identifies the last write of a workspace that a plain service acknowledged.
// Instances exchange marks so that a read through another instance sees the
// write too.
struct WriteMark {
  ServiceId service{};
  WorkspaceId workspace{};
  ServerId server{};
  uint64_t version = 0;  // Zero if the service reports none.
};

// The attempt to route.
struct RouteQuery {
  ServiceId service{};
  WorkspaceId workspace{};
  // Block hashes of the prompt; empty for plain calls.
  std::span<const BlockHash> blocks{};
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  // Request body and expected response, charged if the call crosses regions.
  int64_t bytes = 0;
  Duration first_token_target = std::chrono::milliseconds(1500);
  Priority priority = Priority::kStandard;
  MeasureWeights weights{};
  bool reads_own_writes = false;
  std::span<const ServerId>
      avoid{};               // Servers on which this request failed before.
  uint64_t random_bits = 0;  // Selects the random candidates.
};

// The selected server, and the estimates that the selection used.
struct Route {
  ServerId server{};
  Duration expected_first_token{};
  int64_t cached_tokens = 0;
  bool crosses_region = false;
  // True for a read of a workspace whose last write is on no server with a
  // fresh report.
  bool may_be_stale = false;
};

enum class CallOutcome { kAnswered, kFailed, kCancelled, kRefused };

// An attempt that this instance dispatched. `attempt` is unique in this
// process.
struct DispatchedCall {
  uint64_t attempt = 0;
  ServiceId service{};
  ServerId server{};
  std::vector<BlockHash> blocks{};
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;  // From Route::cached_tokens.
  int64_t max_tokens = 0;
  int64_t bytes = 0;
  Duration expected_first_token{};
};

struct EndedCall {
  CallOutcome outcome = CallOutcome::kAnswered;
  int64_t tokens = 0;
};

struct RoutingOptions {
  Location location{};  // Location of this instance.
  // A server whose latest load report is older gets no work.
  Duration max_report_age = std::chrono::seconds(3);
  // One way, between regions.
  Duration link_delay = std::chrono::milliseconds(20);
  // One way, between failure domains of a region.
  Duration domain_delay = std::chrono::microseconds(1500);
  double link_bytes_per_s = 470'000;  // This instance's share of 30 Mbit/s.
  double link_burst_bytes = 940'000;
  // Weight of evicted prefixes relative to the time to prefill them again, for
  // a server whose cache changes at the pool's mean rate.
  double eviction_factor = 3;
  // Score penalty of a full batch, in which every response is generated more
  // slowly. The penalty grows with the square of the batch's fullness.
  Duration full_batch_penalty = std::chrono::milliseconds(100);
  // Servers of other regions are considered when the best other candidate's
  // expected time to first token exceeds this.
  Duration spill_wait = std::chrono::milliseconds(700);
  Duration mark_lifetime = std::chrono::minutes(10);
  size_t max_write_marks = 10'000;
  PrefixIndexOptions prefixes{};
  OutlierOptions outliers{};
  uint64_t seed = 1;
};

// Counters for metrics and benchmarks.
struct RoutingCounts {
  uint64_t dispatched = 0;
  uint64_t cross_region_calls = 0;
  int64_t cross_region_bytes = 0;
  uint64_t ejections = 0;
};

// Tracks the servers of all services and selects one for each attempt.
//
//   Router router(options);
//   router.SetServers(now, servers);
//   router.OnLoad(now, load);
//   auto route = router.Choose(now, {.service = service, .blocks = blocks,
//                                    .random_bits = bits()});
//   if (route.ok()) router.OnDispatched(now, {.attempt = 1, ...});
class Router {
 public:
  explicit Router(const RoutingOptions& options);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Replaces the list of servers of all services. The state of a server that
  // stays on the list is retained.
  void SetServers(Time now, std::span<const ServerInfo> servers);
  void OnLoad(Time now, const ServerLoad& load);
  // Stops sending work to this server, even if later reports don't say that it
  // is leaving.
  void OnLeaving(Time now, const ServerId& server);
  // Drains the server permanently. Until `until` it still receives calls for
  // which no other server holds as long a prefix, so that conversations can end
  // where their cache is; from then on it receives none.
  void OnDraining(Time now, const ServerId& server, Time until);
  void OnCacheEvents(Time now, const ServerId& server,
                     std::span<const CacheEvent> events);
  void OnDispatched(Time now, const DispatchedCall& call);
  void OnFirstToken(Time now, uint64_t attempt);
  void OnEnded(Time now, uint64_t attempt, const EndedCall& ended);
  void OnWrite(Time now, const WriteMark& mark);

  // Returns the route, or kNoServer with a retry delay if no server may take
  // the request.
  absl::StatusOr<Route> Choose(Time now, const RouteQuery& query) const;

  // Returns true if a write mark of the workspace is stored.
  bool HasWriteMark(const ServiceId& service,
                    const WorkspaceId& workspace) const;
  // Returns true if any server of `service` accepts new work now.
  bool HasServer(Time now, const ServiceId& service) const;
  // Returns the servers of `service` that accept new work now.
  std::vector<ServerId> UsableServers(Time now, const ServiceId& service) const;
  const RoutingCounts& counts() const { return counts_; }
  const PrefixIndex& prefixes() const { return prefixes_; }
  // Returns the number of this instance's attempts in progress at `server`.
  int in_flight(const ServerId& server) const;
  size_t memory_bytes() const;

 private:
  struct DecayingSum;
  struct Server;
  struct Pool;
  struct Candidate;
  struct PendingAttempt;

  Server* Find(const ServerId& server);
  const Server* Find(const ServerId& server) const;
  // Returns true if the server may get work. A draining server may get only
  // calls for which no other server holds as long a prefix.
  bool Usable(Time now, const Server& server) const;
  bool AcceptsNewWork(Time now, const Server& server) const;
  bool HasFreshReport(Time now, const Server& server) const;
  // Returns the bytes that may cross regions now, by a token bucket.
  double LinkBytesLeft(Time now) const;
  void SpendLinkBytes(Time now, int64_t bytes);
  // Scores the server for the query; the lowest score is best.
  Candidate Score(Time now, const Server& server, const RouteQuery& query,
                  int cached_blocks) const;
  // Replaces `best` if the server may take the query and scores lower.
  void Consider(Time now, const RouteQuery& query, ServerSlot slot,
                int cached_blocks, Candidate& best) const;
  void ConsiderRandom(Time now, const RouteQuery& query,
                      std::span<const ServerSlot> ring, uint64_t random_bits,
                      Candidate& best) const;
  void ConsiderHolders(Time now, const RouteQuery& query,
                       Candidate& best) const;
  // Routes to a server that has the marked write. Returns kNoServer if only
  // servers that accept no new work have it.
  absl::StatusOr<Route> ChooseForRead(Time now, const RouteQuery& query,
                                      const Pool& pool,
                                      const WriteMark& mark) const;
  absl::StatusOr<Route> ChooseAny(Time now, const RouteQuery& query,
                                  const Pool& pool) const;
  Route RouteTo(const RouteQuery& query, const Candidate& candidate) const;
  void AddServer(const ServerInfo& info);
  void RebuildPools();
  void DropOldMarks(Time now);

  struct StoredMark {
    WriteMark mark;
    Time at;
  };

  RoutingOptions options_;
  RoutingCounts counts_;
  PrefixIndex prefixes_;
  // Indexed by slot; null for removed servers.
  std::vector<std::unique_ptr<Server>> servers_;
  absl::flat_hash_map<ServerId, ServerSlot> slots_;
  absl::flat_hash_map<ServiceId, std::unique_ptr<Pool>> pools_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<PendingAttempt>> pending_;
  absl::flat_hash_map<std::pair<ServiceId, WorkspaceId>, StoredMark> marks_;
  double link_budget_bytes_ = 0;
  Time link_updated_at_{};
};

}  // namespace oleander

#endif  // OLEANDER_ROUTING_H_
