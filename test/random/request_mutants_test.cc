// Each fault that is built in on purpose is noticed by the randomised runs.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ranges>

#include "random/request_world.h"

namespace oleander::test {
namespace {

using enum RequestFault;

constexpr uint64_t kSeeds = 12;

// Conditions under which a fault shows.
struct Trial {
  std::vector<RequestFault> faults = {kCrash, kReclaim, kServerCrash};
  double drop_rate = 0.05;
  int requests = 40;
  ReplicaRule replica = ReplicaRule::kOtherDomain;
};

// How many seeds find a fault.
int SeedsThatFind(const RequestMutations& mutations, const Trial& trial) {
  return static_cast<int>(std::ranges::count_if(
      std::views::iota(uint64_t{1}, kSeeds + 1), [&](uint64_t seed) {
        RequestWorldOptions options;
        options.seed = seed;
        options.mutations = mutations;
        options.sampled_output = true;
        options.drop_rate = trial.drop_rate;
        options.requests = trial.requests;
        options.replica = trial.replica;
        options.faults = DrawFaults(seed, 20, trial.faults);
        return !RunRequestWorld(options).holds();
      }));
}

// The fault is found, and nothing is found without it.
void CheckFound(const RequestMutations& mutations, const Trial& trial) {
  BOOST_TEST(SeedsThatFind(mutations, trial) > 0);
  BOOST_TEST(SeedsThatFind({}, trial) == 0);
}

BOOST_AUTO_TEST_SUITE(a_built_in_fault_is_found)

BOOST_AUTO_TEST_CASE(an_attempt_number_used_again_after_adoption) {
  RequestMutations mutations;
  mutations.reuse_attempt_number = true;
  CheckFound(mutations, {});
}

BOOST_AUTO_TEST_CASE(events_taken_without_a_look_at_their_epoch) {
  RequestMutations mutations;
  mutations.skip_epoch_check = true;
  CheckFound(mutations, {});
}

BOOST_AUTO_TEST_CASE(a_handover_that_waits_for_no_answer) {
  RequestMutations mutations;
  mutations.hand_over_without_ack = true;
  // Without a replica beforehand, the handover is all that a request has.
  CheckFound(mutations, {.faults = {kReclaim},
                         .drop_rate = 0.2,
                         .requests = 200,
                         .replica = ReplicaRule::kNone});
}

BOOST_AUTO_TEST_CASE(acceptance_that_waits_for_no_answer) {
  RequestMutations mutations;
  mutations.accept_without_ack = true;
  CheckFound(mutations,
             {.faults = {kCrash}, .drop_rate = 0.25, .requests = 200});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::test
