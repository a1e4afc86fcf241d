#include "oleander/agreed_clock.h"

#include <algorithm>
#include <functional>

namespace oleander {

std::optional<Duration> AgreedClock::OnPeerTime(Time now,
                                                const InstanceId& peer,
                                                WallTime time,
                                                Duration round_trip) {
  if (round_trip > options_.max_round_trip) {
    return std::nullopt;
  }
  const Time measured_at = now - round_trip / 2;
  votes_[peer] = {
      .offset = time.time_since_epoch() - measured_at.time_since_epoch(),
      .received_at = now};
  absl::erase_if(votes_, [this, now](const auto& item) {
    return now - item.second.received_at > options_.vote_lifetime;
  });
  std::vector<Duration> offsets = {offset_};
  for (const auto& [id, vote] : votes_) {
    offsets.push_back(vote.offset);
  }
  std::ranges::sort(offsets);
  const Duration median = offsets[offsets.size() / 2];
  const auto agree = std::ranges::count_if(offsets, [&](Duration offset) {
    return std::chrono::abs(offset - median) <= options_.tolerance;
  });
  const bool majority = static_cast<size_t>(agree) * 2 > offsets.size();
  const bool differs = std::chrono::abs(median - offset_) > options_.tolerance;
  return majority && differs ? Adopt(median) : std::nullopt;
}

std::optional<Duration> AgreedClock::OnServerStarts(
    Time now, std::vector<WallTime> starts) {
  if (starts.size() < options_.min_later_starts) {
    return std::nullopt;
  }
  const auto candidate =
      starts.begin() + static_cast<int64_t>(options_.min_later_starts) - 1;
  std::ranges::nth_element(starts, candidate, std::greater<>());
  if (*candidate <= At(now) + options_.tolerance) {
    return std::nullopt;
  }
  return Adopt(candidate->time_since_epoch() - now.time_since_epoch());
}

std::optional<Duration> AgreedClock::Adopt(Duration offset) {
  const Duration change = offset - offset_;
  offset_ = offset;
  return change;
}

}  // namespace oleander
