#include "parts/member_table.h"

#include <algorithm>

#include "parts/rings.h"

namespace oleander::parts {
namespace {

bool IsLive(const MemberEntry& entry) { return entry.member.reachable(); }

uint32_t EntryDigest(const MemberEntry& entry) {
  if (!IsLive(entry)) {
    return 0;
  }
  return MemberDigest(entry.member.info.id, entry.member.incarnation,
                      entry.member.leaving);
}

bool IsAliveClaim(MemberClaim claim) {
  return claim == MemberClaim::kAlive || claim == MemberClaim::kLeaving;
}

MemberClaim DistrustedClaim(MemberClaim claim) {
  return IsAliveClaim(claim) ? claim : MemberClaim::kDoubt;
}

}  // namespace

uint32_t MemberDigest(const InstanceId& id, uint64_t incarnation,
                      bool leaving) {
  return static_cast<uint32_t>(
      StableHash(id.value(), incarnation * 2 + (leaving ? 1 : 0)));
}

ClaimOutcome MemberTable::Apply(const MemberUpdate& claim, bool trusted,
                                Time now, const ClaimDeadlines& times) {
  const auto found = entries_.find(claim.id);
  if (found == entries_.end()) {
    return Add(claim, now);
  }
  MemberEntry& entry = found->second;
  const uint32_t digest_before = EntryDigest(entry);
  const bool was_live = IsLive(entry);
  const bool had_deadline = entry.deadline != Time::max();
  ClaimOutcome outcome;
  switch (trusted ? claim.claim : DistrustedClaim(claim.claim)) {
    case MemberClaim::kAlive:
    case MemberClaim::kLeaving:
      outcome = ApplyAlive(entry, claim);
      break;
    case MemberClaim::kSuspect:
      outcome = ApplySuspicion(entry, claim, times);
      break;
    case MemberClaim::kDead:
      outcome = ApplyDeath(entry, claim, now);
      break;
    case MemberClaim::kDoubt:
      outcome = ApplyDoubt(entry, claim, times);
      break;
  }
  digest_ ^= digest_before ^ EntryDigest(entry);
  live_count_ += (IsLive(entry) ? 1 : 0) - (was_live ? 1 : 0);
  pending_deadlines_ +=
      (entry.deadline != Time::max() ? 1 : 0) - (had_deadline ? 1 : 0);
  return outcome;
}

void MemberTable::UpdateInfo(const InstanceInfo& info) {
  const auto found = entries_.find(info.id);
  if (found != entries_.end()) {
    found->second.member.info = info;
  }
}

void MemberTable::RemoveDeadBefore(Time bound) {
  std::erase_if(entries_, [&](const auto& item) {
    return !IsLive(item.second) && item.second.dead_since < bound;
  });
}

void MemberTable::PostponeDeadlines(Duration pause) {
  for (auto& [id, entry] : entries_) {
    if (entry.deadline != Time::max()) {
      entry.deadline += pause;
    }
  }
}

const MemberEntry* MemberTable::Find(const InstanceId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<InstanceId> MemberTable::Expired(Time now) const {
  std::vector<InstanceId> expired;
  if (pending_deadlines_ == 0) {
    return expired;
  }
  for (const auto& [id, entry] : entries_) {
    if (entry.deadline <= now) {
      expired.push_back(id);
    }
  }
  return expired;
}

Time MemberTable::next_deadline() const {
  Time next = Time::max();
  if (pending_deadlines_ == 0) {
    return next;
  }
  for (const auto& [id, entry] : entries_) {
    next = std::min(next, entry.deadline);
  }
  return next;
}

MemberUpdate MemberTable::ClaimOf(const MemberEntry& entry, bool with_info) {
  MemberUpdate claim = {.id = entry.member.info.id,
                        .claim = MemberClaim::kAlive,
                        .incarnation = entry.member.incarnation,
                        .info = std::nullopt};
  if (entry.member.state == MemberState::kDead) {
    claim.claim = MemberClaim::kDead;
  } else if (entry.member.state == MemberState::kSuspect) {
    claim.claim = MemberClaim::kSuspect;
  } else if (entry.doubted) {
    claim.claim = MemberClaim::kDoubt;
  } else if (entry.member.leaving) {
    claim.claim = MemberClaim::kLeaving;
  }
  if (with_info && claim.claim != MemberClaim::kDead) {
    claim.info = entry.member.info;
  }
  return claim;
}

// An unknown member is added by a claim that it is alive or leaving and that
// carries its address; other claims about it are ignored.
ClaimOutcome MemberTable::Add(const MemberUpdate& claim, Time now) {
  if (!IsAliveClaim(claim.claim) || !claim.info.has_value()) {
    return {};
  }
  MemberEntry entry;
  entry.member.info = *claim.info;
  entry.member.incarnation = claim.incarnation;
  entry.member.leaving = claim.claim == MemberClaim::kLeaving;
  entry.member.state =
      entry.member.leaving ? MemberState::kLeaving : MemberState::kAlive;
  entry.known_since = now;
  digest_ ^= EntryDigest(entry);
  ++live_count_;
  entries_.emplace(claim.id, std::move(entry));
  return {.result = ClaimResult::kChanged, .state_changed = true};
}

ClaimOutcome MemberTable::ApplyAlive(MemberEntry& entry,
                                     const MemberUpdate& claim) {
  Member& member = entry.member;
  const bool must_refute = entry.doubted ||
                           member.state == MemberState::kSuspect ||
                           member.state == MemberState::kDead;
  if (claim.incarnation < member.incarnation ||
      (claim.incarnation == member.incarnation && must_refute)) {
    return {.result = ClaimResult::kStale};
  }
  if (claim.incarnation == member.incarnation) {
    return {};
  }
  const MemberState before = member.state;
  const bool restarted = claim.incarnation - member.incarnation > kRestartGap;
  member.incarnation = claim.incarnation;
  member.leaving = claim.claim == MemberClaim::kLeaving;
  member.state = member.leaving ? MemberState::kLeaving : MemberState::kAlive;
  if (claim.info.has_value()) {
    member.info = *claim.info;
  }
  entry.doubted = false;
  entry.deadline = Time::max();
  return {.result = ClaimResult::kChanged,
          .state_changed = before != member.state || restarted,
          .restarted = restarted};
}

ClaimOutcome MemberTable::ApplySuspicion(MemberEntry& entry,
                                         const MemberUpdate& claim,
                                         const ClaimDeadlines& times) {
  Member& member = entry.member;
  if (claim.incarnation < member.incarnation) {
    return {.result = ClaimResult::kStale};
  }
  if (member.state == MemberState::kSuspect ||
      member.state == MemberState::kDead) {
    return {};
  }
  member.incarnation = claim.incarnation;
  member.state = MemberState::kSuspect;
  entry.deadline = std::min(entry.deadline, times.suspicion_ends);
  return {.result = ClaimResult::kChanged, .state_changed = true};
}

ClaimOutcome MemberTable::ApplyDeath(MemberEntry& entry,
                                     const MemberUpdate& claim, Time now) {
  Member& member = entry.member;
  if (claim.incarnation < member.incarnation) {
    return {.result = ClaimResult::kStale};
  }
  member.incarnation = claim.incarnation;
  if (member.state == MemberState::kDead) {
    return {};
  }
  member.state = MemberState::kDead;
  entry.doubted = false;
  entry.deadline = Time::max();
  entry.dead_since = now;
  return {.result = ClaimResult::kChanged, .state_changed = true};
}

ClaimOutcome MemberTable::ApplyDoubt(MemberEntry& entry,
                                     const MemberUpdate& claim,
                                     const ClaimDeadlines& times) {
  Member& member = entry.member;
  if (claim.incarnation < member.incarnation) {
    return {.result = ClaimResult::kStale};
  }
  const bool must_refute = entry.doubted ||
                           member.state == MemberState::kSuspect ||
                           member.state == MemberState::kDead;
  if (must_refute) {
    return {};
  }
  // A refutation needs a higher incarnation than the doubted one.
  entry.doubted = true;
  member.incarnation = claim.incarnation;
  entry.deadline = times.doubt_ends;
  return {.result = ClaimResult::kChanged};
}

}  // namespace oleander::parts
