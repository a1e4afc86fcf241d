// Distribution of load figures in a fleet, in virtual time: figures stay fresh
// on every instance, also when pollers crash, and leaving servers are known
// within two seconds. Every run prints its seed.
#include "oleander/load_spread.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "support/control_fleet.h"

namespace oleander::testing {
namespace {

FleetOptions Options(size_t instances, size_t servers, size_t domains) {
  const char* text = std::getenv("OLEANDER_SOAK_SEED");
  FleetOptions options;
  options.instances = instances;
  options.servers = servers;
  options.domains = domains;
  options.regions = domains >= 3 ? 3 : 1;
  options.seed = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  BOOST_TEST_MESSAGE("seed " << options.seed);
  return options;
}

// Returns the number of pairs of a running instance and a server of its domain
// that the instance considers unusable.
size_t Unusable(ControlFleet& fleet) {
  size_t unusable = 0;
  for (const ControlFleet::Node& node : fleet.nodes()) {
    for (const ServerInfo& server : fleet.servers()) {
      const bool same_domain =
          server.location.domain == node.info.location.domain;
      unusable += node.running && same_domain &&
                          !node.load->usable(server.id, fleet.now())
                      ? 1
                      : 0;
    }
  }
  return unusable;
}

BOOST_AUTO_TEST_SUITE(load_of_a_fleet)

BOOST_AUTO_TEST_CASE(every_server_of_the_domain_stays_fresh) {
  ControlFleet fleet(Options(72, 150, 9));
  fleet.StartAll();
  fleet.RunFor(seconds(40));
  for (int second = 0; second < 30; ++second) {
    fleet.RunFor(seconds(1));
    BOOST_TEST(Unusable(fleet) == 0u);
  }
}

BOOST_AUTO_TEST_CASE(each_server_is_polled_by_two_instances_of_its_domain) {
  ControlFleet fleet(Options(72, 150, 9));
  fleet.StartAll();
  fleet.RunFor(seconds(40));
  std::map<ServerId, int> pollers;
  for (const ControlFleet::Node& node : fleet.nodes()) {
    for (const ServerId& server : node.load->polled_here()) {
      ++pollers[server];
    }
  }
  BOOST_TEST(pollers.size() == 150u);
  for (const auto& [server, count] : pollers) {
    BOOST_TEST(count == 2);
  }
}

BOOST_AUTO_TEST_CASE(the_crash_of_a_poller_leaves_no_gap) {
  ControlFleet fleet(Options(24, 48, 3));
  fleet.StartAll();
  fleet.RunFor(seconds(40));
  const std::vector<ServerId> polled = fleet.node(0).load->polled_here();
  BOOST_REQUIRE(!polled.empty());
  fleet.Crash(0);
  // Each server's other poller continues: within 2 s of the crash it has
  // figures sampled after the crash, and no instance loses a server in the
  // meantime.
  const Time crash_time = fleet.now();
  fleet.RunUntil(crash_time + milliseconds(2300));
  for (const ServerId& server : polled) {
    const bool refreshed =
        std::ranges::any_of(fleet.nodes(), [&](const ControlFleet::Node& node) {
          const auto known = node.running ? node.load->Find(server, fleet.now())
                                          : std::nullopt;
          return known.has_value() && known->direct &&
                 fleet.now() - known->report.age >=
                     crash_time - milliseconds(100);
        });
    BOOST_TEST(refreshed, server.value());
  }
  for (int second = 0; second < 20; ++second) {
    fleet.RunFor(seconds(1));
    BOOST_TEST(Unusable(fleet) == 0u);
  }
}

BOOST_AUTO_TEST_CASE(leaving_is_known_in_the_whole_fleet_within_two_seconds) {
  ControlFleet fleet(Options(72, 150, 9));
  fleet.StartAll();
  fleet.RunFor(seconds(40));
  const ServerId server = fleet.servers()[20].id;
  fleet.On(3, [&](auto& node) { node.load->OnLeaving(server, fleet.now()); });
  fleet.RunFor(seconds(2));
  for (const ControlFleet::Node& node : fleet.nodes()) {
    BOOST_TEST(node.load->leaving(server));
    BOOST_TEST(!node.load->usable(server, fleet.now()));
  }
}

BOOST_AUTO_TEST_CASE(a_server_that_answers_no_poll_gets_no_work) {
  ControlFleet fleet(Options(8, 12, 2));
  fleet.StartAll();
  fleet.RunFor(seconds(20));
  const ServerId server = fleet.servers()[1].id;
  fleet.reports().erase(server);
  fleet.RunFor(seconds(10));
  for (const ControlFleet::Node& node : fleet.nodes()) {
    BOOST_TEST(!node.load->usable(server, fleet.now()));
  }
}

BOOST_AUTO_TEST_CASE(an_instance_cut_from_the_mesh_polls_by_itself) {
  ControlFleet fleet(Options(24, 48, 3));
  fleet.StartAll();
  fleet.RunFor(seconds(40));
  fleet.set_drop([](size_t from, size_t to) { return from == 5 || to == 5; });
  fleet.RunFor(seconds(30));
  for (const ServerInfo& server : fleet.servers()) {
    if (server.location.domain == fleet.node(5).info.location.domain) {
      BOOST_TEST(fleet.node(5).load->usable(server.id, fleet.now()));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_domain_without_instances_is_polled_from_its_region) {
  ControlFleet fleet(Options(12, 24, 3));
  fleet.StartAll();
  fleet.RunFor(seconds(30));
  for (size_t i = 0; i < 12; i += 3) {
    fleet.Crash(i);
  }
  fleet.RunFor(seconds(30));
  for (const ServerInfo& server : fleet.servers()) {
    if (server.location.domain == DomainId("domain-0")) {
      BOOST_TEST(fleet.node(1).load->usable(server.id, fleet.now()));
    }
  }
}

BOOST_AUTO_TEST_CASE(other_domains_are_known_in_summary) {
  ControlFleet fleet(Options(72, 150, 9));
  fleet.StartAll();
  fleet.RunFor(seconds(60));
  const std::vector<LoadSummary> summaries =
      fleet.node(0).load->summaries(fleet.now());
  BOOST_TEST(summaries.size() == 18u);
  for (const LoadSummary& summary : summaries) {
    // 150 servers over 9 domains and 2 services are 8 or 9 each, apart from
    // rounding to levels.
    BOOST_TEST(summary.servers >= 7);
    BOOST_TEST(summary.servers <= 10);
    BOOST_TEST((summary.age <= seconds(20)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::testing
