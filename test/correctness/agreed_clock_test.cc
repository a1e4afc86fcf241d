// Instances agree on the time of day while the system time of many machines
// jumps.
#include "oleander/agreed_clock.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "oleander/usage_windows.h"

namespace oleander {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WallTime kTrueStart(std::chrono::hours(500'000));
constexpr Duration kTrip = milliseconds(40);

WallTime TrueTime(Time now) { return kTrueStart + now.time_since_epoch(); }

// A group of instances, each with a system time that may be wrong at its start.
class Clocks {
 public:
  void Start(Duration off) { clocks_.emplace_back(now_, TrueTime(now_) + off); }
  void Restart(size_t index, Duration off) {
    clocks_[index] = AgreedClock(now_, TrueTime(now_) + off);
  }
  // Each instance receives the time of up to five others every 700 ms, like the
  // answers to quota requests.
  void Run(Duration length) {
    for (const Time end = now_ + length; now_ < end;
         now_ += milliseconds(700)) {
      for (size_t i = 0; i < clocks_.size(); ++i) {
        for (size_t step = 1; step <= 5; ++step) {
          ReceiveTime(i, (i + step * 2) % clocks_.size());
        }
      }
    }
  }
  Duration WorstError() const {
    Duration worst{};
    for (const AgreedClock& clock : clocks_) {
      worst = std::max<Duration>(
          worst, std::chrono::abs(clock.At(now_) - TrueTime(now_)));
    }
    return worst;
  }
  size_t size() const { return clocks_.size(); }
  Time now() const { return now_; }
  AgreedClock& clock(size_t index) { return clocks_[index]; }

 private:
  void ReceiveTime(size_t from, size_t to) {
    if (from != to) {
      clocks_[from].OnPeerTime(now_, InstanceId("node-" + std::to_string(to)),
                               clocks_[to].At(now_ - kTrip / 2), kTrip);
    }
  }

  Time now_{};
  std::vector<AgreedClock> clocks_;
};

BOOST_AUTO_TEST_SUITE(agreed_clock)

BOOST_AUTO_TEST_CASE(advances_by_the_monotonic_clock) {
  const AgreedClock clock(Time(seconds(5)), kTrueStart);
  BOOST_TEST((clock.At(Time(seconds(9))) == kTrueStart + seconds(4)));
}

BOOST_AUTO_TEST_SUITE(an_instance_that_starts_with_a_wrong_time)

BOOST_AUTO_TEST_CASE(follows_the_majority) {
  for (const Duration off : {Duration(seconds(7)), Duration(-seconds(90)),
                             Duration(hours(1)), Duration(-hours(1))}) {
    Clocks clocks;
    for (int i = 0; i < 9; ++i) {
      clocks.Start(milliseconds(i * 5));
    }
    clocks.Run(seconds(3));
    // A third of the instances restarts with a wrong system time.
    for (size_t i = 0; i < clocks.size(); i += 3) {
      clocks.Restart(i, off);
    }
    clocks.Run(seconds(3));
    BOOST_TEST((clocks.WorstError() < milliseconds(250)));
  }
}

// Running instances keep the agreed time, so they are a sufficient majority
// even when nine tenths restart one after the other.
BOOST_AUTO_TEST_CASE(is_corrected_while_most_machines_are_wrong) {
  Clocks clocks;
  for (int i = 0; i < 20; ++i) {
    clocks.Start(Duration::zero());
  }
  clocks.Run(seconds(3));
  for (size_t i = 0; i < 18; ++i) {
    clocks.Restart(i, (i % 2 == 0 ? 1 : -1) * Duration(seconds(10 + i)));
    clocks.Run(seconds(2));
  }
  BOOST_TEST((clocks.WorstError() < milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(is_not_misled_by_a_single_peer) {
  Clocks clocks;
  clocks.Start(Duration::zero());
  clocks.clock(0).OnPeerTime(clocks.now(), InstanceId("wrong"),
                             kTrueStart + seconds(50), kTrip);
  BOOST_TEST((clocks.WorstError() == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(ignores_answers_with_a_long_round_trip) {
  AgreedClock clock(Time(), kTrueStart);
  for (int peer = 0; peer < 5; ++peer) {
    clock.OnPeerTime(Time(seconds(2)), InstanceId(std::to_string(peer)),
                     kTrueStart, seconds(2));
  }
  BOOST_TEST((clock.At(Time(seconds(2))) == kTrueStart + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(births_of_servers)

BOOST_AUTO_TEST_CASE(show_a_clock_that_is_behind) {
  AgreedClock clock(Time(), kTrueStart - hours(1));
  const std::vector<WallTime> start_times = {
      kTrueStart - seconds(30), kTrueStart - seconds(3),
      kTrueStart - seconds(2), kTrueStart - seconds(1)};
  BOOST_TEST(clock.OnServerStarts(Time(), start_times).has_value());
  BOOST_TEST((clock.At(Time()) == kTrueStart - seconds(3)));
}

BOOST_AUTO_TEST_CASE(of_one_writer_prove_nothing) {
  AgreedClock clock(Time(), kTrueStart);
  BOOST_TEST(
      !clock.OnServerStarts(Time(), {kTrueStart + hours(9)}).has_value());
  BOOST_TEST(!clock
                  .OnServerStarts(Time(),
                                  {kTrueStart + hours(9), kTrueStart - hours(1),
                                   kTrueStart - hours(2)})
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(usage_counts_move_with_a_clock_correction) {
  const WorkspaceId bakery("bakery");
  UsageWindows usage(seconds(5));
  const WallTime wrong = kTrueStart + seconds(3600);
  usage.CountStarted(wrong, bakery);
  usage.CountStarted(wrong + seconds(5), bakery);
  usage.Shift(-seconds(3600));
  BOOST_TEST(usage.windows().size() == 2U);
  BOOST_TEST(usage.windows().begin()->first == usage.WindowOf(kTrueStart));
  usage.Shift(milliseconds(200));
  BOOST_TEST(usage.windows().begin()->first == usage.WindowOf(kTrueStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
