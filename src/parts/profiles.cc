#include "oleander/profiles.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "oleander/invariant.h"
#include "oleander/result_code.h"
#include "parts/profiles_impl.h"
#include "parts/rings.h"

namespace oleander {
namespace {

constexpr double kJitter = 0.25;

uint32_t DigestPart(const ProfileRevision& revision) {
  return static_cast<uint32_t>(parts::StableHash(
      revision.name.value(), static_cast<uint64_t>(revision.revision)));
}

// Parses a stored document with the same checks as an operator's edit.
absl::StatusOr<Profile> ParseStored(const ProfileRevision& revision,
                                    const ProfileValue& value) {
  auto profile = ParseProfile(value.document, revision.name.value());
  if (profile.ok() && profile->name != revision.name) {
    return MakeError(
        ResultCode::kProfileInvalid,
        fmt::format("The document of profile \"{}\" has the name \"{}\".",
                    revision.name.value(), profile->name.value()));
  }
  return profile;
}

}  // namespace

ProfileStore::Impl::Impl(InstanceInfo self, const ProfileOptions& options,
                         uint64_t seed, Time now)
    : self_(std::move(self)),
      options_(options),
      gen_(seed),
      live_({self_}),
      // A new instance knows no profiles, so it reads all of them at once.
      next_read_(now),
      store_last_reply_(now),
      last_digest_received_(now) {}

void ProfileStore::Impl::OnMembers(const std::vector<InstanceInfo>& live,
                                   const std::vector<InstanceId>& neighbours,
                                   Time now) {
  live_ = live;
  if (std::ranges::find(live_, self_.id, &InstanceInfo::id) == live_.end()) {
    live_.push_back(self_);
  }
  neighbours_ = neighbours;
  const std::vector<InstanceId> domain = LiveIn(self_.location.domain);
  std::vector<const InstanceId*> ids;
  std::ranges::transform(domain, std::back_inserter(ids),
                         [](const InstanceId& id) { return &id; });
  const std::vector<size_t> watchers = parts::Rendezvous(
      "profile-watch", ids, static_cast<size_t>(options_.watchers_per_domain));
  const bool watcher = std::ranges::any_of(
      watchers, [&](size_t index) { return *ids[index] == self_.id; });
  if (watcher == watcher_) {
    return;
  }
  watcher_ = watcher;
  if (watcher) {
    next_read_ = now;
  } else {
    StopWatch();
  }
}

void ProfileStore::Impl::Tick(Time now) {
  TickReads(now);
  TickEdits(now);
  TickWaits(now);
}

Time ProfileStore::Impl::next_due() const {
  Time due = std::min(next_read_, next_head_);
  for (const auto& [id, edit] : edits_) {
    due = std::min({due, edit.deadline, edit.next_try});
  }
  for (const InForceWait& wait : waits_) {
    due = std::min({due, wait.deadline, wait.next_query});
  }
  return due;
}

// All changes since the last call are announced together.
std::vector<ProfileAction> ProfileStore::Impl::TakeActions() {
  if (std::exchange(announce_pending_, false)) {
    Announce(std::exchange(announce_except_, InstanceId()));
  }
  return std::exchange(actions_, {});
}

const ProfileState* ProfileStore::Impl::Find(const ProfileName& name) const {
  const auto found = slots_.find(name);
  return found == slots_.end() ? nullptr : &found->second.state;
}

std::vector<const ProfileState*> ProfileStore::Impl::all() const {
  std::vector<const ProfileState*> states;
  std::ranges::transform(slots_, std::back_inserter(states),
                         [](const auto& item) { return &item.second.state; });
  return states;
}

const ProfileState* ProfileStore::Impl::ForService(
    const ServiceId& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? nullptr : Find(found->second);
}

ProfileFreshness ProfileStore::Impl::freshness(Time now) const {
  ProfileFreshness freshness;
  freshness.watching = watch_phase_ == WatchPhase::kWatching;
  freshness.store_age = now - store_last_reply_;
  freshness.peer_age = now - last_digest_received_;
  freshness.stale =
      std::min(freshness.store_age, freshness.peer_age) > options_.stale_after;
  freshness.ready = ready_;
  return freshness;
}

// Puts a revision in force unless it is older than or equal to the current one.
// Returns whether it was put in force. All changes of revisions go through
// here.
bool ProfileStore::Impl::Apply(const ProfileRevision& revision,
                               const InstanceId& source) {
  ProfileSlot& slot = slots_[revision.name];
  if (revision.revision <= slot.revision.revision) {
    return false;
  }
  const int64_t before = slot.revision.revision;
  if (before > 0) {
    digest_.hash ^= DigestPart(slot.revision);
  }
  SetValue(slot, revision);
  digest_.hash ^= DigestPart(slot.revision);
  digest_.highest = std::max(digest_.highest, revision.revision);
  CheckInvariant(
      slot.state.revision > before, "profile_revision_monotone", [&] {
        return fmt::format("Profile {} went from revision {} to {}.",
                           revision.name.value(), before, slot.state.revision);
      });
  actions_.emplace_back(ProfileApplied{.name = revision.name,
                                       .revision = revision.revision,
                                       .edit_id = slot.state.value.edit_id});
  // The peer that sent the changes needs no announcement, unless the announced
  // changes come from several sources.
  announce_except_ =
      !announce_pending_ || announce_except_ == source ? source : InstanceId();
  announce_pending_ = true;
  RebuildServiceIndex();
  return true;
}

void ProfileStore::Impl::SetValue(ProfileSlot& slot,
                                  const ProfileRevision& revision) {
  slot.revision = revision;
  ProfileState& state = slot.state;
  state.name = revision.name;
  state.revision = revision.revision;
  state.problem = absl::OkStatus();
  auto value = DecodeProfileValue(revision.value);
  if (!value.ok()) {
    state.problem = value.status();
    return;
  }
  state.value = *std::move(value);
  state.deleted = state.value.deleted;
  if (state.deleted) {
    state.profile.reset();
    return;
  }
  auto profile = ParseStored(revision, state.value);
  if (profile.ok()) {
    state.profile = *std::move(profile);
  } else {
    state.problem = profile.status();
  }
}

// A service that several profiles list runs under the first of them in order of
// name.
void ProfileStore::Impl::RebuildServiceIndex() {
  by_service_.clear();
  for (const auto& [name, slot] : slots_) {
    if (!slot.state.profile.has_value()) {
      continue;
    }
    for (const ServiceId& service : slot.state.profile->services) {
      by_service_.emplace(service, name);
    }
  }
}

ProfileRevision ProfileStore::Impl::RevisionOf(const StoreEntry& entry) const {
  return {.name = ProfileName(entry.key.substr(
              std::min(entry.key.size(), options_.prefix.size()))),
          .revision = entry.mod_revision,
          .version = entry.version,
          .value = entry.value};
}

std::string ProfileStore::Impl::KeyOf(const ProfileName& name) const {
  return options_.prefix + name.value();
}

Duration ProfileStore::Impl::Jittered(Duration duration) {
  const double factor = absl::Uniform(gen_, 1 - kJitter, 1 + kJitter);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

ProfileStore::ProfileStore(InstanceInfo self, const ProfileOptions& options,
                           uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(std::move(self), options, seed, now)) {}

ProfileStore::~ProfileStore() = default;
ProfileStore::ProfileStore(ProfileStore&&) noexcept = default;
ProfileStore& ProfileStore::operator=(ProfileStore&&) noexcept = default;

void ProfileStore::OnMembers(const std::vector<InstanceInfo>& live,
                             const std::vector<InstanceId>& neighbours,
                             Time now) {
  impl_->OnMembers(live, neighbours, now);
}
void ProfileStore::OnDigest(const InstanceId& from, const ProfileDigest& digest,
                            Time now) {
  impl_->OnDigest(from, digest, now);
}
void ProfileStore::OnMessage(const InstanceId& from,
                             const ProfileMessage& message, Time now) {
  impl_->OnMessage(from, message, now);
}
void ProfileStore::Edit(const ProfileEdit& edit, Time now) {
  impl_->Edit(edit, now);
}
uint64_t ProfileStore::WaitInForce(const ProfileName& name, int64_t revision,
                                   Time deadline, Time now) {
  return impl_->WaitInForce(name, revision, deadline, now);
}
void ProfileStore::OnRange(StoreCall call,
                           const absl::StatusOr<StoreRangeAnswer>& answer,
                           Time now) {
  impl_->OnRange(call, answer, now);
}
void ProfileStore::OnCas(StoreCall call,
                         const absl::StatusOr<StoreCasAnswer>& answer,
                         Time now) {
  impl_->OnCas(call, answer, now);
}
void ProfileStore::OnWatch(StoreCall call,
                           const absl::StatusOr<StoreWatchEvents>& events,
                           Time now) {
  impl_->OnWatch(call, events, now);
}
void ProfileStore::Tick(Time now) { impl_->Tick(now); }
Time ProfileStore::next_due() const { return impl_->next_due(); }
std::vector<ProfileAction> ProfileStore::TakeActions() {
  return impl_->TakeActions();
}
ProfileDigest ProfileStore::digest() const { return impl_->digest(); }
const ProfileState* ProfileStore::Find(const ProfileName& name) const {
  return impl_->Find(name);
}
std::vector<const ProfileState*> ProfileStore::all() const {
  return impl_->all();
}
const ProfileState* ProfileStore::ForService(const ServiceId& service) const {
  return impl_->ForService(service);
}
ProfileFreshness ProfileStore::freshness(Time now) const {
  return impl_->freshness(now);
}
bool ProfileStore::watcher() const { return impl_->watcher(); }

}  // namespace oleander
