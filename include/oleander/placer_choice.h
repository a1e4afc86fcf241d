// Whom an instance asks where to send its calls for models.
//
// The instances of a region agree, without a message, on one that places such
// calls for all of them: of those that live, one with the most cores, by hash.
// One that owes an answer is passed over for a while, and the next one asked;
// where none is left an instance places its calls itself.
//
//   PlacerChoice choice(region);
//   choice.SetCandidates(candidates);
//   if (auto placer = choice.Current(now)) Ask(*placer);
//
// Load it answers: placers that die, hang, are cut off or stop.
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
  double cores = 1;  // Those with the most are chosen.
};

struct PlacerChoiceOptions {
  // How long one that gave no answer is passed over; it is asked again then,
  // and each time without an answer doubles this.
  Duration initial_backoff = std::chrono::milliseconds(500);
  Duration max_backoff = std::chrono::seconds(4);
  // Those that may be asked in turn; instances differ in whom they believe to
  // live, and a long list would spread them.
  size_t max_candidates = 3;
};

class PlacerChoice {
 public:
  explicit PlacerChoice(RegionId region, PlacerChoiceOptions options = {})
      : options_(options), region_(std::move(region)) {}

  // Instances that live, this one among them.
  void SetCandidates(const std::vector<PlacerCandidate>& candidates);

  // Nothing: this instance chooses itself.
  std::optional<InstanceId> Current(Time now) const;
  void OnAnswer(const InstanceId& placer) { backoffs_.erase(placer); }
  // Whether it is passed over from now on, and wasn't before.
  bool OnTimeout(Time now, const InstanceId& placer);
  // It says that it places no more.
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
