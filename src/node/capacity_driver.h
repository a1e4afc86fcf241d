// Runs the capacity planners and executes their orders while this instance
// holds the capacity lease, for services whose profile has managed capacity.
#ifndef OLEANDER_NODE_CAPACITY_DRIVER_H_
#define OLEANDER_NODE_CAPACITY_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "io/cloud_client.h"
#include "io/engine_client.h"
#include "io/event_loop.h"
#include "node/load_driver.h"
#include "node/server_directory.h"
#include "node/store_gateway.h"
#include "oleander/capacity.h"
#include "oleander/leases.h"
#include "oleander/profiles.h"

namespace oleander::node {

struct CapacityDriverParts {
  io::EventLoop& loop;
  io::CloudClient& cloud;
  io::EngineClient& engines;
  StoreGateway& store;
  ServerDirectory& servers;
  LoadDriver& load;
  Router& router;
  ProfileStore& profiles;
};

// The lease limits capacity management to one instance of the fleet at a time.
// Each lease has a fencing number that grows with every new holder; orders
// carry it. Start and stop orders go to the platform, which also stores the
// lease, so an instance that is cut off from the platform issues no orders.
class CapacityDriver {
 public:
  CapacityDriver(const CapacityDriverParts& parts, const InstanceId& self,
                 uint64_t seed);

  // Sets whether this instance should try to hold the capacity lease.
  void Want(bool want);
  void OnServers(const std::vector<ServerInfo>& servers);
  void OnReclaimed(const ServerInfo& server);
  void Tick();

  bool holds_lease() const;
  double cost_per_hour() const;

 private:
  using Planners = std::map<ServiceId, std::unique_ptr<CapacityPlanner>>;

  void ExecuteLeaseActions();
  void Perform(const StoreRequest& request);
  void Perform(const LeaseTaken& taken);
  void Perform(const LeaseDropped& dropped);
  void Perform(const LeaseDeferred& deferred);
  void Run(const StoreRange& request);
  void Run(const StoreCas& request);
  void Run(const StoreLeaseGrant& request);
  void Run(const StoreLeaseKeepAlive& request);
  void Run(const StoreLeaseRevoke& request);
  // The lease keeper uses no watches.
  void Run(const StoreWatch&) {}
  void Run(const StoreCancelWatch&) {}
  std::function<void(const absl::StatusOr<StoreLeaseAnswer>&)>
  MakeLeaseCallback(StoreCall call);

  bool AnyServiceManaged() const;
  void UpdatePlanners();
  void PollPlatform();
  void FinishDrains();
  void Plan();
  void PlanService(const ServiceId& service, CapacityPlanner& planner);
  CapacityDemand DemandOf(const ServiceId& service,
                          const Profile& profile) const;
  std::vector<CapacityServer> ServersOf(const ServiceId& service) const;
  void Execute(const ServiceId& service, const CapacityOrder& order);
  void Issue(const ServiceId& service, const StartInstance& order);
  void Issue(const ServiceId& service, const DrainServer& order);
  void Issue(const ServiceId& service, const StopInstance& order);
  void Issue(const ServiceId& service, const EngineOrder& order);
  void SendEngineOrder(const ServiceId& service, const EngineOrder& order);
  // Returns whether the lease still has this fencing number and lasts long
  // enough for one more order. Called directly before an order is sent.
  bool MayOrder(uint64_t fence) const;

  CapacityDriverParts parts_;
  LeaseKeeper lease_;
  Planners planners_;
  absl::flat_hash_map<ServerId, io::EngineState> engine_states_;
  // Servers that are being drained, and when each is marked as leaving and gets
  // no more work at all.
  std::map<ServerId, Time> draining_until_;
  Time next_poll_{};
  Time next_plan_{};
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_CAPACITY_DRIVER_H_
