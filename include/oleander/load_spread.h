// The load of the backend servers, asked by a few instances and known to all.
//
// Each server is asked by instances of its own failure domain, picked by
// rendezvous hashing over the live ones. Figures travel with the heartbeats of
// the membership part: in detail within the domain, as one summary per service
// and domain across. Each figure carries its age. A server without a fresh
// figure, or said to be leaving by anyone, gets no new work.
//
//   LoadSpread spread(self, {}, seed, now);
//   spread.SetServers(servers, now);
//   spread.SetLiveInstances(live, now);
//   for (const LoadAction& action : spread.TakeActions()) ...
//   spread.OnLoadReport(server, report, now);  // GET /v1/load answered.
//   LoadUpdate update = spread.UpdateFor(neighbour, same_domain, now);
#ifndef OLEANDER_LOAD_SPREAD_H_
#define OLEANDER_LOAD_SPREAD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oleander/types.h"

namespace oleander {

// What a backend server says of itself.
struct LoadReport {
  Duration age{};  // When the server took the figures, before now.
  int running = 0;
  int waiting = 0;
  int slots = 1;
  int64_t queued_tokens = 0;
  double tokens_per_s = 0;
  double prefill_tokens_per_s = 0;
  int64_t kv_used_tokens = 0;
  int64_t kv_total_tokens = 0;
  bool leaving = false;
  uint64_t version = 0;  // Of a plain service's state; zero: tells none.

  bool operator==(const LoadReport&) const = default;
};

// What seldom changes; levels, see LevelOf().
struct LoadTraits {
  uint8_t slots = 0;
  uint8_t tokens_per_s = 0;
  uint8_t prefill_tokens_per_s = 0;
  uint8_t kv_total_tokens = 0;
  uint8_t kv_used_tokens = 0;
  uint64_t version = 0;

  bool operator==(const LoadTraits&) const = default;
};

// One server's figures as they travel; levels, see LevelOf().
struct LoadEntry {
  // The server's position among all servers, or a hash of its id.
  uint32_t server = 0;
  Duration age{};
  uint8_t running = 0;
  uint8_t waiting = 0;
  uint8_t queued_tokens = 0;
  bool leaving = false;
  std::optional<LoadTraits> traits = std::nullopt;

  bool operator==(const LoadEntry&) const = default;
};

// One service's servers in one failure domain as they travel; levels.
struct LoadSummaryEntry {
  // Position among all pairs of service and domain, or a hash of the pair.
  uint32_t pool = 0;
  Duration age{};
  uint8_t servers = 0;
  uint8_t running = 0;
  uint8_t waiting = 0;
  uint8_t slots = 0;
  uint8_t queued_tokens = 0;

  bool operator==(const LoadSummaryEntry&) const = default;
};

struct LoadUpdate {
  uint32_t roster = 0;       // Fingerprint of the sender's list of servers.
  bool by_position = false;  // Else `server` and `pool` are hashes.
  std::vector<LoadEntry> entries;
  std::vector<LoadSummaryEntry> summaries;

  bool empty() const { return entries.empty() && summaries.empty(); }
  bool operator==(const LoadUpdate&) const = default;
};

// All servers of one service in one failure domain together.
struct LoadSummary {
  ServiceId service;
  DomainId domain;
  Duration age{};
  int servers = 0;  // That take new work.
  int running = 0;
  int waiting = 0;
  int slots = 0;
  int64_t queued_tokens = 0;

  bool operator==(const LoadSummary&) const = default;
};

// A logarithmic scale in quarter powers of two: 0 is zero, and a level and the
// next differ by 19%.
uint8_t LevelOf(double value);
double ValueOf(uint8_t level);

struct LoadSpreadOptions {
  int pollers_per_server = 2;                        // Per server.
  Duration poll_interval = std::chrono::seconds(2);  // Each asker.
  Duration poll_timeout = std::chrono::milliseconds(1500);
  // Figures older than this make a server unusable.
  Duration max_usable_age = std::chrono::seconds(8);
  // An instance asks by itself for figures that grow older than this.
  Duration stale_poll_age = std::chrono::seconds(6);
  double stale_polls_per_s = 2;  // At most, of one instance.
  // A server's figures are spread anew at most so often, and at once where they
  // change by much.
  Duration publish_interval = std::chrono::milliseconds(1400);
  Duration traits_interval = std::chrono::seconds(12);
  Duration summary_interval = std::chrono::seconds(5);
  Duration max_summary_age = std::chrono::seconds(20);
  // With so many servers or fewer, detail goes to every domain.
  size_t full_detail_max_servers = 64;
  size_t max_update_bytes = 1200;  // About; of one update.
};

// Ask this server for its load now.
struct PollLoad {
  ServerInfo server;
};
// Send UpdateFor() each neighbour now, not with the next heartbeat.
struct SendUpdatesNow {};

using LoadAction = std::variant<PollLoad, SendUpdatesNow>;

// A server's figures with their age at the time asked for.
struct KnownLoad {
  LoadReport report;
  bool direct = false;  // Asked by this instance, not coarse.
};

class LoadSpread {
 public:
  LoadSpread(InstanceInfo self, const LoadSpreadOptions& options, uint64_t seed,
             Time now);
  ~LoadSpread();
  LoadSpread(LoadSpread&&) noexcept;
  LoadSpread& operator=(LoadSpread&&) noexcept;

  // The platform's lagging list; servers that vanish from it are forgotten.
  void SetServers(const std::vector<ServerInfo>& servers, Time now);
  // All live instances, this one included.
  void SetLiveInstances(const std::vector<InstanceInfo>& live, Time now);
  void OnLoadReport(const ServerId& server, const LoadReport& report, Time now);
  // The server did not answer; it is asked again at its next turn.
  void OnPollFailed(const ServerId& server, Time now);
  // Seen leaving by another way: the platform's list, a refusal, a notice.
  void OnLeaving(const ServerId& server, Time now);
  void OnUpdate(const InstanceId& from, const LoadUpdate& update, Time now);
  // What `neighbour` has not been sent yet; counts as sent.
  LoadUpdate UpdateFor(const InstanceId& neighbour, bool same_domain, Time now);

  void Tick(Time now);
  Time next_due() const;
  std::vector<LoadAction> TakeActions();

  // Whether the server may get new work: figures in bounds and not leaving. A
  // server of another domain has no detail; its summary counts.
  bool usable(const ServerId& server, Time now) const;
  bool leaving(const ServerId& server) const;
  std::optional<KnownLoad> Find(const ServerId& server, Time now) const;
  std::vector<LoadSummary> summaries(Time now) const;
  std::vector<ServerId> polled_here() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_LOAD_SPREAD_H_
