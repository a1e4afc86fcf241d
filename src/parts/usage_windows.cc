#include "oleander/usage_windows.h"

#include <cmath>
#include <utility>

namespace oleander {

void UsageWindows::Shift(Duration change) {
  const auto shift =
      static_cast<int64_t>(std::llround(static_cast<double>(change.count()) /
                                        static_cast<double>(window_.count())));
  if (shift == 0) {
    return;
  }
  std::map<int64_t, UsageCounts> shifted;
  for (auto& [window, counts] : windows_) {
    shifted.emplace(window + shift, std::move(counts));
  }
  windows_ = std::move(shifted);
}

}  // namespace oleander
