// Which backend server gets a call, where many instances send to the same ones
// and each sees only its own calls and what servers tell of themselves.
//
// Calls that share the leading parts of a prompt go to the same few servers:
// every instance ranks the servers of its region for a prompt by the same hash,
// so they agree without a message. A server further down the ranking is taken
// when the queue at the first costs more than reading the shared parts again.
//
// Load it answers: many instances with stale reports, subjects that are asked
// for again within seconds, bursts on one subject.
#ifndef OLEANDER_PLACEMENT_H_
#define OLEANDER_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/listed_servers.h"
#include "oleander/server_notices.h"
#include "oleander/types.h"

namespace oleander {

struct PlacementOptions {
  // What one call more at a server costs the one that is placed there.
  Duration per_running = std::chrono::milliseconds(4);
  // A call that waits at a server delays by about its turn.
  Duration per_waiting = std::chrono::milliseconds(40);
  // Reading one shared prompt token again; engines of these pages read about a
  // hundred in a millisecond.
  Duration per_thousand_tokens = std::chrono::milliseconds(10);
  Duration other_domain = std::chrono::milliseconds(2);
  Duration other_region = std::chrono::milliseconds(80);
  // How long a report of load says something.
  Duration report_age = std::chrono::milliseconds(1500);
  // A server that failed rests this long where others are there.
  Duration rest_after_failure = std::chrono::milliseconds(1500);
  // Costs closer than this are equal; one of them is drawn.
  Duration near_equal = std::chrono::milliseconds(6);
};

struct PlacementQuestion {
  ServiceId service;
  // Hash of the shared leading parts of the prompt; nothing: no preference.
  std::optional<uint64_t> subject = std::nullopt;
  int64_t shared_tokens = 0;
  std::vector<ServerId> tried = {};  // Not to be taken again.
};

class Placement {
 public:
  Placement(PlacementOptions options, Place self, uint64_t seed)
      : options_(options), self_(std::move(self)), gen_(seed) {}

  // The servers that may get work, and the region of each domain.
  void SetServers(const std::vector<const ListedServer*>& ready);
  void SetRegions(absl::flat_hash_map<DomainId, RegionId> regions) {
    regions_ = std::move(regions);
  }

  // The server to send to; nothing where none is left.
  std::optional<ServerId> Pick(Time now, const PlacementQuestion& question);

  // This instance's own calls.
  void OnSent(const ServerId& server);
  void OnEnded(const ServerId& server);
  // A server told its load.
  void OnLoad(Time now, const ServerId& server, int running, int waiting);
  // An answer got lost, was no answer, or reported the server's own failure.
  void OnFailure(Time now, const ServerId& server);
  void OnSuccess(const ServerId& server);
  // What servers say of themselves; those that leave or want a pause get
  // nothing, also where no other is left.
  ServerNotices& notices() { return notices_; }
  // When the first of the service's servers that want a pause takes calls
  // again; nothing where none does.
  std::optional<Time> FirstRested(Time now, const ServiceId& service) const;

  // Calls running and waiting at a server, as far as is known here.
  double EstimatedCalls(Time now, const ServerId& server) const;
  int own_calls(const ServerId& server) const;

 private:
  struct Server {
    ServerId id;
    ServiceId service;
    DomainId domain;
    int slots = 1;
    int64_t born_ms = 0;
    bool listed = false;
    int own = 0;  // Calls of this instance that are under way.
    int own_at_report = 0;
    int running = 0;
    int waiting = 0;
    std::optional<Time> reported_at;
    std::optional<Time> resting_until;
    int failures_in_row = 0;
  };

  Duration CostOf(Time now, const Server& server, int rank,
                  const PlacementQuestion& question) const;
  std::vector<const Server*> Candidates(
      Time now, const PlacementQuestion& question) const;
  const RegionId* RegionOf(const DomainId& domain) const;

  PlacementOptions options_;
  Place self_;
  std::mt19937_64 gen_;
  ServerNotices notices_;
  absl::flat_hash_map<ServerId, Server> servers_;
  absl::flat_hash_map<ServiceId, std::vector<ServerId>> by_service_;
  absl::flat_hash_map<DomainId, RegionId> regions_;
};

}  // namespace oleander

#endif  // OLEANDER_PLACEMENT_H_
