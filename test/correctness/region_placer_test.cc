// Calls for models that one instance places for its region, through its silence
// and its end.
#include "entry/region_placer.h"

#include <boost/test/unit_test.hpp>

#include "support/io_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kEngines("engines");

// Instances of one region on one loop, whose messages arrive at once unless
// they are cut off. "strong" places.
struct Region {
  struct Instance {
    Instance(Region& region, const std::string& name)
        : placement({}, LocationOf(), 1),
          placer(region.loop, InstanceId(name), LocationOf(), placement, 7,
                 {.forgotten_after = milliseconds(300),
                  .sweep_every = milliseconds(50)}) {
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
            region.Carry(InstanceId(name), to, message);
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
  void Carry(const InstanceId& from, const InstanceId& to,
             const mesh::Envelope& message) {
    if (cut) {
      return;
    }
    loop.Post([this, from, to, message] {
      (to == InstanceId("strong") ? strong : weak)
          ->placer.OnMessage(from, message);
    });
  }
  // What the weak one is told; waits for it.
  RegionPlacer::Placed Choose(const PlacementRequest& question) {
    std::optional<RegionPlacer::Placed> placed;
    weak->placer.Choose(question, [&placed](const RegionPlacer::Placed& told) {
      placed = told;
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

BOOST_AUTO_TEST_CASE(sends_calls_past_what_others_have_sent) {
  // Only the placer knows of these.
  const Time now = loop.now();
  strong->placement.OnSent(now, ServerId("e1"), {.tokens = 90'000});
  BOOST_TEST((Choose(Long()).server == ServerId("e2")));
  strong->placement.OnSent(now, ServerId("e2"), {.tokens = 300'000});
  BOOST_TEST((Choose(Long()).server == ServerId("e1")));
}

BOOST_AUTO_TEST_CASE(counts_a_call_from_its_choice_to_its_end) {
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST_REQUIRE(placed.call != 0U);
  const ServerId server = *placed.server;
  Placement& known = strong->placement;
  BOOST_TEST(known.local_calls(server) == 1);
  const PlacementRequest question = Long();
  const Duration alone = known.ExpectedFirstToken(loop.now(), server, question);
  weak->placer.OnBegun(placed.call);
  BOOST_TEST(io::RunUntil(loop, [&] {
    return known.ExpectedFirstToken(loop.now(), server, question) <
           alone / 2 + alone / 4;
  }));
  BOOST_TEST(known.local_calls(server) == 1);
  weak->placer.OnEnded(placed.call);
  BOOST_TEST(
      io::RunUntil(loop, [&] { return known.local_calls(server) == 0; }));
}

BOOST_AUTO_TEST_CASE(that_is_silent_holds_up_no_call) {
  cut = true;
  const Time asked_at = loop.now();
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST(placed.server.has_value());
  BOOST_TEST(placed.call == 0U);
  BOOST_TEST((loop.now() - asked_at < milliseconds(200)));
  // The next call isn't asked for at all.
  bool told = false;
  weak->placer.Choose(Long(),
                      [&told](const RegionPlacer::Placed&) { told = true; });
  BOOST_TEST(told);
}

BOOST_AUTO_TEST_CASE(whose_answer_is_late_forgets_the_call) {
  // The question arrives, the answer too late.
  cut = true;
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST(placed.call == 0U);
  cut = false;
  mesh::Envelope ask;
  ask.mutable_place_ask()->set_call(8);  // The first after the seed.
  ask.mutable_place_ask()->set_service(kEngines.value());
  ask.mutable_place_ask()->set_tokens(20'000);
  strong->placer.OnMessage(InstanceId("weak"), ask);
  const auto calls = [this] {
    return strong->placement.local_calls(ServerId("e1")) +
           strong->placement.local_calls(ServerId("e2"));
  };
  BOOST_TEST(calls() == 1);
  // Nobody speaks of it again.
  BOOST_TEST(io::RunUntil(loop, [&] {
    mesh::Envelope other;
    other.mutable_place_ask()->set_call(99);
    other.mutable_place_ask()->set_service("none");
    strong->placer.OnMessage(InstanceId("weak"), other);
    return calls() == 0;
  }));
}

BOOST_AUTO_TEST_CASE(that_stops_sends_askers_on) {
  strong->placer.Retire();
  const RegionPlacer::Placed placed = Choose(Long());
  BOOST_TEST(placed.server.has_value());
  BOOST_TEST(placed.call == 0U);
  BOOST_TEST(strong->placement.local_calls(*placed.server) == 0);
}

BOOST_AUTO_TEST_CASE(does_not_know_who_wants_a_pause_from_the_asker) {
  weak->placement.notices().OnPauseRequested(loop.now(), ServerId("e1"), 0,
                                             seconds(9));
  for (int call = 0; call < 6; ++call) {
    BOOST_TEST((Choose(Long()).server == ServerId("e2")));
  }
}

BOOST_AUTO_TEST_CASE(is_not_asked_for_calls_of_other_services) {
  bool told = false;
  weak->placer.Choose({.service = kEngines},
                      [&told](const RegionPlacer::Placed& placed) {
                        told = placed.server.has_value();
                      });
  BOOST_TEST(told);
}

BOOST_AUTO_TEST_CASE(passes_over_words_that_make_no_sense) {
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
