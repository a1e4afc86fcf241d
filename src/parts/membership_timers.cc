// Membership: timers for heartbeats, probes, updates and rejoining, and the
// messages that they send.
#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <utility>

#include "parts/membership_impl.h"
#include "parts/rings.h"

namespace oleander {
namespace {

// Salts of the hash rings: two rings of the failure domain, one of the fleet.
constexpr std::array<uint64_t, 2> kDomainRings = {11, 12};
constexpr uint64_t kFleetRing = 13;
constexpr Duration kRebuildDelay = std::chrono::milliseconds(50);
constexpr double kHeartbeatJitter = 0.02;
constexpr size_t kJoinTargets = 2;
constexpr Duration kMaxRejoinInterval = std::chrono::seconds(60);
// Claims about a member include its address and location until the member has
// been known for this long.
constexpr Duration kNewMemberPeriod = std::chrono::seconds(60);
// Instances that receive a suspicion wait longer by this factor than the one
// that raised it; they declare the death only if its declaration was lost.
constexpr double kObserverTimeoutFactor = 1.5;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

Membership::Impl::Impl(InstanceInfo self, const MembershipOptions& options,
                       uint64_t seed, Time now)
    : self_(std::move(self)),
      options_(options),
      gen_(seed),
      incarnation_(options.first_incarnation),
      started_(now),
      next_heartbeat_(now),
      next_sync_(now),
      next_join_(now),
      next_tick_(now) {
  // A random phase spreads the instances' heartbeats over the interval.
  next_heartbeat_ =
      now + Scaled(options_.heartbeat_interval, absl::Uniform(gen_, 0.0, 1.0));
}

void Membership::Impl::SetCandidates(
    const std::vector<InstanceInfo>& candidates, Time now) {
  candidates_.clear();
  for (const InstanceInfo& candidate : candidates) {
    if (candidate.id != self_.id) {
      candidates_.emplace(candidate.id, candidate);
      table_.UpdateInfo(candidate);
    }
  }
  if (next_rejoin_ == Time::max()) {
    ScheduleRejoin(now);
  }
  next_tick_ = now;
}

void Membership::Impl::Leave(Time now) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  ++incarnation_;
  QueueForNeighbours(self_.id, InstanceId(), now);
}

void Membership::Impl::Depart(Time now) {
  Leave(now);
  for (const auto& [id, link] : links_) {
    MembershipMessage departure = Message(MembershipKind::kUpdates);
    departure.updates = {{.id = self_.id,
                          .claim = MemberClaim::kDead,
                          .incarnation = incarnation_,
                          .info = std::nullopt}};
    Send(id, std::move(departure));
  }
  departed_ = true;
}

void Membership::Impl::Tick(Time now) {
  if (departed_) {
    return;
  }
  CheckPause(now);
  ExpireDeadlines(now);
  RebuildLinks(now);
  SendHeartbeats(now);
  ProbeSilentLinks(now);
  SendUpdates(now);
  Join(now);
  ProbeAbsentMember(now);
  next_tick_ = next_due();
}

Time Membership::Impl::next_due() const {
  if (departed_) {
    return Time::max();
  }
  Time due = std::min(
      {next_heartbeat_, table_.next_deadline(), next_rejoin_, rebuild_at_});
  if (table_.live_count() == 0 && !candidates_.empty()) {
    due = std::min(due, next_join_);
  }
  for (const auto& [id, link] : links_) {
    due = std::min({due, link.next_update,
                    link.next_probe == Time::max() ? link.heartbeat_due
                                                   : link.next_probe});
  }
  return due;
}

std::vector<MembershipAction> Membership::Impl::TakeActions() {
  return std::exchange(actions_, {});
}

// After a pause of this process, restarts all timeouts for other members: that
// nothing arrived from them was due to the pause.
void Membership::Impl::CheckPause(Time now) {
  const Duration late = now - next_tick_;
  if (late <= options_.pause_threshold) {
    return;
  }
  ++counters_.pauses;
  table_.PostponeDeadlines(late);
  for (auto& [id, link] : links_) {
    link.OnReceived(now, options_.heartbeat_grace);
  }
}

void Membership::Impl::RebuildLinks(Time now) {
  if (now < rebuild_at_) {
    return;
  }
  rebuild_at_ = Time::max();
  std::vector<const InstanceId*> fleet = {&self_.id};
  std::vector<const InstanceId*> domain = {&self_.id};
  for (const auto& [id, entry] : table_.entries()) {
    const MemberState state = entry.member.state;
    if (state == MemberState::kDead || state == MemberState::kSuspect) {
      continue;
    }
    fleet.push_back(&id);
    if (entry.member.info.location.domain == self_.location.domain) {
      domain.push_back(&id);
    }
  }
  std::map<InstanceId, Duration> wanted;
  for (const uint64_t ring : kDomainRings) {
    AddLinks(domain, ring, options_.heartbeat_interval, wanted);
  }
  AddLinks(fleet, kFleetRing,
           options_.heartbeat_interval * options_.fleet_heartbeat_every,
           wanted);
  // A suspect stays a neighbour until it refutes or is dead. It is not on the
  // rings, so the instance after it is a neighbour already.
  size_t changes = std::erase_if(links_, [&](const auto& item) {
    const parts::MemberEntry* entry = table_.Find(item.first);
    const bool suspect =
        entry != nullptr && entry->member.state == MemberState::kSuspect;
    return !wanted.contains(item.first) && !suspect;
  });
  for (const auto& [id, interval] : wanted) {
    const auto [link, added] = links_.try_emplace(id);
    link->second.interval = interval;
    if (added) {
      ++changes;
      // The first probe is due at once, to find out whether the new neighbour
      // is alive.
      link->second.last_received = now;
      link->second.heartbeat_due = now;
      link->second.QueueClaim(self_.id, options_.gossip_repeats, now,
                              options_.update_interval);
    }
  }
  if (changes > 0) {
    actions_.emplace_back(NeighboursChanged{});
  }
}

void Membership::Impl::AddLinks(std::vector<const InstanceId*> ids,
                                uint64_t salt, Duration interval,
                                std::map<InstanceId, Duration>& wanted) const {
  for (const size_t index : parts::RingNeighbours(self_.id, ids, salt)) {
    const auto [slot, added] = wanted.try_emplace(*ids[index], interval);
    slot->second = std::min(slot->second, interval);
  }
}

void Membership::Impl::SendHeartbeats(Time now) {
  if (now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ =
      now + Jittered(options_.heartbeat_interval, kHeartbeatJitter);
  ++heartbeat_rounds_;
  const bool fleet_round =
      heartbeat_rounds_ %
          static_cast<uint64_t>(options_.fleet_heartbeat_every) ==
      0;
  for (auto& [id, link] : links_) {
    if (link.interval > options_.heartbeat_interval && !fleet_round) {
      continue;
    }
    MembershipMessage heartbeat = Message(MembershipKind::kHeartbeat);
    heartbeat.updates = TakePendingClaims(link, now);
    Send(id, std::move(heartbeat));
  }
  table_.RemoveDeadBefore(now - options_.dead_retention);
  std::erase_if(relayed_probes_,
                [&](const auto& item) { return item.second.expires < now; });
}

void Membership::Impl::ProbeSilentLinks(Time now) {
  for (auto& [id, link] : links_) {
    const Time due =
        link.next_probe == Time::max() ? link.heartbeat_due : link.next_probe;
    if (now >= due) {
      ProbeRound(id, link, now);
    }
  }
}

void Membership::Impl::ProbeRound(const InstanceId& target,
                                  parts::GossipLink& link, Time now) {
  ++counters_.probes;
  ++link.probe_round;
  link.next_probe = now + options_.probe_timeout;
  if (link.probe_round == options_.probe_rounds + 1) {
    const MemberUpdate suspicion = {
        .id = target,
        .claim = MemberClaim::kSuspect,
        .incarnation = table_.Find(target)->member.incarnation,
        .info = std::nullopt};
    const parts::ClaimOutcome outcome =
        table_.Apply(suspicion, /*trusted=*/true, now,
                     {.suspicion_ends = now + options_.suspicion_timeout,
                      .doubt_ends = now});
    if (outcome.result == parts::ClaimResult::kChanged) {
      ++counters_.suspicions;
      ReportChange(target, outcome, now);
      QueueForNeighbours(target, InstanceId(), now);
    }
  }
  SendPing(target, ++sequence_);
  if (link.probe_round > 1) {
    ProbeIndirectly(target);
  }
}

// Sends ping requests to a few neighbours that are not being probed themselves;
// connections to neighbours are already open.
void Membership::Impl::ProbeIndirectly(const InstanceId& target) {
  std::vector<InstanceId> helpers;
  for (const auto& [id, link] : links_) {
    if (id != target && link.probe_round == 0) {
      helpers.push_back(id);
    }
  }
  std::ranges::shuffle(helpers, gen_);
  helpers.resize(std::min<size_t>(
      helpers.size(), static_cast<size_t>(options_.indirect_probes)));
  for (const InstanceId& helper : helpers) {
    MembershipMessage request = Message(MembershipKind::kPingRequest);
    request.sequence = ++sequence_;
    request.target = target;
    if (const auto claim = RefutableClaim(target)) {
      request.updates.push_back(*claim);
    }
    Send(helper, std::move(request));
  }
}

void Membership::Impl::ExpireDeadlines(Time now) {
  for (const InstanceId& id : table_.Expired(now)) {
    const MemberUpdate death = {
        .id = id,
        .claim = MemberClaim::kDead,
        .incarnation = table_.Find(id)->member.incarnation,
        .info = std::nullopt};
    const parts::ClaimOutcome outcome =
        table_.Apply(death, /*trusted=*/true, now, DeadlinesFrom(now));
    ++counters_.deaths;
    ReportChange(id, outcome, now);
    QueueForNeighbours(id, InstanceId(), now);
  }
}

void Membership::Impl::SendUpdates(Time now) {
  for (auto& [id, link] : links_) {
    if (now < link.next_update) {
      continue;
    }
    MembershipMessage message = Message(MembershipKind::kUpdates);
    message.updates = TakePendingClaims(link, now);
    if (!message.updates.empty()) {
      Send(id, std::move(message));
    }
  }
}

// Pings a random absent member: a partition may have healed, or an instance may
// have started late.
void Membership::Impl::ProbeAbsentMember(Time now) {
  if (now < next_rejoin_) {
    return;
  }
  const std::vector<InstanceId> absent = AbsentMembers();
  if (!absent.empty()) {
    const InstanceId& target =
        absent[absl::Uniform<size_t>(gen_, 0, absent.size())];
    SendPing(target, ++sequence_);
  }
  ScheduleRejoin(now);
}

void Membership::Impl::ScheduleRejoin(Time now) {
  const std::vector<InstanceId> absent = AbsentMembers();
  if (absent.empty()) {
    next_rejoin_ = Time::max();
    return;
  }
  const double share = static_cast<double>(table_.live_count() + 1) /
                       static_cast<double>(absent.size());
  const Duration interval =
      std::clamp(Scaled(options_.rejoin_interval, share),
                 options_.rejoin_interval, kMaxRejoinInterval);
  next_rejoin_ = now + Jittered(interval, 0.5);
}

std::vector<InstanceId> Membership::Impl::AbsentMembers() const {
  std::vector<InstanceId> absent;
  for (const auto& [id, info] : candidates_) {
    if (table_.Find(id) == nullptr) {
      absent.push_back(id);
    }
  }
  for (const auto& [id, entry] : table_.entries()) {
    if (!entry.member.reachable()) {
      absent.push_back(id);
    }
  }
  return absent;
}

// While no live member is known, sends this instance's table to some
// candidates, which reply with theirs.
void Membership::Impl::Join(Time now) {
  if (table_.live_count() > 0 || candidates_.empty() || now < next_join_) {
    return;
  }
  next_join_ = now + Jittered(options_.join_interval, 0.3);
  std::vector<InstanceId> ids;
  std::ranges::transform(candidates_, std::back_inserter(ids),
                         [](const auto& item) { return item.first; });
  std::ranges::shuffle(ids, gen_);
  ids.resize(std::min(ids.size(), kJoinTargets));
  for (const InstanceId& id : ids) {
    MembershipMessage sync = Message(MembershipKind::kSync);
    sync.updates = AllClaims();
    Send(id, std::move(sync));
  }
}

std::vector<MemberUpdate> Membership::Impl::AllClaims() const {
  std::vector<MemberUpdate> updates = {SelfClaim(/*with_info=*/true)};
  std::ranges::transform(
      table_.entries(), std::back_inserter(updates), [](const auto& item) {
        return parts::MemberTable::ClaimOf(item.second, /*with_info=*/false);
      });
  return updates;
}

void Membership::Impl::QueueForNeighbours(const InstanceId& id,
                                          const InstanceId& except, Time now) {
  const parts::MemberEntry* entry = table_.Find(id);
  const bool doubtful =
      entry != nullptr &&
      (entry->member.state == MemberState::kSuspect || entry->doubted);
  for (auto& [peer, link] : links_) {
    // A suspected or doubted member must receive the claim itself in order to
    // refute it, so all of its neighbours send it.
    if (peer != except && (peer != id || doubtful)) {
      link.QueueClaim(id, options_.gossip_repeats, now,
                      options_.update_interval);
    }
  }
}

void Membership::Impl::ReportChange(const InstanceId& id,
                                    const parts::ClaimOutcome& outcome,
                                    Time now) {
  if (!outcome.state_changed) {
    return;
  }
  // The delay combines changes at about the same time into one rebuild.
  rebuild_at_ = std::min(rebuild_at_, now + kRebuildDelay);
  const Member& member = table_.Find(id)->member;
  actions_.emplace_back(MemberChanged{.info = member.info,
                                      .state = member.state,
                                      .restarted = outcome.restarted});
  if (member.state == MemberState::kDead && next_rejoin_ == Time::max()) {
    next_rejoin_ = now + options_.rejoin_interval;
  }
}

parts::ClaimDeadlines Membership::Impl::DeadlinesFrom(Time now) const {
  return {.suspicion_ends =
              now + Scaled(options_.suspicion_timeout, kObserverTimeoutFactor),
          .doubt_ends = now + options_.doubt_timeout};
}

MemberUpdate Membership::Impl::SelfClaim(bool with_info) const {
  MemberUpdate claim = {
      .id = self_.id,
      .claim = leaving_ ? MemberClaim::kLeaving : MemberClaim::kAlive,
      .incarnation = incarnation_,
      .info = std::nullopt};
  if (with_info) {
    claim.info = self_;
  }
  return claim;
}

std::optional<MemberUpdate> Membership::Impl::ClaimAbout(const InstanceId& id,
                                                         Time now) const {
  if (id == self_.id) {
    return SelfClaim(now - started_ < kNewMemberPeriod);
  }
  const parts::MemberEntry* entry = table_.Find(id);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return parts::MemberTable::ClaimOf(
      *entry, now - entry->known_since < kNewMemberPeriod);
}

// Returns the claim that a suspected, doubted or dead member has to refute, or
// nothing for other members.
std::optional<MemberUpdate> Membership::Impl::RefutableClaim(
    const InstanceId& id) const {
  const parts::MemberEntry* entry = table_.Find(id);
  const bool in_doubt =
      entry != nullptr && (entry->doubted || !entry->member.reachable() ||
                           entry->member.state == MemberState::kSuspect);
  if (!in_doubt) {
    return std::nullopt;
  }
  return parts::MemberTable::ClaimOf(*entry, /*with_info=*/false);
}

std::vector<MemberUpdate> Membership::Impl::TakePendingClaims(
    parts::GossipLink& link, Time now) {
  std::vector<MemberUpdate> claims;
  size_t bytes = 0;
  while (!link.pending.empty() && bytes < options_.max_gossip_bytes) {
    const size_t max_claims = 1 + (options_.max_gossip_bytes - bytes) / 100;
    const size_t before = claims.size();
    for (const InstanceId& id : link.TakePending(max_claims)) {
      const bool included =
          std::ranges::find(claims, id, &MemberUpdate::id) != claims.end();
      const auto claim = included ? std::nullopt : ClaimAbout(id, now);
      if (claim.has_value()) {
        bytes += parts::ClaimBytes(*claim);
        claims.push_back(*claim);
      }
    }
    if (claims.size() == before) {
      break;
    }
  }
  link.last_update = now;
  // Repeats wait for the next heartbeat. Claims that have not been sent yet
  // because they did not fit go out after the update interval.
  const bool more = std::ranges::any_of(link.pending, [&](const auto& item) {
    return item.second >= options_.gossip_repeats;
  });
  link.next_update = more ? now + options_.update_interval : Time::max();
  return claims;
}

MembershipMessage Membership::Impl::Message(MembershipKind kind) const {
  MembershipMessage message;
  message.kind = kind;
  message.incarnation = incarnation_;
  message.leaving = leaving_;
  message.table_digest = digest();
  return message;
}

void Membership::Impl::Send(const InstanceId& to, MembershipMessage message) {
  actions_.emplace_back(
      SendMembershipMessage{.to = to, .message = std::move(message)});
}

void Membership::Impl::SendPing(const InstanceId& to, uint64_t sequence) {
  MembershipMessage ping = Message(MembershipKind::kPing);
  ping.sequence = sequence;
  if (const auto claim = RefutableClaim(to)) {
    ping.updates.push_back(*claim);
  }
  if (!links_.contains(to)) {
    // The receiver may not know this instance.
    ping.updates.push_back(SelfClaim(/*with_info=*/true));
  }
  Send(to, std::move(ping));
}

uint32_t Membership::Impl::digest() const {
  return table_.digest() ^
         parts::MemberDigest(self_.id, incarnation_, leaving_);
}

Duration Membership::Impl::Jittered(Duration duration, double fraction) {
  return Scaled(duration, absl::Uniform(gen_, 1 - fraction, 1 + fraction));
}

}  // namespace oleander
