// Selection of a backend server.
#include "oleander/routing.h"

#include <boost/test/unit_test.hpp>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
const ServiceId kService("model");

ServerInfo Engine(const std::string& id, const std::string& domain,
                  const std::string& region = "near") {
  ServerInfo info;
  info.id = ServerId(id);
  info.service = kService;
  info.location = {RegionId(region), DomainId(domain)};
  return info;
}

ServerLoad Idle(const std::string& id) {
  ServerLoad load;
  load.server = ServerId(id);
  load.slots = 8;
  load.prefill_tokens_per_s = 1000;
  return load;
}

RoutingOptions Here() {
  RoutingOptions options;
  options.location = {RegionId("near"), DomainId("a")};
  return options;
}

struct Fixture {
  Router router{Here()};
  uint64_t attempt = 0;

  void Start(std::vector<ServerInfo> servers) {
    router.SetServers(kStart, servers);
    for (const ServerInfo& info : servers) {
      router.OnLoad(kStart, Idle(info.id.value()));
    }
  }
  RouteQuery Query() const {
    RouteQuery query;
    query.service = kService;
    query.workspace = WorkspaceId("w");
    query.prompt_tokens = 640;
    query.bytes = 4000;
    return query;
  }
  std::string Choose(const RouteQuery& query, Time now = kStart) const {
    const auto route = router.Choose(now, query);
    return route.ok() ? route->server.value() : "none";
  }
  uint64_t Send(const std::string& server, std::vector<BlockHash> blocks = {},
                Time now = kStart) {
    DispatchedCall call;
    call.attempt = ++attempt;
    call.service = kService;
    call.server = ServerId(server);
    call.blocks = std::move(blocks);
    call.prompt_tokens = 640;
    call.bytes = 400'000;
    call.expected_first_token = milliseconds(300);
    router.OnDispatched(now, call);
    return attempt;
  }
};

BOOST_FIXTURE_TEST_SUITE(routing, Fixture)

BOOST_AUTO_TEST_SUITE(a_server_gets_no_work)

BOOST_AUTO_TEST_CASE(without_a_report) {
  router.SetServers(kStart, std::vector{Engine("e1", "a")});
  const auto route = router.Choose(kStart, Query());
  BOOST_TEST((CodeOf(route.status()) == ResultCode::kNoServer));
  BOOST_TEST((DetailsOf(route.status()).ran == Ran::kNo));
}

BOOST_AUTO_TEST_CASE(when_its_report_is_too_old) {
  Start({Engine("e1", "a")});
  BOOST_TEST(Choose(Query(), kStart + seconds(3)) == "e1");
  BOOST_TEST(Choose(Query(), kStart + seconds(4)) == "none");
}

BOOST_AUTO_TEST_CASE(while_it_is_leaving_whatever_it_reports) {
  Start({Engine("e1", "a")});
  router.OnLeaving(kStart, ServerId("e1"));
  router.OnLoad(kStart, Idle("e1"));
  BOOST_TEST(Choose(Query()) == "none");
}

BOOST_AUTO_TEST_CASE(on_which_this_request_failed_before) {
  Start({Engine("e1", "a"), Engine("e2", "a")});
  const std::vector avoid = {ServerId("e1")};
  RouteQuery query = Query();
  query.avoid = avoid;
  for (query.random_bits = 0; query.random_bits < 8; ++query.random_bits) {
    BOOST_TEST(Choose(query) == "e2");
  }
}

BOOST_AUTO_TEST_CASE(once_it_is_off_the_list) {
  Start({Engine("e1", "a"), Engine("e2", "a")});
  router.SetServers(kStart, std::vector{Engine("e2", "a")});
  BOOST_TEST(Choose(Query()) == "e2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_expected_wait_decides)

BOOST_AUTO_TEST_CASE(by_the_reported_queue) {
  Start({Engine("e1", "a"), Engine("e2", "a")});
  ServerLoad busy = Idle("e1");
  busy.running = 8;
  busy.waiting = 4;
  router.OnLoad(kStart, busy);
  BOOST_TEST(Choose(Query()) == "e2");
}

BOOST_AUTO_TEST_CASE(by_local_calls_that_the_report_does_not_include) {
  Start({Engine("e1", "a"), Engine("e2", "a")});
  for (int i = 0; i < 10; ++i) Send("e1", {}, kStart + milliseconds(10));
  BOOST_TEST(Choose(Query(), kStart + milliseconds(20)) == "e2");
  // A report sampled after the calls already includes them.
  router.OnLoad(kStart + milliseconds(30), Idle("e1"));
  ServerLoad busy = Idle("e2");
  busy.running = 8;
  router.OnLoad(kStart + milliseconds(30), busy);
  BOOST_TEST(Choose(Query(), kStart + milliseconds(30)) == "e1");
}

BOOST_AUTO_TEST_CASE(and_a_report_that_arrives_out_of_order_is_ignored) {
  Start({Engine("e1", "a"), Engine("e2", "a")});
  ServerLoad late = Idle("e1");
  late.running = 100;
  late.age = seconds(2);
  router.OnLoad(kStart + seconds(1), late);
  ServerLoad busy = Idle("e2");
  busy.running = 8;
  router.OnLoad(kStart, busy);
  BOOST_TEST(Choose(Query()) == "e1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_prompt_goes_where_its_prefix_is)

const std::vector<BlockHash> kBlocks = {1, 2, 3, 4, 5, 6, 7, 8, 9};

BOOST_AUTO_TEST_CASE(while_that_server_responds_fast) {
  Start({Engine("e1", "a"), Engine("e2", "b"), Engine("e3", "b")});
  router.OnEnded(kStart, Send("e3", kBlocks), {});
  RouteQuery query = Query();
  query.blocks = kBlocks;
  const auto route = router.Choose(kStart, query);
  BOOST_REQUIRE(route.ok());
  BOOST_TEST(route->server.value() == "e3");
  BOOST_TEST(route->cached_tokens == 576);
}

BOOST_AUTO_TEST_CASE(and_spreads_when_the_wait_passes_the_recompute) {
  Start({Engine("e1", "a"), Engine("e2", "a")});
  router.OnEnded(kStart, Send("e2", kBlocks), {});
  ServerLoad busy = Idle("e2");
  busy.running = 8;
  busy.waiting = 12;
  router.OnLoad(kStart, busy);
  RouteQuery query = Query();
  query.blocks = kBlocks;
  BOOST_TEST(Choose(query) == "e1");
}

BOOST_AUTO_TEST_CASE(also_while_only_a_draining_server_has_it) {
  Start({Engine("e1", "a"), Engine("e2", "a")});
  router.OnEnded(kStart, Send("e2", kBlocks), {});
  router.OnDraining(kStart, ServerId("e2"), kStart + seconds(2));
  RouteQuery query = Query();
  BOOST_TEST(Choose(query) == "e1");  // Another conversation.
  query.blocks = kBlocks;
  BOOST_TEST(Choose(query) == "e2");
  BOOST_TEST(Choose(query, kStart + seconds(2)) == "e1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_link_between_regions)

BOOST_AUTO_TEST_CASE(is_not_used_while_the_local_region_is_fast) {
  Start({Engine("e1", "b"), Engine("e2", "c", "far")});
  RouteQuery query = Query();
  for (query.random_bits = 0; query.random_bits < 8; ++query.random_bits) {
    BOOST_TEST(Choose(query) == "e1");
  }
}

BOOST_AUTO_TEST_CASE(is_used_when_the_local_region_has_no_usable_server) {
  Start({Engine("e1", "b"), Engine("e2", "c", "far")});
  router.OnLeaving(kStart, ServerId("e1"));
  const auto route = router.Choose(kStart, Query());
  BOOST_REQUIRE(route.ok());
  BOOST_TEST(route->crosses_region);
}

BOOST_AUTO_TEST_CASE(carries_no_more_than_its_budget) {
  Start({Engine("e2", "c", "far")});
  Send("e2");
  Send("e2");  // 800 of 940 kB are used.
  RouteQuery query = Query();
  query.bytes = 400'000;
  BOOST_TEST(Choose(query) == "none");
  BOOST_TEST(Choose(query, kStart + seconds(1)) == "e2");
  BOOST_TEST(router.counts().cross_region_bytes == 800'000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read_after_a_write)

RouteQuery Read(const Fixture& fixture, uint64_t random_bits) {
  RouteQuery query = fixture.Query();
  query.reads_own_writes = true;
  query.random_bits = random_bits;
  return query;
}

BOOST_AUTO_TEST_CASE(goes_to_the_server_that_took_it) {
  Start({Engine("e1", "a"), Engine("e2", "b"), Engine("e3", "b")});
  router.OnWrite(kStart, {kService, WorkspaceId("w"), ServerId("e3"), 7});
  for (uint64_t random_bits = 0; random_bits < 8; ++random_bits) {
    BOOST_TEST(Choose(Read(*this, random_bits)) == "e3");
  }
}

BOOST_AUTO_TEST_CASE(or_to_one_that_reports_its_version) {
  Start({Engine("e1", "a"), Engine("e2", "b")});
  router.OnWrite(kStart, {kService, WorkspaceId("w"), ServerId("e2"), 7});
  ServerLoad seen = Idle("e1");
  seen.version = 7;
  router.OnLoad(kStart, seen);
  router.OnLeaving(kStart, ServerId("e2"));
  BOOST_TEST(Choose(Read(*this, 0)) == "e1");
}

BOOST_AUTO_TEST_CASE(is_refused_while_only_a_leaving_server_has_it) {
  Start({Engine("e1", "a"), Engine("e2", "b")});
  router.OnWrite(kStart, {kService, WorkspaceId("w"), ServerId("e2"), 7});
  router.OnLeaving(kStart, ServerId("e2"));
  const auto route = router.Choose(kStart, Read(*this, 0));
  BOOST_TEST((CodeOf(route.status()) == ResultCode::kNoServer));
  BOOST_TEST(DetailsOf(route.status()).retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(is_marked_stale_when_no_live_server_has_it) {
  Start({Engine("e1", "a"), Engine("e2", "b")});
  router.OnWrite(kStart, {kService, WorkspaceId("w"), ServerId("e2"), 7});
  router.SetServers(kStart, std::vector{Engine("e1", "a")});
  const auto route = router.Choose(kStart, Read(*this, 0));
  BOOST_REQUIRE(route.ok());
  BOOST_TEST(route->may_be_stale);
}

BOOST_AUTO_TEST_CASE(keeps_to_the_newest_write_when_marks_come_late) {
  Start({Engine("e1", "a"), Engine("e2", "b")});
  router.OnWrite(kStart, {kService, WorkspaceId("w"), ServerId("e2"), 7});
  router.OnWrite(kStart, {kService, WorkspaceId("w"), ServerId("e1"), 6});
  BOOST_TEST(Choose(Read(*this, 1)) == "e2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_slow_server_is_ejected_and_returns) {
  Start({Engine("e1", "a"), Engine("e2", "a"), Engine("e3", "a")});
  Time now = kStart;
  for (int i = 0; i < 30; ++i) {
    for (const auto& [server, wait] :
         {std::pair("e1", 300), {"e2", 300}, {"e3", 3000}}) {
      const uint64_t call = Send(server, {}, now);
      router.OnFirstToken(now + milliseconds(wait), call);
      router.OnEnded(now + milliseconds(wait), call, {});
    }
  }
  BOOST_TEST(router.counts().ejections == 1U);
  for (const char* id : {"e1", "e2", "e3"}) router.OnLoad(now, Idle(id));
  BOOST_TEST(router.UsableServers(now, kService).size() == 2U);
  now += seconds(60);
  for (const char* id : {"e1", "e2", "e3"}) router.OnLoad(now, Idle(id));
  BOOST_TEST(router.UsableServers(now, kService).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
