// Runs a LeaseKeeper over the store. A duty is work that one instance at a time
// does for all; the instance that holds the lease of the duty does it.
#ifndef OLEANDER_ENTRY_DUTY_LEASE_H_
#define OLEANDER_ENTRY_DUTY_LEASE_H_

#include <functional>
#include <optional>

#include "entry/entry_metrics.h"
#include "io/event_loop.h"
#include "oleander/leases.h"
#include "oleander/store_era.h"
#include "ports/store_port.h"

namespace oleander::entry {

// Executes the actions of the LeaseKeeper and watches the key of the duty.
class DutyLease {
 public:
  // `on_taken` is called each time this instance acquires the duty.
  DutyLease(io::EventLoop& loop, ports::StorePort& store, EntryMetrics& metrics,
            LeaseOptions options, uint64_t seed,
            std::function<void()> on_taken);

  // Competes for the duty if `want` is true; otherwise releases it.
  void Want(bool want);
  // Handles a change of the era of the store or of its known age; see
  // LeaseKeeper::OnEra.
  void OnEra(const StoreEra& era);
  // Returns the fencing number if the duty is held for at least `order_time`
  // more. The number grows with each holder, so that a receiver can reject the
  // orders of an earlier one.
  std::optional<int64_t> FenceFor(Duration order_time) const;
  // Returns the key of the duty. While it is held, its value begins with the
  // id of this instance and a space.
  const std::string& key() const { return keeper_.key(); }

 private:
  // Advances the keeper, executes its actions and sets the timer.
  void Drive();
  // Waits for changes of the key of the duty, so that its release is noticed
  // without polling.
  void Watch();
  void OnChanges(uint64_t round,
                 const absl::StatusOr<ports::StoreChanges>& answer);
  void Send(const StoreRequest& request);

  io::EventLoop& loop_;
  ports::StorePort& store_;
  EntryMetrics& metrics_;
  LeaseKeeper keeper_;
  std::function<void()> on_taken_;
  bool wanted_ = false;
  bool watching_ = false;
  uint64_t watch_round_ = 0;  // Responses to earlier rounds are ignored.
  int64_t watched_era_ = 0;
  int64_t watched_revision_ = 0;
  io::Timer timer_;
  io::Timer watch_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_DUTY_LEASE_H_
