// How many calls each backend server has, from what servers told any instance.
//
// A server tells its load with each answer, so an instance hears of a server as
// often as it sends to it: with many instances, rarely. Who decides on the size
// of a fleet needs all of it, so instances pass on what they heard: each tells
// its news to one that reads the store, and hears what that one knows (see
// store_feed.h). Placement doesn't use this: what is some tenths of a second
// old would send all instances to the same servers.
//
// Load it answers: many instances, of which each sees a small part of the
// calls.
#ifndef OLEANDER_SERVER_LOADS_H_
#define OLEANDER_SERVER_LOADS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "oleander/types.h"

namespace oleander {

// How many calls a server had a moment ago.
struct ServerLoadReport {
  uint32_t server = 0;  // A hash of its id, see ServerLoads::ServerHash().
  int calls = 0;
  Duration age{};
};

//
// What services' prompts ask of their engines is passed on in the same way, by
// service and region instead of by server.
class ServerLoads {
 public:
  // A server told this instance how many calls run and wait there.
  void OnReport(Time now, const ServerId& server, int calls);
  // A peer told what a server had told somebody.
  void OnPeerReport(Time now, const ServerLoadReport& report);

  // The prompts of a service keep so many engines of a region reading.
  void OnPrefillLoad(Time now, const ServiceId& service, const RegionId& region,
                     double engines);
  // Zero where nobody told it of late.
  double PrefillLoadOf(Time now, const ServiceId& service,
                       const RegionId& region) const;

  // What servers told this instance itself since the last call of this.
  std::vector<ServerLoadReport> TakeUpdates(Time now);
  // At most `most` of the loads that are known, in turn.
  std::vector<ServerLoadReport> NextReports(Time now, size_t max_count);

  // Calls at the server by its freshest word; zero where there is none of late,
  // since a server that is sent to answers.
  int CallsAt(Time now, const ServerId& server) const;

  static uint32_t ServerHash(const ServerId& server);

 private:
  struct Load {
    int calls = 0;
    Time at;
    bool unsent = false;  // Peers don't know it yet.
  };

  void DropOld(Time now);
  static ServerLoadReport ReportOf(Time now, uint32_t server, const Load& load);

  std::map<uint32_t, Load> loads_;
  uint32_t last_sent_ = 0;  // Where the next Notes() goes on.
};

}  // namespace oleander

#endif  // OLEANDER_SERVER_LOADS_H_
