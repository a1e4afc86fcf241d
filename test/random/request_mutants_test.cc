// Checks that the randomised simulation detects each deliberate fault
// (RequestMutations) of the request table.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ranges>

#include "random/request_world.h"

namespace oleander::test {
namespace {

using enum RequestFault;

constexpr uint64_t kSeeds = 12;

// Conditions of the simulation under which a mutation has an effect.
struct Trial {
  std::vector<RequestFault> faults = {kCrash, kReclaim, kServerCrash};
  double drop_rate = 0.05;
  int requests = 40;
  ReplicaRule replica = ReplicaRule::kOtherDomain;
};

// Returns the number of seeds whose run violates a check.
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

// Checks that some seed detects the mutations and that no seed fails without
// them.
void CheckFound(const RequestMutations& mutations, const Trial& trial) {
  BOOST_TEST(SeedsThatFind(mutations, trial) > 0);
  BOOST_TEST(SeedsThatFind({}, trial) == 0);
}

BOOST_AUTO_TEST_SUITE(a_built_in_fault_is_found)

BOOST_AUTO_TEST_CASE(attempt_number_reused_after_adoption) {
  RequestMutations mutations;
  mutations.reuse_attempt_number = true;
  CheckFound(mutations, {});
}

BOOST_AUTO_TEST_CASE(events_accepted_without_an_epoch_check) {
  RequestMutations mutations;
  mutations.skip_epoch_check = true;
  CheckFound(mutations, {});
}

BOOST_AUTO_TEST_CASE(handover_without_confirmation) {
  RequestMutations mutations;
  mutations.hand_over_without_ack = true;
  // Without a replica, a request depends on the handover alone.
  CheckFound(mutations, {.faults = {kReclaim},
                         .drop_rate = 0.2,
                         .requests = 200,
                         .replica = ReplicaRule::kNone});
}

BOOST_AUTO_TEST_CASE(acceptance_without_confirmation) {
  RequestMutations mutations;
  mutations.accept_without_ack = true;
  CheckFound(mutations,
             {.faults = {kCrash}, .drop_rate = 0.25, .requests = 200});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::test
