// The inside of RequestTable. Its functions stand in six files by duty:
// requests.cc (acceptance, memory, time), request_peers.cc (other instances),
// request_replication.cc (the home's
// side of the second copy), request_replica.cc (the replica's side),
// request_attempts.cc (backend servers) and request_followers.cc (readers).
#ifndef OLEANDER_PARTS_REQUESTS_IMPL_H_
#define OLEANDER_PARTS_REQUESTS_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "oleander/requests.h"
#include "parts/request_record.h"
#include "parts/request_relay.h"

namespace oleander {

class RequestTable::Impl {
 public:
  Impl(RequestTableOptions options, uint64_t seed);

  void SetPeers(Time now, std::span<const PeerView> peers);
  absl::StatusOr<RequestId> Accept(Time now, RequestSpec spec);
  FollowerId Follow(Time now, const RequestId& id, uint64_t from,
                    FollowMode mode);
  void Unfollow(Time now, FollowerId follower);
  void OnMessage(Time now, const InstanceId& from,
                 const RequestMessage& message);
  void OnAttemptStarted(Time now, const AttemptKey& key,
                        const ServerId& server);
  void OnTokens(Time now, const AttemptKey& key, uint64_t first_index,
                std::span<const std::string> tokens);
  void OnAttemptEnded(Time now, const AttemptKey& key,
                      const AttemptOutcome& outcome);
  void OnServerLost(Time now, const ServerId& server);
  void ResumeElsewhere(Time now, const AttemptKey& key);
  void Drain(Time now, bool handover);
  bool CanExit() const;
  bool draining() const { return draining_; }
  void Tick(Time now);
  std::optional<Time> next_due() const;
  std::vector<RequestAction> TakeActions();
  std::optional<RequestView> Query(const RequestId& id) const;
  std::optional<ServerId> ServerOf(const AttemptKey& key) const;
  std::vector<AttemptKey> AttemptsOn(const ServerId& server) const;
  const RequestCounts& counts() const { return counts_; }
  RequestGauges gauges() const;

 private:
  using Records = std::map<RequestId, std::unique_ptr<HeldRequest>>;

  // What is remembered of a request that is held no longer.
  struct Tombstone {
    Ownership ownership;
    uint64_t replica_number = 0;
    InstanceId moved_to;   // Empty where it was not handed over.
    bool removed = false;  // It ended here and was kept as long as promised.
  };

  // requests.cc
  HeldRequest* Find(const RequestId& id) const;
  HeldRequest& AddRecord(const RequestId& id,
                         std::shared_ptr<const RequestSpec> spec);
  // Removes the record; followers must be gone already.
  void Drop(HeldRequest& request, Tombstone tombstone);
  void AddTombstone(const RequestId& id, Tombstone tombstone);
  absl::Status CheckCapacity(const RequestSpec& spec) const;
  void UpdateByteCount(HeldRequest& request);
  void UpdateProfileCount(const HeldRequest& request, int sign);
  // Ends every change of a record: lets followers have what is due, sends what
  // the replica lacks, and puts the record in the queue of due times. May drop
  // the record.
  void FinishUpdate(Time now, HeldRequest& request);
  void Reschedule(HeldRequest& request);
  void OnDue(Time now, HeldRequest& request);
  void OnHomeDue(Time now, HeldRequest& request);
  void OnReplicaDue(Time now, HeldRequest& request);
  void OnPeerChange(Time now, HeldRequest& request);
  void SendBeacons(Time now);
  // Whether `run` is the present run of `from`; one that was restarted lost
  // what it held.
  bool UpdatePeerRun(Time now, const InstanceId& from, uint64_t run_id);
  void OnPeerRestart(Time now, const InstanceId& peer);
  std::vector<RequestId> AllIds() const;
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const Beacon& beacon);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const BeaconReply& answer);
  bool IsUsable(const InstanceId& id) const;
  void Send(const InstanceId& to, const HeldRequest& request,
            RequestMessageBody body);
  void SendMessage(const InstanceId& to, const RequestId& id,
                   const Ownership& ownership, uint64_t replica_number,
                   RequestMessageBody body);
  void RefuseAccept(HeldRequest& request);

  // request_replication.cc: the home's side.
  std::optional<InstanceId> ChooseReplica(const HeldRequest& request);
  void StartReplica(Time now, HeldRequest& request);
  void SendHold(Time now, HeldRequest& request);
  void OnReplicaLost(Time now, HeldRequest& request);
  void OnHoldTimeout(Time now, HeldRequest& request);
  void SendProgressIfDue(Time now, HeldRequest& request);
  void ReleasePossibleHolders(HeldRequest& request);
  void SendReleases(Time now, HeldRequest& request);
  void HandOverIfReady(Time now, HeldRequest& request);
  void FinishHandover(HeldRequest& request, const InstanceId& to);
  void StepDown(Time now, HeldRequest& request, const InstanceId& to,
                const Ownership& ownership, uint64_t common_events);
  // Another instance became the home, on a copy that agrees with this one in
  // the first `agreed` events.
  void YieldTo(Time now, HeldRequest& request, const RequestMessage& message,
               uint64_t common_events);
  // The replica's side.
  void SendReplicaStatus(Time now, HeldRequest& request);
  void Adopt(Time now, HeldRequest& request);
  bool RejectIfStale(const InstanceId& from, const RequestMessage& message,
                     const HeldRequest& request);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const HoldRequest& hold);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const HoldReply& answer);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const Progress& progress);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const ProgressReply& answer);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const Promote& promote);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const Adopted& adopted);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const Release& release);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const NotHeld& not_held);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const ReplicaLeaving& leaving);
  void RefuseHold(const InstanceId& from, const RequestMessage& message,
                  const absl::Status& reason);
  void ReplyForUnknownRequest(const InstanceId& from,
                              const RequestMessage& message);
  void OnReplicaConfirmed(Time now, HeldRequest& request, uint64_t next,
                          bool end_held);
  void TryNextReplica(Time now, HeldRequest& request);
  void StoreCopy(Time now, HeldRequest& request, const RequestMessage& message,
                 const HoldRequest& hold);
  void StoreEnd(Time now, HeldRequest& request,
                const std::optional<RequestEnd>& end);

  // request_attempts.cc
  HeldRequest* CurrentAttempt(const AttemptKey& key);
  void Dispatch(Time now, HeldRequest& request);
  void StopAttempt(HeldRequest& request);
  void AvoidServer(HeldRequest& request);
  void RetryAttempt(Time now, HeldRequest& request, const absl::Status& status);
  void ResumeIfStalled(Time now, HeldRequest& request);
  void End(Time now, HeldRequest& request, RequestEnd end);
  void CancelRequest(Time now, HeldRequest& request);

  // request_followers.cc
  FollowerId NewFollower();
  void AddLocalFollower(HeldRequest& request, FollowerId follower,
                        uint64_t from);
  void SendSnapshot(FollowerId follower, const HeldRequest& request,
                    uint64_t visible);
  void ServeFromEndedCopy(const HeldRequest& request, FollowerId follower,
                          uint64_t from, FollowMode mode);
  void EndFollower(const HeldRequest& request, FollowerId follower,
                   uint64_t next);
  void FailFollower(const RequestId& id, FollowerId follower, FollowMode mode,
                    const absl::Status& status);
  void ServeRemoteFollower(Time now, const InstanceId& from,
                           HeldRequest& request, const FollowRequest& follow);
  void AdvanceVisible(Time now, HeldRequest& request);
  void FlushLocal(HeldRequest& request);
  void FlushRemote(Time now, HeldRequest& request);
  void DropTimedOutFollowers(Time now, HeldRequest& request);
  void OnFollowersRemoved(Time now, HeldRequest& request);
  bool HasFollowers(const HeldRequest& request) const;
  void MoveFollowers(HeldRequest& request, const InstanceId& to);
  void AttachRelayFollowers(Time now, HeldRequest& request);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const FollowRequest& follow);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const FollowEvents& events);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const FollowRedirect& redirect);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const StopFollowing& stop);

  RequestTableOptions options_;
  std::mt19937_64 random_;
  uint64_t run_id_;
  std::map<InstanceId, PeerView> peers_;
  struct PeerRun {
    uint64_t current = 0;
    std::deque<uint64_t> previous;  // Late messages of these are dropped.
  };
  std::map<InstanceId, PeerRun> peer_runs_;
  std::optional<Time> beacon_due_;
  Records records_;
  std::set<std::pair<Time, RequestId>> due_queue_;
  std::map<RequestId, Tombstone> tombstones_;
  std::deque<RequestId> tombstone_order_;
  struct ProfileUse {
    int requests = 0;
    int64_t bytes = 0;
  };
  std::map<ProfileName, ProfileUse> profiles_;
  int64_t bytes_ = 0;
  std::map<FollowerId, RequestId> local_follower_requests_;
  uint64_t last_follower_ = 0;
  RequestRelays relays_;
  bool draining_ = false;
  bool handover_ = false;
  std::vector<RequestAction> actions_;
  RequestCounts counts_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_REQUESTS_IMPL_H_
