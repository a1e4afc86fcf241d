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

constexpr Duration kTickOfStale = std::chrono::milliseconds(500);
constexpr Duration kSummaryTick = std::chrono::seconds(1);
constexpr size_t kSummaryProducers = 2;
// A server that says again that it takes work is believed only with figures
// that were taken so long after it was seen leaving.
constexpr Duration kLeavingHolds = std::chrono::seconds(5);
constexpr double kJitter = 0.1;
constexpr double kStaleBurst = 4;

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
      next_summaries_(now + kSummaryTick),
      next_stale_(now + kTickOfStale) {}

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
      server.stale_since = now + options_.stale_bound;
    }
    server.info = info;
    servers_.push_back(std::move(server));
  }
  std::erase_if(summaries_, [&](const auto& item) {
    return !std::ranges::binary_search(roster_.pools(), item.first);
  });
  PickAskers(now);
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
  PickAskers(now);
}

void LoadSpread::Impl::OnLoadReport(const ServerId& id,
                                    const LoadReport& report, Time now) {
  Server* server = FindServer(id);
  if (server == nullptr) {
    return;
  }
  server->answer_due = Time::max();
  const Time taken = now - std::max(Duration::zero(), report.age);
  if (taken < server->exact_taken) {
    return;
  }
  server->exact = report;
  server->exact_taken = taken;
  NoteLeaving(*server, report.leaving, taken, now);
  Publish(*server, report, taken);
}

void LoadSpread::Impl::OnLoadFailed(const ServerId& id, Time now) {
  if (Server* server = FindServer(id)) {
    server->answer_due = Time::max();
    server->stale_since = std::max(server->stale_since, now + kTickOfStale);
  }
}

void LoadSpread::Impl::OnLeaving(const ServerId& id, Time now) {
  if (Server* server = FindServer(id)) {
    MarkLeaving(*server, now);
  }
}

void LoadSpread::Impl::Tick(Time now) {
  for (Server& server : servers_) {
    if (server.answer_due <= now) {
      server.answer_due = Time::max();
    }
    if (server.asker && server.next_ask <= now) {
      server.next_ask = now + Jittered(options_.ask_every);
      Ask(server, now);
    }
  }
  if (now >= next_stale_) {
    next_stale_ = now + kTickOfStale;
    AskStale(now);
  }
  if (now >= next_summaries_) {
    next_summaries_ = now + Jittered(kSummaryTick);
    ProduceSummaries(now);
  }
}

Time LoadSpread::Impl::next_due() const {
  Time due = std::min(next_stale_, next_summaries_);
  for (const Server& server : servers_) {
    if (server.asker) {
      due = std::min(due, server.next_ask);
    }
  }
  return due;
}

std::vector<LoadAction> LoadSpread::Impl::TakeActions() {
  return std::exchange(actions_, {});
}

void LoadSpread::Impl::PickAskers(Time now) {
  for (Server& server : servers_) {
    const bool asker = IsAsker(server.info);
    if (asker == server.asker) {
      continue;
    }
    server.asker = asker;
    const double phase = absl::Uniform(gen_, 0.0, 1.0);
    server.next_ask =
        asker
            ? now +
                  Duration(static_cast<Duration::rep>(
                      phase * static_cast<double>(options_.ask_every.count())))
            : Time::max();
  }
}

// Instances of the server's own domain ask it; where none lives, those of its
// region, and where none lives there, any.
bool LoadSpread::Impl::IsAsker(const ServerInfo& server) const {
  const bool own = server.location.domain == self_.location.domain;
  if (!own && live_domains_.contains(server.location.domain)) {
    return false;
  }
  const bool region_lives =
      std::ranges::any_of(live_, [&](const InstanceInfo& info) {
        return info.location.region == server.location.region;
      });
  std::vector<const InstanceId*> ids;
  for (const InstanceInfo& info : live_) {
    const bool near =
        own ? info.location.domain == server.location.domain
            : !region_lives || info.location.region == server.location.region;
    if (near) {
      ids.push_back(&info.id);
    }
  }
  const std::vector<size_t> askers = parts::Rendezvous(
      server.id.value(), ids, static_cast<size_t>(options_.askers));
  return std::ranges::any_of(
      askers, [&](size_t index) { return *ids[index] == self_.id; });
}

// Whether this instance is to know the server in detail.
bool LoadSpread::Impl::InScope(const ServerInfo& server) const {
  return server.location.domain == self_.location.domain ||
         servers_.size() <= options_.detail_everywhere ||
         !live_domains_.contains(server.location.domain);
}

void LoadSpread::Impl::Ask(Server& server, Time now) {
  if (server.answer_due != Time::max()) {
    return;
  }
  server.answer_due = now + options_.ask_timeout;
  actions_.emplace_back(AskLoad{.server = server.info});
}

// Whatever keeps fresh figures away, an instance that needs them asks, some
// servers at a time.
void LoadSpread::Impl::AskStale(Time now) {
  const double tick = std::chrono::duration<double>(kTickOfStale).count();
  stale_asks_left_ = std::min(
      kStaleBurst, stale_asks_left_ + options_.stale_asks_per_s * tick);
  std::vector<Server*> stale;
  for (Server& server : servers_) {
    const Time taken = TakenOf(server);
    const Time bound =
        taken == Time::min()
            ? server.stale_since
            : std::max(server.stale_since, taken + options_.stale_bound);
    if (now >= bound && !server.asker && InScope(server.info)) {
      stale.push_back(&server);
    }
  }
  std::ranges::shuffle(stale, gen_);
  for (Server* server : stale) {
    if (stale_asks_left_ < 1) {
      return;
    }
    stale_asks_left_ -= 1;
    server->stale_since = now + options_.ask_every;
    Ask(*server, now);
  }
}

// Whether a sample that was taken at `taken` says that the server leaves.
void LoadSpread::Impl::NoteLeaving(Server& server, bool leaving, Time taken,
                                   Time now) {
  if (leaving) {
    MarkLeaving(server, now);
    return;
  }
  if (!server.leaving || taken - server.leaving_since <= kLeavingHolds) {
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
    actions_.emplace_back(SpreadLoadNow{});
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
    // The second steps in where nothing came from the first.
    const Duration bound =
        first ? options_.summary_every : 2 * options_.summary_every;
    const bool due =
        summary.taken == Time::min() || now - summary.taken >= bound;
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
    const LoadReport report = ReportOf(server, now);
    servers += 1;
    running += report.running;
    waiting += report.waiting;
    slots += report.slots;
    queued += static_cast<double>(report.queued_tokens);
  }
  summary.taken = now;
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

Time LoadSpread::Impl::TakenOf(const Server& server) const {
  return std::max(server.exact_taken, server.published.taken);
}

LoadReport LoadSpread::Impl::ReportOf(const Server& server, Time now) const {
  LoadReport report;
  if (server.exact.has_value() &&
      server.exact_taken >= server.published.taken) {
    report = *server.exact;
    report.age = now - server.exact_taken;
  } else {
    const LoadEntry& entry = server.published.entry;
    const LoadTraits& traits = server.published.traits;
    report.age = now - server.published.taken;
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
  const Time taken = TakenOf(*server);
  if (taken != Time::min() && now - taken <= options_.fresh_bound) {
    return true;
  }
  if (InScope(server->info)) {
    return false;
  }
  const auto summary =
      summaries_.find({.service = server->info.service,
                       .domain = server->info.location.domain});
  return summary != summaries_.end() && summary->second.taken != Time::min() &&
         now - summary->second.taken <= options_.summary_bound &&
         summary->second.entry.servers > 0;
}

bool LoadSpread::Impl::leaving(const ServerId& id) const {
  const Server* server = FindServer(id);
  return server != nullptr && server->leaving;
}

std::optional<KnownLoad> LoadSpread::Impl::Find(const ServerId& id,
                                                Time now) const {
  const Server* server = FindServer(id);
  if (server == nullptr || TakenOf(*server) == Time::min()) {
    return std::nullopt;
  }
  return KnownLoad{.report = ReportOf(*server, now),
                   .direct = server->exact.has_value() &&
                             server->exact_taken >= server->published.taken};
}

std::vector<LoadSummary> LoadSpread::Impl::summaries(Time now) const {
  std::vector<LoadSummary> result;
  for (const auto& [pool, summary] : summaries_) {
    if (summary.taken == Time::min()) {
      continue;
    }
    const LoadSummaryEntry& entry = summary.entry;
    result.push_back(
        {.service = pool.service,
         .domain = pool.domain,
         .age = now - summary.taken,
         .servers = CountOf(entry.servers),
         .running = CountOf(entry.running),
         .waiting = CountOf(entry.waiting),
         .slots = CountOf(entry.slots),
         .queued_tokens = static_cast<int64_t>(ValueOf(entry.queued_tokens))});
  }
  return result;
}

std::vector<ServerId> LoadSpread::Impl::asked_here() const {
  std::vector<ServerId> ids;
  for (const Server& server : servers_) {
    if (server.asker) {
      ids.push_back(server.info.id);
    }
  }
  return ids;
}

}  // namespace oleander
