#include "entry/store_feed.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Operators expect a change in force within two and a half seconds, so a read a
// second leaves room for one that fails.
constexpr Duration kConfigPeriod = std::chrono::milliseconds(1000);
constexpr Duration kConfigRetry = std::chrono::milliseconds(250);
// Waiting costs one call each; the longest that the store allows is 30 s.
constexpr Duration kServersWait = std::chrono::seconds(10);
constexpr Duration kServersRetry = std::chrono::milliseconds(250);

// Each limited workspace with its rate and burst.
std::string QuotaText(const ServingConfig& config) {
  std::string text;
  for (const Workspace& workspace : config.workspaces()) {
    if (workspace.quota.per_s > 0) {
      text += fmt::format("{}{}:{:.0f}/s+{:.0f}", text.empty() ? "" : ",",
                          workspace.id.value(), workspace.quota.per_s,
                          workspace.quota.burst);
    }
  }
  return text;
}

}  // namespace

void StoreFeed::Start() {
  ReadConfig();
  ListServers();
}

void StoreFeed::ReadConfig() {
  const Time asked_at = context_.loop.now();
  store_.Range({.call = 0, .key = catalog_.config_key(), .prefix = false},
               [this, asked_at](const absl::StatusOr<StoreRangeAnswer>& answer) {
                 OnConfig(asked_at, answer);
               });
}

void StoreFeed::OnConfig(Time asked_at,
                         const absl::StatusOr<StoreRangeAnswer>& answer) {
  NoteAnswer("config", answer.status());
  const bool found = answer.ok() && !answer->entries.empty();
  if (found) {
    ApplyConfig(answer->entries.front());
  }
  // A document that can't be read proves nothing: an older one is in force.
  const bool newest =
      found && context_.config != nullptr &&
      context_.config->revision() >= answer->entries.front().mod_revision;
  if (newest) {
    context_.proof.Prove(asked_at);
  }
  config_timer_ = context_.loop.After(found ? kConfigPeriod : kConfigRetry,
                                      [this] { ReadConfig(); });
}

void StoreFeed::ApplyConfig(const StoreEntry& entry) {
  const bool known = context_.config != nullptr &&
                     context_.config->revision() >= entry.mod_revision;
  if (known) {
    return;
  }
  auto parts = catalog_.ReadConfig(entry);
  if (!parts.ok()) {
    io::Log(io::LogLevel::kError, "config.unreadable",
            {{"revision", entry.mod_revision},
             {"reason", std::string(parts.status().message())}});
    return;
  }
  context_.config = ServingConfig::Create(*std::move(parts));
  context_.quotas.SetQuotas(context_.loop.now(), *context_.config);
  context_.metrics.SetConfigVersion(context_.config->version());
  io::Log(io::LogLevel::kInfo, "config.applied",
          {{"version", context_.config->version()},
           {"revision", entry.mod_revision},
           {"routes", context_.config->routes().size()},
           {"quotas", QuotaText(*context_.config)}});
  on_change_();
}

void StoreFeed::ListServers() {
  store_.Range({.call = 0, .key = catalog_.servers_prefix(), .prefix = true},
               [this](const absl::StatusOr<StoreRangeAnswer>& answer) {
                 OnListed(answer);
               });
}

void StoreFeed::OnListed(const absl::StatusOr<StoreRangeAnswer>& answer) {
  NoteAnswer("servers_list", answer.status());
  if (!answer.ok()) {
    ListAgain(kServersRetry);
    return;
  }
  std::vector<ListedServer> servers;
  for (const StoreEntry& entry : answer->entries) {
    auto server = catalog_.ReadServer(entry);
    if (server.ok()) {
      servers.push_back(*std::move(server));
    } else {
      io::Log(io::LogLevel::kWarning, "server.unreadable",
              {{"reason", std::string(server.status().message())}});
    }
  }
  watched_to_ = answer->revision;
  context_.listed.Replace(context_.loop.now(), std::move(servers),
                          answer->revision);
  Publish();
  WaitForServers();
}

void StoreFeed::WaitForServers() {
  waiting_ = true;
  const uint64_t round = ++wait_round_;
  store_.Wait({.prefix = catalog_.servers_prefix(),
               .after_revision = watched_to_,
               .longest = kServersWait},
              [this, round](const absl::StatusOr<ports::StoreChanges>& answer) {
                // A listing has taken this call's place.
                if (round == wait_round_) {
                  waiting_ = false;
                  OnChanges(answer);
                }
              });
}

void StoreFeed::OnChanges(const absl::StatusOr<ports::StoreChanges>& answer) {
  NoteAnswer("servers_wait", answer.status());
  if (!answer.ok()) {
    const bool gap =
        CodeOf(answer.status()) == ResultCode::kStoreRevisionCompacted;
    ListAgain(gap ? Duration::zero() : kServersRetry);
    return;
  }
  watched_to_ = std::max(watched_to_, answer->revision);
  std::ranges::for_each(
      answer->changes,
      [this](const ports::StoreChange& change) { ApplyChange(change); });
  Publish();
  WaitForServers();
}

void StoreFeed::ApplyChange(const ports::StoreChange& change) {
  const Time now = context_.loop.now();
  const ServerId id = catalog_.ServerOf(change.entry.key);
  if (change.removed) {
    context_.listed.Remove(now, id, change.entry.mod_revision);
    return;
  }
  auto server = catalog_.ReadServer(change.entry);
  if (!server.ok()) {
    io::Log(io::LogLevel::kWarning, "server.unreadable",
            {{"reason", std::string(server.status().message())}});
    context_.listed.Remove(now, id, change.entry.mod_revision);
    return;
  }
  context_.listed.Put(now, *std::move(server), change.entry.mod_revision);
}

void StoreFeed::ListAgain(Duration pause) {
  waiting_ = false;
  ++wait_round_;
  servers_timer_ = context_.loop.After(pause, [this] { ListServers(); });
}

void StoreFeed::Publish() {
  const Time due = context_.listed.next_due();
  if (due != Time::max()) {
    return_timer_ =
        context_.loop.After(due - context_.loop.now(), [this] { 
          context_.listed.Tick(context_.loop.now());
          Publish();
        });
  }
  if (published_ == context_.listed.generation()) {
    return;
  }
  published_ = context_.listed.generation();
  const std::vector<const ListedServer*> ready = context_.listed.ready();
  context_.placement.SetServers(ready);
  context_.metrics.SetServers(ready.size());
  io::Log(io::LogLevel::kInfo, "servers.changed",
          {{"ready", ready.size()},
           {"listed", context_.listed.all().size()},
           {"revision", watched_to_}});
  on_change_();
}

void StoreFeed::NoteAnswer(std::string_view call, const absl::Status& status) {
  context_.metrics.CountStoreCall(call, status.ok());
  const ResultCode code = CodeOf(status);
  const bool answered = status.ok() || code == ResultCode::kStoreRevisionCompacted ||
                        code == ResultCode::kBadAnswer;
  if (answered == !away_) {
    return;
  }
  away_ = !answered;
  const Time now = context_.loop.now();
  if (away_) {
    context_.listed.OnStoreAway(now);
  } else {
    context_.listed.OnStoreBack(now);
    // Calls that waited through the outage may wait on a dead connection.
    if (waiting_) {
      ListAgain(Duration::zero());
    }
  }
  io::Log(away_ ? io::LogLevel::kWarning : io::LogLevel::kInfo,
          away_ ? "store.lost" : "store.regained",
          {{"call", call}, {"reason", std::string(status.message())}});
}

}  // namespace oleander::entry
