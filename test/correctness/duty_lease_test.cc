// A duty that one instance at a time holds, through the store port.
#include "entry/duty_lease.h"

#include <boost/test/unit_test.hpp>

#include "support/duty_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;

constexpr Duration kOrder = milliseconds(100);

BOOST_FIXTURE_TEST_SUITE(duty_lease, DutyFixture)

BOOST_AUTO_TEST_CASE(goes_to_one_instance_and_to_another_after_its_release) {
  int other_taken = 0;
  DutyLease other(entry.loop, store, entry.metrics(), ShortLease("two"), 2,
                  [&other_taken] { ++other_taken; });
  lease.Want(true);
  BOOST_TEST(Until([this] { return holds_duty(); }));
  const int64_t first = *lease.FenceFor(kOrder);
  other.Want(true);
  io::RunFor(entry.loop, milliseconds(500));
  BOOST_TEST(other_taken == 0);
  BOOST_TEST(!other.FenceFor(kOrder).has_value());
  lease.Want(false);
  BOOST_TEST(!holds_duty());
  BOOST_TEST(Until([&other] { return other.FenceFor(kOrder).has_value(); }));
  BOOST_TEST(*other.FenceFor(kOrder) > first);
}

BOOST_AUTO_TEST_CASE(ends_before_the_lease_expires_in_the_store) {
  lease.Want(true);
  BOOST_TEST(Until([this] { return holds_duty(); }));
  store.SetDown(true);
  BOOST_TEST(Until([this] { return !holds_duty(); }));
  // In the store the lease has not expired yet.
  const int renewals = store.renewals;
  store.SetDown(false);
  BOOST_TEST(Until([this] { return holds_duty(); }));
  BOOST_TEST(store.renewals >= renewals);
}

BOOST_AUTO_TEST_CASE(is_renewed_and_not_requested_again_while_it_is_held) {
  lease.Want(true);
  BOOST_TEST(Until([this] { return holds_duty(); }));
  const int writes = store.writes;
  const int renewals = store.renewals;
  BOOST_TEST(Until([&] { return store.renewals >= renewals + 5; }));
  BOOST_TEST(store.writes == writes);
  BOOST_TEST(holds_duty());
}

BOOST_AUTO_TEST_CASE(is_acquired_once_when_a_write_response_is_lost) {
  store.LoseWriteAnswers(1);
  int taken = 0;
  on_taken = [&taken] { ++taken; };
  lease.Want(true);
  BOOST_TEST(Until([this] { return holds_duty(); }));
  BOOST_TEST(taken == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
