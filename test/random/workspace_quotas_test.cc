// One quota over many instances: no window passes more than the operators'
// bound, whatever the load, the cuts and the restarts; what lies within the
// bound is not refused.
#include "oleander/workspace_quotas.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kTell = milliseconds(250);
const WorkspaceId kBakery("bakery");

struct Load {
  double tokens_per_s = 0;      // Over all instances.
  double mean_cost = 0;         // Of one call.
  std::vector<double> weights;  // How much comes to each instance.
};

// Some instances, the news between them, and the window that operators count.
class QuotaFleet {
 public:
  QuotaFleet(size_t instances, WorkspaceQuota quota, uint64_t seed)
      : quota_(quota), gen_(seed), cut_(instances, false) {
    for (size_t i = 0; i < instances; ++i) {
      nodes_.push_back(Fresh());
    }
  }

  void Restart(size_t node) { nodes_[node] = Fresh(); }
  void RestartAll() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Restart(i);
    }
  }
  void Cut(size_t node, bool cut) { cut_[node] = cut; }

  void Run(Duration length, const Load& load) {
    for (const Time end = now_ + length; now_ < end; now_ += kStep) {
      Arrivals(load);
      if (now_.time_since_epoch() % kTell == Duration::zero()) {
        Tell();
      }
      worst_ = std::max(worst_, InWindow());
    }
  }

  // The most that passed in any window.
  double worst() const { return worst_; }
  double asked() const { return asked_; }
  double passed() const { return passed_; }
  double bound() const {
    return (quota_.per_s * 8 + quota_.burst) * 1.1 + 140'000;
  }

 private:
  struct Node {
    WorkspaceQuotas quotas;
    uint64_t run = 0;
    uint64_t rounds = 0;
  };

  std::unique_ptr<Node> Fresh() {
    WorkspaceQuotaOptions options;
    options.overage = 0.1;
    options.slack = 140'000;
    auto node = std::make_unique<Node>(
        Node{.quotas = WorkspaceQuotas(options), .run = ++runs_, .rounds = 0});
    ServingConfigParts parts;
    Workspace workspace;
    workspace.id = kBakery;
    workspace.quota = quota_;
    parts.workspaces = {workspace};
    node->quotas.SetQuotas(now_, *ServingConfig::Create(std::move(parts)));
    node->quotas.SetInstances(cut_.size(), milliseconds(1500));
    return node;
  }

  void Arrivals(const Load& load) {
    const double mean = load.tokens_per_s / load.mean_cost *
                        std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> calls(mean);
    std::discrete_distribution<size_t> where(load.weights.begin(),
                                             load.weights.end());
    std::exponential_distribution<double> cost(1 / load.mean_cost);
    for (int left = calls(gen_); left > 0; --left) {
      const double tokens = std::min(cost(gen_), 60'000.0);
      asked_ += tokens;
      if (!nodes_[where(gen_)]->quotas.TryTake(now_, kBakery, tokens)) {
        passed_ += tokens;
        uses_.emplace_back(now_, tokens);
      }
    }
  }

  void Tell() {
    for (size_t from = 0; from < nodes_.size(); ++from) {
      ++nodes_[from]->rounds;
      for (size_t to = 0; to < nodes_.size(); ++to) {
        if (from != to && !cut_[from] && !cut_[to]) {
          nodes_[to]->quotas.OnPeer(
              now_, InstanceId("node-" + std::to_string(from)),
              nodes_[from]->run, nodes_[from]->rounds <= 8,
              nodes_[from]->quotas.totals());
        }
      }
    }
  }

  double InWindow() {
    while (!uses_.empty() && uses_.front().first <= now_ - seconds(8)) {
      uses_.pop_front();
    }
    double sum = 0;
    for (const auto& [at, tokens] : uses_) {
      sum += tokens;
    }
    return sum;
  }

  WorkspaceQuota quota_;
  std::mt19937_64 gen_;
  Time now_{};
  uint64_t runs_ = 0;
  std::vector<bool> cut_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::deque<std::pair<Time, double>> uses_;
  double worst_ = 0;
  double asked_ = 0;
  double passed_ = 0;
};

constexpr WorkspaceQuota kQuota = {
    .per_s = 120'000, .burst = 120'000, .in_tokens = true, .plain_tokens = 200};
const std::vector<double> kUneven = {5, 3, 2, 1, 1, 1, 0.5, 0.2};

BOOST_AUTO_TEST_SUITE(workspace_quotas)

BOOST_AUTO_TEST_CASE(a_workspace_within_its_rate_is_not_refused) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(8, kQuota, seed);
    fleet.Run(seconds(10),
              {.tokens_per_s = 1, .mean_cost = 1, .weights = kUneven});
    fleet.Run(seconds(60), {.tokens_per_s = kQuota.per_s * 0.6,
                            .mean_cost = 5'000,
                            .weights = kUneven});
    BOOST_TEST(fleet.passed() >= 0.99 * fleet.asked());
  }
}

BOOST_AUTO_TEST_SUITE(a_workspace_that_sends_many_times_its_rate)

const Load kFlood = {
    .tokens_per_s = 900'000, .mean_cost = 8'000, .weights = kUneven};

BOOST_AUTO_TEST_CASE(stays_within_the_bound_and_gets_its_rate) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(8, kQuota, seed);
    fleet.Run(seconds(60), kFlood);
    BOOST_TEST(fleet.worst() <= fleet.bound());
    BOOST_TEST(fleet.passed() >= kQuota.per_s * 50);
  }
}

BOOST_AUTO_TEST_CASE(stays_within_the_bound_while_instances_are_cut_off) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(8, kQuota, seed);
    fleet.Run(seconds(10), kFlood);
    for (const size_t node : {0, 1, 5}) {
      fleet.Cut(node, true);
    }
    fleet.Run(seconds(20), kFlood);
    for (const size_t node : {0, 1, 5}) {
      fleet.Cut(node, false);
    }
    fleet.Run(seconds(20), kFlood);
    BOOST_TEST(fleet.worst() <= fleet.bound());
  }
}

BOOST_AUTO_TEST_CASE(stays_within_the_bound_when_one_restarts) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(8, kQuota, seed);
    for (int round = 0; round < 6; ++round) {
      fleet.Run(seconds(5), kFlood);
      fleet.Restart(static_cast<size_t>(round) % 3);
    }
    BOOST_TEST(fleet.worst() <= fleet.bound());
  }
}

// tortared trouble-3: eight processes are killed at once at 13.0 s, while a
// workspace sends six times its usual.
BOOST_AUTO_TEST_CASE(stays_within_the_bound_when_all_restart) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(8, kQuota, seed);
    // Quiet first, so that as much as possible passes right before.
    fleet.Run(seconds(12),
              {.tokens_per_s = 1, .mean_cost = 1, .weights = kUneven});
    fleet.Run(milliseconds(2500), kFlood);
    fleet.RestartAll();
    fleet.Run(seconds(12), kFlood);
    BOOST_TEST(fleet.worst() <= fleet.bound());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(refused_callers_are_told_to_return_in_turn) {
  WorkspaceQuotas quotas;
  ServingConfigParts parts;
  Workspace workspace;
  workspace.id = kBakery;
  workspace.quota = {
      .per_s = 1000, .burst = 1000, .in_tokens = true, .plain_tokens = 1};
  parts.workspaces = {workspace};
  quotas.SetQuotas(Time(), *ServingConfig::Create(std::move(parts)));
  std::vector<Duration> waits;
  for (int call = 0; call < 20; ++call) {
    if (const auto wait = quotas.TryTake(Time(), kBakery, 500)) {
      waits.push_back(*wait);
    }
  }
  BOOST_TEST(waits.size() >= 18U);
  BOOST_TEST(std::ranges::is_sorted(waits));
  BOOST_TEST((waits.back() > waits.front() * 3));
}

BOOST_AUTO_TEST_CASE(a_call_costs_its_tokens_or_what_plain_calls_cost) {
  BOOST_TEST(QuotaCost(kQuota, 1000, 400) == 1400);
  BOOST_TEST(QuotaCost(kQuota, std::nullopt, 0) == 200);
  BOOST_TEST(QuotaCost({.per_s = 5, .burst = 5}, 1000, 400) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
