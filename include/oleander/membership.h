// Gossip-based group membership: which entry instances are alive, at a cost per
// instance that does not grow with the size of the fleet.
//
// Each instance exchanges heartbeats with a few neighbours: those next to it on
// two hash rings of its failure domain and on one ring of the whole fleet. A
// neighbour whose heartbeats stop is probed, first directly and then also
// through other instances; if it does not reply, a suspicion is spread through
// the fleet. An instance that receives a suspicion about itself refutes it with
// a higher incarnation. Changes are piggybacked on heartbeats, and are also
// sent between heartbeats as soon as the rate limit per neighbour allows.
// docs/design/membership.md compares this with probing in random order.
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

// Returns the state's name in lower case, e.g. "alive".
std::string_view MemberStateName(MemberState state);

// A member (an entry instance) in this instance's view.
struct Member {
  InstanceInfo info;
  MemberState state = MemberState::kAlive;
  // Version of the member's own claims about itself. Only the member raises it:
  // at a start, when it starts to leave, and to refute a suspicion.
  uint64_t incarnation = 0;
  bool leaving = false;  // Stays set while the member is suspected.

  // Returns whether messages should be sent to the member: unless it is dead.
  bool reachable() const { return state != MemberState::kDead; }
};

// A statement of one instance about a member. Doubts arise when two sides of a
// partition meet again and one side considers a member dead that the other side
// considers alive: the member may refute the doubt, and is declared dead only
// if it does not within MembershipOptions::doubt_timeout.
enum class MemberClaim {
  kAlive = 0,
  kLeaving = 1,
  kSuspect = 2,
  kDead = 3,
  kDoubt = 4
};

// A claim about one member. `info` is included if the receiver may not know the
// member yet.
struct MemberUpdate {
  InstanceId id;
  MemberClaim claim = MemberClaim::kAlive;
  uint64_t incarnation = 0;
  std::optional<InstanceInfo> info;

  bool operator==(const MemberUpdate&) const = default;
};

enum class MembershipKind {
  kHeartbeat = 0,  // Periodic; carries updates.
  kPing = 1,       // The receiver replies with kAck.
  kAck = 2,
  kPingRequest = 3,  // The receiver probes `target` for the sender.
  kUpdates = 4,      // Updates that are sent between heartbeats.
  kSync = 5,         // All claims of the sender; the reply is kSyncReply.
  kSyncReply = 6,    // The claims that differ from those in the kSync.
};

struct MembershipMessage {
  MembershipKind kind = MembershipKind::kHeartbeat;
  uint64_t sequence = 0;      // An ack repeats the sequence of its ping.
  uint64_t incarnation = 0;   // The sender's incarnation.
  bool leaving = false;       // Whether the sender is leaving.
  uint32_t table_digest = 0;  // Digest of the sender's table, with itself.
  // The member that a ping request names; the ack that reports the result of
  // the probe to the requester names it, too. Empty in other messages.
  InstanceId target;
  std::vector<MemberUpdate> updates;

  bool operator==(const MembershipMessage&) const = default;
};

struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(1500);
  // Neighbours that are linked only through the fleet's ring get one heartbeat
  // in this many intervals.
  int fleet_heartbeat_every = 2;
  // How late a heartbeat may be before the first probe.
  Duration heartbeat_grace = std::chrono::milliseconds(150);
  Duration probe_timeout = std::chrono::milliseconds(250);
  int probe_rounds = 3;     // Unanswered rounds before a suspicion is raised.
  int indirect_probes = 3;  // Indirect probes per round, from the second on.
  // A suspect that does not refute within this time is declared dead.
  Duration suspicion_timeout = std::chrono::milliseconds(1600);
  // The same for a doubted member.
  Duration doubt_timeout = std::chrono::seconds(4);
  // Minimum time between two messages with updates to one neighbour;
  // heartbeats are not limited by it.
  Duration update_interval = std::chrono::milliseconds(200);
  // Mean minimum time between two table comparisons that this instance starts;
  // the return of a dead member starts one at once.
  Duration sync_interval = std::chrono::seconds(2);
  // While this instance knows no live member: time between two attempts to
  // join.
  Duration join_interval = std::chrono::milliseconds(500);
  // All instances together probe each absent member about once in this time,
  // and one instance sends at most one such probe in this time on average.
  Duration rejoin_interval = std::chrono::seconds(1);
  // Dead members are removed from the table after this time.
  Duration dead_retention = std::chrono::minutes(10);
  // If Tick() is called later than due by more than this, the process is taken
  // to have been paused.
  Duration pause_threshold = std::chrono::milliseconds(700);
  // Approximate limit of the bytes of pending claims in one message.
  size_t max_gossip_bytes = 1000;
  int gossip_repeats = 3;  // How often a claim is sent to each neighbour.
  // Must rise by more than kRestartGap with each start of the same instance, as
  // the wall clock in milliseconds does.
  uint64_t first_incarnation = 1;
};

// An increase of an incarnation by more than this indicates a restart; smaller
// increases come from refutations and from leaving.
inline constexpr uint64_t kRestartGap = 1000;

struct SendMembershipMessage {
  InstanceId to;
  MembershipMessage message;
};
// Reports a new member, or a change of a member's state.
struct MemberChanged {
  InstanceInfo info;
  MemberState state = MemberState::kAlive;
  bool restarted = false;  // The member is alive, but has lost its state.
};
// Asks for a new connection to `peer`: the member is alive (an indirect probe
// reached it), but nothing arrives from it over the open connection.
struct ResetConnection {
  InstanceId peer;
};

// Reports that neighbours() has changed.
struct NeighboursChanged {};

using MembershipAction = std::variant<SendMembershipMessage, MemberChanged,
                                      ResetConnection, NeighboursChanged>;

struct MembershipCounters {
  uint64_t probes = 0;       // Rounds of probes of silent neighbours.
  uint64_t suspicions = 0;   // Suspicions that this instance raised.
  uint64_t refutations = 0;  // Claims about this instance that it refuted.
  uint64_t deaths = 0;       // Members that this instance declared dead.
  uint64_t syncs = 0;        // Table comparisons started here, except joins.
  uint64_t pauses = 0;       // Pauses of this process.
};

// The membership protocol of one instance as a state machine: it does no I/O
// and reads no clock. After each call, the caller executes TakeActions(); it
// calls Tick() at next_due().
class Membership {
 public:
  Membership(InstanceInfo self, const MembershipOptions& options, uint64_t seed,
             Time now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  // Sets the instances that may exist: the platform's list and the seed
  // instances in the settings. Members that were found by gossip need not be in
  // the list.
  void SetCandidates(const std::vector<InstanceInfo>& candidates, Time now);
  void OnMessage(const InstanceId& from, const MembershipMessage& message,
                 Time now);
  // Announces that this instance takes no new work from now on.
  void Leave(Time now);
  // Stops taking part, and announces this instance's own death to its
  // neighbours, so that nobody needs to detect it.
  void Depart(Time now);

  void Tick(Time now);
  Time next_due() const;
  std::vector<MembershipAction> TakeActions();

  // Returns all known members except this instance, in order of id, including
  // dead ones that are not removed yet.
  std::vector<Member> members() const;
  // Returns the member, or nothing if `id` is unknown or this instance's own.
  std::optional<Member> Find(const InstanceId& id) const;
  // Returns the members of `domain` that are not dead, in order of id,
  // including leaving and suspected ones, and this instance if it belongs to
  // `domain`.
  std::vector<InstanceInfo> LiveIn(const DomainId& domain) const;
  // Returns the instances with which this instance exchanges heartbeats.
  std::vector<InstanceId> neighbours() const;
  // Returns the number of members that are not dead, including this instance.
  size_t live_count() const;
  uint64_t incarnation() const;
  const InstanceInfo& self() const;
  const MembershipCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander

#endif  // OLEANDER_MEMBERSHIP_H_
