// When to try again: a budget, a back-off with jitter, and the deadline.
//
// Calls that may not repeat never come here; see ledger.h.
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
  double share = 0.1;   // Retries earned by each success.
  double burst = 10;    // The most a service can save up.
  double initial = 10;  // What a service has at first, up to the burst.
};

// The operators' bound on retries of a service, over all instances together: in
// some seconds at most `share` times the calls, and `slack` more.
struct SharedRetryBound {
  double share = 0;
  double slack = 0;
};

// The part of one instance where `instances` serve: each earns by its own
// calls, and all that they have saved up together stays within the slack.
// Nothing to start with, or each restart of all would spend the slack anew.
RetryBudgetOptions RetryBudgetPerInstance(const SharedRetryBound& bound,
                                          size_t instances);

// Bounds the extra load of retries to a share of the successes, per service, so
// that an overload can't feed itself.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  // Replaces shares and bursts of all services; what is saved up beyond the
  // burst goes.
  void SetOptions(RetryBudgetOptions options);
  // Replaces the share of one service (its profile's `budget_share`).
  void SetShare(const ServiceId& service, double share);
  void OnSuccess(const ServiceId& service);
  // Takes one retry where there is one left, and returns whether it did.
  bool TryTake(const ServiceId& service);
  double remaining(const ServiceId& service) const;

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
  // Each delay is drawn evenly from [(1 - jitter) * d, d].
  double jitter = 0.5;
};

// The delays between the attempts of one request.
class Backoff {
 public:
  Backoff(BackoffOptions options, uint64_t seed);

  // The delay before the next attempt; each call moves one step on.
  Duration Next();
  // Starts again from the shortest delay, after progress was made.
  void Reset();
  int steps() const { return steps_; }

 private:
  BackoffOptions options_;
  std::mt19937_64 random_;
  int steps_ = 0;
};

// Whether an attempt that starts after `delay` and takes about `expected` can
// end by `deadline`. Without a deadline it always can.
bool FitsDeadline(Time now, Duration delay, Duration expected,
                  std::optional<Time> deadline);

struct HedgeOptions {
  // A hedge is due when the first token takes longer than this multiple of
  // what was expected.
  double lateness = 3;
  Duration minimum_wait = std::chrono::milliseconds(100);
  int64_t max_output_tokens = 256;  // Longer work is never hedged.
};

struct HedgeState {
  bool allowed = false;  // The profile's `hedge`.
  int64_t output_tokens = 0;
  Duration waited{};
  Duration expected_first_token{};
  bool first_token_seen = false;
};

// Whether to send a second copy of short model work to another server. The
// caller takes the hedge from the retry budget.
bool HedgeIsDue(const HedgeOptions& options, const HedgeState& state);

}  // namespace oleander

#endif  // OLEANDER_RETRIES_H_
