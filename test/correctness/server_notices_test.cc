// Notices of servers hold until the server starts again.
#include "oleander/server_notices.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const ServerId kServer("engine-1");

BOOST_AUTO_TEST_SUITE(server_notices)

BOOST_AUTO_TEST_CASE(a_server_is_leaving_until_a_later_start) {
  ServerNotices notices;
  BOOST_TEST(!notices.leaving(kServer, 7));
  BOOST_TEST(notices.OnLeaving(Time(), {.server = kServer, .started_ms = 7}));
  BOOST_TEST(!notices.OnLeaving(Time(), {.server = kServer, .started_ms = 7}));
  // A peer may know only of an earlier run.
  BOOST_TEST(!notices.OnLeaving(Time(), {.server = kServer, .started_ms = 3}));
  BOOST_TEST(notices.leaving(kServer, 7));
  BOOST_TEST(notices.leaving(kServer, 3));
  BOOST_TEST(!notices.leaving(kServer, 8));
  BOOST_TEST(notices.OnLeaving(Time(), {.server = kServer, .started_ms = 8}));
  BOOST_TEST(notices.leaving(kServer, 8));
}

BOOST_AUTO_TEST_CASE(peers_are_notified_for_some_seconds) {
  ServerNotices notices;
  notices.OnLeaving(Time(), {.server = kServer, .started_ms = 7});
  const LeavingNotice expected{.server = kServer, .started_ms = 7};
  BOOST_TEST_REQUIRE(notices.recent_leaving(Time(seconds(9))).size() == 1U);
  BOOST_TEST((notices.recent_leaving(Time(seconds(9))).front() == expected));
  BOOST_TEST(notices.recent_leaving(Time(seconds(11))).empty());
  BOOST_TEST(notices.leaving(kServer, 7));
}

BOOST_AUTO_TEST_CASE(a_pause_ends_with_its_time_or_with_a_later_start) {
  ServerNotices notices;
  notices.OnPauseRequested(Time(), kServer, 7, seconds(4));
  BOOST_TEST(
      (notices.pause_until(Time(seconds(3)), kServer, 7) == Time(seconds(4))));
  BOOST_TEST(!notices.pause_until(Time(seconds(4)), kServer, 7).has_value());
  BOOST_TEST(!notices.pause_until(Time(seconds(3)), kServer, 8).has_value());
  // An answer that arrives late may request a pause that ends earlier.
  notices.OnPauseRequested(Time(seconds(1)), kServer, 7, seconds(1));
  BOOST_TEST(
      (notices.pause_until(Time(seconds(3)), kServer, 7) == Time(seconds(4))));
}

BOOST_AUTO_TEST_CASE(a_pause_is_bounded) {
  ServerNotices notices;
  notices.OnPauseRequested(Time(), kServer, 7, std::chrono::hours(20));
  BOOST_TEST((notices.pause_until(Time(), kServer, 7) == Time(minutes(10))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
