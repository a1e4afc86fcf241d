// Orders servers by measured load while this instance holds the duty.
#ifndef OLEANDER_ENTRY_SIZE_ORDERER_H_
#define OLEANDER_ENTRY_SIZE_ORDERER_H_

#include <map>
#include <tuple>

#include "entry/call_context.h"
#include "entry/duty_lease.h"
#include "oleander/fleet_sizing.h"
#include "ports/duty_port.h"

namespace oleander::entry {

class SizeOrderer {
 public:
  SizeOrderer(CallContext& context, ports::DutyPort& duties,
              const DutyLease& lease)
      : context_(context), duties_(duties), lease_(lease) {}

  // The duty became this instance's.
  void OnTaken();
  // The servers changed.
  void OnServers();
  bool busy() const { return calls_ > 0; }
  // How many instances share the load; what this one sees is a part.
  void SetInstances(size_t instances) { instances_ = instances; }

 private:
  using Subject = std::tuple<ServiceId, DomainId, Market>;
  struct Ordered {
    int servers = -1;
    Time at;
    bool pending = false;
  };

  void Look();
  void LookAt(const ServiceRule& service);
  // Calls at each of the servers, from all instances.
  std::vector<double> CallsAt(
      const std::vector<const ListedServer*>& servers) const;
  void Order(const ServiceId& service, const DomainSize& size, int present);

  CallContext& context_;
  ports::DutyPort& duties_;
  const DutyLease& lease_;
  size_t instances_ = 1;
  std::map<ServiceId, FleetSizing> sizings_;
  std::map<Subject, Ordered> ordered_;
  int calls_ = 0;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_SIZE_ORDERER_H_
