// Replicated table of the requests that this instance serves, backs up or
// relays.
//
// A request is accepted once two instances hold it. Its home (the primary)
// dispatches it to backend servers and collects the events of the answer. Its
// replica, in another failure domain of the region where possible, adopts the
// request (becomes its home) when the home leaves or fails. Each adoption
// raises the request's epoch, a counter that orders its homes. A follower (a
// reader of the answer) can attach to any instance of the region by the
// request's id and start at any event.
//
//   RequestTable table({.self = self}, seed);
//   table.SetPeers(now, peers);
//   absl::StatusOr<RequestId> id = table.Accept(now, spec);
//   for (RequestAction& action : table.TakeActions()) {
//     std::visit(perform, action);  // The first action sends HoldRequest.
//   }
//   ...
//   table.OnMessage(now, replica, hold_answer);  // RequestAccepted, Dispatch
//   table.Follow(now, *id, /*from=*/0, FollowMode::kStream);
//   table.OnTokens(now, key, /*first_index=*/0, tokens);  // DeliverEvents
#ifndef OLEANDER_REQUESTS_H_
#define OLEANDER_REQUESTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "oleander/request_messages.h"
#include "oleander/retries.h"
#include "oleander/streams.h"
#include "oleander/types.h"

namespace oleander {

// Another entry instance, as the membership protocol reports it.
struct PeerView {
  InstanceInfo info;
  bool alive = true;  // False once the instance is suspected or down.
  bool leaving = false;
};

struct RequestLimits {
  size_t max_requests = 20'000;    // Held as home or as replica.
  int64_t max_bytes = 48LL << 20;  // Held and reserved bytes.
  int64_t reserved_bytes_per_token = 8;
  // Upper bound of the tokens that a running request reserves memory for.
  int64_t max_reserved_tokens = 16'384;
  // Followers on this instance of answers that other instances hold.
  size_t max_relays = 4'096;
  size_t max_tombstones = 16'384;  // For requests dropped on this instance.
};

struct RequestTiming {
  // Minimum time between two Progress messages of one request. The first event
  // after a longer pause is sent at once.
  Duration progress_interval = std::chrono::milliseconds(10);
  // Events are delivered to followers once the replica has acknowledged them,
  // or once this time has passed without progress of its acknowledgements.
  Duration replica_lag_bound = std::chrono::milliseconds(100);
  // Timeout of one HoldRequest; then another instance is tried.
  Duration hold_timeout = std::chrono::milliseconds(150);
  int hold_attempts = 3;  // Instances tried before a request is refused.
  // Unacknowledged messages to other instances are sent again after this time.
  Duration resend_interval = std::chrono::milliseconds(200);
  // A replica that receives nothing for this time sends its home a
  // ProgressReply, so that a home that no longer needs the copy releases it.
  Duration replica_check_interval = std::chrono::seconds(30);
  // Time between two Beacon messages to each instance that shares a request
  // with this one.
  Duration beacon_interval = std::chrono::seconds(5);
  // A relay repeats its FollowRequest at this interval, and the home drops the
  // follower when none arrives within `follower_timeout`.
  Duration follow_refresh = std::chrono::milliseconds(500);
  Duration follower_timeout = std::chrono::seconds(5);
  // How long a relay waits for each instance while it searches for the holder
  // of an answer, and for the entire search.
  Duration locate_reply_timeout = std::chrono::milliseconds(200);
  Duration locate_timeout = std::chrono::seconds(10);
  // Rate limit of FollowRequest messages to instances that neither the id nor a
  // redirect names.
  double region_lookups_per_second = 20;
  // Events sent beyond the index of a relay's last FollowRequest.
  uint64_t follow_window = 1'024;
  int max_attempts_without_progress = 64;
  BackoffOptions backoff;
};

// Deliberate faults. Tests enable them to show that the checks detect them.
struct RequestMutations {
  // Adoption doesn't raise the epoch, so attempt names repeat.
  bool reuse_attempt_number = false;
  bool skip_epoch_check = false;
  bool hand_over_without_ack = false;
  bool accept_without_ack = false;
};

struct RequestTableOptions {
  InstanceInfo self;
  RequestLimits limits;
  RequestTiming timing;
  RequestMutations mutations;
};

// A reader of an answer on this instance, such as one caller's connection.
enum class FollowerId : uint64_t {};

// The response of GET /v1/requests/{id}.
struct RequestView {
  RequestState state = RequestState::kQueued;
  uint64_t events = 0;
  std::string text;
  std::optional<RequestEnd> end;
};

// Actions. The caller performs them in order; performing one must not call back
// into the table.
struct SendRequestMessage {
  InstanceId to;
  RequestMessage message;
};
// The request is accepted; its id may now be sent to the caller.
struct RequestAccepted {
  RequestId id;
  InstanceId replica;         // Empty under ReplicaRule::kNone.
  bool other_domain = false;  // Whether the replica is in another domain.
};
// The request was refused and its copies are released. The status has
// `ran:"no"` only if no attempt started and no other instance may hold a copy.
struct RequestRefused {
  RequestId id;
  absl::Status status;
};
// Send the request to a backend server. Call OnAttemptStarted before the first
// byte is sent, then OnTokens and OnAttemptEnded. This action is issued
// together with the HoldRequest, before RequestAccepted, so that replication
// doesn't delay the first token by a round trip. With resume_from > 0 the
// engine continues after resume_text.
struct DispatchAttempt {
  AttemptKey key;
  std::shared_ptr<const RequestSpec> spec;
  std::optional<Time> deadline;
  uint64_t resume_from = 0;
  std::string resume_text;
  std::vector<ServerId> avoid;  // Servers that recently failed this request.
};
// Cancel the attempt, or don't start it if it hasn't started.
struct CancelAttempt {
  AttemptKey key;
};
struct DeliverEvents {
  FollowerId follower;
  RequestId id;
  uint64_t first_index = 0;
  std::vector<std::string> events;
};
// The follower has received the complete answer, or the request failed.
struct FollowerEnded {
  FollowerId follower;
  RequestId id;
  RequestEnd end;
};
// The caller must continue at instance `to` from event `next`.
struct FollowerMoved {
  FollowerId follower;
  RequestId id;
  uint64_t next = 0;
  InstanceId to;
};
// The result of a Follow in mode kSnapshot or kCancel.
struct SnapshotReady {
  FollowerId follower;
  RequestId id;
  absl::StatusOr<RequestView> view;
};

using RequestAction =
    std::variant<SendRequestMessage, RequestAccepted, RequestRefused,
                 DispatchAttempt, CancelAttempt, DeliverEvents, FollowerEnded,
                 FollowerMoved, SnapshotReady>;

// How an attempt at a backend server ended.
struct AttemptOutcome {
  absl::Status status;
  std::string finish_reason;  // If the status is OK.
  // Number of events of the complete answer, if the server reported it.
  std::optional<uint64_t> total_events;
  bool retryable = true;  // Whether another server may succeed.
};

struct RequestCounts {
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t ended = 0;
  uint64_t failed = 0;
  uint64_t adopted_on_loss = 0;
  uint64_t adopted_on_handover = 0;
  uint64_t stepped_down = 0;  // Superseded by a home with higher ownership.
  uint64_t replicas_replaced = 0;
  uint64_t attempts = 0;
  uint64_t stalls = 0;
  uint64_t stale_attempt_events = 0;
  SequencerCounts events;
};

struct RequestGauges {
  size_t homes = 0;
  size_t homes_running = 0;
  size_t replicas = 0;
  size_t relays = 0;  // Followers here of answers that other instances hold.
  int64_t bytes = 0;  // Held and reserved.
};

// State machine of all requests of one instance. It does no I/O: the caller
// reports events and performs the actions that TakeActions() returns. All times
// are on this instance's monotonic clock.
//
// Invariants: a request is accepted only while a second instance holds it
// (unless its profile requires no replica); ownership never decreases; no two
// attempts have the same name; a follower gets each event once and in order.
class RequestTable {
 public:
  RequestTable(RequestTableOptions options, uint64_t seed);
  ~RequestTable();
  RequestTable(RequestTable&&) noexcept;
  RequestTable& operator=(RequestTable&&) noexcept;

  // Sets all known other entry instances of this region. An instance that is
  // missing from `peers` counts as down.
  void SetPeers(Time now, std::span<const PeerView> peers);

  // Starts to accept a request and returns its id. Errors (kMemoryFull,
  // kNoReplica, kDraining) mean that nothing is held and have `ran:"no"`.
  // Otherwise the action RequestAccepted or RequestRefused follows; the id must
  // not be sent to the caller before RequestAccepted.
  absl::StatusOr<RequestId> Accept(Time now, RequestSpec spec);

  // Starts a follower that reads an answer from event `from` on, from whichever
  // instance holds it. The follower ends with kUnknownRequest if no reachable
  // instance holds the request, and with kRequestGone if the request has ended
  // and its answer was removed.
  FollowerId Follow(Time now, const RequestId& id, uint64_t from,
                    FollowMode mode);
  // Removes a follower whose reader disconnected. If the profile's
  // on_disconnect is kCancel, removing the last follower cancels the request.
  void Unfollow(Time now, FollowerId follower);
  // Cancels a request on whichever instance holds it. SnapshotReady reports the
  // outcome.
  FollowerId Cancel(Time now, const RequestId& id);

  void OnMessage(Time now, const InstanceId& from,
                 const RequestMessage& message);

  // Reports that the attempt left the local queue and is sent to `server`.
  void OnAttemptStarted(Time now, const AttemptKey& key,
                        const ServerId& server);
  void OnTokens(Time now, const AttemptKey& key, uint64_t first_index,
                std::span<const std::string> tokens);
  void OnAttemptEnded(Time now, const AttemptKey& key,
                      const AttemptOutcome& outcome);
  // Resumes at once, on other servers, all attempts that run on a lost server,
  // such as one that was removed from the list of servers.
  void OnServerLost(Time now, const ServerId& server);
  // Resumes one attempt on another server, as a reclaim plan may require.
  void ResumeElsewhere(Time now, const AttemptKey& key);

  // Stops accepting requests. With `handover`, every request moves to another
  // instance at once; otherwise running requests end here first and only ended
  // ones move. May be called again with `handover` to move the remaining ones
  // at once.
  void Drain(Time now, bool handover);
  // Returns whether draining is complete: no request is held or relayed here.
  bool CanExit() const;
  bool draining() const;

  void Tick(Time now);
  // Returns the time at which Tick must be called next, if any.
  std::optional<Time> next_due() const;
  std::vector<RequestAction> TakeActions();

  // Returns the state of a request that is held here as home or replica.
  std::optional<RequestView> Query(const RequestId& id) const;
  // Returns the server that runs the attempt, or nullopt if the attempt isn't
  // the current, started one of a request held here.
  std::optional<ServerId> ServerOf(const AttemptKey& key) const;
  // Returns the attempts that run on `server` for requests held here.
  std::vector<AttemptKey> AttemptsOn(const ServerId& server) const;

  const RequestCounts& counts() const;
  RequestGauges gauges() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_REQUESTS_H_
