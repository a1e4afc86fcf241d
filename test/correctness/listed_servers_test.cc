// The list of servers as servers leave and fail, and through store outages.
#include "oleander/listed_servers.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::milliseconds;

constexpr Time At(int64_t ms) { return Time(milliseconds(ms)); }

ListedServer Server(const std::string& id,
                    ListedState state = ListedState::kReady) {
  ListedServer server;
  server.id = ServerId(id);
  server.service = ServiceId("engines");
  server.state = state;
  return server;
}

size_t ReadyIn(const ListedServers& servers) { return servers.ready().size(); }

BOOST_AUTO_TEST_SUITE(listed_servers)

BOOST_AUTO_TEST_CASE(a_server_that_leaves_gets_no_new_work_at_once) {
  ListedServers servers;
  servers.Replace(At(0), {Server("a"), Server("b")}, 10);
  BOOST_TEST(ReadyIn(servers) == 2U);
  servers.Put(At(1), Server("a", ListedState::kLeaving), 11);
  BOOST_TEST(ReadyIn(servers) == 1U);
  BOOST_TEST(servers.Find(ServerId("a")) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_older_write_does_not_undo_a_newer_one) {
  ListedServers servers;
  servers.Put(At(0), Server("a", ListedState::kLeaving), 12);
  servers.Put(At(1), Server("a"), 11);
  BOOST_TEST(ReadyIn(servers) == 0U);
  servers.Put(At(2), Server("b"), 13);
  servers.Remove(At(3), ServerId("b"), 15);
  servers.Put(At(4), Server("b"), 14);
  BOOST_TEST(servers.Find(ServerId("b")) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_server_may_return_under_its_id) {
  ListedServers servers;
  servers.Put(At(0), Server("a"), 10);
  servers.Remove(At(1), ServerId("a"), 11);
  servers.Put(At(2), Server("a"), 12);
  BOOST_TEST(ReadyIn(servers) == 1U);
}

BOOST_AUTO_TEST_CASE(a_listing_without_a_server_removes_it) {
  ListedServers servers;
  servers.Replace(At(0), {Server("a"), Server("b")}, 10);
  servers.Replace(At(1), {Server("b")}, 20);
  BOOST_TEST(servers.Find(ServerId("a")) == nullptr);
}

BOOST_AUTO_TEST_SUITE(around_an_outage_of_the_store)

BOOST_AUTO_TEST_CASE(the_list_stays_as_it_was) {
  ListedServers servers;
  servers.Replace(At(0), {Server("a")}, 10);
  servers.OnStoreUnreachable(At(100));
  servers.Tick(At(60'000));
  BOOST_TEST(ReadyIn(servers) == 1U);
}

BOOST_AUTO_TEST_CASE(an_expired_entry_has_a_grace_period_to_return) {
  ListedServers servers;
  servers.Replace(At(0), {Server("a"), Server("b")}, 10);
  servers.OnStoreUnreachable(At(100));
  servers.OnStoreReachable(At(5'000));
  servers.Replace(At(5'001), {}, 20);
  BOOST_TEST(ReadyIn(servers) == 2U);
  BOOST_TEST((servers.next_due() == At(7'000)));

  servers.Put(At(6'000), Server("a"), 25);
  servers.Tick(At(6'999));
  BOOST_TEST(ReadyIn(servers) == 2U);
  servers.Tick(At(7'000));
  BOOST_TEST(ReadyIn(servers) == 1U);
  BOOST_TEST(servers.Find(ServerId("a")) != nullptr);
  BOOST_TEST((servers.next_due() == Time::max()));
}

BOOST_AUTO_TEST_CASE(a_server_that_was_leaving_does_not_return) {
  ListedServers servers;
  servers.Replace(At(0), {Server("a", ListedState::kLeaving)}, 10);
  servers.OnStoreUnreachable(At(100));
  servers.OnStoreReachable(At(5'000));
  servers.Replace(At(5'001), {}, 20);
  BOOST_TEST(servers.Find(ServerId("a")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
