#include "entry/size_orderer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "io/log.h"

namespace oleander::entry {
namespace {

// Between two looks at the load.
constexpr Duration kLookEvery = std::chrono::milliseconds(500);
// An order whose effect doesn't show is sent again after a boot and some slack.
constexpr Duration kOrderAgain = std::chrono::milliseconds(6000);
// A call's time-out; the lease must outlast it.
constexpr Duration kOrderTime = std::chrono::milliseconds(1000);

}  // namespace

void SizeOrderer::OnTaken() {
  ordered_.clear();
  Look();
}

void SizeOrderer::OnServers() {
  if (lease_.FenceFor(kOrderTime)) {
    Look();
  }
}

void SizeOrderer::Look() {
  if (context_.draining || !lease_.FenceFor(kOrderTime)) {
    sizings_.clear();
    timer_.Cancel();
    return;
  }
  timer_ = context_.loop.After(kLookEvery, [this] { Look(); });
  if (context_.config == nullptr || !context_.listed.has_listing()) {
    return;
  }
  for (const ServiceRule& service : context_.config->services()) {
    if (service.scaling) {
      LookAt(service);
    }
  }
}

void SizeOrderer::LookAt(const ServiceRule& service) {
  std::vector<const ListedServer*> servers = context_.listed.all();
  std::erase_if(servers, [&service](const ListedServer* server) {
    return server->service != service.id;
  });
  if (servers.empty()) {
    return;  // Nothing runs there: the service is no subject of orders.
  }
  for (const auto& [region, rule] : ByRegion(*service.scaling)) {
    LookAtRegion(service, rule, region, servers);
  }
}

void SizeOrderer::LookAtRegion(const ServiceRule& service,
                               const ScalingRule& rule, const RegionId& region,
                               std::vector<const ListedServer*> servers) {
  std::erase_if(servers, [&rule](const ListedServer* server) {
    return !rule.domain_prices.contains(server->domain);
  });
  const auto known = sizings_.find({service.id, region});
  if (servers.empty() && known == sizings_.end()) {
    return;  // The service doesn't run in this region.
  }
  const Time now = context_.loop.now();
  FleetSizing& sizing = sizings_[{service.id, region}];
  sizing.Observe(now, service.engine ? service.engine->slots : 1,
                 CallsAt(servers),
                 context_.prefill_load.PrefillLoadOf(now, service.id, region));
  for (const DomainSize& size : sizing.Plan(now, rule, servers)) {
    const auto present = static_cast<int>(
        std::ranges::count_if(servers, [&size](const ListedServer* server) {
          return server->domain == size.domain &&
                 server->market == size.market &&
                 server->state == ListedState::kReady;
        }));
    Order(service.id, size, present);
  }
}

std::map<RegionId, ScalingRule> SizeOrderer::ByRegion(
    const ScalingRule& rule) const {
  ScalingRule without_domains = rule;
  without_domains.domain_prices.clear();
  std::map<RegionId, ScalingRule> regions;
  for (const auto& [domain, price] : rule.domain_prices) {
    const auto region = domains_.find(domain);
    if (region == domains_.end()) {
      io::Log(io::LogLevel::kWarning, "servers.unknown_domain",
              {{"domain", domain.value()},
               {"reason", "The settings name no region of it."}});
      continue;
    }
    regions.try_emplace(region->second, without_domains)
        .first->second.domain_prices.emplace(domain, price);
  }
  return regions;
}

std::vector<double> SizeOrderer::CallsAt(
    const std::vector<const ListedServer*>& servers) const {
  const Time now = context_.loop.now();
  std::vector<double> calls;
  std::ranges::transform(
      servers, std::back_inserter(calls), [&](const ListedServer* server) {
        return static_cast<double>(context_.loads.CallsAt(now, server->id));
      });
  return calls;
}

void SizeOrderer::Order(const ServiceId& service, const DomainSize& size,
                        int present) {
  const auto fence = lease_.FenceFor(kOrderTime);
  Ordered& last = ordered_[{service, size.domain, size.market}];
  const Time now = context_.loop.now();
  const bool changed = last.servers != size.servers;
  const bool stuck = present != size.servers && now - last.at >= kOrderAgain;
  if (!fence || last.pending || (!changed && !stuck)) {
    return;
  }
  last = {.servers = size.servers, .at = now, .pending = true};
  ++calls_;
  duties_.OrderServers(
      {.service = service,
       .domain = size.domain,
       .market = size.market,
       .servers = size.servers},
      *fence, [this, service, size, present](const absl::Status& status) {
        --calls_;
        ordered_[{service, size.domain, size.market}].pending = false;
        context_.metrics.CountOrder("servers", status.ok());
        io::Log(io::LogLevel::kInfo, "servers.ordered",
                {{"service", service.value()},
                 {"domain", size.domain.value()},
                 {"reclaimable", size.market == Market::kReclaimable},
                 {"servers", size.servers},
                 {"present", present},
                 {"outcome", std::string(status.message())}});
      });
}

}  // namespace oleander::entry
