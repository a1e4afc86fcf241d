// Every request that this instance answers for, holds a copy of, or follows.
//
// A request is accepted once it is held on two instances: its home, which
// dispatches it and collects the events, and a replica in another failure
// domain of the region, which takes over when the home leaves or is lost. Each
// change of home raises the request's epoch. Whoever knows the id can follow
// the answer from any event on, on any instance of the region.
//
//   RequestTable table({.self = self}, seed);
//   table.SetPeers(now, peers);
//   absl::StatusOr<RequestId> id = table.Accept(now, spec);
//   for (RequestAction& action : table.TakeActions()) {
//     std::visit(perform, action);  // The first one sends HoldRequest.
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

// Another entry instance, as membership sees it.
struct PeerView {
  InstanceInfo info;
  bool alive = true;  // False once it is suspected or down.
  bool leaving = false;
};

struct RequestLimits {
  size_t max_requests = 20'000;    // Homes and replicas together.
  int64_t max_bytes = 48LL << 20;  // Held and reserved bytes.
  int64_t reserved_bytes_per_token = 8;
  int64_t max_reserved_tokens = 16'384;  // Reserved ahead per request.
  size_t max_relays = 4'096;
  size_t max_tombstones = 16'384;  // Ended or handed over and dropped.
};

struct RequestTiming {
  // The least time between two Progress messages of one request. The first
  // event after a pause goes out at once.
  Duration progress_interval = std::chrono::milliseconds(10);
  // Events reach followers once the replica holds them, or after so long
  // without an answer from it.
  Duration replica_lag_bound = std::chrono::milliseconds(100);
  // How long one instance may take to answer a HoldRequest.
  Duration hold_timeout = std::chrono::milliseconds(150);
  int hold_attempts = 3;  // Before a request is refused.
  Duration resend_interval = std::chrono::milliseconds(200);
  // A replica that hears nothing for so long asks its home whether its copy is
  // still wanted.
  Duration replica_check_interval = std::chrono::seconds(30);
  // Instances that share requests make sure of each other so often.
  Duration beacon_interval = std::chrono::seconds(5);
  // A follower on another instance asks again every so often, and is dropped
  // when it was silent for so long.
  Duration follow_refresh = std::chrono::milliseconds(500);
  Duration follower_timeout = std::chrono::seconds(5);
  Duration locate_reply_timeout = std::chrono::milliseconds(200);
  Duration locate_timeout = std::chrono::seconds(10);
  double region_lookups_per_second = 20;  // Requests looked for in the region.
  uint64_t follow_window = 1'024;  // Events sent ahead of a follower's ask.
  int max_attempts_without_progress = 64;
  BackoffOptions backoff;
};

// Faults that tests switch on to show that they would be noticed.
struct RequestMutations {
  bool reuse_attempt_number = false;  // After adoption.
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

// A local reader of an answer, such as one caller's connection.
enum class FollowerId : uint64_t {};

// What GET /v1/requests/{id} tells.
struct RequestView {
  RequestState state = RequestState::kQueued;
  uint64_t events = 0;
  std::string text;
  std::optional<RequestEnd> end;
};

// Actions. The caller carries them out in order; none may call back into the
// table.
struct SendRequestMessage {
  InstanceId to;
  RequestMessage message;
};
// The id may go out now.
struct RequestAccepted {
  RequestId id;
  InstanceId replica;         // Empty under ReplicaRule::kNone.
  bool other_domain = false;  // Whether the replica is in another domain.
};
// The request wasn't accepted and is held nowhere that will run it. The
// status says `ran:"no"` only where no other instance may hold a copy.
struct RequestRefused {
  RequestId id;
  absl::Status status;
};
// Send this to a backend server. Report by OnAttemptStarted before the first
// byte leaves, then OnTokens and OnAttemptEnded. It comes together with the
// HoldRequest, before RequestAccepted, so that the second copy doesn't delay
// the first token by a round trip of its own. With resume_from > 0 the engine
// goes on after resume_text.
struct DispatchAttempt {
  AttemptKey key;
  std::shared_ptr<const RequestSpec> spec;
  std::optional<Time> deadline;
  uint64_t resume_from = 0;
  std::string resume_text;
  std::vector<ServerId> avoid;  // Servers that failed this request of late.
};
// Nothing more of the attempt is wanted; where it didn't start, it must not.
struct CancelAttempt {
  AttemptKey key;
};
struct DeliverEvents {
  FollowerId follower;
  RequestId id;
  uint64_t first_index = 0;
  std::vector<std::string> events;
};
// The whole answer was delivered, or the request failed.
struct FollowerEnded {
  FollowerId follower;
  RequestId id;
  RequestEnd end;
};
// The caller goes on at another instance from event `next`.
struct FollowerMoved {
  FollowerId follower;
  RequestId id;
  uint64_t next = 0;
  InstanceId to;
};
// The answer to FollowMode::kSnapshot and kCancel.
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
  std::string finish_reason;  // Where the status is OK.
  // Events of the whole answer by the server's count, where it gives one.
  std::optional<uint64_t> total_events;
  bool retryable = true;  // Whether another server may do better.
};

struct RequestCounts {
  uint64_t accepted = 0;
  uint64_t refused = 0;
  uint64_t ended = 0;
  uint64_t failed = 0;
  uint64_t adopted_on_loss = 0;
  uint64_t adopted_on_handover = 0;
  uint64_t stepped_down = 0;  // Found another home with a higher ownership.
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
  size_t relays = 0;
  int64_t bytes = 0;  // Held and reserved.
};

// The state machine. It does no I/O: events go in, TakeActions() gives what to
// do. Every time is on this instance's monotonic clock.
//
// Invariants: a request is accepted only while a second instance holds it
// (unless its profile asks for none); ownership never falls; an attempt's name
// is never used twice; a follower gets each event once and in order.
class RequestTable {
 public:
  RequestTable(RequestTableOptions options, uint64_t seed);
  ~RequestTable();
  RequestTable(RequestTable&&) noexcept;
  RequestTable& operator=(RequestTable&&) noexcept;

  // All other entry instances of this region that are known. One that is
  // missing counts as down.
  void SetPeers(Time now, std::span<const PeerView> peers);

  // Starts to accept a request. Errors (kMemoryFull, kNoReplica, kDraining)
  // come before anything is held and mean `ran:"no"`; else RequestAccepted or
  // RequestRefused follows. Only then the id may be told.
  absl::StatusOr<RequestId> Accept(Time now, RequestSpec spec);

  // Reads an answer from event `from` on, wherever it is held. Unknown ids end
  // with kUnknownRequest, ended and dropped ones with kRequestGone.
  FollowerId Follow(Time now, const RequestId& id, uint64_t from,
                    FollowMode mode);
  // The reader has gone. Where the profile says so, the last one cancels the
  // request.
  void Unfollow(Time now, FollowerId follower);
  // Cancels a request wherever it is held; SnapshotReady tells the outcome.
  FollowerId Cancel(Time now, const RequestId& id);

  void OnMessage(Time now, const InstanceId& from,
                 const RequestMessage& message);

  // The attempt left the local queue for `server`.
  void OnAttemptStarted(Time now, const AttemptKey& key,
                        const ServerId& server);
  void OnTokens(Time now, const AttemptKey& key, uint64_t first_index,
                std::span<const std::string> tokens);
  void OnAttemptEnded(Time now, const AttemptKey& key,
                      const AttemptOutcome& outcome);
  // Resumes at once elsewhere what runs on a server that is suspected, down or
  // out of time.
  void OnServerLost(Time now, const ServerId& server);
  // Resumes one attempt elsewhere, as a reclaim plan may ask.
  void ResumeElsewhere(Time now, const AttemptKey& key);

  // Takes no new requests from now on. With `handover` every request moves to
  // another instance at once; without, running ones end here first. Calling it
  // again with `handover` hurries what is left.
  void Drain(Time now, bool handover);
  // Whether nothing is held here that another instance lacks.
  bool CanExit() const;
  bool draining() const;

  void Tick(Time now);
  // When Tick is due next.
  std::optional<Time> next_due() const;
  std::vector<RequestAction> TakeActions();

  // The state of a request held here as home or replica.
  std::optional<RequestView> Query(const RequestId& id) const;
  // Where a running attempt of this home stands; nothing where it is not the
  // current one.
  std::optional<ServerId> ServerOf(const AttemptKey& key) const;
  // Attempts that run on `server` for requests of this home.
  std::vector<AttemptKey> AttemptsOn(const ServerId& server) const;

  const RequestCounts& counts() const;
  RequestGauges gauges() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_REQUESTS_H_
