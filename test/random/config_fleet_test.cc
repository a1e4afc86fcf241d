// Fleets of instances in virtual time that get new configurations.
#include "support/config_fleet.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

namespace oleander::test {
namespace {

// Within this time a configuration has to be in force; the shortest bound of
// any deployment.
constexpr Duration kBound = milliseconds(2500);
constexpr Duration kGiveUp = seconds(30);
constexpr std::array<size_t, 3> kSizes = {8, 90, 360};
constexpr std::array<uint64_t, 3> kSeeds = {1, 2, 3};

// A fleet with so many routes in force everywhere.
struct SettledFleet : ConfigFleet {
  SettledFleet(const ConfigFleetOptions& options, size_t routes)
      : ConfigFleet(options) {
    Write(routes);
    BOOST_TEST_REQUIRE((TimeToEverywhere(now(), kGiveUp) < kGiveUp));
    RunFor(seconds(2));
  }
};

void ForEachFleet(const std::function<void(const ConfigFleetOptions&)>& run) {
  for (const size_t instances : kSizes) {
    for (const uint64_t seed : kSeeds) {
      BOOST_TEST_CONTEXT(instances << " instances, seed " << seed) {
        run({.instances = instances, .seed = seed});
      }
    }
  }
}

// What a fleet spent while something happened; of the links and processors of
// instances the highest one.
struct Cost {
  Duration took;
  int calls = 0;
  int copies = 0;
  size_t region_bytes = 0;
  size_t link_bytes = 0;
  Duration busy{};
};

std::ostream& operator<<(std::ostream& out, const Cost& cost) {
  constexpr size_t kKilobyte = 1000;
  return out << cost.took.count() / 1000 << " ms, " << cost.calls << " calls, "
             << cost.copies << " copies, " << cost.region_bytes / kKilobyte
             << " KB between regions, " << cost.link_bytes / kKilobyte
             << " KB on a link, " << cost.busy.count() / 1000 << " ms busy";
}

Cost CostOf(const ConfigFleet& fleet, const std::function<void()>& happens) {
  const Time start = fleet.now();
  const int calls = fleet.service_calls();
  const int copies = fleet.service_copies();
  const size_t region_bytes = fleet.region_bytes();
  std::vector<size_t> link_bytes;
  std::vector<Duration> busy;
  for (size_t i = 0; i < fleet.size(); ++i) {
    link_bytes.push_back(fleet.link_bytes(i));
    busy.push_back(fleet.busy(i));
  }
  happens();
  Cost cost{.took = fleet.now() - start,
            .calls = fleet.service_calls() - calls,
            .copies = fleet.service_copies() - copies,
            .region_bytes = fleet.region_bytes() - region_bytes};
  for (size_t i = 0; i < fleet.size(); ++i) {
    cost.link_bytes =
        std::max(cost.link_bytes, fleet.link_bytes(i) - link_bytes[i]);
    cost.busy = std::max(cost.busy, fleet.busy(i) - busy[i]);
  }
  return cost;
}

BOOST_AUTO_TEST_SUITE(config_fleet)

// The model has the fault that the tree is for.
BOOST_AUTO_TEST_CASE(is_late_if_every_instance_reads_the_service) {
  SettledFleet fleet({.instances = 90, .spreads = false}, 1449);
  fleet.Write(1400);
  BOOST_TEST((fleet.TimeToEverywhere(fleet.now(), kGiveUp) > seconds(4)));
}

BOOST_AUTO_TEST_SUITE(puts_a_larger_configuration_in_force_everywhere)

BOOST_AUTO_TEST_CASE(in_time_at_any_size) {
  for (const size_t routes : {50, 1400, 2800, 7000, 14000}) {
    ForEachFleet([routes](const ConfigFleetOptions& options) {
      SettledFleet fleet(options, routes);
      const int copies = fleet.service_copies();
      fleet.Write(1400);
      BOOST_TEST((fleet.TimeToEverywhere(fleet.now(), kGiveUp) < kBound),
                 routes << " routes");
      BOOST_TEST(fleet.service_copies() - copies <= 3);
    });
  }
}

BOOST_AUTO_TEST_CASE(after_several_changes_within_a_second) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 2800);
    for (int i = 0; i < 4; ++i) {
      fleet.Write(700);
      fleet.RunFor(milliseconds(300));
    }
    const Time last = fleet.written_at(fleet.version());
    BOOST_TEST((fleet.TimeToEverywhere(last, kGiveUp) < kBound));
  });
}

// No instance goes on waiting for a call of the outage.
BOOST_AUTO_TEST_CASE(after_an_outage_of_the_service) {
  for (const ServiceFault fault :
       {ServiceFault::kSilent, ServiceFault::kRefusing}) {
    ForEachFleet([fault](const ConfigFleetOptions& options) {
      SettledFleet fleet(options, 2800);
      fleet.SetServiceFault(fault);
      fleet.RunFor(seconds(5));
      fleet.SetServiceFault(ServiceFault::kNone);
      fleet.Write(1400);
      BOOST_TEST((fleet.TimeToEverywhere(fleet.now(), kGiveUp) < kBound));
    });
  }
}

BOOST_AUTO_TEST_CASE(after_outages_that_come_and_go_beside_changes) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 2800);
    Draw draw(options.seed);
    for (int i = 0; i < 12; ++i) {
      fleet.SetServiceFault(static_cast<ServiceFault>(i % 3));
      fleet.RunFor(draw.Between(milliseconds(50), milliseconds(900)));
      fleet.Write(draw.Below(200));
    }
    fleet.SetServiceFault(ServiceFault::kNone);
    const Duration took = fleet.TimeToEverywhere(fleet.now(), kGiveUp);
    BOOST_TEST((took < kBound));
  });
}

BOOST_AUTO_TEST_CASE(while_instances_restart_at_any_moment_of_a_change) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 2800);
    Draw draw(options.seed);
    for (int change = 0; change < 4; ++change) {
      fleet.Write(700);
      for (size_t i = 0; i < fleet.size(); ++i) {
        if (draw.Chance(1.0 / 3)) {
          fleet.time().After(draw.Between(Duration(0), milliseconds(700)),
                             [&fleet, i] { fleet.Restart(i); });
        }
      }
      fleet.RunFor(milliseconds(700));
    }
    BOOST_TEST((fleet.TimeToEverywhere(fleet.now(), kGiveUp) < seconds(4)));
  });
}

BOOST_AUTO_TEST_CASE(though_instances_that_pass_it_on_have_ended) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 2800);
    // Leaves one reader.
    fleet.End(fleet.IndexOf(fleet.readers()[0]));
    fleet.End(fleet.IndexOf(fleet.readers()[1]));
    for (size_t i = 0; i < fleet.size(); i += 3) {
      if (i != fleet.IndexOf(fleet.readers()[2])) {
        fleet.End(i);
      }
    }
    fleet.Write(1400);
    BOOST_TEST((fleet.TimeToEverywhere(fleet.now(), kGiveUp) < seconds(4)));
  });
}

BOOST_AUTO_TEST_CASE(though_a_third_restarts_meanwhile) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 2800);
    fleet.Write(1400);
    fleet.RunFor(milliseconds(600));
    for (size_t i = 1; i < fleet.size(); i += 3) {
      fleet.Restart(i);
    }
    BOOST_TEST((fleet.TimeToEverywhere(fleet.now(), kGiveUp) < seconds(4)));
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(fills_no_link_with_copies_when_all_restart) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 4249);
    const int copies = fleet.service_copies();
    for (size_t i = 0; i < fleet.size(); ++i) {
      fleet.Restart(i);
    }
    const Duration took = fleet.TimeToEverywhere(fleet.now(), kGiveUp);
    BOOST_TEST((took < seconds(4)));
    BOOST_TEST(fleet.service_copies() - copies <=
               static_cast<int>(fleet.size() / 10 + 3));
  });
}

// After the loss of all instances a short configuration came along the tree.
BOOST_AUTO_TEST_CASE(
    is_in_force_at_once_after_a_restart_of_all_if_it_is_short) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 50);
    for (size_t i = 0; i < fleet.size(); ++i) {
      fleet.Restart(i);
    }
    const Duration took = fleet.TimeToEverywhere(fleet.now(), kGiveUp);
    BOOST_TEST((took < milliseconds(500)));
  });
}

// Calls and bytes of one change, and with nothing changing, at each size.
BOOST_AUTO_TEST_CASE(costs_the_service_no_more_in_a_larger_fleet) {
  for (const size_t routes : {50, 1400, 2800, 7000, 14000}) {
    for (const size_t instances : kSizes) {
      SettledFleet fleet({.instances = instances}, routes);
      const Cost idle = CostOf(fleet, [&] { fleet.RunFor(seconds(10)); });
      const Cost change = CostOf(fleet, [&] {
        fleet.Write(1400);
        fleet.TimeToEverywhere(fleet.now(), kGiveUp);
      });
      BOOST_TEST_MESSAGE(instances << " instances, " << routes
                                   << " routes: idle " << idle << "; change "
                                   << change);
      // Three readers at one call in 0.7 s.
      BOOST_TEST(idle.calls <= 3 * 15);
      BOOST_TEST(idle.copies == 0);
      BOOST_TEST(change.copies <= 3);
    }
  }
}

BOOST_AUTO_TEST_CASE(reads_the_service_if_no_peer_answers) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 50);
    for (size_t i = 0; i < fleet.size(); ++i) {
      fleet.Restart(i);
    }
    fleet.SetPeersCut(true);
    BOOST_TEST((fleet.TimeToEverywhere(fleet.now(), kGiveUp) < seconds(3)));
  });
}

BOOST_AUTO_TEST_CASE(sends_nothing_while_nothing_changes) {
  ForEachFleet([](const ConfigFleetOptions& options) {
    SettledFleet fleet(options, 14000);
    const int copies = fleet.service_copies();
    const size_t bytes = fleet.region_bytes();
    fleet.RunFor(seconds(10));
    BOOST_TEST(fleet.service_copies() == copies);
    // Polls of 100 bytes, 2.5 a second from each instance.
    BOOST_TEST(fleet.region_bytes() - bytes <= fleet.size() * 100 * 26);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::test
