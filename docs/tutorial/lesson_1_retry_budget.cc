// Lesson 1: embed one part of the library. A part does no I/O and reads no
// clock: it takes events and the time as input and returns decisions, so it
// runs in any program and any test.
//
// The retry budget limits retries to a share of the successes, so that retries
// can't amplify an overload. Build it with the project and run
// lesson_1_retry_budget.
#include <fmt/format.h>

#include <cstdlib>

#include "oleander/retries.h"

int main() {
  using oleander::RetryBudget;
  using oleander::ServiceId;

  const ServiceId designs("designs");
  RetryBudget budget({.share = 0.1, .burst = 2});

  // A burst of failures: only the retries of the initial burst are available.
  int retried = 0;
  for (int failure = 0; failure < 10; ++failure) {
    if (budget.TryTake(designs)) {
      ++retried;
    }
  }
  fmt::print("10 failures at once: {} retries\n", retried);

  // Each success adds a tenth of a retry to the budget.
  for (int success = 0; success < 15; ++success) {
    budget.OnSuccess(designs);
  }
  const bool allowed = budget.TryTake(designs);
  fmt::print("after 15 successes: a retry is {}\n",
             allowed ? "allowed" : "refused");

  const bool as_expected = retried == 2 && allowed;
  return as_expected ? EXIT_SUCCESS : EXIT_FAILURE;
}
