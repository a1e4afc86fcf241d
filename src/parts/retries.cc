#include "oleander/retries.h"

#include <algorithm>
#include <cmath>

#include "oleander/invariant.h"

namespace oleander {
namespace {

// The fraction of a shared bound that is used. The remainder covers that calls
// are counted where they arrive, a little after they are sent.
constexpr double kUsableShareOfBound = 0.8;

// Returns what remains of `tokens` when whole ones beyond the burst are lost.
double WithoutExcess(double tokens, double burst) {
  const double excess = std::floor(tokens - burst);
  return excess < 1 ? tokens : tokens - excess;
}

}  // namespace

RetryBudgetOptions RetryBudgetPerInstance(const SharedRetryBound& bound,
                                          size_t instances, double fraction) {
  const auto parts = static_cast<double>(std::max<size_t>(1, instances));
  return {.share = bound.share * kUsableShareOfBound,
          .burst = bound.slack * kUsableShareOfBound / parts,
          .initial = fraction};
}

RetryBudget::RetryBudget(RetryBudgetOptions options) : options_(options) {}

void RetryBudget::SetOptions(RetryBudgetOptions options) {
  options_ = options;
  for (auto& [service, account] : accounts_) {
    account.share = options.share;
    account.tokens = WithoutExcess(account.tokens, options.burst);
  }
}

void RetryBudget::SetShare(const ServiceId& service, double share) {
  AccountOf(service).share = share;
}

void RetryBudget::OnSuccess(const ServiceId& service) {
  Account& account = AccountOf(service);
  account.tokens =
      WithoutExcess(account.tokens + account.share, options_.burst);
}

bool RetryBudget::TryTake(const ServiceId& service) {
  Account& account = AccountOf(service);
  if (account.tokens < 1) {
    return false;
  }
  account.tokens -= 1;
  return true;
}

int64_t RetryBudget::remaining(const ServiceId& service) const {
  const auto found = accounts_.find(service);
  const double tokens = found == accounts_.end()
                            ? WithoutExcess(options_.initial, options_.burst)
                            : found->second.tokens;
  return static_cast<int64_t>(std::floor(tokens));
}

RetryBudget::Account& RetryBudget::AccountOf(const ServiceId& service) {
  const auto [entry, added] = accounts_.try_emplace(
      service,
      Account{.tokens = WithoutExcess(options_.initial, options_.burst),
              .share = options_.share});
  return entry->second;
}

Backoff::Backoff(BackoffOptions options, uint64_t seed)
    : options_(options), random_(seed) {}

Duration Backoff::Next() {
  const double grown = static_cast<double>(options_.initial.count()) *
                       std::pow(options_.factor, steps_);
  const double bounded =
      std::min(grown, static_cast<double>(options_.maximum.count()));
  if (grown < static_cast<double>(options_.maximum.count())) {
    ++steps_;
  }
  std::uniform_real_distribution<double> share(1 - options_.jitter, 1);
  return Duration(static_cast<int64_t>(bounded * share(random_)));
}

void Backoff::Reset() { steps_ = 0; }

bool FitsDeadline(Time now, Duration delay, Duration expected,
                  std::optional<Time> deadline) {
  return !deadline.has_value() || now + delay + expected <= *deadline;
}

bool HedgeIsDue(const HedgeOptions& options, const HedgeState& state) {
  if (!state.allowed || state.first_token_seen) {
    return false;
  }
  if (state.output_tokens > options.max_output_tokens) {
    return false;
  }
  const auto late = std::chrono::duration_cast<Duration>(
      state.expected_first_token * options.lateness);
  return state.waited >= std::max(options.minimum_wait, late);
}

}  // namespace oleander
