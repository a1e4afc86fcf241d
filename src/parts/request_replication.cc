// The home's side of replication: choosing a replica, keeping it up to date,
// handing over and stepping down.
#include <fmt/format.h>

#include <algorithm>

#include "oleander/invariant.h"
#include "oleander/result_code.h"
#include "parts/requests_impl.h"

namespace oleander {
namespace {

// Time between two searches for a replica while no instance can be one.
constexpr Duration kReplicaRetryInterval = std::chrono::seconds(1);

template <typename Container>
auto PickOne(const Container& candidates, std::mt19937_64& random) {
  std::uniform_int_distribution<size_t> index(0, candidates.size() - 1);
  return candidates[index(random)];
}

// Returns how many events at the start of this record the new home also has.
// Only the home of the next epoch continued from a copy of this record; nothing
// is known about later homes.
uint64_t CommonEvents(const HeldRequest& request, const RequestMessage& message,
                      uint64_t adopted_events) {
  const bool next_epoch =
      message.ownership.epoch == request.ownership.epoch + 1;
  return next_epoch ? adopted_events : 0;
}

}  // namespace

std::optional<InstanceId> RequestTable::Impl::ChooseReplica(
    const HeldRequest& request) {
  std::vector<InstanceId> other_domain;
  std::vector<InstanceId> same_domain;
  for (const auto& [id, peer] : peers_) {
    if (!IsUsable(id) || request.excluded.contains(id) ||
        peer.info.location.region != options_.self.location.region) {
      continue;
    }
    const bool same =
        peer.info.location.domain == options_.self.location.domain;
    (same ? same_domain : other_domain).push_back(id);
  }
  if (!other_domain.empty()) {
    return PickOne(other_domain, random_);
  }
  if (same_domain.empty() ||
      request.spec->replica == ReplicaRule::kOtherDomain) {
    return std::nullopt;
  }
  return PickOne(same_domain, random_);
}

void RequestTable::Impl::StartReplica(Time now, HeldRequest& request) {
  std::optional<InstanceId> replica = ChooseReplica(request);
  if (!replica.has_value() && !request.excluded.empty()) {
    request.excluded.clear();
    replica = ChooseReplica(request);
  }
  const uint64_t number = request.replica.number + 1;
  request.replica = {};
  request.replica.number = number;
  if (!replica.has_value()) {
    request.hold_due = now + kReplicaRetryInterval;
    return;
  }
  request.replica.id = *replica;
  SendHold(now, request);
}

void RequestTable::Impl::SendHold(Time now, HeldRequest& request) {
  ReplicaLink& link = request.replica;
  link.sent = request.size();
  link.end_sent = request.ended();
  link.last_sent = now;
  request.hold_due = now + options_.timing.hold_timeout;
  request.possible_holders.insert(link.id);
  const Duration remaining =
      request.deadline.has_value()
          ? std::max(Duration(1), *request.deadline - now)
          : Duration::zero();
  Send(link.id, request,
       HoldRequest{.spec = request.spec,
                   .remaining = remaining,
                   .events = request.events,
                   .end = request.end,
                   .adopted_events = request.adopted_events});
}

void RequestTable::Impl::OnReplicaLost(Time now, HeldRequest& request) {
  if (request.replica.held) {
    ++counts_.replicas_replaced;
    request.possible_holders.insert(request.replica.id);
  }
  request.promote_due.reset();
  TryNextReplica(now, request);
}

void RequestTable::Impl::TryNextReplica(Time now, HeldRequest& request) {
  if (request.phase == RequestPhase::kAccepting &&
      ++request.hold_attempts >= options_.timing.hold_attempts) {
    RefuseAccept(request);
    return;
  }
  if (!request.replica.id.empty()) {
    request.excluded.insert(request.replica.id);
  }
  StartReplica(now, request);
}

void RequestTable::Impl::OnHoldTimeout(Time now, HeldRequest& request) {
  request.hold_due.reset();
  TryNextReplica(now, request);
}

void RequestTable::Impl::OnReplicaConfirmed(Time now, HeldRequest& request,
                                            uint64_t next, bool end_held) {
  ReplicaLink& link = request.replica;
  link.held = true;
  link.acked = std::max(link.acked, std::min(next, request.size()));
  link.sent = std::max(link.sent, link.acked);
  link.end_acked = link.end_acked || (end_held && request.ended());
  link.end_sent = link.end_sent || link.end_acked;
  request.hold_due.reset();
  request.excluded.clear();
  request.possible_holders.erase(link.id);
  if (!request.possible_holders.empty() && !request.release_due.has_value()) {
    SendReleases(now, request);
  }
  if (request.phase == RequestPhase::kAccepting) {
    ++counts_.accepted;
    request.phase =
        request.ended() ? RequestPhase::kEnded : RequestPhase::kRunning;
    request.visible_moved = now;
    const auto peer = peers_.find(link.id);
    const bool other_domain =
        peer != peers_.end() &&
        peer->second.info.location.domain != options_.self.location.domain;
    actions_.push_back(RequestAccepted{
        .id = request.id, .replica = link.id, .other_domain = other_domain});
  }
}

void RequestTable::Impl::SendReleases(Time now, HeldRequest& request) {
  request.release_due.reset();
  std::erase_if(request.possible_holders, [this](const InstanceId& id) {
    const auto peer = peers_.find(id);
    return peer == peers_.end() || !peer->second.alive;
  });
  if (!request.replica.held || request.possible_holders.empty()) {
    return;
  }
  for (const InstanceId& old : request.possible_holders) {
    SendMessage(old, request.id, request.ownership, request.replica.number - 1,
                Release{});
  }
  request.release_due = now + options_.timing.resend_interval;
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const HoldReply& reply) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr || request->role != RequestRole::kHome ||
      request->ownership != message.ownership || request->replica.id != from ||
      request->replica.number != message.replica_number) {
    return;
  }
  if (reply.status.ok()) {
    OnReplicaConfirmed(now, *request, reply.next, reply.end_held);
  } else {
    request->possible_holders.erase(from);
    TryNextReplica(now, *request);
    if (Find(message.id) != request) {
      return;
    }
  }
  FinishUpdate(now, *request);
}

void RequestTable::Impl::SendProgressIfDue(Time now, HeldRequest& request) {
  ReplicaLink& link = request.replica;
  if (!link.held) {
    return;
  }
  const bool unacked =
      link.acked < link.sent || (link.end_sent && !link.end_acked);
  if (unacked && now >= link.last_sent + options_.timing.resend_interval) {
    link.sent = link.acked;
    link.end_sent = link.end_acked;
  }
  const bool unsent =
      link.sent < request.size() || (request.ended() && !link.end_sent);
  if (!unsent || now < link.last_sent + options_.timing.progress_interval) {
    return;
  }
  Send(link.id, request,
       Progress{.first_index = link.sent,
                .events = EventsBetween(request, link.sent, request.size()),
                .end = request.end});
  link.sent = request.size();
  link.end_sent = request.ended();
  link.last_sent = now;
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const ProgressReply& reply) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr) {
    ReplyForUnknownRequest(from, message);
    return;
  }
  if (message.ownership < request->ownership) {
    SendMessage(from, message.id, request->ownership, request->replica.number,
                Release{});
    return;
  }
  if (request->role != RequestRole::kHome ||
      message.ownership != request->ownership) {
    return;
  }
  if (from != request->replica.id) {
    SendMessage(from, message.id, request->ownership,
                request->replica.number - 1, Release{});
    return;
  }
  if (message.replica_number != request->replica.number) {
    return;
  }
  OnReplicaConfirmed(now, *request, reply.next, reply.end_held);
  FinishUpdate(now, *request);
}

void RequestTable::Impl::ReplyForUnknownRequest(const InstanceId& from,
                                                const RequestMessage& message) {
  const auto known = tombstones_.find(message.id);
  if (known == tombstones_.end()) {
    SendMessage(from, message.id, message.ownership, message.replica_number,
                NotHeld{});
    return;
  }
  const Tombstone& tombstone = known->second;
  SendMessage(
      from, message.id, std::max(tombstone.ownership, message.ownership),
      std::max(tombstone.replica_number, message.replica_number), Release{});
}

void RequestTable::Impl::ReleasePossibleHolders(HeldRequest& request) {
  for (const InstanceId& id : request.possible_holders) {
    Send(id, request, Release{});
  }
  request.possible_holders.clear();
}

void RequestTable::Impl::HandOverIfReady(Time now, HeldRequest& request) {
  const bool wanted = draining_ && (handover_ || request.ended()) &&
                      request.phase != RequestPhase::kAccepting &&
                      !request.superseded_by;
  if (!wanted) {
    return;
  }
  if (request.replica.id.empty() && !request.hold_due.has_value()) {
    StartReplica(now, request);
  }
  const bool ready =
      request.replica.held || options_.mutations.hand_over_without_ack;
  if (!ready || request.replica.id.empty() ||
      (request.promote_due.has_value() && now < *request.promote_due)) {
    return;
  }
  request.promote_due = now + options_.timing.resend_interval;
  Send(request.replica.id, request,
       Promote{.first_index = request.replica.acked,
               .events = EventsBetween(request, request.replica.acked,
                                       request.size()),
               .end = request.end});
  if (options_.mutations.hand_over_without_ack) {
    FinishHandover(request, request.replica.id);
  }
}

void RequestTable::Impl::FinishHandover(HeldRequest& request,
                                        const InstanceId& to) {
  StopAttempt(request);
  request.possible_holders.erase(to);
  ReleasePossibleHolders(request);
  MoveFollowers(request, to);
  Drop(request, {.ownership = request.ownership,
                 .replica_number = request.replica.number,
                 .moved_to = to,
                 .removed = false});
}

void RequestTable::Impl::StepDown(Time now, HeldRequest& request,
                                  const InstanceId& to,
                                  const Ownership& ownership,
                                  uint64_t common_events) {
  ++counts_.stepped_down;
  if (request.phase == RequestPhase::kAccepting) {
    ++counts_.accepted;
    actions_.push_back(RequestAccepted{
        .id = request.id, .replica = to, .other_domain = false});
    request.phase = RequestPhase::kRunning;
  }
  request.possible_holders.erase(to);
  if (request.replica.id != to && !request.replica.id.empty()) {
    request.possible_holders.insert(request.replica.id);
  }
  ReleasePossibleHolders(request);
  // Followers that received events which the new home doesn't have stay here,
  // since the new home may sample other events in their place.
  if (request.visible > common_events && HasFollowers(request)) {
    request.superseded_by = to;
    request.replica.id = {};
    request.replica.held = false;
    request.hold_due.reset();
    request.promote_due.reset();
    FinishUpdate(now, request);
    return;
  }
  StopAttempt(request);
  const std::vector<LocalFollower> local =
      std::exchange(request.local_followers, {});
  const RequestId id = request.id;
  MoveFollowers(request, to);
  Drop(request, {.ownership = ownership,
                 .replica_number = 0,
                 .moved_to = to,
                 .removed = false});
  for (const LocalFollower& follower : local) {
    local_follower_requests_.erase(follower.id);
    relays_.Start(now, follower.id, id, follower.next, FollowMode::kStream, to);
  }
}

void RequestTable::Impl::YieldTo(Time now, HeldRequest& request,
                                 const RequestMessage& message,
                                 uint64_t adopted_events) {
  if (request.promote_due.has_value()) {
    FinishHandover(request, message.ownership.home);
  } else if (!request.superseded_by.has_value()) {
    StepDown(now, request, message.ownership.home, message.ownership,
             CommonEvents(request, message, adopted_events));
  }
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const Adopted& adopted) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr || RejectIfStale(from, message, *request) ||
      message.ownership == request->ownership) {
    return;
  }
  if (request->role == RequestRole::kHome) {
    YieldTo(now, *request, message, adopted.adopted_events);
    return;
  }
  const uint64_t common_events =
      CommonEvents(*request, message, adopted.adopted_events);
  if (request->size() > common_events) {
    request->events.resize(common_events);
    request->event_bytes =
        static_cast<int64_t>(JoinEvents(request->events).size());
    request->end.reset();
    request->drop_at.reset();
    request->phase = RequestPhase::kRunning;
  }
  request->check_at = now + options_.timing.replica_check_interval;
  FinishUpdate(now, *request);
}

void RequestTable::Impl::On(Time now, const InstanceId& from,
                            const RequestMessage& message,
                            const ReplicaLeaving& /*leaving*/) {
  HeldRequest* request = Find(message.id);
  if (request == nullptr) {
    ReplyForUnknownRequest(from, message);
    return;
  }
  if (message.ownership < request->ownership) {
    SendMessage(from, message.id, request->ownership, request->replica.number,
                Release{});
    return;
  }
  if (request->role != RequestRole::kHome) {
    return;
  }
  if (request->replica.id == from &&
      request->replica.number == message.replica_number &&
      request->ownership == message.ownership) {
    OnReplicaLost(now, *request);
    if (Find(message.id) == request) {
      FinishUpdate(now, *request);
    }
    return;
  }
  // An earlier copy may be released only once the current replica has
  // confirmed.
  if (request->replica.held) {
    SendMessage(from, message.id, request->ownership,
                request->replica.number - 1, Release{});
  }
}

}  // namespace oleander
