// Membership: handling of messages from other instances.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "oleander/invariant.h"
#include "parts/membership_impl.h"

namespace oleander {
namespace {

constexpr int kMismatchesBeforeSync = 2;
constexpr size_t kMaxReplyClaims = 16;
constexpr size_t kMaxRelayedProbes = 256;

bool IsAliveClaim(MemberClaim claim) {
  return claim == MemberClaim::kAlive || claim == MemberClaim::kLeaving;
}

bool IsPeriodic(MembershipKind kind) {
  return kind == MembershipKind::kHeartbeat;
}

}  // namespace

void Membership::Impl::OnMessage(const InstanceId& from,
                                 const MembershipMessage& message, Time now) {
  if (departed_ || from == self_.id || from.empty()) {
    return;
  }
  reply_claims_.clear();
  const parts::MemberEntry* known = table_.Find(from);
  const bool was_dead = known != nullptr && !known->member.reachable();
  const bool syncing = message.kind == MembershipKind::kSync ||
                       message.kind == MembershipKind::kSyncReply;
  const bool trusted = !was_dead && !syncing;
  if (const auto link = links_.find(from); link != links_.end()) {
    link->second.OnReceived(now, options_.heartbeat_grace);
  }
  ApplyHeader(from, message, trusted, now);
  ApplyUpdates(from, message, trusted, now);
  switch (message.kind) {
    case MembershipKind::kHeartbeat:
      CompareDigest(from, message, now);
      break;
    case MembershipKind::kAck:
      OnAck(from, message, now);
      CompareDigest(from, message, now);
      break;
    case MembershipKind::kPingRequest:
      OnPingRequest(from, message, now);
      break;
    case MembershipKind::kSync:
      OnSync(from, message);
      break;
    case MembershipKind::kPing:
    case MembershipKind::kUpdates:
    case MembershipKind::kSyncReply:
      break;
  }
  Reply(from, message, now);
}

// Every message is a claim that its sender is alive (or leaving) in the
// incarnation that the message states.
void Membership::Impl::ApplyHeader(const InstanceId& from,
                                   const MembershipMessage& message,
                                   bool trusted, Time now) {
  const parts::MemberEntry* before = table_.Find(from);
  const bool was_dead = before != nullptr && !before->member.reachable();
  MemberUpdate claim = {
      .id = from,
      .claim = message.leaving ? MemberClaim::kLeaving : MemberClaim::kAlive,
      .incarnation = message.incarnation,
      .info = std::nullopt};
  if (const auto listed = candidates_.find(from); listed != candidates_.end()) {
    claim.info = listed->second;
  }
  ApplyClaim(from, claim, trusted, now);
  const parts::MemberEntry* after = table_.Find(from);
  const bool returned = was_dead && after->member.reachable();
  if (returned) {
    // A partition has healed, or a paused instance has resumed: compare the
    // whole tables.
    next_sync_ = std::min(next_sync_, now);
    if (now >= next_sync_ && message.kind != MembershipKind::kSync) {
      next_sync_ = now + Jittered(options_.sync_interval, 0.5);
      MembershipMessage sync = Message(MembershipKind::kSync);
      sync.updates = AllClaims();
      ++counters_.syncs;
      Send(from, std::move(sync));
    }
  }
}

void Membership::Impl::ApplyUpdates(const InstanceId& from,
                                    const MembershipMessage& message,
                                    bool trusted, Time now) {
  for (const MemberUpdate& update : message.updates) {
    ApplyClaim(from, update, trusted, now);
  }
}

void Membership::Impl::ApplyClaim(const InstanceId& from, MemberUpdate claim,
                                  bool trusted, Time now) {
  if (claim.id == self_.id) {
    const bool outdated =
        claim.incarnation > incarnation_ ||
        (claim.incarnation == incarnation_ && !IsAliveClaim(claim.claim));
    if (outdated) {
      Refute(claim.incarnation, now);
      reply_claims_.push_back(SelfClaim(/*with_info=*/true));
    }
    return;
  }
  // A member's claim about its own death is always trusted.
  const bool departure = claim.id == from && claim.claim == MemberClaim::kDead;
  if (!claim.info.has_value()) {
    if (const auto listed = candidates_.find(claim.id);
        listed != candidates_.end()) {
      claim.info = listed->second;
    }
  }
  const parts::ClaimOutcome outcome =
      table_.Apply(claim, trusted || departure, now, DeadlinesFrom(now));
  if (outcome.result == parts::ClaimResult::kChanged) {
    ReportChange(claim.id, outcome, now);
    QueueForNeighbours(claim.id, from, now);
    return;
  }
  const bool correct_sender = outcome.result == parts::ClaimResult::kStale &&
                              reply_claims_.size() < kMaxReplyClaims;
  if (correct_sender) {
    MemberUpdate ours = parts::MemberTable::ClaimOf(*table_.Find(claim.id),
                                                    /*with_info=*/false);
    // The sender considers a member alive that is dead in this table. The two
    // instances may have been on different sides of a partition, so the member
    // gets the chance to refute.
    if (ours.claim == MemberClaim::kDead) {
      ours.claim = MemberClaim::kDoubt;
    }
    reply_claims_.push_back(std::move(ours));
  }
}

void Membership::Impl::Refute(uint64_t above, Time now) {
  const uint64_t before = incarnation_;
  incarnation_ = std::max(incarnation_, above) + 1;
  CheckInvariant(incarnation_ > before, "incarnation_monotone", [&] {
    return fmt::format("The incarnation of {} went from {} to {}.",
                       self_.id.value(), before, incarnation_);
  });
  ++counters_.refutations;
  QueueForNeighbours(self_.id, InstanceId(), now);
}

void Membership::Impl::OnAck(const InstanceId& from,
                             const MembershipMessage& message, Time now) {
  if (message.target.empty()) {
    const auto relay = relayed_probes_.find(message.sequence);
    if (relay == relayed_probes_.end() || relay->second.target != from) {
      return;
    }
    MembershipMessage ack = Message(MembershipKind::kAck);
    ack.sequence = relay->second.sequence;
    ack.target = from;
    if (const auto claim = ClaimAbout(from, now)) {
      ack.updates.push_back(*claim);
    }
    Send(relay->second.requester, std::move(ack));
    relayed_probes_.erase(relay);
    return;
  }
  const auto link = links_.find(message.target);
  if (link == links_.end()) {
    return;
  }
  // The target is alive, but nothing arrives from it over the connection
  // between it and this instance.
  const bool silent =
      now - link->second.last_received >= 2 * link->second.interval;
  const bool due = now - link->second.last_reset >= 2 * link->second.interval;
  if (silent && due) {
    link->second.last_reset = now;
    actions_.emplace_back(ResetConnection{.peer = message.target});
  }
  const parts::MemberEntry* target = table_.Find(message.target);
  const bool suspected =
      target != nullptr && target->member.state == MemberState::kSuspect;
  if (!suspected) {
    link->second.next_probe = Time::max();
    link->second.probe_round = 0;
    link->second.heartbeat_due = now + link->second.interval;
  }
}

void Membership::Impl::OnPingRequest(const InstanceId& from,
                                     const MembershipMessage& message,
                                     Time now) {
  if (message.target == self_.id ||
      relayed_probes_.size() >= kMaxRelayedProbes) {
    return;
  }
  const uint64_t sequence = ++sequence_;
  relayed_probes_[sequence] = {.requester = from,
                               .sequence = message.sequence,
                               .target = message.target,
                               .expires = now + 4 * options_.probe_timeout};
  SendPing(message.target, sequence);
}

// Replies with this instance's claim about itself and every claim that differs
// from the sender's or is about a live member that the sender does not know.
void Membership::Impl::OnSync(const InstanceId& from,
                              const MembershipMessage& message) {
  std::map<InstanceId, const MemberUpdate*> theirs;
  for (const MemberUpdate& update : message.updates) {
    theirs.emplace(update.id, &update);
  }
  MembershipMessage reply = Message(MembershipKind::kSyncReply);
  reply.updates.push_back(SelfClaim(/*with_info=*/true));
  for (const auto& [id, entry] : table_.entries()) {
    const auto their = theirs.find(id);
    const bool unknown = their == theirs.end();
    const bool skipped = id == from || (unknown && !entry.member.reachable());
    const MemberUpdate ours = parts::MemberTable::ClaimOf(entry, unknown);
    const bool same = !unknown && their->second->claim == ours.claim &&
                      their->second->incarnation == ours.incarnation;
    if (!skipped && !same) {
      reply.updates.push_back(ours);
    }
  }
  Send(from, std::move(reply));
}

void Membership::Impl::CompareDigest(const InstanceId& from,
                                     const MembershipMessage& message,
                                     Time now) {
  const auto link = links_.find(from);
  if (message.table_digest == digest()) {
    digest_mismatches_ = 0;
    if (link != links_.end()) {
      DropKnownClaims(link->second);
    }
    return;
  }
  ++digest_mismatches_;
  // Pending claims for the peer explain a difference; a difference that
  // persists without any requires a comparison of the whole tables.
  const bool link_drained =
      link == links_.end() || link->second.pending.empty();
  if (digest_mismatches_ < kMismatchesBeforeSync || !link_drained ||
      now < next_sync_) {
    return;
  }
  digest_mismatches_ = 0;
  next_sync_ = now + Jittered(options_.sync_interval, 0.5);
  MembershipMessage request = Message(MembershipKind::kSync);
  request.updates = AllClaims();
  ++counters_.syncs;
  Send(from, std::move(request));
}

// Drops the pending claims that a peer with an equal digest already knows. The
// digest does not cover suspicions and doubts, so claims about suspected and
// doubted members stay.
void Membership::Impl::DropKnownClaims(parts::GossipLink& link) {
  std::erase_if(link.pending, [&](const auto& item) {
    const parts::MemberEntry* entry = table_.Find(item.first);
    return entry == nullptr ||
           (entry->member.state != MemberState::kSuspect && !entry->doubted);
  });
}

void Membership::Impl::Reply(const InstanceId& from,
                             const MembershipMessage& message, Time now) {
  const bool ping = message.kind == MembershipKind::kPing;
  // A heartbeat from an instance that is not a neighbour here: the two views of
  // the membership differ. An ack keeps the sender from probing.
  const bool one_sided = IsPeriodic(message.kind) && !links_.contains(from);
  if (!ping && !one_sided && reply_claims_.empty()) {
    return;
  }
  MembershipMessage reply = Message(
      ping || one_sided ? MembershipKind::kAck : MembershipKind::kUpdates);
  reply.sequence = message.sequence;
  reply.updates = std::exchange(reply_claims_, {});
  if (const auto link = links_.find(from); link != links_.end()) {
    std::ranges::move(TakePendingClaims(link->second, now),
                      std::back_inserter(reply.updates));
  }
  Send(from, std::move(reply));
}

}  // namespace oleander
