#include "oleander/rollout_control.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "fmt/format.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Rates are those of the calls of this time.
constexpr Duration kRateWindow = seconds(1);
constexpr Duration kLongRateWindow = seconds(4);
// How fast the rates of single routes fade.
constexpr Duration kRouteFading = seconds(4);
// How long the longest call at the earlier versions counts.
constexpr Duration kLongestAge = seconds(15);
// Evidence of this time is needed before a stage goes up.
constexpr Duration kSettleTime = seconds(1);
// A holder that took the roll-out over so lately has seen little of it, and
// completes nothing without a look at the target under all calls.
constexpr Duration kNewHolder = seconds(5);
// An instance that reported so many intervals ago is heard.
constexpr int kHeardIntervals = 4;
// Part of the live instances that must be heard before a stage goes up.
constexpr double kMostInstances = 0.6;
// Part of the earlier servers' slots that the target needs to take all calls.
constexpr double kEnoughSlots = 0.6;
// Part of the budget that is kept for the calls of kMoving.
constexpr double kMovingPart = 0.6;
// Time for which all calls go to the target before `complete`, if the budget
// allows it.
constexpr Duration kObserveTime = seconds(1);
// The canaries are loaded like earlier servers for at most this long, with this
// part of the calls that they may get.
constexpr Duration kLongestTrial = seconds(3);
constexpr Duration kShortestTrial = milliseconds(400);
constexpr double kTrialPart = 0.5;
// Two canaries tell a bad version from a bad server.
constexpr size_t kLeastCanaries = 2;
// The first canary stage has this part of the planned share.
constexpr double kFirstPart = 0.5;
// The highest share in kCanary.
constexpr double kHighestShare = 0.5;
// Shares that differ by less aren't worth a new stage.
constexpr double kSameShare = 0.25;
// A route with fewer answers at the target was hardly tried.
constexpr int64_t kFewAnswers = 10;
// The time to the first event is several times longer from this factor on.
constexpr double kSeveralTimes = 2.5;
constexpr double kStallSlackSeconds = 0.1;
constexpr int64_t kFewWaiting = 20;
// This many times the calls at the time of the reference are a burst.
constexpr double kBurst = 1.5;
// An order none of whose servers gets ready is reverted this long after its
// deadline, or after its duration if that is longer.
constexpr Duration kNeverReady = seconds(60);
// How long past the deadline a route without answers is tried.
constexpr Duration kLongestTry = seconds(5);
// How long past the deadline the calls of the earlier versions may end.
constexpr Duration kLongestEnd = seconds(10);
constexpr Duration kLongestStoreTime = seconds(2);
constexpr double kShareUnit = 1e-4;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Duration FromSeconds(double time) {
  constexpr double kLongestSeconds = 1e9;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::clamp(time, -kLongestSeconds, kLongestSeconds)));
}

uint64_t HashOf(const InstanceId& instance) {
  return XXH64(instance.value().data(), instance.value().size(), 0);
}

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::ranges::find(list, item) != list.end();
}

auto OrderOf(const RolloutStage& stage) {
  return std::tie(stage.order_revision, stage.step);
}

}  // namespace

// What follows from the rates, the budget and the time that remains.
struct RolloutControl::Plan {
  Duration remaining{};
  double rate = 0;     // Calls a second, the higher of two windows.
  double budget = 0;   // That is planned with.
  double stop_at = 0;  // Calls at the target at which no more are sent.
  double spent = 0;
  Duration last_moment{};   // Before the deadline, to decide on kComplete.
  Duration full{};          // Before the deadline, to decide on kMoving.
  double canary_calls = 0;  // That may go to the target before.
  Duration canary_time{};
  // Before kMoving, if the usual share is too small for it, the least number of
  // canaries gets the load of earlier servers.
  double trial_share = 0;
  bool is_trial = false;
};

RolloutControl::RolloutControl(RolloutControlOptions options)
    : options_(options) {}

bool RolloutControl::IsActive(const Rollout& rollout) const {
  if (rollout.initial) {
    return true;
  }
  return rollout.stored && !rollout.stored->is_over();
}

void RolloutControl::OnOrders(Time now, WallTime wall,
                              const std::vector<RolloutOrder>& orders) {
  for (auto& [service, rollout] : rollouts_) {
    const bool is_listed = std::ranges::any_of(
        orders,
        [&](const RolloutOrder& order) { return order.service == service; });
    if (is_listed) {
      rollout.order_gone.reset();
    } else if (!rollout.order_gone) {
      rollout.order_gone = now;
    }
  }
  for (const RolloutOrder& order : orders) {
    Rollout& rollout = rollouts_[order.service];
    const bool is_new =
        !rollout.order || rollout.order->revision != order.revision;
    rollout.order = order;
    if (is_new) {
      Restart(rollout, now, wall);
    }
  }
}

void RolloutControl::OnStored(Time now, WallTime wall,
                              const std::vector<RolloutStage>& stages) {
  has_stored_ = true;
  for (const RolloutStage& stage : stages) {
    Rollout& rollout = rollouts_[stage.service];
    if (rollout.stored && OrderOf(stage) <= OrderOf(*rollout.stored)) {
      continue;
    }
    const bool is_of_same_order =
        rollout.stored &&
        rollout.stored->order_revision == stage.order_revision;
    const bool is_own = rollout.wanted && *rollout.wanted == stage;
    if (is_own) {
      store_time_ =
          std::min<Duration>(now - rollout.wanted_at, kLongestStoreTime);
      rollout.reason = rollout.wanted_reason;
    } else {
      rollout.reason = "taken from the store";
      rollout.adopted_at = now;
    }
    if (rollout.wanted && OrderOf(stage) >= OrderOf(*rollout.wanted)) {
      rollout.wanted.reset();
    }
    if (!is_of_same_order || rollout.stored->phase != stage.phase) {
      rollout.stage_since = now;
    }
    rollout.stored = stage;
    if (!rollout.order || rollout.order->revision == stage.order_revision) {
      rollout.initial.reset();
      rollout.judge_is_set = rollout.judge_is_set || SetJudge(rollout, stage);
    } else if (rollout.order->revision > stage.order_revision) {
      Restart(rollout, now, wall);
    }
  }
}

bool RolloutControl::SetJudge(Rollout& rollout,
                              const RolloutStage& stage) const {
  RolloutJudgeOptions options = options_.judge;
  const double blocks =
      Seconds(stage.deadline - stage.ordered_at) / Seconds(options.min_block);
  options.blocks = std::max(options.blocks, blocks);
  rollout.judge = RolloutJudge(options);
  return true;
}

void RolloutControl::Restart(Rollout& rollout, Time now, WallTime wall) {
  const RolloutOrder order = *rollout.order;
  std::optional<RolloutStage> stored = std::move(rollout.stored);
  const std::optional<Time> gone = rollout.order_gone;
  rollout = Rollout();
  rollout.order = order;
  rollout.order_gone = gone;
  rollout.stored = std::move(stored);
  rollout.adopted_at = now;
  rollout.stage_since = now;
  CountServers(rollout);
  if (rollout.stored && rollout.stored->order_revision >= order.revision) {
    return;
  }
  RolloutStage stage;
  stage.service = order.service;
  stage.target = order.target;
  stage.order_revision = order.revision;
  stage.step = 1;
  stage.ordered_at = wall;
  stage.deadline = wall + order.duration;
  if (rollout.stored && rollout.stored->phase != RolloutPhase::kComplete) {
    const RolloutStage& before = *rollout.stored;
    stage.avoided = before.avoided;
    if (!Contains(stage.avoided, before.target)) {
      stage.avoided.push_back(before.target);
    }
    std::erase(stage.avoided, order.target);
    stage.proven = !before.is_over() && Contains(before.earlier, order.target);
  }
  rollout.judge_is_set = SetJudge(rollout, stage);
  rollout.initial = std::move(stage);
}

void RolloutControl::OnServers(
    Time /*now*/, const std::vector<const ListedServer*>& servers) {
  listed_.clear();
  for (const ListedServer* server : servers) {
    if (server->state == ListedState::kReady) {
      ListedServer& known = listed_.emplace_back();
      known.id = server->id;
      known.service = server->service;
      known.slots = server->slots;
      known.version = server->version;
    }
  }
  for (auto& [service, rollout] : rollouts_) {
    const std::vector<ServerId> before = rollout.servers.target;
    CountServers(rollout);
    for (const ServerId& server : before) {
      if (!std::ranges::binary_search(rollout.servers.target, server)) {
        rollout.judge.ForgetServer(server);
      }
    }
  }
}

void RolloutControl::CountServers(Rollout& rollout) const {
  rollout.servers = {};
  const RolloutStage* stage = rollout.initial  ? &*rollout.initial
                              : rollout.stored ? &*rollout.stored
                                               : nullptr;
  if (stage == nullptr) {
    return;
  }
  Servers& servers = rollout.servers;
  for (const ListedServer& server : listed_) {
    if (server.service != stage->service ||
        Contains(stage->avoided, server.version)) {
      continue;
    }
    if (server.version == stage->target) {
      servers.target.push_back(server.id);
      servers.target_slots += server.slots;
      continue;
    }
    ++servers.earlier;
    servers.earlier_slots += server.slots;
    if (!Contains(servers.earlier_versions, server.version)) {
      servers.earlier_versions.push_back(server.version);
    }
  }
  std::ranges::sort(servers.target);
}

void RolloutControl::SetInstances(Time /*now*/,
                                  const std::vector<InstanceId>& live) {
  live_.clear();
  for (const InstanceId& instance : live) {
    live_.insert(HashOf(instance));
  }
}

void RolloutControl::SetStoreTime(Duration time) {
  store_time_ = std::min(time, kLongestStoreTime);
}

void RolloutControl::OnEvidence(Time now, const InstanceId& from,
                                const std::vector<RolloutEvidence>& evidence) {
  Rollout* rollout = nullptr;
  Report* report = nullptr;
  const RolloutStage* stage = nullptr;
  for (const RolloutEvidence& row : evidence) {
    if (row.version.empty()) {
      const auto found = rollouts_.find(row.service);
      rollout = found != rollouts_.end() ? &found->second : nullptr;
      if (rollout == nullptr) {
        continue;
      }
      stage = rollout->initial  ? &*rollout->initial
              : rollout->stored ? &*rollout->stored
                                : nullptr;
      if (stage == nullptr || stage->order_revision != row.order_revision) {
        rollout = nullptr;
        continue;
      }
      report = &rollout->reports[HashOf(from)];
      TakeSummary(*rollout, *report, now, row);
      continue;
    }
    if (rollout == nullptr || row.service != stage->service) {
      continue;
    }
    const bool is_target = row.version == stage->target;
    if (is_target) {
      report->waiting_target += static_cast<int32_t>(row.waiting);
    } else {
      report->open_earlier += static_cast<int32_t>(row.open);
      report->waiting_earlier += static_cast<int32_t>(row.waiting);
      if (row.longest > rollout->longest_earlier) {
        rollout->longest_earlier = row.longest;
        rollout->longest_at = now;
      }
    }
    if (!row.route.empty() || row.sent + row.good + row.failed > 0) {
      TakeCounts(*rollout, *stage, row);
    }
  }
}

void RolloutControl::TakeSummary(Rollout& rollout, Report& report, Time now,
                                 const RolloutEvidence& row) {
  const bool is_new_run =
      row.total_calls < report.calls || row.total_target < report.target;
  if (is_new_run) {
    report.calls_before += report.calls;
    report.target_before += report.target;
  }
  report.at = now;
  report.step = static_cast<int32_t>(row.step);
  report.calls = static_cast<int32_t>(row.total_calls);
  report.target = static_cast<int32_t>(row.total_target);
  report.open_earlier = 0;
  report.waiting_earlier = 0;
  report.waiting_target = 0;
  rollout.calls_heard += row.sent;
}

void RolloutControl::TakeCounts(Rollout& rollout, const RolloutStage& stage,
                                const RolloutEvidence& row) {
  const bool is_target = row.version == stage.target;
  auto route = std::ranges::find(rollout.routes, row.route, &RouteRate::route);
  if (route == rollout.routes.end() &&
      rollout.routes.size() < options_.judge.max_routes) {
    route = rollout.routes.emplace(rollout.routes.end());
    route->route = row.route;
  }
  if (route != rollout.routes.end()) {
    route->sent += static_cast<double>(row.sent);
    route->target_answers += is_target ? row.good + row.failed : 0;
  }
  if (!Contains(stage.avoided, row.version)) {
    rollout.judge.Add(row, is_target);
  }
}

int64_t RolloutControl::Arrived(const Rollout& rollout) const {
  int64_t sum = 0;
  for (const auto& [instance, report] : rollout.reports) {
    sum += int64_t{report.calls} + report.calls_before;
  }
  return rollout.stored ? std::max(sum, rollout.stored->arrived) : sum;
}

int64_t RolloutControl::Spent(const Rollout& rollout) const {
  int64_t sum = 0;
  for (const auto& [instance, report] : rollout.reports) {
    sum += int64_t{report.target} + report.target_before;
  }
  return rollout.stored ? std::max(sum, rollout.stored->spent) : sum;
}

int64_t RolloutControl::OpenEarlier(const Rollout& rollout) const {
  int64_t sum = 0;
  for (const auto& [instance, report] : rollout.reports) {
    sum += live_.contains(instance) ? report.open_earlier : 0;
  }
  return sum;
}

bool RolloutControl::IsCovered(const Rollout& rollout, Time now, int64_t step,
                               double part) const {
  const Duration heard = options_.evidence_interval * kHeardIntervals;
  const auto count = std::ranges::count_if(live_, [&](uint64_t instance) {
    const auto found = rollout.reports.find(instance);
    return found != rollout.reports.end() && now - found->second.at <= heard &&
           found->second.step >= step;
  });
  return !live_.empty() &&
         static_cast<double>(count) >= part * static_cast<double>(live_.size());
}

void RolloutControl::TakeSample(Rollout& rollout, Time now) {
  rollout.samples.push_back({now, rollout.calls_heard});
  while (rollout.samples.size() > 2 &&
         now - rollout.samples.front().at > kLongRateWindow + options_.tick) {
    rollout.samples.pop_front();
  }
  if (now - rollout.longest_at > kLongestAge) {
    rollout.longest_earlier = Duration::zero();
  }
  if (rollout.rates_faded_at == Time()) {
    rollout.rates_faded_at = now;
  }
  const double faded =
      std::exp(-Seconds(now - rollout.rates_faded_at) / Seconds(kRouteFading));
  rollout.rates_faded_at = now;
  for (RouteRate& route : rollout.routes) {
    route.sent *= faded;
  }
  const bool earlier_has_calls =
      rollout.stored && rollout.stored->phase != RolloutPhase::kMoving;
  const double rate = Rate(rollout, kRateWindow);
  if (earlier_has_calls && rate > 0) {
    double waiting = 0;
    for (const auto& [instance, report] : rollout.reports) {
      waiting += live_.contains(instance) ? report.waiting_earlier : 0;
    }
    constexpr double kWeight = 0.1;
    rollout.mean_wait_earlier_s +=
        kWeight * (waiting / rate - rollout.mean_wait_earlier_s);
    rollout.rate_before_move = Rate(rollout, kLongRateWindow);
  }
}

double RolloutControl::Rate(const Rollout& rollout, Duration window) const {
  if (rollout.samples.size() < 2) {
    return 0;
  }
  const Sample& last = rollout.samples.back();
  const auto first = std::ranges::lower_bound(rollout.samples, last.at - window,
                                              {}, &Sample::at);
  const Duration time = last.at - first->at;
  return time > Duration::zero()
             ? static_cast<double>(last.calls - first->calls) / Seconds(time)
             : 0;
}

RolloutControl::Plan RolloutControl::MakePlan(const Rollout& rollout,
                                              WallTime wall) const {
  const RolloutStage& stage = *rollout.stored;
  const double rate = Rate(rollout, kRateWindow);
  const double long_rate = Rate(rollout, kLongRateWindow);
  Plan plan;
  plan.remaining = stage.deadline - wall;
  plan.rate = std::max({rate, long_rate, 1e-3});
  plan.spent = static_cast<double>(Spent(rollout));
  const double ahead =
      std::min(rate, long_rate) *
      Seconds(std::max<Duration>(plan.remaining, Duration::zero()));
  const double calls = static_cast<double>(Arrived(rollout)) + ahead;
  const double bound = options_.exposure_share * calls +
                       static_cast<double>(options_.exposure_slack);
  plan.budget = options_.budget_part * bound;
  plan.stop_at = options_.stop_part * bound;
  plan.last_moment = options_.deadline_margin + store_time_ * 3 / 2;
  const Duration longest =
      std::max<Duration>(rollout.longest_earlier, milliseconds(200));
  const Duration wanted =
      longest + options_.tell_time + plan.last_moment + kObserveTime;
  const double affordable = std::max(0.0, plan.budget - plan.spent);
  plan.full = std::min<Duration>(wanted, FromSeconds(affordable / plan.rate));
  const double kept =
      std::min(Seconds(wanted) * plan.rate, kMovingPart * plan.budget);
  plan.canary_calls = std::max(0.0, affordable - kept);
  plan.canary_time = plan.remaining - FromSeconds(kept / plan.rate);
  PlanTrial(rollout, options_.canary_share, store_time_, plan);
  return plan;
}

void RolloutControl::PlanTrial(const Rollout& rollout, double canary_share,
                               Duration store_time, Plan& plan) {
  const auto canaries = static_cast<double>(
      std::min(kLeastCanaries, rollout.servers.target.size()));
  const auto earlier = static_cast<double>(rollout.servers.earlier);
  if (canaries == 0 || earlier == 0) {
    return;
  }
  const double share = std::min(kHighestShare, canaries / (canaries + earlier));
  const double per_s = share * plan.rate;
  const double calls =
      std::min({kTrialPart * (plan.canary_calls + plan.spent),
                plan.canary_calls, per_s * Seconds(kLongestTrial)});
  const Duration time = FromSeconds(calls / per_s);
  // A stage takes effect, and is judged, after it is stored.
  if (canary_share >= share || time < kShortestTrial + 2 * store_time) {
    return;
  }
  plan.trial_share = share;
  plan.is_trial = plan.canary_time <= time;
  if (!plan.is_trial) {
    plan.canary_calls -= calls;
    plan.canary_time -= time;
  }
}

RolloutControl::Decision RolloutControl::Step(const Rollout& rollout,
                                              RolloutPhase phase,
                                              std::string reason) const {
  Decision decision;
  decision.stage = *rollout.stored;
  decision.stage.phase = phase;
  decision.stage.share = 0;
  decision.stage.route_shares.clear();
  decision.stage.canaries.clear();
  ++decision.stage.step;
  decision.stage.arrived = Arrived(rollout);
  decision.stage.spent = Spent(rollout);
  decision.reason = std::move(reason);
  decision.tell_at_once = phase == RolloutPhase::kReverted;
  return decision;
}

void RolloutControl::SetShares(const Rollout& rollout, const Plan& plan,
                               double part, RolloutStage& stage) const {
  if (plan.is_trial) {
    stage.share = plan.trial_share;
    stage.route_shares.clear();
    SetCanaries(rollout, stage);
    return;
  }
  const Servers& servers = rollout.servers;
  const double time = std::max(1.0, Seconds(plan.canary_time));
  const double may_spend = part * plan.canary_calls / time;
  const double usual = std::min(options_.canary_share * plan.rate, may_spend);
  const double enough = static_cast<double>(
      rollout.judge.EnoughAnswers(options_.bad_share, options_.canary_share));
  const double need_time = std::clamp(time / 2, 1.0, 10.0);
  double rates = 0;
  for (const RouteRate& route : rollout.routes) {
    rates += route.sent;
  }
  std::map<std::string, double> spends;
  double sum = 0;
  for (const RouteRate& route : rollout.routes) {
    const double rate = rates > 0 ? plan.rate * route.sent / rates : 0;
    const double missing =
        std::max(0.0, enough - static_cast<double>(route.target_answers));
    const double spend = std::min(
        kHighestShare * rate, usual * rate / plan.rate + missing / need_time);
    spends[route.route] = spend;
    sum += spend;
  }
  const double slots =
      std::max(1, servers.target_slots + servers.earlier_slots);
  const double highest = std::min(
      kHighestShare, static_cast<double>(servers.target_slots) / slots);
  const double spend =
      std::min({sum > 0 ? sum : may_spend, may_spend, highest * plan.rate});
  const auto rounded = [](double share) {
    return std::floor(share / kShareUnit) * kShareUnit;
  };
  stage.share = rounded(std::min(highest, spend / plan.rate));
  stage.route_shares.clear();
  for (const RouteRate& route : rollout.routes) {
    const double rate = rates > 0 ? plan.rate * route.sent / rates : 0;
    if (rate > 0 && sum > 0) {
      stage.route_shares[route.route] = rounded(
          std::min(kHighestShare, spends[route.route] * spend / sum / rate));
    }
  }
  SetCanaries(rollout, stage);
}

void RolloutControl::SetCanaries(const Rollout& rollout,
                                 RolloutStage& stage) const {
  const Servers& servers = rollout.servers;
  constexpr double kMoreLoad = 0.1;
  const double usual_load =
      stage.share / (1 - stage.share) * static_cast<double>(servers.earlier);
  const size_t count = std::clamp<size_t>(
      static_cast<size_t>(std::ceil(std::max(0.0, usual_load - kMoreLoad))),
      std::min(kLeastCanaries, servers.target.size()), servers.target.size());
  const auto rank = [&](const ServerId& server) {
    const bool is_suspect =
        std::ranges::find(rollout.suspects, server) != rollout.suspects.end();
    const bool is_canary =
        std::ranges::find(stage.canaries, server) != stage.canaries.end();
    return std::tuple(is_suspect, !is_canary,
                      XXH64(server.value().data(), server.value().size(),
                            static_cast<uint64_t>(stage.order_revision)));
  };
  std::vector<ServerId> canaries = servers.target;
  std::ranges::sort(canaries, {}, rank);
  canaries.resize(count);
  std::ranges::sort(canaries);
  stage.canaries = std::move(canaries);
}

std::optional<RolloutControl::Decision> RolloutControl::FromWaiting(
    Rollout& rollout, Time now, const Plan& plan) const {
  const RolloutStage& stage = *rollout.stored;
  if (rollout.servers.target.empty()) {
    const Duration patience =
        std::max<Duration>(kNeverReady, stage.deadline - stage.ordered_at);
    return plan.remaining < -patience
               ? std::optional(Step(rollout, RolloutPhase::kReverted,
                                    "no server of the target got ready"))
               : std::nullopt;
  }
  if (stage.proven) {
    return Step(rollout, RolloutPhase::kMoving,
                "back to a version that served before");
  }
  const bool is_settled = IsCovered(rollout, now, stage.step, kMostInstances) &&
                          !rollout.samples.empty() &&
                          now - rollout.samples.front().at >= kSettleTime;
  if (!is_settled) {
    return std::nullopt;
  }
  Decision decision = Step(rollout, RolloutPhase::kCanary, "");
  decision.stage.earlier = rollout.servers.earlier_versions;
  SetShares(rollout, plan, kFirstPart, decision.stage);
  decision.reason =
      fmt::format("{} servers of the target are ready; first share {:.4f}",
                  rollout.servers.target.size(), decision.stage.share);
  return decision;
}

std::optional<RolloutControl::Decision> RolloutControl::FromCanary(
    Rollout& rollout, Time now, const Plan& plan) const {
  const RolloutStage& stage = *rollout.stored;
  const RolloutVerdict verdict = rollout.judge.verdict();
  if (verdict.suspected) {
    rollout.suspects.push_back(verdict.worst);
    rollout.judge.BeginAnew();
    rollout.anew_at = now;
    Decision decision = Step(rollout, RolloutPhase::kCanary,
                             "bad answers of one server, which is replaced: " +
                                 verdict.worst.value());
    SetShares(rollout, plan, 1, decision.stage);
    rollout.planned_at = now;
    return decision;
  }
  const bool is_heard = IsCovered(rollout, now, stage.step, kMostInstances) &&
                        now - rollout.adopted_at >= kSettleTime;
  const bool is_suspicious =
      verdict.doubtful || now - rollout.anew_at < kSettleTime;
  const bool has_room =
      rollout.servers.target_slots >=
      kEnoughSlots * static_cast<double>(rollout.servers.earlier_slots);
  const bool is_untried =
      std::ranges::any_of(rollout.routes, [&](const RouteRate& route) {
        return route.sent >= 2 * kFewAnswers &&
               route.target_answers < kFewAnswers;
      });
  // Later the move can't be made in time, or was already missed.
  const bool is_last =
      plan.remaining > Duration::zero()
          ? plan.remaining <= plan.last_moment + options_.tell_time
          : now - rollout.stage_since >= kLongestTry;
  if (plan.remaining <= plan.full && is_heard && has_room && !is_suspicious &&
      (!is_untried || is_last)) {
    return Step(
        rollout, RolloutPhase::kMoving,
        fmt::format("{:.2f} s remain, calls last {:.2f} s, {:.0f} of {:.0f} "
                    "calls spent{}",
                    Seconds(plan.remaining), Seconds(rollout.longest_earlier),
                    plan.spent, plan.budget,
                    is_untried ? "; a route had hardly any calls" : ""));
  }
  return Replan(rollout, now, plan, is_heard);
}

std::optional<RolloutControl::Decision> RolloutControl::Replan(
    Rollout& rollout, Time now, const Plan& plan, bool may_raise) const {
  const RolloutStage& stage = *rollout.stored;
  const bool has_lost_canary =
      !rollout.servers.target.empty() &&
      !std::ranges::includes(rollout.servers.target, stage.canaries);
  const bool begins_trial = plan.is_trial && stage.share < plan.trial_share;
  const bool is_due =
      (begins_trial || now - rollout.planned_at >= options_.plan_interval) &&
      now - rollout.adopted_at >= kSettleTime;
  // A new step takes a while to be followed everywhere.
  const bool is_near = !plan.is_trial &&
                       plan.canary_time < kSettleTime + 2 * store_time_ &&
                       plan.remaining > Duration::zero();
  if (!has_lost_canary && (!is_due || is_near)) {
    return std::nullopt;
  }
  if (is_due) {
    rollout.planned_at = now;
  }
  Decision decision = Step(rollout, RolloutPhase::kCanary, "");
  decision.stage.canaries = stage.canaries;
  SetShares(rollout, plan, 1, decision.stage);
  const auto differs = [](double share, double before) {
    return std::abs(share - before) >
           kSameShare * std::max(share, before) + kShareUnit;
  };
  bool raises = decision.stage.share > stage.share;
  bool is_other = differs(decision.stage.share, stage.share);
  for (const auto& [route, share] : decision.stage.route_shares) {
    const auto before = stage.route_shares.find(route);
    const double known =
        before != stage.route_shares.end() ? before->second : stage.share;
    is_other = is_other || differs(share, known);
    raises = raises || share > known;
  }
  if (raises && !may_raise) {
    if (begins_trial) {
      return std::nullopt;
    }
    // What is known doesn't allow more.
    decision.stage.share = std::min(decision.stage.share, stage.share);
    for (auto& [route, share] : decision.stage.route_shares) {
      const auto before = stage.route_shares.find(route);
      share =
          std::min(share, before != stage.route_shares.end() ? before->second
                                                             : stage.share);
    }
    is_other = differs(decision.stage.share, stage.share);
  }
  if (!has_lost_canary && !is_other) {
    return std::nullopt;
  }
  decision.reason = fmt::format(
      "{}; share {:.4f} at {} servers, {:.0f} of {:.0f} calls spent",
      has_lost_canary ? "a server of the target has left"
      : plan.is_trial ? "trial under usual load"
                      : "planned anew",
      decision.stage.share, decision.stage.canaries.size(), plan.spent,
      plan.budget);
  return decision;
}

bool RolloutControl::IsStalled(const Rollout& rollout) const {
  double waiting = 0;
  for (const auto& [instance, report] : rollout.reports) {
    waiting += live_.contains(instance) ? report.waiting_target : 0;
  }
  const double rate = Rate(rollout, kRateWindow);
  if (waiting < kFewWaiting || rate <= 0 ||
      rate > kBurst * rollout.rate_before_move) {
    return false;
  }
  return waiting / rate >=
         kSeveralTimes * rollout.mean_wait_earlier_s + kStallSlackSeconds;
}

std::optional<RolloutControl::Decision> RolloutControl::FromMoving(
    Rollout& rollout, Time now, const Plan& plan) const {
  const RolloutStage& stage = *rollout.stored;
  const Duration since = now - rollout.stage_since;
  const bool all_moved = IsCovered(rollout, now, stage.step, 1);
  const int64_t open = OpenEarlier(rollout);
  const bool is_over = all_moved && open == 0;
  const bool is_observed = since >= options_.tell_time + kObserveTime;
  const bool is_time = stage.proven || plan.remaining <= plan.last_moment;
  if (!is_time) {
    const double rate =
        (Rate(rollout, kRateWindow) + Rate(rollout, kLongRateWindow)) / 2;
    const double then = plan.spent + rate * Seconds(plan.remaining);
    const bool is_too_much =
        then > plan.stop_at && plan.remaining > plan.full * 11 / 10;
    if (is_too_much) {
      Decision decision = Step(
          rollout, RolloutPhase::kCanary,
          fmt::format("more calls than planned: {:.0f} until the deadline, "
                      "{:.0f} allowed",
                      then, plan.stop_at));
      decision.tell_at_once = true;
      SetCanaries(rollout, decision.stage);
      return decision;
    }
  }
  const bool has_evidence =
      is_observed || (plan.remaining > Duration::zero() &&
                      now - rollout.adopted_at >= kNewHolder);
  const bool is_last =
      plan.remaining <= plan.last_moment - options_.deadline_margin / 3;
  if (!is_time || !has_evidence) {
    return std::nullopt;
  }
  const Duration patience = std::min<Duration>(
      kLongestEnd, rollout.longest_earlier + options_.tell_time);
  const bool is_late = since >= patience && plan.remaining <= Duration::zero();
  const bool ends_now = is_last && plan.remaining > Duration::zero();
  if (!is_over && !is_late && !ends_now) {
    return std::nullopt;
  }
  if (!is_over && !IsCovered(rollout, now, stage.step, kMostInstances)) {
    return std::nullopt;
  }
  const RolloutVerdict verdict = rollout.judge.verdict();
  const bool is_suspicious = verdict.doubtful && !stage.proven;
  if (is_suspicious || (!stage.proven && IsStalled(rollout))) {
    return Step(rollout, RolloutPhase::kReverted,
                is_suspicious ? "not proved good at the last moment"
                              : "the target's answers don't come");
  }
  return Step(rollout, RolloutPhase::kComplete,
              is_over ? "all calls of the earlier versions have ended"
                      : fmt::format("{} calls of the earlier versions are "
                                    "open at the last moment",
                                    open));
}

std::optional<RolloutControl::Decision> RolloutControl::Next(
    Rollout& rollout, Time now, WallTime wall) const {
  if (rollout.initial) {
    Decision decision;
    decision.stage = *rollout.initial;
    if (decision.stage.earlier.empty()) {
      decision.stage.earlier = rollout.servers.earlier_versions;
    }
    decision.reason = "ordered";
    return decision;
  }
  const RolloutStage& stage = *rollout.stored;
  const Plan plan = MakePlan(rollout, wall);
  rollout.budget = plan.budget;
  if (rollout.order_gone &&
      now - *rollout.order_gone >= options_.withdrawn_after) {
    return Step(rollout, RolloutPhase::kReverted, "the order was withdrawn");
  }
  const RolloutVerdict verdict = rollout.judge.verdict();
  const bool is_only_server =
      verdict.suspected && rollout.servers.target.size() == 1;
  if ((verdict.convicted || is_only_server) && !stage.proven) {
    return Step(rollout, RolloutPhase::kReverted, verdict.because);
  }
  switch (stage.phase) {
    case RolloutPhase::kWaiting:
      return FromWaiting(rollout, now, plan);
    case RolloutPhase::kCanary:
      return FromCanary(rollout, now, plan);
    case RolloutPhase::kMoving:
      return FromMoving(rollout, now, plan);
    case RolloutPhase::kComplete:
    case RolloutPhase::kReverted:
      break;
  }
  return std::nullopt;
}

std::vector<RolloutControl::Decision> RolloutControl::Decide(Time now,
                                                             WallTime wall) {
  decided_at_ = now;
  std::vector<Decision> decisions;
  for (auto& [service, rollout] : rollouts_) {
    if (!has_stored_ || !IsActive(rollout)) {
      continue;
    }
    TakeSample(rollout, now);
    const bool is_moving =
        rollout.stored && rollout.stored->phase == RolloutPhase::kMoving;
    const bool is_burst = is_moving && Rate(rollout, kRateWindow) >
                                           kBurst * rollout.rate_before_move;
    rollout.judge.CloseBlock(now, is_moving, is_burst);
    const bool is_pending =
        rollout.wanted && now - rollout.wanted_at < options_.store_retry;
    const bool is_urgent = is_pending &&
                           rollout.wanted->phase != RolloutPhase::kReverted &&
                           rollout.judge.verdict().convicted;
    if (is_pending && !is_urgent) {
      continue;
    }
    auto decision = Next(rollout, now, wall);
    if (!decision) {
      rollout.wanted.reset();
      continue;
    }
    rollout.wanted = decision->stage;
    rollout.wanted_at = now;
    rollout.wanted_reason = decision->reason;
    decision->verdict = rollout.judge.verdict();
    decision->findings = rollout.judge.findings();
    decision->budget = rollout.budget;
    decisions.push_back(*std::move(decision));
  }
  return decisions;
}

Time RolloutControl::next_due() const {
  const bool is_active = std::ranges::any_of(
      rollouts_, [this](const auto& item) { return IsActive(item.second); });
  return is_active ? decided_at_ + options_.tick : Time::max();
}

std::vector<RolloutControl::View> RolloutControl::Views() const {
  std::vector<View> views;
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.stored) {
      views.push_back({.stage = *rollout.stored,
                       .reason = rollout.reason,
                       .verdict = rollout.judge.verdict(),
                       .findings = rollout.judge.findings(),
                       .arrived = Arrived(rollout),
                       .spent = Spent(rollout),
                       .budget = rollout.budget,
                       .open_earlier = OpenEarlier(rollout),
                       .target_servers = rollout.servers.target.size(),
                       .earlier_servers = rollout.servers.earlier});
    }
  }
  return views;
}

size_t RolloutControl::bytes(const ServiceId& service) const {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) {
    return 0;
  }
  const Rollout& rollout = found->second;
  const size_t servers =
      rollout.servers.target.size() * (sizeof(ServerId) + sizeof(ServerId));
  return sizeof(Rollout) + servers + rollout.judge.bytes() +
         rollout.reports.capacity() * (sizeof(uint64_t) + sizeof(Report) + 1) +
         rollout.samples.size() * sizeof(Sample);
}

}  // namespace oleander
