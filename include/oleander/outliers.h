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
  int failures_in_a_row = 3;
  double floor = 0.5;  // At least this share of the pool stays in use.
  Duration first_shed = std::chrono::seconds(30);
  Duration longest_shed = std::chrono::minutes(5);
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

  bool IsShed(Time now, const ServerId& server) const;
  // When the server gets work again; a time not after `now` where it is in use.
  Time shed_until(const ServerId& server) const;
  int shed_count(Time now) const;

 private:
  struct State {
    double slowness = 1;  // Moving average.
    int samples = 0;
    int failures_in_a_row = 0;
    int sheds_in_a_row = 0;
    Time shed_until{};
  };

  double MedianSlowness() const;
  bool FloorAllows(Time now) const;
  void Shed(Time now, State& state);

  OutlierOptions options_;
  absl::flat_hash_map<ServerId, State> servers_;
};

}  // namespace oleander

#endif  // OLEANDER_OUTLIERS_H_
