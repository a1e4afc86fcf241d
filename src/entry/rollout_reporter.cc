#include "entry/rollout_reporter.h"

#include <algorithm>

#include "entry/rollout_codec.h"
#include "io/log.h"

namespace oleander::entry {
namespace {

// The holder gets at most this many reports a second from all instances.
constexpr int64_t kReportsPerSecond = 360;
constexpr Duration kMinInterval = std::chrono::milliseconds(250);
constexpr Duration kMinMovingInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxInterval = std::chrono::milliseconds(1000);
// Replies to older reports are taken without renewing the stages.
constexpr size_t kMaxOpenReports = 8;

}  // namespace

Duration RolloutReporter::IntervalFor(size_t instances, bool moves) {
  const Duration interval =
      std::chrono::seconds(static_cast<int64_t>(instances));
  return std::clamp<Duration>(interval / kReportsPerSecond,
                              moves ? kMinMovingInterval : kMinInterval,
                              kMaxInterval);
}

void RolloutReporter::Start() {
  const bool moves =
      std::ranges::any_of(feed_.stages(), [](const RolloutStage& stage) {
        return stage.phase == RolloutPhase::kMoving;
      });
  timer_ = context_.loop.After(IntervalFor(instances_, moves), [this] {
    Tick();
    Start();
  });
}

void RolloutReporter::Tick() {
  LogStaleness();
  const auto& holder = feed_.holder();
  if (!feed_.is_active() || !holder) {
    return;
  }
  const std::vector<RolloutEvidence> evidence =
      context_.rollouts->TakeEvidence(context_.loop.now());
  CountForMetrics(evidence);
  if (holder->instance == self_) {
    own_counts_(evidence);
  } else {
    Report(evidence);
  }
}

void RolloutReporter::Report(const std::vector<RolloutEvidence>& evidence) {
  mesh::Envelope envelope;
  entrywire::RolloutReport& report = *envelope.mutable_rollout_report();
  report.set_number(++number_);
  report.set_content(feed_.content());
  for (const RolloutEvidence& row : evidence) {
    WriteCounts(row, *report.add_counts());
  }
  if (!send_(feed_.holder()->instance, envelope)) {
    return;
  }
  open_reports_.push_back({.number = number_, .sent_at = context_.loop.now()});
  if (open_reports_.size() > kMaxOpenReports) {
    open_reports_.pop_front();
  }
}

void RolloutReporter::OnTell(const InstanceId& from,
                             const entrywire::RolloutTell& tell) {
  const auto report =
      std::ranges::find(open_reports_, tell.report(), &OpenReport::number);
  if (report != open_reports_.end()) {
    const Time sent_at = report->sent_at;
    open_reports_.erase(report);
    feed_.OnTell(tell, sent_at);
    if (feed_.KnowsNewer(tell)) {
      // The holder knows only an older copy of the store.
      mesh::Envelope envelope;
      feed_.WriteTell(/*known_content=*/0, *envelope.mutable_rollout_tell());
      send_(from, envelope);
    }
    return;
  }
  // The time at which it was sent isn't known.
  entrywire::RolloutTell without_age = tell;
  without_age.clear_stages_age_us();
  feed_.OnTell(without_age, context_.loop.now());
}

void RolloutReporter::CountForMetrics(
    const std::vector<RolloutEvidence>& evidence) {
  for (const RolloutStage& stage : feed_.stages()) {
    context_.metrics.SetRollout(stage.service, stage.phase, stage.share);
  }
  for (const RolloutEvidence& row : evidence) {
    const RolloutStage* stage = context_.rollouts->stage(row.service);
    const bool counts_target =
        stage != nullptr && !row.route.empty() && row.version == stage->target;
    if (counts_target) {
      context_.metrics.CountRolloutCalls(row.service, row.sent, row.failed);
    }
  }
}

void RolloutReporter::LogStaleness() {
  const auto at = feed_.stages_at();
  const Duration age = at ? context_.loop.now() - *at : Duration::max();
  // Before the first stage of an order there is nothing to hear.
  const bool has_stage = !feed_.stages().empty();
  const bool stale = has_stage && feed_.is_active() &&
                     age > RolloutSplitOptions().max_stage_age;
  if (stale == was_stale_) {
    return;
  }
  was_stale_ = stale;
  io::Log(
      stale ? io::LogLevel::kWarning : io::LogLevel::kInfo,
      stale ? "rollout.stale" : "rollout.heard",
      {{"holder", feed_.holder() ? feed_.holder()->instance.value() : ""},
       {"age_ms",
        at ? std::chrono::duration_cast<std::chrono::milliseconds>(age).count()
           : -1}});
}

}  // namespace oleander::entry
