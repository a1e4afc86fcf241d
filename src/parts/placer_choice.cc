#include "oleander/placer_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleander {
namespace {

// The most cores first; among equals an order that no name favours.
auto RankOf(const PlacerCandidate& candidate) {
  const std::string& name = candidate.instance.value();
  return std::tuple(-candidate.cores, XXH64(name.data(), name.size(), 0),
                    candidate.instance);
}

}  // namespace

void PlacerChoice::SetCandidates(
    const std::vector<PlacerCandidate>& candidates) {
  std::vector<PlacerCandidate> near;
  std::ranges::copy_if(candidates, std::back_inserter(near),
                       [this](const PlacerCandidate& candidate) {
                         return candidate.region == region_;
                       });
  std::ranges::sort(near, {}, RankOf);
  near.resize(std::min(near.size(), options_.ranked));
  ranked_.clear();
  std::ranges::transform(near, std::back_inserter(ranked_),
                         &PlacerCandidate::instance);
  absl::erase_if(passed_over_, [this](const auto& item) {
    return std::ranges::find(ranked_, item.first) == ranked_.end();
  });
}

std::optional<InstanceId> PlacerChoice::Current(Time now) const {
  const auto found =
      std::ranges::find_if(ranked_, [&](const InstanceId& placer) {
        const auto passed = passed_over_.find(placer);
        return passed == passed_over_.end() || now >= passed->second.until;
      });
  return found == ranked_.end() ? std::nullopt : std::optional(*found);
}

bool PlacerChoice::OnSilence(Time now, const InstanceId& placer) {
  PassedOver& passed = passed_over_[placer];
  if (now < passed.until) {
    return false;  // Several answers were awaited at once.
  }
  passed.next = passed.next == Duration::zero()
                    ? options_.pass_over
                    : std::min(passed.next * 2, options_.longest_pass_over);
  passed.until = now + passed.next;
  return true;
}

void PlacerChoice::OnRetired(Time now, const InstanceId& placer) {
  passed_over_[placer] = {.until = now + options_.longest_pass_over,
                          .next = options_.longest_pass_over};
}

}  // namespace oleander
