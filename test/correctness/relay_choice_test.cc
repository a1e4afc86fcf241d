#include "oleander/relay_choice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
const Location kHere{.region = RegionId("r-1"), .domain = DomainId("a")};

RelayPeer PeerIn(const std::string& domain, int number, double cores = 0.5) {
  RelayPeer peer;
  peer.instance = InstanceId(domain + std::to_string(number));
  peer.location = {.region = RegionId(domain < "m" ? "r-1" : "r-2"),
                   .domain = DomainId(domain)};
  peer.cores = cores;
  return peer;
}

// How often each domain is chosen in 1,000 draws.
std::map<std::string, int> Draws(RelayChoice& relays) {
  std::map<std::string, int> draws;
  for (int i = 0; i < 1000; ++i) {
    const auto peer = relays.Choose(kStart, {});
    BOOST_TEST_REQUIRE(peer.has_value());
    ++draws[peer->location.domain.value()];
  }
  return draws;
}

BOOST_AUTO_TEST_SUITE(relay_choice)

BOOST_AUTO_TEST_CASE(without_peers_there_is_none) {
  RelayChoice relays(kHere, 1);
  BOOST_TEST(relays.empty());
  BOOST_TEST(!relays.Choose(kStart, {}).has_value());
}

BOOST_AUTO_TEST_CASE(prefers_peers_nearby) {
  RelayChoice relays(kHere, 1);
  relays.SetPeers({PeerIn("a", 1), PeerIn("b", 1), PeerIn("z", 1)});
  auto draws = Draws(relays);
  BOOST_TEST(draws["a"] > 2 * draws["b"]);
  BOOST_TEST(draws["b"] > 4 * draws["z"]);
  BOOST_TEST(draws["z"] > 0);
}

BOOST_AUTO_TEST_CASE(spreads_calls_by_processor_shares) {
  RelayChoice relays(kHere, 1);
  relays.SetPeers({PeerIn("b", 1, 0.12), PeerIn("c", 1, 0.48)});
  auto draws = Draws(relays);
  BOOST_TEST(draws["c"] > 3 * draws["b"]);
}

BOOST_AUTO_TEST_CASE(chooses_no_peer_twice_for_a_call) {
  RelayChoice relays(kHere, 1);
  relays.SetPeers({PeerIn("a", 1), PeerIn("b", 1)});
  std::vector<InstanceId> tried;
  while (const auto peer = relays.Choose(kStart, tried)) {
    BOOST_TEST(std::ranges::count(tried, peer->instance) == 0);
    tried.push_back(peer->instance);
  }
  BOOST_TEST(tried.size() == 2U);
}

BOOST_AUTO_TEST_SUITE(a_peer_that_failed)

BOOST_AUTO_TEST_CASE(is_avoided_for_a_while) {
  RelayChoice relays(kHere, 1);
  const RelayPeer failed = PeerIn("a", 1);
  relays.SetPeers({failed, PeerIn("z", 1)});
  relays.OnFailed(kStart, failed.instance);
  BOOST_TEST(Draws(relays)["z"] == 1000);
  BOOST_TEST(
      relays.Choose(kStart + milliseconds(1000), {PeerIn("z", 1).instance})
          ->instance == failed.instance);
}

BOOST_AUTO_TEST_CASE(is_chosen_again_once_it_has_relayed_a_call) {
  RelayChoice relays(kHere, 1);
  const RelayPeer peer = PeerIn("a", 1);
  relays.SetPeers({peer, PeerIn("z", 1)});
  relays.OnFailed(kStart, peer.instance);
  relays.OnRelayed(peer.instance);
  BOOST_TEST(Draws(relays)["a"] > 900);
}

BOOST_AUTO_TEST_CASE(makes_its_domain_suspect) {
  RelayChoice relays(kHere, 1);
  relays.SetPeers({PeerIn("a", 1), PeerIn("a", 2), PeerIn("b", 1)});
  relays.OnFailed(kStart, InstanceId("a1"));
  auto draws = Draws(relays);
  BOOST_TEST(draws["b"] > 2 * draws["a"]);
}

BOOST_AUTO_TEST_CASE(is_asked_once_for_each_call_if_all_have_failed) {
  RelayChoice relays(kHere, 1);
  const std::vector<RelayPeer> peers = {PeerIn("a", 1), PeerIn("b", 1)};
  relays.SetPeers(peers);
  relays.OnFailed(kStart, peers[0].instance);
  relays.OnFailed(kStart, peers[1].instance);
  const auto first = relays.Choose(kStart, {});
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(!relays.Choose(kStart, {first->instance}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
