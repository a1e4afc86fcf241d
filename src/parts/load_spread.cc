#include "oleander/load_spread.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>
#include <utility>

#include "parts/load_spread_impl.h"
#include "parts/rings.h"

namespace oleander {
namespace {

constexpr Duration kStalePollCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kSummaryCheckInterval = std::chrono::seconds(1);
constexpr size_t kSummaryProducers = 2;
// A leaving server counts as available again only by figures that were sampled
// more than this long after it was last seen leaving.
constexpr Duration kLeavingHoldTime = std::chrono::seconds(5);
constexpr double kJitter = 0.1;
constexpr double kStalePollBurst = 4;

int CountOf(uint8_t level) {
  return static_cast<int>(std::lround(ValueOf(level)));
}

}  // namespace

LoadSpread::Impl::Impl(InstanceInfo self, const LoadSpreadOptions& options,
                       uint64_t seed, Time now)
    : self_(std::move(self)),
      options_(options),
      gen_(seed),
      live_({self_}),
      live_domains_({self_.location.domain}),
      next_summaries_(now + kSummaryCheckInterval),
      next_stale_poll_(now + kStalePollCheckInterval) {}

void LoadSpread::Impl::SetServers(const std::vector<ServerInfo>& servers,
                                  Time now) {
  if (servers == listed_) {
    return;
  }
  listed_ = servers;
  std::map<ServerId, Server> before;
  for (Server& server : servers_) {
    before.emplace(server.info.id, std::move(server));
  }
  roster_.Set(servers);
  servers_.clear();
  for (const ServerInfo& info : roster_.servers()) {
    Server server;
    if (auto known = before.extract(info.id)) {
      server = std::move(known.mapped());
    } else {
      server.stale_poll_not_before = now + options_.stale_poll_age;
    }
    server.info = info;
    servers_.push_back(std::move(server));
  }
  std::erase_if(summaries_, [&](const auto& item) {
    return !std::ranges::binary_search(roster_.pools(), item.first);
  });
  SelectPollers(now);
}

void LoadSpread::Impl::SetLiveInstances(const std::vector<InstanceInfo>& live,
                                        Time now) {
  if (live == live_) {
    return;
  }
  live_ = live;
  if (std::ranges::find(live_, self_.id, &InstanceInfo::id) == live_.end()) {
    live_.push_back(self_);
  }
  live_domains_.clear();
  std::ranges::transform(
      live_, std::inserter(live_domains_, live_domains_.end()),
      [](const InstanceInfo& info) { return info.location.domain; });
  SelectPollers(now);
}

void LoadSpread::Impl::OnLoadReport(const ServerId& id,
                                    const LoadReport& report, Time now) {
  Server* server = FindServer(id);
  if (server == nullptr) {
    return;
  }
  server->reply_due = Time::max();
  const Time sampled_at = now - std::max(Duration::zero(), report.age);
  if (sampled_at < server->polled_sampled_at) {
    return;
  }
  server->polled_report = report;
  server->polled_sampled_at = sampled_at;
  ApplyLeaving(*server, report.leaving, sampled_at, now);
  Publish(*server, report, sampled_at);
}

void LoadSpread::Impl::OnPollFailed(const ServerId& id, Time now) {
  if (Server* server = FindServer(id)) {
    server->reply_due = Time::max();
    server->stale_poll_not_before =
        std::max(server->stale_poll_not_before, now + kStalePollCheckInterval);
  }
}

void LoadSpread::Impl::OnLeaving(const ServerId& id, Time now) {
  if (Server* server = FindServer(id)) {
    MarkLeaving(*server, now);
  }
}

void LoadSpread::Impl::Tick(Time now) {
  for (Server& server : servers_) {
    if (server.reply_due <= now) {
      server.reply_due = Time::max();
    }
    if (server.poller && server.next_poll <= now) {
      server.next_poll = now + Jittered(options_.poll_interval);
      Poll(server, now);
    }
  }
  if (now >= next_stale_poll_) {
    next_stale_poll_ = now + kStalePollCheckInterval;
    PollStaleServers(now);
  }
  if (now >= next_summaries_) {
    next_summaries_ = now + Jittered(kSummaryCheckInterval);
    ProduceSummaries(now);
  }
}

Time LoadSpread::Impl::next_due() const {
  Time due = std::min(next_stale_poll_, next_summaries_);
  for (const Server& server : servers_) {
    if (server.poller) {
      due = std::min(due, server.next_poll);
    }
  }
  return due;
}

std::vector<LoadAction> LoadSpread::Impl::TakeActions() {
  return std::exchange(actions_, {});
}

void LoadSpread::Impl::SelectPollers(Time now) {
  for (Server& server : servers_) {
    const bool poller = IsPoller(server.info);
    if (poller == server.poller) {
      continue;
    }
    server.poller = poller;
    const double phase = absl::Uniform(gen_, 0.0, 1.0);
    server.next_poll =
        poller ? now + Duration(static_cast<Duration::rep>(
                           phase *
                           static_cast<double>(options_.poll_interval.count())))
               : Time::max();
  }
}

// Returns true if this instance polls the server. Candidates are the live
// instances of the server's domain, or those of its region if the domain has
// none, or all if the region has none either.
bool LoadSpread::Impl::IsPoller(const ServerInfo& server) const {
  const bool same_domain = server.location.domain == self_.location.domain;
  if (!same_domain && live_domains_.contains(server.location.domain)) {
    return false;
  }
  const bool region_lives =
      std::ranges::any_of(live_, [&](const InstanceInfo& info) {
        return info.location.region == server.location.region;
      });
  std::vector<const InstanceId*> ids;
  for (const InstanceInfo& info : live_) {
    const bool eligible =
        same_domain
            ? info.location.domain == server.location.domain
            : !region_lives || info.location.region == server.location.region;
    if (eligible) {
      ids.push_back(&info.id);
    }
  }
  const std::vector<size_t> pollers = parts::Rendezvous(
      server.id.value(), ids, static_cast<size_t>(options_.pollers_per_server));
  return std::ranges::any_of(
      pollers, [&](size_t index) { return *ids[index] == self_.id; });
}

// Returns true if this instance needs the server's own figures rather than a
// summary.
bool LoadSpread::Impl::NeedsDetail(const ServerInfo& server) const {
  return server.location.domain == self_.location.domain ||
         servers_.size() <= options_.full_detail_max_servers ||
         !live_domains_.contains(server.location.domain);
}

void LoadSpread::Impl::Poll(Server& server, Time now) {
  if (server.reply_due != Time::max()) {
    return;
  }
  server.reply_due = now + options_.poll_timeout;
  actions_.emplace_back(PollLoad{.server = server.info});
}

// Polls servers whose figures have become stale for any reason, such as failed
// pollers or a broken mesh. A token bucket limits the rate.
void LoadSpread::Impl::PollStaleServers(Time now) {
  const double tick =
      std::chrono::duration<double>(kStalePollCheckInterval).count();
  stale_polls_left_ = std::min(
      kStalePollBurst, stale_polls_left_ + options_.stale_polls_per_s * tick);
  std::vector<Server*> stale;
  for (Server& server : servers_) {
    const Time sampled_at = LatestSampleTime(server);
    const Time bound = sampled_at == Time::min()
                           ? server.stale_poll_not_before
                           : std::max(server.stale_poll_not_before,
                                      sampled_at + options_.stale_poll_age);
    if (now >= bound && !server.poller && NeedsDetail(server.info)) {
      stale.push_back(&server);
    }
  }
  std::ranges::shuffle(stale, gen_);
  for (Server* server : stale) {
    if (stale_polls_left_ < 1) {
      return;
    }
    stale_polls_left_ -= 1;
    server->stale_poll_not_before = now + options_.poll_interval;
    Poll(*server, now);
  }
}

// Updates the server's leaving state from a sample.
void LoadSpread::Impl::ApplyLeaving(Server& server, bool leaving,
                                    Time sampled_at, Time now) {
  if (leaving) {
    MarkLeaving(server, now);
    return;
  }
  if (!server.leaving ||
      sampled_at - server.leaving_since <= kLeavingHoldTime) {
    return;
  }
  server.leaving = false;
  for (auto& [id, neighbour] : neighbours_) {
    neighbour.leaving.erase(server.info.id);
  }
}

void LoadSpread::Impl::MarkLeaving(Server& server, Time now) {
  server.leaving_since = now;
  if (!std::exchange(server.leaving, true)) {
    actions_.emplace_back(SendUpdatesNow{});
  }
}

void LoadSpread::Impl::ProduceSummaries(Time now) {
  std::vector<const InstanceId*> ids;
  for (const InstanceInfo& info : live_) {
    if (info.location.domain == self_.location.domain) {
      ids.push_back(&info.id);
    }
  }
  for (const parts::Pool& pool : roster_.pools()) {
    if (pool.domain != self_.location.domain) {
      continue;
    }
    const std::vector<size_t> producers =
        parts::Rendezvous(pool.service.value(), ids, kSummaryProducers);
    const bool first = !producers.empty() && *ids[producers[0]] == self_.id;
    const bool second = producers.size() > 1 && *ids[producers[1]] == self_.id;
    Summary& summary = summaries_[pool];
    // The second producer takes over if no summary arrives from the first.
    const Duration bound =
        first ? options_.summary_interval : 2 * options_.summary_interval;
    const bool due =
        summary.sampled_at == Time::min() || now - summary.sampled_at >= bound;
    if ((first || second) && due) {
      ProduceSummary(pool, summary, now);
    }
  }
}

void LoadSpread::Impl::ProduceSummary(const parts::Pool& pool, Summary& summary,
                                      Time now) {
  double servers = 0;
  double running = 0;
  double waiting = 0;
  double slots = 0;
  double queued = 0;
  for (const Server& server : servers_) {
    const bool counts = server.info.service == pool.service &&
                        server.info.location.domain == pool.domain &&
                        usable(server.info.id, now);
    if (!counts) {
      continue;
    }
    const LoadReport report = LatestReport(server, now);
    servers += 1;
    running += report.running;
    waiting += report.waiting;
    slots += report.slots;
    queued += static_cast<double>(report.queued_tokens);
  }
  summary.sampled_at = now;
  summary.entry.servers = LevelOf(servers);
  summary.entry.running = LevelOf(running);
  summary.entry.waiting = LevelOf(waiting);
  summary.entry.slots = LevelOf(slots);
  summary.entry.queued_tokens = LevelOf(queued);
}

Duration LoadSpread::Impl::Jittered(Duration duration) {
  const double part = absl::Uniform(gen_, 1 - kJitter, 1 + kJitter);
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(duration.count()) * part));
}

LoadSpread::Impl::Server* LoadSpread::Impl::FindServer(const ServerId& id) {
  const auto position = roster_.FindServer(id);
  return position.has_value() ? &servers_[*position] : nullptr;
}

const LoadSpread::Impl::Server* LoadSpread::Impl::FindServer(
    const ServerId& id) const {
  const auto position = roster_.FindServer(id);
  return position.has_value() ? &servers_[*position] : nullptr;
}

Time LoadSpread::Impl::LatestSampleTime(const Server& server) const {
  return std::max(server.polled_sampled_at, server.published.sampled_at);
}

LoadReport LoadSpread::Impl::LatestReport(const Server& server,
                                          Time now) const {
  LoadReport report;
  if (server.polled_report.has_value() &&
      server.polled_sampled_at >= server.published.sampled_at) {
    report = *server.polled_report;
    report.age = now - server.polled_sampled_at;
  } else {
    const LoadEntry& entry = server.published.entry;
    const LoadTraits& traits = server.published.traits;
    report.age = now - server.published.sampled_at;
    report.running = CountOf(entry.running);
    report.waiting = CountOf(entry.waiting);
    report.queued_tokens = static_cast<int64_t>(ValueOf(entry.queued_tokens));
    report.slots = std::max(1, CountOf(traits.slots));
    report.tokens_per_s = ValueOf(traits.tokens_per_s);
    report.prefill_tokens_per_s = ValueOf(traits.prefill_tokens_per_s);
    report.kv_total_tokens =
        static_cast<int64_t>(ValueOf(traits.kv_total_tokens));
    report.kv_used_tokens =
        static_cast<int64_t>(ValueOf(traits.kv_used_tokens));
    report.version = traits.version;
  }
  report.leaving = server.leaving;
  return report;
}

bool LoadSpread::Impl::usable(const ServerId& id, Time now) const {
  const Server* server = FindServer(id);
  if (server == nullptr || server->leaving) {
    return false;
  }
  const Time sampled_at = LatestSampleTime(*server);
  if (sampled_at != Time::min() &&
      now - sampled_at <= options_.max_usable_age) {
    return true;
  }
  if (NeedsDetail(server->info)) {
    return false;
  }
  const auto summary =
      summaries_.find({.service = server->info.service,
                       .domain = server->info.location.domain});
  return summary != summaries_.end() &&
         summary->second.sampled_at != Time::min() &&
         now - summary->second.sampled_at <= options_.max_summary_age &&
         summary->second.entry.servers > 0;
}

bool LoadSpread::Impl::leaving(const ServerId& id) const {
  const Server* server = FindServer(id);
  return server != nullptr && server->leaving;
}

std::optional<KnownLoad> LoadSpread::Impl::Find(const ServerId& id,
                                                Time now) const {
  const Server* server = FindServer(id);
  if (server == nullptr || LatestSampleTime(*server) == Time::min()) {
    return std::nullopt;
  }
  return KnownLoad{
      .report = LatestReport(*server, now),
      .direct = server->polled_report.has_value() &&
                server->polled_sampled_at >= server->published.sampled_at};
}

std::vector<LoadSummary> LoadSpread::Impl::summaries(Time now) const {
  std::vector<LoadSummary> result;
  for (const auto& [pool, summary] : summaries_) {
    if (summary.sampled_at == Time::min()) {
      continue;
    }
    const LoadSummaryEntry& entry = summary.entry;
    result.push_back(
        {.service = pool.service,
         .domain = pool.domain,
         .age = now - summary.sampled_at,
         .servers = CountOf(entry.servers),
         .running = CountOf(entry.running),
         .waiting = CountOf(entry.waiting),
         .slots = CountOf(entry.slots),
         .queued_tokens = static_cast<int64_t>(ValueOf(entry.queued_tokens))});
  }
  return result;
}

std::vector<ServerId> LoadSpread::Impl::polled_here() const {
  std::vector<ServerId> ids;
  for (const Server& server : servers_) {
    if (server.poller) {
      ids.push_back(server.info.id);
    }
  }
  return ids;
}

}  // namespace oleander
