// Holds one duty at a time: a lease in the key-value service with a fencing
// number, checked against the monotonic clock before each order.
//
//   LeaseKeeper keeper({.duty = "capacity/stgo-a", .self = self}, seed, now);
//   keeper.Want(true, now);
//   ...
//   if (auto fence = keeper.FenceFor(now, order_time)) SendOrder(*fence);
//
// The holder counts its time from the moment it *sent* the last successful
// renewal and stops `stop_early` before the service would let the lease lapse;
// a process that was paused finds the time gone at its next check. The fencing
// number is the revision at which the lease's key was created, below the era of
// the service; it grows with every change of holder, also when the service
// comes back from an older copy and counts revisions anew. That copy may lack
// the key of a holder that still acts, so nobody takes the duty until an era
// has lasted as long as a lease.
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
  // Margin for clocks of different rate and for the renewal's way.
  Duration safety_margin = std::chrono::seconds(2);
  // Between two looks at whether the duty is free: one read each.
  Duration retry_interval = std::chrono::seconds(2);
  // After giving the duty up or losing it, another instance gets this long
  // before this one asks again, so that two don't take turns in quick order.
  Duration cooldown = Duration::zero();
};

// The duty became this instance's, with this fencing number.
struct LeaseTaken {
  int64_t fence = 0;
};
// The duty is no longer this instance's: lapsed, lost or given up.
struct LeaseDropped {
  int64_t fence = 0;
  std::string reason;
};

using LeaseAction = std::variant<StoreRequest, LeaseTaken, LeaseDropped>;

class LeaseKeeper {
 public:
  LeaseKeeper(LeaseOptions options, uint64_t seed, Time now);

  // Whether this instance is to hold the duty; giving it up revokes the lease.
  void Want(bool want, Time now);

  // Answers to store requests, by call number; other calls are ignored.
  void OnLease(StoreCall call, const absl::StatusOr<StoreLeaseAnswer>& answer,
               Time now);
  void OnCas(StoreCall call, const absl::StatusOr<StoreCasAnswer>& answer,
             Time now);
  void OnRange(StoreCall call, const absl::StatusOr<StoreRangeAnswer>& answer,
               Time now);

  // The service answers in `era`, which has lasted for `age` at least. In a
  // later era than before a holder stops at once. Told again where the age is
  // found to be longer.
  void OnEra(int64_t era, Duration age, Time now);

  // The duty's key is told to have gone: looks at once instead of at its turn.
  void CheckNow(Time now);

  void Tick(Time now);
  Time next_due() const;
  std::vector<LeaseAction> TakeActions();

  // The fencing number where the lease is held for at least `order_time` more.
  // Ask right before each order.
  std::optional<int64_t> FenceFor(Time now, Duration order_time) const;
  // Time left for orders; zero where the lease is not held.
  Duration remaining(Time now) const;
  // The holder that the service named last, also another instance.
  const InstanceId& holder() const { return holder_; }
  const std::string& key() const { return key_; }

 private:
  enum class Phase { kIdle, kChecking, kGranting, kTaking, kResolving, kHeld };

  void Drop(const std::string& reason, Time now);
  void ScheduleRetry(Time now);
  void OnAcquired(int64_t revision, Time now);
  void Revoke();
  // When the duty may be taken, whoever had it before.
  Time earliest_check() const {
    return std::max(cooldown_until_, era_safe_from_);
  }
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
  std::mt19937_64 gen_;
  bool wanted_ = false;
  Phase phase_ = Phase::kIdle;
  StoreLeaseId lease_ = 0;
  int64_t fence_ = 0;
  InstanceId holder_;
  Time valid_until_;  // By this instance's clock, before stop_early.
  Time sent_at_;      // When the grant or renewal under way was sent.
  Time next_;
  Time cooldown_until_;
  int64_t era_ = 0;     // Of the service; 0: it names none.
  Time era_safe_from_;  // No holder of an earlier era acts any more.
  StoreCall call_ = 0;
  StoreCall pending_ = 0;
  std::vector<LeaseAction> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_LEASES_H_
