// Tests Membership with many instances in virtual time, under message loss,
// crashes, pauses and partitions. Every run prints its seed.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "support/control_fleet.h"

namespace oleander::testing {
namespace {

uint64_t Seed() {
  const char* text = std::getenv("OLEANDER_SOAK_SEED");
  const uint64_t seed = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  BOOST_TEST_MESSAGE("seed " << seed);
  return seed;
}

FleetOptions Options(size_t instances, size_t domains) {
  FleetOptions options;
  options.instances = instances;
  options.domains = domains;
  options.regions = domains >= 3 ? 3 : 1;
  options.servers = domains;
  options.seed = Seed();
  return options;
}

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns whether every running node in the failure domain of node `who`
// considers it dead.
bool SeenDead(ControlFleet& fleet, size_t who) {
  const ControlFleet::Node& victim = fleet.node(who);
  return std::ranges::all_of(
      fleet.nodes(), [&](const ControlFleet::Node& node) {
        if (!node.running || node.info.location != victim.info.location) {
          return true;
        }
        const auto member = node.membership->Find(victim.info.id);
        return member.has_value() && member->state == MemberState::kDead;
      });
}

uint64_t FalseDeaths(ControlFleet& fleet) {
  uint64_t deaths = 0;
  for (const ControlFleet::Node& node : fleet.nodes()) {
    deaths += node.false_deaths_seen;
  }
  return deaths;
}

BOOST_AUTO_TEST_SUITE(membership_of_a_fleet)

BOOST_AUTO_TEST_CASE(instances_that_start_together_find_each_other) {
  for (const size_t instances : {2, 8, 72}) {
    BOOST_TEST_CONTEXT("instances " << instances) {
      ControlFleet fleet(Options(instances, instances >= 9 ? 9 : 2));
      fleet.StartAll();
      const Duration took = fleet.RunUntilHolds(
          seconds(60), milliseconds(500), [&] { return fleet.Converged(); });
      BOOST_TEST(fleet.Converged());
      BOOST_TEST_MESSAGE("seconds until converged: " << SecondsOf(took));
      fleet.RunFor(seconds(10));
      BOOST_TEST(FalseDeaths(fleet) == 0u);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_fleet_of_the_target_size_starts_and_loses_one) {
  ControlFleet fleet(Options(360, 9));
  fleet.StartAll();
  fleet.RunUntilHolds(seconds(60), seconds(1),
                      [&] { return fleet.Converged(); });
  BOOST_REQUIRE(fleet.Converged());
  fleet.Crash(100);
  const Duration seen = fleet.RunUntilHolds(
      seconds(20), milliseconds(50), [&] { return SeenDead(fleet, 100); });
  BOOST_TEST_MESSAGE("seconds until detected: " << SecondsOf(seen));
  BOOST_TEST(SecondsOf(seen) <= 5);
  BOOST_TEST(FalseDeaths(fleet) == 0u);
}

BOOST_AUTO_TEST_SUITE(crashes)

BOOST_AUTO_TEST_CASE(a_crash_is_detected_by_its_domain_within_five_seconds) {
  for (const size_t instances : {8, 72}) {
    BOOST_TEST_CONTEXT("instances " << instances) {
      ControlFleet fleet(Options(instances, instances >= 9 ? 9 : 2));
      fleet.StartAll();
      fleet.RunFor(seconds(30));
      BOOST_REQUIRE(fleet.Converged());
      for (size_t round = 0; round < 6; ++round) {
        const size_t who = round * 7 % instances;
        fleet.RunFor(milliseconds(317 * round));
        fleet.Crash(who);
        const Duration took =
            fleet.RunUntilHolds(seconds(20), milliseconds(50),
                                [&] { return SeenDead(fleet, who); });
        BOOST_TEST(SecondsOf(took) <= 5);
        BOOST_TEST_MESSAGE("seconds until detected: " << SecondsOf(took));
        fleet.RunFor(seconds(3));
        fleet.Start(who);
        fleet.RunFor(seconds(8));
        BOOST_TEST(fleet.Converged());
      }
      BOOST_TEST(FalseDeaths(fleet) == 0u);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_simultaneous_crash_of_a_whole_domain_is_detected) {
  ControlFleet fleet(Options(72, 9));
  fleet.StartAll();
  fleet.RunFor(seconds(30));
  for (size_t i = 0; i < 72; i += 9) {
    fleet.Crash(i);
  }
  const Duration took = fleet.RunUntilHolds(seconds(60), milliseconds(100),
                                            [&] { return fleet.Converged(); });
  BOOST_TEST_MESSAGE(
      "seconds until the loss of a domain is detected: " << SecondsOf(took));
  BOOST_TEST(SecondsOf(took) <= 15);
}

BOOST_AUTO_TEST_CASE(a_restart_faster_than_its_detection_is_reported) {
  ControlFleet fleet(Options(8, 2));
  fleet.StartAll();
  fleet.RunFor(seconds(20));
  fleet.Crash(3);
  fleet.RunFor(seconds(1));
  fleet.Start(3);
  fleet.RunFor(seconds(5));
  BOOST_TEST(fleet.Converged());
  const auto member = fleet.node(0).membership->Find(InstanceId("entry-003"));
  BOOST_REQUIRE(member.has_value());
  BOOST_TEST((member->state == MemberState::kAlive));
  BOOST_TEST(member->incarnation >= 1'020'000u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(loss)

BOOST_AUTO_TEST_CASE(live_members_stay_alive_at_twenty_percent_loss) {
  constexpr size_t kInstances = 72;
  ControlFleet fleet(Options(kInstances, 9));
  fleet.StartAll();
  fleet.RunFor(seconds(30));
  BOOST_REQUIRE(fleet.Converged());
  fleet.set_loss(0.2);
  fleet.RunFor(std::chrono::minutes(5));
  const double node_hours = kInstances * 5 / 60.0;
  uint64_t suspicions = 0;
  uint64_t declared = 0;
  for (const ControlFleet::Node& node : fleet.nodes()) {
    suspicions += node.membership->counters().suspicions;
    declared += node.membership->counters().deaths;
  }
  BOOST_TEST_MESSAGE("suspicions " << suspicions << ", declared dead "
                                   << declared << " in " << node_hours
                                   << " node-hours");
  BOOST_TEST(static_cast<double>(declared) <= node_hours);
  fleet.set_loss(0);
  fleet.RunFor(seconds(10));
  BOOST_TEST(fleet.Converged());
}

BOOST_AUTO_TEST_CASE(a_crash_under_loss_is_detected) {
  ControlFleet fleet(Options(72, 9));
  fleet.StartAll();
  fleet.RunFor(seconds(30));
  fleet.set_loss(0.2);
  fleet.RunFor(seconds(10));
  fleet.Crash(5);
  const Duration took = fleet.RunUntilHolds(seconds(30), milliseconds(50),
                                            [&] { return SeenDead(fleet, 5); });
  BOOST_TEST_MESSAGE("seconds until detected under loss: " << SecondsOf(took));
  BOOST_TEST(SecondsOf(took) <= 10);
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_reset) {
  ControlFleet fleet(Options(8, 1));
  fleet.StartAll();
  fleet.RunFor(seconds(20));
  // Two live instances cannot exchange messages with each other.
  fleet.set_drop([](size_t from, size_t to) {
    return (from == 0 && to == 1) || (from == 1 && to == 0);
  });
  fleet.RunFor(seconds(60));
  const bool neighbours =
      std::ranges::count(fleet.node(0).membership->neighbours(),
                         InstanceId("entry-001")) > 0;
  BOOST_TEST(FalseDeaths(fleet) == 0u);
  BOOST_TEST(fleet.Converged());
  BOOST_TEST((!neighbours || fleet.node(0).resets > 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(pauses)

BOOST_AUTO_TEST_CASE(a_paused_instance_resumes_and_refutes) {
  ControlFleet fleet(Options(24, 3));
  fleet.StartAll();
  fleet.RunFor(seconds(20));
  fleet.Pause(4, seconds(20));
  fleet.RunFor(seconds(15));
  // SeenDead() is false as long as one node of the domain, here node 4 itself,
  // does not consider it dead.
  BOOST_TEST(SeenDead(fleet, 4) == false);
  const auto seen = fleet.node(1).membership->Find(InstanceId("entry-004"));
  BOOST_REQUIRE(seen.has_value());
  BOOST_TEST((seen->state == MemberState::kDead));
  fleet.RunFor(seconds(15));
  BOOST_TEST(fleet.Converged());
  BOOST_TEST(fleet.node(4).membership->counters().pauses >= 1u);
  BOOST_TEST(fleet.node(4).membership->counters().refutations >= 1u);
  // Instance 4 did not consider any other dead because of its own pause.
  BOOST_TEST(fleet.node(4).false_deaths_seen == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(partitions)

BOOST_AUTO_TEST_CASE(a_healed_partition_rejoins_without_a_message_storm) {
  for (const size_t instances : {8, 72}) {
    BOOST_TEST_CONTEXT("instances " << instances) {
      const size_t domains = instances >= 9 ? 9 : 2;
      ControlFleet fleet(Options(instances, domains));
      fleet.StartAll();
      fleet.RunFor(seconds(30));
      BOOST_REQUIRE(fleet.Converged());
      const size_t half = domains / 2;
      fleet.set_drop([=](size_t from, size_t to) {
        return (from % domains < half) != (to % domains < half);
      });
      fleet.RunFor(seconds(60));
      fleet.set_drop(nullptr);
      fleet.ClearTraffic();
      const Duration took = fleet.RunUntilHolds(
          seconds(120), milliseconds(200), [&] { return fleet.Converged(); });
      BOOST_TEST(fleet.Converged());
      BOOST_TEST_MESSAGE("seconds until rejoined: " << SecondsOf(took));
      BOOST_TEST(SecondsOf(took) <= 30);
      fleet.RunFor(seconds(10));
      BOOST_TEST(fleet.Converged());
      // No instance sends more than 100 messages per second.
      for (const ControlFleet::Node& node : fleet.nodes()) {
        const double rate = static_cast<double>(node.traffic[0].messages_sent) /
                            (SecondsOf(took) + 10);
        BOOST_TEST(rate <= 100);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(nobody_is_held_for_dead_by_its_own_side_at_the_meeting) {
  ControlFleet fleet(Options(24, 3));
  fleet.StartAll();
  fleet.RunFor(seconds(20));
  fleet.set_drop(
      [](size_t from, size_t to) { return (from % 3 == 0) != (to % 3 == 0); });
  fleet.RunFor(seconds(40));
  std::vector<uint64_t> before;
  for (const ControlFleet::Node& node : fleet.nodes()) {
    before.push_back(node.false_deaths_seen);
  }
  fleet.set_drop(nullptr);
  fleet.RunFor(seconds(40));
  BOOST_TEST(fleet.Converged());
  for (size_t i = 0; i < before.size(); ++i) {
    BOOST_TEST(fleet.node(i).false_deaths_seen == before[i]);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(departures)

BOOST_AUTO_TEST_CASE(leaving_and_departing_are_known_without_probes) {
  ControlFleet fleet(Options(24, 3));
  fleet.StartAll();
  fleet.RunFor(seconds(20));
  fleet.On(2, [&](auto& node) { node.membership->Leave(fleet.now()); });
  fleet.RunFor(seconds(2));
  for (const ControlFleet::Node& node : fleet.nodes()) {
    if (node.info.id != InstanceId("entry-002")) {
      BOOST_TEST(node.membership->Find(InstanceId("entry-002"))->leaving);
    }
  }
  fleet.On(2, [&](auto& node) { node.membership->Depart(fleet.now()); });
  fleet.Crash(2);
  const Duration took = fleet.RunUntilHolds(seconds(10), milliseconds(50),
                                            [&] { return fleet.Converged(); });
  BOOST_TEST(SecondsOf(took) <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::testing
