// Counts how many calls of each workspace began to run in each window of true
// time, here and over all instances.
#ifndef OLEANDER_USAGE_WINDOWS_H_
#define OLEANDER_USAGE_WINDOWS_H_

#include <cstdint>
#include <map>

#include "oleander/types.h"

namespace oleander {

using UsageCounts = std::map<WorkspaceId, int64_t>;

class UsageWindows {
 public:
  // Windows begin at multiples of `window` since the start of 1970.
  explicit UsageWindows(Duration window) : window_(window) {}

  void CountStarted(WallTime when, const WorkspaceId& workspace) {
    ++windows_[WindowOf(when)][workspace];
  }

  int64_t WindowOf(WallTime when) const {
    return when.time_since_epoch() / window_;
  }
  WallTime EndOf(int64_t window) const {
    return WallTime(window_ * (window + 1));
  }

  // The counts by window, oldest first.
  const std::map<int64_t, UsageCounts>& windows() const { return windows_; }
  // The time of day was off by `change` so far; counts go to the windows that
  // they belong to, as far as the windows' lengths allow.
  void Shift(Duration change);
  // Drops the windows before `oldest`.
  void DropBefore(int64_t oldest) {
    windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
  }

 private:
  Duration window_;
  std::map<int64_t, UsageCounts> windows_;
};

}  // namespace oleander

#endif  // OLEANDER_USAGE_WINDOWS_H_
