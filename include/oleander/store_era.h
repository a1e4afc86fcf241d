// Tracks the era of the key-value service: the generation of its content.
//
// A service that was restored from an older copy has lost the writes that it
// acknowledged after that copy, and issues the same revisions and lease ids
// again. Each restore begins a new era, and each reply names its era. Knowledge
// based on revisions, leases or the order of writes is not valid in a later
// era.
//
// The minimum age of an era matters too: right after a restore the service may
// hold an older configuration, and an instance may still act as holder of a
// duty that the service no longer has a record of. An instance derives the age
// from its own first reply in the era, and from records and peers that observed
// the era earlier.
//
//   StoreEra era;
//   era.OnChange([&](StoreEra::Change change) { ... });
//   if (!era.Observe(now, named)) return;  // A late reply of an older era.
//   if (era.age(now) < std::chrono::seconds(2)) ...
#ifndef OLEANDER_STORE_ERA_H_
#define OLEANDER_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "oleander/types.h"

namespace oleander {

// The newest era known to this instance, and its minimum age.
class StoreEra {
 public:
  enum class Change {
    kFirstObserved,  // The first reply that named an era.
    kRestored,       // A later era than before.
    kAgeExtended,    // A peer or a record observed the same era earlier.
  };
  using Listener = std::function<void(Change change)>;

  // Adds a listener. Listeners are called in the order of their registration,
  // before Observe() or OnReportedAge() returns.
  void OnChange(Listener listener) {
    listeners_.push_back(std::move(listener));
  }

  // The deployment starts for the first time: before the first observed era
  // there were no writes and no holders of duties.
  void MarkNewDeployment() { new_deployment_ = true; }
  // A reply of the service or a message of a peer names its era, which is at
  // least 1. Returns false if that era is over; the rest of the message must
  // then be ignored.
  bool Observe(Time now, int64_t era);
  // A peer or a record observed `era` in force at least `age` ago.
  void OnReportedAge(Time now, int64_t era, Duration age);

  // The era in force. 0 if no reply has named one; such a service was never
  // restored.
  int64_t current() const { return era_; }
  // Returns the minimum age of the era in force; Duration::max() if no other
  // era preceded it.
  Duration age(Time now) const;
  // Returns the age to report to peers and in records, limited to one hour.
  Duration reported_age(Time now) const;

 private:
  void Notify(Change change) const;

  std::vector<Listener> listeners_;
  bool new_deployment_ = false;
  int64_t era_ = 0;
  Time since_ = Time::min();
};

}  // namespace oleander

#endif  // OLEANDER_STORE_ERA_H_
