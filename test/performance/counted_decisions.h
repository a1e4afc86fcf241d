// A seeded bench of the decisions in virtual time: the real routing, admission
// and capacity parts against small fakes of engines and of the cloud.
#ifndef TEST_PERFORMANCE_COUNTED_DECISIONS_H_
#define TEST_PERFORMANCE_COUNTED_DECISIONS_H_

#include <cmath>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/admission.h"
#include "oleander/capacity.h"
#include "oleander/routing.h"

namespace oleander::bench {

using Seconds = std::chrono::duration<double>;

// std::mt19937_64 gives the same numbers everywhere; the standard distributions
// need not.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}
  uint64_t Bits() { return engine_(); }
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }
  double Between(double low, double high) {
    return low + (high - low) * Unit();
  }
  int Below(int n) { return static_cast<int>(Unit() * n); }
  Seconds Exponential(double mean) {
    return Seconds(-mean * std::log(1 - Unit()));
  }

 private:
  std::mt19937_64 engine_;
};

enum class User { kTortared, kVoltabridge };
enum class Scenario { kDay, kDomainLoss, kOpening };

struct Call {
  Time arrives{};
  size_t number = 0;
  int instance = 0;
  int workspace = 0;
  bool interactive = true;
  std::vector<BlockHash> blocks;
  int prompt_tokens = 0;
  int answer_tokens = 0;
};

struct Workload {
  std::vector<Call> calls;  // By time of arrival.
  Time end{};
};

inline constexpr int kInstances = 8;
inline constexpr int kDomains = 3;
inline constexpr int kWorkspaces = 5;
inline constexpr Duration kHour = std::chrono::seconds(100);  // Of the bench.

MeasureWeights WeightsOf(User user);
Workload MakeWorkload(User user, Scenario scenario, uint64_t seed);
Place PlaceOf(int domain);  // Domains 0 and 1 share a region.

// One attempt of a call at an engine.
struct Job {
  int call = 0;
  uint64_t attempt = 0;
  int answer_tokens = 0;  // Still to be generated.
  int prompt_tokens = 0;  // With what was generated before.
  Time first_token{};
  Time between_tokens_at{};
};

// Batch slots, one prefill lane, a prefix cache of limited size.
struct Engine {
  ServerInfo info;
  double speed = 1;
  double hidden_speed = 1;  // A slowness that its reports don't tell.
  Time starts{};            // Takes work from here on.
  bool listed = false;
  bool leaving = false;
  bool alive = true;
  std::vector<Job> waiting;  // By priority, then time.
  std::vector<Job> prefilling;
  bool prefill_busy = false;
  std::vector<Job> decoding;
  std::list<BlockHash> recent;  // Most recently used first.
  absl::flat_hash_map<BlockHash, std::list<BlockHash>::iterator> cached;
  std::vector<CacheEvent> events;  // Since the last delivery.
  uint64_t next_event = 1;

  static constexpr int kSlots = 16;
  static constexpr double kPrefillRate = 6000;
  static constexpr size_t kCacheBlocks = 800;

  int running() const {
    return static_cast<int>(prefilling.size() + decoding.size());
  }
  int CachedBlocks(const std::vector<BlockHash>& blocks) const;
  void Touch(const std::vector<BlockHash>& blocks);
  Seconds BetweenTokens() const {
    return Seconds((0.018 + 0.0014 * running()) / std::min(1.0, speed));
  }
};

// How calls find their engine.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void SetServers(Time, std::span<const ServerInfo>) = 0;
  virtual void OnLoad(Time, const ServerLoad&) = 0;
  virtual void OnEvents(Time, const ServerId&, std::span<const CacheEvent>) {}
  virtual void OnLeaving(Time, const ServerId&) = 0;
  virtual void OnDraining(Time now, const ServerId& id, Time /*until*/) {
    OnLeaving(now, id);
  }
  virtual absl::StatusOr<Route> Choose(Time, const Call&,
                                       uint64_t random_bits) = 0;
  virtual void OnDispatched(Time, const Call&, uint64_t, const Route&) {}
  virtual void OnFirstToken(Time, uint64_t) {}
  virtual void OnEnded(Time, uint64_t, bool /*answered*/, int /*cached*/) {}
};

// Names of policies; "ours" with "-term" left out for the ablation.
std::unique_ptr<Policy> MakePolicy(const std::string& name, User user,
                                   int instance, uint64_t seed);

struct RunOptions {
  std::string policy = "ours";
  User user = User::kTortared;
  Scenario scenario = Scenario::kDay;
  uint64_t seed = 1;
  int fixed_servers = 0;  // Zero: the capacity planner decides.
  bool admission = false;
};

struct RunResult {
  int64_t calls = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t late_refusals = 0;        // Later than 100 ms after arrival.
  int64_t fairness_violations = 0;  // Refused while within the share.
  int64_t recomputed_tokens = 0;
  int64_t prefilled_tokens = 0;
  int64_t crossed_bytes = 0;
  double cost = 0;
  double first_token_p95 = 0;  // Seconds, interactive calls.
  double first_token_p99 = 0;
  double after_loss_p95 = 0;  // Of those that came in the minute of the loss.
  double between_p95 = 0;     // Seconds.
  double mean_servers = 0;

  bool MeetsTarget() const {
    return first_token_p95 <= 1.5 && after_loss_p95 <= 1.5 &&
           between_p95 <= 0.046 && refused * 50 <= calls &&
           answered + refused == calls;
  }
};

RunResult Run(const RunOptions& options, const Workload& workload);

// Prices, starts and reclaims of the cloud.
class Cloud {
 public:
  Cloud(uint64_t seed, Scenario scenario);
  std::vector<MarketPrice> Prices(Time now) const;
  double Price(Time now, const MarketKey& key) const;
  bool Refuses(Time now, const MarketKey& key) const;
  struct Wave {
    Time at{};
    int domain = 0;
    bool whole_domain = false;  // Everything, without notice.
  };
  const std::vector<Wave>& waves() const { return waves_; }

 private:
  std::vector<Wave> waves_;
  double phase_[kDomains] = {};
};

MarketKey KeyFor(int domain, Market market);

}  // namespace oleander::bench

#endif  // TEST_PERFORMANCE_COUNTED_DECISIONS_H_
