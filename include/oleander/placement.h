// Which backend server gets a call, where many instances send to the same ones
// and each sees only its own calls and what servers tell of themselves.
//
// A call goes where its first token is expected soonest: what an engine has to
// read before it, what it would have to read of the prompt itself, and the way
// there. Beyond the route's goal a wait counts more than its length, and what
// another engine keeps already counts as read twice, since reading it again
// takes time from the calls behind. Where nobody is known to keep the shared
// parts, every instance ranks the servers of its region for them by the same
// hash, so that they agree without a message.
//
// How good a choice is hangs on what is known of others' calls: see
// region_placer.h.
//
// Load it answers: many instances with stale reports, subjects that are asked
// for again within seconds, bursts on one subject, long prompts among short
// ones.
#ifndef OLEANDER_PLACEMENT_H_
#define OLEANDER_PLACEMENT_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/listed_servers.h"
#include "oleander/prompt_backlog.h"
#include "oleander/server_notices.h"
#include "oleander/types.h"

namespace oleander {

struct PlacementOptions {
  // What one call more at a server costs the one that is placed there.
  Duration per_running = std::chrono::milliseconds(4);
  // A call that waits at a server delays by about its turn.
  Duration per_waiting = std::chrono::milliseconds(40);
  // What reading shared parts once more costs, as a part of the time it takes,
  // beside that time.
  double reread_weight = 1;
  // The part of the shared tokens that a home by hash is taken to keep where
  // nobody is known to.
  double home_share = 0.5;
  // Without a route's word.
  Duration usual_goal = std::chrono::milliseconds(1000);
  Duration other_domain = std::chrono::milliseconds(2);
  Duration other_region = std::chrono::milliseconds(80);
  // Over which reading is summed up.
  Duration reading_window = std::chrono::milliseconds(2000);
  // How long another region's word on its engines says something.
  Duration told_wait_age = std::chrono::milliseconds(1000);
  // How long a report of load says something.
  Duration report_age = std::chrono::milliseconds(1500);
  // A server that failed rests this long where others are there.
  Duration rest_after_failure = std::chrono::milliseconds(1500);
  // Costs closer than this are equal; one of them is drawn.
  Duration near_equal = std::chrono::milliseconds(6);
};

struct PlacementQuestion {
  ServiceId service;
  Prompt prompt = {};                // Empty: not for a model.
  Duration goal{};                   // To the first token; zero: the usual.
  std::vector<ServerId> tried = {};  // Not to be taken again.
};

class Placement {
 public:
  Placement(PlacementOptions options, Location self, uint64_t seed)
      : options_(options), self_(std::move(self)), gen_(seed) {}

  // What the engines of a service can hold.
  void SetMemory(const ServiceId& service, const EngineMemory& memory) {
    memories_[service] = memory;
  }
  // The servers that may get work, and the region of each domain.
  void SetServers(const std::vector<const ListedServer*>& ready);
  void SetRegions(absl::flat_hash_map<DomainId, RegionId> regions) {
    regions_ = std::move(regions);
  }

  // The server to send to; nothing where none is left.
  std::optional<ServerId> Pick(Time now, const PlacementQuestion& question);

  // Whether a call may be sent there, by what servers say of themselves.
  bool MayUse(Time now, const ServerId& server) const;
  // How long a call of this question waits there for its first token.
  Duration ExpectedAt(Time now, const ServerId& server,
                      const PlacementQuestion& question) const;

  // Calls that are known here. OnSent() gives the number of the call, for the
  // others.
  uint64_t OnSent(Time now, const ServerId& server, const Prompt& prompt = {});
  void OnBegun(Time now, uint64_t call);  // Its first event came.
  void OnEnded(Time now, const ServerId& server, uint64_t call);
  // A server told its load.
  void OnLoad(Time now, const ServerId& server, int running, int waiting);
  // An answer got lost, was no answer, or reported the server's own failure.
  void OnFailure(Time now, const ServerId& server);
  void OnSuccess(const ServerId& server);
  // Another region's placer told how long a prompt waits at one of its engines.
  void OnToldWait(Time now, const ServerId& server, Duration wait);
  // How long one waits at each engine of this region that has calls.
  std::vector<std::pair<ServerId, Duration>> WaitsHere(Time now) const;
  // Of each model's service: how many engines of this region the prompts that
  // were sent there of late keep reading.
  std::vector<std::pair<ServiceId, double>> ReadingHere(Time now) const;
  // Null where the server isn't known.
  const RegionId* RegionOfServer(const ServerId& server) const;
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
    Duration told_wait{};  // By its region's placer.
    std::optional<Time> told_at;
    std::optional<Time> resting_until;
    int failures_in_row = 0;
  };

  // What is the same for all candidates.
  struct Preference {
    bool kept_somewhere = false;  // An engine is known to keep shared parts.
    const Server* home = nullptr;
  };
  Preference PreferenceFor(const std::vector<const Server*>& candidates,
                           const PlacementQuestion& question) const;
  int64_t TokensToRead(const Server& server, const Preference& preference,
                       const Prompt& prompt) const;
  Duration WaitAt(Time now, const Server& server, int urgency) const;
  Duration FirstTokenAt(Time now, const Server& server, const Prompt& prompt,
                        int64_t unkept) const;
  Duration WayTo(const Server& server) const;
  bool InOwnRegion(const Server& server) const;
  Duration CostOf(Time now, const Server& server, const Preference& preference,
                  const PlacementQuestion& question) const;
  std::vector<const Server*> Candidates(
      Time now, const PlacementQuestion& question) const;
  const RegionId* RegionOf(const DomainId& domain) const;

  PlacementOptions options_;
  Location self_;
  std::mt19937_64 gen_;
  ServerNotices notices_;
  PromptBacklog backlog_;
  absl::flat_hash_map<ServiceId, EngineMemory> memories_;
  // Reading time sent to engines of this region, by service.
  struct Sent {
    Time at;
    Duration takes{};
  };
  absl::flat_hash_map<ServiceId, std::deque<Sent>> sent_;
  absl::flat_hash_map<ServerId, Server> servers_;
  absl::flat_hash_map<ServiceId, std::vector<ServerId>> by_service_;
  absl::flat_hash_map<DomainId, RegionId> regions_;
};

}  // namespace oleander

#endif  // OLEANDER_PLACEMENT_H_
