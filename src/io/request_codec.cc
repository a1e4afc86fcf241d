#include "io/request_codec.h"

#include <fmt/format.h>

#include <limits>
#include <memory>
#include <utility>

#include "oleander/result_code.h"

namespace oleander::io {
namespace {

absl::Status BadFrame(std::string_view field) {
  return MakeError(
      ResultCode::kMeshBadFrame,
      fmt::format("Request message: {} is missing or out of range.", field));
}

// Checks the fields of a frame and records the first error.
class FrameChecks {
 public:
  template <typename Enum>
  Enum EnumUpTo(uint32_t value, Enum last, std::string_view field) {
    Require(value <= static_cast<uint32_t>(last), field);
    return static_cast<Enum>(value);
  }
  Duration NotNegative(int64_t micros, std::string_view field) {
    Require(micros >= 0, field);
    return Duration(micros);
  }
  void Require(bool holds, std::string_view field) {
    if (!holds && status_.ok()) {
      status_ = BadFrame(field);
    }
  }
  const absl::Status& status() const { return status_; }

 private:
  absl::Status status_;
};

template <typename Frame>
void EncodeEvents(const std::vector<std::string>& events, Frame& frame) {
  for (const std::string& event : events) {
    frame.add_events(event);
  }
}

template <typename Frame>
std::vector<std::string> DecodeEvents(const Frame& frame) {
  return {frame.events().begin(), frame.events().end()};
}

void EncodeStatus(const absl::Status& status, mesh::RequestStatus& frame) {
  if (status.ok()) {
    return;
  }
  const ErrorDetails details = DetailsOf(status);
  frame.set_code(static_cast<uint32_t>(details.code));
  frame.set_ran(static_cast<uint32_t>(details.ran));
  frame.set_message(std::string(status.message()));
}

absl::Status DecodeStatus(const mesh::RequestStatus& frame,
                          FrameChecks& checks) {
  if (frame.code() == 0) {
    return absl::OkStatus();
  }
  const auto code = static_cast<ResultCode>(frame.code());
  checks.Require(InfoOf(code).code == code, "status.code");
  const Ran ran = checks.EnumUpTo(frame.ran(), Ran::kUnknown, "status.ran");
  return MakeError({.code = code, .ran = ran, .retry_after = std::nullopt},
                   frame.message());
}

void EncodeEnd(const RequestEnd& end, mesh::RequestEnd& frame) {
  EncodeStatus(end.status, *frame.mutable_status());
  frame.set_finish_reason(end.finish_reason);
}

template <typename Frame>
std::optional<RequestEnd> DecodeEnd(const Frame& frame, FrameChecks& checks) {
  if (!frame.has_end()) {
    return std::nullopt;
  }
  return RequestEnd{.status = DecodeStatus(frame.end().status(), checks),
                    .finish_reason = frame.end().finish_reason()};
}

void EncodeSpec(const RequestSpec& spec, mesh::RequestSpec& frame) {
  frame.set_service(spec.service.value());
  frame.set_profile(spec.profile.value());
  frame.set_workspace(spec.workspace.value());
  frame.set_priority(static_cast<uint32_t>(spec.priority));
  frame.set_body(spec.body);
  frame.set_respond_async(spec.respond_async);
  frame.set_stream(spec.stream);
  frame.set_max_tokens(spec.max_tokens);
  frame.set_deadline_us(spec.deadline.count());
  frame.set_stall_bound_us(spec.stall_bound.count());
  frame.set_first_event_bound_us(spec.first_event_bound.count());
  frame.set_replica_rule(static_cast<uint32_t>(spec.replica));
  frame.set_on_disconnect(static_cast<uint32_t>(spec.on_disconnect));
  frame.set_answer_kept_us(spec.answer_retention.count());
  frame.set_max_requests(spec.max_requests);
  frame.set_max_bytes(spec.max_bytes);
}

std::shared_ptr<const RequestSpec> DecodeSpec(const mesh::RequestSpec& frame,
                                              FrameChecks& checks) {
  auto spec = std::make_shared<RequestSpec>();
  checks.Require(!frame.service().empty(), "spec.service");
  spec->service = ServiceId(frame.service());
  spec->profile = ProfileName(frame.profile());
  spec->workspace = WorkspaceId(frame.workspace());
  spec->priority =
      checks.EnumUpTo(frame.priority(), Priority::kBatch, "spec.priority");
  spec->body = frame.body();
  spec->respond_async = frame.respond_async();
  spec->stream = frame.stream();
  checks.Require(frame.max_tokens() >= 0, "spec.max_tokens");
  spec->max_tokens = frame.max_tokens();
  spec->deadline = checks.NotNegative(frame.deadline_us(), "spec.deadline_us");
  spec->stall_bound =
      checks.NotNegative(frame.stall_bound_us(), "spec.stall_bound_us");
  spec->first_event_bound = checks.NotNegative(frame.first_event_bound_us(),
                                               "spec.first_event_bound_us");
  spec->replica = checks.EnumUpTo(frame.replica_rule(), ReplicaRule::kNone,
                                  "spec.replica_rule");
  spec->on_disconnect = checks.EnumUpTo(
      frame.on_disconnect(), OnDisconnect::kFinish, "spec.on_disconnect");
  spec->answer_retention =
      checks.NotNegative(frame.answer_kept_us(), "spec.answer_kept_us");
  checks.Require(frame.max_requests() >= 0, "spec.max_requests");
  spec->max_requests = frame.max_requests();
  checks.Require(frame.max_bytes() >= 0, "spec.max_bytes");
  spec->max_bytes = frame.max_bytes();
  return spec;
}

// One overload per kind of body, since the names of the frame's fields differ.
void EncodeBody(const HoldRequest& body, mesh::RequestMessage& frame) {
  mesh::HoldRequest& hold = *frame.mutable_hold();
  EncodeSpec(*body.spec, *hold.mutable_spec());
  hold.set_remaining_us(body.remaining.count());
  hold.set_agreed(body.adopted_events);
  EncodeEvents(body.events, hold);
  if (body.end.has_value()) {
    EncodeEnd(*body.end, *hold.mutable_end());
  }
}
void EncodeBody(const HoldReply& body, mesh::RequestMessage& frame) {
  EncodeStatus(body.status, *frame.mutable_hold_answer()->mutable_status());
  frame.mutable_hold_answer()->set_next(body.next);
  frame.mutable_hold_answer()->set_end_held(body.end_held);
}
template <typename Body, typename Frame>
void EncodeTail(const Body& body, Frame& frame) {
  frame.set_first_index(body.first_index);
  EncodeEvents(body.events, frame);
  if (body.end.has_value()) {
    EncodeEnd(*body.end, *frame.mutable_end());
  }
}
void EncodeBody(const Progress& body, mesh::RequestMessage& frame) {
  EncodeTail(body, *frame.mutable_progress());
}
void EncodeBody(const ProgressReply& body, mesh::RequestMessage& frame) {
  frame.mutable_progress_answer()->set_next(body.next);
  frame.mutable_progress_answer()->set_end_held(body.end_held);
}
void EncodeBody(const Promote& body, mesh::RequestMessage& frame) {
  EncodeTail(body, *frame.mutable_promote());
}
void EncodeBody(const Adopted& body, mesh::RequestMessage& frame) {
  frame.mutable_adopted()->set_agreed(body.adopted_events);
}
void EncodeBody(const Release& /*body*/, mesh::RequestMessage& frame) {
  frame.mutable_release();
}
void EncodeBody(const NotHeld& /*body*/, mesh::RequestMessage& frame) {
  frame.mutable_not_held();
}
void EncodeBody(const ReplicaLeaving& /*body*/, mesh::RequestMessage& frame) {
  frame.mutable_replica_leaving();
}
void EncodeBody(const FollowRequest& body, mesh::RequestMessage& frame) {
  frame.mutable_follow()->set_follower(body.follower);
  frame.mutable_follow()->set_from(body.from);
  frame.mutable_follow()->set_mode(static_cast<uint32_t>(body.mode));
}
void EncodeBody(const FollowEvents& body, mesh::RequestMessage& frame) {
  mesh::FollowEvents& events = *frame.mutable_follow_events();
  events.set_follower(body.follower);
  EncodeTail(body, events);
  events.set_state(static_cast<uint32_t>(body.state));
}
void EncodeBody(const FollowRedirect& body, mesh::RequestMessage& frame) {
  mesh::FollowElsewhere& redirect = *frame.mutable_follow_elsewhere();
  redirect.set_follower(body.follower);
  redirect.set_holder(body.holder.value());
  redirect.set_gone(body.removed);
}
void EncodeBody(const StopFollowing& body, mesh::RequestMessage& frame) {
  frame.mutable_stop_following()->set_follower(body.follower);
}

void EncodeBody(const Beacon& /*body*/, mesh::RequestMessage& frame) {
  frame.mutable_beacon();
}
void EncodeBody(const BeaconReply& /*body*/, mesh::RequestMessage& frame) {
  frame.mutable_beacon_answer();
}

template <typename Body, typename Frame>
Body DecodeTail(const Frame& frame, FrameChecks& checks) {
  constexpr uint64_t kMaxIndex = std::numeric_limits<int64_t>::max();
  checks.Require(frame.first_index() <= kMaxIndex, "first_index");
  Body body;
  body.first_index = frame.first_index();
  body.events = DecodeEvents(frame);
  body.end = DecodeEnd(frame, checks);
  return body;
}

RequestMessageBody DecodeBody(const mesh::RequestMessage& frame,
                              FrameChecks& checks) {
  switch (frame.body_case()) {
    case mesh::RequestMessage::kHold:
      return HoldRequest{.spec = DecodeSpec(frame.hold().spec(), checks),
                         .remaining = checks.NotNegative(
                             frame.hold().remaining_us(), "hold.remaining_us"),
                         .events = DecodeEvents(frame.hold()),
                         .end = DecodeEnd(frame.hold(), checks),
                         .adopted_events = frame.hold().agreed()};
    case mesh::RequestMessage::kHoldAnswer:
      return HoldReply{
          .status = DecodeStatus(frame.hold_answer().status(), checks),
          .next = frame.hold_answer().next(),
          .end_held = frame.hold_answer().end_held()};
    case mesh::RequestMessage::kProgress:
      return DecodeTail<Progress>(frame.progress(), checks);
    case mesh::RequestMessage::kProgressAnswer:
      return ProgressReply{.next = frame.progress_answer().next(),
                           .end_held = frame.progress_answer().end_held()};
    case mesh::RequestMessage::kPromote:
      return DecodeTail<Promote>(frame.promote(), checks);
    case mesh::RequestMessage::kAdopted:
      return Adopted{.adopted_events = frame.adopted().agreed()};
    case mesh::RequestMessage::kRelease:
      return Release{};
    case mesh::RequestMessage::kNotHeld:
      return NotHeld{};
    case mesh::RequestMessage::kReplicaLeaving:
      return ReplicaLeaving{};
    case mesh::RequestMessage::kFollow:
      return FollowRequest{
          .follower = frame.follow().follower(),
          .from = frame.follow().from(),
          .mode = checks.EnumUpTo(frame.follow().mode(), FollowMode::kCancel,
                                  "follow.mode")};
    case mesh::RequestMessage::kFollowEvents: {
      auto events = DecodeTail<FollowEvents>(frame.follow_events(), checks);
      events.follower = frame.follow_events().follower();
      events.state =
          checks.EnumUpTo(frame.follow_events().state(),
                          RequestState::kCancelled, "follow_events.state");
      return events;
    }
    case mesh::RequestMessage::kFollowElsewhere:
      return FollowRedirect{
          .follower = frame.follow_elsewhere().follower(),
          .holder = InstanceId(frame.follow_elsewhere().holder()),
          .removed = frame.follow_elsewhere().gone()};
    case mesh::RequestMessage::kStopFollowing:
      return StopFollowing{.follower = frame.stop_following().follower()};
    case mesh::RequestMessage::kBeacon:
      return Beacon{};
    case mesh::RequestMessage::kBeaconAnswer:
      return BeaconReply{};
    case mesh::RequestMessage::BODY_NOT_SET:
      break;
  }
  checks.Require(false, "body");
  return NotHeld{};
}

}  // namespace

mesh::RequestMessage EncodeRequestMessage(const RequestMessage& message) {
  mesh::RequestMessage frame;
  frame.set_id(message.id.value());
  frame.mutable_ownership()->set_epoch(message.ownership.epoch);
  frame.mutable_ownership()->set_home(message.ownership.home.value());
  frame.set_link(message.replica_number);
  frame.set_run(message.run_id);
  std::visit([&](const auto& body) { EncodeBody(body, frame); }, message.body);
  return frame;
}

absl::StatusOr<RequestMessage> DecodeRequestMessage(
    const mesh::RequestMessage& frame) {
  FrameChecks checks;
  checks.Require(
      !frame.id().empty() || frame.has_beacon() || frame.has_beacon_answer(),
      "id");
  RequestMessage message{
      .id = RequestId(frame.id()),
      .ownership = {.epoch = frame.ownership().epoch(),
                    .home = InstanceId(frame.ownership().home())},
      .replica_number = frame.link(),
      .run_id = frame.run(),
      .body = DecodeBody(frame, checks)};
  if (!checks.status().ok()) {
    return checks.status();
  }
  return message;
}

}  // namespace oleander::io
