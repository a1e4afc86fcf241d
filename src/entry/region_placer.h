// Where calls for models go, decided in one place per region.
//
// An instance sees a small part of what an engine is sent, and reports of load
// are late, so instances that choose alone send long prompts behind others that
// they can't see. One instance of each region (see placer_choice.h) hears of
// all such calls of its region: it is asked where to send each, and told when
// its first event came and when it ended. The question takes a round trip
// within the region. The placers of several regions tell each other how long
// prompts wait at their engines, and whoever sends a call to another region
// tells the placer there. Where no answer comes at once the instance chooses
// itself, by what it knows of its own calls; nothing waits for a placer that
// has gone.
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
  // A word within a region takes a few milliseconds; a placer that is busy some
  // dozens. Longer waits cost the caller more than a worse choice.
  Duration request_timeout = std::chrono::milliseconds(40);
  // News of placed calls are gathered for so long.
  Duration update_delay = std::chrono::milliseconds(8);
  // A placed call whose asker says nothing more is forgotten after this; no
  // route of the pages lets a caller wait longer.
  Duration call_lifetime = std::chrono::seconds(30);
  // Between two looks for those.
  Duration sweep_interval = std::chrono::seconds(5);
  // Between two words to the placers of other regions.
  Duration wait_report_interval = std::chrono::milliseconds(200);
};

class RegionPlacer {
 public:
  using Send =
      std::function<void(const InstanceId& to, const mesh::Envelope& message)>;
  // A server, and the number under which placers know the call; 0: none does.
  struct Placed {
    std::optional<ServerId> server;
    uint64_t call = 0;
    // To the first token, where the placer told it.
    std::optional<Duration> expected = std::nullopt;
  };
  using Done = std::function<void(const Placed& placed)>;

  // `placement` is this instance's own, also for calls that it places for
  // others.
  RegionPlacer(io::EventLoop& loop, InstanceId self, const Location& location,
               Placement& placement, uint64_t seed,
               RegionPlacerOptions options = {});

  void OnSend(Send send) { send_ = std::move(send); }
  void SetCandidates(const std::vector<PlacerCandidate>& candidates);
  // Told each time how many engines the prompts of a service keep reading here,
  // where this instance places for the region.
  using PrefillLoadObserver =
      std::function<void(const ServiceId& service, double engines)>;
  void OnPrefillLoad(PrefillLoadObserver observer) {
    on_prefill_load_ = std::move(observer);
  }
  // Begins to tell other regions, while this instance places for its own.
  void Start();
  // Who asks is sent on to the next placer.
  void Retire() { retired_ = true; }

  // `done` is called once, at once or within some dozen milliseconds.
  void Choose(const PlacementRequest& request, Done done);
  // The call is sent to the server of `placed`. Where that stands in another
  // region, the placer there is told, and `placed` gets a number if it lacks
  // one.
  void OnSent(Placed& placed, const PlacementRequest& request);
  // News of a call that a placer knows; 0 is ignored.
  void OnStarted(uint64_t call);
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
  // A call that this instance placed for another one.
  struct PlacedCall {
    ServerId server;
    uint64_t placement_call = 0;  // Of the placement.
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
  uint64_t last_call_;  // Begins anywhere, so that runs are told apart.
  std::map<uint64_t, PendingRequest>
      pending_requests_;  // In the order of asking.
  // The placers that know a call.
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
