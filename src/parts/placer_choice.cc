#include "oleander/placer_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleander {
namespace {

// Most cores first; among equals the hash gives an order that is independent of
// the naming of instances.
auto RankOf(const PlacerCandidate& candidate) {
  const std::string& name = candidate.instance.value();
  return std::tuple(-candidate.cores, XXH64(name.data(), name.size(), 0),
                    candidate.instance);
}

}  // namespace

void PlacerChoice::SetCandidates(
    const std::vector<PlacerCandidate>& candidates) {
  std::vector<PlacerCandidate> in_region;
  std::ranges::copy_if(candidates, std::back_inserter(in_region),
                       [this](const PlacerCandidate& candidate) {
                         return candidate.region == region_;
                       });
  std::ranges::sort(in_region, {}, RankOf);
  in_region.resize(std::min(in_region.size(), options_.max_candidates));
  ranked_.clear();
  std::ranges::transform(in_region, std::back_inserter(ranked_),
                         &PlacerCandidate::instance);
  absl::erase_if(backoffs_, [this](const auto& item) {
    return std::ranges::find(ranked_, item.first) == ranked_.end();
  });
}

std::optional<InstanceId> PlacerChoice::Current(Time now) const {
  const auto found =
      std::ranges::find_if(ranked_, [&](const InstanceId& placer) {
        const auto backoff = backoffs_.find(placer);
        return backoff == backoffs_.end() || now >= backoff->second.until;
      });
  return found == ranked_.end() ? std::nullopt : std::optional(*found);
}

bool PlacerChoice::OnTimeout(Time now, const InstanceId& placer) {
  Backoff& backoff = backoffs_[placer];
  if (now < backoff.until) {
    return false;  // A query that was open when the backoff started.
  }
  backoff.length = backoff.length == Duration::zero()
                       ? options_.initial_backoff
                       : std::min(backoff.length * 2, options_.max_backoff);
  backoff.until = now + backoff.length;
  return true;
}

void PlacerChoice::OnRetired(Time now, const InstanceId& placer) {
  backoffs_[placer] = {.until = now + options_.max_backoff,
                       .length = options_.max_backoff};
}

}  // namespace oleander
