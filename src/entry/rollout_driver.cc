#include "entry/rollout_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ranges>
#include <utility>

#include "entry/rollout_codec.h"
#include "entry/rollout_reporter.h"
#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

using nlohmann::json;

constexpr const char* kRecordsPrefix = "/oleander/rollouts/";
// The duty must be held for this much longer to decide, tell or write: a
// message reaches the other instances within it.
constexpr Duration kHoldMargin = std::chrono::milliseconds(300);
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);
// Bounds for the time between two looks at what is due. The lease is checked
// at each.
constexpr Duration kMinTick = std::chrono::milliseconds(10);
constexpr Duration kMaxTick = std::chrono::milliseconds(500);
// Instances that have not reported for this long are told the stages, some at a
// time.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1500);
constexpr Duration kTellSilentInterval = std::chrono::milliseconds(1000);
constexpr size_t kMaxSilentTold = 32;

std::string RecordKey(const ServiceId& service) {
  return kRecordsPrefix + service.value();
}

std::string_view PhaseName(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kWaiting:
      return "waiting";
    case RolloutPhase::kCanary:
      return "canary";
    case RolloutPhase::kMoving:
      return "moving";
    case RolloutPhase::kComplete:
      return "complete";
    case RolloutPhase::kReverted:
      return "reverted";
  }
  return "unknown";
}

std::optional<RolloutStage> StageIn(const StoreEntry* record) {
  entrywire::RolloutRecord wire;
  return record != nullptr && wire.ParseFromString(record->value)
             ? ReadStage(wire.stage())
             : std::nullopt;
}

int64_t UnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

json StageJson(const RolloutStage& stage) {
  json servers = json::array();
  for (const ServerId& server : stage.canaries) {
    servers.push_back(server.value());
  }
  return {{"service", stage.service.value()},
          {"to", stage.target},
          {"stage", PhaseName(stage.phase)},
          {"share", stage.share},
          {"route_shares", stage.route_shares},
          {"canaries", std::move(servers)},
          {"step", stage.step},
          {"order", stage.order_revision},
          {"ordered_at_ms", UnixMilliseconds(stage.ordered_at)},
          {"deadline_ms", UnixMilliseconds(stage.deadline)},
          {"arrived", stage.arrived},
          {"spent", stage.spent}};
}

json FindingsJson(const std::vector<RolloutFinding>& findings) {
  json list = json::array();
  for (const RolloutFinding& finding : findings) {
    list.push_back({{"route", finding.route},
                    {"target_answers", finding.target_answers},
                    {"target_failed", finding.target_failed},
                    {"earlier_answers", finding.earlier_answers},
                    {"earlier_failed", finding.earlier_failed},
                    {"failing", finding.failing},
                    {"slow", finding.slow}});
  }
  return list;
}

void AddView(const RolloutControl::View& view, json& document) {
  document["reason"] = view.reason;
  document["arrived"] = view.arrived;
  document["spent"] = view.spent;
  document["budget"] = view.budget;
  document["open_earlier"] = view.open_earlier;
  document["target_servers"] = view.target_servers;
  document["earlier_servers"] = view.earlier_servers;
  document["verdict"] = {{"convicted", view.verdict.convicted},
                         {"suspected", view.verdict.suspected},
                         {"because", view.verdict.because},
                         {"statistic", view.verdict.statistic},
                         {"threshold", view.verdict.threshold}};
  document["findings"] = FindingsJson(view.findings);
}

}  // namespace

RolloutDriver::RolloutDriver(CallContext& context, ports::StorePort& store,
                             const ports::CatalogPort& catalog,
                             const DutyLease& lease, RolloutFeed& feed,
                             InstanceId self, const RolloutBounds& bounds,
                             Send send)
    : context_(context),
      store_(store),
      catalog_(catalog),
      lease_(lease),
      feed_(feed),
      self_(std::move(self)),
      bounds_(bounds),
      send_(std::move(send)),
      live_({self_}) {}

bool RolloutDriver::may_decide() const {
  return !context_.draining && lease_.FenceFor(kHoldMargin).has_value();
}

void RolloutDriver::OnTaken() {
  Stop();
  feed_.Hold(true);
  Load();
}

void RolloutDriver::Stop() {
  ++load_round_;
  control_.reset();
  writes_.clear();
  stored_.clear();
  reported_at_.clear();
  lease_revision_ = 0;
  timer_.Cancel();
  load_timer_.Cancel();
  read_timer_.Cancel();
  feed_.Hold(false);
}

void RolloutDriver::Load() {
  if (!may_decide()) {
    Stop();
    return;
  }
  load_timer_ = context_.loop.After(kRetryInterval, [this] { Load(); });
  if (lease_revision_ != 0) {
    feed_.Confirm();
    return;
  }
  const uint64_t round = ++load_round_;
  StoreRange read;
  read.key = lease_.key();
  store_.Range(read, [this, round](const auto& answer) {
    context_.metrics.CountStoreCall("rollout_duty", answer.ok());
    // The key of an earlier lease ended before this instance took the duty.
    const bool is_held =
        round == load_round_ && answer.ok() && !answer->entries.empty() &&
        may_decide() &&
        answer->entries.front().value.starts_with(self_.value() + " ");
    if (is_held) {
      lease_revision_ = answer->entries.front().mod_revision;
      feed_.Confirm();
    }
  });
}

void RolloutDriver::BeginIfLoaded() {
  const bool loaded = lease_revision_ != 0 &&
                      feed_.orders_revision() >= lease_revision_ &&
                      feed_.records_revision() >= lease_revision_ &&
                      context_.listed.has_listing();
  const auto fence = lease_.FenceFor(kHoldMargin);
  if (!loaded || !fence) {
    return;
  }
  load_timer_.Cancel();
  Begin(*fence);
}

void RolloutDriver::Begin(int64_t fence) {
  RolloutControlOptions options;
  options.exposure_share = bounds_.exposure_share;
  options.exposure_slack = static_cast<int64_t>(bounds_.exposure_slack);
  options.rollback = bounds_.rollback;
  report_interval_ = RolloutReporter::IntervalFor(live_.size());
  options.evidence_interval = report_interval_;
  control_.emplace(options);
  io::Log(io::LogLevel::kInfo, "rollout.holder",
          {{"fence", fence},
           {"stages", feed_.stages().size()},
           {"report_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             options.evidence_interval)
                             .count()}});
  RefreshStored();
  const Time now = context_.loop.now();
  control_->OnOrders(now, wall_now(), feed_.orders());
  control_->OnStored(now, wall_now(), KnownStages());
  control_->OnServers(now, context_.listed.all());
  control_->SetInstances(now, live_);
  feed_.OnDecided({.instance = self_, .fence = fence}, {});
  if (feed_.is_active()) {
    TellAll();
  }
  Tick();
}

void RolloutDriver::OnFeed() {
  if (!control_) {
    BeginIfLoaded();
    return;
  }
  RefreshStored();
  const Time now = context_.loop.now();
  control_->OnOrders(now, wall_now(), feed_.orders());
  control_->OnStored(now, wall_now(), KnownStages());
  if (!deciding_) {
    timer_ = context_.loop.After(kMinTick, [this] { Tick(); });
  }
}

std::vector<RolloutStage> RolloutDriver::KnownStages() const {
  std::vector<RolloutStage> stages = feed_.stages();
  std::erase_if(stages, [this](const RolloutStage& stage) {
    const auto write = writes_.find(stage.service);
    return write != writes_.end() && write->second.stage == stage;
  });
  return stages;
}

void RolloutDriver::OnServers() {
  if (control_) {
    control_->OnServers(context_.loop.now(), context_.listed.all());
  } else {
    BeginIfLoaded();
  }
}

void RolloutDriver::SetInstances(std::vector<InstanceId> live) {
  live_ = std::move(live);
  if (!control_) {
    return;
  }
  control_->SetInstances(context_.loop.now(), live_);
  const bool reports_otherwise =
      RolloutReporter::IntervalFor(live_.size()) != report_interval_;
  const auto fence = lease_.FenceFor(kHoldMargin);
  if (reports_otherwise && fence && !feed_.is_active() && writes_.empty()) {
    Begin(*fence);
  }
}

void RolloutDriver::OnReport(const InstanceId& from,
                             const entrywire::RolloutReport& report) {
  if (!control_ || !may_decide()) {
    return;
  }
  std::vector<RolloutEvidence> evidence;
  for (const entrywire::RolloutCounts& wire : report.counts()) {
    if (auto counts = ReadCounts(wire)) {
      evidence.push_back(*std::move(counts));
    }
  }
  const Time now = context_.loop.now();
  control_->OnEvidence(now, from, evidence);
  reported_at_[from] = now;
  Tell(from, report.content(), report.number());
}

void RolloutDriver::OnOwnCounts(const std::vector<RolloutEvidence>& evidence) {
  if (control_ && may_decide()) {
    control_->OnEvidence(context_.loop.now(), self_, evidence);
  }
}

void RolloutDriver::Tick() {
  if (!may_decide()) {
    io::Log(io::LogLevel::kInfo, "rollout.holder_ends", {});
    Stop();
    return;
  }
  deciding_ = true;
  const Time now = context_.loop.now();
  for (const RolloutControl::Decision& decision :
       control_->Decide(now, wall_now())) {
    LogDecision(decision);
    Store(decision);
    if (decision.tell_at_once) {
      Announce({decision.stage});
    }
  }
  RewriteMissing();
  feed_.OnRenewed();
  TellSilent();
  deciding_ = false;
  const Time due = std::min(control_->next_due(), now + kMaxTick);
  timer_ = context_.loop.After(std::max<Duration>(kMinTick, due - now),
                               [this] { Tick(); });
}

void RolloutDriver::LogDecision(
    const RolloutControl::Decision& decision) const {
  const RolloutStage& stage = decision.stage;
  io::Log(io::LogLevel::kInfo, "rollout.stage",
          {{"service", stage.service.value()},
           {"to", stage.target},
           {"stage", PhaseName(stage.phase)},
           {"step", stage.step},
           {"order", stage.order_revision},
           {"share", stage.share},
           {"canaries", stage.canaries.size()},
           {"arrived", stage.arrived},
           {"spent", stage.spent},
           {"budget", decision.budget},
           {"left_ms",
            UnixMilliseconds(stage.deadline) - UnixMilliseconds(wall_now())},
           {"reason", decision.reason}});
  if (!decision.verdict.convicted && !decision.verdict.suspected &&
      !stage.is_over()) {
    return;
  }
  io::Log(stage.phase == RolloutPhase::kReverted ? io::LogLevel::kWarning
                                                 : io::LogLevel::kInfo,
          "rollout.verdict",
          {{"service", stage.service.value()},
           {"to", stage.target},
           {"stage", PhaseName(stage.phase)},
           {"convicted", decision.verdict.convicted},
           {"suspected", decision.verdict.suspected},
           {"because", decision.verdict.because},
           {"worst", decision.verdict.worst.value()},
           {"statistic", decision.verdict.statistic},
           {"threshold", decision.verdict.threshold},
           {"evidence", FindingsJson(decision.findings).dump()}});
}

void RolloutDriver::RefreshStored() {
  for (const StoreEntry& entry : std::views::values(feed_.records())) {
    auto stage = StageIn(&entry);
    if (!stage) {
      continue;
    }
    Stored& stored = stored_[stage->service];
    if (entry.mod_revision > stored.revision) {
      stored = {.revision = entry.mod_revision, .stage = std::move(stage)};
    }
  }
}

void RolloutDriver::RewriteMissing() {
  const std::vector<RolloutOrder> orders = feed_.orders();
  for (const RolloutStage& stage : feed_.stages()) {
    const auto stored = stored_.find(stage.service);
    const bool is_stored = stored != stored_.end() && stored->second.stage &&
                           std::pair(stored->second.stage->order_revision,
                                     stored->second.stage->step) >=
                               std::pair(stage.order_revision, stage.step);
    const bool has_newer_order =
        std::ranges::any_of(orders, [&](const RolloutOrder& order) {
          return order.service == stage.service &&
                 order.revision > stage.order_revision;
        });
    if (!is_stored && !has_newer_order) {
      WriteStageOf(stage, "the stage that instances follow was not stored");
    }
  }
}

void RolloutDriver::Store(const RolloutControl::Decision& decision) {
  WriteStageOf(decision.stage, decision.reason);
}

void RolloutDriver::WriteStageOf(const RolloutStage& stage,
                                 const std::string& reason) {
  const ServiceId& service = stage.service;
  if (writes_.contains(service)) {
    return;  // RolloutControl decides again if this stage isn't stored.
  }
  entrywire::RolloutRecord record;
  WriteStage(stage, *record.mutable_stage());
  record.set_reason(reason);
  const Write write{.stage = stage, .record = record.SerializeAsString()};
  writes_[service] = write;
  StoreCas request;
  request.compares = {
      {.key = lease_.key(), .mod_revision = lease_revision_},
      {.key = RecordKey(service), .mod_revision = stored_[service].revision}};
  // A stage of an order that has vanished is written all the same.
  if (const StoreEntry* order = feed_.OrderEntry(service)) {
    request.compares.push_back(
        {.key = order->key, .mod_revision = order->mod_revision});
  }
  // The record comes last: the revision of the answer is that of the last put.
  request.puts = {catalog_.RolloutStatus(stage),
                  {.key = RecordKey(service), .value = write.record}};
  store_.Cas(request, [this, service, round = load_round_](const auto& answer) {
    context_.metrics.CountStoreCall("rollout", answer.ok());
    if (round == load_round_) {
      OnAnswer(service, answer);
    }
  });
}

void RolloutDriver::OnAnswer(const ServiceId& service,
                             const absl::StatusOr<StoreCasAnswer>& answer) {
  if (!answer.ok()) {
    io::Log(io::LogLevel::kWarning, "rollout.write_unknown",
            {{"service", service.value()},
             {"reason", std::string(answer.status().message())}});
    ReadBack(service);
    return;
  }
  if (answer->succeeded) {
    OnStored(service, answer->revision);
    return;
  }
  const auto find = [&](const std::string& key) {
    const auto entry =
        std::ranges::find(answer->current, key, &StoreEntry::key);
    return entry == answer->current.end() ? nullptr : &*entry;
  };
  const StoreEntry* duty = find(lease_.key());
  if (duty == nullptr || duty->mod_revision != lease_revision_) {
    io::Log(io::LogLevel::kWarning, "rollout.holder_ends",
            {{"reason", "the duty's key is another one"}});
    Stop();
    return;
  }
  OnRecord(service, find(RecordKey(service)));
  feed_.Confirm();  // The order may be another one.
}

void RolloutDriver::ReadBack(const ServiceId& service) {
  StoreRange read;
  read.key = RecordKey(service);
  store_.Range(read, [this, service, round = load_round_](const auto& answer) {
    context_.metrics.CountStoreCall("rollout_read", answer.ok());
    if (round == load_round_) {
      OnReadBack(service, answer);
    }
  });
}

void RolloutDriver::OnReadBack(const ServiceId& service,
                               const absl::StatusOr<StoreRangeAnswer>& answer) {
  if (!answer.ok()) {
    read_timer_ = context_.loop.After(kRetryInterval, [this] {
      const std::vector<ServiceId> services(std::views::keys(writes_).begin(),
                                            std::views::keys(writes_).end());
      std::ranges::for_each(services,
                            [this](const auto& each) { ReadBack(each); });
    });
    return;
  }
  OnRecord(service,
           answer->entries.empty() ? nullptr : &answer->entries.front());
}

void RolloutDriver::OnRecord(const ServiceId& service,
                             const StoreEntry* record) {
  const auto write = writes_.find(service);
  if (write == writes_.end()) {
    return;
  }
  if (record != nullptr && record->value == write->second.record) {
    OnStored(service, record->mod_revision);
    return;
  }
  writes_.erase(write);
  const auto stage = StageIn(record);
  stored_[service] = {.revision = record == nullptr ? 0 : record->mod_revision,
                      .stage = stage};
  if (stage) {
    control_->OnStored(context_.loop.now(), wall_now(), {*stage});
  }
}

void RolloutDriver::OnStored(const ServiceId& service, int64_t revision) {
  const auto write = writes_.extract(service);
  const RolloutStage& stage = write.mapped().stage;
  stored_[service] = {.revision = revision, .stage = stage};
  control_->OnStored(context_.loop.now(), wall_now(), {stage});
  Announce({stage});
}

void RolloutDriver::Announce(const std::vector<RolloutStage>& stages) {
  const auto fence = lease_.FenceFor(kHoldMargin);
  if (!fence) {
    return;
  }
  const bool was_deciding = std::exchange(deciding_, true);
  feed_.OnDecided({.instance = self_, .fence = *fence}, stages);
  deciding_ = was_deciding;
  TellAll();
}

void RolloutDriver::TellAll() {
  for (const InstanceId& instance : live_) {
    if (instance != self_) {
      Tell(instance, /*known_content=*/0, /*report=*/0);
    }
  }
}

void RolloutDriver::Tell(const InstanceId& to, uint64_t known_content,
                         uint64_t report) {
  mesh::Envelope envelope;
  entrywire::RolloutTell& tell = *envelope.mutable_rollout_tell();
  feed_.WriteTell(known_content, tell);
  tell.set_report(report);
  send_(to, envelope);
}

void RolloutDriver::TellSilent() {
  const Time now = context_.loop.now();
  if (!feed_.is_active() || now - told_silent_at_ < kTellSilentInterval) {
    return;
  }
  told_silent_at_ = now;
  size_t told = 0;
  for (size_t i = 0; i < live_.size() && told < kMaxSilentTold; ++i) {
    const InstanceId& instance = live_[next_silent_++ % live_.size()];
    const auto report = reported_at_.find(instance);
    const bool is_silent =
        report == reported_at_.end() || now - report->second > kSilentAfter;
    if (is_silent && instance != self_) {
      Tell(instance, /*known_content=*/0, /*report=*/0);
      ++told;
    }
  }
}

std::string RolloutDriver::Json() const {
  json list = json::array();
  const std::vector<RolloutControl::View> views =
      control_ ? control_->Views() : std::vector<RolloutControl::View>();
  const std::vector<RolloutStage> stages = feed_.stages();
  for (const RolloutStage& stage : stages) {
    json document = StageJson(stage);
    const auto entry = feed_.records().find(RecordKey(stage.service));
    entrywire::RolloutRecord record;
    if (entry != feed_.records().end() &&
        record.ParseFromString(entry->second.value)) {
      document["reason"] = record.reason();
    }
    const auto view = std::ranges::find_if(views, [&](const auto& each) {
      return each.stage.service == stage.service;
    });
    if (view != views.end()) {
      AddView(*view, document);
    }
    list.push_back(std::move(document));
  }
  for (const RolloutOrder& order : feed_.orders()) {
    const bool has_stage =
        std::ranges::any_of(stages, [&](const RolloutStage& stage) {
          return stage.service == order.service &&
                 stage.order_revision >= order.revision;
        });
    if (!has_stage) {
      list.push_back({{"service", order.service.value()},
                      {"to", order.target},
                      {"stage", "ordered"},
                      {"order", order.revision}});
    }
  }
  const auto at = feed_.stages_at();
  json document = {{"instance", self_.value()},
                   {"holder", feed_.holder() ? feed_.holder()->instance.value()
                                             : std::string()},
                   {"decides", control_.has_value()},
                   {"rollouts", std::move(list)}};
  if (at) {
    document["heard_ms_ago"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            context_.loop.now() - *at)
            .count();
  }
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace oleander::entry
