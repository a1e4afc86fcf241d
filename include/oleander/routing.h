// Chooses the backend server for one attempt of a request.
//
// Each candidate is scored by the time to the first token that this instance
// expects of it, how full its batch is, and the cached prefixes that the prompt
// would push out, weighed by the profile. Candidates are two random servers of
// the nearest ring that has any (own failure domain, own region, across the
// link) and those that hold the prompt's prefix. docs/design/routing.md tells
// why.
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

// What a backend server said of its load, `age` before it got here.
struct ServerLoad {
  ServerId server{};
  Duration age{};
  int running = 0;
  int waiting = 0;
  int slots = 1;              // Of the batch.
  int64_t queued_tokens = 0;  // Prompt tokens that wait for prefill.
  double tokens_per_s = 0;    // Generated, over the whole batch.
  double prefill_tokens_per_s = 0;
  int64_t kv_used_tokens = 0;
  int64_t kv_total_tokens = 0;
  bool leaving = false;
  // Of a plain service: the latest state it has; zero where it tells none.
  uint64_t version = 0;
};

// The last write of a workspace that a plain service acknowledged. Instances
// may pass marks to each other, so that a read by way of another instance sees
// the write too.
struct WriteMark {
  ServiceId service{};
  WorkspaceId workspace{};
  ServerId server{};
  uint64_t version = 0;  // Zero where the service tells none.
};

struct RouteQuery {
  ServiceId service{};
  WorkspaceId workspace{};
  std::span<const BlockHash> blocks{};  // Of the prompt; empty for plain calls.
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  int64_t bytes = 0;  // That would cross the link: body and expected answer.
  Duration first_token_target = std::chrono::milliseconds(1500);
  Priority priority = Priority::kStandard;
  MeasureWeights weights{};
  bool reads_own_writes = false;
  std::span<const ServerId>
      avoid{};               // Servers that failed this request before.
  uint64_t random_bits = 0;  // Random bits for the random candidates.
};

struct Route {
  ServerId server{};
  Duration expected_first_token{};
  int64_t cached_tokens = 0;
  bool crosses_region = false;
  // A read of a workspace whose last write no server that is alive has.
  bool may_be_stale = false;
};

enum class CallOutcome { kAnswered, kFailed, kCancelled, kRefused };

// An attempt that this instance sent out. `attempt` is unique in this process.
struct DispatchedCall {
  uint64_t attempt = 0;
  ServiceId service{};
  ServerId server{};
  std::vector<BlockHash> blocks{};
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;  // As the route said.
  int64_t max_tokens = 0;
  int64_t bytes = 0;
  Duration expected_first_token{};
};

struct EndedCall {
  CallOutcome outcome = CallOutcome::kAnswered;
  int64_t tokens = 0;
};

struct RoutingOptions {
  Place place{};  // Of this instance.
  Duration max_report_age = std::chrono::seconds(3);
  Duration link_delay = std::chrono::milliseconds(20);  // One way.
  Duration domain_delay = std::chrono::microseconds(1500);
  double link_bytes_per_s = 470'000;  // This instance's part of 30 Mbit/s.
  double link_burst_bytes = 940'000;
  // What the prefill that a new prompt pushes out of a cache counts for, where
  // the server's cache changes at the pool's mean pace.
  double eviction_factor = 3;
  // What a full batch counts for: each answer in it is slower.
  Duration full_batch_penalty = std::chrono::milliseconds(100);
  // A farther ring is looked at when the nearer one's best expected wait
  // passes this.
  Duration spill_wait = std::chrono::milliseconds(700);
  Duration mark_lifetime = std::chrono::minutes(10);
  size_t max_write_marks = 10'000;
  PrefixIndexOptions prefixes{};
  OutlierOptions outliers{};
  uint64_t seed = 1;
};

// Counts for metrics and benches.
struct RoutingCounts {
  uint64_t dispatched = 0;
  uint64_t cross_region_calls = 0;
  int64_t cross_region_bytes = 0;
  uint64_t ejections = 0;
};

// Example:
//
//   Router router(options);
//   router.SetServers(now, servers);
//   router.OnLoad(now, load);
//   auto route = router.Choose(now, {.service = service, .blocks = blocks,
//                                    .draw = bits()});
//   if (route.ok()) router.OnDispatched(now, {.attempt = 1, ...});
class Router {
 public:
  explicit Router(const RoutingOptions& options);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // The whole list of servers of all services. A server that stays on the list
  // keeps what is known of it.
  void SetServers(Time now, std::span<const ServerInfo> servers);
  void OnLoad(Time now, const ServerLoad& load);
  // Seen anywhere: no more work for this server, whatever its reports say.
  void OnLeaving(Time now, const ServerId& server);
  // The server is being drained for good: until `until` it still gets calls
  // whose prefix no other server holds, so that conversations end where their
  // cache is; after that it gets nothing.
  void OnDraining(Time now, const ServerId& server, Time until);
  void OnCacheEvents(Time now, const ServerId& server,
                     std::span<const CacheEvent> events);
  void OnDispatched(Time now, const DispatchedCall& call);
  void OnFirstToken(Time now, uint64_t attempt);
  void OnEnded(Time now, uint64_t attempt, const EndedCall& ended);
  void OnWrite(Time now, const WriteMark& mark);

  // kNoServer where no server may take the request, with a time to come back.
  absl::StatusOr<Route> Choose(Time now, const RouteQuery& query) const;

  // Whether a write of the workspace is remembered.
  bool HasWriteMark(const ServiceId& service,
                    const WorkspaceId& workspace) const;
  // Whether any server of `service` would get new work now.
  bool HasServer(Time now, const ServiceId& service) const;
  // The servers of `service` that would get new work now.
  std::vector<ServerId> UsableServers(Time now, const ServiceId& service) const;
  const RoutingCounts& counts() const { return counts_; }
  const PrefixIndex& prefixes() const { return prefixes_; }
  // Own attempts under way at `server`.
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
  // Gets any work, or at least that which only it has the cache for.
  bool Usable(Time now, const Server& server) const;
  bool AcceptsNewWork(Time now, const Server& server) const;
  bool HasFreshReport(Time now, const Server& server) const;
  double LinkBytesLeft(Time now) const;
  void SpendLinkBytes(Time now, int64_t bytes);
  Candidate Score(Time now, const Server& server, const RouteQuery& query,
                  int cached_blocks) const;
  void Consider(Time now, const RouteQuery& query, ServerSlot slot,
                int cached_blocks, Candidate& best) const;
  void ConsiderRandom(Time now, const RouteQuery& query,
                      std::span<const ServerSlot> ring, uint64_t random_bits,
                      Candidate& best) const;
  void ConsiderHolders(Time now, const RouteQuery& query,
                       Candidate& best) const;
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
  // By slot; null where the server is gone.
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
