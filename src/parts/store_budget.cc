#include "oleander/store_budget.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander {
namespace {

using Seconds = std::chrono::duration<double>;

// By class: the fraction of the bucket's size that is reserved for more
// important classes.
constexpr std::array<double, kStoreClasses> kReservedShare = {0, 0.2, 0.4, 0.6};
// Calls per second. A lower share wouldn't cover the renewal of one lease.
constexpr double kMinRate = 0.2;
// Lets one call of the last class pass, in a large fleet too.
constexpr double kMinBucketSize = 3;
constexpr double kMinRamp = 0.1;
constexpr double kJitter = 0.5;

Duration DurationOf(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

}  // namespace

std::string_view StoreClassName(StoreClass store_class) {
  constexpr std::array<std::string_view, kStoreClasses> kNames = {
      "lease", "claim", "profile", "rest"};
  return kNames[static_cast<size_t>(store_class)];
}

StoreBudget::StoreBudget(const StoreBudgetOptions& options, uint64_t seed,
                         Time now)
    : options_(options),
      gen_(seed),
      writes_{.tokens = 0, .filled = now},
      reads_{.tokens = 0, .filled = now},
      closed_at_(now - options.ramp) {
  writes_.tokens = BucketSize(Rate(true));
  reads_.tokens = BucketSize(Rate(false));
}

void StoreBudget::SetInstances(size_t instances, Time now) {
  Refill(writes_, Rate(true), now);
  Refill(reads_, Rate(false), now);
  instances_ = std::max<size_t>(1, instances);
}

absl::Status StoreBudget::Take(StoreClass store_class, bool write, Time now) {
  if (circuit_ != StoreCircuit::kClosed && now < next_probe_) {
    return Refuse(store_class, /*spent=*/false, next_probe_ - now);
  }
  Bucket& bucket = write ? writes_ : reads_;
  const double rate = Rate(write) * Ramp(now);
  Refill(bucket, rate, now);
  const double reserved = kReservedShare[static_cast<size_t>(store_class)] *
                          BucketSize(Rate(write));
  const double missing =
      std::min(reserved + 1, BucketSize(Rate(write))) - bucket.tokens;
  if (missing > 0) {
    return Refuse(store_class, /*spent=*/true, DurationOf(missing / rate));
  }
  bucket.tokens -= 1;
  CheckInvariant(bucket.tokens > -1, "store_budget_overdrawn", [&] {
    return fmt::format("The store budget fell to {} tokens.", bucket.tokens);
  });
  if (circuit_ != StoreCircuit::kClosed) {
    circuit_ = StoreCircuit::kProbing;
    next_probe_ = now + Jittered(probe_interval_);
  }
  ++counters_.taken[static_cast<size_t>(store_class)];
  return absl::OkStatus();
}

void StoreBudget::OnAnswer(Time now) {
  failures_in_row_ = 0;
  if (circuit_ == StoreCircuit::kClosed) {
    return;
  }
  circuit_ = StoreCircuit::kClosed;
  closed_at_ = now;
  probe_interval_ = Duration::zero();
}

void StoreBudget::OnFailure(Time now) {
  ++counters_.failures;
  ++failures_in_row_;
  const bool open = circuit_ == StoreCircuit::kProbing ||
                    failures_in_row_ >= options_.failures_to_open;
  if (open && (circuit_ != StoreCircuit::kOpen || now >= next_probe_)) {
    Open(now);
  }
}

double StoreBudget::writes_per_s() const { return Rate(true); }
double StoreBudget::reads_per_s() const { return Rate(false); }

double StoreBudget::Rate(bool write) const {
  const double fleet =
      write ? options_.fleet_writes_per_s : options_.fleet_reads_per_s;
  return std::max(kMinRate, fleet / static_cast<double>(instances_));
}

double StoreBudget::BucketSize(double rate) const {
  return std::max(kMinBucketSize, rate * Seconds(options_.burst).count());
}

void StoreBudget::Refill(Bucket& bucket, double rate, Time now) const {
  const double elapsed = Seconds(now - bucket.filled).count();
  bucket.filled = now;
  bucket.tokens =
      std::min(BucketSize(rate), bucket.tokens + std::max(0.0, elapsed) * rate);
}

// Returns the usable fraction of the share, which grows to 1 after an outage.
double StoreBudget::Ramp(Time now) const {
  if (options_.ramp <= Duration::zero()) {
    return 1;
  }
  const double part =
      Seconds(now - closed_at_).count() / Seconds(options_.ramp).count();
  return std::clamp(part, kMinRamp, 1.0);
}

void StoreBudget::Open(Time now) {
  if (circuit_ == StoreCircuit::kClosed) {
    ++counters_.opened;
    // Tokens accumulated before the outage aren't available at its end.
    writes_.tokens = 0;
    reads_.tokens = 0;
  }
  circuit_ = StoreCircuit::kOpen;
  probe_interval_ =
      probe_interval_ == Duration::zero()
          ? options_.initial_probe_interval
          : std::min(options_.max_probe_interval, probe_interval_ * 2);
  next_probe_ = now + Jittered(probe_interval_);
}

Duration StoreBudget::Jittered(Duration duration) {
  const double part = absl::Uniform(gen_, 1 - kJitter, 1 + kJitter);
  return DurationOf(Seconds(duration).count() * part);
}

absl::Status StoreBudget::Refuse(StoreClass store_class, bool spent,
                                 Duration retry_after) {
  ++counters_.refused[static_cast<size_t>(store_class)];
  const ResultCode code =
      spent ? ResultCode::kStoreBudgetSpent : ResultCode::kStoreUnavailable;
  const std::string_view why =
      spent ? "this instance's share of the rate is used up"
            : "it does not answer, and is probed with backoff";
  return MakeError(
      {.code = code, .ran = Ran::kNo, .retry_after = retry_after},
      fmt::format(
          "A call of class \"{}\" to the key-value service was refused: "
          "{}.",
          StoreClassName(store_class), why));
}

}  // namespace oleander
