// Seeded random runs of routing, admission and capacity with lost and reordered
// messages and changing servers. Every failed invariant of these parts is an
// error.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

#include "oleander/admission.h"
#include "oleander/capacity.h"
#include "oleander/invariant.h"
#include "oleander/routing.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

struct Fixture {
  uint64_t seed = FromEnvironment("OLEANDER_SOAK_SEED", 1);
  uint64_t steps = FromEnvironment("OLEANDER_SOAK_STEPS", 20'000);
  std::mt19937_64 random{seed};
  uint64_t failures_before = invariant_failures();
  Time now{std::chrono::seconds(1000)};

  Fixture() {
    SetInvariantHandler([](const InvariantFailure& failure) {
      BOOST_ERROR(failure.name + ": " + failure.message);
    });
    BOOST_TEST_MESSAGE("seed " << seed << ", steps " << steps);
  }
  ~Fixture() { SetInvariantHandler({}); }
  uint64_t Below(uint64_t n) { return random() % n; }
};

BOOST_FIXTURE_TEST_SUITE(decisions, Fixture)

BOOST_AUTO_TEST_CASE(no_work_goes_to_a_server_that_must_get_none) {
  Router router({.seed = seed});
  std::map<ServerId, ServerInfo> listed;
  std::map<ServerId, Time> sampled;
  std::set<ServerId> leaving;
  std::map<uint64_t, ServerId> flights;
  const auto any = [&](auto& map) {
    return std::next(map.begin(), static_cast<int>(Below(map.size())));
  };
  for (uint64_t step = 0; step < steps; ++step) {
    now += milliseconds(Below(40));
    const uint64_t what = Below(10);
    if (what == 0 || listed.empty()) {
      ServerInfo info;
      info.id = ServerId("s" + std::to_string(Below(30)));
      info.service = ServiceId("model");
      info.location.domain = DomainId(std::to_string(Below(3)));
      if (listed.erase(info.id) > 0) {
        leaving.erase(info.id);
        sampled.erase(info.id);
      } else {
        listed[info.id] = info;
      }
      std::vector<ServerInfo> list;
      list.reserve(listed.size());
      for (const auto& [id, each] : listed) list.push_back(each);
      router.SetServers(now, list);
    } else if (what < 4) {
      ServerLoad load;
      load.server = any(listed)->first;
      load.age = milliseconds(Below(4000));
      load.running = static_cast<int>(Below(20));
      load.slots = 8;
      load.queued_tokens = static_cast<int64_t>(Below(5000));
      load.leaving = Below(50) == 0;
      router.OnLoad(now, load);
      Time& sample = sampled[load.server];
      if (now - load.age >= sample && load.leaving) leaving.insert(load.server);
      sample = std::max(sample, now - load.age);
    } else if (what == 4 && !flights.empty()) {
      const auto flight = any(flights);
      router.OnFirstToken(now, flight->first);
      const bool failed = Below(10) == 0;
      router.OnEnded(
          now, flight->first,
          {.outcome = failed ? CallOutcome::kFailed : CallOutcome::kAnswered});
      flights.erase(flight);
    } else {
      RouteQuery query;
      query.service = ServiceId("model");
      const std::vector<BlockHash> blocks = {Below(20), 100 + Below(100)};
      query.blocks = blocks;
      query.prompt_tokens = 130;
      query.random_bits = random();
      const auto route = router.Choose(now, query);
      if (!route.ok()) continue;
      BOOST_REQUIRE(listed.contains(route->server));
      BOOST_TEST(!leaving.contains(route->server));
      BOOST_TEST((now - sampled[route->server] <= std::chrono::seconds(3)));
      DispatchedCall call;
      call.attempt = step;
      call.service = query.service;
      call.server = route->server;
      call.blocks = blocks;
      call.prompt_tokens = 130;
      router.OnDispatched(now, call);
      flights[step] = route->server;
    }
  }
  for (const auto& [attempt, server] : flights) {
    router.OnEnded(now, attempt, {});
  }
  for (const auto& [id, info] : listed) BOOST_TEST(router.in_flight(id) == 0);
  BOOST_TEST(invariant_failures() == failures_before);
}

BOOST_AUTO_TEST_CASE(every_request_ends_once_and_shares_are_respected) {
  Admission admission({.initial_limit = 8});
  const ServiceId service("model");
  std::set<AdmissionId> waiting;
  std::set<AdmissionId> running;
  for (uint64_t step = 1; step <= steps; ++step) {
    now += milliseconds(Below(60));
    const uint64_t what = Below(5);
    if (what < 3) {
      AdmissionQuery query;
      query.id = step;
      query.service = service;
      query.workspace = WorkspaceId(std::to_string(Below(Below(4) + 1)));
      query.priority = static_cast<Priority>(Below(3));
      query.cost_tokens = 1 + static_cast<double>(Below(500));
      query.first_token_target = milliseconds(Below(2) * 1500);
      if (Below(2) == 0) query.deadline = now + milliseconds(Below(5000));
      query.expected_first_token = milliseconds(Below(500));
      const AdmissionKind kind = admission.Offer(now, query).kind;
      if (kind == AdmissionKind::kAdmit) running.insert(step);
      if (kind == AdmissionKind::kQueue) waiting.insert(step);
    } else if (what == 3 && !running.empty()) {
      const AdmissionId id =
          *std::next(running.begin(), static_cast<int>(Below(running.size())));
      admission.OnFirstToken(now, id);
      admission.OnFinished(now, id);
      running.erase(id);
    }
    for (const AdmissionRelease& release : admission.Tick(now)) {
      BOOST_REQUIRE(waiting.erase(release.id) == 1U);
      if (release.status.ok()) running.insert(release.id);
    }
    BOOST_REQUIRE(admission.in_flight(service) ==
                  static_cast<int>(running.size()));
    BOOST_REQUIRE(admission.queued(service) ==
                  static_cast<int>(waiting.size()));
  }
  BOOST_TEST(admission.fairness_violations() == 0U);
  BOOST_TEST(invariant_failures() == failures_before);
}

// Two planners hold the lease in turn. The one without it is called with an
// expired lease, and responses to starts get lost.
BOOST_AUTO_TEST_CASE(two_planners_never_start_more_than_is_wanted) {
  CapacityOptions options;
  options.service = ServiceId("model");
  Profile profile;
  profile.capacity.max_servers = 12;
  std::vector<MarketPrice> prices;
  for (const char* domain : {"a", "b", "c"}) {
    prices.push_back({{"standard", DomainId(domain), Market::kOnDemand}, 1});
  }
  std::vector<CapacityPlanner> planners(2, CapacityPlanner(options, profile));
  for (CapacityPlanner& planner : planners) planner.SetPrices(prices);
  std::map<std::string, CapacityServer> cloud;  // By client token.
  uint64_t made_servers = 0;
  uint64_t fence = 1;
  size_t holder = 0;
  Time lease_end = now + std::chrono::seconds(10);
  for (uint64_t step = 0; step < steps / 10; ++step) {
    now += milliseconds(200 + Below(800));
    if (now >= lease_end) {
      if (Below(4) == 0) holder = 1 - holder, ++fence;
      lease_end = now + std::chrono::seconds(10);
    }
    std::vector<CapacityServer> listed;
    listed.reserve(cloud.size());
    for (const auto& [token, server] : cloud) listed.push_back(server);
    const double demand = 2 + static_cast<double>(Below(40)) / 10;
    for (size_t i = 0; i < planners.size(); ++i) {
      planners[i].SetServers(now, listed);
      planners[i].OnDemand(now, {.interactive = demand, .total = demand});
      if (i != holder) {
        // With an expired lease the planner must order nothing.
        BOOST_REQUIRE(planners[i].Plan(now, {1, now}).empty());
        continue;
      }
      for (const auto& order : planners[i].Plan(now, {fence, lease_end})) {
        if (const auto* start = std::get_if<StartInstance>(&order)) {
          CapacityServer server;
          server.info.id = ServerId("s" + std::to_string(++made_servers));
          server.info.service = options.service;
          server.info.machine_class = start->key.machine_class;
          server.info.location.domain = start->key.domain;
          const auto made = cloud.try_emplace(start->client_token, server);
          if (Below(5) > 0) {  // Otherwise the response is lost.
            planners[i].OnStarted(now, start->client_token,
                                  made.first->second.info.id);
          }
        } else if (const auto* drain = std::get_if<DrainServer>(&order)) {
          for (auto& [token, server] : cloud) {
            if (server.info.id == drain->server) server.leaving = true;
          }
        } else if (const auto* stop = std::get_if<StopInstance>(&order)) {
          std::erase_if(cloud, [&](const auto& entry) {
            return entry.second.info.id == stop->server;
          });
        }
      }
    }
    // A move starts the new server before the old one is drained.
    BOOST_REQUIRE(std::ranges::count_if(cloud, [](const auto& entry) {
                    return !entry.second.leaving;
                  }) <= 13);
    BOOST_REQUIRE(cloud.size() <= 30U);
  }
  BOOST_TEST(invariant_failures() == failures_before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
