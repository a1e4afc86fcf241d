// Relays answers that other instances hold to followers on this instance.
#ifndef OLEANDER_PARTS_REQUEST_RELAY_H_
#define OLEANDER_PARTS_REQUEST_RELAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "oleander/requests.h"
#include "parts/request_record.h"

namespace oleander {

// The instances that a request id names, which are searched first. The id has
// the form "HOME~REPLICA~RANDOM".
struct RequestIdParts {
  InstanceId home;
  InstanceId replica;
};
// `replica` is empty if the request has none.
RequestId MakeRequestId(const InstanceId& home, const InstanceId& replica,
                        uint64_t random);
// Returns nullopt if `id` doesn't have this form.
std::optional<RequestIdParts> ParseRequestId(const RequestId& id);

// Finds the instance that serves a request and passes its events on.
//
// Each relay serves one follower. It sends FollowRequest first to the instances
// that a hint or the id names, then, rate-limited, to the other instances of
// the region. Once an instance serves it, the relay repeats the FollowRequest
// at intervals, which acknowledges events and recovers lost messages.
class RequestRelays {
 public:
  RequestRelays(const RequestTableOptions& options, uint64_t seed);

  // Starts a relay. `hint` is the instance that probably holds the request, or
  // empty.
  void Start(Time now, FollowerId follower, const RequestId& id, uint64_t from,
             FollowMode mode, const InstanceId& hint);
  void Stop(FollowerId follower);
  // Removes and returns the followers of `id`, because this instance holds the
  // request now.
  struct TakenFollower {
    LocalFollower follower;
    FollowMode mode;
  };
  std::vector<TakenFollower> TakeFollowers(const RequestId& id);

  void SetPeers(Time now, const std::map<InstanceId, PeerView>& peers);
  void OnEvents(Time now, const InstanceId& from, const RequestId& id,
                const FollowEvents& events);
  void OnRedirect(Time now, const InstanceId& from, const RequestId& id,
                  const FollowRedirect& redirect);
  // Sends every streaming reader to the instance that serves its answer.
  void MoveAllReaders();

  void Tick(Time now);
  std::optional<Time> next_due() const;
  size_t size() const { return relays_.size(); }
  bool full() const { return relays_.size() >= options_->limits.max_relays; }

  std::vector<RequestAction> TakeActions();

 private:
  // The search for the instance that serves one follower's request, and the
  // position up to which events were passed on.
  struct Relay {
    FollowerId follower{};
    RequestId id;
    FollowMode mode = FollowMode::kStream;
    uint64_t next = 0;
    uint64_t requested_from = 0;
    InstanceId holder;       // Last instance queried.
    bool confirmed = false;  // `holder` serves the request.
    Time last_received;
    // Instances still to be queried in this round. Queries to the region are
    // rate-limited.
    std::deque<InstanceId> named_candidates;
    std::deque<InstanceId> region_candidates;
    // Instances that replied in this round that they don't know the request.
    std::set<InstanceId> unaware;
    // Instances that in this round didn't reply or redirected the relay.
    std::set<InstanceId> inconclusive;
    int hints_followed = 0;
    Time give_up_at;
    Time due;
  };

  void StartRound(Time now, Relay& relay, const InstanceId& hint);
  void QueryNext(Time now, Relay& relay);
  void QueryInstance(Time now, Relay& relay, const InstanceId& instance);
  void SendFollow(Time now, Relay& relay);
  void OnDue(Time now, Relay& relay);
  void EndRound(Time now, Relay& relay);
  bool TakeRegionToken(Time now);
  // Each of these ends the relay.
  void Finish(const Relay& relay, const RequestEnd& end);
  void FinishSnapshot(const Relay& relay, absl::StatusOr<RequestView> view);
  void Fail(const Relay& relay, const absl::Status& status);

  const RequestTableOptions* options_;
  std::mt19937_64 random_;
  std::map<InstanceId, PeerView> peers_;
  std::map<FollowerId, Relay> relays_;
  double region_tokens_;
  Time region_filled_;
  std::vector<RequestAction> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_REQUEST_RELAY_H_
