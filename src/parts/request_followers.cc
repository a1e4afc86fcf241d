// Readers of an answer, on this instance and on others.
#include <fmt/format.h>

#include <algorithm>

#include "oleander/result_code.h"
#include "parts/requests_impl.h"

namespace oleander {
namespace {

// A FollowRequest for earlier events within this time of the last FollowEvents
// doesn't mean that these were lost; they may still be in flight.
constexpr Duration kResendHoldoff = std::chrono::milliseconds(100);

absl::Status AnswerRemovedError(const RequestId& id) {
  return MakeError(
      ResultCode::kRequestGone,
      fmt::format("Request {} ended and its answer was removed.", id.value()));
}

}  // namespace

absl::Status BeyondEndError(const RequestId& id, uint64_t next,
                            uint64_t total) {
  return MakeError(
      ResultCode::kAnswerGap,
      fmt::format(
          "The reader requested event {} of request {}, which has {} events.",
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
      !request->superseded_by.has_value()) {
    if (mode == FollowMode::kStream) {
      AddLocalFollower(*request, follower, from);
    } else {
      if (mode == FollowMode::kCancel) {
        CancelRequest(now, *request);
        AdvanceVisible(now, *request);
      }
      SendSnapshot(follower, *request, request->visible);
    }
    FinishUpdate(now, *request);
    return follower;
  }
  if (request != nullptr) {
    if (request->role == RequestRole::kReplica && request->ended()) {
      ServeFromEndedCopy(*request, follower, from, mode);
      return follower;
    }
    hint = request->superseded_by.value_or(request->ownership.home);
  } else if (const auto known = tombstones_.find(id);
             known != tombstones_.end()) {
    if (known->second.removed) {
      FailFollower(id, follower, mode, AnswerRemovedError(id));
      return follower;
    }
    hint = known->second.moved_to;
  }
  if (relays_.full()) {
    FailFollower(
        id, follower, mode,
        MakeError(ResultCode::kMemoryFull,
                  "The instance relays as many answers as its limit allows."));
    return follower;
  }
  relays_.Start(now, follower, id, from, mode, hint);
  return follower;
}

void RequestTable::Impl::Unfollow(Time now, FollowerId follower) {
  const auto found = local_follower_requests_.find(follower);
  if (found == local_follower_requests_.end()) {
    relays_.Stop(follower);
    return;
  }
  HeldRequest* request = Find(found->second);
  local_follower_requests_.erase(found);
  if (request == nullptr) {
    return;
  }
  std::erase_if(request->local_followers,
                [&](const LocalFollower& f) { return f.id == follower; });
  OnFollowersRemoved(now, *request);
  FinishUpdate(now, *request);
}

void RequestTable::Impl::AddLocalFollower(HeldRequest& request,
                                          FollowerId follower, uint64_t from) {
  request.local_followers.push_back({.id = follower, .next = from});
  request.had_follower = true;
  local_follower_requests_[follower] = request.id;
}

void RequestTable::Impl::SendSnapshot(FollowerId follower,
                                      const HeldRequest& request,
                                      uint64_t visible) {
  actions_.push_back(SnapshotReady{.follower = follower,
                                   .id = request.id,
                                   .view = ViewOf(request, visible)});
}

void RequestTable::Impl::ServeFromEndedCopy(const HeldRequest& request,
                                            FollowerId follower, uint64_t from,
                                            FollowMode mode) {
  if (mode != FollowMode::kStream) {
    SendSnapshot(follower, request, request.size());
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
                 BeyondEndError(request.id, next, request.size()));
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
  const bool no_replica = request.superseded_by.has_value() ||
                          (request.spec->replica == ReplicaRule::kNone &&
                           request.replica.id.empty());
  const bool lagging =
      !request.promote_due.has_value() &&
      now >= request.visible_moved + options_.timing.replica_lag_bound;
  const uint64_t held =
      request.possible_holders.empty() ? request.replica.acked : 0;
  const uint64_t visible =
      no_replica || lagging ? request.size() : std::max(request.visible, held);
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
      local_follower_requests_.erase(follower.id);
    }
  }
  if (complete) {
    request.local_followers.clear();
  }
}

void RequestTable::Impl::FlushRemote(Time now, HeldRequest& request) {
  const bool complete = request.ended() && request.visible == request.size();
  std::erase_if(request.remote_followers, [&](RemoteFollower& follower) {
    const uint64_t last =
        std::min(request.visible,
                 follower.requested_from + options_.timing.follow_window);
    const bool ends = complete && last == request.size();
    if (follower.next >= last && !ends && !follower.reply_due) {
      return false;
    }
    const uint64_t first = std::min(follower.next, last);
    FollowEvents events{.follower = follower.follower,
                        .first_index = first,
                        .events = EventsBetween(request, first, last),
                        .state = StateOf(request, last),
                        .end = ends ? request.end : std::nullopt};
    follower.next = std::max(follower.next, last);
    follower.reply_due = false;
    follower.last_sent = now;
    Send(follower.instance, request, std::move(events));
    return ends;
  });
}

bool RequestTable::Impl::HasFollowers(const HeldRequest& request) const {
  return !request.local_followers.empty() || !request.remote_followers.empty();
}

void RequestTable::Impl::DropTimedOutFollowers(Time now, HeldRequest& request) {
  const size_t dropped = std::erase_if(
      request.remote_followers, [&](const RemoteFollower& follower) {
        return follower.last_received + options_.timing.follower_timeout <= now;
      });
  if (dropped > 0) {
    OnFollowersRemoved(now, request);
  }
}

void RequestTable::Impl::OnFollowersRemoved(Time now, HeldRequest& request) {
  const bool cancel = request.had_follower && !HasFollowers(request) &&
                      request.spec->on_disconnect == OnDisconnect::kCancel &&
                      !request.spec->respond_async &&
                      !request.superseded_by.has_value();
  if (cancel) {
    CancelRequest(now, request);
  }
}

void RequestTable::Impl::MoveFollowers(HeldRequest& request,
                                       const InstanceId& to) {
  for (const LocalFollower& follower : request.local_followers) {
    local_follower_requests_.erase(follower.id);
    if (to.empty()) {
      FailFollower(request.id, follower.id, FollowMode::kStream,
                   AnswerRemovedError(request.id));
    } else {
      actions_.push_back(FollowerMoved{.follower = follower.id,
                                       .id = request.id,
                                       .next = follower.next,
                                       .to = to});
    }
  }
  for (const RemoteFollower& follower : request.remote_followers) {
    Send(follower.instance, request,
         FollowRedirect{.follower = follower.follower,
                        .holder = to,
                        .removed = to.empty()});
  }
  request.local_followers.clear();
  request.remote_followers.clear();
}

void RequestTable::Impl::AttachRelayFollowers(Time now, HeldRequest& request) {
  for (const auto& [follower, mode] : relays_.TakeFollowers(request.id)) {
    if (mode == FollowMode::kStream) {
      AddLocalFollower(request, follower.id, follower.next);
      continue;
    }
    if (mode == FollowMode::kCancel) {
      CancelRequest(now, request);
    }
    SendSnapshot(follower.id, request, request.visible);
  }
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const FollowRequest& follow) {
  HeldRequest* request = Find(message.id);
  FollowRedirect redirect{
      .follower = follow.follower, .holder = {}, .removed = false};
  if (request != nullptr && request->phase != RequestPhase::kAccepting) {
    const bool can_serve =
        request->role == RequestRole::kHome || request->ended();
    if (can_serve && !request->superseded_by.has_value()) {
      ServeRemoteFollower(now, from, *request, follow);
      return;
    }
    redirect.holder = request->superseded_by.value_or(request->ownership.home);
  } else if (const auto known = tombstones_.find(message.id);
             known != tombstones_.end()) {
    redirect.removed = known->second.removed;
    redirect.holder = known->second.moved_to;
  }
  SendMessage(from, message.id, {}, 0, redirect);
}

void RequestTable::Impl::ServeRemoteFollower(Time now, const InstanceId& from,
                                             HeldRequest& request,
                                             const FollowRequest& follow) {
  const bool home = request.role == RequestRole::kHome;
  if (follow.mode == FollowMode::kCancel && home) {
    CancelRequest(now, request);
    AdvanceVisible(now, request);
  }
  const uint64_t visible = home ? request.visible : request.size();
  if (follow.mode != FollowMode::kStream || !home) {
    const uint64_t first =
        follow.mode == FollowMode::kStream ? std::min(follow.from, visible) : 0;
    const bool complete = visible == request.size();
    Send(from, request,
         FollowEvents{.follower = follow.follower,
                      .first_index = first,
                      .events = EventsBetween(request, first, visible),
                      .state = StateOf(request, visible),
                      .end = complete ? request.end : std::nullopt});
    FinishUpdate(now, request);
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
                                        .requested_from = follow.from,
                                        .last_received = now,
                                        .last_sent = now,
                                        .reply_due = true});
    request.had_follower = true;
  } else {
    known->last_received = now;
    known->requested_from = follow.from;
    known->reply_due = true;
    if (follow.from < known->next && now - known->last_sent >= kResendHoldoff) {
      known->next = follow.from;
    }
  }
  FinishUpdate(now, request);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const FollowEvents& events) {
  relays_.OnEvents(now, from, message.id, events);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const FollowRedirect& redirect) {
  relays_.OnRedirect(now, from, message.id, redirect);
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
    OnFollowersRemoved(now, *request);
    FinishUpdate(now, *request);
  }
}

}  // namespace oleander
