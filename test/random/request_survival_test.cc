// Checks in virtual time that accepted requests survive reclaims, crashes,
// pauses and partitions.
#include <rapidcheck.h>
#include <rapidcheck/detail/TestMetadata.h>
#include <rapidcheck/detail/TestParams.h>

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "random/request_world.h"

namespace oleander::test {
namespace {

using enum RequestFault;

const std::vector<RequestFault> kAnnounced = {kReclaim, kGracefulStop,
                                              kServerCrash, kServerSilent};
const std::vector<RequestFault> kAll = {
    kCrash, kReclaim,   kReclaimCrash, kGracefulStop,
    kPause, kPartition, kServerCrash,  kServerSilent};
const std::vector<RequestFault> kLosses = {kCrash,        kReclaim,
                                           kReclaimCrash, kGracefulStop,
                                           kServerCrash,  kServerSilent};

RequestWorldOptions OptionsFor(uint64_t seed,
                               const std::vector<RequestFault>& kinds) {
  RequestWorldOptions options;
  options.seed = seed;
  options.faults = DrawFaults(seed, 20, kinds);
  return options;
}

// Runs `default_runs` seeds or, in a soak run, as many as it takes to reach
// OLEANDER_SOAK_STEPS steps. One run has some tens of thousands of steps.
void RunSeeds(uint64_t default_runs, const std::vector<RequestFault>& kinds,
              bool sampled) {
  const uint64_t first = FromEnvironment("OLEANDER_SOAK_SEED", 1);
  const uint64_t steps = FromEnvironment("OLEANDER_SOAK_STEPS", 0);
  uint64_t done = 0;
  uint64_t adoptions = 0;
  for (uint64_t seed = first;
       steps > 0 ? done < steps : seed < first + default_runs; ++seed) {
    RequestWorldOptions options = OptionsFor(seed, kinds);
    options.sampled_output = sampled;
    BOOST_TEST_INFO("seed " << seed);
    const RequestWorldReport report = RunRequestWorld(options);
    done += report.events;
    adoptions += report.adoptions;
    BOOST_TEST_REQUIRE(report.holds(),
                       "seed " << seed << ": " << Describe(report));
    BOOST_TEST(report.answered == report.accepted);
    BOOST_TEST(report.answered > 0);
  }
  BOOST_TEST(adoptions > 0U);
  BOOST_TEST_MESSAGE("seeds from " << first << ", " << done << " steps, "
                                   << adoptions << " adoptions");
}

BOOST_AUTO_TEST_SUITE(a_request_survives)

BOOST_AUTO_TEST_CASE(reclaims_with_notice_and_graceful_stops) {
  RunSeeds(12, kAnnounced, /*sampled=*/false);
}

BOOST_AUTO_TEST_CASE(all_kinds_of_faults_together) {
  RunSeeds(25, kAll, /*sampled=*/false);
}

// Regression test: seeds of longer runs that once found a fault.
BOOST_AUTO_TEST_CASE(seeds_that_once_found_a_fault) {
  for (const uint64_t seed : {1010, 1107, 1229, 1346}) {
    const RequestWorldReport report = RunRequestWorld(OptionsFor(seed, kAll));
    BOOST_TEST(report.holds(), "seed " << seed << ": " << Describe(report));
  }
  RequestWorldOptions sampled = OptionsFor(9090, kLosses);
  sampled.sampled_output = true;
  const RequestWorldReport report = RunRequestWorld(sampled);
  BOOST_TEST(report.holds(), "seed 9090: " << Describe(report));
}

// The engines generate a different text in each attempt, so an answer that
// combines two attempts would be detected.
BOOST_AUTO_TEST_CASE(without_mixing_attempts_when_engines_sample) {
  RunSeeds(25, kLosses, /*sampled=*/true);
}

BOOST_AUTO_TEST_CASE(random_sequences_of_faults) {
  rc::detail::TestParams params;
  params.seed = FromEnvironment("OLEANDER_SOAK_SEED", 7);
  params.maxSuccess = 30;
  params.maxSize = 15;
  const auto plan = rc::gen::container<std::vector<PlannedFault>>(
      rc::gen::build<PlannedFault>(
          rc::gen::set(&PlannedFault::after_ms, rc::gen::inRange(0, 5000)),
          rc::gen::set(&PlannedFault::kind, rc::gen::elementOf(kAll)),
          rc::gen::set(&PlannedFault::target, rc::gen::inRange(0, 60))));
  const auto property = [&] {
    RequestWorldOptions options;
    options.seed = *rc::gen::inRange<uint64_t>(0, 1'000'000);
    options.requests = 12;
    options.load_time = std::chrono::seconds(15);
    options.faults = *plan;
    const RequestWorldReport report = RunRequestWorld(options);
    RC_LOG() << Describe(report) << "\n";
    RC_ASSERT(report.holds());
  };
  const rc::detail::TestResult result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  BOOST_TEST(result.is<rc::detail::SuccessResult>(), text.str());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::test
