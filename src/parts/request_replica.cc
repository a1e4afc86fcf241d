// The replica's side of the second copy: holding it, dropping it and taking
// over.
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
    return fmt::format("Request {} was adopted at epoch {} but had {} before.",
                       request.id.value(), request.ownership.epoch,
                       before.epoch);
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
  request.agreed = request.size();
  request.ever_started = true;
  Send(before.home, request, Adopted{.agreed = request.agreed});
  if (request.spec->replica != ReplicaRule::kNone) {
    StartReplica(now, request);
  }
  TakeRelayFollowers(now, request);
  if (!request.ended()) {
    Dispatch(now, request);
  }
  Settle(now, request);
}

bool RequestTable::Impl::IsStale(const InstanceId& from,
                                 const RequestMessage& message,
                                 const HeldRequest& request) {
  if (message.ownership >= request.ownership ||
      options_.mutations.skip_epoch_check) {
    return false;
  }
  // A replica answers for its home; it doesn't know what that one went on from.
  const bool home = request.role == RequestRole::kHome;
  Send(from, request, Adopted{.agreed = home ? request.agreed : 0});
  return true;
}

void RequestTable::Impl::AskHome(Time now, HeldRequest& request) {
  if (draining_) {
    request.check_at = now + options_.timing.resend;
    Send(request.ownership.home, request, ReplicaLeaving{});
    return;
  }
  request.check_at = now + options_.timing.replica_check;
  Send(request.ownership.home, request,
       ProgressAnswer{.next = request.size(), .end_held = request.ended()});
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const HoldRequest& hold) {
  HeldRequest* request = Find(message.id);
  if (request != nullptr) {
    if (IsStale(from, message, *request) ||
        (message.ownership == request->ownership &&
         (request->role == RequestRole::kHome ||
          message.link < request->replica.number))) {
      return;
    }
    if (request->role == RequestRole::kHome) {
      YieldTo(now, *request, message, hold.agreed);
      request = Find(message.id);
    }
    if (request != nullptr && request->role == RequestRole::kHome) {
      RefuseHold(from, message,
                 MakeError(ResultCode::kOverloaded,
                           "The instance still serves an older home."));
      return;
    }
  }
  if (request == nullptr) {
    const auto known = remembered_.find(message.id);
    const bool refused_before =
        known != remembered_.end() &&
        std::pair(message.ownership, message.link) <=
            std::pair(known->second.ownership, known->second.link);
    absl::Status reason = CheckRoom(*hold.spec);
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
  TakeHold(now, *request, message, hold);
}

// Remembers the refusal, so that a doubled message can't place a copy after
// the home was told that there is none.
void RequestTable::Impl::RefuseHold(const InstanceId& from,
                                    const RequestMessage& message,
                                    const absl::Status& reason) {
  SendAbout(from, message.id, message.ownership, message.link,
            HoldAnswer{.status = reason, .next = 0, .end_held = false});
  const auto known = remembered_.find(message.id);
  const bool newer = known == remembered_.end() ||
                     std::pair(message.ownership, message.link) >
                         std::pair(known->second.ownership, known->second.link);
  if (newer && Find(message.id) == nullptr) {
    Remember(message.id, {.ownership = message.ownership,
                          .link = message.link,
                          .moved_to = from,
                          .gone = false});
  }
}

void RequestTable::Impl::TakeHold(Time now, HeldRequest& request,
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
  request.replica.number = message.link;
  request.deadline = hold.remaining == Duration::zero()
                         ? std::nullopt
                         : std::optional(now + hold.remaining);
  TakeEnd(now, request, hold.end);
  request.check_at = now + options_.timing.replica_check;
  Send(request.ownership.home, request,
       HoldAnswer{.status = absl::OkStatus(),
                  .next = request.size(),
                  .end_held = request.ended()});
  Settle(now, request);
}

void RequestTable::Impl::TakeEnd(Time now, HeldRequest& request,
                                 const std::optional<RequestEnd>& end) {
  if (!end.has_value() || request.ended()) {
    return;
  }
  request.end = end;
  request.phase = RequestPhase::kEnded;
  request.drop_at = now + request.spec->answer_kept;
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const Progress& progress) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr) {
    SendAbout(from, message.id, message.ownership, message.link, NotHeld{});
    return;
  }
  if (IsStale(from, message, *request)) {
    return;
  }
  const bool mine = request->role == RequestRole::kReplica &&
                    message.link == request->replica.number;
  if (!mine && !options_.mutations.skip_epoch_check) {
    return;
  }
  if (AppendEvents(*request, progress.first_index, progress.events)) {
    TakeEnd(now, *request, progress.end);
  }
  request->check_at = now + options_.timing.replica_check;
  Send(from, *request,
       ProgressAnswer{.next = request->size(), .end_held = request->ended()});
  Settle(now, *request);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const Promote& promote) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr) {
    SendAbout(from, message.id, message.ownership, message.link, NotHeld{});
    return;
  }
  if (IsStale(from, message, *request) ||
      request->role != RequestRole::kReplica ||
      message.link != request->replica.number) {
    return;
  }
  if (draining_) {
    AskHome(now, *request);
    return;
  }
  if (!AppendEvents(*request, promote.first_index, promote.events)) {
    Send(from, *request,
         ProgressAnswer{.next = request->size(), .end_held = false});
    return;
  }
  TakeEnd(now, *request, promote.end);
  ++counts_.adopted_on_handover;
  Adopt(now, *request);
}

void RequestTable::Impl::On(Time /*now*/, const InstanceId& from,
                            const RequestMessage& message,
                            const Release& /*release*/) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr || request->role == RequestRole::kReplica) {
    SendAbout(from, message.id, message.ownership, message.link, NotHeld{});
  }
  const std::pair released(message.ownership, message.link);
  if (request == nullptr) {
    const auto known = remembered_.find(message.id);
    if (known == remembered_.end() ||
        std::pair(known->second.ownership, known->second.link) < released) {
      Remember(message.id, {.ownership = message.ownership,
                            .link = message.link,
                            .moved_to = message.ownership.home,
                            .gone = false});
    }
    return;
  }
  if (request->role != RequestRole::kReplica ||
      std::pair(request->ownership, request->replica.number) > released) {
    return;
  }
  Drop(*request, {.ownership = message.ownership,
                  .link = message.link,
                  .moved_to = message.ownership.home,
                  .gone = false});
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const NotHeld& /*not_held*/) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr || request->ownership != message.ownership) {
    return;
  }
  const bool released = request->role == RequestRole::kHome &&
                        message.link < request->replica.number &&
                        request->unanswered.erase(from) > 0;
  if (released) {
    Settle(now, *request);
    return;
  }
  if (request->replica.number != message.link) {
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
    LoseReplica(now, *request);
    if (Find(message.id) == request) {
      Settle(now, *request);
    }
  }
}

}  // namespace oleander
