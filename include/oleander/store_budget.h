// Limits this instance's calls to the key-value service to its share.
//
// The service handles a few hundred writes and two thousand reads per second
// from the whole fleet, and has outages. Each instance has token buckets whose
// rate is the fleet's rate divided by its size; more important classes may use
// tokens that are reserved from the others. After repeated failures a circuit
// breaker opens: calls are refused at once, and single calls probe the service
// at jittered, growing intervals, so that the instances of a fleet don't all
// return at the same time.
//
//   if (absl::Status may = budget.Take(StoreClass::kLease, true, now);
//       !may.ok()) {
//     return may;  // kStoreBudgetSpent or kStoreUnavailable; not sent.
//   }
//   ... send it, then budget.OnAnswer(now) or budget.OnFailure(now).
#ifndef OLEANDER_STORE_BUDGET_H_
#define OLEANDER_STORE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

#include "absl/random/distributions.h"
#include "absl/status/status.h"
#include "oleander/types.h"

namespace oleander {

// In order of importance; a class may use tokens that are reserved from the
// classes after it.
enum class StoreClass { kLease = 0, kClaim = 1, kProfile = 2, kOther = 3 };
inline constexpr size_t kStoreClasses = 4;

std::string_view StoreClassName(StoreClass store_class);

struct StoreBudgetOptions {
  // Limits of the whole fleet, calls per second.
  double fleet_writes_per_s = 300;
  double fleet_reads_per_s = 1600;
  // The size of a bucket, as the time in which it fills at the full rate.
  Duration burst = std::chrono::seconds(2);
  int failures_to_open = 5;  // Consecutive failures.
  Duration initial_probe_interval = std::chrono::milliseconds(500);
  Duration max_probe_interval = std::chrono::seconds(8);
  // After the circuit closes, the rate rises linearly to the full share.
  Duration ramp = std::chrono::seconds(5);
};

enum class StoreCircuit { kClosed, kOpen, kProbing };

struct StoreBudgetCounters {
  std::array<uint64_t, kStoreClasses> taken{};
  std::array<uint64_t, kStoreClasses> refused{};
  uint64_t failures = 0;
  uint64_t opened = 0;
};

class StoreBudget {
 public:
  StoreBudget(const StoreBudgetOptions& options, uint64_t seed, Time now);

  // Sets the number of live instances, among which the fleet's rate is divided.
  void SetInstances(size_t instances, Time now);

  // Takes one token. Otherwise returns kStoreBudgetSpent or kStoreUnavailable
  // with `retry_after`.
  absl::Status Take(StoreClass store_class, bool write, Time now);
  // Records any answer of the service, a rejection of the call included.
  void OnAnswer(Time now);
  // Records a call without an answer: a timeout or a broken connection.
  void OnFailure(Time now);

  StoreCircuit circuit() const { return circuit_; }
  const StoreBudgetCounters& counters() const { return counters_; }
  // Return this instance's share of the fleet's rate, per second.
  double writes_per_s() const;
  double reads_per_s() const;

 private:
  struct Bucket {
    double tokens = 0;
    Time filled;
  };

  double Rate(bool write) const;
  double BucketSize(double rate) const;
  void Refill(Bucket& bucket, double rate, Time now) const;
  double Ramp(Time now) const;
  void Open(Time now);
  Duration Jittered(Duration duration);
  absl::Status Refuse(StoreClass store_class, bool spent, Duration retry_after);

  StoreBudgetOptions options_;
  std::mt19937_64 gen_;
  size_t instances_ = 1;
  Bucket writes_;
  Bucket reads_;
  StoreCircuit circuit_ = StoreCircuit::kClosed;
  int failures_in_row_ = 0;
  Duration probe_interval_{};
  Time next_probe_;
  Time closed_at_;
  StoreBudgetCounters counters_;
};

}  // namespace oleander

#endif  // OLEANDER_STORE_BUDGET_H_
