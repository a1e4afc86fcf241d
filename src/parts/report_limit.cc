#include "oleander/report_limit.h"

namespace oleander {

bool ReportLimit::Allows(Time now, uint64_t subject) {
  const auto known = reported_at_.find(subject);
  if (known != reported_at_.end()) {
    if (now - known->second < options_.interval) {
      return false;
    }
    known->second = now;
    return true;
  }
  if (reported_at_.size() >= options_.max_subjects) {
    absl::erase_if(reported_at_, [&](const auto& item) {
      return now - item.second >= options_.interval;
    });
  }
  if (reported_at_.size() >= options_.max_subjects) {
    return false;
  }
  reported_at_.emplace(subject, now);
  return true;
}

}  // namespace oleander
