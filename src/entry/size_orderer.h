// Orders the number of servers of each service by measured load, while this
// instance holds the duty. What the next holder needs is kept in the store.
#ifndef OLEANDER_ENTRY_SIZE_ORDERER_H_
#define OLEANDER_ENTRY_SIZE_ORDERER_H_

#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "entry/call_context.h"
#include "entry/duty_lease.h"
#include "entry/sizing_record.h"
#include "oleander/fleet_sizing.h"
#include "ports/duty_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

// Evaluates the load twice a second, per service and region; owned by the entry
// node.
class SizeOrderer {
 public:
  SizeOrderer(CallContext& context, ports::StorePort& store,
              ports::DutyPort& duties, const DutyLease& lease,
              const std::map<DomainId, RegionId>& domains,
              const FleetSizingOptions& options = {})
      : context_(context),
        duties_(duties),
        lease_(lease),
        domains_(domains),
        options_(options),
        record_(context, store, [this] { OnMemory(); }) {}

  // Sets which servers another part, such as a roll-out, starts and ends.
  void OnHeld(HeldServer held) { held_ = std::move(held); }

  // Starts to evaluate the load. Called when this instance acquires the duty.
  void OnTaken();
  // Evaluates the load again after the list of servers has changed.
  void OnServers();
  // Returns whether an order has not been answered yet.
  bool busy() const { return open_orders_ > 0; }

 private:
  using OrderKey = std::tuple<ServiceId, DomainId, Market>;
  // The last order for a key.
  struct LastOrder {
    int servers = -1;
    Time at;
    bool pending = false;
  };

  void EvaluateAll();
  // Begins to evaluate without evidence: the duty was acquired, or its lease
  // had nearly run out.
  void Activate();
  void EvaluateService(const ServiceRule& service);
  // Sizes one region of a service. Calls stay in their region as long as
  // possible, so each region has its own size.
  void EvaluateRegion(const ServiceRule& service, const ScalingRule& rule,
                      const RegionId& region,
                      std::vector<const ListedServer*> servers);
  // Splits a rule into one rule per region, each with the domains of that
  // region.
  std::map<RegionId, ScalingRule> ByRegion(const ScalingRule& rule) const;
  // Returns what is known of the load of the servers, from all instances.
  LoadObservation Observation(const ServiceRule& service,
                              const RegionId& region,
                              const std::vector<const ListedServer*>& servers);
  // Logs that releases are possible from now on, or no longer.
  void LogEvidence(const ServiceId& service, const RegionId& region,
                   bool evidence);
  // Passes the memory of the earlier holder on to all sizings.
  void OnMemory();
  // Writes what the next holder needs.
  void WriteMemory();
  // Orders `size` if it has changed, or again if the last order had no effect.
  // `present` is the number of ready servers.
  void Order(const ServiceId& service, const RegionId& region,
             const DomainSize& size, int present);
  void OnAnswer(const ServiceId& service, const RegionId& region,
                const DomainSize& size, int present,
                const absl::Status& status);

  CallContext& context_;
  ports::DutyPort& duties_;
  const DutyLease& lease_;
  const std::map<DomainId, RegionId>& domains_;
  FleetSizingOptions options_;
  SizingRecord record_;
  HeldServer held_ = [](const ListedServer&) { return false; };
  // Retained for some time after the duty ends, in case it returns.
  std::map<std::pair<ServiceId, RegionId>, FleetSizing> sizings_;
  std::set<std::pair<ServiceId, RegionId>> with_evidence_;
  bool active_ = false;
  Time evaluated_at_;
  std::map<OrderKey, LastOrder> last_orders_;
  int open_orders_ = 0;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_SIZE_ORDERER_H_
