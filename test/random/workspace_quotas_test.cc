// One quota shared by many instances: no window passes more than the operators'
// bound under any load, partition or restart, and load within the bound isn't
// refused.
#include "oleander/workspace_quotas.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "oleander/quota_allocator.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
const WorkspaceId kBakery("bakery");

struct Load {
  double tokens_per_s = 0;      // Over all instances.
  double mean_cost = 0;         // Per call.
  std::vector<double> weights;  // Relative load of each instance.
};

// The sizes of current fleets and of the next larger ones.
const std::vector<size_t> kFleetSizes = {8, 90, 300};

// Simulates instances, their messages with delays, and the window in which the
// operators count.
class QuotaFleet {
 public:
  QuotaFleet(size_t instances, WorkspaceQuota quota, uint64_t seed)
      : quota_(quota), gen_(seed), cut_(instances, false) {
    for (size_t i = 0; i < instances; ++i) {
      nodes_.push_back(NewNode());
    }
    std::ranges::for_each(std::views::iota(size_t{0}, instances),
                          [this](size_t i) { ConfigureNode(i); });
  }

  void Restart(size_t node) {
    nodes_[node] = NewNode();
    ConfigureNode(node);
  }
  void RestartAll() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Restart(i);
    }
  }
  // A dead instance takes no calls and sends no answers.
  void Kill(size_t node) { nodes_[node].reset(); }
  // Partitions an instance: messages between it and all others are lost.
  void Cut(size_t node, bool cut) { cut_[node] = cut; }
  // If true, partitioned instances can reach each other.
  void CutTogether(bool together) { cut_together_ = together; }
  // Returns the first allocator in the ranking for the bakery's group.
  size_t Allocator() const {
    const auto ranking = RankAllocators(LocationOf(0), Candidates());
    const std::string name = ranking.at(QuotaGroupOf(kBakery)).front().value();
    return std::stoul(name.substr(name.find('-') + 1));
  }

  void Run(Duration length, const Load& load) {
    for (const Time end = now_ + length; now_ < end; now_ += kStep) {
      Arrivals(load);
      Deliver();
      for (size_t i = 0; i < nodes_.size(); ++i) {
        SendPending(i);
      }
      worst_ = std::max(worst_, CostInWindow());
    }
  }

  // Returns the highest cost that passed in any window.
  double worst() const { return worst_; }
  double offered() const { return offered_; }
  double passed() const { return passed_; }
  void ResetCounts() { offered_ = passed_ = 0; }
  uint64_t messages() const { return messages_; }
  double bound() const {
    return (quota_.per_s * 8 + quota_.burst) * 1.1 + 140'000;
  }

 private:
  static constexpr size_t kDomains = 6;

  struct Node {
    WorkspaceQuotas quotas;
    QuotaAllocator allocator;
    std::map<uint64_t, double> waiting;  // Costs by ticket.
  };
  struct Message {
    Time due;
    size_t from = 0;
    size_t to = 0;
    std::variant<QuotaRequest, QuotaGrant> body;
  };

  static InstanceId NameOf(size_t node) {
    return InstanceId("node-" + std::to_string(node));
  }
  static Location LocationOf(size_t node) {
    const size_t domain = node % kDomains;
    return {.region = RegionId("r" + std::to_string(domain % 2)),
            .domain = DomainId("d" + std::to_string(domain))};
  }
  std::vector<AllocatorCandidate> Candidates() const {
    std::vector<AllocatorCandidate> candidates;
    candidates.reserve(cut_.size());
    for (size_t i = 0; i < cut_.size(); ++i) {
      candidates.push_back({.instance = NameOf(i),
                            .domain = LocationOf(i).domain,
                            .region = LocationOf(i).region,
                            .cores = i % 7 == 0 ? 0.5 : 0.12});
    }
    return candidates;
  }

  std::unique_ptr<Node> NewNode() {
    const QuotaBound bound{.overage = 0.1, .slack = 140'000};
    auto node = std::make_unique<Node>(
        Node{.quotas = WorkspaceQuotas({.bound = bound}, gen_()),
             .allocator = QuotaAllocator({.bound = bound}, gen_()),
             .waiting = {}});
    ServingConfigParts parts;
    Workspace workspace;
    workspace.id = kBakery;
    workspace.quota = quota_;
    parts.workspaces = {workspace};
    const auto config = ServingConfig::Create(std::move(parts));
    node->quotas.SetQuotas(now_, *config);
    node->allocator.SetQuotas(now_, *config);
    return node;
  }

  // The candidates include dead instances.
  void ConfigureNode(size_t node) {
    nodes_[node]->quotas.SetInstances(cut_.size());
    nodes_[node]->allocator.SetInstances(cut_.size());
    nodes_[node]->quotas.SetAllocators(
        now_, RankAllocators(LocationOf(node), Candidates()));
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
      const size_t node = where(gen_);
      if (nodes_[node] == nullptr) {
        continue;
      }
      offered_ += tokens;
      const auto ticket = nodes_[node]->quotas.TryTake(now_, kBakery, tokens,
                                                       milliseconds(200));
      if (ticket) {
        nodes_[node]->waiting[*ticket] = tokens;
      } else {
        Pass(tokens);
      }
    }
  }

  void Pass(double tokens) {
    passed_ += tokens;
    uses_.emplace_back(now_, tokens);
  }

  void SendPending(size_t node) {
    if (nodes_[node] == nullptr) {
      return;
    }
    Node& it = *nodes_[node];
    it.quotas.Tick(now_);
    for (const OutgoingQuotaRequest& request : it.quotas.TakeRequests(now_)) {
      const std::string& name = request.to.value();
      Send(node, std::stoul(name.substr(name.find('-') + 1)), request.request);
    }
    for (const QuotaDecision& decision : it.quotas.TakeDecisions()) {
      const auto cost = it.waiting.find(decision.ticket);
      BOOST_REQUIRE(cost != it.waiting.end());
      if (decision.passes) {
        Pass(cost->second);
      }
      it.waiting.erase(cost);
    }
    for (const QuotaNotice& notice : it.allocator.TakeNotices(now_)) {
      const std::string& name = notice.to.value();
      Send(node, std::stoul(name.substr(name.find('-') + 1)), notice.grant);
    }
  }

  // A message takes one step within a region and three across regions.
  void Send(size_t from, size_t to,
            std::variant<QuotaRequest, QuotaGrant> body) {
    const bool far = LocationOf(from).region != LocationOf(to).region;
    const bool apart = from != to && (cut_[from] || cut_[to]) &&
                       !(cut_together_ && cut_[from] && cut_[to]);
    messages_ += from == to ? 0 : 1;
    if (!apart) {
      messages_by_due_.push_back({.due = now_ + kStep * (far ? 3 : 1),
                                  .from = from,
                                  .to = to,
                                  .body = std::move(body)});
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_by_due_, [&](Message& message) {
      const bool is_due = message.due <= now_;
      if (is_due) {
        due.push_back(std::move(message));
      }
      return is_due;
    });
    for (const Message& message : due) {
      if (nodes_[message.to] == nullptr) {
        continue;
      }
      Node& to = *nodes_[message.to];
      if (const auto* request = std::get_if<QuotaRequest>(&message.body)) {
        Send(message.to, message.from,
             to.allocator.OnRequest(now_, NameOf(message.from), *request));
      } else {
        to.quotas.OnGrant(now_, NameOf(message.from),
                          std::get<QuotaGrant>(message.body));
      }
    }
  }

  double CostInWindow() {
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
  std::vector<bool> cut_;
  bool cut_together_ = false;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Message> messages_by_due_;
  uint64_t messages_ = 0;
  std::deque<std::pair<Time, double>> uses_;
  double worst_ = 0;
  double offered_ = 0;
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
    BOOST_TEST(fleet.passed() >= 0.99 * fleet.offered());
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

// Eight processes are killed at 13.0 s while a workspace sends six times its
// usual load (run tortared trouble-3).
BOOST_AUTO_TEST_CASE(stays_within_the_bound_when_all_restart) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(8, kQuota, seed);
    // Low load first, so that as much as possible passes right before the
    // restart.
    fleet.Run(seconds(12),
              {.tokens_per_s = 1, .mean_cost = 1, .weights = kUneven});
    fleet.Run(milliseconds(2500), kFlood);
    fleet.RestartAll();
    fleet.Run(seconds(12), kFlood);
    BOOST_TEST(fleet.worst() <= fleet.bound());
  }
}

BOOST_AUTO_TEST_SUITE_END()

// A quota that grows with the fleet, so that each instance has the same load.
WorkspaceQuota QuotaOf(size_t instances) {
  const double per_s = 15'000.0 * static_cast<double>(instances);
  return {
      .per_s = per_s, .burst = per_s, .in_tokens = true, .plain_tokens = 200};
}
std::vector<double> Skewed(size_t instances) {
  std::vector<double> weights(instances);
  for (size_t i = 0; i < instances; ++i) {
    weights[i] = 0.2 + static_cast<double>((i * 7919) % 13) / 4;
  }
  return weights;
}
Load LoadOf(size_t instances, double times_the_rate) {
  return {.tokens_per_s = QuotaOf(instances).per_s * times_the_rate,
          .mean_cost = 12'000,
          .weights = Skewed(instances)};
}

BOOST_AUTO_TEST_SUITE(however_many_instances_there_are)

BOOST_AUTO_TEST_CASE(load_within_the_rate_passes_after_the_first_second) {
  for (const size_t instances : kFleetSizes) {
    for (const double times : {0.3, 0.6, 0.9}) {
      QuotaFleet fleet(instances, QuotaOf(instances), 1);
      fleet.Run(seconds(1), LoadOf(instances, times));
      fleet.ResetCounts();
      fleet.Run(seconds(15), LoadOf(instances, times));
      BOOST_TEST_CONTEXT(instances << " instances, " << times
                                   << " of the rate") {
        BOOST_TEST(fleet.passed() >= 0.95 * fleet.offered());
        BOOST_TEST(fleet.worst() <= fleet.bound());
      }
    }
  }
}

// A workspace suddenly sends 7.5 times its usual load; in run
// cairnlea-oleander-grown scale-2, 18% above the bound passed at 90 instances.
BOOST_AUTO_TEST_CASE(a_sudden_flood_stays_within_the_bound) {
  for (const size_t instances : kFleetSizes) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      QuotaFleet fleet(instances, QuotaOf(instances), seed);
      fleet.Run(seconds(10), LoadOf(instances, 0.5));
      fleet.ResetCounts();
      fleet.Run(seconds(12), LoadOf(instances, 7.5));
      BOOST_TEST_CONTEXT(instances << " instances, seed " << seed) {
        BOOST_TEST(fleet.worst() <= fleet.bound());
        BOOST_TEST(fleet.passed() >= 0.95 * QuotaOf(instances).per_s * 12);
      }
    }
  }
}

// While large calls of a workspace use up its quota, nearly all of its small
// calls (a receipt, a chat) pass, and large calls still get most of the rate
// (run vbg-accra scale-2).
BOOST_AUTO_TEST_CASE(small_calls_of_a_flood_pass_before_large_ones) {
  constexpr double kSmall = 200;
  constexpr double kLarge = 12'000;
  const WorkspaceQuota quota = QuotaOf(8);
  QuotaAllocator allocator({.bound = {.overage = 0.1, .slack = 140'000}});
  ServingConfigParts parts;
  Workspace workspace;
  workspace.id = kBakery;
  workspace.quota = quota;
  parts.workspaces = {workspace};
  Time now;
  allocator.SetQuotas(now, *ServingConfig::Create(std::move(parts)));
  std::map<double, int> offered;
  std::map<double, int> passed;
  // Per second a hundred small calls, and large calls for five times the rate.
  const auto per_small =
      std::max(1, static_cast<int>(quota.per_s * 5 / kLarge / 100));
  for (int call = 0; call < 3000; ++call, now += milliseconds(10)) {
    std::vector<double> wanted(static_cast<size_t>(per_small), kLarge);
    wanted.push_back(kSmall);
    const QuotaGrant grant = allocator.OnRequest(
        now, InstanceId("node-1"),
        {.group = QuotaGroupOf(kBakery),
         .round = 1,
         .items = {{.workspace = kBakery, .wanted = wanted}}});
    for (size_t i = 0; i < wanted.size(); ++i) {
      offered[wanted[i]] += 1;
      passed[wanted[i]] +=
          grant.items.front().waits[i] == Duration::zero() ? 1 : 0;
    }
  }
  BOOST_TEST(passed[kSmall] >= 0.9 * offered[kSmall]);
  BOOST_TEST(passed[kLarge] * kLarge >= 0.8 * quota.per_s * 30);
}

BOOST_AUTO_TEST_CASE(a_flood_from_the_first_moment_stays_within_the_bound) {
  for (const size_t instances : kFleetSizes) {
    QuotaFleet fleet(instances, QuotaOf(instances), 1);
    fleet.Kill(1);  // One instance starts late.
    fleet.Run(milliseconds(900), LoadOf(instances, 5));
    fleet.Restart(1);
    fleet.Run(seconds(10), LoadOf(instances, 5));
    BOOST_TEST(fleet.worst() <= fleet.bound());
  }
}

BOOST_AUTO_TEST_CASE(a_dead_allocator_is_skipped) {
  for (const size_t instances : kFleetSizes) {
    QuotaFleet fleet(instances, QuotaOf(instances), 1);
    fleet.Run(seconds(5), LoadOf(instances, 0.6));
    fleet.Kill(fleet.Allocator());
    fleet.Run(seconds(2), LoadOf(instances, 0.6));
    fleet.ResetCounts();
    fleet.Run(seconds(10), LoadOf(instances, 0.6));
    BOOST_TEST(fleet.passed() >= 0.95 * fleet.offered());
    fleet.Run(seconds(8), LoadOf(instances, 5));
    fleet.Restart(fleet.Allocator());
    fleet.Run(seconds(12), LoadOf(instances, 5));
    BOOST_TEST_CONTEXT(instances << " instances") {
      BOOST_TEST(fleet.worst() <= fleet.bound());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_third_that_is_cut_off_stays_within_the_bound) {
  for (const size_t instances : kFleetSizes) {
    for (const bool together : {false, true}) {
      QuotaFleet fleet(instances, QuotaOf(instances), 1);
      fleet.Run(seconds(8), LoadOf(instances, 4));
      fleet.CutTogether(together);
      for (size_t node = 0; node < instances; node += 3) {
        fleet.Cut(node, true);
      }
      fleet.Run(seconds(10), LoadOf(instances, 4));
      for (size_t node = 0; node < instances; node += 3) {
        fleet.Cut(node, false);
      }
      fleet.Run(seconds(10), LoadOf(instances, 4));
      BOOST_TEST_CONTEXT(instances << " instances, together " << together) {
        BOOST_TEST(fleet.worst() <= fleet.bound());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_part_that_is_cut_off_serves_what_it_can) {
  for (const size_t instances : kFleetSizes) {
    QuotaFleet fleet(instances, QuotaOf(instances), 1);
    fleet.Run(seconds(5), LoadOf(instances, 0.4));
    for (size_t node = 0; node < instances; ++node) {
      fleet.Cut(node, true);
    }
    fleet.Run(seconds(4), LoadOf(instances, 0.4));
    fleet.ResetCounts();
    fleet.Run(seconds(60), LoadOf(instances, 0.4));
    BOOST_TEST(fleet.passed() >= 0.5 * fleet.offered());
    BOOST_TEST(fleet.worst() <= fleet.bound());
  }
}

BOOST_AUTO_TEST_CASE(an_instance_sends_no_more_where_there_are_more) {
  std::vector<double> per_instance;
  for (const size_t instances : kFleetSizes) {
    QuotaFleet fleet(instances, QuotaOf(instances), 1);
    fleet.Run(seconds(10), LoadOf(instances, 0.5));
    per_instance.push_back(static_cast<double>(fleet.messages()) /
                           static_cast<double>(instances) / 10);
  }
  // One request and one answer per heartbeat and group, and per call.
  for (const double messages : per_instance) {
    BOOST_TEST(messages <= 2 * kQuotaGroups / 0.7 + 4);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against weak instances as allocators: they answered too late, and
// workspaces within their rate were refused (run tortared-large quiet-1).
BOOST_AUTO_TEST_CASE(those_with_the_most_cores_allocate) {
  constexpr int kInstances = 60;
  std::vector<AllocatorCandidate> candidates;
  candidates.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i) {
    candidates.push_back({.instance = InstanceId("node-" + std::to_string(i)),
                          .domain = DomainId("d" + std::to_string(i % 6)),
                          .region = RegionId("r" + std::to_string(i % 2)),
                          .cores = i % 5 == 0 ? 0.5 : 0.12});
  }
  const Location location{.region = RegionId("r1"), .domain = DomainId("d1")};
  const AllocatorRanking ranking = RankAllocators(location, candidates);
  std::set<InstanceId> first;
  for (const std::vector<InstanceId>& ranked : ranking) {
    for (const InstanceId& instance : ranked) {
      BOOST_TEST(std::stoi(instance.value().substr(5)) % 5 == 0);
    }
    first.insert(ranked.front());
  }
  // The groups are spread over several instances, and the order of the
  // candidates has no influence.
  BOOST_TEST(first.size() >= 4U);
  std::ranges::reverse(candidates);
  BOOST_TEST((RankAllocators(location, candidates) == ranking));
}

BOOST_AUTO_TEST_CASE(refused_callers_get_staggered_retry_times) {
  QuotaAllocator allocator;
  ServingConfigParts parts;
  Workspace workspace;
  workspace.id = kBakery;
  workspace.quota = {
      .per_s = 1000, .burst = 1000, .in_tokens = true, .plain_tokens = 1};
  parts.workspaces = {workspace};
  allocator.SetQuotas(Time(), *ServingConfig::Create(std::move(parts)));
  const QuotaGrant grant = allocator.OnRequest(
      Time(), InstanceId("node-1"),
      {.group = QuotaGroupOf(kBakery),
       .round = 1,
       .items = {
           {.workspace = kBakery, .wanted = std::vector<double>(20, 500)}}});
  BOOST_TEST_REQUIRE(grant.items.size() == 1U);
  const std::vector<Duration>& waits = grant.items.front().waits;
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
