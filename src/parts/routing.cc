#include "oleander/routing.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander {
namespace {

using Seconds = std::chrono::duration<double>;

// Used for servers that have reported no prefill rate yet.
constexpr double kDefaultPrefillRate = 4000;  // Tokens a second.
constexpr Seconds kDefaultSlotTime{3};
constexpr Seconds kChurnHalfLife{60};
constexpr Duration kMinTarget = std::chrono::milliseconds(100);
// Weight of a new sample in the moving average of a pool's slot time.
constexpr double kSlotTimeWeight = 0.05;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr int kRingCount = 3;
enum Ring { kSameDomain = 0, kSameRegion = 1, kOtherRegion = 2 };

Ring RingOf(const Location& from, const Location& to) {
  if (from.region != to.region) return kOtherRegion;
  return from.domain == to.domain ? kSameDomain : kSameRegion;
}

Duration ToDuration(Seconds seconds) {
  return std::chrono::duration_cast<Duration>(seconds);
}

}  // namespace

// A sum that decays exponentially with the half-life kChurnHalfLife.
struct Router::DecayingSum {
  double sum = 0;
  Time at{};

  double Value(Time now) const {
    return sum * std::exp2(-(Seconds(now - at) / kChurnHalfLife));
  }
  void Add(Time now, double more) {
    sum = Value(now) + more;
    at = now;
  }
};

// State of one backend server as this instance knows it.
struct Router::Server {
  // A load change by a local call, made after the server sampled its last
  // report.
  struct Delta {
    Time at;
    int calls;
    int64_t prefill_tokens;
  };

  ServerInfo info;
  ServerSlot slot = 0;
  Ring ring = kSameRegion;
  Pool* pool = nullptr;
  ServerLoad load;
  // When the server sampled the report; zero before the first one.
  Time sampled{};
  bool reported = false;
  bool leaving = false;
  bool draining = false;
  Time drain_until{};  // If draining: end of the grace period.
  Time ejected_until{};
  DecayingSum churn;  // Recent count of blocks stored in its cache.
  int in_flight = 0;
  // Changes by local dispatches, first tokens and ends.
  std::deque<Delta> deltas;
  int delta_calls = 0;
  int64_t delta_prefill = 0;

  void Add(const Delta& delta) {
    deltas.push_back(delta);
    delta_calls += delta.calls;
    delta_prefill += delta.prefill_tokens;
  }

  // Drops the changes that a report sampled at `sample` already includes.
  void DropReportedDeltas(Time sample) {
    while (!deltas.empty() && deltas.front().at <= sample) {
      delta_calls -= deltas.front().calls;
      delta_prefill -= deltas.front().prefill_tokens;
      deltas.pop_front();
    }
  }
};

struct Router::Pool {
  std::array<std::vector<ServerSlot>, kRingCount> rings;
  std::vector<ServerId> servers;
  OutlierDetector outliers;
  DecayingSum churn;  // Sum over all servers of the pool.
  // Mean time that a response occupies its batch slot.
  Seconds slot_time = kDefaultSlotTime;

  explicit Pool(const OutlierOptions& options) : outliers(options) {}
};

struct Router::Candidate {
  const Server* server = nullptr;
  double score = std::numeric_limits<double>::infinity();
  Seconds wait{};
  int64_t cached_tokens = 0;
};

struct Router::PendingAttempt {
  DispatchedCall call;
  ServerSlot slot = 0;
  Time sent{};
  Time first_token{};
  bool has_first_token = false;

  int64_t uncached() const {
    return std::max<int64_t>(call.prompt_tokens - call.cached_tokens, 0);
  }
};

Router::Router(const RoutingOptions& options)
    : options_(options),
      prefixes_(options.prefixes, options.seed),
      link_budget_bytes_(options.link_burst_bytes) {}

Router::~Router() = default;

void Router::SetServers(Time now, std::span<const ServerInfo> servers) {
  absl::flat_hash_map<ServerId, const ServerInfo*> listed;
  for (const ServerInfo& info : servers) listed.emplace(info.id, &info);
  for (std::unique_ptr<Server>& server : servers_) {
    if (!server) continue;
    const auto found = listed.find(server->info.id);
    const bool retained =
        found != listed.end() && found->second->service == server->info.service;
    if (retained) {
      server->info = *found->second;
      server->ring = RingOf(options_.location, server->info.location);
      listed.erase(found);
      continue;
    }
    slots_.erase(server->info.id);
    prefixes_.RemoveServer(server->slot);
    server.reset();
  }
  // Servers are added in the list's order, so that choices are reproducible.
  for (const ServerInfo& info : servers) {
    if (listed.erase(info.id) > 0) AddServer(info);
  }
  RebuildPools();
  DropOldMarks(now);
}

void Router::AddServer(const ServerInfo& info) {
  auto server = std::make_unique<Server>();
  server->info = info;
  server->slot = static_cast<ServerSlot>(servers_.size());
  server->ring = RingOf(options_.location, info.location);
  slots_[info.id] = server->slot;
  servers_.push_back(std::move(server));
}

void Router::RebuildPools() {
  for (auto& [service, pool] : pools_) {
    pool->servers.clear();
    std::ranges::for_each(pool->rings, [](auto& ring) { ring.clear(); });
  }
  for (const std::unique_ptr<Server>& server : servers_) {
    if (!server) continue;
    std::unique_ptr<Pool>& pool = pools_[server->info.service];
    if (!pool) pool = std::make_unique<Pool>(options_.outliers);
    pool->rings[server->ring].push_back(server->slot);
    pool->servers.push_back(server->info.id);
    server->pool = pool.get();
  }
  absl::erase_if(
      pools_, [](const auto& entry) { return entry.second->servers.empty(); });
  for (auto& [service, pool] : pools_) {
    pool->outliers.SetServers(pool->servers);
  }
}

void Router::OnLoad(Time now, const ServerLoad& load) {
  Server* server = Find(load.server);
  if (server == nullptr) return;
  const Time sampled = now - load.age;
  // Reports may arrive out of order.
  if (server->reported && sampled < server->sampled) return;
  server->load = load;
  server->load.slots = std::max(load.slots, 1);
  server->load.version = std::max(load.version, server->load.version);
  server->sampled = sampled;
  server->reported = true;
  server->leaving = server->leaving || load.leaving;
  server->DropReportedDeltas(sampled);
}

void Router::OnLeaving(Time /*now*/, const ServerId& server) {
  if (Server* known = Find(server)) known->leaving = true;
}

void Router::OnDraining(Time /*now*/, const ServerId& server, Time until) {
  Server* known = Find(server);
  if (known == nullptr) return;
  known->draining = true;
  known->drain_until = until;
}

void Router::OnCacheEvents(Time now, const ServerId& server,
                           std::span<const CacheEvent> events) {
  Server* known = Find(server);
  if (known == nullptr) return;
  prefixes_.OnEvents(now, known->slot, events);
  const auto stored = static_cast<double>(
      std::ranges::count(events, CacheEventKind::kStored, &CacheEvent::kind));
  known->churn.Add(now, stored);
  known->pool->churn.Add(now, stored);
}

void Router::OnDispatched(Time now, const DispatchedCall& call) {
  Server* server = Find(call.server);
  if (server == nullptr) return;
  auto [entry, added] = pending_.try_emplace(call.attempt);
  if (!CheckInvariant(added, "attempt_sent_once", [&] {
        return fmt::format("Attempt {} was dispatched twice.", call.attempt);
      })) {
    return;
  }
  entry->second = std::make_unique<PendingAttempt>();
  PendingAttempt& pending = *entry->second;
  pending.call = call;
  pending.slot = server->slot;
  pending.sent = now;
  ++server->in_flight;
  ++counts_.dispatched;
  server->Add({now, 1, pending.uncached()});
  prefixes_.OnDispatched(now, server->slot, call.blocks);
  if (server->ring == kOtherRegion) {
    ++counts_.cross_region_calls;
    counts_.cross_region_bytes += call.bytes;
    SpendLinkBytes(now, call.bytes);
  }
}

void Router::OnFirstToken(Time now, uint64_t attempt) {
  const auto found = pending_.find(attempt);
  if (found == pending_.end() || found->second->has_first_token) return;
  PendingAttempt& pending = *found->second;
  pending.has_first_token = true;
  pending.first_token = now;
  Server* server = servers_[pending.slot].get();
  if (server == nullptr) return;
  server->Add({now, 0, -pending.uncached()});
  OutlierDetector& outliers = server->pool->outliers;
  outliers.OnLatency(now, server->info.id, now - pending.sent,
                     pending.call.expected_first_token);
  const Time until = outliers.ejected_until(server->info.id);
  if (until > server->ejected_until) ++counts_.ejections;
  server->ejected_until = until;
}

void Router::OnEnded(Time now, uint64_t attempt, const EndedCall& ended) {
  const auto found = pending_.find(attempt);
  if (found == pending_.end()) return;
  const std::unique_ptr<PendingAttempt> pending = std::move(found->second);
  pending_.erase(found);
  Server* server = servers_[pending->slot].get();
  if (server == nullptr) return;
  --server->in_flight;
  CheckInvariant(server->in_flight >= 0, "in_flight_not_negative", [&] {
    return fmt::format("Server {} has {} attempts in progress.",
                       server->info.id.value(), server->in_flight);
  });
  server->Add({now, -1, pending->has_first_token ? 0 : -pending->uncached()});
  OutlierDetector& outliers = server->pool->outliers;
  if (ended.outcome == CallOutcome::kFailed) {
    outliers.OnFailure(now, server->info.id);
    const Time until = outliers.ejected_until(server->info.id);
    if (until > server->ejected_until) ++counts_.ejections;
    server->ejected_until = until;
    return;
  }
  if (ended.outcome != CallOutcome::kAnswered) return;
  outliers.OnSuccess(server->info.id);
  const Time begin =
      pending->has_first_token ? pending->first_token : pending->sent;
  Seconds& slot_time = server->pool->slot_time;
  slot_time += kSlotTimeWeight * (Seconds(now - begin) - slot_time);
}

void Router::OnWrite(Time now, const WriteMark& mark) {
  StoredMark& stored = marks_[{mark.service, mark.workspace}];
  // A late mark of an earlier write must not replace a newer one.
  if (mark.version != 0 && mark.version < stored.mark.version) return;
  stored = {mark, now};
  if (Server* server = Find(mark.server)) {
    server->load.version = std::max(server->load.version, mark.version);
  }
  if (marks_.size() > options_.max_write_marks) DropOldMarks(now);
}

void Router::DropOldMarks(Time now) {
  absl::erase_if(marks_, [&](const auto& entry) {
    return now - entry.second.at > options_.mark_lifetime;
  });
  while (marks_.size() > options_.max_write_marks) {
    marks_.erase(std::ranges::min_element(
        marks_, {}, [](const auto& entry) { return entry.second.at; }));
  }
}

absl::StatusOr<Route> Router::Choose(Time now, const RouteQuery& query) const {
  const auto pool = pools_.find(query.service);
  if (pool == pools_.end()) {
    return MakeError(
        {.code = ResultCode::kNoServer,
         .ran = Ran::kNo,
         .retry_after = kRetryAfter},
        fmt::format("Service {} has no listed server.", query.service.value()));
  }
  if (query.reads_own_writes) {
    const auto mark = marks_.find(std::pair(query.service, query.workspace));
    if (mark != marks_.end()) {
      return ChooseForRead(now, query, *pool->second, mark->second.mark);
    }
  }
  return ChooseAny(now, query, *pool->second);
}

bool Router::HasWriteMark(const ServiceId& service,
                          const WorkspaceId& workspace) const {
  return marks_.contains(std::pair(service, workspace));
}

absl::StatusOr<Route> Router::ChooseAny(Time now, const RouteQuery& query,
                                        const Pool& pool) const {
  Candidate best;
  ConsiderHolders(now, query, best);
  ConsiderRandom(now, query, pool.rings[kSameDomain], query.random_bits, best);
  ConsiderRandom(now, query, pool.rings[kSameRegion], query.random_bits >> 16,
                 best);
  if (best.server == nullptr || best.wait > options_.spill_wait) {
    ConsiderRandom(now, query, pool.rings[kOtherRegion],
                   query.random_bits >> 32, best);
  }
  if (best.server == nullptr) {
    return MakeError({.code = ResultCode::kNoServer,
                      .ran = Ran::kNo,
                      .retry_after = kRetryAfter},
                     fmt::format("None of the {} servers of service {} accepts "
                                 "new work.",
                                 pool.servers.size(), query.service.value()));
  }
  return RouteTo(query, best);
}

absl::StatusOr<Route> Router::ChooseForRead(Time now, const RouteQuery& query,
                                            const Pool& pool,
                                            const WriteMark& mark) const {
  Candidate best;
  bool fresh = false;
  for (const auto& ring : pool.rings) {
    for (const ServerSlot slot : ring) {
      const Server& server = *servers_[slot];
      const bool has_write =
          server.info.id == mark.server ||
          (mark.version != 0 && server.load.version >= mark.version);
      if (!has_write) continue;
      fresh = fresh || HasFreshReport(now, server);
      if (!AcceptsNewWork(now, server)) continue;
      Consider(now, query, slot, 0, best);
    }
  }
  if (best.server != nullptr) return RouteTo(query, best);
  if (fresh) {
    return MakeError(
        {.code = ResultCode::kNoServer,
         .ran = Ran::kNo,
         .retry_after = kRetryAfter},
        fmt::format(
            "The last write of workspace {}, acknowledged by server {}, "
            "is only on servers that accept no new work.",
            query.workspace.value(), mark.server.value()));
  }
  absl::StatusOr<Route> route = ChooseAny(now, query, pool);
  if (route.ok()) route->may_be_stale = true;
  return route;
}

void Router::ConsiderHolders(Time now, const RouteQuery& query,
                             Candidate& best) const {
  if (query.blocks.empty()) return;
  std::array<PrefixHolder, PrefixIndex::kHoldersPerBlock> holders;
  const int found = prefixes_.FindHolders(now, query.blocks, holders);
  for (const PrefixHolder& holder : std::span(holders).first(found)) {
    const Server* server = servers_[holder.server].get();
    if (server == nullptr || server->info.service != query.service) continue;
    const bool only_holder =
        std::ranges::count_if(std::span(holders).first(found),
                              [&](const PrefixHolder& other) {
                                return other.blocks >= holder.blocks;
                              }) == 1;
    if (server->draining && !only_holder) continue;
    Consider(now, query, holder.server, holder.blocks, best);
  }
}

// Considers two random servers of the ring; for one that accepts no new work,
// the next one that does.
void Router::ConsiderRandom(Time now, const RouteQuery& query,
                            std::span<const ServerSlot> ring,
                            uint64_t random_bits, Candidate& best) const {
  if (ring.empty()) return;
  const size_t size = ring.size();
  const size_t first = random_bits % size;
  // The step is never a multiple of the size, so that the two start positions
  // differ.
  const size_t step = size > 1 ? 1 + (random_bits / size) % (size - 1) : 0;
  for (const size_t begin : {first, (first + step) % size}) {
    for (size_t i = 0; i < size; ++i) {
      const ServerSlot slot = ring[(begin + i) % size];
      if (!AcceptsNewWork(now, *servers_[slot])) continue;
      Consider(now, query, slot,
               query.blocks.empty()
                   ? 0
                   : prefixes_.CachedBlocks(now, slot, query.blocks),
               best);
      break;
    }
  }
}

void Router::Consider(Time now, const RouteQuery& query, ServerSlot slot,
                      int cached_blocks, Candidate& best) const {
  const Server& server = *servers_[slot];
  if (!Usable(now, server)) return;
  if (std::ranges::find(query.avoid, server.info.id) != query.avoid.end()) {
    return;
  }
  if (server.ring == kOtherRegion &&
      LinkBytesLeft(now) < static_cast<double>(query.bytes)) {
    return;
  }
  const Candidate candidate = Score(now, server, query, cached_blocks);
  if (candidate.score < best.score) best = candidate;
}

Router::Candidate Router::Score(Time now, const Server& server,
                                const RouteQuery& query,
                                int cached_blocks) const {
  Candidate candidate;
  candidate.server = &server;
  candidate.cached_tokens =
      std::min<int64_t>(int64_t{cached_blocks} * kWordsPerBlock,
                        std::max<int64_t>(query.prompt_tokens - 1, 0));
  const ServerLoad& load = server.load;
  const double rate = load.prefill_tokens_per_s > 0 ? load.prefill_tokens_per_s
                                                    : kDefaultPrefillRate;
  // Calls that have to end before this one gets a batch slot.
  const int calls =
      std::max(0, load.running + load.waiting + server.delta_calls);
  const int ends_needed = std::max(0, calls + 1 - load.slots);
  const Seconds slot_wait = server.pool->slot_time * ends_needed / load.slots;
  const Seconds queue_wait{static_cast<double>(std::max<int64_t>(
                               0, load.queued_tokens + server.delta_prefill)) /
                           rate};
  const Seconds recompute{
      static_cast<double>(query.prompt_tokens - candidate.cached_tokens) /
      rate};
  Seconds link{};
  if (server.ring == kSameRegion) link = 2 * options_.domain_delay;
  if (server.ring == kOtherRegion) {
    link = 2 * options_.link_delay + Seconds(static_cast<double>(query.bytes) /
                                             options_.link_bytes_per_s);
  }
  candidate.wait = std::max(slot_wait, queue_wait) + recompute + link;
  const double total = query.weights.cost + query.weights.recomputed_tokens;
  const double recompute_weight =
      total > 0 ? query.weights.recomputed_tokens / total : 0;
  // Quadratic: a wait well below the target costs little, and a wait above the
  // target costs more than its length.
  const double pressure =
      candidate.wait.count() *
      (candidate.wait /
       Seconds(std::max(query.first_token_target, kMinTarget)));
  // New blocks evict others. On a server that stored many blocks recently, the
  // evicted ones are younger and more likely to be used again.
  const double pool_churn = server.pool->churn.Value(now);
  const double relative_churn =
      pool_churn > 1 ? server.churn.Value(now) / pool_churn *
                           static_cast<double>(server.pool->servers.size())
                     : 0;
  const Seconds eviction =
      options_.eviction_factor * relative_churn * recompute;
  const double fill = static_cast<double>(calls) / load.slots;
  const double batch_penalty =
      Seconds(options_.full_batch_penalty).count() * fill * fill;
  candidate.score =
      pressure + batch_penalty + (0.5 + recompute_weight) * eviction.count();
  return candidate;
}

Route Router::RouteTo(const RouteQuery& /*query*/,
                      const Candidate& candidate) const {
  return {.server = candidate.server->info.id,
          .expected_first_token = ToDuration(candidate.wait),
          .cached_tokens = candidate.cached_tokens,
          .crosses_region = candidate.server->ring == kOtherRegion};
}

bool Router::HasServer(Time now, const ServiceId& service) const {
  return !UsableServers(now, service).empty();
}

std::vector<ServerId> Router::UsableServers(Time now,
                                            const ServiceId& service) const {
  std::vector<ServerId> usable;
  const auto pool = pools_.find(service);
  if (pool == pools_.end()) return usable;
  std::ranges::copy_if(pool->second->servers, std::back_inserter(usable),
                       [&](const ServerId& server) {
                         return AcceptsNewWork(now, *Find(server));
                       });
  return usable;
}

int Router::in_flight(const ServerId& server) const {
  const Server* known = Find(server);
  return known == nullptr ? 0 : known->in_flight;
}

size_t Router::memory_bytes() const {
  size_t bytes = prefixes_.memory_bytes();
  for (const std::unique_ptr<Server>& server : servers_) {
    if (server) {
      bytes += sizeof(Server) + server->deltas.size() * sizeof(Server::Delta);
    }
  }
  for (const auto& [attempt, pending] : pending_) {
    bytes += sizeof(PendingAttempt) +
             pending->call.blocks.size() * sizeof(BlockHash);
  }
  return bytes + marks_.size() * sizeof(StoredMark);
}

Router::Server* Router::Find(const ServerId& server) {
  return const_cast<Server*>(std::as_const(*this).Find(server));
}

const Router::Server* Router::Find(const ServerId& server) const {
  const auto slot = slots_.find(server);
  return slot == slots_.end() ? nullptr : servers_[slot->second].get();
}

bool Router::HasFreshReport(Time now, const Server& server) const {
  return server.reported && now - server.sampled <= options_.max_report_age;
}

bool Router::Usable(Time now, const Server& server) const {
  return HasFreshReport(now, server) && !server.leaving &&
         server.ejected_until <= now &&
         (!server.draining || now < server.drain_until);
}

bool Router::AcceptsNewWork(Time now, const Server& server) const {
  return Usable(now, server) && !server.draining;
}

double Router::LinkBytesLeft(Time now) const {
  return std::min(
      options_.link_burst_bytes,
      link_budget_bytes_ +
          options_.link_bytes_per_s * Seconds(now - link_updated_at_).count());
}

void Router::SpendLinkBytes(Time now, int64_t bytes) {
  link_budget_bytes_ = LinkBytesLeft(now) - static_cast<double>(bytes);
  link_updated_at_ = now;
}

}  // namespace oleander
