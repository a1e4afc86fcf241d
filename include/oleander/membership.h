// Which entry instances live, known to all of them at a constant cost each.
//
// Each instance exchanges heartbeats with a few others: its neighbours on two
// hash rings of its failure domain and on one ring of the whole fleet. Silence
// leads to a direct and several indirect probes, then to a suspicion that
// spreads; who hears of a suspicion about itself refutes it with a higher
// incarnation. Changes travel with heartbeats, and at once where they matter.
// docs/design/membership.md weighs this against probing in random order.
//
//   Membership membership(self, {}, seed, now);
//   membership.SetCandidates(listed, now);
//   membership.OnMessage(from, message, now);
//   for (auto& action : membership.TakeActions()) ...
#ifndef OLEANDER_MEMBERSHIP_H_
#define OLEANDER_MEMBERSHIP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "oleander/types.h"

namespace oleander {

enum class MemberState { kAlive = 0, kLeaving = 1, kSuspect = 2, kDead = 3 };

std::string_view MemberStateName(MemberState state);

// One member as this instance knows it.
struct Member {
  InstanceInfo info;
  MemberState state = MemberState::kAlive;
  uint64_t incarnation = 0;
  bool leaving = false;  // Also while suspected.

  // Whether messages to it make sense.
  bool reachable() const { return state != MemberState::kDead; }
};

// What one instance says about a member. A doubt travels where two sides that
// were cut off meet again and one holds the other's member for dead: the member
// is asked to refute, and dies only if it doesn't.
enum class MemberClaim {
  kAlive = 0,
  kLeaving = 1,
  kSuspect = 2,
  kDead = 3,
  kDoubt = 4
};

// `info` travels with claims about members that others may not know yet.
struct MemberUpdate {
  InstanceId id;
  MemberClaim claim = MemberClaim::kAlive;
  uint64_t incarnation = 0;
  std::optional<InstanceInfo> info;

  bool operator==(const MemberUpdate&) const = default;
};

enum class MembershipKind {
  kHeartbeat = 0,  // Periodic, carries gossip.
  kPing = 1,       // Answered by kAck.
  kAck = 2,
  kPingRequest = 3,  // Probe `target` for me.
  kUpdates = 4,      // Gossip that can't wait for a heartbeat.
  kSync = 5,         // The whole table; answered by kSyncReply.
  kSyncReply = 6,
};

struct MembershipMessage {
  MembershipKind kind = MembershipKind::kHeartbeat;
  uint64_t sequence = 0;     // Ties an ack to its ping.
  uint64_t incarnation = 0;  // Of the sender.
  bool leaving = false;      // The sender is.
  uint32_t table_digest = 0;
  InstanceId target;  // Of a ping request, and of the ack that ends it.
  std::vector<MemberUpdate> updates;

  bool operator==(const MembershipMessage&) const = default;
};

struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(1500);
  // Heartbeats to neighbours of other domains: every so many.
  int fleet_heartbeat_every = 2;
  // From the end of a heartbeat's interval to the first probe.
  Duration heartbeat_grace = std::chrono::milliseconds(150);
  Duration probe_timeout = std::chrono::milliseconds(250);
  int probe_rounds = 3;     // Before silence becomes a suspicion.
  int indirect_probes = 3;  // Per round but the first.
  Duration suspicion_timeout = std::chrono::milliseconds(1600);
  Duration doubt_timeout = std::chrono::seconds(4);
  // Between two messages with news to one neighbour, beside heartbeats.
  Duration update_interval = std::chrono::milliseconds(200);
  Duration sync_interval = std::chrono::seconds(2);
  Duration join_interval = std::chrono::milliseconds(500);  // While alone.
  // Each member that is not alive is probed about this often by the fleet
  // together, and by one instance never more often than this.
  Duration rejoin_interval = std::chrono::seconds(1);
  Duration dead_retention = std::chrono::minutes(10);
  // A clock that jumps by more between two calls: this process was paused.
  Duration pause_threshold = std::chrono::milliseconds(700);
  size_t max_gossip_bytes = 1000;  // Of claims in one message.
  int gossip_repeats = 3;          // Of one claim to one neighbour.
  // Must be higher at each start of the same instance by more than
  // kRestartGap: the wall clock in milliseconds will do.
  uint64_t first_incarnation = 1;
};

// An incarnation that grows by more tells of a restart, not of refutations.
inline constexpr uint64_t kRestartGap = 1000;

struct SendMembershipMessage {
  InstanceId to;
  MembershipMessage message;
};
// A member's state changed, or a member is new.
struct MemberChanged {
  InstanceInfo info;
  MemberState state = MemberState::kAlive;
  bool restarted = false;  // It lives, but lost all that it held.
};
// The member lives, but the open connection to it carries nothing: make a new
// one.
struct ResetConnection {
  InstanceId peer;
};

// neighbours() has changed.
struct NeighboursChanged {};

using MembershipAction = std::variant<SendMembershipMessage, MemberChanged,
                                      ResetConnection, NeighboursChanged>;

struct MembershipCounters {
  uint64_t probes = 0;
  uint64_t suspicions = 0;   // Raised here.
  uint64_t refutations = 0;  // Of suspicions about this instance.
  uint64_t deaths = 0;       // Declared here.
  uint64_t syncs = 0;
  uint64_t pauses = 0;  // Of this process, noticed by its clock.
};

class Membership {
 public:
  Membership(InstanceInfo self, const MembershipOptions& options, uint64_t seed,
             Time now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  // The instances that may exist: the platform's list and the seeds of the
  // settings. Members found by gossip stay members without it.
  void SetCandidates(const std::vector<InstanceInfo>& candidates, Time now);
  void OnMessage(const InstanceId& from, const MembershipMessage& message,
                 Time now);
  // This instance takes no new work from now on.
  void Leave(Time now);
  // This instance goes now; tells its neighbours, so that nobody has to notice.
  void Depart(Time now);

  void Tick(Time now);
  Time next_due() const;
  std::vector<MembershipAction> TakeActions();

  // Everyone but this instance, in order of id, the dead of late included.
  std::vector<Member> members() const;
  std::optional<Member> Find(const InstanceId& id) const;
  // Live members of one failure domain with this instance, in order of id;
  // leaving ones included.
  std::vector<InstanceInfo> LiveIn(const DomainId& domain) const;
  // Those this instance exchanges heartbeats with.
  std::vector<InstanceId> neighbours() const;
  size_t live_count() const;  // This instance included.
  uint64_t incarnation() const;
  const InstanceInfo& self() const;
  const MembershipCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_MEMBERSHIP_H_
