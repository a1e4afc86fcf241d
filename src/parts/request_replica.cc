// The replica's side of replication: holding a copy, dropping it, and adopting
// the request.
#include <fmt/format.h>

#include <algorithm>

#include "oleander/invariant.h"
#include "oleander/result_code.h"
#include "parts/requests_impl.h"

namespace oleander {

void RequestTable::Impl::Adopt(Time now, HeldRequest& request) {
  const Ownership before = request.ownership;
  const uint64_t epoch =
      options_.mutations.reuse_attempt_number ? before.epoch : before.epoch + 1;
  request.ownership = {.epoch = epoch, .home = options_.self.id};
  CheckInvariant(request.ownership.epoch > before.epoch, "epoch_monotone", [&] {
    return fmt::format(
        "Request {} was adopted at epoch {}, but its epoch was {}.",
        request.id.value(), request.ownership.epoch, before.epoch);
  });
  request.role = RequestRole::kHome;
  request.phase =
      request.ended() ? RequestPhase::kEnded : RequestPhase::kRunning;
  request.check_at.reset();
  request.attempt = {};
  SequencerOptions sequencer;
  sequencer.mutation_skip_attempt_check = options_.mutations.skip_epoch_check;
  request.sequencer = EventSequencer(sequencer, request.size());
  request.visible = request.size();
  request.visible_moved = now;
  request.adopted_events = request.size();
  request.ever_started = true;
  request.may_have_run = true;
  Send(before.home, request, Adopted{.adopted_events = request.adopted_events});
  if (request.spec->replica != ReplicaRule::kNone) {
    StartReplica(now, request);
  }
  AttachRelayFollowers(now, request);
  if (!request.ended()) {
    Dispatch(now, request);
  }
  FinishUpdate(now, request);
}

bool RequestTable::Impl::RejectIfStale(const InstanceId& from,
                                       const RequestMessage& message,
                                       const HeldRequest& request) {
  if (message.ownership >= request.ownership ||
      options_.mutations.skip_epoch_check) {
    return false;
  }
  // A replica replies in place of its home; it doesn't know how many events the
  // home adopted.
  const bool home = request.role == RequestRole::kHome;
  Send(from, request,
       Adopted{.adopted_events = home ? request.adopted_events : 0});
  return true;
}

void RequestTable::Impl::SendReplicaStatus(Time now, HeldRequest& request) {
  if (draining_) {
    request.check_at = now + options_.timing.resend_interval;
    Send(request.ownership.home, request, ReplicaLeaving{});
    return;
  }
  request.check_at = now + options_.timing.replica_check_interval;
  Send(request.ownership.home, request,
       ProgressReply{.next = request.size(), .end_held = request.ended()});
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const HoldRequest& hold) {
  HeldRequest* request = Find(message.id);
  if (request != nullptr) {
    if (RejectIfStale(from, message, *request) ||
        (message.ownership == request->ownership &&
         (request->role == RequestRole::kHome ||
          message.replica_number < request->replica.number))) {
      return;
    }
    if (request->role == RequestRole::kHome) {
      YieldTo(now, *request, message, hold.adopted_events);
      request = Find(message.id);
    }
    if (request != nullptr && request->role == RequestRole::kHome) {
      RefuseHold(
          from, message,
          MakeError(ResultCode::kOverloaded,
                    "The instance still serves followers as an earlier home."));
      return;
    }
  }
  if (request == nullptr) {
    const auto known = tombstones_.find(message.id);
    const bool refused_before =
        known != tombstones_.end() &&
        std::pair(message.ownership, message.replica_number) <=
            std::pair(known->second.ownership, known->second.replica_number);
    absl::Status reason = CheckCapacity(*hold.spec);
    if (draining_) {
      reason = MakeError(ResultCode::kDraining, "The instance is leaving.");
    } else if (refused_before) {
      reason = MakeError(ResultCode::kRequestGone, "The copy was released.");
    }
    if (!reason.ok()) {
      RefuseHold(from, message, reason);
      return;
    }
    request = &AddRecord(message.id, hold.spec);
  }
  StoreCopy(now, *request, message, hold);
}

void RequestTable::Impl::RefuseHold(const InstanceId& from,
                                    const RequestMessage& message,
                                    const absl::Status& reason) {
  SendMessage(from, message.id, message.ownership, message.replica_number,
              HoldReply{.status = reason, .next = 0, .end_held = false});
  const auto known = tombstones_.find(message.id);
  const bool newer =
      known == tombstones_.end() ||
      std::pair(message.ownership, message.replica_number) >
          std::pair(known->second.ownership, known->second.replica_number);
  if (newer && Find(message.id) == nullptr) {
    AddTombstone(message.id, {.ownership = message.ownership,
                              .replica_number = message.replica_number,
                              .moved_to = from,
                              .removed = false});
  }
}

void RequestTable::Impl::StoreCopy(Time now, HeldRequest& request,
                                   const RequestMessage& message,
                                   const HoldRequest& hold) {
  const bool has_more = message.ownership == request.ownership &&
                        request.size() >= hold.events.size();
  if (!has_more) {
    request.events.clear();
    request.event_bytes = 0;
    AppendEvents(request, 0, hold.events);
    request.end.reset();
    request.drop_at.reset();
  }
  request.role = RequestRole::kReplica;
  request.phase = RequestPhase::kRunning;
  request.ownership = message.ownership;
  request.replica = {};
  request.replica.number = message.replica_number;
  request.deadline = hold.remaining == Duration::zero()
                         ? std::nullopt
                         : std::optional(now + hold.remaining);
  StoreEnd(now, request, hold.end);
  request.check_at = now + options_.timing.replica_check_interval;
  Send(request.ownership.home, request,
       HoldReply{.status = absl::OkStatus(),
                 .next = request.size(),
                 .end_held = request.ended()});
  FinishUpdate(now, request);
}

void RequestTable::Impl::StoreEnd(Time now, HeldRequest& request,
                                  const std::optional<RequestEnd>& end) {
  if (!end.has_value() || request.ended()) {
    return;
  }
  request.end = end;
  request.phase = RequestPhase::kEnded;
  request.drop_at = now + request.spec->answer_retention;
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const Progress& progress) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr) {
    SendMessage(from, message.id, message.ownership, message.replica_number,
                NotHeld{});
    return;
  }
  if (RejectIfStale(from, message, *request)) {
    return;
  }
  const bool is_current_replica =
      request->role == RequestRole::kReplica &&
      message.replica_number == request->replica.number;
  if (!is_current_replica && !options_.mutations.skip_epoch_check) {
    return;
  }
  if (AppendEvents(*request, progress.first_index, progress.events)) {
    StoreEnd(now, *request, progress.end);
  }
  request->check_at = now + options_.timing.replica_check_interval;
  Send(from, *request,
       ProgressReply{.next = request->size(), .end_held = request->ended()});
  FinishUpdate(now, *request);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const Promote& promote) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr) {
    SendMessage(from, message.id, message.ownership, message.replica_number,
                NotHeld{});
    return;
  }
  if (RejectIfStale(from, message, *request) ||
      request->role != RequestRole::kReplica ||
      message.replica_number != request->replica.number) {
    return;
  }
  if (draining_) {
    SendReplicaStatus(now, *request);
    return;
  }
  if (!AppendEvents(*request, promote.first_index, promote.events)) {
    Send(from, *request,
         ProgressReply{.next = request->size(), .end_held = false});
    return;
  }
  StoreEnd(now, *request, promote.end);
  ++counts_.adopted_on_handover;
  Adopt(now, *request);
}

void RequestTable::Impl::On(Time /*now*/, const InstanceId& from,
                            const RequestMessage& message,
                            const Release& /*release*/) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr || request->role == RequestRole::kReplica) {
    SendMessage(from, message.id, message.ownership, message.replica_number,
                NotHeld{});
  }
  const std::pair released(message.ownership, message.replica_number);
  if (request == nullptr) {
    const auto known = tombstones_.find(message.id);
    if (known == tombstones_.end() ||
        std::pair(known->second.ownership, known->second.replica_number) <
            released) {
      AddTombstone(message.id, {.ownership = message.ownership,
                                .replica_number = message.replica_number,
                                .moved_to = message.ownership.home,
                                .removed = false});
    }
    return;
  }
  if (request->role != RequestRole::kReplica ||
      std::pair(request->ownership, request->replica.number) > released) {
    return;
  }
  Drop(*request, {.ownership = message.ownership,
                  .replica_number = message.replica_number,
                  .moved_to = message.ownership.home,
                  .removed = false});
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const NotHeld& /*not_held*/) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr || request->ownership != message.ownership) {
    return;
  }
  const bool released = request->role == RequestRole::kHome &&
                        message.replica_number < request->replica.number &&
                        request->possible_holders.erase(from) > 0;
  if (released) {
    FinishUpdate(now, *request);
    return;
  }
  if (request->replica.number != message.replica_number) {
    return;
  }
  if (request->role == RequestRole::kReplica) {
    if (request->ownership.home == from) {
      ++counts_.adopted_on_loss;
      Adopt(now, *request);
    }
    return;
  }
  if (request->replica.id == from && request->replica.held) {
    OnReplicaLost(now, *request);
    if (Find(message.id) == request) {
      FinishUpdate(now, *request);
    }
  }
}

}  // namespace oleander
