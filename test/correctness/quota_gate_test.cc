// Two instances share the quota of a workspace over mesh messages; one of them
// is the allocator.
#include "entry/quota_gate.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "entry/quota_codec.h"
#include "support/io_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkspaceId kBakery("bakery");
const InstanceId kRequester("asker");
const InstanceId kAllocator("allocator");

std::shared_ptr<const ServingConfig> ConfigWith(double per_s) {
  ServingConfigParts parts;
  Workspace workspace;
  workspace.id = kBakery;
  workspace.quota = {
      .per_s = per_s, .burst = per_s, .in_tokens = true, .plain_tokens = 1};
  parts.workspaces = {workspace};
  return ServingConfig::Create(std::move(parts));
}

class TwoGates {
 public:
  explicit TwoGates(double per_s, Duration clock_offset = Duration::zero())
      : requester_clock(loop.now(), io::EventLoop::wall_now()),
        allocator_clock(loop.now(), io::EventLoop::wall_now() + clock_offset),
        requester(loop, requester_clock, kRequester, {}, 1),
        allocator(loop, allocator_clock, kAllocator, {}, 2) {
    requester.OnSend(
        [this](const InstanceId& to, const mesh::Envelope& message) {
          BOOST_TEST(to == kAllocator);
          loop.Post([this, message] {
            if (!cut) {
              allocator.OnMessage(kRequester, message);
            }
          });
        });
    allocator.OnSend([this](const InstanceId&, const mesh::Envelope& message) {
      loop.Post([this, message] { requester.OnMessage(kAllocator, message); });
    });
    for (QuotaGate* gate : {&requester, &allocator}) {
      gate->SetQuotas(*ConfigWith(per_s));
      AllocatorRanking ranking;
      ranking.fill({kAllocator});
      gate->SetInstances(2, ranking);
    }
  }

  // Returns empty if a call is admitted, otherwise the time after which to
  // retry.
  std::optional<Duration> Take(double cost) {
    bool called = false;
    std::optional<Duration> retry_after;
    requester.Take(kBakery, cost, milliseconds(200),
                   [&](std::optional<Duration> wait) {
                     BOOST_TEST(!called);
                     called = true;
                     retry_after = wait;
                   });
    BOOST_TEST_REQUIRE(io::RunUntil(loop, [&] { return called; }));
    return retry_after;
  }

  io::EventLoop loop;
  AgreedClock requester_clock;
  AgreedClock allocator_clock;
  bool cut = false;
  QuotaGate requester;
  QuotaGate allocator;
};

BOOST_AUTO_TEST_SUITE(quota_gate)

BOOST_AUTO_TEST_CASE(admits_what_the_allocator_grants_and_no_more) {
  TwoGates gates(1000);
  io::RunFor(gates.loop, milliseconds(1500));
  BOOST_TEST(!gates.Take(100).has_value());
  // About a tenth of a window's bound may be admitted at once.
  int passed = 0;
  std::vector<Duration> refused;
  for (int call = 0; call < 40; ++call) {
    gates.requester.Take(kBakery, 400, milliseconds(100),
                         [&](std::optional<Duration> wait) {
                           passed += wait ? 0 : 1;
                           if (wait) {
                             refused.push_back(*wait);
                           }
                         });
  }
  BOOST_TEST(io::RunUntil(gates.loop, [&] {
    return passed + static_cast<int>(refused.size()) == 40;
  }));
  BOOST_TEST(passed >= 1);
  BOOST_TEST(passed <= 4);
  BOOST_TEST(std::ranges::all_of(
      refused, [](Duration wait) { return wait >= milliseconds(100); }));
}

BOOST_AUTO_TEST_CASE(does_not_limit_a_workspace_without_a_quota) {
  TwoGates gates(1000);
  bool passes = false;
  gates.requester.Take(WorkspaceId("other"), 1e9, milliseconds(1),
                       [&](std::optional<Duration> wait) { passes = !wait; });
  BOOST_TEST(passes);
}

BOOST_AUTO_TEST_CASE(answers_its_callers_without_a_reachable_allocator) {
  TwoGates gates(1000);
  io::RunFor(gates.loop, milliseconds(1500));
  gates.cut = true;
  const Time cut_at = gates.loop.now();
  while (gates.loop.now() - cut_at < seconds(1)) {
    gates.Take(300);
  }
  // This instance has half of the rate, and a part of that is admitted at once.
  io::RunFor(gates.loop, milliseconds(1000));
  BOOST_TEST(!gates.Take(1).has_value());
}

BOOST_AUTO_TEST_CASE(continues_without_an_allocator_that_stops) {
  TwoGates gates(1000);
  io::RunFor(gates.loop, milliseconds(1500));
  gates.allocator.Retire();
  gates.Take(10);
  io::RunFor(gates.loop, milliseconds(1000));
  BOOST_TEST(!gates.Take(1).has_value());
}

BOOST_AUTO_TEST_CASE(receives_the_time_of_its_peers) {
  TwoGates gates(1000, seconds(30));
  const WallTime before = gates.requester_clock.At(gates.loop.now());
  Duration change{};
  gates.requester.OnClockChange([&](Duration by) { change = by; });
  io::RunFor(gates.loop, milliseconds(1500));
  // One peer is no majority.
  BOOST_TEST((change == Duration::zero()));
  BOOST_TEST(
      (gates.requester_clock.At(gates.loop.now()) - before < seconds(5)));
  // A second peer with the same time makes a majority.
  gates.requester_clock.OnPeerTime(gates.loop.now(), InstanceId("third"),
                                   gates.allocator_clock.At(gates.loop.now()),
                                   Duration::zero());
  BOOST_TEST(
      (gates.requester_clock.At(gates.loop.now()) - before > seconds(25)));
}

BOOST_AUTO_TEST_CASE(tolerates_invalid_messages) {
  TwoGates gates(1000);
  mesh::Envelope request;
  request.mutable_quota_ask()->set_group(1000);
  gates.allocator.OnMessage(kRequester, request);
  request.mutable_quota_ask()->set_group(
      static_cast<uint32_t>(QuotaGroupOf(kBakery)));
  entrywire::QuotaAskItem& item = *request.mutable_quota_ask()->add_items();
  item.set_workspace(kBakery.value());
  item.set_spent(std::numeric_limits<double>::quiet_NaN());
  item.add_wanted(-1e300);
  item.add_wanted(std::numeric_limits<double>::infinity());
  gates.allocator.OnMessage(kRequester, request);
  mesh::Envelope grant;
  grant.mutable_quota_grant()->set_group(1000);
  gates.requester.OnMessage(kAllocator, grant);
  grant.mutable_quota_grant()->set_group(0);
  grant.mutable_quota_grant()->set_time_us(-5);
  grant.mutable_quota_grant()->add_items()->add_waits_us(-4);
  gates.requester.OnMessage(kAllocator, grant);
  io::RunFor(gates.loop, milliseconds(1500));
  BOOST_TEST(!gates.Take(100).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
