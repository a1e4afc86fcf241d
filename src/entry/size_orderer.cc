#include "entry/size_orderer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Interval between two evaluations of the load.
constexpr Duration kEvaluationInterval = std::chrono::milliseconds(500);
// An order that has had no effect is sent again after this time: the boot time
// of a server and a margin.
constexpr Duration kReorderInterval = std::chrono::milliseconds(6000);
// Timeout of an order. The lease must last at least this much longer.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(1000);
// What this instance learned while it held the duty counts for this long after
// it lost it.
constexpr Duration kOwnMemory = std::chrono::seconds(60);

OrderOutcome OutcomeOf(const absl::Status& status) {
  if (status.ok()) {
    return OrderOutcome::kAccepted;
  }
  return CodeOf(status) == ResultCode::kPlatformRefused
             ? OrderOutcome::kRefused
             : OrderOutcome::kUnknown;
}

}  // namespace

void SizeOrderer::OnTaken() {
  active_ = false;
  EvaluateAll();
}

void SizeOrderer::Activate() {
  active_ = true;
  context_.needs_loads = true;
  last_orders_.clear();
  with_evidence_.clear();
  if (context_.loop.now() - evaluated_at_ > kOwnMemory) {
    sizings_.clear();
  }
  for (auto& [key, sizing] : sizings_) {
    sizing.OnTaken();
  }
  record_.Read();
}

void SizeOrderer::OnServers() {
  if (lease_.FenceFor(kOrderTimeout)) {
    EvaluateAll();
  }
}

void SizeOrderer::EvaluateAll() {
  if (context_.draining || !lease_.FenceFor(kOrderTimeout)) {
    active_ = false;
    context_.needs_loads = false;
    record_.Stop();
    timer_.Cancel();
    return;
  }
  if (!active_) {
    Activate();
  }
  evaluated_at_ = context_.loop.now();
  timer_ = context_.loop.After(kEvaluationInterval, [this] { EvaluateAll(); });
  if (context_.config == nullptr || !context_.listed.has_listing()) {
    return;
  }
  for (const ServiceRule& service : context_.config->services()) {
    if (service.scaling) {
      EvaluateService(service);
    }
  }
  WriteMemory();
}

void SizeOrderer::OnMemory() {
  const Time now = context_.loop.now();
  for (auto& [key, sizing] : sizings_) {
    sizing.Restore(now, record_.Find(key.first, key.second));
  }
}

void SizeOrderer::WriteMemory() {
  SizedServices services;
  for (const auto& [key, sizing] : sizings_) {
    if (sizing.is_initialised()) {
      services.emplace(key, sizing.Remember());
    }
  }
  record_.Write(services);
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
  const auto [found, added] =
      sizings_.try_emplace({service.id, region}, options_);
  FleetSizing& sizing = found->second;
  if (added && record_.is_read()) {
    sizing.Restore(now, record_.Find(service.id, region));
  }
  sizing.Observe(now, Observation(service, region, servers));
  LogEvidence(service.id, region, sizing.has_evidence(now));
  for (const DomainSize& size : sizing.Plan(now, rule, servers, held_)) {
    const auto present = static_cast<int>(
        std::ranges::count_if(servers, [&size](const ListedServer* server) {
          return server->domain == size.domain &&
                 server->market == size.market &&
                 server->state == ListedState::kReady;
        }));
    Order(service.id, region, size, present);
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

void SizeOrderer::LogEvidence(const ServiceId& service, const RegionId& region,
                              bool evidence) {
  const std::pair key(service, region);
  if (with_evidence_.contains(key) == evidence) {
    return;
  }
  if (evidence) {
    with_evidence_.insert(key);
  } else {
    with_evidence_.erase(key);
  }
  io::Log(io::LogLevel::kInfo, "servers.evidence",
          {{"service", service.value()},
           {"region", region.value()},
           {"evidence", evidence},
           {"reporting_share", context_.coverage.Share(context_.loop.now())}});
}

LoadObservation SizeOrderer::Observation(
    const ServiceRule& service, const RegionId& region,
    const std::vector<const ListedServer*>& servers) {
  const Time now = context_.loop.now();
  LoadObservation observation{
      .slots = service.engine ? service.engine->slots : 1,
      .calls = {},
      .prefill_load =
          context_.prefill_load.PrefillLoadOf(now, service.id, region),
      .reporting_share = context_.coverage.Share(now),
      .turned_away = context_.turned_away};
  std::ranges::transform(servers, std::back_inserter(observation.calls),
                         [&](const ListedServer* server) {
                           return context_.loads.CallsAt(now, server->id);
                         });
  return observation;
}

void SizeOrderer::Order(const ServiceId& service, const RegionId& region,
                        const DomainSize& size, int present) {
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
      *fence,
      [this, service, region, size, present](const absl::Status& status) {
        OnAnswer(service, region, size, present, status);
      });
}

void SizeOrderer::OnAnswer(const ServiceId& service, const RegionId& region,
                           const DomainSize& size, int present,
                           const absl::Status& status) {
  const Time now = context_.loop.now();
  --open_orders_;
  last_orders_[{service, size.domain, size.market}].pending = false;
  context_.metrics.CountOrder("servers", status.ok());
  FleetSizing& sizing =
      sizings_.try_emplace({service, region}, options_).first->second;
  sizing.OnOrdered(now, size, OutcomeOf(status));
  io::Log(io::LogLevel::kInfo, "servers.ordered",
          {{"service", service.value()},
           {"domain", size.domain.value()},
           {"reclaimable", size.market == Market::kReclaimable},
           {"servers", size.servers},
           {"present", present},
           {"needed", sizing.needed()},
           {"evidence", sizing.has_evidence(now)},
           {"reporting_share", context_.coverage.Share(now)},
           {"outcome", std::string(status.message())}});
}

}  // namespace oleander::entry
