// Fleets of 8 and of 360 instances find the parts of prompts that crash
// servers, and serve the sound requests beside them.
#include <boost/test/unit_test.hpp>

#include "support/poison_fleet.h"

namespace oleander::test {
namespace {

constexpr PartHash kPoison = 7;
constexpr PartHash kOtherPoison = 8;
// Bounds that the users set: after the fifth crash, the news is everywhere
// within kContact, and three more requests may reach servers.
constexpr Duration kContact = seconds(4);
constexpr size_t kCrashesToLearn = 5;
constexpr size_t kCrashesToSuspect = 3;
constexpr size_t kAllowedLater = 3;

struct Load {
  size_t instances;
  size_t servers;
  double sound_per_s;
  double poison_per_s;
};

constexpr Load kLoads[] = {
    {8, 9, 110, 10},     {8, 9, 110, 1},     {8, 38, 300, 40},
    {360, 150, 800, 20}, {360, 150, 800, 2}, {360, 150, 2000, 60},
};

PoisonFleetOptions OptionsOf(const Load& load, uint64_t seed) {
  return {.instances = load.instances,
          .servers = load.servers,
          .sound_per_s = load.sound_per_s,
          .first_parts = 6 + load.instances / 40,
          .second_parts = 40 + load.instances,
          .seed = seed};
}

// Returns the poison requests that ended servers later than kContact after the
// fifth one, or after the last one that was needed for the suspicion if there
// are fewer.
size_t EndedTooLate(const std::vector<Time>& crashes) {
  BOOST_TEST_REQUIRE(crashes.size() >= kCrashesToSuspect);
  const Time bound =
      crashes[crashes.size() < kCrashesToLearn ? kCrashesToSuspect - 1
                                               : kCrashesToLearn - 1] +
      kContact;
  return static_cast<size_t>(std::ranges::count_if(
      crashes, [bound](Time crash) { return crash > bound; }));
}

// OLEANDER_SOAK_SEED sets the first of the seeds.
template <typename Check>
void ForEachLoad(const Check& check, bool sends_heads = true) {
  const uint64_t first_seed = FromEnvironment("OLEANDER_SOAK_SEED", 1);
  for (const Load& load : kLoads) {
    const uint64_t seeds = load.instances > 100 ? 1 : 3;
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
      BOOST_TEST_CONTEXT(load.instances << " instances, " << load.servers
                                        << " servers, " << load.sound_per_s
                                        << " sound and " << load.poison_per_s
                                        << " poison requests a second, seed "
                                        << seed) {
        PoisonFleetOptions options = OptionsOf(load, seed);
        options.sends_heads = sends_heads;
        PoisonFleet fleet(options);
        fleet.RunFor(seconds(5));
        check(load, fleet);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE(poison_parts_in_a_fleet)

BOOST_AUTO_TEST_CASE(stop_ending_servers_while_sound_requests_are_served) {
  ForEachLoad([](const Load& load, PoisonFleet& fleet) {
    fleet.Poison(kPoison, load.poison_per_s, fleet.now() + seconds(90));
    while (fleet.poison_crashes().size() < kCrashesToLearn &&
           fleet.now() < Time(seconds(60))) {
      fleet.RunFor(milliseconds(50));
    }
    fleet.RunFor(2 * kContact);
    fleet.TakeSound();
    fleet.RunFor(seconds(60));
    const PoisonFleet::Counts sound = fleet.TakeSound();
    BOOST_TEST(EndedTooLate(fleet.poison_crashes()) <= kAllowedLater);
    BOOST_TEST(sound.answered_at_first_attempt >= 0.97 * sound.asked);
    BOOST_TEST(fleet.Suspecting(kPoison) == load.instances);
    for (size_t i = 0; i < 6; ++i) {
      BOOST_TEST(fleet.Refusing({fleet.FirstPart(i)}) == 0U);
    }
  });
}

BOOST_AUTO_TEST_CASE(are_known_everywhere_within_the_bound) {
  ForEachLoad([](const Load& load, PoisonFleet& fleet) {
    fleet.Poison(kPoison, load.poison_per_s, fleet.now() + seconds(90));
    while (fleet.poison_crashes().size() < kCrashesToLearn &&
           fleet.now() < Time(seconds(60))) {
      fleet.RunFor(milliseconds(50));
    }
    fleet.RunFor(kContact / 2);
    BOOST_TEST(fleet.Suspecting(kPoison) == load.instances);
  });
}

BOOST_AUTO_TEST_CASE(are_told_to_instances_that_were_cut_off_or_restarted) {
  ForEachLoad([](const Load& load, PoisonFleet& fleet) {
    const size_t cut = load.instances - 1;
    const size_t restarted = load.instances - 2;
    fleet.CutOff(cut, true);
    fleet.Poison(kPoison, load.poison_per_s, fleet.now() + seconds(30));
    fleet.RunFor(seconds(12));
    fleet.CutOff(cut, false);
    fleet.Restart(0);  // A reader.
    fleet.Restart(restarted);
    fleet.RunFor(kContact / 2);
    for (const size_t index : {size_t{0}, cut, restarted}) {
      BOOST_TEST(fleet.poison_of(index).IsSuspected(kPoison));
    }
  });
}

BOOST_AUTO_TEST_CASE(are_told_apart_when_there_are_two) {
  ForEachLoad([](const Load& load, PoisonFleet& fleet) {
    fleet.Poison(kPoison, load.poison_per_s, fleet.now() + seconds(60));
    fleet.Poison(kOtherPoison, load.poison_per_s, fleet.now() + seconds(60));
    fleet.RunFor(seconds(30));
    fleet.TakeSound();
    fleet.RunFor(seconds(20));
    const PoisonFleet::Counts sound = fleet.TakeSound();
    BOOST_TEST(sound.answered_at_first_attempt >= 0.95 * sound.asked);
    BOOST_TEST(fleet.Suspecting(kPoison) == load.instances);
    BOOST_TEST(fleet.Suspecting(kOtherPoison) == load.instances);
  });
}

BOOST_AUTO_TEST_CASE(are_found_though_servers_send_no_heads) {
  ForEachLoad(
      [](const Load& load, PoisonFleet& fleet) {
        fleet.Poison(kPoison, load.poison_per_s, fleet.now() + seconds(90));
        fleet.RunFor(seconds(30));
        BOOST_TEST(fleet.Suspecting(kPoison) == load.instances);
        fleet.TakeSound();
        fleet.RunFor(seconds(20));
        const PoisonFleet::Counts sound = fleet.TakeSound();
        // The users allow half as many first attempts as without poison.
        BOOST_TEST(sound.answered_at_first_attempt >= 0.5 * sound.asked);
      },
      /*sends_heads=*/false);
}

BOOST_AUTO_TEST_CASE(that_become_sound_are_served_again) {
  ForEachLoad([](const Load& load, PoisonFleet& fleet) {
    fleet.Poison(kPoison, load.poison_per_s, fleet.now() + seconds(900));
    fleet.RunFor(seconds(20));
    BOOST_TEST(fleet.Refusing({kPoison}) > 0U);
    fleet.Cure(kPoison);
    fleet.RunFor(seconds(600));
    BOOST_TEST(fleet.Refusing({kPoison}) == 0U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crashes_without_poison)

BOOST_AUTO_TEST_CASE(bring_no_part_under_suspicion_for_long) {
  ForEachLoad([](const Load& load, PoisonFleet& fleet) {
    fleet.TakeSound();
    fleet.CrashServers(5);
    fleet.RunFor(seconds(2));
    fleet.CrashServers(load.servers / 3);
    fleet.RunFor(seconds(2));
    const PoisonFleet::Counts during = fleet.TakeSound();
    BOOST_TEST(during.refused <= 0.05 * during.asked);
    fleet.RunFor(kContact);
    const PoisonFleet::Counts after = fleet.TakeSound();
    BOOST_TEST(after.refused <= 0.01 * after.asked);
  });
}

BOOST_AUTO_TEST_CASE(of_all_servers_at_once_end_with_the_servers_return) {
  ForEachLoad([](const Load& load, PoisonFleet& fleet) {
    for (int i = 0; i < 4; ++i) {
      fleet.CrashServers(load.servers);
      fleet.RunFor(milliseconds(3500));
    }
    fleet.RunFor(kContact);
    fleet.TakeSound();
    fleet.RunFor(seconds(10));
    const PoisonFleet::Counts sound = fleet.TakeSound();
    BOOST_TEST(sound.answered_at_first_attempt >= 0.97 * sound.asked);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::test
