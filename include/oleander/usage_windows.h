// Counts the calls of each workspace that started to run in each usage window,
// on this instance or over all instances. A window is an interval of fixed
// length in agreed time (agreed_clock.h).
#ifndef OLEANDER_USAGE_WINDOWS_H_
#define OLEANDER_USAGE_WINDOWS_H_

#include <cstdint>
#include <map>

#include "oleander/types.h"

namespace oleander {

using UsageCounts = std::map<WorkspaceId, int64_t>;

class UsageWindows {
 public:
  // Windows start at multiples of `window` since the Unix epoch.
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

  // Returns the counts by window, oldest first.
  const std::map<int64_t, UsageCounts>& windows() const { return windows_; }
  // Moves all counts by a correction of the clock, rounded to whole windows.
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
