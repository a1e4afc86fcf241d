// A number that falls for a while isn't taken for the new one at once.
#include "oleander/recent_maximum.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::minutes;

BOOST_AUTO_TEST_SUITE(a_recent_maximum)

BOOST_AUTO_TEST_CASE(rises_at_once) {
  RecentMaximum most(minutes(30));
  BOOST_TEST(most.Observe(Time{}, 3) == 3U);
  BOOST_TEST(most.Observe(Time{}, 8) == 8U);
}

BOOST_AUTO_TEST_CASE(falls_after_its_memory_step_by_step) {
  RecentMaximum most(minutes(30));
  most.Observe(Time{}, 8);
  BOOST_TEST(most.Observe(Time{} + minutes(10), 6) == 8U);
  BOOST_TEST(most.Observe(Time{} + minutes(20), 4) == 8U);
  BOOST_TEST(most.Observe(Time{} + minutes(30), 4) == 8U);
  BOOST_TEST(most.Observe(Time{} + minutes(31), 4) == 6U);
  BOOST_TEST(most.Observe(Time{} + minutes(41), 4) == 4U);
}

BOOST_AUTO_TEST_CASE(keeps_a_value_that_is_seen_again) {
  RecentMaximum most(minutes(30));
  most.Observe(Time{}, 8);
  most.Observe(Time{} + minutes(20), 8);
  BOOST_TEST(most.Observe(Time{} + minutes(45), 4) == 8U);
  BOOST_TEST(most.Observe(Time{} + minutes(51), 4) == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
