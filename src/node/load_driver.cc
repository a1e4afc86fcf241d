#include "node/load_driver.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace oleander::node {
namespace {

constexpr Duration kSyncInterval = std::chrono::milliseconds(250);

LoadReport ReportOf(const ServerLoad& load) {
  return {.age = load.age,
          .running = load.running,
          .waiting = load.waiting,
          .slots = load.slots,
          .queued_tokens = load.queued_tokens,
          .tokens_per_s = load.tokens_per_s,
          .prefill_tokens_per_s = load.prefill_tokens_per_s,
          .kv_used_tokens = load.kv_used_tokens,
          .kv_total_tokens = load.kv_total_tokens,
          .leaving = load.leaving,
          .version = load.version};
}

ServerLoad LoadOf(const ServerId& server, const LoadReport& report) {
  return {.server = server,
          .age = report.age,
          .running = report.running,
          .waiting = report.waiting,
          .slots = std::max(1, report.slots),
          .queued_tokens = report.queued_tokens,
          .tokens_per_s = report.tokens_per_s,
          .prefill_tokens_per_s = report.prefill_tokens_per_s,
          .kv_used_tokens = report.kv_used_tokens,
          .kv_total_tokens = report.kv_total_tokens,
          .leaving = report.leaving,
          .version = report.version};
}

// Returns the average load of one server of a pool.
ServerLoad AverageLoad(const ServerId& server, const LoadSummary& summary) {
  const int servers = std::max(1, summary.servers);
  ServerLoad load;
  load.server = server;
  load.age = summary.age;
  load.running = summary.running / servers;
  load.waiting = summary.waiting / servers;
  load.slots = std::max(1, summary.slots / servers);
  load.queued_tokens = summary.queued_tokens / servers;
  return load;
}

}  // namespace

LoadDriver::LoadDriver(io::EventLoop& loop, io::EngineClient& engines,
                       Router& router, ServerDirectory& servers,
                       const InstanceInfo& self,
                       const LoadSpreadOptions& options, uint64_t seed,
                       std::function<void()> send_updates_now)
    : loop_(loop),
      engines_(engines),
      router_(router),
      servers_(servers),
      options_(options),
      spread_(self, options, seed, loop.now()),
      send_updates_now_(std::move(send_updates_now)) {}

void LoadDriver::SetServers(const std::vector<ServerInfo>& servers) {
  spread_.SetServers(servers, loop_.now());
  ExecuteActions();
}

void LoadDriver::SetLiveInstances(const std::vector<InstanceInfo>& live) {
  spread_.SetLiveInstances(live, loop_.now());
  ExecuteActions();
}

void LoadDriver::OnLeaving(const ServerId& server) {
  spread_.OnLeaving(server, loop_.now());
  ExecuteActions();
  router_.OnLeaving(loop_.now(), server);
}

void LoadDriver::OnUpdate(const InstanceId& from, const LoadUpdate& update) {
  spread_.OnUpdate(from, update, loop_.now());
  ExecuteActions();
}

LoadUpdate LoadDriver::UpdateFor(const InstanceId& neighbour,
                                 bool same_domain) {
  return spread_.UpdateFor(neighbour, same_domain, loop_.now());
}

void LoadDriver::Tick() {
  const Time now = loop_.now();
  if (spread_.next_due() <= now) {
    spread_.Tick(now);
    ExecuteActions();
  }
  if (next_sync_ <= now) {
    next_sync_ = now + kSyncInterval;
    SyncRouter();
  }
}

void LoadDriver::ExecuteActions() {
  for (const LoadAction& action : spread_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
}

void LoadDriver::Perform(const PollLoad& action) {
  Poll(action.server);
  if (action.server.kind == ServerKind::kEngine) {
    PollCacheEvents(action.server);
  }
}

void LoadDriver::Poll(const ServerInfo& server) {
  engines_.FetchLoad(
      server, options_.poll_timeout,
      [this, id = server.id](const absl::StatusOr<ServerLoad>& load) {
        OnReport(id, load);
      });
}

void LoadDriver::PollCacheEvents(const ServerInfo& server) {
  engines_.FetchCacheEvents(
      server, cache_event_cursors_[server.id],
      [this, id = server.id](const absl::StatusOr<io::CacheEventPage>& page) {
        if (page.ok()) {
          cache_event_cursors_[id] = page->next;
          router_.OnCacheEvents(loop_.now(), id, page->events);
        }
      });
}

void LoadDriver::OnReport(const ServerId& server,
                          const absl::StatusOr<ServerLoad>& load) {
  const Time now = loop_.now();
  if (!load.ok()) {
    spread_.OnPollFailed(server, now);
    return;
  }
  spread_.OnLoadReport(server, ReportOf(*load), now);
  ExecuteActions();
  router_.OnLoad(now, *load);
}

void LoadDriver::SyncRouter() {
  const Time now = loop_.now();
  std::map<std::pair<ServiceId, DomainId>, LoadSummary> summaries;
  for (const LoadSummary& summary : spread_.summaries(now)) {
    summaries.emplace(std::pair(summary.service, summary.domain), summary);
  }
  for (const ServerInfo& server : servers_.all()) {
    if (spread_.leaving(server.id)) {
      router_.OnLeaving(now, server.id);
      continue;
    }
    if (const auto known = spread_.Find(server.id, now)) {
      if (!known->direct) {
        router_.OnLoad(now, LoadOf(server.id, known->report));
      }
      continue;
    }
    const auto summary =
        summaries.find({server.service, server.location.domain});
    if (summary != summaries.end() && summary->second.servers > 0) {
      router_.OnLoad(now, AverageLoad(server.id, summary->second));
    }
  }
}

}  // namespace oleander::node
