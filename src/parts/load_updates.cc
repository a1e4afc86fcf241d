// Exchange of load figures between neighbours: which figures are sent, to whom,
// and with what age.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "parts/load_spread_impl.h"

namespace oleander {
namespace {

// Ages are rounded on the wire, so the same figures may seem this much newer.
constexpr Duration kAgeTolerance = std::chrono::milliseconds(400);
// Levels that differ by at least this much, a factor of two, are sent
// immediately.
constexpr int kLargeLevelStep = 4;
// Approximate size of an entry in a message.
constexpr size_t kEntryBytes = 6;
constexpr size_t kTraitsBytes = 6;
constexpr size_t kSummaryBytes = 8;
constexpr Duration kNeighbourExpiry = std::chrono::seconds(30);

bool IsLargeStep(uint8_t a, uint8_t b) {
  return (a == 0) != (b == 0) || std::abs(a - b) >= kLargeLevelStep;
}

LoadEntry EntryOf(const LoadReport& report) {
  LoadEntry entry;
  entry.leaving = report.leaving;
  entry.running = LevelOf(report.running);
  entry.waiting = LevelOf(report.waiting);
  entry.queued_tokens = LevelOf(static_cast<double>(report.queued_tokens));
  return entry;
}

LoadTraits TraitsOf(const LoadReport& report) {
  return {
      .slots = LevelOf(report.slots),
      .tokens_per_s = LevelOf(report.tokens_per_s),
      .prefill_tokens_per_s = LevelOf(report.prefill_tokens_per_s),
      .kv_total_tokens = LevelOf(static_cast<double>(report.kv_total_tokens)),
      .kv_used_tokens = LevelOf(static_cast<double>(report.kv_used_tokens)),
      .version = report.version};
}

bool TraitsDiffer(const LoadTraits& a, const LoadTraits& b) {
  return a.version != b.version || IsLargeStep(a.slots, b.slots) ||
         IsLargeStep(a.tokens_per_s, b.tokens_per_s) ||
         IsLargeStep(a.prefill_tokens_per_s, b.prefill_tokens_per_s) ||
         IsLargeStep(a.kv_total_tokens, b.kv_total_tokens);
}

Time FindTime(const auto& times, const auto& key) {
  const auto found = times.find(key);
  return found == times.end() ? Time::min() : found->second;
}

// Returns true if figures sampled at `sampled_at` are newer than those sampled
// at `known`. Time::min() means no figures.
bool IsNewer(Time sampled_at, Time known) {
  return sampled_at != Time::min() &&
         (known == Time::min() || sampled_at - known > kAgeTolerance);
}

}  // namespace

// Publishes figures that this instance polled, if they are due or have changed
// much.
void LoadSpread::Impl::Publish(Server& server, const LoadReport& report,
                               Time sampled_at) {
  Published& published = server.published;
  const LoadEntry entry = EntryOf(report);
  const LoadTraits traits = TraitsOf(report);
  const bool first = published.sampled_at == Time::min();
  const bool changed =
      first || IsLargeStep(entry.running, published.entry.running) ||
      IsLargeStep(entry.waiting, published.entry.waiting) ||
      IsLargeStep(entry.queued_tokens, published.entry.queued_tokens);
  const bool traits_due =
      first || published.traits_sampled_at == Time::min() ||
      TraitsDiffer(traits, published.traits) ||
      sampled_at - published.traits_sampled_at >= options_.traits_interval;
  const bool due =
      changed || traits_due ||
      sampled_at - published.sampled_at >= options_.publish_interval;
  if (!due || !IsNewer(sampled_at, published.sampled_at)) {
    return;
  }
  published.entry = entry;
  published.sampled_at = sampled_at;
  if (traits_due) {
    published.traits = traits;
    published.traits_sampled_at = sampled_at;
  }
}

void LoadSpread::Impl::OnUpdate(const InstanceId& from,
                                const LoadUpdate& update, Time now) {
  Neighbour& neighbour = neighbours_[from];
  neighbour.roster = update.roster;
  neighbour.last_used = now;
  if (update.by_position && update.roster != roster_.fingerprint()) {
    return;
  }
  for (const LoadEntry& entry : update.entries) {
    const auto position = roster_.FindServer(entry.server, update.by_position);
    if (position.has_value()) {
      ApplyEntry(neighbour, servers_[*position], entry, now);
    }
  }
  for (const LoadSummaryEntry& entry : update.summaries) {
    const auto position = roster_.FindPool(entry.pool, update.by_position);
    if (position.has_value()) {
      ApplySummary(neighbour, roster_.pools()[*position], entry, now);
    }
  }
}

void LoadSpread::Impl::ApplyEntry(Neighbour& from, Server& server,
                                  const LoadEntry& entry, Time now) {
  const Time sampled_at = now - entry.age;
  from.sampled_at[server.info.id] =
      std::max(FindTime(from.sampled_at, server.info.id), sampled_at);
  if (entry.traits.has_value()) {
    from.traits_sampled_at[server.info.id] = sampled_at;
  }
  if (entry.leaving) {
    from.leaving.insert(server.info.id);
  }
  ApplyLeaving(server, entry.leaving, sampled_at, now);
  Published& published = server.published;
  if (!IsNewer(sampled_at, published.sampled_at)) {
    return;
  }
  published.entry = entry;
  published.entry.traits.reset();
  published.sampled_at = sampled_at;
  if (entry.traits.has_value()) {
    published.traits = *entry.traits;
    published.traits_sampled_at = sampled_at;
  }
}

void LoadSpread::Impl::ApplySummary(Neighbour& from, const parts::Pool& pool,
                                    const LoadSummaryEntry& entry, Time now) {
  const Time sampled_at = now - entry.age;
  from.summaries[pool] = std::max(FindTime(from.summaries, pool), sampled_at);
  Summary& summary = summaries_[pool];
  if (IsNewer(sampled_at, summary.sampled_at)) {
    summary = {.entry = entry, .sampled_at = sampled_at};
  }
}

LoadUpdate LoadSpread::Impl::UpdateFor(const InstanceId& id, bool same_domain,
                                       Time now) {
  std::erase_if(neighbours_, [&](const auto& item) {
    return now - item.second.last_used > kNeighbourExpiry;
  });
  Neighbour& neighbour = neighbours_[id];
  neighbour.last_used = now;
  LoadUpdate update;
  update.roster = roster_.fingerprint();
  update.by_position = neighbour.roster == update.roster;
  AddEntries(neighbour, same_domain, update, now);
  AddSummaries(neighbour, update, now);
  return update;
}

void LoadSpread::Impl::AddEntries(Neighbour& neighbour, bool same_domain,
                                  LoadUpdate& update, Time now) {
  const bool everywhere = servers_.size() <= options_.full_detail_max_servers;
  size_t bytes = 0;
  for (size_t i = 0; i < servers_.size(); ++i) {
    const Server& server = servers_[i];
    const ServerId& id = server.info.id;
    const bool report_leaving =
        server.leaving && !neighbour.leaving.contains(id);
    const bool wanted =
        everywhere || !live_domains_.contains(server.info.location.domain) ||
        (same_domain && server.info.location.domain == self_.location.domain);
    const bool newer = wanted && IsNewer(server.published.sampled_at,
                                         FindTime(neighbour.sampled_at, id));
    if ((!newer && !report_leaving) || bytes >= options_.max_update_bytes) {
      continue;
    }
    LoadEntry entry = server.published.entry;
    entry.server =
        update.by_position ? static_cast<uint32_t>(i) : parts::HashOf(id);
    entry.leaving = entry.leaving || report_leaving;
    const bool known = server.published.sampled_at != Time::min();
    entry.age =
        known ? now - server.published.sampled_at : options_.max_usable_age;
    const bool traits =
        known && IsNewer(server.published.traits_sampled_at,
                         FindTime(neighbour.traits_sampled_at, id));
    if (traits) {
      entry.traits = server.published.traits;
      neighbour.traits_sampled_at[id] = server.published.traits_sampled_at;
    }
    if (known) {
      neighbour.sampled_at[id] = server.published.sampled_at;
    }
    if (entry.leaving) {
      neighbour.leaving.insert(id);
    }
    bytes += kEntryBytes + (traits ? kTraitsBytes : 0);
    update.entries.push_back(entry);
  }
}

void LoadSpread::Impl::AddSummaries(Neighbour& neighbour, LoadUpdate& update,
                                    Time now) {
  size_t bytes = update.entries.size() * kEntryBytes;
  for (const auto& [pool, summary] : summaries_) {
    const bool newer =
        IsNewer(summary.sampled_at, FindTime(neighbour.summaries, pool)) &&
        now - summary.sampled_at <= options_.max_summary_age;
    if (!newer || bytes >= options_.max_update_bytes) {
      continue;
    }
    LoadSummaryEntry entry = summary.entry;
    const auto position = std::ranges::lower_bound(roster_.pools(), pool);
    entry.pool = update.by_position ? static_cast<uint32_t>(std::distance(
                                          roster_.pools().begin(), position))
                                    : parts::HashOf(pool);
    entry.age = now - summary.sampled_at;
    neighbour.summaries[pool] = summary.sampled_at;
    bytes += kSummaryBytes;
    update.summaries.push_back(entry);
  }
}

LoadSpread::LoadSpread(InstanceInfo self, const LoadSpreadOptions& options,
                       uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(std::move(self), options, seed, now)) {}

LoadSpread::~LoadSpread() = default;
LoadSpread::LoadSpread(LoadSpread&&) noexcept = default;
LoadSpread& LoadSpread::operator=(LoadSpread&&) noexcept = default;

void LoadSpread::SetServers(const std::vector<ServerInfo>& servers, Time now) {
  impl_->SetServers(servers, now);
}
void LoadSpread::SetLiveInstances(const std::vector<InstanceInfo>& live,
                                  Time now) {
  impl_->SetLiveInstances(live, now);
}
void LoadSpread::OnLoadReport(const ServerId& server, const LoadReport& report,
                              Time now) {
  impl_->OnLoadReport(server, report, now);
}
void LoadSpread::OnPollFailed(const ServerId& server, Time now) {
  impl_->OnPollFailed(server, now);
}
void LoadSpread::OnLeaving(const ServerId& server, Time now) {
  impl_->OnLeaving(server, now);
}
void LoadSpread::OnUpdate(const InstanceId& from, const LoadUpdate& update,
                          Time now) {
  impl_->OnUpdate(from, update, now);
}
LoadUpdate LoadSpread::UpdateFor(const InstanceId& neighbour, bool same_domain,
                                 Time now) {
  return impl_->UpdateFor(neighbour, same_domain, now);
}
void LoadSpread::Tick(Time now) { impl_->Tick(now); }
Time LoadSpread::next_due() const { return impl_->next_due(); }
std::vector<LoadAction> LoadSpread::TakeActions() {
  return impl_->TakeActions();
}
bool LoadSpread::usable(const ServerId& server, Time now) const {
  return impl_->usable(server, now);
}
bool LoadSpread::leaving(const ServerId& server) const {
  return impl_->leaving(server);
}
std::optional<KnownLoad> LoadSpread::Find(const ServerId& server,
                                          Time now) const {
  return impl_->Find(server, now);
}
std::vector<LoadSummary> LoadSpread::summaries(Time now) const {
  return impl_->summaries(now);
}
std::vector<ServerId> LoadSpread::polled_here() const {
  return impl_->polled_here();
}

}  // namespace oleander
