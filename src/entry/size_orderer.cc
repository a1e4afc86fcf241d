#include "entry/size_orderer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "io/log.h"

namespace oleander::entry {
namespace {

// Interval between two evaluations of the load.
constexpr Duration kEvaluationInterval = std::chrono::milliseconds(500);
// An order that has had no effect is sent again after this time: the boot time
// of a server and a margin.
constexpr Duration kReorderInterval = std::chrono::milliseconds(6000);
// Timeout of an order. The lease must last at least this much longer.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(1000);

}  // namespace

void SizeOrderer::OnTaken() {
  last_orders_.clear();
  EvaluateAll();
}

void SizeOrderer::OnServers() {
  if (lease_.FenceFor(kOrderTimeout)) {
    EvaluateAll();
  }
}

void SizeOrderer::EvaluateAll() {
  if (context_.draining || !lease_.FenceFor(kOrderTimeout)) {
    sizings_.clear();
    timer_.Cancel();
    return;
  }
  timer_ = context_.loop.After(kEvaluationInterval, [this] { EvaluateAll(); });
  if (context_.config == nullptr || !context_.listed.has_listing()) {
    return;
  }
  for (const ServiceRule& service : context_.config->services()) {
    if (service.scaling) {
      EvaluateService(service);
    }
  }
}

void SizeOrderer::EvaluateService(const ServiceRule& service) {
  std::vector<const ListedServer*> servers = context_.listed.all();
  std::erase_if(servers, [&service](const ListedServer* server) {
    return server->service != service.id;
  });
  if (servers.empty()) {
    return;  // The service has no servers: it is not managed by orders.
  }
  for (const auto& [region, rule] : ByRegion(*service.scaling)) {
    EvaluateRegion(service, rule, region, servers);
  }
}

void SizeOrderer::EvaluateRegion(const ServiceRule& service,
                                 const ScalingRule& rule,
                                 const RegionId& region,
                                 std::vector<const ListedServer*> servers) {
  std::erase_if(servers, [&rule](const ListedServer* server) {
    return !rule.domain_prices.contains(server->domain);
  });
  const auto known = sizings_.find({service.id, region});
  if (servers.empty() && known == sizings_.end()) {
    return;  // The service has no servers in this region.
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
               {"reason", "The settings assign no region to this domain."}});
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
  const auto fence = lease_.FenceFor(kOrderTimeout);
  LastOrder& last = last_orders_[{service, size.domain, size.market}];
  const Time now = context_.loop.now();
  const bool changed = last.servers != size.servers;
  const bool without_effect =
      present != size.servers && now - last.at >= kReorderInterval;
  if (!fence || last.pending || (!changed && !without_effect)) {
    return;
  }
  last = {.servers = size.servers, .at = now, .pending = true};
  ++open_orders_;
  duties_.OrderServers(
      {.service = service,
       .domain = size.domain,
       .market = size.market,
       .servers = size.servers},
      *fence, [this, service, size, present](const absl::Status& status) {
        --open_orders_;
        last_orders_[{service, size.domain, size.market}].pending = false;
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
