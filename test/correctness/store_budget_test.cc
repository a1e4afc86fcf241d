// The budget for calls to the key-value service.
#include "oleander/store_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr StoreBudgetOptions kOptions = {};
// The capacity of the key-value service.
constexpr int kStoreReadsPerSecond = 2000;

// Returns the calls granted in `duration` when `store_class` calls every 2 ms.
int Granted(StoreBudget& budget, StoreClass store_class, bool write, Time& now,
            Duration duration) {
  int granted = 0;
  for (const Time end = now + duration; now < end; now += milliseconds(2)) {
    granted += budget.Take(store_class, write, now).ok() ? 1 : 0;
  }
  return granted;
}

BOOST_AUTO_TEST_SUITE(store_budget)

BOOST_AUTO_TEST_CASE(the_fleet_together_stays_under_its_rate) {
  for (const size_t instances : {8, 360}) {
    BOOST_TEST_CONTEXT("instances " << instances) {
      double writes = 0;
      for (size_t i = 0; i < instances; ++i) {
        Time now{seconds(10)};
        StoreBudget budget(kOptions, i, now);
        budget.SetInstances(instances, now);
        Granted(budget, StoreClass::kLease, true, now, seconds(20));
        writes += Granted(budget, StoreClass::kLease, true, now, seconds(20));
      }
      BOOST_TEST(writes / 20 <= kOptions.fleet_writes_per_s * 1.02);
      BOOST_TEST(writes / 20 >= kOptions.fleet_writes_per_s * 0.9);
    }
  }
}

BOOST_AUTO_TEST_CASE(less_important_classes_leave_capacity_for_leases) {
  Time now{seconds(10)};
  StoreBudget budget(kOptions, 1, now);
  budget.SetInstances(8, now);
  // Each class uses up its share; the next more important class still has some.
  int other_calls = 0;
  for (; budget.Take(StoreClass::kOther, true, now).ok(); ++other_calls) {
  }
  int claim_calls = 0;
  for (; budget.Take(StoreClass::kClaim, true, now).ok(); ++claim_calls) {
  }
  int lease_calls = 0;
  for (; budget.Take(StoreClass::kLease, true, now).ok(); ++lease_calls) {
  }
  BOOST_TEST(other_calls > 0);
  BOOST_TEST(claim_calls > 0);
  BOOST_TEST(lease_calls > 0);
}

BOOST_AUTO_TEST_CASE(a_refusal_states_that_nothing_ran_and_when_to_retry) {
  Time now{seconds(10)};
  StoreBudget budget(kOptions, 1, now);
  budget.SetInstances(360, now);
  Granted(budget, StoreClass::kOther, true, now, seconds(1));
  const absl::Status status = budget.Take(StoreClass::kOther, true, now);
  BOOST_TEST((CodeOf(status) == ResultCode::kStoreBudgetSpent));
  const ErrorDetails details = DetailsOf(status);
  BOOST_TEST((details.ran == Ran::kNo));
  BOOST_REQUIRE(details.retry_after.has_value());
  BOOST_TEST(budget
                 .Take(StoreClass::kOther, true,
                       now + *details.retry_after + milliseconds(1))
                 .ok());
}

BOOST_AUTO_TEST_CASE(failures_open_the_circuit_and_one_answer_closes_it) {
  Time now{seconds(10)};
  StoreBudget budget(kOptions, 1, now);
  for (int i = 0; i < kOptions.failures_to_open; ++i) {
    budget.OnFailure(now);
  }
  BOOST_TEST((budget.circuit() == StoreCircuit::kOpen));
  const absl::Status status = budget.Take(StoreClass::kLease, false, now);
  BOOST_TEST((CodeOf(status) == ResultCode::kStoreUnavailable));
  // Each probe fails, so the probe interval doubles; jitter at most halves it.
  int probes = 0;
  for (const Time end = now + seconds(2); now < end; now += milliseconds(2)) {
    if (budget.Take(StoreClass::kLease, false, now).ok()) {
      ++probes;
      budget.OnFailure(now);
    }
  }
  BOOST_TEST(probes >= 1);
  BOOST_TEST(probes <= 4);
  budget.OnAnswer(now);
  BOOST_TEST((budget.circuit() == StoreCircuit::kClosed));
}

BOOST_AUTO_TEST_CASE(a_fleet_comes_back_without_a_stampede) {
  constexpr size_t kInstances = 360;
  std::vector<StoreBudget> budgets;
  const Time start{seconds(10)};
  for (size_t i = 0; i < kInstances; ++i) {
    budgets.emplace_back(kOptions, i + 1, start);
    budgets.back().SetInstances(kInstances, start);
  }
  // An outage of a minute, in which every instance always has a call to make;
  // then the service answers at once.
  std::vector<int> per_second(90, 0);
  for (Time now = start; now < start + seconds(90); now += milliseconds(20)) {
    const auto second = static_cast<size_t>((now - start) / seconds(1));
    for (StoreBudget& budget : budgets) {
      if (!budget.Take(StoreClass::kProfile, false, now).ok()) {
        continue;
      }
      ++per_second[second];
      if (second < 60) {
        budget.OnFailure(now);
      } else {
        budget.OnAnswer(now);
      }
    }
  }
  const int most_after =
      *std::max_element(per_second.begin() + 60, per_second.end());
  const int most_in_outage =
      *std::max_element(per_second.begin() + 30, per_second.begin() + 60);
  BOOST_TEST_MESSAGE("calls/s at most: outage " << most_in_outage << ", after "
                                                << most_after);
  BOOST_TEST(most_after <= kStoreReadsPerSecond);
  BOOST_TEST(most_in_outage <= kOptions.fleet_reads_per_s / 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
