// The time of day on which the instances agree.
//
// An instance reads its system time once, at its start, and then advances it by
// its monotonic clock, so that later jumps of the system time have no effect.
// Peers send their agreed time with each answer. If a majority of the votes,
// this instance's own included, agrees on another time, the instance adopts it;
// this corrects a process that starts on a machine whose system time has
// jumped. Backend servers' start times are a second check: a clock that is
// behind several of them is moved forward.
//
//   AgreedClock clock(loop.now(), wall_now);
//   clock.OnPeerTime(now, peer, its_time, round_trip);
//   WallTime time = clock.At(now);
//
// Handles jumps of the system time by seconds to hours on many machines,
// forward or back, while processes run and while they restart.
#ifndef OLEANDER_AGREED_CLOCK_H_
#define OLEANDER_AGREED_CLOCK_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct AgreedClockOptions {
  // Clocks that differ by less than this agree. Usage windows may be off by a
  // twentieth of five seconds, 250 ms.
  Duration tolerance = std::chrono::milliseconds(150);
  // An answer with a longer round trip is too inaccurate a measurement.
  Duration max_round_trip = std::chrono::milliseconds(200);
  // How long a peer's vote counts.
  Duration vote_lifetime = std::chrono::seconds(10);
  // The clock is behind only if at least this many servers started later than
  // now: a single entry may be from a writer with a wrong clock.
  size_t min_later_starts = 3;
};

class AgreedClock {
 public:
  AgreedClock(Time now, WallTime wall, AgreedClockOptions options = {})
      : options_(options),
        offset_(wall.time_since_epoch() - now.time_since_epoch()) {}

  WallTime At(Time now) const {
    return WallTime(now.time_since_epoch() + offset_);
  }

  // Records a peer's agreed time, taken as of half of the round trip that ends
  // now. Returns the change of this clock, if any.
  std::optional<Duration> OnPeerTime(Time now, const InstanceId& peer,
                                     WallTime time, Duration round_trip);
  // Compares the clock with the start times of the listed servers. Returns the
  // change of this clock, if any.
  std::optional<Duration> OnServerStarts(Time now,
                                         std::vector<WallTime> starts);

 private:
  struct Vote {
    Duration offset{};
    Time received_at;
  };
  std::optional<Duration> Adopt(Duration offset);

  AgreedClockOptions options_;
  Duration offset_;
  absl::flat_hash_map<InstanceId, Vote> votes_;
};

}  // namespace oleander

#endif  // OLEANDER_AGREED_CLOCK_H_
