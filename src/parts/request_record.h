// Record of one request that this instance holds as home or as replica.
#ifndef OLEANDER_PARTS_REQUEST_RECORD_H_
#define OLEANDER_PARTS_REQUEST_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oleander/requests.h"

namespace oleander {

enum class RequestRole { kHome, kReplica };
enum class RequestPhase { kAccepting, kRunning, kEnded };

// State of replication from a home to its replica.
struct ReplicaLink {
  InstanceId id;        // Empty while no replica is chosen.
  uint64_t number = 0;  // Counts the replicas chosen so far.
  bool held = false;    // The replica confirmed that it holds the request.
  uint64_t sent = 0;
  uint64_t acked = 0;
  bool end_sent = false;
  bool end_acked = false;
  Time last_sent;
};

// A reader of the answer on this instance.
struct LocalFollower {
  FollowerId id{};
  uint64_t next = 0;
};

// A reader on another instance, which repeats its FollowRequest at intervals.
struct RemoteFollower {
  InstanceId instance;
  uint64_t follower = 0;
  uint64_t next = 0;
  uint64_t requested_from = 0;  // The `from` of its last FollowRequest.
  Time last_received;
  Time last_sent;
  bool reply_due = false;
};

// The latest attempt of a home to run the request on a backend server.
struct RunningAttempt {
  uint32_t number = 0;
  bool active = false;
  bool started = false;
  bool any_event = false;
  ServerId server;
  Time last_progress;
};

struct HeldRequest {
  HeldRequest(RequestId request_id, std::shared_ptr<const RequestSpec> request,
              uint64_t seed, const RequestTableOptions& options);

  RequestId id;
  std::shared_ptr<const RequestSpec> spec;
  Ownership ownership;
  RequestRole role = RequestRole::kHome;
  RequestPhase phase = RequestPhase::kRunning;
  std::optional<Time> deadline;
  std::vector<std::string> events;
  int64_t event_bytes = 0;
  std::optional<RequestEnd> end;
  std::optional<Time> drop_at;  // Set once the request has ended.
  int64_t counted_bytes = 0;    // Included in the table's total.
  std::optional<Time> due;      // Key in the table's due_queue_.

  // Fields of a home. A replica uses `replica.number` for its own number.
  ReplicaLink replica;
  std::optional<Time> hold_due;  // Timeout of the chosen replica's HoldReply.
  int hold_attempts = 0;
  // Instances other than a confirmed replica that may hold a copy. Release is
  // repeated until each confirms, since a leftover copy could adopt the
  // request.
  std::set<InstanceId> possible_holders;
  std::optional<Time> release_due;
  // Replicas that failed since one last confirmed; they are chosen last.
  std::set<InstanceId> excluded;
  uint64_t visible = 0;  // Number of events that followers may receive.
  Time visible_moved;
  EventSequencer sequencer;
  RunningAttempt attempt;
  bool ever_started = false;
  // An attempt that ended may have run, here or on an earlier home.
  bool may_have_run = false;
  int attempts_without_progress = 0;
  Backoff backoff;
  std::optional<Time> dispatch_at;
  std::vector<ServerId> avoid;
  std::optional<Time> promote_due;  // Next Promote; set during a handover.
  // Number of events held when this instance became the home.
  uint64_t adopted_events = 0;
  // The instance with a higher ownership that replaced this home. This record
  // only serves its remaining followers to the end of the answer.
  std::optional<InstanceId> superseded_by;
  std::vector<LocalFollower> local_followers;
  std::vector<RemoteFollower> remote_followers;
  bool had_follower = false;

  // Field of a replica: when to send the home a status message.
  std::optional<Time> check_at;

  uint64_t size() const { return events.size(); }
  bool ended() const { return end.has_value(); }
  AttemptKey attempt_key() const {
    return {.id = id, .epoch = ownership.epoch, .attempt = attempt.number};
  }
};

// Appends the events that the record lacks. Returns false, and appends nothing,
// if there is a gap between the record and `first_index`.
bool AppendEvents(HeldRequest& request, uint64_t first_index,
                  const std::vector<std::string>& events);
// Returns the events in [first, last).
std::vector<std::string> EventsBetween(const HeldRequest& request,
                                       uint64_t first, uint64_t last);
std::string JoinEvents(const std::vector<std::string>& events);

// Returns the state that a reader sees who may receive `visible` events: as
// long as not all events are visible, the request counts as running.
RequestState StateOf(const HeldRequest& request, uint64_t visible);
RequestView ViewOf(const HeldRequest& request, uint64_t visible);
// Returns the bytes held and reserved for the request.
int64_t BytesOf(const HeldRequest& request, const RequestLimits& limits);
// Returns the bytes reserved when the request is accepted.
int64_t ReservedBytes(const RequestSpec& spec, const RequestLimits& limits);

// Returns the error for a reader whose next event lies beyond the end of the
// answer.
absl::Status BeyondEndError(const RequestId& id, uint64_t next, uint64_t total);

// Returns the time at which the running attempt counts as stalled if no event
// arrives, or nullopt if it has no bound.
std::optional<Time> StallDue(const HeldRequest& request);

// Returns the earliest time at which a timer of the record is due.
std::optional<Time> NextDue(const HeldRequest& request,
                            const RequestTiming& timing);

}  // namespace oleander

#endif  // OLEANDER_PARTS_REQUEST_RECORD_H_
