// Ejects backend servers that respond much more slowly than their pool, or
// fail.
//
// Only this instance's own observations count, never a server's load report: a
// slow server may report an empty queue.
#ifndef OLEANDER_OUTLIERS_H_
#define OLEANDER_OUTLIERS_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct OutlierOptions {
  double slow_factor = 3;         // Multiple of the pool's median slowness.
  int min_samples = 10;           // Minimum before a server can count as slow.
  int consecutive_failures = 3;   // A server is ejected at this count.
  double min_in_use_share = 0.5;  // Share of the pool that is never ejected.
  Duration base_ejection_time = std::chrono::seconds(30);
  Duration max_ejection_time = std::chrono::minutes(5);
};

// Detects the outliers of one pool (the servers of one service). Slowness is
// the observed time to first token divided by the expected one, so that long
// prompts don't make a server look slow. An ejected server gets no work until
// its ejection ends; each ejection in a row lasts twice as long as the one
// before, up to max_ejection_time.
class OutlierDetector {
 public:
  explicit OutlierDetector(const OutlierOptions& options = {});

  // Replaces the pool's servers. State of removed servers is dropped.
  void SetServers(const std::vector<ServerId>& servers);
  void OnLatency(Time now, const ServerId& server, Duration observed,
                 Duration expected);
  void OnFailure(Time now, const ServerId& server);
  void OnSuccess(const ServerId& server);

  bool IsEjected(Time now, const ServerId& server) const;
  // Returns when the server gets work again; a time in the past if it is in
  // use.
  Time ejected_until(const ServerId& server) const;
  int ejected_count(Time now) const;

 private:
  struct State {
    double slowness = 1;  // Moving average of observed over expected time.
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
