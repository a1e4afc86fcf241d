// Tracks how many calls each backend server has, from the load reports that any
// instance received.
//
// A server reports its load with each answer, so an instance receives reports
// from a server only as often as it sends to it: with many instances, rarely.
// Fleet sizing needs the load of all servers, so instances pass reports on:
// each sends its new ones to an instance that reads the store, and receives the
// ones that this reader knows (see store_feed.h). Placement doesn't use these
// loads: they are some tenths of a second old and would send all instances to
// the same servers.
//
// Designed for many instances, each of which sees a small part of the calls.
#ifndef OLEANDER_SERVER_LOADS_H_
#define OLEANDER_SERVER_LOADS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "oleander/types.h"

namespace oleander {

// The number of calls at a server, `age` ago.
struct ServerLoadReport {
  uint32_t server = 0;  // ServerLoads::ServerHash() of its id.
  int calls = 0;
  Duration age{};
};

// Holds the latest load report of each server. The prefill load of services is
// passed on in the same way, by service and region instead of by server.
class ServerLoads {
 public:
  // Records how many calls run and wait at a server, from its answer to this
  // instance.
  void OnReport(Time now, const ServerId& server, int calls);
  // Records a report that a peer passed on. Ignored unless it is newer than the
  // known one.
  void OnPeerReport(Time now, const ServerLoadReport& report);

  // Records how many engines of a region the prompts of a service keep busy
  // with prefill.
  void OnPrefillLoad(Time now, const ServiceId& service, const RegionId& region,
                     double engines);
  // Returns the number of busy engines; nullopt without a recent report.
  std::optional<double> PrefillLoadOf(Time now, const ServiceId& service,
                                      const RegionId& region) const;

  // Returns the reports that servers gave to this instance itself since the
  // last TakeUpdates().
  std::vector<ServerLoadReport> TakeUpdates(Time now);
  // Returns at most `max_count` of the known reports. Successive calls cycle
  // through all of them.
  std::vector<ServerLoadReport> NextReports(Time now, size_t max_count);

  // Returns the calls at the server by its latest report; nullopt if there is
  // no recent one. The server is then idle, or its reports don't arrive here;
  // LoadCoverage tells these apart.
  std::optional<int> CallsAt(Time now, const ServerId& server) const;

  static uint32_t ServerHash(const ServerId& server);

 private:
  struct Load {
    int calls = 0;
    Time at;
    bool unsent = false;  // TakeUpdates() hasn't returned it yet.
  };

  void DropOld(Time now);
  static ServerLoadReport ReportOf(Time now, uint32_t server, const Load& load);

  std::map<uint32_t, Load> loads_;
  uint32_t last_sent_ = 0;  // NextReports() continues after this one.
};

}  // namespace oleander

#endif  // OLEANDER_SERVER_LOADS_H_
