// Chooses the placer of an instance's region: the instance that decides where
// the calls for models of all instances of the region go.
//
// The instances of a region agree on the placer without exchanging messages:
// among the live ones with the most cores, a hash of the id decides. An
// instance that didn't answer in time is skipped for a backoff time, and the
// next candidate is queried. If no candidate is left, an instance places its
// calls itself.
//
//   PlacerChoice choice(region);
//   choice.SetCandidates(candidates);
//   if (auto placer = choice.Current(now)) Query(*placer);
//
// Designed for placers that die, hang, are partitioned off or shut down.
#ifndef OLEANDER_PLACER_CHOICE_H_
#define OLEANDER_PLACER_CHOICE_H_

#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct PlacerCandidate {
  InstanceId instance;
  RegionId region;
  double cores = 1;  // The candidate with the most cores ranks first.
};

struct PlacerChoiceOptions {
  // How long a placer is skipped after its first timeout. The backoff doubles
  // with each further one, up to max_backoff.
  Duration initial_backoff = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(4);
  // Number of candidates considered. Instances differ in which others they
  // believe alive, and a long list would spread them over many placers.
  size_t max_candidates = 3;
};

class PlacerChoice {
 public:
  explicit PlacerChoice(RegionId region, PlacerChoiceOptions options = {})
      : options_(options), region_(std::move(region)) {}

  // Sets the live instances, including this one. Those of other regions are
  // ignored.
  void SetCandidates(const std::vector<PlacerCandidate>& candidates);

  // Returns the placer to query, or nothing if this instance has to place its
  // calls itself.
  std::optional<InstanceId> Current(Time now) const;
  // Ends the placer's backoff.
  void OnAnswer(const InstanceId& placer) { backoffs_.erase(placer); }
  // Records a query without an answer. Returns whether this starts a backoff;
  // false if the placer already is in one.
  bool OnTimeout(Time now, const InstanceId& placer);
  // Records that the instance has stopped placing calls: skips it for
  // max_backoff.
  void OnRetired(Time now, const InstanceId& placer);

 private:
  struct Backoff {
    Time until;
    Duration length{};
  };

  PlacerChoiceOptions options_;
  RegionId region_;
  std::vector<InstanceId> ranked_;
  absl::flat_hash_map<InstanceId, Backoff> backoffs_;
};

}  // namespace oleander

#endif  // OLEANDER_PLACER_CHOICE_H_
