// One request as this instance holds it, as home or as replica.
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

// A home's view of its replica.
struct ReplicaLink {
  InstanceId id;  // Empty while none is chosen.
  uint64_t number = 0;
  bool held = false;  // Whether it confirmed to hold the request.
  uint64_t sent = 0;
  uint64_t acked = 0;
  bool end_sent = false;
  bool end_acked = false;
  Time last_sent;
};

// A reader on this instance.
struct LocalFollower {
  FollowerId id{};
  uint64_t next = 0;
};

// A reader on another instance, which asks again every so often.
struct RemoteFollower {
  InstanceId instance;
  uint64_t follower = 0;
  uint64_t next = 0;
  uint64_t requested_from = 0;  // The `from` of its last ask.
  Time last_received;
  Time last_sent;
  bool reply_due = false;
};

// The attempt that runs for a home.
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
  std::optional<Time> drop_at;  // Once it has ended.
  int64_t counted_bytes = 0;    // What the table's total includes.
  std::optional<Time> due;      // Where the table's queue has it.

  // As home.
  ReplicaLink replica;
  std::optional<Time> hold_due;  // The chosen replica didn't answer by then.
  int hold_attempts = 0;
  // May hold a copy that isn't the replica's: released again and again until
  // they confirm, since a copy left behind could take over on its own.
  std::set<InstanceId> possible_holders;
  std::optional<Time> release_due;
  std::set<InstanceId> excluded;  // Not to be chosen in this round.
  uint64_t visible = 0;           // Events that followers may have.
  Time visible_moved;
  EventSequencer sequencer;
  RunningAttempt attempt;
  bool ever_started = false;
  int attempts_without_progress = 0;
  Backoff backoff;
  std::optional<Time> dispatch_at;
  std::vector<ServerId> avoid;
  std::optional<Time> promote_due;  // While handing over.
  uint64_t adopted_events =
      0;  // Events it had when this instance became the home.
  // Another instance with a higher ownership; this one only serves its own
  // followers to the end.
  std::optional<InstanceId> superseded_by;
  std::vector<LocalFollower> local_followers;
  std::vector<RemoteFollower> remote_followers;
  bool had_follower = false;

  // As replica.
  std::optional<Time> check_at;

  uint64_t size() const { return events.size(); }
  bool ended() const { return end.has_value(); }
  AttemptKey attempt_key() const {
    return {.id = id, .epoch = ownership.epoch, .attempt = attempt.number};
  }
};

// Appends the part of `events` that the record lacks. Returns false where
// events between are missing.
bool AppendEvents(HeldRequest& request, uint64_t first_index,
                  const std::vector<std::string>& events);
// The events from `first` up to but not including `last`.
std::vector<std::string> EventsBetween(const HeldRequest& request,
                                       uint64_t first, uint64_t last);
std::string JoinEvents(const std::vector<std::string>& events);

// The state as a reader sees it who may have `visible` events: a request whose
// answer isn't wholly visible still runs for that reader.
RequestState StateOf(const HeldRequest& request, uint64_t visible);
RequestView ViewOf(const HeldRequest& request, uint64_t visible);
// Bytes held and reserved for the request.
int64_t BytesOf(const HeldRequest& request, const RequestLimits& limits);
int64_t ReservedBytes(const RequestSpec& spec, const RequestLimits& limits);

// The error for a reader whose next event lies beyond the end of the answer.
absl::Status BeyondEndError(const RequestId& id, uint64_t next, uint64_t total);

// When the running attempt counts as stalled unless an event comes.
std::optional<Time> StallDue(const HeldRequest& request);

// When the record has to be looked at next.
std::optional<Time> NextDue(const HeldRequest& request,
                            const RequestTiming& timing);

}  // namespace oleander

#endif  // OLEANDER_PARTS_REQUEST_RECORD_H_
