// Pacing of weight loads.
#include "oleander/weight_loading.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

WeightLoad Load(const std::string& server, int urgency = 0) {
  return {ServerId(server), "model", urgency};
}

BOOST_AUTO_TEST_SUITE(weight_loading)

BOOST_AUTO_TEST_CASE(starts_are_limited_and_paced) {
  WeightLoadQueue queue({.max_concurrent = 2, .spacing = seconds(1)});
  for (const char* server : {"a", "b", "c"}) queue.Add(kStart, Load(server));
  BOOST_TEST(queue.Start(kStart).size() == 1U);
  BOOST_TEST(queue.Start(kStart).empty());
  BOOST_TEST(queue.Start(kStart + seconds(1)).size() == 1U);
  BOOST_TEST(queue.Start(kStart + seconds(2)).empty());
  queue.OnLoaded(kStart + seconds(3), ServerId("a"));
  BOOST_TEST(queue.Start(kStart + seconds(3)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_most_urgent_goes_first) {
  WeightLoadQueue queue;
  queue.Add(kStart, Load("a"));
  queue.Add(kStart, Load("b", 1));
  BOOST_TEST((queue.Start(kStart) == std::vector{Load("b", 1)}));
}

BOOST_AUTO_TEST_CASE(throttling_delays_all_starts_and_loses_no_load) {
  WeightLoadQueue queue;
  queue.Add(kStart, Load("a"));
  queue.Add(kStart, Load("b"));
  queue.Start(kStart);
  queue.OnThrottled(kStart, ServerId("a"), seconds(20));
  BOOST_TEST(queue.Start(kStart + seconds(19)).empty());
  BOOST_TEST((queue.Start(kStart + seconds(20)) == std::vector{Load("a")}));
}

BOOST_AUTO_TEST_CASE(a_repeated_request_is_ignored) {
  WeightLoadQueue queue;
  queue.Add(kStart, Load("a"));
  queue.Add(kStart, Load("a"));
  BOOST_TEST(queue.Start(kStart).size() == 1U);
  queue.Add(kStart, Load("a"));
  BOOST_TEST(queue.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(a_load_that_never_ends_times_out) {
  WeightLoadQueue queue({.max_concurrent = 1, .load_timeout = seconds(60)});
  queue.Add(kStart, Load("a"));
  queue.Add(kStart, Load("b"));
  queue.Start(kStart);
  BOOST_TEST(queue.Start(kStart + seconds(60)).empty());
  BOOST_TEST((queue.Start(kStart + seconds(61)) == std::vector{Load("b")}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
