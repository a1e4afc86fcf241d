// Decides on the stages of all roll-outs, at the instance that holds this duty.
//
// For each order it waits for servers of the target, gives the target a small
// share of the calls, and moves all calls to it as late before the deadline as
// the calls at the earlier version take to end. So the target gets a small part
// of all calls until the deadline even if it turns bad late. How much it may
// get in all is a budget below exposure_share of the calls and exposure_slack.
// RolloutJudge compares the versions all the time; a verdict against the target
// reverts the roll-out at once.
//
// Whatever a stage raises is stored before it takes effect, and an instance
// that hears nothing goes down. A successor takes the stage from the store and
// the counts from the instances' totals, and raises nothing before it has
// evidence of its own.
//
//   RolloutControl control(options);
//   control.OnOrders(now, wall, orders);
//   control.OnStored(now, wall, stages);
//   control.OnServers(now, listed.all());
//   control.SetInstances(now, live);
//   control.OnEvidence(now, instance, split.TakeEvidence(now));
//   for (const auto& decision : control.Decide(now, wall)) {
//     // Store decision.stage if the store has the step before; then OnStored()
//     // and tell the instances.
//   }
//
// Designed for 360 instances that report four times a second, a handful of
// services, and durations from ten seconds to hours.
#ifndef OLEANDER_ROLLOUT_CONTROL_H_
#define OLEANDER_ROLLOUT_CONTROL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "oleander/listed_servers.h"
#include "oleander/rollout_judge.h"
#include "oleander/rollouts.h"
#include "oleander/types.h"

namespace oleander {

struct RolloutControlOptions {
  // The bound: this share of the calls between order and deadline, and as many
  // more.
  double exposure_share = 0.1;
  int64_t exposure_slack = 50;
  // No call goes to the target later than this after its 50th bad answer.
  Duration rollback = std::chrono::seconds(5);
  // Part of the bound that is planned with. The rest is for calls under way,
  // uneven instances, and calls that other versions refuse.
  double budget_part = 0.85;
  // Part of the bound at which calls stop to go to the target.
  double stop_part = 1.0;
  // How often instances report (while the calls move, more often helps), and
  // how long a stage takes from the decision until all instances in touch
  // follow it and their reports say so.
  Duration evidence_interval = std::chrono::milliseconds(250);
  Duration tell_time = std::chrono::milliseconds(500);
  // How often Decide() is to be called while a roll-out is active.
  Duration tick = std::chrono::milliseconds(100);
  // `complete` is decided this long before the deadline, and the time that the
  // store took lately.
  Duration deadline_margin = std::chrono::milliseconds(300);
  // Of all calls, in kCanary, unless the slack allows more.
  double canary_share = 0.05;
  // Shares are planned anew at most this often.
  Duration plan_interval = std::chrono::milliseconds(1500);
  // After an outage that hid a server or an order, how long it may be missing.
  Duration withdrawn_after = std::chrono::seconds(5);
  // A decision that isn't found in the store is made again after this.
  Duration store_retry = std::chrono::seconds(1);
  // A version of which this share of the answers is bad is to be found.
  double bad_share = 0.15;
  RolloutJudgeOptions judge;
};

class RolloutControl {
 public:
  struct Decision {
    RolloutStage stage;
    std::string reason;
    // The stage only lowers what the target gets: instances may be told before
    // it is stored.
    bool tell_at_once = false;
    RolloutVerdict verdict;
    std::vector<RolloutFinding> findings;
    double budget = 0;  // Calls that the target may get until the deadline.
  };
  // For `rollout show` and `rollout why`.
  struct View {
    RolloutStage stage;
    std::string reason;  // Of the last decision of this holder.
    RolloutVerdict verdict;
    std::vector<RolloutFinding> findings;
    int64_t arrived = 0;
    int64_t spent = 0;
    double budget = 0;
    int64_t open_earlier = 0;
    size_t target_servers = 0;
    size_t earlier_servers = 0;
  };

  explicit RolloutControl(RolloutControlOptions options);

  // Sets all orders, as the store has them.
  void OnOrders(Time now, WallTime wall,
                const std::vector<RolloutOrder>& orders);
  // Takes stages that the store has: all of them or those that changed. To be
  // called once, maybe with none, before the first Decide().
  void OnStored(Time now, WallTime wall,
                const std::vector<RolloutStage>& stages);
  void OnServers(Time now, const std::vector<const ListedServer*>& servers);
  void SetInstances(Time now, const std::vector<InstanceId>& live);
  // Sets how long a write to the store takes, as calls of any kind showed
  // lately. Decisions of the last moment come this much earlier.
  void SetStoreTime(Duration time);
  void OnEvidence(Time now, const InstanceId& from,
                  const std::vector<RolloutEvidence>& evidence);

  // `wall` is on the clock on which the instances agree, here and above.
  // Returns stages that changed, to be stored on the condition that the store
  // has the step before, or no stage of this order.
  std::vector<Decision> Decide(Time now, WallTime wall);
  // Returns when to call Decide() next, or Time::max().
  Time next_due() const;

  std::vector<View> Views() const;
  // Memory of the roll-out of one service.
  size_t bytes(const ServiceId& service) const;

 private:
  // By the hash of the instance's name.
  struct Report {
    Time at;
    int32_t step = 0;
    // Totals of this run of the instance, and of its runs before.
    int32_t calls = 0;
    int32_t target = 0;
    int32_t calls_before = 0;
    int32_t target_before = 0;
    int32_t open_earlier = 0;
    int32_t waiting_earlier = 0;
    int32_t waiting_target = 0;
  };
  struct Sample {
    Time at;
    int64_t calls = 0;  // Heard of by this holder.
  };
  struct Servers {
    std::vector<ServerId> target;
    size_t earlier = 0;
    int target_slots = 0;
    int earlier_slots = 0;
    std::vector<std::string> earlier_versions;
  };
  struct RouteRate {
    std::string route;
    double sent = 0;  // Calls of the last seconds, fading.
    int64_t target_answers = 0;
  };
  struct Rollout {
    std::optional<RolloutOrder> order;
    std::optional<Time> order_gone;
    // The first stage of the order, until the store has one.
    std::optional<RolloutStage> initial;
    std::optional<RolloutStage> stored;
    std::optional<RolloutStage> wanted;  // Decided and not yet stored.
    Time wanted_at;
    std::string reason;
    std::string wanted_reason;
    Time stage_since;
    Time adopted_at;
    Servers servers;
    RolloutJudge judge;
    bool judge_is_set = false;
    int64_t calls_heard = 0;
    absl::flat_hash_map<uint64_t, Report> reports;
    std::deque<Sample> samples;
    std::vector<RouteRate> routes;
    Time rates_faded_at;
    Duration longest_earlier{};
    Time longest_at;
    double mean_wait_earlier_s = 0;
    double rate_before_move = 0;
    Time planned_at;
    Time anew_at;  // When the test began anew.
    std::vector<ServerId> suspects;
    double budget = 0;
  };
  struct Plan;

  bool IsActive(const Rollout& rollout) const;
  // Begins with a new order.
  void Restart(Rollout& rollout, Time now, WallTime wall);
  bool SetJudge(Rollout& rollout, const RolloutStage& stage) const;
  void CountServers(Rollout& rollout) const;
  static void TakeSummary(Rollout& rollout, Report& report, Time now,
                          const RolloutEvidence& row);
  void TakeCounts(Rollout& rollout, const RolloutStage& stage,
                  const RolloutEvidence& row);
  void TakeSample(Rollout& rollout, Time now);

  int64_t Arrived(const Rollout& rollout) const;
  int64_t Spent(const Rollout& rollout) const;
  int64_t OpenEarlier(const Rollout& rollout) const;
  // Returns the calls a second in the time up to now.
  double Rate(const Rollout& rollout, Duration window) const;
  // Returns whether this part of the live instances reported lately, and
  // follows this step or a later one.
  bool IsCovered(const Rollout& rollout, Time now, int64_t step,
                 double part) const;
  // Returns whether first events of calls at the target don't come.
  bool IsStalled(const Rollout& rollout) const;
  static void PlanTrial(const Rollout& rollout, double canary_share,
                        Duration store_time, Plan& plan);
  Plan MakePlan(const Rollout& rollout, WallTime wall) const;

  std::optional<Decision> Next(Rollout& rollout, Time now, WallTime wall) const;
  std::optional<Decision> FromWaiting(Rollout& rollout, Time now,
                                      const Plan& plan) const;
  std::optional<Decision> FromCanary(Rollout& rollout, Time now,
                                     const Plan& plan) const;
  std::optional<Decision> FromMoving(Rollout& rollout, Time now,
                                     const Plan& plan) const;
  std::optional<Decision> Replan(Rollout& rollout, Time now, const Plan& plan,
                                 bool may_raise) const;
  Decision Step(const Rollout& rollout, RolloutPhase phase,
                std::string reason) const;
  // Sets the shares to `part` of what is planned, and the canaries.
  void SetShares(const Rollout& rollout, const Plan& plan, double part,
                 RolloutStage& stage) const;
  void SetCanaries(const Rollout& rollout, RolloutStage& stage) const;

  RolloutControlOptions options_;
  std::map<ServiceId, Rollout> rollouts_;
  std::vector<ListedServer> listed_;
  absl::flat_hash_set<uint64_t> live_;
  Duration store_time_{};
  Time decided_at_;
  bool has_stored_ = false;
};

}  // namespace oleander

#endif  // OLEANDER_ROLLOUT_CONTROL_H_
