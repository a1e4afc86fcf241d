// Exchanges what instances learn of the pace of backend servers, along with
// their queries to the readers of the store.
//
// An instance sends its samples to each reader. A reader collects them for each
// failure domain by itself, since a server may be slow for the callers of one
// domain only, and replies with its verdicts for the sender's domain. The
// placer of a region also sends its own verdicts on the engines that it places
// calls at, so that they outlast it.
//
// Designed for 360 instances that query every 400 ms: at most 0.6 KB/s sent and
// 0.5 KB/s received by each.
#ifndef OLEANDER_ENTRY_PACE_EXCHANGE_H_
#define OLEANDER_ENTRY_PACE_EXCHANGE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "entry.pb.h"
#include "oleander/listed_servers.h"
#include "oleander/placement.h"
#include "oleander/server_pace.h"

namespace oleander::entry {

class PaceExchange {
 public:
  explicit PaceExchange(Placement& placement) : placement_(placement) {}

  // Sets the servers that Placement has, too.
  void SetServers(const std::vector<const ListedServer*>& ready);
  // Writes what `reader` wasn't told yet, and the own verdicts if this instance
  // places its region's calls.
  void WriteQuery(Time now, const InstanceId& reader, bool places,
                  entrywire::ServerPaceNews& wire);
  // Collects the news of a query and writes the verdicts for its sender.
  void Reply(Time now, const entrywire::ServerPaceNews& query,
             entrywire::ServerPaceNews& reply);
  void OnReply(Time now, const entrywire::ServerPaceNews& reply);
  // Does the same as a query to itself and its reply, at a reader.
  void ReplyToSelf(Time now, const InstanceId& self, bool places);
  // Returns up to `max` changes of servers, first those that this instance's
  // own samples show, then those that a collector found for the callers of its
  // domain.
  std::vector<PaceChange> TakeChanges(Time now, size_t max);

 private:
  struct Collector {
    ServerPace pace;
    std::vector<PaceVerdict> verdicts;
    Time verdicts_at;
  };
  // Returns null if there are too many domains.
  Collector* CollectorOf(const DomainId& domain);

  Placement& placement_;
  std::vector<ListedServer> servers_;
  std::map<DomainId, Collector> collectors_;
  absl::flat_hash_map<InstanceId, Time> told_until_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_PACE_EXCHANGE_H_
