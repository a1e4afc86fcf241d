// Leader election for one duty: a lease in the key-value service with a fencing
// number, checked against the monotonic clock before each order.
//
//   LeaseKeeper keeper({.duty = "capacity/stgo-a", .self = self}, seed, now);
//   keeper.Want(true, now);
//   ...
//   if (auto fence = keeper.FenceFor(now, order_time)) SendOrder(*fence);
//
// A duty is a task that only one instance may perform at a time. Its holder
// measures the lease from the time at which it *sent* the last successful
// renewal, and stops `safety_margin` before the service would expire the lease.
// A process that was suspended therefore finds its lease expired at its next
// check.
//
// The fencing number lets receivers of orders reject an earlier holder. It is
// the era of the service (the generation of its content, see store_era.h),
// followed in the lower bits by the revision at which the lease's key was
// created. It grows with every change of holder, also when the service is
// restored from an older copy and reuses revisions. That copy may lack the key
// of a holder that still acts, so no instance takes the duty until an era has
// lasted as long as a lease.
//
// A second key, without a lease, names the last holders. From it a new process
// of an instance learns that its predecessor held the duty, and that another
// instance has held it since. It then doesn't take the duty back before the
// cooldown has passed since its own start.
#ifndef OLEANDER_LEASES_H_
#define OLEANDER_LEASES_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/random/distributions.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander {

struct LeaseOptions {
  std::string duty;  // Such as "capacity/stgo-a".
  InstanceId self;
  Duration ttl = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  // Orders stop this long before the lease expires. Covers different clock
  // rates and the transit time of a renewal.
  Duration safety_margin = std::chrono::seconds(2);
  // Between two checks whether the duty is free, which cost one read each.
  Duration retry_interval = std::chrono::seconds(2);
  // After this instance gave the duty up or lost it, it doesn't try again for
  // this long, so that two instances don't alternate in quick succession. Also
  // applies across a restart of the process, if another instance has held the
  // duty meanwhile.
  Duration cooldown = Duration::zero();
};

// This instance has acquired the duty, with this fencing number.
struct LeaseTaken {
  int64_t fence = 0;
};
// This instance no longer holds the duty: the lease expired, was lost or was
// given up.
struct LeaseDropped {
  int64_t fence = 0;
  std::string reason;
};

// The duty is free, but this instance must not take it yet: an earlier process
// of it may have held the duty right before the last holder.
struct LeaseDeferred {
  Duration wait{};
};

using LeaseAction =
    std::variant<StoreRequest, LeaseTaken, LeaseDropped, LeaseDeferred>;

// The state machine of one instance's lease on one duty. It does no I/O:
// TakeActions() returns the requests to send to the key-value service.
class LeaseKeeper {
 public:
  LeaseKeeper(LeaseOptions options, uint64_t seed, Time now);

  // Sets whether this instance should hold the duty. With false, a lease that
  // is held is revoked.
  void Want(bool want, Time now);

  // The replies to store requests, matched by call number. Replies to other
  // calls are ignored.
  void OnLease(StoreCall call, const absl::StatusOr<StoreLeaseAnswer>& answer,
               Time now);
  void OnCas(StoreCall call, const absl::StatusOr<StoreCasAnswer>& answer,
             Time now);
  void OnRange(StoreCall call, const absl::StatusOr<StoreRangeAnswer>& answer,
               Time now);

  // The service replies in `era`, which has lasted for at least `age`. If the
  // era is another one than before, a holder drops the duty at once. Called
  // again when the age is found to be longer.
  void OnEra(int64_t era, Duration age, Time now);

  // The duty's key was reported as removed: checks at once instead of at the
  // next interval.
  void CheckNow(Time now);

  // Sends renewals, checks and retries that are due, and drops a lease that has
  // run out.
  void Tick(Time now);
  // The time of the next Tick() that has work; Time::max() for never.
  Time next_due() const;
  std::vector<LeaseAction> TakeActions();

  // Returns the fencing number if the lease is held for at least `order_time`
  // more, else nullopt. Must be called right before each order.
  std::optional<int64_t> FenceFor(Time now, Duration order_time) const;
  // Returns the time left for orders; zero if the lease is not held.
  Duration remaining(Time now) const;
  // The holder that the service named last; may be another instance.
  const InstanceId& holder() const { return holder_; }
  const std::string& key() const { return key_; }

 private:
  enum class Phase {
    kIdle,       // Waits for the next check, or the duty isn't wanted.
    kChecking,   // Reads whether another instance holds the duty.
    kGranting,   // Requests a lease from the service.
    kTaking,     // Creates the duty's key with that lease.
    kResolving,  // Reads the key back after a lost reply to its creation.
    kHeld,
  };

  // Ends the current phase and, if the duty was held, reports it as dropped.
  void Drop(const std::string& reason, Time now);
  // Returns to kIdle and schedules the next check.
  void ScheduleRetry(Time now);
  // The duty's key, created at `revision`, names this instance and lease.
  void OnAcquired(int64_t revision, Time now);
  void Revoke();
  // The earliest time at which the duty may be taken, after this instance's
  // cooldown and after any holder of an earlier era has stopped.
  Time earliest_check() const {
    return std::max(cooldown_until_, era_safe_from_);
  }
  // Returns the end of the cooldown of an earlier process of this instance,
  // given the last holders of this era, newest first.
  Time PredecessorCooldownEnd(const std::vector<InstanceId>& holders) const;
  // Reads the key back to find out whether a lost creation took effect.
  void ReadHolder();
  void OnRenewed(const absl::StatusOr<StoreLeaseAnswer>& answer, Time now);
  void OnChecked(const absl::StatusOr<StoreRangeAnswer>& answer, Time now);
  void CheckHolder(Time now);
  void Grant(Time now);
  void Renew(Time now);
  Duration Jittered(Duration duration);
  template <typename Request>
  void SendStoreRequest(Request request) {
    actions_.emplace_back(std::in_place_type<StoreRequest>, std::move(request));
  }
  StoreCall NextCall();

  LeaseOptions options_;
  std::string key_;
  std::string holders_key_;  // Names the last holders.
  // The content of that key when it was last read.
  std::vector<InstanceId> last_holders_;
  int64_t holders_revision_ = 0;  // 0 if the key didn't exist.
  Time started_;                  // When this process started.
  std::mt19937_64 gen_;
  bool wanted_ = false;
  Phase phase_ = Phase::kIdle;
  StoreLeaseId lease_ = 0;
  int64_t fence_ = 0;
  InstanceId holder_;
  Time valid_until_;  // By this instance's clock, without safety_margin.
  Time sent_at_;      // When the pending grant or renewal was sent.
  Time next_;
  Time cooldown_until_;
  int64_t era_ = 0;               // The era that the service names, or 0.
  Time era_began_ = Time::min();  // At the latest.
  Time era_safe_from_;  // From then on no holder of an earlier era acts.
  StoreCall call_ = 0;
  StoreCall pending_ = 0;
  std::vector<LeaseAction> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_LEASES_H_
