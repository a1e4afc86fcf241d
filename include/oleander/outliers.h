// Sheds backend servers that answer much slower than their pool, or fail.
//
// The judgement rests on this instance's own observations, never on what a
// server says of itself: a slow server may report an empty queue.
#ifndef OLEANDER_OUTLIERS_H_
#define OLEANDER_OUTLIERS_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct OutlierOptions {
  double slow_factor = 3;  // Of the pool's median slowness.
  int min_samples = 10;
  int consecutive_failures = 3;
  double min_in_use_share =
      0.5;  // At least this share of the pool stays in use.
  Duration base_ejection_time = std::chrono::seconds(30);
  Duration max_ejection_time = std::chrono::minutes(5);
};

// Watches one pool. Slowness is the observed first-token time over the expected
// one, so that a long prompt does not make its server look slow.
class OutlierDetector {
 public:
  explicit OutlierDetector(const OutlierOptions& options = {});

  // The pool's servers; what is known of those that are gone is dropped.
  void SetServers(const std::vector<ServerId>& servers);
  void OnLatency(Time now, const ServerId& server, Duration observed,
                 Duration expected);
  void OnFailure(Time now, const ServerId& server);
  void OnSuccess(const ServerId& server);

  bool IsEjected(Time now, const ServerId& server) const;
  // When the server gets work again; a time not after `now` where it is in use.
  Time ejected_until(const ServerId& server) const;
  int ejected_count(Time now) const;

 private:
  struct State {
    double slowness = 1;  // Moving average.
    int samples = 0;
    int consecutive_failures = 0;
    int consecutive_ejections = 0;
    Time ejected_until{};
  };

  double MedianSlowness() const;
  bool MayEject(Time now) const;
  void Eject(Time now, State& state);

  OutlierOptions options_;
  absl::flat_hash_map<ServerId, State> servers_;
};

}  // namespace oleander

#endif  // OLEANDER_OUTLIERS_H_
