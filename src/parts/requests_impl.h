// Implementation of RequestTable. Its functions are defined in six files:
// requests.cc (acceptance, memory, timers), request_peers.cc (other instances),
// request_replication.cc (the home's side of replication), request_replica.cc
// (the replica's side), request_attempts.cc (attempts at backend servers) and
// request_followers.cc (readers of answers).
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

  // Remains of a request whose record was dropped: late messages with the same
  // or a lower ownership and replica number are refused, and followers are
  // redirected.
  struct Tombstone {
    Ownership ownership;
    uint64_t replica_number = 0;
    InstanceId moved_to;  // Probable holder; empty if unknown.
    // The request ended or was refused here, and its answer is not available.
    bool removed = false;
  };

  // requests.cc and request_peers.cc
  HeldRequest* Find(const RequestId& id) const;
  HeldRequest& AddRecord(const RequestId& id,
                         std::shared_ptr<const RequestSpec> spec);
  // Removes the record and leaves a tombstone. Its followers must have been
  // ended or moved before.
  void Drop(HeldRequest& request, Tombstone tombstone);
  void AddTombstone(const RequestId& id, Tombstone tombstone);
  // Returns kMemoryFull if the request would exceed a limit of the instance or
  // of its profile.
  absl::Status CheckCapacity(const RequestSpec& spec) const;
  // Adds the change of the record's size to the byte totals.
  void UpdateByteCount(HeldRequest& request);
  void UpdateProfileCount(const HeldRequest& request, int sign);
  // Must be called after every change of a record: delivers events to
  // followers, sends the replica what it lacks, continues a handover and
  // updates the due time. May drop the record.
  void FinishUpdate(Time now, HeldRequest& request);
  void Reschedule(HeldRequest& request);
  void OnDue(Time now, HeldRequest& request);
  void OnHomeDue(Time now, HeldRequest& request);
  void OnReplicaDue(Time now, HeldRequest& request);
  void OnPeerChange(Time now, HeldRequest& request);
  void SendBeacons(Time now);
  // Records the process `run_id` of `from` and handles a restart of that
  // instance, which lost what it held. Returns false if the message is from
  // an earlier process.
  bool UpdatePeerRun(Time now, const InstanceId& from, uint64_t run_id);
  void OnPeerRestart(Time now, const InstanceId& peer);
  // Returns a copy of the ids, so that records may be dropped during iteration.
  std::vector<RequestId> AllIds() const;
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const Beacon& beacon);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const BeaconReply& reply);
  // Returns whether the instance is alive and not leaving.
  bool IsUsable(const InstanceId& id) const;
  void Send(const InstanceId& to, const HeldRequest& request,
            RequestMessageBody body);
  void SendMessage(const InstanceId& to, const RequestId& id,
                   const Ownership& ownership, uint64_t replica_number,
                   RequestMessageBody body);
  // Drops a request that no replica confirmed, with RequestRefused.
  void RefuseAccept(HeldRequest& request);

  // request_replication.cc: the home's side.
  // Returns a random usable instance of the region, in another domain if
  // possible, or nullopt if the profile's replica rule allows none.
  std::optional<InstanceId> ChooseReplica(const HeldRequest& request);
  // Chooses a replica and sends it a HoldRequest; retries later if there is
  // none.
  void StartReplica(Time now, HeldRequest& request);
  void SendHold(Time now, HeldRequest& request);
  // May drop the record.
  void OnReplicaLost(Time now, HeldRequest& request);
  void OnHoldTimeout(Time now, HeldRequest& request);
  void SendProgressIfDue(Time now, HeldRequest& request);
  // Sends Release once, without waiting for confirmations.
  void ReleasePossibleHolders(HeldRequest& request);
  // Sends Release to all possible holders and schedules the next attempt.
  void SendReleases(Time now, HeldRequest& request);
  void HandOverIfReady(Time now, HeldRequest& request);
  // Drops the record in favor of the new home `to` and moves its followers.
  void FinishHandover(HeldRequest& request, const InstanceId& to);
  // Gives up the role of home for `to`, whose events agree with this record's
  // in the first `common_events`.
  void StepDown(Time now, HeldRequest& request, const InstanceId& to,
                const Ownership& ownership, uint64_t common_events);
  // Finishes a handover or steps down for the message's home, which adopted the
  // request with `adopted_events` events.
  void YieldTo(Time now, HeldRequest& request, const RequestMessage& message,
               uint64_t common_events);
  // request_replica.cc: the replica's side.
  // Sends the home ProgressReply, or ReplicaLeaving if draining.
  void SendReplicaStatus(Time now, HeldRequest& request);
  // Makes this replica the home of the request, at the next epoch.
  void Adopt(Time now, HeldRequest& request);
  // Returns whether the message's ownership is lower than the record's, and if
  // so sends the current ownership back.
  bool RejectIfStale(const InstanceId& from, const RequestMessage& message,
                     const HeldRequest& request);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const HoldRequest& hold);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const HoldReply& reply);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const Progress& progress);
  void On(Time now, const InstanceId& from, const RequestMessage& message,
          const ProgressReply& reply);
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
  // Refuses the HoldRequest and leaves a tombstone, so that a duplicate of the
  // message can't create a copy after the home learned that there is none.
  void RefuseHold(const InstanceId& from, const RequestMessage& message,
                  const absl::Status& reason);
  // Answers a replica of a request that isn't held here: Release if a tombstone
  // shows that it was dropped, otherwise NotHeld.
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
  // Returns the record whose active attempt is `key`, or null.
  HeldRequest* CurrentAttempt(const AttemptKey& key);
  void Dispatch(Time now, HeldRequest& request);
  void StopAttempt(HeldRequest& request);
  // Adds the attempt's server to the servers that later attempts avoid.
  void AvoidServer(HeldRequest& request);
  // Dispatches at once if the last attempt made progress, otherwise after a
  // backoff. Ends the request with `status` after too many attempts without
  // progress.
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
  // Serves a local follower from a replica's copy of an ended request.
  void ServeFromEndedCopy(const HeldRequest& request, FollowerId follower,
                          uint64_t from, FollowMode mode);
  void EndFollower(const HeldRequest& request, FollowerId follower,
                   uint64_t next);
  void FailFollower(const RequestId& id, FollowerId follower, FollowMode mode,
                    const absl::Status& status);
  // Answers a FollowRequest of another instance, or registers its follower.
  void ServeRemoteFollower(Time now, const InstanceId& from,
                           HeldRequest& request, const FollowRequest& follow);
  // Raises the number of events that followers may receive: those that the
  // replica has acknowledged while no other instance may hold a copy, or all of
  // them if the acknowledgements lag too far behind.
  void AdvanceVisible(Time now, HeldRequest& request);
  void FlushLocal(HeldRequest& request);
  void FlushRemote(Time now, HeldRequest& request);
  void DropTimedOutFollowers(Time now, HeldRequest& request);
  // Cancels the request if no follower is left and its profile requires it.
  void OnFollowersRemoved(Time now, HeldRequest& request);
  bool HasFollowers(const HeldRequest& request) const;
  // Sends all followers to instance `to`. If `to` is empty, they end with
  // kRequestGone.
  void MoveFollowers(HeldRequest& request, const InstanceId& to);
  // Attaches the followers that this instance relayed, since it is the home
  // now.
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
  uint64_t run_id_;  // Random id of this process.
  std::map<InstanceId, PeerView> peers_;
  struct PeerRun {
    uint64_t current = 0;
    std::deque<uint64_t> previous;  // Their late messages are dropped.
  };
  std::map<InstanceId, PeerRun> peer_runs_;
  std::optional<Time> beacon_due_;
  Records records_;
  std::set<std::pair<Time, RequestId>> due_queue_;  // Ordered by due time.
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
