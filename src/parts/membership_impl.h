// Implementation of Membership: timers, probes and message handling.
#ifndef OLEANDER_PARTS_MEMBERSHIP_IMPL_H_
#define OLEANDER_PARTS_MEMBERSHIP_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "absl/random/distributions.h"
#include "oleander/membership.h"
#include "oleander/types.h"
#include "parts/gossip_link.h"
#include "parts/member_table.h"

namespace oleander {

class Membership::Impl {
 public:
  Impl(InstanceInfo self, const MembershipOptions& options, uint64_t seed,
       Time now);

  void SetCandidates(const std::vector<InstanceInfo>& candidates, Time now);
  void OnMessage(const InstanceId& from, const MembershipMessage& message,
                 Time now);
  void Leave(Time now);
  void Depart(Time now);
  void Tick(Time now);
  Time next_due() const;
  std::vector<MembershipAction> TakeActions();

  const InstanceInfo& self() const { return self_; }
  const parts::MemberTable& table() const { return table_; }
  const std::map<InstanceId, parts::GossipLink>& links() const {
    return links_;
  }
  uint64_t incarnation() const { return incarnation_; }
  const MembershipCounters& counters() const { return counters_; }

 private:
  using Links = std::map<InstanceId, parts::GossipLink>;

  // A probe of `target` on behalf of `requester`, under the requester's
  // sequence.
  struct RelayedProbe {
    InstanceId requester;
    uint64_t sequence = 0;
    InstanceId target;
    Time expires;
  };

  // membership_messages.cc: incoming messages.
  void ApplyHeader(const InstanceId& from, const MembershipMessage& message,
                   bool trusted, Time now);
  void ApplyUpdates(const InstanceId& from, const MembershipMessage& message,
                    bool trusted, Time now);
  void ApplyClaim(const InstanceId& from, MemberUpdate claim, bool trusted,
                  Time now);
  void Refute(uint64_t above, Time now);
  void OnAck(const InstanceId& from, const MembershipMessage& message,
             Time now);
  void OnPingRequest(const InstanceId& from, const MembershipMessage& message,
                     Time now);
  void OnSync(const InstanceId& from, const MembershipMessage& message);
  void CompareDigest(const InstanceId& from, const MembershipMessage& message,
                     Time now);
  void DropKnownClaims(parts::GossipLink& link);
  void Reply(const InstanceId& from, const MembershipMessage& message,
             Time now);

  // membership_timers.cc: timers and outgoing messages.
  void CheckPause(Time now);
  void RebuildLinks(Time now);
  void AddLinks(std::vector<const InstanceId*> ids, uint64_t salt,
                Duration interval,
                std::map<InstanceId, Duration>& wanted) const;
  void SendHeartbeats(Time now);
  void ProbeSilentLinks(Time now);
  void ProbeRound(const InstanceId& target, parts::GossipLink& link, Time now);
  void ProbeIndirectly(const InstanceId& target);
  void ExpireDeadlines(Time now);
  void SendUpdates(Time now);
  void ProbeAbsentMember(Time now);
  void Join(Time now);
  void ScheduleRejoin(Time now);
  std::vector<InstanceId> AbsentMembers() const;
  std::vector<MemberUpdate> AllClaims() const;

  void QueueForNeighbours(const InstanceId& id, const InstanceId& except,
                          Time now);
  void ReportChange(const InstanceId& id, const parts::ClaimOutcome& outcome,
                    Time now);
  parts::ClaimDeadlines DeadlinesFrom(Time now) const;
  MemberUpdate SelfClaim(bool with_info) const;
  std::optional<MemberUpdate> ClaimAbout(const InstanceId& id, Time now) const;
  std::optional<MemberUpdate> RefutableClaim(const InstanceId& id) const;
  std::vector<MemberUpdate> TakePendingClaims(parts::GossipLink& link,
                                              Time now);
  MembershipMessage Message(MembershipKind kind) const;
  void Send(const InstanceId& to, MembershipMessage message);
  void SendPing(const InstanceId& to, uint64_t sequence);
  uint32_t digest() const;
  Duration Jittered(Duration duration, double fraction);

  InstanceInfo self_;
  MembershipOptions options_;
  std::mt19937_64 gen_;
  uint64_t incarnation_;
  bool leaving_ = false;
  bool departed_ = false;
  Time started_;
  parts::MemberTable table_;
  Links links_;
  std::map<InstanceId, InstanceInfo> candidates_;
  std::map<uint64_t, RelayedProbe> relayed_probes_;
  // Claims for the reply to the message that is being handled.
  std::vector<MemberUpdate> reply_claims_;
  Time rebuild_at_ = Time::max();  // When the neighbours are chosen again.
  Time next_heartbeat_;
  uint64_t heartbeat_rounds_ = 0;
  Time next_sync_;
  // Consecutive received digests that differed from this instance's.
  int digest_mismatches_ = 0;
  Time next_join_;
  Time next_rejoin_ = Time::max();
  Time next_tick_;  // When Tick() should be called next.
  uint64_t sequence_ = 0;
  std::vector<MembershipAction> actions_;
  MembershipCounters counters_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_MEMBERSHIP_IMPL_H_
