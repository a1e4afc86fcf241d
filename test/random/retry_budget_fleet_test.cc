// A fleet's retries stay within the operators' bound in every sliding window,
// whatever each instance believes about the size of the fleet.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <ranges>
#include <vector>

#include "oleander/recent_maximum.h"
#include "oleander/retries.h"
#include "support/virtual_time.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(10);
constexpr Duration kStep = milliseconds(100);
constexpr size_t kStepsPerWindow = kWindow / kStep;
constexpr SharedRetryBound kBound{.share = 0.2, .slack = 56};
// Attempts that a failed call makes at most beyond the first.
constexpr int kRepeats = 3;
// A retry arrives up to this long after it was taken.
constexpr Duration kMostDelay = milliseconds(300);
constexpr size_t kAssumedInstances = 400;
constexpr Duration kRetryStartTime = seconds(2);
constexpr Duration kInstancesMemory = std::chrono::minutes(30);

// What the operators count, in steps of time.
class OperatorsCount {
 public:
  void OnRequest(Time at) { ++StepAt(requests_, at); }
  void OnRepeat(Time at) { ++StepAt(repeats_, at); }

  struct Result {
    double excess = 0;  // Most repeats beyond the bound of a window.
    double used = 0;    // The largest part of a window's bound.
  };
  Result Check() const {
    Result result{.excess = -kBound.slack};
    const size_t steps = std::max(requests_.size(), repeats_.size());
    for (size_t begin = 0; begin < steps; ++begin) {
      const double repeats = Sum(repeats_, begin);
      double requests = Sum(requests_, begin);
      for (const size_t back : {kStepsPerWindow / 2, kStepsPerWindow}) {
        if (begin >= back) {
          requests = std::max(requests, Sum(requests_, begin - back));
        }
      }
      const double bound = kBound.share * requests + kBound.slack;
      result.excess = std::max(result.excess, repeats - bound);
      result.used = std::max(result.used, repeats / bound);
    }
    return result;
  }

 private:
  static int& StepAt(std::vector<int>& steps, Time at) {
    const auto step = static_cast<size_t>(at.time_since_epoch() / kStep);
    steps.resize(std::max(steps.size(), step + 1));
    return steps[step];
  }
  static double Sum(const std::vector<int>& steps, size_t begin) {
    auto window =
        steps | std::views::drop(begin) | std::views::take(kStepsPerWindow);
    double sum = 0;
    std::ranges::for_each(window, [&sum](int count) { sum += count; });
    return sum;
  }

  std::vector<int> requests_;
  std::vector<int> repeats_;
};

struct FleetOptions {
  size_t instances = 8;
  double per_s = 50;
  // Requests go to the instances in turn instead of at random.
  bool in_turn = false;
  uint64_t seed = 1;
};

// Instances whose calls succeed in calm and want every retry while all servers
// fail.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options)
      : options_(options), draw_(options.seed) {
    for (size_t i = 0; i < options.instances; ++i) {
      instances_.push_back(Start(i));
      See(i, options.instances);
    }
    time_.After(Duration(0), [this] { Ask(); });
  }

  void RunFor(Duration duration) { time_.RunUntil(time_.now() + duration); }
  void SetFailing(bool failing) { failing_ = failing; }
  void Restart(size_t index) { instances_[index] = Start(index); }
  // The instance reads the records and counts so many live ones.
  void See(size_t index, size_t live) {
    Instance& instance = instances_[index];
    instance.knows_records = true;
    instance.budget.SetOptions(RetryBudgetPerInstance(
        kBound, instance.most_live.Observe(time_.now(), live),
        instance.fraction));
  }
  void AllSee(size_t live) {
    for (size_t i = 0; i < instances_.size(); ++i) {
      See(i, live);
    }
  }
  OperatorsCount::Result Check() const { return count_.Check(); }

 private:
  struct Instance {
    double fraction = 0;
    RetryBudget budget;
    RecentMaximum most_live{kInstancesMemory};
    uint64_t run = 0;
    bool knows_records = false;
  };

  Instance Start(size_t index) {
    constexpr uint64_t kSteps = 1'000'000;
    const double fraction = static_cast<double>(draw_.Below(kSteps)) / kSteps;
    const uint64_t run = ++runs_;
    time_.After(kRetryStartTime, [this, index, run] {
      Instance& instance = instances_[index];
      if (instance.run == run && !instance.knows_records) {
        instance.budget.SetOptions(RetryBudgetPerInstance(
            kBound, kAssumedInstances, instance.fraction));
      }
    });
    return {.fraction = fraction,
            .budget = RetryBudget(RetryBudgetPerInstance(kBound, 1, fraction)),
            .run = run};
  }

  void Ask() {
    const size_t index = options_.in_turn ? ++turn_ % instances_.size()
                                          : draw_.Below(instances_.size());
    count_.OnRequest(time_.now());
    instances_[index].budget.OnSuccess(service_);
    if (failing_) {
      FailCall(index, kRepeats);
    }
    const auto mean = static_cast<int64_t>(1e6 / options_.per_s);
    time_.After(options_.in_turn
                    ? Duration(mean)
                    : draw_.Between(Duration(0), Duration(2 * mean)),
                [this] { Ask(); });
  }

  void FailCall(size_t index, int repeats_left) {
    if (repeats_left == 0 || !instances_[index].budget.TryTake(service_)) {
      return;
    }
    time_.After(draw_.Between(Duration(0), kMostDelay),
                [this, index, repeats_left] {
                  count_.OnRepeat(time_.now());
                  FailCall(index, repeats_left - 1);
                });
  }

  FleetOptions options_;
  test::Draw draw_;
  test::VirtualTime time_;
  const ServiceId service_{"model"};
  std::vector<Instance> instances_;
  OperatorsCount count_;
  size_t turn_ = 0;
  uint64_t runs_ = 0;
  bool failing_ = false;
};

constexpr Duration kCalm = seconds(600);
constexpr Duration kOutage = seconds(25);

std::vector<FleetOptions> Fleets() {
  std::vector<FleetOptions> fleets;
  const uint64_t first_seed =
      test::FromEnvironment("OLEANDER_RETRY_FLEET_SEED", 1);
  for (const size_t instances : {size_t{8}, size_t{90}, size_t{360}}) {
    for (const double per_s : {3.0, 20.0, 100.0, 400.0}) {
      for (const bool in_turn : {false, true}) {
        for (uint64_t seed = first_seed; seed < first_seed + 3; ++seed) {
          fleets.push_back({.instances = instances,
                            .per_s = per_s,
                            .in_turn = in_turn,
                            .seed = seed});
        }
      }
    }
  }
  return fleets;
}

// Plays a day in every fleet and checks the bound.
template <typename Day>
void Play(Day day) {
  for (const FleetOptions& options : Fleets()) {
    BOOST_TEST_CONTEXT(options.instances
                       << " instances, " << options.per_s << " calls/s, "
                       << (options.in_turn ? "in turn" : "at random")
                       << ", seed " << options.seed) {
      Fleet fleet(options);
      day(fleet, options);
      BOOST_TEST(fleet.Check().excess <= 0);
    }
  }
}

void Fail(Fleet& fleet, Duration duration) {
  fleet.SetFailing(true);
  fleet.RunFor(duration);
  fleet.SetFailing(false);
}

BOOST_AUTO_TEST_SUITE(retries_of_a_fleet)

BOOST_AUTO_TEST_CASE(keep_the_bound_when_all_servers_fail_after_a_calm) {
  Play([](Fleet& fleet, const FleetOptions&) {
    fleet.RunFor(kCalm);
    Fail(fleet, kOutage);
    fleet.RunFor(kCalm / 10);
    Fail(fleet, kOutage);
  });
}

BOOST_AUTO_TEST_CASE(keep_the_bound_when_each_half_counts_only_itself) {
  Play([](Fleet& fleet, const FleetOptions& options) {
    fleet.RunFor(kCalm / 2);
    fleet.AllSee(options.instances / 2);
    fleet.RunFor(kCalm / 2);
    Fail(fleet, kOutage);
    fleet.AllSee(options.instances);
    Fail(fleet, kOutage);
  });
}

BOOST_AUTO_TEST_CASE(keep_the_bound_when_some_count_too_few_for_a_while) {
  Play([](Fleet& fleet, const FleetOptions& options) {
    fleet.RunFor(kCalm);
    for (size_t i = 0; i < options.instances; i += 2) {
      fleet.See(i, 1 + i / 2);
    }
    fleet.RunFor(seconds(60));
    Fail(fleet, kOutage);
  });
}

BOOST_AUTO_TEST_CASE(keep_the_bound_through_restarts) {
  Play([](Fleet& fleet, const FleetOptions& options) {
    fleet.RunFor(kCalm);
    fleet.SetFailing(true);
    for (size_t i = 0; i < options.instances; i += 3) {
      fleet.Restart(i);
      fleet.RunFor(kOutage / static_cast<int64_t>(options.instances));
      fleet.See(i, options.instances);
    }
    fleet.RunFor(kOutage);
  });
}

BOOST_AUTO_TEST_CASE(keep_the_bound_when_all_start_cold_at_once) {
  Play([](Fleet& fleet, const FleetOptions& options) {
    fleet.RunFor(kCalm / 10);
    Fail(fleet, seconds(5));
    for (size_t i = 0; i < options.instances; ++i) {
      fleet.Restart(i);
      // The first read finds the records of those that started earlier.
      fleet.See(i, i + 1);
    }
    Fail(fleet, milliseconds(1500));
    fleet.AllSee(options.instances);
    Fail(fleet, kOutage);
  });
}

BOOST_AUTO_TEST_CASE(keep_the_bound_when_all_start_without_the_store) {
  Play([](Fleet& fleet, const FleetOptions& options) {
    fleet.RunFor(kCalm / 10);
    for (const Duration until_failure : {seconds(2), seconds(20)}) {
      for (size_t i = 0; i < options.instances; ++i) {
        fleet.Restart(i);
      }
      fleet.RunFor(until_failure);
      Fail(fleet, kOutage);
    }
  });
}

// Whoever loses the memory with a restart may still find too few records, of a
// store that lost them, until the next read.
BOOST_AUTO_TEST_CASE(keep_the_bound_when_restarted_ones_count_too_few) {
  Play([](Fleet& fleet, const FleetOptions& options) {
    fleet.RunFor(kCalm);
    for (size_t i = 0; i < options.instances; i += 2) {
      fleet.Restart(i);
      fleet.See(i, 1 + i / 4);
    }
    fleet.RunFor(seconds(5));
    Fail(fleet, seconds(5));
    fleet.AllSee(options.instances);
    Fail(fleet, kOutage);
  });
}

BOOST_AUTO_TEST_CASE(use_most_of_the_bound_where_the_fleet_is_small) {
  for (const FleetOptions& options : Fleets()) {
    if (options.instances > 8) {
      continue;
    }
    BOOST_TEST_CONTEXT(options.per_s << " calls/s, seed " << options.seed) {
      Fleet fleet(options);
      fleet.RunFor(kCalm);
      Fail(fleet, kOutage);
      BOOST_TEST(fleet.Check().used >= 0.55);
    }
  }
}

BOOST_AUTO_TEST_CASE(use_much_of_the_bound_where_the_fleet_is_large) {
  for (const FleetOptions& options : Fleets()) {
    // With fewer calls, many instances have none that wants a retry.
    if (options.per_s < 100) {
      continue;
    }
    BOOST_TEST_CONTEXT(options.instances << " instances, " << options.per_s
                                         << " calls/s, seed " << options.seed) {
      Fleet fleet(options);
      fleet.RunFor(kCalm);
      Fail(fleet, kOutage);
      BOOST_TEST(fleet.Check().used >= 0.45);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
