// Selection of the instance that places the model calls of a region.
#include "oleander/placer_choice.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow = Time(seconds(100));

PlacerCandidate Candidate(const std::string& name, const std::string& region,
                          double cores) {
  return {
      .instance = InstanceId(name), .region = RegionId(region), .cores = cores};
}

PlacerChoice ChoiceOf(const std::string& region) {
  PlacerChoice choice{RegionId(region)};
  choice.SetCandidates(
      {Candidate("weak", "north", 0.1), Candidate("strong", "north", 0.5),
       Candidate("middle", "north", 0.25), Candidate("far", "south", 4)});
  return choice;
}

BOOST_AUTO_TEST_SUITE(placer_choice)

BOOST_AUTO_TEST_CASE(is_the_instance_of_the_region_with_most_cores) {
  BOOST_TEST((ChoiceOf("north").Current(kNow) == InstanceId("strong")));
  BOOST_TEST((ChoiceOf("south").Current(kNow) == InstanceId("far")));
  PlacerChoice other_order(RegionId("north"));
  other_order.SetCandidates(
      {Candidate("strong", "north", 0.5), Candidate("weak", "north", 0.1)});
  BOOST_TEST((other_order.Current(kNow) == InstanceId("strong")));
}

BOOST_AUTO_TEST_CASE(among_equals_is_the_same_for_all) {
  PlacerChoice one(RegionId("r"));
  PlacerChoice two(RegionId("r"));
  one.SetCandidates({Candidate("a", "r", 1), Candidate("b", "r", 1)});
  two.SetCandidates({Candidate("b", "r", 1), Candidate("a", "r", 1)});
  BOOST_TEST((one.Current(kNow) == two.Current(kNow)));
}

BOOST_AUTO_TEST_CASE(skips_a_placer_after_a_timeout_until_its_backoff_ends) {
  PlacerChoice choice = ChoiceOf("north");
  const InstanceId strong("strong");
  choice.OnTimeout(kNow, strong);
  BOOST_TEST((choice.Current(kNow) == InstanceId("middle")));
  BOOST_TEST((choice.Current(kNow + milliseconds(600)) == strong));
  // The backoff after a further timeout is longer.
  choice.OnTimeout(kNow + milliseconds(600), strong);
  BOOST_TEST((choice.Current(kNow + milliseconds(1300)) != strong));
  choice.OnAnswer(strong);
  BOOST_TEST((choice.Current(kNow + milliseconds(1300)) == strong));
}

BOOST_AUTO_TEST_CASE(is_empty_if_all_candidates_timed_out) {
  PlacerChoice choice = ChoiceOf("north");
  for (const char* name : {"strong", "middle", "weak"}) {
    choice.OnTimeout(kNow, InstanceId(name));
  }
  BOOST_TEST(!choice.Current(kNow).has_value());
}

BOOST_AUTO_TEST_CASE(skips_a_placer_that_retired) {
  PlacerChoice choice = ChoiceOf("north");
  choice.OnRetired(kNow, InstanceId("strong"));
  BOOST_TEST((choice.Current(kNow + seconds(3)) == InstanceId("middle")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
