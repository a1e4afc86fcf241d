// Polls the load of the backend servers from a few instances and distributes it
// to all of them.
//
// Each server is polled by instances of its own failure domain, selected by
// rendezvous hashing over the live instances. Load figures are sent with the
// membership heartbeats: per server within the domain, as one summary per
// service and domain to other domains. Each figure carries its age. A server
// without a fresh figure, or reported as leaving by any instance, gets no new
// work.
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

// A backend server's own load report.
struct LoadReport {
  Duration age{};  // Time since the server sampled the figures.
  int running = 0;
  int waiting = 0;
  int slots = 1;
  int64_t queued_tokens = 0;
  double tokens_per_s = 0;
  double prefill_tokens_per_s = 0;
  int64_t kv_used_tokens = 0;
  int64_t kv_total_tokens = 0;
  bool leaving = false;
  // State version of a plain service; zero if it reports none.
  uint64_t version = 0;

  bool operator==(const LoadReport&) const = default;
};

// Figures that seldom change and are sent less often. Values are levels, see
// LevelOf().
struct LoadTraits {
  uint8_t slots = 0;
  uint8_t tokens_per_s = 0;
  uint8_t prefill_tokens_per_s = 0;
  uint8_t kv_total_tokens = 0;
  uint8_t kv_used_tokens = 0;
  uint64_t version = 0;

  bool operator==(const LoadTraits&) const = default;
};

// One server's figures as sent to neighbours. Values are levels, see LevelOf().
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

// Totals of one service in one failure domain as sent to neighbours. Values are
// levels, see LevelOf().
struct LoadSummaryEntry {
  // The pair's position among all pairs of service and domain, or its hash.
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
  bool by_position = false;  // Otherwise `server` and `pool` are hashes.
  std::vector<LoadEntry> entries;
  std::vector<LoadSummaryEntry> summaries;

  bool empty() const { return entries.empty() && summaries.empty(); }
  bool operator==(const LoadUpdate&) const = default;
};

// Load totals of one service's servers in one failure domain.
struct LoadSummary {
  ServiceId service;
  DomainId domain;
  Duration age{};
  int servers = 0;  // Servers that accept new work.
  int running = 0;
  int waiting = 0;
  int slots = 0;
  int64_t queued_tokens = 0;

  bool operator==(const LoadSummary&) const = default;
};

// Converts a value to a level of a logarithmic scale with four levels per
// doubling: level 0 is zero, and adjacent levels differ by 19%.
uint8_t LevelOf(double value);
// Returns the value that a level stands for.
double ValueOf(uint8_t level);

struct LoadSpreadOptions {
  int pollers_per_server = 2;  // Instances that poll each server.
  Duration poll_interval = std::chrono::seconds(2);  // Per poller.
  Duration poll_timeout = std::chrono::milliseconds(1500);
  // A server whose figures are older than this is unusable.
  Duration max_usable_age = std::chrono::seconds(8);
  // An instance that isn't the server's poller polls it when the figures are
  // older than this.
  Duration stale_poll_age = std::chrono::seconds(6);
  // Rate limit of these extra polls, per instance.
  double stale_polls_per_s = 2;
  // A server's new figures are sent to neighbours at this interval, and
  // immediately after a large change.
  Duration publish_interval = std::chrono::milliseconds(1400);
  Duration traits_interval = std::chrono::seconds(12);
  Duration summary_interval = std::chrono::seconds(5);
  Duration max_summary_age = std::chrono::seconds(20);
  // With at most this many servers, figures per server are sent to every
  // domain.
  size_t full_detail_max_servers = 64;
  size_t max_update_bytes = 1200;  // Approximate size limit of one update.
};

// Action: poll this server's load now.
struct PollLoad {
  ServerInfo server;
};
// Action: send UpdateFor() to each neighbour now instead of with the next
// heartbeat.
struct SendUpdatesNow {};

using LoadAction = std::variant<PollLoad, SendUpdatesNow>;

// A server's latest figures, with their age at the time of the call.
struct KnownLoad {
  LoadReport report;
  bool direct = false;  // Polled by this instance, so not rounded to levels.
};

// The load figures that one instance knows. All calls take the current time,
// and actions for the caller are collected until TakeActions().
class LoadSpread {
 public:
  LoadSpread(InstanceInfo self, const LoadSpreadOptions& options, uint64_t seed,
             Time now);
  ~LoadSpread();
  LoadSpread(LoadSpread&&) noexcept;
  LoadSpread& operator=(LoadSpread&&) noexcept;

  // Replaces the server list, which the platform provides with some delay.
  // State of servers that are no longer listed is dropped.
  void SetServers(const std::vector<ServerInfo>& servers, Time now);
  // Replaces the list of live instances, this one included.
  void SetLiveInstances(const std::vector<InstanceInfo>& live, Time now);
  void OnLoadReport(const ServerId& server, const LoadReport& report, Time now);
  // Records that a poll failed. The server is polled again at its next poll
  // time.
  void OnPollFailed(const ServerId& server, Time now);
  // Records that the server is leaving, as learned from the platform's list, a
  // refused call or a notice.
  void OnLeaving(const ServerId& server, Time now);
  void OnUpdate(const InstanceId& from, const LoadUpdate& update, Time now);
  // Returns the figures that `neighbour` doesn't have yet, and records them as
  // sent.
  LoadUpdate UpdateFor(const InstanceId& neighbour, bool same_domain, Time now);

  void Tick(Time now);
  Time next_due() const;
  std::vector<LoadAction> TakeActions();

  // Returns true if the server isn't leaving and its figures are fresh enough
  // for new work. For a server of another domain without figures of its own, a
  // fresh summary with a usable server suffices.
  bool usable(const ServerId& server, Time now) const;
  bool leaving(const ServerId& server) const;
  std::optional<KnownLoad> Find(const ServerId& server, Time now) const;
  std::vector<LoadSummary> summaries(Time now) const;
  // Returns the servers that this instance polls.
  std::vector<ServerId> polled_here() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_LOAD_SPREAD_H_
