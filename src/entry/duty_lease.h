// Drives a LeaseKeeper over the store: one duty that one instance holds.
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

class DutyLease {
 public:
  // `on_taken` is called each time the duty becomes this instance's.
  DutyLease(io::EventLoop& loop, ports::StorePort& store, EntryMetrics& metrics,
            LeaseOptions options, uint64_t seed,
            std::function<void()> on_taken);

  void Want(bool want);
  // The store answers in this era; see LeaseKeeper::OnEra.
  void OnEra(const StoreEra& era);
  // The fencing number where the duty is held for at least `order_time` more.
  std::optional<int64_t> FenceFor(Duration order_time) const;

 private:
  void Drive();
  // Follows the duty's key, so that its loss is seen without asking again and
  // again.
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
  uint64_t watch_round_ = 0;  // Answers of earlier rounds are ignored.
  int64_t watched_era_ = 0;
  int64_t watched_revision_ = 0;
  io::Timer timer_;
  io::Timer watch_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_DUTY_LEASE_H_
