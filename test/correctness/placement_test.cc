// Placement of calls by shared prefix, load, region and failures.
#include "oleander/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace oleander {
namespace {

constexpr Time kNow = Time(std::chrono::seconds(100));
const ServiceId kEngines("engines");

std::vector<ListedServer> Fleet(int per_domain) {
  std::vector<ListedServer> servers;
  for (const char* domain : {"stgo-a", "stgo-b", "conce-a"}) {
    for (int i = 0; i < per_domain; ++i) {
      ListedServer server;
      server.id = ServerId(std::string(domain) + "-" + std::to_string(i));
      server.service = kEngines;
      server.domain = DomainId(domain);
      server.slots = 64;
      servers.push_back(server);
    }
  }
  return servers;
}

Placement PlacementIn(const char* region, const char* domain,
                      const std::vector<ListedServer>& fleet, uint64_t seed) {
  Placement placement(
      {}, {.region = RegionId(region), .domain = DomainId(domain)}, seed);
  placement.SetRegions({{DomainId("stgo-a"), RegionId("santiago")},
                        {DomainId("stgo-b"), RegionId("santiago")},
                        {DomainId("conce-a"), RegionId("concepcion")}});
  std::vector<const ListedServer*> ready;
  ready.reserve(fleet.size());
  for (const ListedServer& server : fleet) {
    ready.push_back(&server);
  }
  placement.SetServers(ready);
  return placement;
}

PlacementRequest RequestWithPrefix(uint64_t prefix_hash) {
  return {.service = kEngines,
          .prompt = {.shared = {{.hash = prefix_hash, .tokens = 5000}},
                     .tokens = 5000},
          .tried = {}};
}

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(a_brittle_server_gets_no_call_that_would_wait) {
  auto fleet = Fleet(1);
  fleet.resize(1);
  fleet[0].slots = 2;
  Placement placement = PlacementIn("santiago", "stgo-a", fleet, 1);
  const ServerId id = fleet[0].id;
  placement.OnLoad(kNow, id, /*running=*/2, /*waiting=*/0);
  BOOST_TEST(placement.MayUse(kNow, id));
  placement.brittle().OnAnswer(kNow, id, 0, {.bound_per_s = 4});
  BOOST_TEST(!placement.MayUse(kNow, id));
  placement.OnLoad(kNow, id, /*running=*/1, /*waiting=*/0);
  BOOST_TEST(placement.MayUse(kNow, id));
  placement.brittle().OnAnswer(kNow, id, 0,
                               {.bound_per_s = 4, .turned_away = true});
  BOOST_TEST(!placement.MayUse(kNow, id));
  BOOST_TEST(placement.NextUsableAt(kNow, kEngines).has_value());
  placement.brittle().OnAnswer(kNow, id, 0, {});
  BOOST_TEST(placement.MayUse(kNow, id));
}

// BUDGET on tortared (inc1): servers crash under calls and start again.
BOOST_AUTO_TEST_CASE(a_server_that_crashed_is_used_again_once_it_has_started) {
  auto fleet = Fleet(1);
  fleet.resize(2);
  fleet[0].started_ms = 1;
  Placement placement = PlacementIn("santiago", "stgo-a", fleet, 1);
  const ServerId crashed = fleet[0].id;
  for (int lost = 0; lost < 6; ++lost) {
    placement.OnFailure(kNow, crashed);
  }
  const PlacementRequest request{.service = kEngines};
  BOOST_TEST((placement.Pick(kNow, request) == fleet[1].id));
  fleet[0].started_ms = 2;
  placement.SetServers({&fleet[0], &fleet[1]});
  BOOST_TEST((placement.Pick(kNow, request) == crashed));
}

BOOST_AUTO_TEST_CASE(instances_agree_on_the_server_of_a_shared_prefix) {
  const auto fleet = Fleet(3);
  Placement one = PlacementIn("santiago", "stgo-a", fleet, 1);
  Placement other = PlacementIn("santiago", "stgo-b", fleet, 2);
  std::map<ServerId, int> used;
  for (uint64_t prefix_hash = 1; prefix_hash <= 200; ++prefix_hash) {
    const auto picked = one.Pick(kNow, RequestWithPrefix(prefix_hash));
    BOOST_TEST_REQUIRE(picked.has_value());
    BOOST_TEST((picked == other.Pick(kNow, RequestWithPrefix(prefix_hash))));
    ++used[*picked];
  }
  // The prefixes spread over the region's servers and over no others.
  BOOST_TEST(used.size() == 6U);
  for (const auto& [server, prefixes] : used) {
    BOOST_TEST(prefixes > 15);
    BOOST_TEST(!server.value().starts_with("conce"));
  }
}

BOOST_AUTO_TEST_CASE(a_prefix_moves_away_from_a_server_that_is_much_busier) {
  const auto fleet = Fleet(3);
  Placement placement = PlacementIn("santiago", "stgo-a", fleet, 1);
  const ServerId first = *placement.Pick(kNow, RequestWithPrefix(7));
  placement.OnLoad(kNow, first, 60, 0);
  BOOST_TEST((placement.Pick(kNow, RequestWithPrefix(7)) != first));
}

BOOST_AUTO_TEST_CASE(an_old_load_report_is_ignored) {
  const auto fleet = Fleet(3);
  Placement placement = PlacementIn("santiago", "stgo-a", fleet, 1);
  const ServerId first = *placement.Pick(kNow, RequestWithPrefix(7));
  placement.OnLoad(kNow, first, 60, 0);
  const Time later = kNow + std::chrono::seconds(10);
  BOOST_TEST((placement.Pick(later, RequestWithPrefix(7)) == first));
}

BOOST_AUTO_TEST_CASE(calls_cross_the_region_only_when_it_is_full) {
  const auto fleet = Fleet(1);
  Placement placement = PlacementIn("concepcion", "conce-a", fleet, 1);
  for (int call = 0; call < 15; ++call) {
    const auto server = placement.Pick(kNow, {.service = kEngines});
    BOOST_TEST((server == ServerId("conce-a-0")));
    placement.OnSent(kNow, *server);
  }
  for (int call = 0; call < 60; ++call) {
    placement.OnSent(kNow, ServerId("conce-a-0"));
  }
  BOOST_TEST(
      (placement.Pick(kNow, {.service = kEngines}) != ServerId("conce-a-0")));
}

BOOST_AUTO_TEST_CASE(a_long_prompt_avoids_engines_with_much_pending_prefill) {
  const auto fleet = Fleet(1);
  Placement placement = PlacementIn("santiago", "stgo-a", fleet, 1);
  // One call each, of different length.
  placement.OnSent(kNow, ServerId("stgo-a-0"), {.tokens = 80'000});
  placement.OnSent(kNow, ServerId("stgo-b-0"), {.tokens = 1'000});
  const PlacementRequest request{.service = kEngines,
                                 .prompt = {.tokens = 20'000}};
  BOOST_TEST((placement.Pick(kNow, request) == ServerId("stgo-b-0")));
}

BOOST_AUTO_TEST_CASE(waits_reported_by_another_region_keep_calls_in_this_one) {
  const auto fleet = Fleet(1);
  Placement placement = PlacementIn("concepcion", "conce-a", fleet, 1);
  placement.OnSent(kNow, ServerId("conce-a-0"), {.tokens = 150'000});
  const PlacementRequest request{.service = kEngines,
                                 .prompt = {.tokens = 10'000}};
  BOOST_TEST((placement.Pick(kNow, request) != ServerId("conce-a-0")));
  for (const char* far : {"stgo-a-0", "stgo-b-0"}) {
    placement.OnReportedWait(kNow, ServerId(far), std::chrono::seconds(6));
  }
  BOOST_TEST((placement.Pick(kNow, request) == ServerId("conce-a-0")));
  // A report that is too old is ignored.
  const Time later = kNow + std::chrono::milliseconds(1100);
  BOOST_TEST((placement.Pick(later, request) != ServerId("conce-a-0")));
}

BOOST_AUTO_TEST_CASE(reports_prefill_load_and_waits_of_the_region) {
  const auto fleet = Fleet(1);
  Placement placement = PlacementIn("concepcion", "conce-a", fleet, 1);
  placement.SetMemory(kEngines, {.cache_tokens = 500'000});
  BOOST_TEST(placement.PrefillLoadInRegion(kNow).empty());
  for (int call = 0; call < 10; ++call) {
    placement.OnSent(kNow, ServerId("conce-a-0"), {.tokens = 10'000});
    placement.OnSent(kNow, ServerId("stgo-a-0"), {.tokens = 10'000});
  }
  const auto loads = placement.PrefillLoadInRegion(kNow);
  BOOST_TEST_REQUIRE(loads.size() == 1U);
  // Ten prompts of about 130 ms within two seconds; those sent to another
  // region don't count.
  BOOST_TEST(loads.front().second > 0.5);
  BOOST_TEST(loads.front().second < 0.8);
  const auto waits = placement.WaitsInRegion(kNow);
  BOOST_TEST_REQUIRE(waits.size() == 1U);
  BOOST_TEST((waits.front().second > std::chrono::seconds(1)));
  BOOST_TEST(placement.PrefillLoadInRegion(kNow + std::chrono::seconds(5))
                 .front()
                 .second == 0.0);
}

BOOST_AUTO_TEST_CASE(a_server_that_fails_repeatedly_is_in_cooldown) {
  const auto fleet = Fleet(1);
  Placement placement = PlacementIn("concepcion", "conce-a", fleet, 1);
  const ServerId near("conce-a-0");
  placement.OnFailure(kNow, near);
  BOOST_TEST((placement.Pick(kNow, {.service = kEngines}) == near));
  placement.OnFailure(kNow, near);
  BOOST_TEST((placement.Pick(kNow, {.service = kEngines}) != near));
  BOOST_TEST((placement.Pick(kNow + std::chrono::seconds(5),
                             {.service = kEngines}) == near));
}

BOOST_AUTO_TEST_CASE(a_server_in_cooldown_is_used_if_there_is_no_other) {
  auto fleet = Fleet(1);
  fleet.erase(fleet.begin(), fleet.begin() + 2);
  Placement placement = PlacementIn("concepcion", "conce-a", fleet, 1);
  for (int failure = 0; failure < 5; ++failure) {
    placement.OnFailure(kNow, ServerId("conce-a-0"));
  }
  BOOST_TEST(
      (placement.Pick(kNow, {.service = kEngines}) == ServerId("conce-a-0")));
}

BOOST_AUTO_TEST_CASE(a_server_that_was_tried_is_not_chosen_again) {
  const auto fleet = Fleet(1);
  Placement placement = PlacementIn("santiago", "stgo-a", fleet, 1);
  PlacementRequest request{.service = kEngines};
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto server = placement.Pick(kNow, request);
    BOOST_TEST_REQUIRE(server.has_value());
    request.tried.push_back(*server);
  }
  BOOST_TEST(!placement.Pick(kNow, request).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
