#include "oleander/load_coverage.h"

#include <algorithm>

namespace oleander {
namespace {

// As long as a load report counts; see server_loads.cc. An instance passes its
// loads on to each of the readers in turn within half of this.
constexpr Duration kMaxAge = std::chrono::milliseconds(2500);
// A reader counts for each of hundreds of queries a second.
constexpr Duration kExpiryInterval = std::chrono::milliseconds(100);

}  // namespace

void LoadCoverage::OnReaderCount(Time sent_at, const InstanceId& reader,
                                 size_t instances) {
  if (instances > 0) {
    readers_[reader] = {.at = sent_at, .instances = instances};
  }
}

size_t LoadCoverage::Heard(Time now) {
  if (now - expired_at_ >= kExpiryInterval) {
    expired_at_ = now;
    std::erase_if(heard_, [now](const auto& item) {
      return now - item.second > kMaxAge;
    });
  }
  return heard_.size() + 1;
}

double LoadCoverage::Share(Time now) {
  std::erase_if(readers_, [now](const auto& item) {
    return now - item.second.at > kMaxAge;
  });
  if (instances_ == 0) {
    return 0;
  }
  size_t known = Heard(now) + readers_.size();
  for (const auto& [reader, count] : readers_) {
    known = std::max(known, count.instances + readers_.size() - 1);
  }
  return std::min(1.0,
                  static_cast<double>(known) / static_cast<double>(instances_));
}

}  // namespace oleander
