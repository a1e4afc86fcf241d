// Readers on this instance of answers that other instances hold.
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

// An id tells where to look first: "HOME~REPLICA~RANDOM".
struct RequestIdParts {
  InstanceId home;
  InstanceId replica;
};
RequestId MakeRequestId(const InstanceId& home, const InstanceId& replica,
                        uint64_t random);
std::optional<RequestIdParts> ParseRequestId(const RequestId& id);

// Finds the instance that answers for a request and passes its events on.
//
// Each follower asks on its own: first the instances that the id names, then,
// rate-limited, the region. Asking again at intervals acknowledges what came
// and makes up for lost messages.
class RequestRelays {
 public:
  RequestRelays(const RequestTableOptions& options, uint64_t seed);

  // `hint` is who probably holds it, or empty.
  void Start(Time now, FollowerId follower, const RequestId& id, uint64_t from,
             FollowMode mode, const InstanceId& hint);
  void Stop(FollowerId follower);
  // Removes the followers of `id`, because this instance holds it now.
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
  // Sends every streaming reader to the instance that its answer comes from.
  void MoveAllReaders();

  void Tick(Time now);
  std::optional<Time> next_due() const;
  size_t size() const { return relays_.size(); }
  bool full() const { return relays_.size() >= options_->limits.max_relays; }

  std::vector<RequestAction> TakeActions();

 private:
  struct Relay {
    FollowerId follower{};
    RequestId id;
    FollowMode mode = FollowMode::kStream;
    uint64_t next = 0;
    uint64_t requested_from = 0;
    InstanceId holder;  // Whoever was asked last.
    bool confirmed = false;
    Time last_received;
    std::deque<InstanceId>
        named_candidates;  // Still to be asked in this round.
    std::deque<InstanceId> region_candidates;  // The same, rate-limited.
    std::set<InstanceId> unaware;  // Said in this round that they don't know.
    std::set<InstanceId> inconclusive;  // Didn't answer in this round.
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
