// Readers of an answer, on this instance and on others.
#include <fmt/format.h>

#include <algorithm>

#include "oleander/result_code.h"
#include "parts/requests_impl.h"

namespace oleander {
namespace {

// A repeated ask within this time of the last events doesn't mean that they
// were lost.
constexpr Duration kInFlight = std::chrono::milliseconds(100);

absl::Status GoneError(const RequestId& id) {
  return MakeError(
      ResultCode::kRequestGone,
      fmt::format("Request {} ended and its answer is kept no longer.",
                  id.value()));
}

}  // namespace

absl::Status AheadError(const RequestId& id, uint64_t next, uint64_t total) {
  return MakeError(
      ResultCode::kAnswerGap,
      fmt::format("The reader wants event {} of request {}, which has {}.",
                  next, id.value(), total));
}

FollowerId RequestTable::Impl::NewFollower() {
  return static_cast<FollowerId>(++last_follower_);
}

FollowerId RequestTable::Impl::Follow(Time now, const RequestId& id,
                                      uint64_t from, FollowMode mode) {
  const FollowerId follower = NewFollower();
  HeldRequest* request = Find(id);
  InstanceId hint;
  if (request != nullptr && request->role == RequestRole::kHome &&
      !request->deposed_by.has_value()) {
    if (mode == FollowMode::kStream) {
      FollowHere(*request, follower, from);
    } else {
      if (mode == FollowMode::kCancel) {
        CancelHere(now, *request);
        AdvanceVisible(now, *request);
      }
      Answer(follower, *request, request->visible);
    }
    Settle(now, *request);
    return follower;
  }
  if (request != nullptr) {
    if (request->role == RequestRole::kReplica && request->ended()) {
      FollowEndedCopy(*request, follower, from, mode);
      return follower;
    }
    hint = request->deposed_by.value_or(request->ownership.home);
  } else if (const auto known = remembered_.find(id);
             known != remembered_.end()) {
    if (known->second.gone) {
      FailFollower(id, follower, mode, GoneError(id));
      return follower;
    }
    hint = known->second.moved_to;
  }
  if (relays_.full()) {
    FailFollower(id, follower, mode,
                 MakeError(ResultCode::kMemoryFull,
                           "The instance follows too many answers."));
    return follower;
  }
  relays_.Start(now, follower, id, from, mode, hint);
  return follower;
}

void RequestTable::Impl::Unfollow(Time now, FollowerId follower) {
  const auto found = followed_here_.find(follower);
  if (found == followed_here_.end()) {
    relays_.Stop(follower);
    return;
  }
  HeldRequest* request = Find(found->second);
  followed_here_.erase(found);
  if (request == nullptr) {
    return;
  }
  std::erase_if(request->local_followers,
                [&](const LocalFollower& f) { return f.id == follower; });
  OnFollowersGone(now, *request);
  Settle(now, *request);
}

void RequestTable::Impl::FollowHere(HeldRequest& request, FollowerId follower,
                                    uint64_t from) {
  request.local_followers.push_back({.id = follower, .next = from});
  request.had_follower = true;
  followed_here_[follower] = request.id;
}

void RequestTable::Impl::Answer(FollowerId follower, const HeldRequest& request,
                                uint64_t visible) {
  actions_.push_back(SnapshotReady{.follower = follower,
                                   .id = request.id,
                                   .view = ViewOf(request, visible)});
}

void RequestTable::Impl::FollowEndedCopy(const HeldRequest& request,
                                         FollowerId follower, uint64_t from,
                                         FollowMode mode) {
  if (mode != FollowMode::kStream) {
    Answer(follower, request, request.size());
    return;
  }
  if (from < request.size()) {
    actions_.push_back(
        DeliverEvents{.follower = follower,
                      .id = request.id,
                      .first_index = from,
                      .events = EventsBetween(request, from, request.size())});
  }
  EndFollower(request, follower, std::max(from, request.size()));
}

void RequestTable::Impl::EndFollower(const HeldRequest& request,
                                     FollowerId follower, uint64_t next) {
  if (next > request.size()) {
    FailFollower(request.id, follower, FollowMode::kStream,
                 AheadError(request.id, next, request.size()));
    return;
  }
  actions_.push_back(FollowerEnded{
      .follower = follower, .id = request.id, .end = *request.end});
}

void RequestTable::Impl::FailFollower(const RequestId& id, FollowerId follower,
                                      FollowMode mode,
                                      const absl::Status& status) {
  if (mode == FollowMode::kStream) {
    actions_.push_back(
        FollowerEnded{.follower = follower,
                      .id = id,
                      .end = {.status = status, .finish_reason = {}}});
  } else {
    actions_.push_back(
        SnapshotReady{.follower = follower, .id = id, .view = status});
  }
}

void RequestTable::Impl::AdvanceVisible(Time now, HeldRequest& request) {
  if (request.phase == RequestPhase::kAccepting) {
    return;
  }
  const bool alone = request.deposed_by.has_value() ||
                     (request.spec->replica == ReplicaRule::kNone &&
                      request.replica.id.empty());
  const bool lagging =
      !request.promote_due.has_value() &&
      now >= request.visible_moved + options_.timing.replica_lag_bound;
  const uint64_t held = request.unanswered.empty() ? request.replica.acked : 0;
  const uint64_t visible =
      alone || lagging ? request.size() : std::max(request.visible, held);
  if (visible != request.visible) {
    request.visible = visible;
    request.visible_moved = now;
  }
}

void RequestTable::Impl::FlushLocal(HeldRequest& request) {
  const bool complete = request.ended() && request.visible == request.size() &&
                        request.phase != RequestPhase::kAccepting;
  for (LocalFollower& follower : request.local_followers) {
    if (follower.next < request.visible) {
      actions_.push_back(DeliverEvents{
          .follower = follower.id,
          .id = request.id,
          .first_index = follower.next,
          .events = EventsBetween(request, follower.next, request.visible)});
      follower.next = request.visible;
    }
    if (complete) {
      EndFollower(request, follower.id, follower.next);
      followed_here_.erase(follower.id);
    }
  }
  if (complete) {
    request.local_followers.clear();
  }
}

void RequestTable::Impl::FlushRemote(Time now, HeldRequest& request) {
  const bool complete = request.ended() && request.visible == request.size();
  std::erase_if(request.remote_followers, [&](RemoteFollower& follower) {
    const uint64_t last = std::min(
        request.visible, follower.asked + options_.timing.follow_window);
    const bool ends = complete && last == request.size();
    if (follower.next >= last && !ends && !follower.answer_due) {
      return false;
    }
    const uint64_t first = std::min(follower.next, last);
    FollowEvents events{.follower = follower.follower,
                        .first_index = first,
                        .events = EventsBetween(request, first, last),
                        .state = StateOf(request, last),
                        .end = ends ? request.end : std::nullopt};
    follower.next = std::max(follower.next, last);
    follower.answer_due = false;
    follower.last_sent = now;
    Send(follower.instance, request, std::move(events));
    return ends;
  });
}

bool RequestTable::Impl::ServesFollowers(const HeldRequest& request) const {
  return !request.local_followers.empty() || !request.remote_followers.empty();
}

void RequestTable::Impl::DropSilentFollowers(Time now, HeldRequest& request) {
  const size_t dropped = std::erase_if(
      request.remote_followers, [&](const RemoteFollower& follower) {
        return follower.last_heard + options_.timing.follow_silence <= now;
      });
  if (dropped > 0) {
    OnFollowersGone(now, request);
  }
}

void RequestTable::Impl::OnFollowersGone(Time now, HeldRequest& request) {
  const bool cancel = request.had_follower && !ServesFollowers(request) &&
                      request.spec->on_disconnect == OnDisconnect::kCancel &&
                      !request.spec->respond_async &&
                      !request.deposed_by.has_value();
  if (cancel) {
    CancelHere(now, request);
  }
}

void RequestTable::Impl::MoveFollowers(HeldRequest& request,
                                       const InstanceId& to) {
  for (const LocalFollower& follower : request.local_followers) {
    followed_here_.erase(follower.id);
    if (to.empty()) {
      FailFollower(request.id, follower.id, FollowMode::kStream,
                   GoneError(request.id));
    } else {
      actions_.push_back(FollowerMoved{.follower = follower.id,
                                       .id = request.id,
                                       .next = follower.next,
                                       .to = to});
    }
  }
  for (const RemoteFollower& follower : request.remote_followers) {
    Send(follower.instance, request,
         FollowElsewhere{
             .follower = follower.follower, .holder = to, .gone = to.empty()});
  }
  request.local_followers.clear();
  request.remote_followers.clear();
}

void RequestTable::Impl::TakeRelayFollowers(Time now, HeldRequest& request) {
  for (const auto& [follower, mode] : relays_.Take(request.id)) {
    if (mode == FollowMode::kStream) {
      FollowHere(request, follower.id, follower.next);
      continue;
    }
    if (mode == FollowMode::kCancel) {
      CancelHere(now, request);
    }
    Answer(follower.id, request, request.visible);
  }
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const FollowRequest& follow) {
  HeldRequest* request = Find(message.id);
  FollowElsewhere elsewhere{
      .follower = follow.follower, .holder = {}, .gone = false};
  if (request != nullptr && request->phase != RequestPhase::kAccepting) {
    const bool answers =
        request->role == RequestRole::kHome || request->ended();
    if (answers && !request->deposed_by.has_value()) {
      FollowFromAfar(now, from, *request, follow);
      return;
    }
    elsewhere.holder = request->deposed_by.value_or(request->ownership.home);
  } else if (const auto known = remembered_.find(message.id);
             known != remembered_.end()) {
    elsewhere.gone = known->second.gone;
    elsewhere.holder = known->second.moved_to;
  }
  SendAbout(from, message.id, {}, 0, elsewhere);
}

void RequestTable::Impl::FollowFromAfar(Time now, const InstanceId& from,
                                        HeldRequest& request,
                                        const FollowRequest& follow) {
  const bool home = request.role == RequestRole::kHome;
  if (follow.mode == FollowMode::kCancel && home) {
    CancelHere(now, request);
    AdvanceVisible(now, request);
  }
  const uint64_t visible = home ? request.visible : request.size();
  if (follow.mode != FollowMode::kStream || !home) {
    const uint64_t first =
        follow.mode == FollowMode::kStream ? std::min(follow.from, visible) : 0;
    const bool whole = visible == request.size();
    Send(from, request,
         FollowEvents{.follower = follow.follower,
                      .first_index = first,
                      .events = EventsBetween(request, first, visible),
                      .state = StateOf(request, visible),
                      .end = whole ? request.end : std::nullopt});
    Settle(now, request);
    return;
  }
  const auto known = std::ranges::find_if(
      request.remote_followers, [&](const RemoteFollower& follower) {
        return follower.instance == from &&
               follower.follower == follow.follower;
      });
  if (known == request.remote_followers.end()) {
    request.remote_followers.push_back({.instance = from,
                                        .follower = follow.follower,
                                        .next = follow.from,
                                        .asked = follow.from,
                                        .last_heard = now,
                                        .last_sent = now,
                                        .answer_due = true});
    request.had_follower = true;
  } else {
    known->last_heard = now;
    known->asked = follow.from;
    known->answer_due = true;
    if (follow.from < known->next && now - known->last_sent >= kInFlight) {
      known->next = follow.from;
    }
  }
  Settle(now, request);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const FollowEvents& events) {
  relays_.OnEvents(now, from, message.id, events);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const FollowElsewhere& elsewhere) {
  relays_.OnElsewhere(now, from, message.id, elsewhere);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const StopFollowing& stop) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr) {
    return;
  }
  const size_t dropped = std::erase_if(
      request->remote_followers, [&](const RemoteFollower& follower) {
        return follower.instance == from && follower.follower == stop.follower;
      });
  if (dropped > 0) {
    OnFollowersGone(now, *request);
    Settle(now, *request);
  }
}

}  // namespace oleander
