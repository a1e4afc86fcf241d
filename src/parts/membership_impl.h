// The inside of Membership: timers, probes and what messages do.
#ifndef OLEANDER_PARTS_MEMBERSHIP_IMPL_H_
#define OLEANDER_PARTS_MEMBERSHIP_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "absl/random/random.h"
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

  // A probe made for somebody else.
  struct Relay {
    InstanceId requester;
    uint64_t sequence = 0;
    InstanceId target;
    Time expires;
  };

  // membership_messages.cc: what comes in.
  void TakeHeader(const InstanceId& from, const MembershipMessage& message,
                  bool trusted, Time now);
  void TakeUpdates(const InstanceId& from, const MembershipMessage& message,
                   bool trusted, Time now);
  void TakeClaim(const InstanceId& from, MemberUpdate claim, bool trusted,
                 Time now);
  void Refute(uint64_t above, Time now);
  void OnAck(const InstanceId& from, const MembershipMessage& message,
             Time now);
  void OnPingRequest(const InstanceId& from, const MembershipMessage& message,
                     Time now);
  void OnSync(const InstanceId& from, const MembershipMessage& message);
  void CompareDigest(const InstanceId& from, const MembershipMessage& message,
                     Time now);
  void ForgetKnown(parts::GossipLink& link);
  void Answer(const InstanceId& from, const MembershipMessage& message,
              Time now);

  // membership_timers.cc: what goes out, and when.
  void CheckPause(Time now);
  void RebuildLinks(Time now);
  void AddLinks(std::vector<const InstanceId*> ids, uint64_t salt,
                Duration interval,
                std::map<InstanceId, Duration>& wanted) const;
  void Beat(Time now);
  void ProbeSilentLinks(Time now);
  void ProbeRound(const InstanceId& target, parts::GossipLink& link, Time now);
  void ProbeIndirectly(const InstanceId& target);
  void ExpireDeadlines(Time now);
  void SendNews(Time now);
  void ProbeAbsent(Time now);
  void Join(Time now);
  void ScheduleRejoin(Time now);
  std::vector<InstanceId> Absent() const;
  std::vector<MemberUpdate> WholeTable() const;

  void Spread(const InstanceId& id, const InstanceId& except, Time now);
  void Notify(const InstanceId& id, const parts::ClaimOutcome& outcome,
              Time now);
  parts::ClaimTimes Times(Time now) const;
  MemberUpdate OwnClaim(bool with_info) const;
  std::optional<MemberUpdate> ClaimAbout(const InstanceId& id, Time now) const;
  std::optional<MemberUpdate> ClaimInDoubt(const InstanceId& id) const;
  std::vector<MemberUpdate> TakeNews(parts::GossipLink& link, Time now);
  MembershipMessage Message(MembershipKind kind) const;
  void Send(const InstanceId& to, MembershipMessage message);
  void SendPing(const InstanceId& to, uint64_t sequence);
  uint32_t digest() const;
  Duration Jittered(Duration duration, double part);

  InstanceInfo self_;
  MembershipOptions options_;
  absl::BitGen gen_;
  uint64_t incarnation_;
  bool leaving_ = false;
  bool departed_ = false;
  Time started_;
  parts::MemberTable table_;
  Links links_;
  std::map<InstanceId, InstanceInfo> candidates_;
  std::map<uint64_t, Relay> relays_;
  std::vector<MemberUpdate> replies_;  // To the message being handled.
  Time rebuild_at_ = Time::max();      // When links are chosen anew.
  Time next_beat_;
  uint64_t beats_ = 0;
  Time next_sync_;
  int mismatches_ = 0;  // Digests in a row that differed from ours.
  Time next_join_;
  Time next_rejoin_ = Time::max();
  Time due_;  // When Tick should be called next.
  uint64_t sequence_ = 0;
  std::vector<MembershipAction> actions_;
  MembershipCounters counters_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_MEMBERSHIP_IMPL_H_
