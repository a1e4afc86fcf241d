// Server orders: only the holder of the duty sends them, and an order without
// effect is repeated.
#include "entry/size_orderer.h"

#include <boost/test/unit_test.hpp>

#include "support/duty_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;

const ServiceId kModel("model");
constexpr int kSlots = 16;
constexpr int kServers = 6;

ServingConfigParts ScaledService() {
  ServiceRule service;
  service.id = kModel;
  service.engine = EngineRule{.slots = kSlots, .cache_tokens = 1'000'000};
  service.scaling = ScalingRule{.minimum = 1,
                                .maximum = 8,
                                .boot = std::chrono::seconds(4),
                                .reclaimable_price = 0.2,
                                .domain_prices = {{DomainId("d"), 1.0}}};
  ServingConfigParts parts;
  parts.version = 1;
  parts.services = {service};
  return parts;
}

struct SizeOrdererFixture : DutyFixture {
  SizeOrdererFixture() : orderer(entry.context, platform, lease, domains_) {
    entry.context.config = ServingConfig::Create(ScaledService());
    for (int i = 0; i < kServers; ++i) {
      ListedServer server;
      server.id = ServerId("server-" + std::to_string(i));
      server.service = kModel;
      server.domain = DomainId("d");
      server.slots = kSlots;
      entry.context.listed.Put(entry.loop.now(), server, 100 + i);
    }
    entry.Publish();
    on_taken = [this] { orderer.OnTaken(); };
  }

  // From now on each server periodically reports this many calls.
  void ReportLoad(int calls) {
    report_timer_ = entry.loop.Every(milliseconds(200), [this, calls] {
      for (int i = 0; i < kServers; ++i) {
        entry.context.loads.OnReport(
            entry.loop.now(), ServerId("server-" + std::to_string(i)), calls);
      }
    });
  }
  // Returns the number of servers in the last order for a market; -1 if there
  // is none.
  int LastOrdered(Market market) const {
    int servers = -1;
    for (const ports::ServerOrder& order : platform.orders) {
      servers = order.market == market ? order.servers : servers;
    }
    return servers;
  }

  SizeOrderer orderer;

 private:
  std::map<DomainId, RegionId> domains_ = {{DomainId("d"), RegionId("r")}};
  io::Timer report_timer_;
};

BOOST_FIXTURE_TEST_SUITE(size_orderer, SizeOrdererFixture)

BOOST_AUTO_TEST_CASE(orders_nothing_without_the_duty) {
  DutyLease other(entry.loop, store, entry.metrics(), ShortLease("two"), 2,
                  [] {});
  other.Want(true);
  BOOST_TEST(
      Until([&] { return other.FenceFor(milliseconds(100)).has_value(); }));
  lease.Want(true);
  ReportLoad(kSlots);
  orderer.OnServers();
  io::RunFor(entry.loop, milliseconds(1500));
  BOOST_TEST(platform.orders.empty());
}

BOOST_AUTO_TEST_CASE(orders_more_servers_for_load_beyond_their_capacity) {
  ReportLoad(kSlots);
  lease.Want(true);
  BOOST_TEST(Until([this] { return LastOrdered(Market::kReclaimable) > 0; }));
  BOOST_TEST(LastOrdered(Market::kOnDemand) +
                 LastOrdered(Market::kReclaimable) >=
             kServers);
  for (const int64_t fence : platform.fences) {
    BOOST_TEST(fence == platform.fences.front());
  }
}

BOOST_AUTO_TEST_CASE(releases_servers_at_low_load) {
  ReportLoad(1);
  lease.Want(true);
  BOOST_TEST(Until([this] {
    const int on_demand = LastOrdered(Market::kOnDemand);
    return on_demand > 0 && on_demand < kServers;
  }));
}

BOOST_AUTO_TEST_CASE(repeats_orders_that_were_refused_or_got_no_response) {
  platform.AnswerNext(MakeError(ResultCode::kPlatformRefused, "None left."));
  platform.AnswerNext(MakeError(ResultCode::kStoreUnavailable, "No answer."));
  ReportLoad(kSlots);
  lease.Want(true);
  BOOST_TEST(Until([this] { return platform.orders.size() >= 4; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
