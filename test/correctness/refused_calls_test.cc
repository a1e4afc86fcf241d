#include "oleander/refused_calls.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace oleander {
namespace {

BOOST_AUTO_TEST_SUITE(refused_calls)

BOOST_AUTO_TEST_CASE(a_new_connection_carries_every_call) {
  BOOST_TEST(RefusedCalls().MayCarry("9c41"));
}

BOOST_AUTO_TEST_CASE(a_refused_call_is_not_carried_again) {
  RefusedCalls refused;
  refused.Add("9c41");
  BOOST_TEST(!refused.MayCarry("9c41"));
  BOOST_TEST(refused.MayCarry("9c4"));
  BOOST_TEST(refused.MayCarry("77aa"));
  refused.Add("77aa");
  BOOST_TEST(!refused.MayCarry("9c41"));
  BOOST_TEST(!refused.MayCarry("77aa"));
}

BOOST_AUTO_TEST_CASE(no_refused_call_is_forgotten) {
  RefusedCalls refused;
  for (size_t call = 0; call < 2 * RefusedCalls::kMaxCalls; ++call) {
    refused.Add(std::to_string(call));
    for (size_t earlier = 0; earlier <= call; ++earlier) {
      BOOST_TEST(!refused.MayCarry(std::to_string(earlier)));
    }
    BOOST_TEST(refused.MayCarry("another") ==
               (call + 1 < RefusedCalls::kMaxCalls));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
