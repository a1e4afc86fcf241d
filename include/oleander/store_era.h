// Which life of the key-value service answers.
//
// A service that was brought back from an older copy has lost what it had
// acknowledged since, and gives out the same revisions and leases again. It
// counts those returns: each answer names its era. Whatever an instance knows
// by a revision, a lease or an order of writes is worth nothing in a later era.
//
// How long an era has surely lasted matters too: right after a return the
// service may hold an older configuration, and the holder of a duty that it has
// forgotten may still act. An instance knows it from its own first answer of
// the era, and from records and peers that saw it earlier.
//
//   StoreEra era;
//   era.OnNews([&](StoreEra::News news) { ... });
//   if (!era.Observe(now, told)) return;  // A late answer of an older era.
//   if (era.age(now) < std::chrono::seconds(2)) ...
#ifndef OLEANDER_STORE_ERA_H_
#define OLEANDER_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "oleander/types.h"

namespace oleander {

class StoreEra {
 public:
  enum class Change {
    kFirstObserved,  // The first answer that named its era.
    kRestored,       // A later era than before.
    kAgeExtended,    // The same era, seen earlier by somebody else.
  };
  using Listener = std::function<void(Change change)>;

  // Listeners are called in the order in which they came, before Observe()
  // returns.
  void OnChange(Listener listener) {
    listeners_.push_back(std::move(listener));
  }

  // The whole deployment starts for the first time: nothing was written, and no
  // duty held, before the era that is heard first.
  void MarkNewDeployment() { new_deployment_ = true; }
  // An answer of the service, or a peer, names its era, from 1 on. False: it is
  // of an older era, and what else it says is worth nothing.
  bool Observe(Time now, int64_t era);
  // Somebody saw `era` in force that long ago, or longer.
  void OnReportedAge(Time now, int64_t era, Duration age);

  // 0: no answer has named one; such a service never came back.
  int64_t current() const { return era_; }
  // How long the era in force has surely lasted; the longest duration where
  // nothing was before it.
  Duration age(Time now) const;
  // The same for peers and records, an hour at most.
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
