// ProfileStore: exchange of revisions between instances, and queries on which
// instances a revision is in force.
#include <algorithm>
#include <iterator>
#include <utility>

#include "parts/profiles_impl.h"

namespace oleander {
namespace {

constexpr Duration kTallyRetention = std::chrono::seconds(5);

bool SameQuery(const ProfileRevisionId& a, const ProfileRevisionId& b) {
  return a == b;
}

}  // namespace

void ProfileStore::Impl::OnDigest(const InstanceId& from,
                                  const ProfileDigest& digest, Time now) {
  last_digest_received_ = now;
  if (digest == digest_) {
    ready_ = ready_ || digest.highest > 0;
    return;
  }
  const bool pulling = now < pull_until_;
  const auto last = pulled_.find(from);
  const bool recently_pulled =
      last != pulled_.end() && last->second.digest == digest &&
      now - last->second.when < options_.pull_retry_interval;
  if (!pulling && !recently_pulled && digest.highest > 0) {
    StartPull(from, digest, now);
  }
}

void ProfileStore::Impl::OnMessage(const InstanceId& from,
                                   const ProfileMessage& message, Time now) {
  switch (message.kind) {
    case ProfileMessageKind::kAnnounce:
      OnDigest(from, message.digest, now);
      return;
    case ProfileMessageKind::kPull:
      OnPull(from, message, now);
      return;
    case ProfileMessageKind::kPush:
      OnPush(from, message);
      OnDigest(from, message.digest, now);
      return;
    case ProfileMessageKind::kInForceQuery:
      OnInForceQuery(from, message);
      return;
    case ProfileMessageKind::kInForceAnswer:
      OnInForceAnswer(from, message);
      return;
    case ProfileMessageKind::kDomainQuery:
      OnDomainQuery(from, message, now);
      return;
    case ProfileMessageKind::kDomainAnswer:
      OnDomainAnswer(message);
      return;
  }
}

void ProfileStore::Impl::Announce(const InstanceId& except) {
  for (const InstanceId& neighbour : neighbours_) {
    if (neighbour != except) {
      Send(neighbour, {.kind = ProfileMessageKind::kAnnounce});
    }
  }
}

void ProfileStore::Impl::StartPull(const InstanceId& from,
                                   const ProfileDigest& digest, Time now) {
  pulling_from_ = from;
  pull_until_ = now + options_.pull_timeout;
  pulled_[from] = {.digest = digest, .when = now};
  std::erase_if(pulled_, [&](const auto& item) {
    return now - item.second.when > 2 * options_.pull_retry_interval;
  });
  Send(from, {.kind = ProfileMessageKind::kPull, .known = KnownRevisions()});
}

void ProfileStore::Impl::OnPull(const InstanceId& from,
                                const ProfileMessage& message, Time now) {
  std::map<ProfileName, int64_t> theirs;
  for (const ProfileRevisionId& id : message.known) {
    theirs[id.name] = id.revision;
  }
  ProfileMessage push = {.kind = ProfileMessageKind::kPush};
  size_t bytes = 0;
  for (const auto& [name, slot] : slots_) {
    const auto their = theirs.find(name);
    const bool newer =
        their == theirs.end() || their->second < slot.revision.revision;
    if (newer && bytes < options_.max_push_bytes) {
      bytes += slot.revision.value.size();
      push.revisions.push_back(slot.revision);
    }
  }
  Send(from, std::move(push));
  OnDigest(from, message.digest, now);
}

void ProfileStore::Impl::OnPush(const InstanceId& from,
                                const ProfileMessage& message) {
  if (from == pulling_from_) {
    pull_until_ = Time{};
    pulling_from_ = InstanceId();
  }
  for (const ProfileRevision& revision : message.revisions) {
    Apply(revision, from);
  }
  // An empty push means that the peer has no newer revision.
  ready_ = ready_ || message.digest.highest > 0;
  if (!message.revisions.empty()) {
    // The size of a push is limited, so the peer may have more: allow another
    // pull at once.
    pulled_.erase(from);
  }
}

uint64_t ProfileStore::Impl::WaitInForce(const ProfileName& name,
                                         int64_t revision, Time deadline,
                                         Time now) {
  InForceWait wait;
  wait.id = ++last_wait_id_;
  wait.query = {.name = name, .revision = revision};
  wait.deadline = deadline;
  wait.next_query = now;
  waits_.push_back(std::move(wait));
  TickWaits(now);
  return last_wait_id_;
}

void ProfileStore::Impl::TickWaits(Time now) {
  std::erase_if(tallies_,
                [&](const DomainTally& tally) { return tally.expires <= now; });
  std::vector<InForceWait> open;
  for (InForceWait& wait : std::exchange(waits_, {})) {
    if (now >= wait.next_query) {
      QueryDomains(wait, now);
      wait.next_query = now + options_.in_force_query_interval;
    }
    const bool done = IsComplete(wait) || now >= wait.deadline;
    ReportProgress(wait, done);
    if (!done) {
      open.push_back(std::move(wait));
    }
  }
  std::ranges::move(open, std::back_inserter(waits_));
}

// Queries one randomly chosen instance of each other domain, which replies for
// its whole domain.
void ProfileStore::Impl::QueryDomains(InForceWait& wait, Time now) {
  for (const InstanceInfo& info : live_) {
    wait.domains.try_emplace(info.location.domain,
                             DomainInForce{.domain = info.location.domain});
  }
  for (auto& [domain, result] : wait.domains) {
    const bool complete = result.reached && result.in_force == result.members;
    if (complete) {
      continue;
    }
    if (domain == self_.location.domain) {
      DomainTally& tally = FindOrAddTally(wait.query, now);
      QueryLocalDomain(tally, now);
      result = DomainResult(tally);
      continue;
    }
    const std::vector<InstanceId> members = LiveIn(domain);
    if (!members.empty()) {
      const size_t index = (absl::Uniform<size_t>(gen_, 0, members.size()));
      Send(members[index],
           {.kind = ProfileMessageKind::kDomainQuery, .query = wait.query});
    }
  }
  ++wait.rounds;
}

bool ProfileStore::Impl::IsComplete(const InForceWait& wait) const {
  return std::ranges::all_of(wait.domains, [](const auto& item) {
    return item.second.reached && item.second.in_force == item.second.members;
  });
}

void ProfileStore::Impl::ReportProgress(const InForceWait& wait, bool done) {
  InForceReport report = {.wait = wait.id, .done = done, .domains = {}};
  std::ranges::transform(wait.domains, std::back_inserter(report.domains),
                         [](const auto& item) { return item.second; });
  actions_.emplace_back(std::move(report));
}

ProfileStore::Impl::DomainTally& ProfileStore::Impl::FindOrAddTally(
    const ProfileRevisionId& query, Time now) {
  const auto found = std::ranges::find_if(
      tallies_,
      [&](const DomainTally& tally) { return SameQuery(tally.query, query); });
  DomainTally& tally =
      found != tallies_.end() ? *found : tallies_.emplace_back();
  tally.query = query;
  tally.expires = now + kTallyRetention;
  if (IsInForce(query)) {
    tally.in_force.insert(self_.id);
  }
  return tally;
}

void ProfileStore::Impl::QueryLocalDomain(DomainTally& tally, Time now) {
  if (now - tally.last_query < options_.in_force_query_interval) {
    return;
  }
  tally.last_query = now;
  for (const InstanceId& member : LiveIn(self_.location.domain)) {
    if (member != self_.id && !tally.in_force.contains(member)) {
      Send(member,
           {.kind = ProfileMessageKind::kInForceQuery, .query = tally.query});
    }
  }
}

void ProfileStore::Impl::OnInForceQuery(const InstanceId& from,
                                        const ProfileMessage& message) {
  const ProfileState* state = Find(message.query.name);
  Send(from, {.kind = ProfileMessageKind::kInForceAnswer,
              .known = {{.name = message.query.name,
                         .revision = state == nullptr ? 0 : state->revision}},
              .query = message.query});
}

void ProfileStore::Impl::OnInForceAnswer(const InstanceId& from,
                                         const ProfileMessage& message) {
  const auto found =
      std::ranges::find_if(tallies_, [&](const DomainTally& tally) {
        return SameQuery(tally.query, message.query);
      });
  const bool counts = found != tallies_.end() && !message.known.empty() &&
                      message.known.front().revision >= message.query.revision;
  if (!counts || !found->in_force.insert(from).second) {
    return;
  }
  const DomainInForce result = DomainResult(*found);
  for (InForceWait& wait : waits_) {
    if (SameQuery(wait.query, message.query)) {
      wait.domains[self_.location.domain] = result;
    }
  }
  if (result.in_force < result.members) {
    return;
  }
  for (const InstanceId& requester : found->requesters) {
    Send(requester, {.kind = ProfileMessageKind::kDomainAnswer,
                     .query = message.query,
                     .domain = result});
  }
  found->requesters.clear();
}

void ProfileStore::Impl::OnDomainQuery(const InstanceId& from,
                                       const ProfileMessage& message,
                                       Time now) {
  DomainTally& tally = FindOrAddTally(message.query, now);
  QueryLocalDomain(tally, now);
  const DomainInForce result = DomainResult(tally);
  if (result.in_force < result.members) {
    tally.requesters.insert(from);
  }
  Send(from, {.kind = ProfileMessageKind::kDomainAnswer,
              .query = message.query,
              .domain = result});
}

void ProfileStore::Impl::OnDomainAnswer(const ProfileMessage& message) {
  for (InForceWait& wait : waits_) {
    if (!SameQuery(wait.query, message.query)) {
      continue;
    }
    DomainInForce& known = wait.domains[message.domain.domain];
    if (!known.reached || message.domain.in_force >= known.in_force) {
      known = message.domain;
      known.reached = true;
    }
  }
}

DomainInForce ProfileStore::Impl::DomainResult(const DomainTally& tally) const {
  DomainInForce result;
  result.domain = self_.location.domain;
  result.reached = true;
  for (const InstanceId& member : LiveIn(self_.location.domain)) {
    ++result.members;
    if (tally.in_force.contains(member)) {
      ++result.in_force;
    } else {
      result.behind.push_back(member);
    }
  }
  return result;
}

bool ProfileStore::Impl::IsInForce(const ProfileRevisionId& query) const {
  const ProfileState* state = Find(query.name);
  return state != nullptr && state->revision >= query.revision;
}

std::vector<ProfileRevisionId> ProfileStore::Impl::KnownRevisions() const {
  std::vector<ProfileRevisionId> known;
  known.reserve(slots_.size());
  for (const auto& [name, slot] : slots_) {
    known.push_back({.name = name, .revision = slot.revision.revision});
  }
  return known;
}

void ProfileStore::Impl::Send(const InstanceId& to, ProfileMessage message) {
  message.digest = digest_;
  actions_.emplace_back(
      SendProfileMessage{.to = to, .message = std::move(message)});
}

std::vector<InstanceId> ProfileStore::Impl::LiveIn(
    const DomainId& domain) const {
  std::vector<InstanceId> ids;
  for (const InstanceInfo& info : live_) {
    if (info.location.domain == domain) {
      ids.push_back(info.id);
    }
  }
  return ids;
}

}  // namespace oleander
