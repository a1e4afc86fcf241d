// What entry instances say to each other about requests.
//
// Messages may be lost, doubled, late or out of order; every handler of
// RequestTable expects that. src/io/request_codec.h puts them on the wire.
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

// What a caller asked for and under which rules; it never changes once the
// request is accepted.
struct RequestSpec {
  ServiceId service;
  ProfileName profile;
  WorkspaceId workspace;
  Priority priority = Priority::kStandard;
  std::string body;  // The JSON text to send to an engine.
  bool respond_async = false;
  bool stream = true;
  int64_t max_tokens = 0;
  // From acceptance; zero means never.
  Duration deadline{};
  // Between two events, and from dispatch to the first one.
  Duration stall_bound = std::chrono::seconds(5);
  Duration first_event_bound = std::chrono::seconds(30);
  ReplicaRule replica = ReplicaRule::kPreferOtherDomain;
  OnDisconnect on_disconnect = OnDisconnect::kFinish;
  Duration answer_retention = std::chrono::minutes(10);
  // Of this profile on one instance; zero is no limit.
  int max_requests = 0;
  int64_t max_bytes = 0;
};

// Who answers for a request. A higher epoch wins; where two instances adopted
// at the same epoch, the higher instance id wins.
struct Ownership {
  uint64_t epoch = 0;
  InstanceId home;

  auto operator<=>(const Ownership&) const = default;
};

// How a request ended: OK with the engine's finish reason, or an error.
struct RequestEnd {
  absl::Status status;
  std::string finish_reason;
};

// From a home to the instance that is to be its replica: hold all of this.
struct HoldRequest {
  std::shared_ptr<const RequestSpec> spec;
  Duration remaining{};  // Of the deadline; zero where there is none.
  std::vector<std::string> events;
  std::optional<RequestEnd> end;
  // As in Adopted, which may come later than this.
  uint64_t adopted_events = 0;
};
// OK where the request is held now with every event below `next`, else why
// not.
struct HoldReply {
  absl::Status status;
  uint64_t next = 0;
  bool end_held = false;
};
// Events that the replica lacks.
struct Progress {
  uint64_t first_index = 0;
  std::vector<std::string> events;
  std::optional<RequestEnd> end;
};
// The replica holds every event below `next`. Also sent now and then without
// cause, so that a copy whose Release was lost is found.
struct ProgressReply {
  uint64_t next = 0;
  bool end_held = false;
};
// From a home that is leaving: become the home. Carries what the replica
// lacks.
struct Promote {
  uint64_t first_index = 0;
  std::vector<std::string> events;
  std::optional<RequestEnd> end;
};
// The message's ownership is in force: that home went on from event `agreed`.
// Sent by the new home, and by its replica to a home that is out of date.
struct Adopted {
  uint64_t adopted_events = 0;
};
// Drop the copy.
struct Release {};
// The sender knows nothing of the request.
struct NotHeld {};
// The replica is leaving: choose another.
struct ReplicaLeaving {};

enum class FollowMode { kStream, kSnapshot, kCancel };
enum class RequestState { kQueued, kRunning, kDone, kFailed, kCancelled };

// Asks for events from index `from` on. Repeated while the follower lives: it
// is acknowledgement, heartbeat and cure of losses in one.
struct FollowRequest {
  uint64_t follower = 0;  // The asker's name for the follower.
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
// The sender doesn't answer for the request. `holder` is who may; `gone` tells
// that it ended and is kept no longer.
struct FollowRedirect {
  uint64_t follower = 0;
  InstanceId holder;
  bool removed = false;
};
struct StopFollowing {
  uint64_t follower = 0;
};

// Sent now and then to every instance that shares a request with the sender;
// the answer shows whether that is still the same process.
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
  // Which of the home's replicas in turn this is about; tells a late answer or
  // Release from the present one.
  uint64_t replica_number = 0;
  // Differs between two runs of the sender's process: one that was restarted
  // holds nothing any more.
  uint64_t run_id = 0;
  RequestMessageBody body;
};

}  // namespace oleander

#endif  // OLEANDER_REQUEST_MESSAGES_H_
