// Calls to the platform that one instance makes for all. A duty is work that
// one instance at a time does.
#ifndef OLEANDER_PORTS_DUTY_PORT_H_
#define OLEANDER_PORTS_DUTY_PORT_H_

#include <cstdint>
#include <functional>
#include <map>

#include "absl/status/status.h"
#include "oleander/types.h"

namespace oleander::ports {

// The number of calls of each workspace that started in one window.
struct UsageReport {
  int64_t window = 0;
  std::map<WorkspaceId, int64_t> counts;
};

// The number of servers that a service is to have in one domain and market.
struct ServerOrder {
  ServiceId service;
  DomainId domain;
  Market market = Market::kOnDemand;
  int servers = 0;
};

// Each call carries the name of the holder of the duty and its fencing number.
// `done` is called once with OK, kPlatformRefused (also if no servers are
// available), or kStoreUnavailable if the call may or may not have arrived.
class DutyPort {
 public:
  using Done = std::function<void(const absl::Status&)>;

  virtual ~DutyPort() = default;
  virtual void SendUsage(const UsageReport& report, int64_t fence,
                         Done done) = 0;
  virtual void OrderServers(const ServerOrder& order, int64_t fence,
                            Done done) = 0;
};

}  // namespace oleander::ports

#endif  // OLEANDER_PORTS_DUTY_PORT_H_
