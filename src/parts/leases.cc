#include "oleander/leases.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <sstream>
#include <utility>

#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander {
namespace {

constexpr double kJitter = 0.3;
// A fencing number is the era, shifted left by this, plus a revision. The sum
// stays exact in a reader that stores numbers as doubles.
constexpr int kRevisionBits = 40;
// The holders that the service remembers. Holders alternate no faster than once
// per round trip, so in a cooldown there may be several.
constexpr size_t kRememberedHolders = 8;

// Returns the value of the duty's key. It has the lease besides the holder's
// id, so that a read after a lost reply distinguishes this try of the instance
// from an earlier one.
std::string HolderValue(const InstanceId& self, StoreLeaseId lease) {
  return fmt::format("{} {}", self.value(), lease);
}

InstanceId HolderIn(const std::string& value) {
  return InstanceId(value.substr(0, value.find(' ')));
}

// The value of the key that names the last holders: their ids, newest first,
// separated by spaces.
std::string HoldersValue(const std::vector<InstanceId>& holders) {
  std::vector<std::string> names;
  std::ranges::transform(holders, std::back_inserter(names),
                         &InstanceId::value);
  return fmt::format("{}", fmt::join(names, " "));
}

std::vector<InstanceId> HoldersIn(const std::string& value) {
  std::vector<InstanceId> holders;
  std::istringstream names(value);
  for (std::string name; names >> name;) {
    holders.emplace_back(name);
  }
  return holders;
}

// Returns `holders` with `newest` in front, without its earlier place.
std::vector<InstanceId> WithNewest(const InstanceId& newest,
                                   std::vector<InstanceId> holders) {
  std::erase(holders, newest);
  holders.insert(holders.begin(), newest);
  holders.resize(std::min(holders.size(), kRememberedHolders));
  return holders;
}

const StoreEntry* FindEntry(const std::vector<StoreEntry>& entries,
                            const std::string& key) {
  const auto found = std::ranges::find(entries, key, &StoreEntry::key);
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

LeaseKeeper::LeaseKeeper(LeaseOptions options, uint64_t seed, Time now)
    : options_(std::move(options)),
      key_("/oleander/leases/" + options_.duty),
      holders_key_(key_ + "/holders"),
      started_(now),
      gen_(seed),
      next_(now) {}

void LeaseKeeper::Want(bool want, Time now) {
  if (want == wanted_) {
    return;
  }
  wanted_ = want;
  if (want) {
    next_ = std::max(now, earliest_check());
    return;
  }
  Drop("given up", now);
}

void LeaseKeeper::OnLease(StoreCall call,
                          const absl::StatusOr<StoreLeaseAnswer>& answer,
                          Time now) {
  if (call != pending_) {
    return;
  }
  pending_ = 0;
  if (phase_ == Phase::kHeld) {
    OnRenewed(answer, now);
    return;
  }
  if (phase_ != Phase::kGranting) {
    return;
  }
  if (!answer.ok() || answer->ttl <= Duration::zero()) {
    ScheduleRetry(now);
    return;
  }
  lease_ = answer->lease;
  valid_until_ = sent_at_ + answer->ttl;
  phase_ = Phase::kTaking;
  pending_ = NextCall();
  SendStoreRequest(StoreCas{
      .call = pending_,
      .compares = {{.key = key_, .mod_revision = 0},
                   {.key = holders_key_, .mod_revision = holders_revision_}},
      .puts = {{.key = key_,
                .value = HolderValue(options_.self, lease_),
                .lease = lease_},
               {.key = holders_key_,
                .value =
                    HoldersValue(WithNewest(options_.self, last_holders_))}},
      .deletes = {}});
}

void LeaseKeeper::OnRenewed(const absl::StatusOr<StoreLeaseAnswer>& answer,
                            Time now) {
  if (!answer.ok()) {
    // The lease is still valid, and the next renewal may succeed in time.
    next_ = now + Jittered(options_.renew_interval / 3);
    return;
  }
  if (answer->ttl <= Duration::zero()) {
    Drop("expired at the key-value service", now);
    return;
  }
  valid_until_ = std::max(valid_until_, sent_at_ + answer->ttl);
}

void LeaseKeeper::OnCas(StoreCall call,
                        const absl::StatusOr<StoreCasAnswer>& answer,
                        Time now) {
  if (call != pending_ || phase_ != Phase::kTaking) {
    return;
  }
  pending_ = 0;
  if (!answer.ok()) {
    ReadHolder();
    return;
  }
  if (answer->succeeded) {
    OnAcquired(answer->revision, now);
    return;
  }
  const StoreEntry* holder = FindEntry(answer->current, key_);
  Revoke();
  ScheduleRetry(now);
  if (holder != nullptr) {
    holder_ = HolderIn(holder->value);
  } else {
    // Another instance held the duty since the check, and gave it up.
    CheckNow(now);
  }
}

void LeaseKeeper::OnRange(StoreCall call,
                          const absl::StatusOr<StoreRangeAnswer>& answer,
                          Time now) {
  if (call != pending_) {
    return;
  }
  pending_ = 0;
  if (phase_ == Phase::kChecking) {
    OnChecked(answer, now);
    return;
  }
  if (phase_ != Phase::kResolving) {
    return;
  }
  if (!answer.ok()) {
    next_ = now + Jittered(options_.retry_interval);
    return;
  }
  if (answer->entries.empty()) {
    Revoke();
    ScheduleRetry(now);
    return;
  }
  const StoreEntry& entry = answer->entries.front();
  holder_ = HolderIn(entry.value);
  if (entry.value == HolderValue(options_.self, lease_)) {
    OnAcquired(entry.create_revision, now);
    return;
  }
  Revoke();
  ScheduleRetry(now);
}

void LeaseKeeper::OnChecked(const absl::StatusOr<StoreRangeAnswer>& answer,
                            Time now) {
  if (!answer.ok()) {
    ScheduleRetry(now);
    return;
  }
  if (const StoreEntry* holder = FindEntry(answer->entries, key_)) {
    holder_ = HolderIn(holder->value);
    ScheduleRetry(now);
    return;
  }
  const StoreEntry* holders = FindEntry(answer->entries, holders_key_);
  last_holders_ = holders == nullptr ? std::vector<InstanceId>()
                                     : HoldersIn(holders->value);
  holders_revision_ = holders == nullptr ? 0 : holders->mod_revision;
  const Time cooldown_end = PredecessorCooldownEnd(last_holders_);
  if (now >= cooldown_end) {
    Grant(now);
    return;
  }
  actions_.emplace_back(LeaseDeferred{.wait = cooldown_end - now});
  ScheduleRetry(now);
  next_ = cooldown_end;
}

Time LeaseKeeper::PredecessorCooldownEnd(
    const std::vector<InstanceId>& holders) const {
  const auto found = std::ranges::find(holders, options_.self);
  if (found != holders.end() && found != holders.begin()) {
    return started_ + options_.cooldown;
  }
  // The predecessor may have been the holder in the earlier era, which this one
  // has no record of, until its lease ran out. A process that is older than the
  // era knows its own turns. One that doesn't know the era's age seems older,
  // but doesn't take the duty before a lease has passed since its start.
  const Time last_unrecorded_turn =
      std::min(started_, era_began_ + options_.ttl);
  return started_ < era_began_ ? Time::min()
                               : last_unrecorded_turn + options_.cooldown;
}

void LeaseKeeper::OnEra(int64_t era, Duration age, Time now) {
  const bool era_changed = era_ != 0 && era != era_;
  era_ = era;
  era_began_ = now - age;
  era_safe_from_ = now + std::max(Duration::zero(), options_.ttl - age);
  if (era_changed) {
    // The restored service may have issued the lease's id to another instance,
    // so it isn't revoked.
    lease_ = 0;
    Drop("the key-value service was restored from an older copy", now);
  }
  if (phase_ == Phase::kIdle) {
    next_ = std::max(now, earliest_check());
  }
}

void LeaseKeeper::CheckNow(Time now) {
  if (wanted_ && phase_ == Phase::kIdle) {
    next_ = std::max(now, earliest_check());
  }
}

void LeaseKeeper::Tick(Time now) {
  if (phase_ == Phase::kHeld && remaining(now) == Duration::zero()) {
    Drop("not renewed in time", now);
  }
  const bool late_grant =
      (phase_ == Phase::kTaking || phase_ == Phase::kResolving) &&
      now >= valid_until_ - options_.safety_margin;
  if (late_grant) {
    Revoke();
    ScheduleRetry(now);
  }
  if (!wanted_ || now < next_) {
    return;
  }
  switch (phase_) {
    case Phase::kIdle:
      CheckHolder(now);
      return;
    case Phase::kHeld:
      Renew(now);
      return;
    case Phase::kResolving:
      ReadHolder();
      next_ = now + Jittered(options_.retry_interval);
      return;
    case Phase::kChecking:
    case Phase::kGranting:
      // No reply arrived. If a lease was granted, it expires by itself.
      ScheduleRetry(now);
      return;
    case Phase::kTaking:
      ReadHolder();
      next_ = now + Jittered(options_.retry_interval);
      return;
  }
}

Time LeaseKeeper::next_due() const {
  if (phase_ == Phase::kHeld) {
    return std::min(next_, valid_until_ - options_.safety_margin);
  }
  return wanted_ ? next_ : Time::max();
}

std::vector<LeaseAction> LeaseKeeper::TakeActions() {
  return std::exchange(actions_, {});
}

std::optional<int64_t> LeaseKeeper::FenceFor(Time now,
                                             Duration order_time) const {
  const Duration left = remaining(now);
  if (left <= Duration::zero() || left < order_time) {
    return std::nullopt;
  }
  return fence_;
}

Duration LeaseKeeper::remaining(Time now) const {
  if (phase_ != Phase::kHeld) {
    return Duration::zero();
  }
  return std::max(Duration::zero(),
                  valid_until_ - options_.safety_margin - now);
}

void LeaseKeeper::Drop(const std::string& reason, Time now) {
  const bool held = phase_ == Phase::kHeld;
  Revoke();
  if (held) {
    actions_.emplace_back(LeaseDropped{.fence = fence_, .reason = reason});
    holder_ = InstanceId();
  }
  ScheduleRetry(now);
  if (held) {
    next_ = std::max(next_, now + options_.cooldown);
    cooldown_until_ = now + options_.cooldown;
  }
}

void LeaseKeeper::ScheduleRetry(Time now) {
  phase_ = Phase::kIdle;
  pending_ = 0;
  lease_ = 0;
  next_ = std::max(now + Jittered(options_.retry_interval), era_safe_from_);
}

void LeaseKeeper::OnAcquired(int64_t revision, Time now) {
  const int64_t fence = (era_ << kRevisionBits) + revision;
  CheckInvariant(fence > fence_, "lease_fence_monotone", [&] {
    return fmt::format("The lease \"{}\" came with fence {} after {}.",
                       options_.duty, fence, fence_);
  });
  phase_ = Phase::kHeld;
  fence_ = fence;
  holder_ = options_.self;
  next_ = now + options_.renew_interval;
  if (remaining(now) == Duration::zero()) {
    // The reply arrived too late for the lease. LeaseTaken wasn't emitted, so
    // there is nothing to drop.
    Revoke();
    ScheduleRetry(now);
    return;
  }
  actions_.emplace_back(LeaseTaken{.fence = fence});
}

void LeaseKeeper::Revoke() {
  if (lease_ == 0) {
    return;
  }
  SendStoreRequest(StoreLeaseRevoke{.call = NextCall(), .lease = lease_});
  lease_ = 0;
}

void LeaseKeeper::ReadHolder() {
  phase_ = Phase::kResolving;
  pending_ = NextCall();
  SendStoreRequest(StoreRange{.call = pending_, .key = key_, .prefix = false});
}

// A grant costs writes, so an instance that waits for the duty only reads.
void LeaseKeeper::CheckHolder(Time now) {
  phase_ = Phase::kChecking;
  pending_ = NextCall();
  next_ = now + Jittered(options_.ttl);
  SendStoreRequest(StoreRange{.call = pending_, .key = key_, .prefix = true});
}

void LeaseKeeper::Grant(Time now) {
  phase_ = Phase::kGranting;
  sent_at_ = now;
  pending_ = NextCall();
  next_ = now + Jittered(options_.ttl);
  SendStoreRequest(StoreLeaseGrant{.call = pending_, .ttl = options_.ttl});
}

void LeaseKeeper::Renew(Time now) {
  sent_at_ = now;
  pending_ = NextCall();
  next_ = now + options_.renew_interval;
  SendStoreRequest(StoreLeaseKeepAlive{.call = pending_, .lease = lease_});
}

Duration LeaseKeeper::Jittered(Duration duration) {
  const double part = absl::Uniform(gen_, 1 - kJitter, 1 + kJitter);
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(duration.count()) * part));
}

StoreCall LeaseKeeper::NextCall() { return ++call_; }

}  // namespace oleander
