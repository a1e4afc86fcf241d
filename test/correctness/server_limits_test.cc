// Request rates that servers name, divided among the instances.
#include "oleander/server_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>
#include <vector>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId kServer("i-1");
const InstanceId kSelf("self");
constexpr int64_t kStartedMs = 1000;
constexpr double kPerS = 2.4;
// What a server accepts beyond its limit: see LIMIT in the users' rules.
constexpr Duration kWindow = seconds(4);
constexpr double kAllowedShare = 1.5;
constexpr double kAllowedMore = 5;

InstanceId InstanceName(int index) {
  return InstanceId("entry-" + std::to_string(index));
}

std::vector<InstanceId> InstanceNames(int count) {
  std::vector<InstanceId> names(static_cast<size_t>(count));
  int index = 0;
  std::ranges::generate(names, [&index] { return InstanceName(index++); });
  return names;
}

// Instances that know the limit and send to the server whenever they may.
class Fleet {
 public:
  Fleet(int size, double per_s) : per_s_(per_s), limits_(size) {
    const std::vector<InstanceId> live = InstanceNames(size);
    for (int i = 0; i < size; ++i) {
      limits_[i].SetInstances(live, InstanceName(i));
      limits_[i].OnAnswer(now, kServer, kStartedMs, per_s);
    }
  }

  // Each instance tries to send `tries_per_s` times a second.
  void Run(Duration time, int tries_per_s) {
    const Duration step = Duration(seconds(1)) / tries_per_s;
    for (const Time end = now + time; now < end; now += step) {
      for (ServerLimits& limits : limits_) {
        if (limits.MaySend(now, kServer, kStartedMs)) {
          limits.OnSent(now, kServer);
          sent_.push_back(now);
        }
      }
    }
  }

  ServerLimits& operator[](int index) { return limits_[index]; }

  size_t sent() const { return sent_.size(); }
  // Returns the most calls in any window, over what the server accepts.
  double HighestShare() const {
    size_t most = 0;
    for (auto first = sent_.begin(); first != sent_.end(); ++first) {
      const auto last = std::ranges::upper_bound(sent_, *first + kWindow);
      most = std::max(most, static_cast<size_t>(last - first));
    }
    const double allowed = kAllowedShare * per_s_ *
                               std::chrono::duration<double>(kWindow).count() +
                           kAllowedMore;
    return static_cast<double>(most) / allowed;
  }

  Time now = Time(seconds(1000));

 private:
  double per_s_;
  std::vector<ServerLimits> limits_;
  std::vector<Time> sent_;
};

struct Single {
  Single() { limits.SetInstances({kSelf}, kSelf); }
  bool MaySend(int64_t started_ms = kStartedMs) const {
    return limits.MaySend(now, kServer, started_ms);
  }
  Time now = Time(seconds(1000));
  ServerLimits limits;
};

BOOST_AUTO_TEST_SUITE(server_limits)

BOOST_AUTO_TEST_SUITE(of_a_fleet)

BOOST_AUTO_TEST_CASE(are_kept_and_used_by_8_and_by_360_instances) {
  for (const int size : {8, 360}) {
    for (const double per_s : {0.5, kPerS, 40.0}) {
      Fleet fleet(size, per_s);
      constexpr Duration kTime = seconds(40);
      fleet.Run(kTime, 100);
      BOOST_TEST(fleet.HighestShare() <= 1);
      BOOST_TEST(static_cast<double>(fleet.sent()) >=
                 0.7 * per_s * std::chrono::duration<double>(kTime).count());
    }
  }
}

BOOST_AUTO_TEST_CASE(are_kept_while_clocks_differ) {
  Fleet fleet(8, kPerS);
  for (int i = 0; i < 8; ++i) {
    const Duration ahead = milliseconds(20) * i;
    fleet[i].SetClock(
        [ahead](Time now) { return WallTime(now.time_since_epoch() + ahead); });
  }
  fleet.Run(seconds(40), 100);
  BOOST_TEST(fleet.HighestShare() <= 1);
}

BOOST_AUTO_TEST_CASE(are_kept_while_one_instance_is_unknown_to_half_of_them) {
  Fleet fleet(8, kPerS);
  const std::vector<InstanceId> fewer = InstanceNames(7);
  for (int i = 0; i < 4; ++i) {
    fleet[i].SetInstances(fewer, InstanceName(i));
  }
  fleet.Run(seconds(40), 100);
  BOOST_TEST(fleet.HighestShare() <= 1);
}

BOOST_AUTO_TEST_CASE(give_a_turn_to_the_instance_that_a_call_is_placed_for) {
  Fleet fleet(2, kPerS);
  ServerLimits& placer = fleet[0];
  int placed = 0;
  for (const Time end = fleet.now + seconds(10); fleet.now < end;
       fleet.now += milliseconds(10)) {
    if (placer.MaySend(fleet.now, kServer, kStartedMs, InstanceName(1))) {
      BOOST_TEST(fleet[1].MaySend(fleet.now, kServer, kStartedMs));
      placer.OnSent(fleet.now, kServer);
      fleet[1].OnSent(fleet.now, kServer);
      ++placed;
    }
  }
  BOOST_TEST(placed >= 10);
  BOOST_TEST(placed <= 13);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_one_server)

BOOST_FIXTURE_TEST_CASE(hold_until_it_answers_without_one, Single) {
  BOOST_TEST(MaySend());
  BOOST_TEST(limits.OnAnswer(now, kServer, kStartedMs, kPerS));
  BOOST_TEST(!limits.OnAnswer(now, kServer, kStartedMs, kPerS));
  BOOST_TEST(!MaySend());
  BOOST_TEST(limits.OnAnswer(now, kServer, kStartedMs, std::nullopt));
  BOOST_TEST(MaySend());
  BOOST_TEST(!limits.OnAnswer(now, kServer, kStartedMs, std::nullopt));
}

BOOST_FIXTURE_TEST_CASE(end_with_a_later_start_of_the_server, Single) {
  limits.OnAnswer(now, kServer, kStartedMs, kPerS);
  BOOST_TEST(!MaySend(kStartedMs));
  BOOST_TEST(MaySend(kStartedMs + 1));
}

BOOST_FIXTURE_TEST_CASE(name_the_time_of_the_next_turn, Single) {
  BOOST_TEST(!limits.NextTurn(now, kServer, kStartedMs).has_value());
  limits.OnAnswer(now, kServer, kStartedMs, kPerS);
  const auto next = limits.NextTurn(now, kServer, kStartedMs);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((*next > now));
  BOOST_TEST((*next - now <= milliseconds(417)));
  now = *next + milliseconds(1);
  BOOST_TEST(MaySend());
}

BOOST_FIXTURE_TEST_CASE(stop_all_calls_while_the_instances_are_unknown,
                        Single) {
  limits.SetInstances({}, kSelf);
  limits.OnAnswer(now, kServer, kStartedMs, kPerS);
  now += seconds(5);
  BOOST_TEST(!MaySend());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_peers)

BOOST_FIXTURE_TEST_CASE(count_only_if_newer, Single) {
  ServerLimits peer;
  peer.OnAnswer(now, kServer, kStartedMs, kPerS);
  now += seconds(1);
  const auto reports = peer.RecentReports(now);
  BOOST_TEST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports.front().age == seconds(1)));
  BOOST_TEST(limits.OnPeerReport(now, reports.front()));
  BOOST_TEST(!MaySend());
  limits.OnAnswer(now, kServer, kStartedMs, std::nullopt);
  BOOST_TEST(!limits.OnPeerReport(now, reports.front()));
  BOOST_TEST(MaySend());
}

BOOST_FIXTURE_TEST_CASE(end_a_limit_everywhere, Single) {
  limits.OnAnswer(now, kServer, kStartedMs, kPerS);
  ServerLimits peer;
  peer.OnAnswer(now, kServer, kStartedMs, kPerS);
  now += seconds(1);
  peer.OnAnswer(now, kServer, kStartedMs, std::nullopt);
  BOOST_TEST(limits.OnPeerReport(now, peer.RecentReports(now).front()));
  BOOST_TEST(MaySend());
  // The end is passed on for a while only, though answers go on.
  for (int i = 0; i < 20; ++i) {
    now += seconds(1);
    peer.OnAnswer(now, kServer, kStartedMs, std::nullopt);
  }
  BOOST_TEST(peer.RecentReports(now).empty());
}

BOOST_FIXTURE_TEST_CASE(are_ignored_if_the_rate_is_no_rate, Single) {
  for (const double per_s : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity(), 1e12}) {
    BOOST_TEST(!limits.OnPeerReport(
        now, {.server = kServer, .started_ms = kStartedMs, .per_s = per_s}));
  }
  BOOST_TEST(MaySend());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
