// What an instance knows about every other instance, and the rules by which
// claims about them replace each other.
#ifndef OLEANDER_PARTS_MEMBER_TABLE_H_
#define OLEANDER_PARTS_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "oleander/membership.h"
#include "oleander/types.h"

namespace oleander::parts {

struct MemberEntry {
  Member member;
  bool doubted = false;
  Time known_since;
  Time dead_since;
  // When a suspect or doubted member dies unless it refutes.
  Time deadline = Time::max();
};

// What became of a claim.
enum class ClaimResult {
  kUnchanged,  // Known already, or about someone unknown.
  kStale,      // This table knows better; tell who made the claim.
  kChanged,    // Taken over; tell the others.
};

struct ClaimOutcome {
  ClaimResult result = ClaimResult::kUnchanged;
  bool state_changed = false;  // As MemberChanged tells it.
  bool restarted = false;
};

// Deadlines that claims start.
struct ClaimDeadlines {
  Time suspicion_ends;
  Time doubt_ends;
};

class MemberTable {
 public:
  // Takes a claim about another member. An untrusted claim comes from the other
  // side of a healed partition: a death or suspicion in it becomes a doubt.
  ClaimOutcome Apply(const MemberUpdate& claim, bool trusted, Time now,
                     const ClaimDeadlines& times);
  // Where `id` is known, its address and ports follow the platform's list.
  void UpdateInfo(const InstanceInfo& info);
  // Drops members that have been dead since before `bound`.
  void RemoveDeadBefore(Time bound);
  // Moves all deadlines, after this process was paused.
  void PostponeDeadlines(Duration pause);

  const MemberEntry* Find(const InstanceId& id) const;
  const std::map<InstanceId, MemberEntry>& entries() const { return entries_; }
  // Suspect or doubted members whose time is up.
  std::vector<InstanceId> Expired(Time now) const;
  Time next_deadline() const;
  // The claim that this table would make about a member.
  static MemberUpdate ClaimOf(const MemberEntry& entry, bool with_info);
  // Over ids, incarnations and leaving flags of those not dead; without self.
  uint32_t digest() const { return digest_; }
  size_t live_count() const { return live_count_; }

 private:
  ClaimOutcome Add(const MemberUpdate& claim, Time now);
  ClaimOutcome ApplyAlive(MemberEntry& entry, const MemberUpdate& claim);
  ClaimOutcome ApplySuspicion(MemberEntry& entry, const MemberUpdate& claim,
                              const ClaimDeadlines& times);
  ClaimOutcome ApplyDeath(MemberEntry& entry, const MemberUpdate& claim,
                          Time now);
  ClaimOutcome ApplyDoubt(MemberEntry& entry, const MemberUpdate& claim,
                          const ClaimDeadlines& times);

  std::map<InstanceId, MemberEntry> entries_;
  uint32_t digest_ = 0;
  size_t live_count_ = 0;
  size_t pending_deadlines_ = 0;
};

// One member's part of a digest.
uint32_t MemberDigest(const InstanceId& id, uint64_t incarnation, bool leaving);

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_MEMBER_TABLE_H_
