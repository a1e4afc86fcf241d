// Retries stay within a fraction of the successes and within the deadline.
#include "oleander/retries.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace oleander {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(are_earned_by_successes) {
  const ServiceId service("model");
  RetryBudget budget({.share = 0.5, .burst = 2});
  BOOST_TEST(budget.TryTake(service));
  BOOST_TEST(budget.TryTake(service));
  BOOST_TEST(!budget.TryTake(service));
  budget.OnSuccess(service);
  BOOST_TEST(!budget.TryTake(service));
  budget.OnSuccess(service);
  BOOST_TEST(budget.TryTake(service));
}

BOOST_AUTO_TEST_CASE(of_one_service_leave_the_others_theirs) {
  RetryBudget budget({.share = 0.1, .burst = 1});
  BOOST_TEST(budget.TryTake(ServiceId("a")));
  BOOST_TEST(!budget.TryTake(ServiceId("a")));
  BOOST_TEST(budget.TryTake(ServiceId("b")));
}

BOOST_AUTO_TEST_CASE(never_pile_up_beyond_the_burst) {
  const ServiceId service("model");
  RetryBudget budget({.share = 1, .burst = 3});
  for (int i = 0; i < 100; ++i) {
    budget.OnSuccess(service);
  }
  BOOST_TEST(budget.remaining(service) == 3);
}

BOOST_AUTO_TEST_CASE(below_one_are_held_for_a_part_of_the_time) {
  const ServiceId service("model");
  RetryBudget budget({.share = 0.125, .burst = 0.25, .initial = 0});
  int held = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnSuccess(service);
    BOOST_TEST(budget.remaining(service) <= 1);
    held += budget.remaining(service) == 1 ? 1 : 0;
  }
  BOOST_TEST(held >= 240);
  BOOST_TEST(held <= 260);
}

BOOST_AUTO_TEST_CASE(of_many_instances_stay_within_the_bound_of_all) {
  // The operators count the retries of a fleet over ten seconds.
  const SharedRetryBound bound{.share = 0.2, .slack = 190};
  const ServiceId service("model");
  for (const size_t instances : {size_t{1}, size_t{8}, size_t{75}}) {
    const auto start = [&](size_t at) {
      const double fraction =
          static_cast<double>(at) / static_cast<double>(instances);
      return RetryBudget(RetryBudgetPerInstance(bound, instances, fraction));
    };
    std::vector<RetryBudget> fleet;
    fleet.reserve(instances);
    for (size_t at = 0; at < instances; ++at) {
      fleet.push_back(start(at));
    }
    int calls = 0;
    // A minute without failures, in which each instance accumulates retries.
    for (RetryBudget& budget : fleet) {
      for (int i = 0; i < 1'000; ++i) {
        budget.OnSuccess(service);
      }
    }
    // Then every attempt fails, and some instances restart.
    int retries = 0;
    for (int call = 0; call < 3'000; ++call) {
      const size_t at = static_cast<size_t>(call) % instances;
      if (call % 900 == 899) {
        fleet[at] = start(at);
      }
      fleet[at].OnSuccess(service);
      ++calls;
      for (int attempt = 0; attempt < 3; ++attempt) {
        retries += fleet[at].TryTake(service) ? 1 : 0;
      }
    }
    BOOST_TEST_CONTEXT(instances << " instances") {
      BOOST_TEST(retries <= bound.share * calls + bound.slack);
      // Most of the bound can be used.
      BOOST_TEST(retries >= 0.7 * bound.share * calls);
    }
  }
}

BOOST_AUTO_TEST_CASE(learn_how_many_instances_share_the_bound) {
  const SharedRetryBound bound{.share = 0.2, .slack = 100};
  const ServiceId service("model");
  RetryBudget budget(RetryBudgetPerInstance(bound, 1, 0));
  for (int i = 0; i < 10'000; ++i) {
    budget.OnSuccess(service);
  }
  BOOST_TEST(budget.remaining(service) > 50);
  budget.SetOptions(RetryBudgetPerInstance(bound, 50, 0));
  BOOST_TEST(budget.remaining(service) <= 2);
}

BOOST_AUTO_TEST_CASE(wait_longer_each_time_up_to_a_bound) {
  Backoff backoff({.initial = milliseconds(10),
                   .maximum = milliseconds(100),
                   .factor = 2,
                   .jitter = 0.5},
                  /*seed=*/1);
  Duration bound = milliseconds(10);
  for (int i = 0; i < 10; ++i) {
    const Duration delay = backoff.Next();
    BOOST_TEST((delay <= bound && delay >= bound / 2));
    bound = std::min<Duration>(bound * 2, milliseconds(100));
  }
  backoff.Reset();
  BOOST_TEST((backoff.Next() <= milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(end_before_the_deadline_or_are_not_started) {
  const Time now{};
  const Time deadline = now + milliseconds(100);
  BOOST_TEST(FitsDeadline(now, milliseconds(40), milliseconds(60), deadline));
  BOOST_TEST(!FitsDeadline(now, milliseconds(41), milliseconds(60), deadline));
  BOOST_TEST(
      FitsDeadline(now, std::chrono::hours(1), milliseconds(1), std::nullopt));
}

BOOST_AUTO_TEST_CASE(by_hedging_are_for_short_work_that_is_late) {
  const HedgeState late{.allowed = true,
                        .output_tokens = 50,
                        .waited = milliseconds(700),
                        .expected_first_token = milliseconds(200),
                        .first_token_seen = false};
  BOOST_TEST(HedgeIsDue({}, late));
  HedgeState other = late;
  other.allowed = false;
  BOOST_TEST(!HedgeIsDue({}, other));
  other = late;
  other.output_tokens = 5'000;
  BOOST_TEST(!HedgeIsDue({}, other));
  other = late;
  other.first_token_seen = true;
  BOOST_TEST(!HedgeIsDue({}, other));
  other = late;
  other.waited = milliseconds(500);
  BOOST_TEST(!HedgeIsDue({}, other));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
