// Keeps brittle servers from having to turn many calls away.
//
// A brittle server names in its answers how many calls it may have to turn away
// in a second, for want of room, before it falls over. While it does, it gets
// no call that would have to wait there, and after each call that it turned
// away this instance pauses, so that all instances together stay below half of
// that number.
//
//   BrittleServers brittle;
//   brittle.SetInstances(8);
//   brittle.OnAnswer(now, server, started_ms,
//                    {.bound_per_s = 10, .turned_away = true});
//   brittle.MaySend(now, server, started_ms);  // false for 1.6 s
//
// Designed for overload during which servers also let fewer calls wait.
#ifndef OLEANDER_BRITTLE_SERVERS_H_
#define OLEANDER_BRITTLE_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct BrittleServersOptions {
  // Share of the bound that all instances together use.
  double used_share = 0.5;
  Duration max_pause = std::chrono::seconds(3);
  // A server that has not answered for this long counts as sound again.
  Duration max_age = std::chrono::seconds(30);
};

class BrittleServers {
 public:
  struct Answer {
    // Calls a second that the server may turn away; nothing if it names none.
    std::optional<double> bound_per_s = std::nullopt;
    bool turned_away = false;
  };

  explicit BrittleServers(BrittleServersOptions options = {})
      : options_(options) {}

  // Sets the number of live instances.
  void SetInstances(size_t instances) { instances_ = instances; }
  // Records an answer of this run of the server. Returns whether the server has
  // become brittle or sound.
  bool OnAnswer(Time now, const ServerId& server, int64_t started_ms,
                const Answer& answer);

  // Returns whether this run of the server is brittle.
  bool brittle(Time now, const ServerId& server, int64_t started_ms) const {
    return Find(now, server, started_ms) != nullptr;
  }
  // Returns whether no pause holds.
  bool MaySend(Time now, const ServerId& server, int64_t started_ms) const {
    return !PausedUntil(now, server, started_ms);
  }
  // Returns the end of the pause; nothing if there is none.
  std::optional<Time> PausedUntil(Time now, const ServerId& server,
                                  int64_t started_ms) const;

 private:
  struct Brittle {
    int64_t started_ms = 0;
    Time answered_at;
    Time paused_until;
  };
  // Returns null if this run of the server is sound.
  const Brittle* Find(Time now, const ServerId& server,
                      int64_t started_ms) const;

  BrittleServersOptions options_;
  size_t instances_ = 1;
  absl::flat_hash_map<ServerId, Brittle> servers_;
};

}  // namespace oleander

#endif  // OLEANDER_BRITTLE_SERVERS_H_
