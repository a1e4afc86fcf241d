#include "node/reclaimer.h"

#include <algorithm>
#include <utility>

#include "io/log.h"
#include "oleander/streams.h"

namespace oleander::node {
namespace {

constexpr double kLocalBytesPerSecond = 500e6;
// Bandwidth of the link between regions that this instance may use for KV
// caches.
constexpr double kLinkBytesPerSecond = 400e3;
constexpr int kLocalGroup = 0;
constexpr int kLinkGroup = 1;
constexpr Duration kUnknownTokenInterval = std::chrono::milliseconds(30);

}  // namespace

void Reclaimer::OnNotice(const ServerId& server, Duration left) {
  const auto leaving = parts_.servers.Find(server);
  if (!leaving.has_value()) {
    return;
  }
  std::vector<RunningRequest> running;
  for (const AttemptKey& key : parts_.requests.table().AttemptsOn(server)) {
    if (const auto view = parts_.dispatcher.Find(key)) {
      running.push_back(Describe(key, *view));
    }
  }
  if (running.empty()) {
    return;
  }
  ReclaimNotice notice;
  notice.server = server;
  notice.until_removal = left;
  notice.export_bytes_per_second = kLocalBytesPerSecond;
  notice.targets = Targets(*leaving);
  notice.links = {
      {.link_group = kLinkGroup, .bytes_per_second = kLinkBytesPerSecond}};
  const ReclaimPlan plan = PlanReclaim(notice, running);
  io::Log(io::LogLevel::kInfo, "reclaim.plan",
          {{"server", server.value()},
           {"requests", running.size()},
           {"recomputed_tokens", plan.recomputed_tokens},
           {"exported_bytes", plan.exported_bytes}});
  for (const ReclaimStep& step : plan.steps) {
    Execute(*leaving, step, left);
  }
}

RunningRequest Reclaimer::Describe(const AttemptKey& key,
                                   const Dispatcher::AttemptView& view) const {
  RunningRequest request;
  request.attempt = key;
  request.cached_tokens = view.prompt_tokens + view.generated;
  request.kv_bytes = request.cached_tokens * kv_bytes_per_token_;
  const Duration interval = view.token_interval > Duration::zero()
                                ? view.token_interval
                                : kUnknownTokenInterval;
  request.expected_to_finish =
      interval * std::max<int64_t>(0, view.max_tokens - view.generated);
  return request;
}

std::vector<ReclaimTarget> Reclaimer::Targets(const ServerInfo& leaving) const {
  std::vector<ReclaimTarget> targets;
  const Time now = parts_.loop.now();
  for (const ServerId& id : parts_.router.UsableServers(now, leaving.service)) {
    const auto info = parts_.servers.Find(id);
    const auto known = parts_.load.spread().Find(id, now);
    if (!info.has_value() || !known.has_value() || id == leaving.id) {
      continue;
    }
    const bool same_region = info->location.region == leaving.location.region;
    targets.push_back({.server = id,
                       .free_kv_tokens = known->report.kv_total_tokens -
                                         known->report.kv_used_tokens,
                       .bytes_per_second = same_region ? kLocalBytesPerSecond
                                                       : kLinkBytesPerSecond,
                       .link_group = same_region ? kLocalGroup : kLinkGroup});
  }
  return targets;
}

void Reclaimer::Execute(const ServerInfo& leaving, const ReclaimStep& step,
                        Duration left) {
  std::erase_if(timers_,
                [](const io::Timer& timer) { return !timer.active(); });
  switch (step.choice) {
    case ReclaimChoice::kFinish:
      break;
    case ReclaimChoice::kResume:
      parts_.requests.ResumeElsewhere(step.attempt);
      break;
    case ReclaimChoice::kExport:
      timers_.push_back(
          parts_.loop.After(step.starts, [this, leaving, step, left] {
            Export(leaving, step, left - step.starts);
          }));
      break;
  }
}

void Reclaimer::Export(const ServerInfo& leaving, const ReclaimStep& step,
                       Duration left) {
  const std::string attempt = AttemptName(step.attempt, parts_.self);
  parts_.engines.ExportKv(
      leaving, attempt, left,
      [this, leaving, step, left](const absl::StatusOr<io::KvHandle>& handle) {
        if (!handle.ok()) {
          parts_.requests.ResumeElsewhere(step.attempt);
          return;
        }
        UpdateKvBytesPerToken(*handle);
        Import(leaving, step, *handle, left);
      });
}

void Reclaimer::Import(const ServerInfo& leaving, const ReclaimStep& step,
                       const io::KvHandle& handle, Duration left) {
  const auto target = parts_.servers.Find(step.target);
  if (!target.has_value()) {
    parts_.requests.ResumeElsewhere(step.attempt);
    return;
  }
  parts_.engines.ImportKv(
      *target, handle, leaving, left,
      [this, step](const absl::StatusOr<io::KvHandle>& imported) {
        if (imported.ok()) {
          parts_.dispatcher.ResumeFrom(step.attempt.id, step.target,
                                       imported->handle);
        }
        parts_.requests.ResumeElsewhere(step.attempt);
      });
}

void Reclaimer::UpdateKvBytesPerToken(const io::KvHandle& handle) {
  if (handle.tokens > 0 && handle.bytes > 0) {
    kv_bytes_per_token_ = std::max<int64_t>(1, handle.bytes / handle.tokens);
  }
}

}  // namespace oleander::node
