// Chooses the servers of model calls at one instance per region, the placer.
//
// An instance sees only a small part of the calls that an engine receives, and
// load reports arrive late. Instances that choose independently would therefore
// queue long prompts behind others that they can't see. The placer of a region
// (see placer_choice.h) knows all model calls of its region: the other
// instances request a server for each call from it, and report the call's first
// event and its end. The request takes a round trip within the region. The
// placers of different regions report to each other how long prompts wait at
// their engines. An instance that sends a call to another region reports it to
// the placer there. If the placer doesn't reply in time, the instance chooses a
// server itself, based on its local calls, so an unreachable placer delays a
// call only by that timeout.
#ifndef OLEANDER_ENTRY_REGION_PLACER_H_
#define OLEANDER_ENTRY_REGION_PLACER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "io/event_loop.h"
#include "mesh.pb.h"
#include "oleander/placement.h"
#include "oleander/placer_choice.h"

namespace oleander::entry {

struct RegionPlacerOptions {
  // A reply within a region takes a few milliseconds, from a busy placer some
  // tens. A longer wait costs the caller more than a worse choice of server.
  Duration request_timeout = std::chrono::milliseconds(40);
  // Updates about calls are batched for this long.
  Duration update_delay = std::chrono::milliseconds(8);
  // The record of a placed call is dropped after this time, in case the end of
  // the call is never reported. No documented route has a longer timeout.
  Duration call_lifetime = std::chrono::seconds(30);
  // Minimum time between two scans for such calls.
  Duration sweep_interval = std::chrono::seconds(5);
  // Interval of the reports to the placers of other regions.
  Duration wait_report_interval = std::chrono::milliseconds(200);
};

class RegionPlacer {
 public:
  using Send =
      std::function<void(const InstanceId& to, const mesh::Envelope& message)>;
  // The chosen server, if there is a usable one, and the call's id at the
  // placers; 0 if no placer knows the call.
  struct Placed {
    std::optional<ServerId> server;
    uint64_t call = 0;
    // Time to first token, if the placer reported it.
    std::optional<Duration> expected = std::nullopt;
  };
  using Done = std::function<void(const Placed& placed)>;

  // `placement` is the local instance's; the calls that it places for other
  // instances are recorded there too. `seed` is random: ids of calls start from
  // it, so that they differ between runs of the process.
  RegionPlacer(io::EventLoop& loop, InstanceId self, const Location& location,
               Placement& placement, uint64_t seed,
               RegionPlacerOptions options = {});

  void OnSend(Send send) { send_ = std::move(send); }
  void SetCandidates(const std::vector<PlacerCandidate>& candidates);
  // Called periodically, while this instance is the region's placer, with the
  // number of the region's engines that prompts of the service keep busy with
  // prefill.
  using PrefillLoadObserver =
      std::function<void(const ServiceId& service, double engines)>;
  void OnPrefillLoad(PrefillLoadObserver observer) {
    on_prefill_load_ = std::move(observer);
  }
  // Starts the periodic reports to the placers of other regions. They are sent
  // only while this instance is its region's placer.
  void Start();
  // Stops placing calls. Later requests are redirected to the next placer.
  void Retire() { retired_ = true; }
  // Returns whether this instance places the calls of its region.
  bool places() const {
    return !retired_ && choice_.Current(loop_.now()) == self_;
  }

  // Chooses a server. Calls `done` once, either before returning or within
  // about `request_timeout`.
  void Choose(const PlacementRequest& request, Done done);
  // Records that the call is sent to the server of `placed`. If the server is
  // in another region, reports the call to the placer there, and gives `placed`
  // an id if it has none.
  void OnSent(Placed& placed, const PlacementRequest& request);
  // Each of these reports to the call's placers: its first event, its end, or a
  // failure of its server. An unknown id, such as 0, is ignored.
  // `slowness` is what the server told with its answer, if anything.
  void OnStarted(uint64_t call, std::optional<double> slowness = std::nullopt);
  void OnEnded(uint64_t call);
  void OnFailed(uint64_t call, const ServerId& server);

  void OnMessage(const InstanceId& from, const mesh::Envelope& message);

 private:
  struct PendingRequest {
    InstanceId placer;
    PlacementRequest request;
    Done done;
    Time at;
  };
  // A call that this instance placed, or had reported, for another instance.
  struct PlacedCall {
    ServerId server;
    uint64_t placement_call = 0;  // The call's id at Placement.
    Time until;
  };
  using RemoteCallId = std::pair<InstanceId, uint64_t>;

  void SendRequest(const InstanceId& placer, const PlacementRequest& request,
                   Done done);
  void OnRequest(const InstanceId& from, const entrywire::PlaceAsk& wire);
  void OnReply(const InstanceId& from, const entrywire::PlaceTell& reply);
  void OnUpdate(const InstanceId& from, const entrywire::PlaceNews& update);
  void OnRequestTimeout();
  void RecordCall(const InstanceId& from, const entrywire::PlaceAsk& wire,
                  const ServerId& server, const Prompt& prompt);
  void SendWaits();
  void OnWaits(const entrywire::PlaceWaits& waits);
  void QueueUpdate(uint64_t call,
                   const std::function<void(entrywire::PlaceNews&)>& write);
  void SendUpdates();
  void EndCall(const RemoteCallId& key);
  void DropExpiredCalls();

  RegionPlacerOptions options_;
  io::EventLoop& loop_;
  InstanceId self_;
  Placement& placement_;
  Location location_;
  PlacerChoice choice_;
  Send send_;
  PrefillLoadObserver on_prefill_load_ = [](const ServiceId&, double) {};
  bool retired_ = false;
  uint64_t last_call_;  // Starts from the seed.
  std::map<uint64_t, PendingRequest> pending_requests_;  // Oldest first.
  // The placers that know each local call, by its id.
  absl::flat_hash_map<uint64_t, std::vector<InstanceId>> placers_of_call_;
  std::map<RegionId, PlacerChoice> other_regions_;
  std::map<InstanceId, entrywire::PlaceNews> updates_;
  std::map<RemoteCallId, PlacedCall> placed_calls_;
  Time sweep_at_;
  io::Timer request_timer_;
  io::Timer update_timer_;
  io::Timer wait_report_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_REGION_PLACER_H_
