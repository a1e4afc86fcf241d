// Model calls for which one instance of a region chooses the servers, also
// while that instance doesn't reply or is stopping.
#include "entry/region_placer.h"

#include <boost/test/unit_test.hpp>

#include "support/io_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kEngines("engines");

// Two instances of one region on one loop. Their messages arrive in the loop's
// next round, or not at all while `cut` is set. "strong" is the placer.
struct Region {
  struct Instance {
    Instance(Region& region, const std::string& name)
        : placement({}, LocationOf(), 1),
          placer(region.loop, InstanceId(name), LocationOf(), placement, 7,
                 {.call_lifetime = milliseconds(300),
                  .sweep_interval = milliseconds(50)}) {
      placement.SetRegions({{DomainId("d"), RegionId("r")}});
      placement.SetServers(region.Servers());
      placer.SetCandidates({{.instance = InstanceId("strong"),
                             .region = RegionId("r"),
                             .cores = 2},
                            {.instance = InstanceId("weak"),
                             .region = RegionId("r"),
                             .cores = 1}});
      placer.OnSend(
          [&region, name](const InstanceId& to, const mesh::Envelope& message) {
            region.Deliver(InstanceId(name), to, message);
          });
    }
    Placement placement;
    RegionPlacer placer;
  };

  Region() {
    for (const char* id : {"e1", "e2"}) {
      ListedServer server;
      server.id = ServerId(id);
      server.service = kEngines;
      server.domain = DomainId("d");
      server.slots = 64;
      servers.push_back(server);
    }
    strong = std::make_unique<Instance>(*this, "strong");
    weak = std::make_unique<Instance>(*this, "weak");
  }

  static Location LocationOf() {
    return {.region = RegionId("r"), .domain = DomainId("d")};
  }
  std::vector<const ListedServer*> Servers() const {
    std::vector<const ListedServer*> list;
    list.reserve(servers.size());
    for (const ListedServer& server : servers) {
      list.push_back(&server);
    }
    return list;
  }
  void Deliver(const InstanceId& from, const InstanceId& to,
               const mesh::Envelope& message) {
    if (cut) {
      return;
    }
    loop.Post([this, from, to, message] {
      (to == InstanceId("strong") ? strong : weak)
          ->placer.OnMessage(from, message);
    });
  }
  // Returns the choice for a call of "weak"; runs the loop until it is made.
  RegionPlacer::Placed Choose(const PlacementRequest& request) {
    std::optional<RegionPlacer::Placed> placed;
    weak->placer.Choose(request, [&placed](const RegionPlacer::Placed& chosen) {
      placed = chosen;
    });
    BOOST_TEST_REQUIRE(io::RunUntil(loop, [&] { return placed.has_value(); }));
    return *placed;
  }

  io::EventLoop loop;
  std::vector<ListedServer> servers;
  std::unique_ptr<Instance> strong;
  std::unique_ptr<Instance> weak;
  bool cut = false;
};

PlacementRequest Long() {
  return {.service = kEngines, .prompt = {.tokens = 20'000}};
}

BOOST_FIXTURE_TEST_SUITE(region_placer, Region)

BOOST_AUTO_TEST_CASE(avoids_engines_that_others_have_loaded) {
  // Only the placer knows these calls.
  const Time now = loop.now();
  strong->placement.OnSent(now, ServerId("e1"), {.tokens = 90'000});
  BOOST_TEST((Choose(Long()).server == ServerId("e2")));
  strong->placement.OnSent(now, ServerId("e2"), {.tokens = 300'000});
  BOOST_TEST((Choose(Long()).server == ServerId("e1")));
}

BOOST_AUTO_TEST_CASE(chooses_only_servers_of_the_version_that_a_call_needs) {
  servers[0].version = "v1";
  servers[1].version = "v2";
  for (Instance* instance : {strong.get(), weak.get()}) {
    instance->placement.SetServers(Servers());
  }
  strong->placement.OnSent(loop.now(), ServerId("e1"), {.tokens = 90'000});
  PlacementRequest request = Long();
  request.version = "v1";
  BOOST_TEST((Choose(request).server == ServerId("e1")));
  request.version = "v2";
  BOOST_TEST((Choose(request).server == ServerId("e2")));
  request.version = "v3";
  BOOST_TEST(!Choose(request).server.has_value());
}

BOOST_AUTO_TEST_CASE(takes_no_server_whose_version_the_placer_knows_wrongly) {
  servers[0].version = "v1";
  servers[1].version = "v1";
  strong->placement.SetServers(Servers());
  servers[0].version = "v2";
  weak->placement.SetServers(Servers());
  // Only the first one is free for the placer, which takes it for the old one.
  strong->placement.OnSent(loop.now(), ServerId("e2"), {.tokens = 300'000});
  PlacementRequest request = Long();
  request.version = "v1";
  BOOST_TEST((Choose(request).server == ServerId("e2")));
}

BOOST_AUTO_TEST_CASE(counts_a_call_from_its_choice_to_its_end) {
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST_REQUIRE(placed.call != 0U);
  const ServerId server = *placed.server;
  Placement& known = strong->placement;
  BOOST_TEST(known.local_calls(server) == 1);
  const PlacementRequest request = Long();
  const Duration alone = known.ExpectedFirstToken(loop.now(), server, request);
  weak->placer.OnStarted(placed.call);
  BOOST_TEST(io::RunUntil(loop, [&] {
    return known.ExpectedFirstToken(loop.now(), server, request) <
           alone / 2 + alone / 4;
  }));
  BOOST_TEST(known.local_calls(server) == 1);
  weak->placer.OnEnded(placed.call);
  BOOST_TEST(
      io::RunUntil(loop, [&] { return known.local_calls(server) == 0; }));
}

BOOST_AUTO_TEST_CASE(that_does_not_reply_delays_no_call) {
  cut = true;
  const Time requested_at = loop.now();
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST(placed.server.has_value());
  BOOST_TEST(placed.call == 0U);
  BOOST_TEST((loop.now() - requested_at < milliseconds(200)));
  // For the next call no request is sent, so its choice is made at once.
  bool chosen = false;
  weak->placer.Choose(
      Long(), [&chosen](const RegionPlacer::Placed&) { chosen = true; });
  BOOST_TEST(chosen);
}

BOOST_AUTO_TEST_CASE(whose_reply_is_late_expires_the_call) {
  // The request reaches the placer, but its reply would come too late.
  cut = true;
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST(placed.call == 0U);
  cut = false;
  mesh::Envelope request;
  request.mutable_place_ask()->set_call(8);  // The first after the seed.
  request.mutable_place_ask()->set_service(kEngines.value());
  request.mutable_place_ask()->set_tokens(20'000);
  strong->placer.OnMessage(InstanceId("weak"), request);
  const auto calls = [this] {
    return strong->placement.local_calls(ServerId("e1")) +
           strong->placement.local_calls(ServerId("e2"));
  };
  BOOST_TEST(calls() == 1);
  // No update about the call follows. The other request triggers the scan for
  // expired calls.
  BOOST_TEST(io::RunUntil(loop, [&] {
    mesh::Envelope other;
    other.mutable_place_ask()->set_call(99);
    other.mutable_place_ask()->set_service("none");
    strong->placer.OnMessage(InstanceId("weak"), other);
    return calls() == 0;
  }));
}

BOOST_AUTO_TEST_CASE(that_retires_redirects_requests) {
  strong->placer.Retire();
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST(placed.server.has_value());
  BOOST_TEST(placed.call == 0U);
  BOOST_TEST(strong->placement.local_calls(*placed.server) == 0);
}

BOOST_AUTO_TEST_CASE(is_overridden_if_the_requester_has_the_server_paused) {
  weak->placement.notices().OnPauseRequested(loop.now(), ServerId("e1"), 0,
                                             seconds(9));
  for (int call = 0; call < 6; ++call) {
    BOOST_TEST((Choose(Long()).server == ServerId("e2")));
  }
}

BOOST_AUTO_TEST_CASE(is_not_queried_for_calls_without_a_prompt) {
  bool chosen = false;
  weak->placer.Choose({.service = kEngines},
                      [&chosen](const RegionPlacer::Placed& placed) {
                        chosen = placed.server.has_value();
                      });
  BOOST_TEST(chosen);
}

BOOST_AUTO_TEST_CASE(ignores_invalid_messages) {
  mesh::Envelope message;
  message.mutable_place_tell()->set_call(12345);
  message.mutable_place_tell()->set_server("e1");
  weak->placer.OnMessage(InstanceId("strong"), message);
  message.mutable_place_news()->add_ended(777);
  message.mutable_place_news()->add_begun(778);
  message.mutable_place_news()->add_failed("nobody");
  strong->placer.OnMessage(InstanceId("weak"), message);
  message.mutable_place_ask()->set_tokens(-5);
  message.mutable_place_ask()->add_prefixes(3);
  message.mutable_place_ask()->add_prefix_tokens(1'000'000);
  message.mutable_place_ask()->set_service(kEngines.value());
  strong->placer.OnMessage(InstanceId("weak"), message);
  BOOST_TEST(Choose(Long()).server.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
