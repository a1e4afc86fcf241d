#include "oleander/agreed_clock.h"

#include <algorithm>
#include <functional>

namespace oleander {

std::optional<Duration> AgreedClock::OnPeer(Time now, const InstanceId& peer,
                                            WallTime time,
                                            Duration round_trip) {
  if (round_trip > options_.longest_trip) {
    return std::nullopt;
  }
  const Time told_at = now - round_trip / 2;
  votes_[peer] = {
      .offset = time.time_since_epoch() - told_at.time_since_epoch(),
      .heard_at = now};
  absl::erase_if(votes_, [this, now](const auto& item) {
    return now - item.second.heard_at > options_.kept_for;
  });
  std::vector<Duration> offsets = {offset_};
  for (const auto& [id, vote] : votes_) {
    offsets.push_back(vote.offset);
  }
  std::ranges::sort(offsets);
  const Duration middle = offsets[offsets.size() / 2];
  const auto agree = std::ranges::count_if(offsets, [&](Duration offset) {
    return std::chrono::abs(offset - middle) <= options_.tolerance;
  });
  const bool majority = static_cast<size_t>(agree) * 2 > offsets.size();
  const bool differs = std::chrono::abs(middle - offset_) > options_.tolerance;
  return majority && differs ? Adopt(middle) : std::nullopt;
}

std::optional<Duration> AgreedClock::OnBirths(Time now,
                                              std::vector<WallTime> births) {
  if (births.size() < options_.least_births) {
    return std::nullopt;
  }
  const auto witness =
      births.begin() + static_cast<int64_t>(options_.least_births) - 1;
  std::ranges::nth_element(births, witness, std::greater<>());
  if (*witness <= At(now) + options_.tolerance) {
    return std::nullopt;
  }
  return Adopt(witness->time_since_epoch() - now.time_since_epoch());
}

std::optional<Duration> AgreedClock::Adopt(Duration offset) {
  const Duration change = offset - offset_;
  offset_ = offset;
  return change;
}

}  // namespace oleander
