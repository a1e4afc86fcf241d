#include "oleander/store_era.h"

#include <algorithm>

namespace oleander {

bool StoreEra::Observe(Time now, int64_t era) {
  if (era == era_) {
    return true;
  }
  if (era < era_) {
    return false;
  }
  const bool first = era_ == 0;
  era_ = era;
  since_ = first && new_deployment_ ? Time::min() : now;
  Notify(first ? Change::kFirstObserved : Change::kRestored);
  return true;
}

void StoreEra::OnReportedAge(Time now, int64_t era, Duration age) {
  const bool earlier =
      era == era_ && era != 0 && since_ != Time::min() && now - age < since_;
  if (earlier) {
    since_ = now - age;
    Notify(Change::kAgeExtended);
  }
}

Duration StoreEra::age(Time now) const {
  return since_ == Time::min() ? Duration::max() : now - since_;
}

Duration StoreEra::reported_age(Time now) const {
  return std::min<Duration>(age(now), std::chrono::hours(1));
}

void StoreEra::Notify(Change change) const {
  std::ranges::for_each(
      listeners_, [change](const Listener& listener) { listener(change); });
}

}  // namespace oleander
