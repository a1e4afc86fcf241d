// Chooses the backend server for each call, where many instances send to the
// same servers and each of them knows only its local calls and the load that
// servers report.
//
// A call goes to the server with the lowest cost. The main term is the expected
// time to first token: the prefill queued at the engine, the prefill of the
// prompt's uncached tokens, and the network delay. The weight of this
// time grows with the ratio of the time to the route's goal. Prefill of shared
// prefixes that the engine doesn't cache counts twice by default, since it
// takes engine time from the calls behind it. Where no engine is known to cache
// the shared prefix, every instance ranks the servers of its region by the same
// hash, so that all of them prefer the same server without exchanging messages.
//
// Costs are scaled by what was learned of each server's pace (server_pace.h),
// and among servers of about equal cost the choice falls on each in proportion
// to the rate that it works at.
//
// The quality of a choice depends on how much of the other instances' calls is
// known; see region_placer.h.
//
// Designed for many instances with stale load reports, shared prefixes that are
// requested again within seconds, bursts on one shared prefix, and long prompts
// among short ones.
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
#include "oleander/brittle_servers.h"
#include "oleander/listed_servers.h"
#include "oleander/prompt_backlog.h"
#include "oleander/server_limits.h"
#include "oleander/server_notices.h"
#include "oleander/server_pace.h"
#include "oleander/types.h"

namespace oleander {

struct PlacementOptions {
  // Added to a server's cost for each call that it has.
  Duration cost_per_running = std::chrono::milliseconds(4);
  // Added for each call beyond the server's slots: about the delay that one
  // queued call causes.
  Duration cost_per_waiting = std::chrono::milliseconds(40);
  // Extra weight of the time for prefill of uncached shared tokens. This cost
  // is added to the time itself.
  double repeated_prefill_weight = 1;
  // Share of the shared tokens that the preferred server is assumed to cache
  // where no engine is known to cache them.
  double preferred_cached_share = 0.5;
  // Time to first token for routes that set no goal.
  Duration default_goal = std::chrono::milliseconds(1000);
  // Network delay to a server in another domain of the region, and in another
  // region.
  Duration other_domain_delay = std::chrono::milliseconds(2);
  Duration other_region_delay = std::chrono::milliseconds(80);
  // Window over which PrefillLoadInRegion() averages.
  Duration prefill_window = std::chrono::milliseconds(2000);
  // Older waits reported by another region's placer are ignored.
  Duration reported_wait_max_age = std::chrono::milliseconds(1000);
  // Older load reports of servers are ignored.
  Duration report_max_age = std::chrono::milliseconds(1500);
  // Cooldown of a server after its second failure in a row, doubled with each
  // further one. A server in cooldown is used only if no other is left.
  Duration failure_cooldown = std::chrono::milliseconds(1500);
  // Servers whose cost exceeds the lowest one by no more than this are equal;
  // one of them is drawn at random.
  Duration tie_margin = std::chrono::milliseconds(6);
  // Whether costs and choices follow the learned pace of servers.
  bool learned_pace = true;
};

struct PlacementRequest {
  ServiceId service;
  Prompt prompt = {};  // Empty for services that aren't models.
  Duration goal{};     // Time to first token; zero means default_goal.
  // Calls of one kind, by the hash of its name, take about the same time at a
  // server; not used for calls with a prompt.
  uint64_t kind = 0;
  std::vector<ServerId> tried = {};  // Excluded from the choice.
  // Only servers of this software version may be chosen; nothing for any.
  std::optional<std::string> version = std::nullopt;
  // No servers of these versions may be chosen.
  std::vector<std::string> avoided_versions = {};
  // If not empty, only these servers may be chosen.
  std::vector<ServerId> servers = {};
  // The instance that sends the call; nothing for the local one.
  std::optional<InstanceId> sender = std::nullopt;
};

class Placement {
 public:
  Placement(PlacementOptions options, Location self, uint64_t seed)
      : options_(options), self_(std::move(self)), gen_(seed) {}

  // Sets the cache size of a model service's engines. SetServers() applies it,
  // so call this first.
  void SetMemory(const ServiceId& service, const EngineMemory& memory) {
    memories_[service] = memory;
  }
  // Replaces the servers that may receive work. A server that is no longer
  // listed is dropped once its last local call has ended.
  void SetServers(const std::vector<const ListedServer*>& ready);
  // Sets the region of each domain.
  void SetRegions(absl::flat_hash_map<DomainId, RegionId> regions) {
    regions_ = std::move(regions);
  }

  // Returns the server with the lowest cost, or nothing if no server is usable.
  std::optional<ServerId> Pick(Time now, const PlacementRequest& request);

  // Returns whether the server is listed, neither leaving nor paused nor
  // brittle without a free slot, and takes a call of `sender` now; without a
  // sender, of the local instance. The cooldown after failures isn't
  // considered.
  bool MayUse(Time now, const ServerId& server,
              const std::optional<InstanceId>& sender = std::nullopt) const;
  // Returns whether the server is listed with a version that the request
  // allows, and is among its servers if it names any.
  bool HasVersionFor(const PlacementRequest& request,
                     const ServerId& server) const;
  // Returns the expected time to first token of the request at the server, or
  // Duration::max() if the server is unknown.
  Duration ExpectedFirstToken(Time now, const ServerId& server,
                              const PlacementRequest& request) const;

  // Records a call sent to the server. Returns the call's id for OnStarted()
  // and OnEnded(); 0 if it has no prompt or the server is unknown.
  uint64_t OnSent(Time now, const ServerId& server, const Prompt& prompt = {});
  // Records that the call's first event arrived, so its prefill is finished.
  void OnStarted(Time now, uint64_t call);
  // Records the end of a call that OnSent() recorded, also if its id is 0.
  void OnEnded(Time now, const ServerId& server, uint64_t call);
  // Records an answer to a call without a prompt, `took` after it was sent. An
  // answer that says that the server failed is none.
  void OnAnswered(Time now, const ServerId& server,
                  const PlacementRequest& request, Duration took);
  // Records the factor by which the server says that work takes longer now.
  void OnToldSlowness(Time now, const ServerId& server, double slowness);
  // Records a server's report of its running and waiting calls.
  void OnLoad(Time now, const ServerId& server, int running, int waiting);
  // Records an answer that was lost, invalid, or an error of the server itself.
  // The second failure in a row starts a cooldown.
  void OnFailure(Time now, const ServerId& server);
  // Ends the cooldown and resets the count of failures.
  void OnSuccess(const ServerId& server);
  // Records how long a prompt waits at an engine of another region, as that
  // region's placer reported it.
  void OnReportedWait(Time now, const ServerId& server, Duration wait);
  // Returns how long the most urgent prompt waits for prefill at each engine of
  // this region that has local calls.
  std::vector<std::pair<ServerId, Duration>> WaitsInRegion(Time now) const;
  // Returns, for each model service, how many engines of this region the
  // prompts sent within prefill_window keep busy with prefill.
  std::vector<std::pair<ServiceId, double>> PrefillLoadInRegion(Time now) const;
  // Returns null if the server or the region of its domain is unknown.
  const RegionId* RegionOfServer(const ServerId& server) const;
  // Notices that servers gave about themselves. A leaving or paused server
  // receives no call, even if no other server is left.
  ServerNotices& notices() { return notices_; }
  // Request rates that servers named. A server receives no call beyond them.
  ServerLimits& limits() { return limits_; }
  // Servers that must not turn many calls away. They receive no call that would
  // have to wait, and none during a pause.
  BrittleServers& brittle() { return brittle_; }
  const Location& location() const { return self_; }
  ServerPace& pace() { return pace_; }
  const ServerPace& pace() const { return pace_; }
  // Returns the earliest time at which a pause ends, or a turn of the local
  // instance starts, among the service's servers that aren't leaving; nothing
  // if none of them is paused or limited.
  std::optional<Time> NextUsableAt(Time now, const ServiceId& service) const;

  // Returns the calls running and waiting at the server: by its last report,
  // corrected by the change in local calls since then, and never fewer than the
  // open local calls.
  double EstimatedCalls(Time now, const ServerId& server) const;
  // Returns the number of open calls that OnSent() recorded for the server.
  int local_calls(const ServerId& server) const;

 private:
  struct Server {
    ServerId id;
    ServiceId service;
    DomainId domain;
    int slots = 1;
    int64_t started_ms = 0;
    std::string version;
    bool listed = false;
    int local_calls = 0;  // Open calls recorded by OnSent().
    int local_calls_at_report = 0;
    int running = 0;
    int waiting = 0;
    std::optional<Time> reported_at;
    Duration reported_wait{};  // From its region's placer.
    std::optional<Time> wait_reported_at;
    std::optional<Time> cooldown_until;
    int failures_in_row = 0;
  };

  // The part of the choice that is the same for all candidates.
  struct Preference {
    // Whether an engine is known to cache the whole shared prefix.
    bool cached_somewhere = false;
    // The region's server that ranks first by hash for the shared prefix.
    const Server* preferred = nullptr;
    // Usual time of such a call without a prompt, in microseconds; 0 if
    // unknown.
    double usual_us = 0;
    // What the servers of its service report on average.
    double mean_calls = 0;
  };
  // Drops what is known of a server that has started again under its id.
  void ForgetRun(Server& server);
  Preference PreferenceFor(const std::vector<const Server*>& candidates,
                           const PlacementRequest& request) const;
  // Returns the uncached tokens, fewer at the preferred server if no engine is
  // known to cache the shared prefix.
  int64_t ExpectedPrefillTokens(const Server& server,
                                const Preference& preference,
                                const Prompt& prompt) const;
  Duration WaitAt(Time now, const Server& server, int urgency) const;
  Duration TimeToFirstToken(Time now, const Server& server,
                            const Prompt& prompt, int64_t uncached,
                            double slowness) const;
  // Returns the learned factor by which work takes longer at the server with
  // `calls` calls there.
  double SlownessAt(Time now, const Server& server, double calls) const;
  struct LoadEstimate {
    double calls = 0;
    // How much of it is known of the server itself, from 0 to 1.
    double fresh = 1;
  };
  // Returns EstimatedCalls(), except that the report of a server, where the
  // usual time of a call is known, turns into the mean of the service as it
  // ages, since the calls that it counted have ended.
  LoadEstimate EstimateLoad(Time now, const Server& server,
                            const Preference& preference) const;
  Duration NetworkDelayTo(const Server& server) const;
  bool InLocalRegion(const Server& server) const;
  struct Cost {
    const Server* server = nullptr;
    Duration cost{};
    // How likely the server is chosen among those of equal cost.
    double share = 1;
  };
  // Returns the load cost, plus the time to first token t weighted with
  // 1 + t / goal, plus the weighted time for prefill of shared tokens.
  Cost CostOf(Time now, const Server& server, const Preference& preference,
              const PlacementRequest& request) const;
  const Cost& Draw(const std::vector<Cost>& equal);
  // Returns the usable servers that weren't tried; those in cooldown only if
  // there are no others.
  std::vector<const Server*> Candidates(Time now,
                                        const PlacementRequest& request) const;
  const RegionId* RegionOf(const DomainId& domain) const;
  bool MayUseIfBrittle(Time now, const Server& server) const;

  PlacementOptions options_;
  Location self_;
  std::mt19937_64 gen_;
  ServerNotices notices_;
  ServerLimits limits_;
  BrittleServers brittle_;
  PromptBacklog backlog_;
  ServerPace pace_;
  // The servers of the open calls with a prompt and without a first event.
  absl::flat_hash_map<uint64_t, ServerId> prompt_calls_;
  absl::flat_hash_map<ServiceId, EngineMemory> memories_;
  // Prefill time sent to engines of this region, by service.
  struct SentPrefill {
    Time at;
    Duration prefill_time{};
  };
  absl::flat_hash_map<ServiceId, std::deque<SentPrefill>> sent_prefills_;
  absl::flat_hash_map<ServerId, Server> servers_;
  absl::flat_hash_map<ServiceId, std::vector<ServerId>> by_service_;
  absl::flat_hash_map<DomainId, RegionId> regions_;
  // Moving average of the calls that the servers of a service report.
  absl::flat_hash_map<ServiceId, double> mean_calls_;
};

}  // namespace oleander

#endif  // OLEANDER_PLACEMENT_H_
