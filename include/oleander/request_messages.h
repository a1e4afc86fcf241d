// Messages about requests between entry instances.
//
// Messages may be lost, duplicated, delayed or reordered; every handler of
// RequestTable tolerates that. src/io/request_codec.h encodes them as
// mesh::RequestMessage (proto/requests.proto), where some names differ.
#ifndef OLEANDER_REQUEST_MESSAGES_H_
#define OLEANDER_REQUEST_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "oleander/profile.h"
#include "oleander/types.h"

namespace oleander {

// A caller's request and the rules of its profile. It never changes once the
// request is accepted.
struct RequestSpec {
  ServiceId service;
  ProfileName profile;
  WorkspaceId workspace;
  Priority priority = Priority::kStandard;
  std::string body;  // The JSON text that is sent to an engine.
  bool respond_async = false;
  bool stream = true;
  int64_t max_tokens = 0;
  // Measured from acceptance; zero means no deadline.
  Duration deadline{};
  // An attempt has stalled if the time between two events, or from its start
  // to its first event, exceeds these bounds; zero means no bound.
  Duration stall_bound = std::chrono::seconds(5);
  Duration first_event_bound = std::chrono::seconds(30);
  ReplicaRule replica = ReplicaRule::kPreferOtherDomain;
  OnDisconnect on_disconnect = OnDisconnect::kFinish;
  // How long an ended request and its answer are retained.
  Duration answer_retention = std::chrono::minutes(10);
  // Limits on all requests of this profile that one instance holds; zero means
  // no limit.
  int max_requests = 0;
  int64_t max_bytes = 0;
};

// Identifies the home of a request. A higher epoch wins; if two instances
// adopted the request at the same epoch, the higher instance id wins.
struct Ownership {
  uint64_t epoch = 0;  // Number of the home: 1, and one more per adoption.
  InstanceId home;     // The request's primary, which dispatches it.

  auto operator<=>(const Ownership&) const = default;
};

// Outcome of a request: OK with the engine's finish reason, or an error.
struct RequestEnd {
  absl::Status status;
  std::string finish_reason;
};

// From a home to its chosen replica: hold this copy of the request.
struct HoldRequest {
  std::shared_ptr<const RequestSpec> spec;
  Duration remaining{};  // Until the deadline; zero if there is none.
  std::vector<std::string> events;
  std::optional<RequestEnd> end;
  // The same value as in Adopted, which may arrive after this message.
  uint64_t adopted_events = 0;
};
// OK if the sender now holds the request with every event below `next`;
// otherwise the reason for the refusal.
struct HoldReply {
  absl::Status status;
  uint64_t next = 0;
  bool end_held = false;
};
// From a home to its replica: events that the replica lacks.
struct Progress {
  uint64_t first_index = 0;
  std::vector<std::string> events;
  std::optional<RequestEnd> end;
};
// The replica holds every event below `next`. A replica also sends it when it
// has received nothing for a while, so that the home releases a copy whose
// Release was lost.
struct ProgressReply {
  uint64_t next = 0;
  bool end_held = false;
};
// From a home that is leaving to its replica: adopt the request. Carries the
// events that the replica lacks.
struct Promote {
  uint64_t first_index = 0;
  std::vector<std::string> events;
  std::optional<RequestEnd> end;
};
// The message's ownership is in force. Sent by a home that has adopted the
// request to the previous home, and by home or replica in reply to a message
// with a lower ownership.
struct Adopted {
  // Number of events that the home held when it adopted the request: copies of
  // the epoch before agree with the home only up to this event. A replica sends
  // zero, since it doesn't know the number.
  uint64_t adopted_events = 0;
};
// The receiver must drop its copy.
struct Release {};
// The sender doesn't hold, or has just dropped, the copy of the request that
// the message's ownership and replica_number identify.
struct NotHeld {};
// The replica is leaving: choose another.
struct ReplicaLeaving {};

enum class FollowMode { kStream, kSnapshot, kCancel };
enum class RequestState { kQueued, kRunning, kDone, kFailed, kCancelled };

// Requests events from index `from` on. The sender repeats it as long as the
// follower exists: it acknowledges the events below `from`, serves as the
// follower's heartbeat and makes the home resend lost events.
struct FollowRequest {
  uint64_t follower = 0;  // The sender's id of the follower.
  uint64_t from = 0;
  FollowMode mode = FollowMode::kStream;
};
struct FollowEvents {
  uint64_t follower = 0;
  uint64_t first_index = 0;
  std::vector<std::string> events;
  RequestState state = RequestState::kQueued;
  // Set once `events` reaches the end of the answer.
  std::optional<RequestEnd> end;
};
// The sender can't serve the follower.
struct FollowRedirect {
  uint64_t follower = 0;
  InstanceId holder;     // Probably holds the request; empty if unknown.
  bool removed = false;  // The request ended and its answer was removed.
};
struct StopFollowing {
  uint64_t follower = 0;
};

// Sent at intervals to every instance that shares a request with the sender.
// The run_id of the reply shows whether the process was restarted.
struct Beacon {};
struct BeaconReply {};

using RequestMessageBody =
    std::variant<HoldRequest, HoldReply, Progress, ProgressReply, Promote,
                 Adopted, Release, NotHeld, ReplicaLeaving, FollowRequest,
                 FollowEvents, FollowRedirect, StopFollowing, Beacon,
                 BeaconReply>;

struct RequestMessage {
  RequestId id;         // Empty in beacons.
  Ownership ownership;  // As the sender knows it.
  // Counts the replicas that the home has chosen, one after the other.
  // Separates a late reply or Release about an earlier replica from the current
  // one.
  uint64_t replica_number = 0;
  // Random id of the sender's process. A different id means that the process
  // was restarted and has lost the requests it held.
  uint64_t run_id = 0;
  RequestMessageBody body;
};

}  // namespace oleander

#endif  // OLEANDER_REQUEST_MESSAGES_H_
