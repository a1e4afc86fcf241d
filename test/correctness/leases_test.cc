// Leases: one holder at a time, fencing numbers, lost replies and suspended
// holders.
#include "oleander/leases.h"

#include <boost/test/unit_test.hpp>

#include "oleander/result_code.h"
#include "support/fake_store.h"

namespace oleander::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A lease keeper connected to a store. Tests can take the store down, expire
// the lease and lose the reply to a transaction.
struct Holder {
  explicit Holder(const std::string& name, FakeStore& fake, Time now)
      : store(fake),
        keeper({.duty = "capacity/a", .self = InstanceId(name)}, 7, now) {}

  void Execute(Time now) {
    for (bool more = true; more;) {
      more = false;
      for (LeaseAction& action : keeper.TakeActions()) {
        more = true;
        if (auto* request = std::get_if<StoreRequest>(&action)) {
          std::visit([&](auto& r) { Answer(r, now); }, *request);
        } else if (auto* taken = std::get_if<LeaseTaken>(&action)) {
          fences.push_back(taken->fence);
        } else {
          ++drops;
        }
      }
    }
  }
  void Tick(Time now) {
    keeper.Tick(now);
    Execute(now);
  }
  void RunUntil(Time& now, Time end) {
    while (now < end) {
      now += milliseconds(100);
      Tick(now);
    }
  }

  void Answer(const StoreRange& request, Time now) {
    if (store_down) {
      keeper.OnRange(request.call,
                     MakeError(ResultCode::kStoreUnavailable, "Down."), now);
      return;
    }
    keeper.OnRange(request.call, store.Range(request), now);
  }
  void Answer(const StoreCas& request, Time now) {
    const StoreCasAnswer answer = store.Cas(request);
    if (lose_next_cas) {
      lose_next_cas = false;
      keeper.OnCas(request.call,
                   MakeError(ResultCode::kStoreAnswerLost, "Lost."), now);
      return;
    }
    keeper.OnCas(request.call, answer, now);
  }
  void Answer(const StoreLeaseGrant& request, Time now) {
    lease = store.Grant();
    keeper.OnLease(request.call,
                   StoreLeaseAnswer{.lease = lease, .ttl = request.ttl}, now);
  }
  void Answer(const StoreLeaseKeepAlive& request, Time now) {
    if (store_down) {
      keeper.OnLease(request.call,
                     MakeError(ResultCode::kStoreUnavailable, "Down."), now);
      return;
    }
    keeper.OnLease(
        request.call,
        StoreLeaseAnswer{.lease = request.lease,
                         .ttl = expired ? Duration::zero() : seconds(10)},
        now);
  }
  void Answer(const StoreLeaseRevoke& request, Time) {
    store.ExpireLease(request.lease);
  }
  void Answer(const StoreWatch&, Time) {}
  void Answer(const StoreCancelWatch&, Time) {}

  FakeStore& store;
  LeaseKeeper keeper;
  StoreLeaseId lease = 0;
  bool lose_next_cas = false;
  bool store_down = false;
  bool expired = false;
  std::vector<int64_t> fences;
  int drops = 0;
};

struct Fixture {
  FakeStore store;
  Time now = Time(seconds(100));
};

BOOST_FIXTURE_TEST_SUITE(lease_keeper, Fixture)

BOOST_AUTO_TEST_CASE(one_of_two_holds_and_the_next_has_a_higher_fence) {
  Holder a("a", store, now);
  Holder b("b", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  b.keeper.Want(true, now);
  b.Tick(now);
  BOOST_TEST(a.keeper.FenceFor(now, seconds(1)).has_value());
  BOOST_TEST(!b.keeper.FenceFor(now, seconds(1)).has_value());
  BOOST_TEST(b.keeper.holder() == InstanceId("a"));
  a.keeper.Want(false, now);
  a.Execute(now);
  b.RunUntil(now, now + seconds(5));
  BOOST_REQUIRE(b.fences.size() == 1u);
  BOOST_TEST(b.fences.front() > a.fences.front());
}

BOOST_AUTO_TEST_CASE(a_lost_reply_is_resolved_by_reading) {
  Holder a("a", store, now);
  a.lose_next_cas = true;
  a.keeper.Want(true, now);
  a.Tick(now);
  BOOST_TEST(a.fences.size() == 1u);
  BOOST_TEST(a.keeper.FenceFor(now, seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(an_order_that_would_outlast_the_lease_is_not_given) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  // A lease of 10 s minus the safety margin of 2 s.
  BOOST_TEST(a.keeper.FenceFor(now, seconds(8)).has_value());
  BOOST_TEST(!a.keeper.FenceFor(now, milliseconds(8001)).has_value());
}

BOOST_AUTO_TEST_CASE(a_holder_that_was_suspended_finds_its_lease_expired) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  now += seconds(9);
  // FenceFor() is called right before the order, without a tick in between.
  BOOST_TEST(!a.keeper.FenceFor(now, milliseconds(1)).has_value());
  a.Tick(now);
  BOOST_TEST(a.drops == 1);
}

BOOST_AUTO_TEST_CASE(renewals_keep_it_and_an_outage_ends_it_early) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  a.RunUntil(now, now + seconds(60));
  BOOST_TEST(a.fences.size() == 1u);
  BOOST_TEST(a.keeper.FenceFor(now, seconds(1)).has_value());
  a.store_down = true;
  a.RunUntil(now, now + seconds(11));
  BOOST_TEST(a.drops == 1);
  BOOST_TEST(!a.keeper.FenceFor(now, Duration::zero()).has_value());
}

BOOST_AUTO_TEST_CASE(a_lease_that_expired_at_the_service_is_dropped) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  a.expired = true;
  a.RunUntil(now, now + seconds(4));
  BOOST_TEST(a.drops == 1);
}

BOOST_AUTO_TEST_CASE(each_check_of_a_waiting_instance_costs_one_read) {
  Holder a("a", store, now);
  Holder b("b", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  b.keeper.Want(true, now);
  const int64_t before = store.revision();
  b.RunUntil(now, now + seconds(8));
  BOOST_TEST(store.revision() == before);
  BOOST_TEST(b.lease == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::testing
