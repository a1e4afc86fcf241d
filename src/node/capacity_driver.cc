#include "node/capacity_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

using nlohmann::json;

constexpr Duration kPollInterval = std::chrono::seconds(10);
constexpr Duration kPlanInterval = std::chrono::seconds(1);
// Upper bound of the delivery time of an order. The lease must last this long
// when the order is sent.
constexpr Duration kMaxOrderLatency = std::chrono::seconds(2);

std::string_view KindName(EngineOrderKind kind) {
  switch (kind) {
    case EngineOrderKind::kLoadModel:
      return "load_model";
    case EngineOrderKind::kUnloadModel:
      return "unload_model";
    case EngineOrderKind::kSetRole:
      break;
  }
  return "set_role";
}

std::string JsonOf(const EngineOrder& order) {
  const json document = {
      {"order", KindName(order.kind)},
      {"model", order.model},
      {"role", order.role},
      {"fence", order.fence},
      {"expect",
       {{"models", order.expect.models}, {"role", order.expect.role}}}};
  return document.dump();
}

}  // namespace

CapacityDriver::CapacityDriver(const CapacityDriverParts& parts,
                               const InstanceId& self, uint64_t seed)
    : parts_(parts),
      lease_({.duty = "capacity", .self = self}, seed, parts.loop.now()) {}

void CapacityDriver::Want(bool want) {
  lease_.Want(want && AnyServiceManaged(), parts_.loop.now());
  ExecuteLeaseActions();
}

void CapacityDriver::OnServers(const std::vector<ServerInfo>&) {
  for (auto& [service, planner] : planners_) {
    planner->SetServers(parts_.loop.now(), ServersOf(service));
  }
}

void CapacityDriver::OnReclaimed(const ServerInfo& server) {
  const auto planner = planners_.find(server.service);
  if (planner != planners_.end()) {
    planner->second->OnReclaimed(parts_.loop.now(),
                                 {.machine_class = server.machine_class,
                                  .domain = server.location.domain,
                                  .market = server.market},
                                 1);
  }
}

void CapacityDriver::Tick() {
  const Time now = parts_.loop.now();
  if (lease_.next_due() <= now) {
    lease_.Tick(now);
    ExecuteLeaseActions();
  }
  FinishDrains();
  if (!holds_lease()) {
    return;
  }
  if (next_poll_ <= now) {
    next_poll_ = now + kPollInterval;
    PollPlatform();
  }
  if (next_plan_ <= now) {
    next_plan_ = now + kPlanInterval;
    Plan();
  }
}

bool CapacityDriver::holds_lease() const {
  return lease_.remaining(parts_.loop.now()) > Duration::zero();
}

double CapacityDriver::cost_per_hour() const {
  double cost = 0;
  for (const auto& [service, planner] : planners_) {
    cost += planner->cost_per_hour();
  }
  return cost;
}

void CapacityDriver::ExecuteLeaseActions() {
  for (const LeaseAction& action : lease_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
}

void CapacityDriver::Perform(const StoreRequest& request) {
  std::visit([this](const auto& typed) { Run(typed); }, request);
}

void CapacityDriver::Perform(const LeaseTaken& taken) {
  io::Log(io::LogLevel::kInfo, "lease.taken",
          {{"duty", lease_.key()}, {"fence", taken.fence}});
  UpdatePlanners();
}

void CapacityDriver::Perform(const LeaseDropped& dropped) {
  io::Log(io::LogLevel::kInfo, "lease.dropped",
          {{"duty", lease_.key()},
           {"fence", dropped.fence},
           {"reason", dropped.reason}});
  // Orders that were planned with this fencing number must not be sent with a
  // later one.
  planners_.clear();
}

void CapacityDriver::Perform(const LeaseDeferred& deferred) {
  io::Log(io::LogLevel::kInfo, "lease.deferred",
          {{"duty", lease_.key()},
           {"ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(deferred.wait)
                .count()}});
}

void CapacityDriver::Run(const StoreRange& request) {
  parts_.store.Range(StoreClass::kLease, request,
                     [this, call = request.call](
                         const absl::StatusOr<StoreRangeAnswer>& answer) {
                       lease_.OnRange(call, answer, parts_.loop.now());
                       ExecuteLeaseActions();
                     });
}

void CapacityDriver::Run(const StoreCas& request) {
  parts_.store.Cas(StoreClass::kLease, request,
                   [this, call = request.call](
                       const absl::StatusOr<StoreCasAnswer>& answer) {
                     lease_.OnCas(call, answer, parts_.loop.now());
                     ExecuteLeaseActions();
                   });
}

void CapacityDriver::Run(const StoreLeaseGrant& request) {
  parts_.store.LeaseGrant(StoreClass::kLease, request,
                          MakeLeaseCallback(request.call));
}

void CapacityDriver::Run(const StoreLeaseKeepAlive& request) {
  parts_.store.LeaseKeepAlive(StoreClass::kLease, request,
                              MakeLeaseCallback(request.call));
}

void CapacityDriver::Run(const StoreLeaseRevoke& request) {
  parts_.store.LeaseRevoke(StoreClass::kLease, request,
                           MakeLeaseCallback(request.call));
}

std::function<void(const absl::StatusOr<StoreLeaseAnswer>&)>
CapacityDriver::MakeLeaseCallback(StoreCall call) {
  return [this, call](const absl::StatusOr<StoreLeaseAnswer>& answer) {
    lease_.OnLease(call, answer, parts_.loop.now());
    ExecuteLeaseActions();
  };
}

bool CapacityDriver::AnyServiceManaged() const {
  return std::ranges::any_of(
      parts_.profiles.all(), [](const ProfileState* state) {
        return state->profile.has_value() && state->profile->capacity.managed;
      });
}

// Keeps one planner for each service whose profile has managed capacity.
void CapacityDriver::UpdatePlanners() {
  Planners updated;
  for (const ProfileState* state : parts_.profiles.all()) {
    if (!state->profile.has_value() || !state->profile->capacity.managed) {
      continue;
    }
    for (const ServiceId& service : state->profile->services) {
      auto& planner = updated[service];
      const auto earlier = planners_.find(service);
      if (earlier != planners_.end()) {
        planner = std::move(earlier->second);
        planner->SetProfile(*state->profile);
        continue;
      }
      CapacityOptions options;
      options.service = service;
      options.model = state->profile->model;
      planner = std::make_unique<CapacityPlanner>(options, *state->profile);
      planner->SetServers(parts_.loop.now(), ServersOf(service));
    }
  }
  planners_ = std::move(updated);
}

// Marks servers as leaving whose drain grace period has ended. The load spread
// announces them to the other instances.
void CapacityDriver::FinishDrains() {
  const Time now = parts_.loop.now();
  std::erase_if(draining_until_, [&](const auto& entry) {
    const bool over = entry.second <= now;
    if (over) {
      parts_.load.OnLeaving(entry.first);
    }
    return over;
  });
}

void CapacityDriver::PollPlatform() {
  parts_.cloud.FetchPrices(
      [this](const absl::StatusOr<std::vector<MarketPrice>>& prices) {
        if (!prices.ok()) {
          return;
        }
        for (auto& [service, planner] : planners_) {
          planner->SetPrices(*prices);
        }
      });
  for (const ServerInfo& server : parts_.servers.all()) {
    if (server.kind != ServerKind::kEngine ||
        !planners_.contains(server.service)) {
      continue;
    }
    parts_.engines.FetchState(
        server,
        [this, id = server.id](const absl::StatusOr<io::EngineState>& state) {
          if (state.ok()) {
            engine_states_[id] = *state;
          }
        });
  }
}

void CapacityDriver::Plan() {
  UpdatePlanners();
  for (auto& [service, planner] : planners_) {
    PlanService(service, *planner);
  }
}

void CapacityDriver::PlanService(const ServiceId& service,
                                 CapacityPlanner& planner) {
  const ProfileState* state = parts_.profiles.ForService(service);
  if (state == nullptr || !state->profile.has_value()) {
    return;
  }
  const Time now = parts_.loop.now();
  planner.OnDemand(now, DemandOf(service, *state->profile));
  const auto fence = lease_.FenceFor(now, kMaxOrderLatency);
  if (!fence.has_value()) {
    return;
  }
  const OrderLease lease = {.fence = static_cast<uint64_t>(*fence),
                            .valid_until = now + lease_.remaining(now)};
  for (const CapacityOrder& order : planner.Plan(now, lease)) {
    Execute(service, order);
  }
}

// Returns the demand in servers: the running and waiting requests of the pool,
// divided by the average number of slots of a server.
CapacityDemand CapacityDriver::DemandOf(const ServiceId& service,
                                        const Profile& profile) const {
  double busy = 0;
  double slots = 0;
  int servers = 0;
  int listed = 0;
  for (const ServerInfo& server : parts_.servers.all()) {
    const auto known = parts_.load.spread().Find(server.id, parts_.loop.now());
    const bool takes_work =
        server.service == service && !parts_.load.spread().leaving(server.id);
    listed += takes_work ? 1 : 0;
    if (server.service == service && known.has_value()) {
      busy += known->report.running + known->report.waiting;
      slots += std::max(1, known->report.slots);
      ++servers;
    }
  }
  for (const LoadSummary& summary :
       parts_.load.spread().summaries(parts_.loop.now())) {
    if (summary.service == service) {
      busy += summary.running + summary.waiting;
      slots += summary.slots;
      servers += summary.servers;
    }
  }
  CapacityDemand demand;
  demand.heard_share =
      listed == 0 ? 1 : std::min(1.0, static_cast<double>(servers) / listed);
  if (servers > 0 && slots > 0) {
    demand.total = busy / (slots / servers);
  }
  demand.interactive =
      profile.priority == Priority::kInteractive ? demand.total : 0;
  return demand;
}

std::vector<CapacityServer> CapacityDriver::ServersOf(
    const ServiceId& service) const {
  std::vector<CapacityServer> servers;
  for (const ServerInfo& info : parts_.servers.all()) {
    if (info.service != service) {
      continue;
    }
    CapacityServer server;
    server.info = info;
    server.leaving = parts_.load.spread().leaving(info.id);
    const auto known = parts_.load.spread().Find(info.id, parts_.loop.now());
    server.in_flight =
        known ? std::optional(known->report.running + known->report.waiting)
              : std::nullopt;
    if (const auto state = engine_states_.find(info.id);
        state != engine_states_.end()) {
      server.models = state->second.models;
      server.role = state->second.role;
    }
    servers.push_back(std::move(server));
  }
  return servers;
}

bool CapacityDriver::MayOrder(uint64_t fence) const {
  const auto held = lease_.FenceFor(parts_.loop.now(), kMaxOrderLatency);
  return held.has_value() && static_cast<uint64_t>(*held) == fence;
}

void CapacityDriver::Execute(const ServiceId& service,
                             const CapacityOrder& order) {
  std::visit(
      [&](const auto& typed) {
        if (MayOrder(typed.fence)) {
          Issue(service, typed);
        }
      },
      order);
}

void CapacityDriver::Issue(const ServiceId& service,
                           const StartInstance& order) {
  io::Log(io::LogLevel::kInfo, "capacity.start",
          {{"service", service.value()},
           {"domain", order.key.domain.value()},
           {"class", order.key.machine_class},
           {"token", order.client_token},
           {"fence", order.fence}});
  parts_.cloud.Start(order, [this, service, token = order.client_token](
                                const absl::StatusOr<std::string>& started) {
    const auto planner = planners_.find(service);
    if (planner == planners_.end()) {
      return;
    }
    planner->second->OnStarted(
        parts_.loop.now(), token,
        started.ok() ? absl::StatusOr<ServerId>(ServerId(*started))
                     : started.status());
  });
}

void CapacityDriver::Issue(const ServiceId& service, const DrainServer& order) {
  io::Log(io::LogLevel::kInfo, "capacity.drain",
          {{"service", service.value()}, {"server", order.server.value()}});
  const Time until = parts_.loop.now() + order.grace_period;
  parts_.router.OnDraining(parts_.loop.now(), order.server, until);
  draining_until_[order.server] = until;
}

void CapacityDriver::Issue(const ServiceId& service,
                           const StopInstance& order) {
  io::Log(io::LogLevel::kInfo, "capacity.stop",
          {{"service", service.value()}, {"server", order.server.value()}});
  parts_.cloud.Stop(order.server, [](const absl::Status&) {});
}

// Sends an order to an engine. Before an order to load a model, reserves a slot
// of the rate-limited weight store for the download of the model's weights.
void CapacityDriver::Issue(const ServiceId& service, const EngineOrder& order) {
  if (order.kind != EngineOrderKind::kLoadModel) {
    SendEngineOrder(service, order);
    return;
  }
  parts_.cloud.AcquireWeightSlot(
      order.model, [this, service, order](const absl::Status& status) {
        if (status.ok()) {
          SendEngineOrder(service, order);
          return;
        }
        const auto planner = planners_.find(service);
        if (planner != planners_.end()) {
          planner->second->OnWeightsThrottled(
              parts_.loop.now(), order.server,
              DetailsOf(status).retry_after.value_or(kPlanInterval));
        }
      });
}

void CapacityDriver::SendEngineOrder(const ServiceId& service,
                                     const EngineOrder& order) {
  const auto server = parts_.servers.Find(order.server);
  if (!server.has_value() || !MayOrder(order.fence)) {
    return;
  }
  parts_.engines.Order(
      *server, JsonOf(order),
      [service, id = order.server](const absl::Status& status) {
        io::Log(io::LogLevel::kInfo, "capacity.engine_order",
                {{"service", service.value()},
                 {"server", id.value()},
                 {"code", static_cast<int>(CodeOf(status))}});
      });
}

}  // namespace oleander::node
