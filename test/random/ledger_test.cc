// Calls that may not repeat run at most once under any failure of the key-value
// service, the order desk and the instances. Runs in virtual time.
#include <rapidcheck.h>
#include <rapidcheck/detail/TestMetadata.h>
#include <rapidcheck/detail/TestParams.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ranges>
#include <sstream>

#include "random/ledger_world.h"

namespace oleander::test {
namespace {

using enum LedgerFault;

const std::vector<LedgerFault> kAll = {
    kStoreDown,        kStoreLosesAnswers, kStoreSlow, kDeskSlow,
    kDeskLosesAnswers, kDeskRefuses,       kPause,     kCrash,
    kPartition};

LedgerWorldReport RunWith(uint64_t seed, bool status_call,
                          const LedgerMutations& mutations,
                          const std::vector<LedgerFault>& kinds) {
  LedgerWorldOptions options;
  options.seed = seed;
  options.status_call = status_call;
  options.mutations = mutations;
  if (!kinds.empty()) {
    options.faults = DrawLedgerFaults(seed, 15, kinds);
  }
  return RunLedgerWorld(options);
}

void RunSeeds(uint64_t default_runs, bool status_call) {
  const uint64_t first = FromEnvironment("OLEANDER_SOAK_SEED", 1);
  const uint64_t steps = FromEnvironment("OLEANDER_SOAK_STEPS", 0);
  uint64_t done = 0;
  int answered = 0;
  int replayed = 0;
  for (uint64_t seed = first;
       steps > 0 ? done < steps : seed < first + default_runs; ++seed) {
    const LedgerWorldReport report = RunWith(seed, status_call, {}, kAll);
    done += report.events;
    answered += report.answered;
    replayed += report.replayed;
    BOOST_TEST_REQUIRE(report.holds(),
                       "seed " << seed << ": " << Describe(report));
  }
  BOOST_TEST(answered > 0);
  BOOST_TEST(replayed > 0);
  BOOST_TEST_MESSAGE("seeds from " << first << ", " << done << " steps, "
                                   << answered << " answers, " << replayed
                                   << " of them replayed");
}

constexpr uint64_t kSeeds = 20;

int SeedsThatFind(const LedgerMutations& mutations,
                  const std::vector<LedgerFault>& kinds) {
  return static_cast<int>(std::ranges::count_if(
      std::views::iota(uint64_t{1}, kSeeds + 1), [&](uint64_t seed) {
        return !RunWith(seed, /*status_call=*/false, mutations, kinds).holds();
      }));
}

void CheckFound(const LedgerMutations& mutations,
                const std::vector<LedgerFault>& kinds) {
  BOOST_TEST(SeedsThatFind(mutations, kinds) > 0);
  BOOST_TEST(SeedsThatFind({}, kinds) == 0);
}

BOOST_AUTO_TEST_SUITE(a_call_that_may_not_repeat)

BOOST_AUTO_TEST_CASE(runs_at_most_once) { RunSeeds(60, /*status_call=*/false); }

BOOST_AUTO_TEST_CASE(runs_at_most_once_where_the_service_has_a_status_call) {
  RunSeeds(60, /*status_call=*/true);
}

BOOST_AUTO_TEST_CASE(under_any_plan_of_faults) {
  rc::detail::TestParams params;
  params.seed = FromEnvironment("OLEANDER_SOAK_SEED", 11);
  params.maxSuccess = 60;
  params.maxSize = 12;
  const auto plan = rc::gen::container<std::vector<PlannedLedgerFault>>(
      rc::gen::build<PlannedLedgerFault>(
          rc::gen::set(&PlannedLedgerFault::after_ms,
                       rc::gen::inRange(0, 6000)),
          rc::gen::set(&PlannedLedgerFault::kind, rc::gen::elementOf(kAll)),
          rc::gen::set(&PlannedLedgerFault::target, rc::gen::inRange(0, 4)),
          rc::gen::set(&PlannedLedgerFault::length_ms,
                       rc::gen::inRange(100, 10'000))));
  const auto property = [&] {
    LedgerWorldOptions options;
    options.seed = *rc::gen::inRange<uint64_t>(0, 1'000'000);
    options.keys = 15;
    options.load_time = std::chrono::seconds(20);
    options.status_call = *rc::gen::arbitrary<bool>();
    options.faults = *plan;
    const LedgerWorldReport report = RunLedgerWorld(options);
    RC_LOG() << Describe(report) << "\n";
    RC_ASSERT(report.holds());
  };
  const rc::detail::TestResult result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  BOOST_TEST(result.is<rc::detail::SuccessResult>(), text.str());
}

BOOST_AUTO_TEST_SUITE(and_a_built_in_fault_is_found)

BOOST_AUTO_TEST_CASE(dispatch_before_the_claim_is_confirmed) {
  LedgerMutations mutations;
  mutations.dispatch_before_claim = true;
  CheckFound(mutations, kAll);
}

BOOST_AUTO_TEST_CASE(a_lost_create_taken_as_not_created) {
  LedgerMutations mutations;
  mutations.lost_create_is_not_created = true;
  CheckFound(mutations, {});
}

BOOST_AUTO_TEST_CASE(not_run_after_a_partial_write) {
  LedgerMutations mutations;
  mutations.not_run_after_partial_write = true;
  CheckFound(mutations, {kDeskLosesAnswers});
}

BOOST_AUTO_TEST_CASE(taking_over_without_the_holders_consent) {
  LedgerMutations mutations;
  mutations.take_over_without_consent = true;
  CheckFound(mutations, {kPause, kCrash, kPartition});
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::test
