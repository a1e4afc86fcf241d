// Where an instance gets a newer configuration from, and when.
#include "oleander/config_follower.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace oleander {
namespace {

using std::chrono::milliseconds;

const InstanceId kParent("parent");
const InstanceId kReader("reader");

struct FollowerFixture {
  FollowerFixture() {
    follower.Start(now);
    follower.SetFleet({.parent = kParent, .readers = {kReader}});
  }

  // Advances the time, and asks whatever is due meanwhile.
  void RunFor(Duration duration) {
    for (const Time end = now + duration; now < end; now += milliseconds(10)) {
      if (const auto source = follower.SourceDue(now)) {
        follower.OnAsked(now, *source);
        asked.push_back(source->peer);
      }
    }
  }

  ConfigFollower follower;
  Time now{};
  std::vector<InstanceId> asked;
};

BOOST_FIXTURE_TEST_SUITE(config_follower, FollowerFixture)

BOOST_AUTO_TEST_SUITE(without_a_configuration)

BOOST_AUTO_TEST_CASE(asks_the_parent_first) {
  RunFor(milliseconds(100));
  BOOST_TEST((asked == std::vector{kParent}));
}

BOOST_AUTO_TEST_CASE(waits_for_a_parent_that_has_none_either) {
  for (int i = 0; i < 9; ++i) {
    RunFor(milliseconds(300));
    follower.OnNothingNewer(now, kParent);
  }
  BOOST_TEST(std::ranges::all_of(
      asked, [](const InstanceId& peer) { return peer == kParent; }));
}

BOOST_AUTO_TEST_CASE(
    asks_a_reader_and_then_the_service_if_the_parent_is_silent) {
  RunFor(milliseconds(2000));
  BOOST_TEST_REQUIRE(asked.size() >= 4U);
  BOOST_TEST((asked[1] == kReader));
  BOOST_TEST(asked[3].empty());
}

BOOST_AUTO_TEST_CASE(reads_the_service_at_once_if_it_knows_no_peers) {
  follower.SetFleet({});
  RunFor(milliseconds(1100));
  BOOST_TEST((asked == std::vector{InstanceId()}));
}

BOOST_AUTO_TEST_SUITE_END()

struct SettledFixture : FollowerFixture {
  SettledFixture() {
    follower.OnApplied(now, 7);
    RunFor(milliseconds(5000));
    BOOST_TEST_REQUIRE(asked.empty());
  }
};

BOOST_FIXTURE_TEST_SUITE(with_a_configuration, SettledFixture)

BOOST_AUTO_TEST_CASE(asks_nobody_for_an_older_version) {
  follower.OnAnnounced(now, 7, kParent);
  follower.OnHeard(now, 6, kReader);
  RunFor(milliseconds(5000));
  BOOST_TEST(asked.empty());
}

BOOST_AUTO_TEST_CASE(asks_the_announcer_at_once) {
  follower.OnAnnounced(now, 8, kParent);
  BOOST_TEST((follower.SourceDue(now)->peer == kParent));
}

BOOST_AUTO_TEST_CASE(waits_a_moment_for_the_parents_announcement) {
  follower.OnHeard(now, 8, kReader);
  RunFor(milliseconds(400));
  BOOST_TEST(asked.empty());
  follower.OnAnnounced(now, 8, kParent);
  RunFor(milliseconds(20));
  BOOST_TEST((asked == std::vector{kParent}));
}

BOOST_AUTO_TEST_CASE(asks_the_one_it_heard_of_if_the_parent_is_silent) {
  follower.OnHeard(now, 8, kReader);
  RunFor(milliseconds(600));
  BOOST_TEST((asked == std::vector{kReader}));
}

BOOST_AUTO_TEST_CASE(asks_no_other_one_while_a_transfer_makes_progress) {
  follower.OnAnnounced(now, 8, kParent);
  RunFor(milliseconds(20));
  for (int part = 0; part < 10; ++part) {
    follower.OnProgress(now);
    RunFor(milliseconds(500));
  }
  BOOST_TEST((asked == std::vector{kParent}));
}

BOOST_AUTO_TEST_CASE(reads_the_service_at_last) {
  follower.OnAnnounced(now, 8, kParent);
  RunFor(milliseconds(2000));
  BOOST_TEST(std::ranges::count(asked, InstanceId()) == 1);
  BOOST_TEST((follower.behind_since() == now - milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(drops_a_version_that_the_service_does_not_have) {
  follower.OnHeard(now, 80, kReader);
  follower.OnConfirmed(now - milliseconds(1));
  BOOST_TEST(follower.is_behind());
  follower.OnConfirmed(now);
  BOOST_TEST(!follower.is_behind());
}

BOOST_AUTO_TEST_CASE(goes_on_to_a_version_that_came_meanwhile) {
  follower.OnAnnounced(now, 8, kParent);
  RunFor(milliseconds(20));
  follower.OnAnnounced(now, 9, kParent);
  follower.OnApplied(now, 8);
  BOOST_TEST((follower.SourceDue(now)->peer == kParent));
  follower.OnApplied(now, 9);
  BOOST_TEST(!follower.SourceDue(now).has_value());
}

BOOST_AUTO_TEST_CASE(is_superseded_if_it_stays_behind_others_within_reach) {
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(!follower.is_superseded(now));
    follower.OnHeard(now, 8, kReader);
    RunFor(milliseconds(320));
  }
  BOOST_TEST(follower.is_superseded(now));
  follower.OnApplied(now, 8);
  BOOST_TEST(!follower.is_superseded(now));
}

BOOST_AUTO_TEST_CASE(goes_on_with_its_own_version_once_it_is_cut_off) {
  follower.OnHeard(now, 8, kReader);
  RunFor(milliseconds(400));
  follower.OnHeard(now, 8, kReader);
  RunFor(milliseconds(2100));
  BOOST_TEST(follower.is_behind());
  BOOST_TEST(!follower.is_superseded(now));
}

BOOST_AUTO_TEST_CASE(leaves_reading_to_the_schedule_of_a_reader) {
  follower.SetFleet({.is_reader = true, .readers = {kReader}});
  follower.OnAnnounced(now, 8, kReader);
  RunFor(milliseconds(5000));
  BOOST_TEST(std::ranges::count(asked, InstanceId()) == 0);
  BOOST_TEST((asked.front() == kReader));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
