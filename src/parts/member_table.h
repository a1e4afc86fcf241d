// An instance's table of all other members, and the rules by which claims about
// a member supersede each other.
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
  bool doubted = false;  // See MemberClaim::kDoubt.
  Time known_since;
  Time dead_since;
  // When a suspected or doubted member is declared dead unless it refutes.
  Time deadline = Time::max();
};

// The effect of a claim on the table.
enum class ClaimResult {
  kUnchanged,  // Already known, or about an unknown member.
  kStale,      // Superseded by the table's entry, which the sender should get.
  kChanged,    // The entry has changed; the claim should be passed on.
};

struct ClaimOutcome {
  ClaimResult result = ClaimResult::kUnchanged;
  bool state_changed = false;  // MemberChanged is to be reported.
  bool restarted = false;      // See MemberChanged::restarted.
};

// Deadlines for a member that a claim makes suspected or doubted.
struct ClaimDeadlines {
  Time suspicion_ends;
  Time doubt_ends;
};

class MemberTable {
 public:
  // Applies a claim about another member. An untrusted claim may come from the
  // other side of a healed partition: a death or suspicion in it is applied as
  // a doubt.
  ClaimOutcome Apply(const MemberUpdate& claim, bool trusted, Time now,
                     const ClaimDeadlines& times);
  // Replaces the info (location, address, ports) of a member if it is known.
  void UpdateInfo(const InstanceInfo& info);
  // Removes members that have been dead since before `bound`.
  void RemoveDeadBefore(Time bound);
  // Moves all deadlines by `pause`, the time for which this process was paused.
  void PostponeDeadlines(Duration pause);

  const MemberEntry* Find(const InstanceId& id) const;
  const std::map<InstanceId, MemberEntry>& entries() const { return entries_; }
  // Returns the suspected or doubted members whose deadline has passed.
  std::vector<InstanceId> Expired(Time now) const;
  // Returns the earliest deadline, or Time::max().
  Time next_deadline() const;
  // Returns the claim that the entry makes about its member.
  static MemberUpdate ClaimOf(const MemberEntry& entry, bool with_info);
  // Returns a digest of the ids, incarnations and leaving flags of all members
  // that are not dead; the local instance is not part of the table.
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

// Returns one member's digest; a table's digest is the XOR of its members'.
uint32_t MemberDigest(const InstanceId& id, uint64_t incarnation, bool leaving);

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_MEMBER_TABLE_H_
