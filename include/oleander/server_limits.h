// Divides the request rate that a backend server names among all instances.
//
// A server that is short of capacity names in its answers how many calls a
// second it takes from all instances together. Time is divided into turns, as
// many a second as the server takes calls, and each turn belongs to one
// instance, in rotation over the live ones. An instance sends at most one call
// in each of its turns. So the instances together stay within the limit without
// asking each other for each call, however many they are.
//
// An instance whose list of live instances or whose clock differs takes some
// turns that others take, too; the sum is then exceeded by its share of them.
//
// Instances pass on what servers told them. The newest report of a server
// counts, also one that lifts the limit.
//
//   ServerLimits limits;
//   limits.SetInstances(live, self);
//   limits.OnAnswer(now, server, started_ms, 2.5);
//   if (limits.MaySend(now, server, started_ms, self)) {
//     limits.OnSent(now, server);
//   }
//
// Designed for hundreds of instances of which each sends a few calls a second,
// and for limits far below the usual load.
#ifndef OLEANDER_SERVER_LIMITS_H_
#define OLEANDER_SERVER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct ServerLimitsOptions {
  // How long peers are told of a report. Each instance polls several times
  // during it.
  Duration announce_time = std::chrono::seconds(10);
  // A limit is dropped if no instance heard of it for this long.
  Duration max_age = std::chrono::minutes(2);
  // A call may still use a turn for this long after its end: the placer grants
  // it, and the grant takes a round trip within the region.
  Duration grace = std::chrono::milliseconds(60);
};

// What one run of a server said about its limit, `age` ago.
struct ServerLimitReport {
  ServerId server;
  int64_t started_ms = 0;  // As listed, in Unix milliseconds; 0 if unknown.
  double per_s = 0;        // Calls a second; 0: the server names no limit.
  Duration age{};
};

class ServerLimits {
 public:
  explicit ServerLimits(ServerLimitsOptions options = {}) : options_(options) {}

  // Sets the live instances, this one included. Until then, a server with a
  // limit gets no calls.
  void SetInstances(std::vector<InstanceId> live, InstanceId self);
  // Sets the conversion to the time of day on which the instances agree.
  void SetClock(std::function<WallTime(Time)> wall_time) {
    wall_time_ = std::move(wall_time);
  }

  // Records an answer of the server and the limit that it named, if any.
  // Returns whether the limit is new, has changed or has ended.
  bool OnAnswer(Time now, const ServerId& server, int64_t started_ms,
                std::optional<double> per_s);
  // Records a report that a peer passed on; ignored unless it is newer than
  // what is known. Returns whether the limit is new, has changed or has ended.
  bool OnPeerReport(Time now, const ServerLimitReport& report);
  // Returns the reports of the last announce_time, for peers.
  std::vector<ServerLimitReport> RecentReports(Time now) const;

  // Returns whether `sender` may send a call to this run of the server now.
  // Without a sender, this instance.
  bool MaySend(Time now, const ServerId& server, int64_t started_ms,
               const std::optional<InstanceId>& sender = std::nullopt) const;
  // Records a call sent to the server, by this instance or by one that this
  // instance placed it for.
  void OnSent(Time now, const ServerId& server);
  // Returns the start of the next turn of this instance at the server, or
  // nothing if the server named no limit or the instances are unknown.
  std::optional<Time> NextTurn(Time now, const ServerId& server,
                               int64_t started_ms) const;

 private:
  struct Limit {
    int64_t started_ms = 0;
    double per_s = 0;
    Time reported_at;
    int64_t used_turn = 0;  // The last one in which a call was sent.
  };
  // Returns the limit of this run of the server, or null if it names none.
  const Limit* Find(Time now, const ServerId& server, int64_t started_ms) const;
  bool Apply(Time now, const ServerLimitReport& report);
  int64_t TurnAt(Time now, const Limit& limit) const;
  // Returns the index of the instance to which the turn belongs.
  size_t OwnerOf(const ServerId& server, int64_t turn) const;
  std::optional<size_t> IndexOf(const InstanceId& instance) const;

  ServerLimitsOptions options_;
  std::function<WallTime(Time)> wall_time_ = [](Time now) {
    return WallTime(now.time_since_epoch());
  };
  std::vector<InstanceId> live_;  // Sorted.
  InstanceId self_;
  absl::flat_hash_map<ServerId, Limit> limits_;
};

}  // namespace oleander

#endif  // OLEANDER_SERVER_LIMITS_H_
