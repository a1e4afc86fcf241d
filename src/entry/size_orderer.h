// Orders servers by measured load while this instance holds the duty.
#ifndef OLEANDER_ENTRY_SIZE_ORDERER_H_
#define OLEANDER_ENTRY_SIZE_ORDERER_H_

#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "entry/call_context.h"
#include "entry/duty_lease.h"
#include "oleander/fleet_sizing.h"
#include "ports/duty_port.h"

namespace oleander::entry {

class SizeOrderer {
 public:
  SizeOrderer(CallContext& context, ports::DutyPort& duties,
              const DutyLease& lease,
              const std::map<DomainId, RegionId>& domains)
      : context_(context), duties_(duties), lease_(lease), domains_(domains) {}

  // The duty became this instance's.
  void OnTaken();
  // The servers changed.
  void OnServers();
  bool busy() const { return open_orders_ > 0; }

 private:
  using OrderKey = std::tuple<ServiceId, DomainId, Market>;
  struct LastOrder {
    int servers = -1;
    Time at;
    bool pending = false;
  };

  void EvaluateAll();
  void EvaluateService(const ServiceRule& service);
  // Calls stay in their region as long as they can, so each region has a size
  // of its own.
  void EvaluateRegion(const ServiceRule& service, const ScalingRule& rule,
                      const RegionId& region,
                      std::vector<const ListedServer*> servers);
  // The rule for each region's domains.
  std::map<RegionId, ScalingRule> ByRegion(const ScalingRule& rule) const;
  // Calls at each of the servers, from all instances.
  std::vector<double> CallsAt(
      const std::vector<const ListedServer*>& servers) const;
  void Order(const ServiceId& service, const DomainSize& size, int present);

  CallContext& context_;
  ports::DutyPort& duties_;
  const DutyLease& lease_;
  const std::map<DomainId, RegionId>& domains_;
  std::map<std::pair<ServiceId, RegionId>, FleetSizing> sizings_;
  std::map<OrderKey, LastOrder> last_orders_;
  int open_orders_ = 0;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_SIZE_ORDERER_H_
