// Calls to the platform that one instance makes for all.
#ifndef OLEANDER_PORTS_DUTY_PORT_H_
#define OLEANDER_PORTS_DUTY_PORT_H_

#include <cstdint>
#include <functional>
#include <map>

#include "absl/status/status.h"
#include "oleander/types.h"

namespace oleander::ports {

// How many calls of each workspace began to run in one window.
struct UsageReport {
  int64_t window = 0;
  std::map<WorkspaceId, int64_t> counts;
};

// How many servers a service is to have in one domain, per market.
struct ServerOrder {
  ServiceId service;
  DomainId domain;
  Market market = Market::kOnDemand;
  int servers = 0;
};

// Each call carries the holder's name and fencing number. It answers once:
// OK, kPlatformRefused (also where none are to be had), or kStoreUnavailable
// where it may or may not have arrived.
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
