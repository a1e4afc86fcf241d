// Retry policy: a retry budget, exponential backoff with jitter, a deadline
// check, and hedging.
//
// Calls that must not run twice aren't handled here; see ledger.h.
//
//   RetryBudget budget({.share = 0.1, .burst = 10});
//   Backoff backoff({}, seed);
//   if (budget.TryTake(service)) {
//     timer = loop.After(backoff.Next(), retry);
//   }
#ifndef OLEANDER_RETRIES_H_
#define OLEANDER_RETRIES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct RetryBudgetOptions {
  double share = 0.1;  // Retries earned by each success.
  // Most retries that a service can accumulate; see RetryBudget for fractions.
  double burst = 10;
  double initial = 10;  // Retries of a new service, at most as many.
};

// The operators' bound on the retries of a service over all instances: within a
// window of some seconds at most `share` times the calls, plus `slack`.
struct SharedRetryBound {
  double share = 0;
  double slack = 0;
};

// Returns the budget of one of `instances` instances. Each earns retries by its
// own calls, and all that they have accumulated together stays within the
// slack. An instance starts with no whole retry, because otherwise a restart of
// the fleet would spend the slack again, but with a `fraction` of one. Drawn
// between 0 and 1, the fractions keep a fleet from earning its retries at the
// same time.
RetryBudgetOptions RetryBudgetPerInstance(const SharedRetryBound& bound,
                                          size_t instances, double fraction);

// Bounds the extra load of retries to a fraction of the successes, per service,
// so that retries can't sustain an overload.
//
// Retries beyond `burst` are lost whole, and the fraction remains. With a share
// of 0.5 and a burst of 0.25, successes without retries lead to 0, 0.5, 1, 0.5,
// 1, ...: 1.5 would exceed the burst by a whole retry, of which 0.5 remains.
// A service thus holds a whole retry for a quarter of the successes on average,
// and 100 instances with different fractions hold 25 retries together.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  // Replaces the share and burst of all services; retries accumulated beyond
  // the new burst are lost.
  void SetOptions(RetryBudgetOptions options);
  // Replaces the share of one service (`budget_share` in its profile).
  void SetShare(const ServiceId& service, double share);
  void OnSuccess(const ServiceId& service);
  // Takes one retry and returns true, or returns false if none is left.
  bool TryTake(const ServiceId& service);
  // Returns the retries that can be taken now.
  int64_t remaining(const ServiceId& service) const;

 private:
  struct Account {
    double tokens = 0;
    double share = 0;
  };
  Account& AccountOf(const ServiceId& service);

  RetryBudgetOptions options_;
  absl::flat_hash_map<ServiceId, Account> accounts_;
};

struct BackoffOptions {
  Duration initial = std::chrono::milliseconds(20);
  Duration maximum = std::chrono::seconds(2);
  double factor = 2;
  // Each delay is drawn uniformly from [(1 - jitter) * d, d].
  double jitter = 0.5;
};

// The delays between the attempts of one request.
class Backoff {
 public:
  Backoff(BackoffOptions options, uint64_t seed);

  // Returns the delay before the next attempt and advances one step.
  Duration Next();
  // Returns to the shortest delay; call it after progress was made.
  void Reset();
  int steps() const { return steps_; }

 private:
  BackoffOptions options_;
  std::mt19937_64 random_;
  int steps_ = 0;
};

// Returns whether an attempt that starts after `delay` and takes about
// `expected` can end by `deadline`; always true without a deadline.
bool FitsDeadline(Time now, Duration delay, Duration expected,
                  std::optional<Time> deadline);

struct HedgeOptions {
  // A hedge is due when the first token takes longer than this multiple of the
  // expected time.
  double lateness = 3;
  Duration minimum_wait = std::chrono::milliseconds(100);
  int64_t max_output_tokens = 256;  // Longer work is never hedged.
};

struct HedgeState {
  bool allowed = false;  // `hedge` in the profile.
  int64_t output_tokens = 0;
  Duration waited{};
  Duration expected_first_token{};
  bool first_token_seen = false;
};

// Returns whether to send a second copy of short model work to another server.
// The caller takes the hedge from the retry budget.
bool HedgeIsDue(const HedgeOptions& options, const HedgeState& state);

}  // namespace oleander

#endif  // OLEANDER_RETRIES_H_
