// The time of day that instances agree on.
//
// An instance reads its own time of day once, at its start, and goes on by its
// steady clock, so that a time of day that jumps later changes nothing. Peers
// tell their agreed time with each answer; where a majority of them agrees on
// another time than this instance, that one is taken: a process that starts on
// a machine whose time of day has jumped follows those that know better. Births
// of backend servers bear it out: the time is never before them.
//
//   AgreedClock clock(loop.now(), wall_now);
//   clock.OnPeerTime(now, peer, its_time, round_trip);
//   WallTime time = clock.At(now);
//
// Load it answers: the time of day jumps by seconds to hours on many machines,
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
  // Clocks that differ by less than this agree; windows of usage may be off by
  // a twentieth of five seconds.
  Duration tolerance = std::chrono::milliseconds(150);
  // An answer that took longer says too little about the time.
  Duration max_round_trip = std::chrono::milliseconds(200);
  // How long a peer's word counts.
  Duration vote_lifetime = std::chrono::seconds(10);
  // So many servers must be born later than now before the clock is taken to be
  // behind: one entry may come from a writer with a wrong time.
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

  // A peer's agreed time at about half of the round trip that ends now. Gives
  // the change of this clock, where there is one.
  std::optional<Duration> OnPeerTime(Time now, const InstanceId& peer,
                                     WallTime time, Duration round_trip);
  // When the listed servers were born. Gives the change of this clock.
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
