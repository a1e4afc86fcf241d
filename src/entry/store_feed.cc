#include "entry/store_feed.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "entry/poison_guard.h"
#include "io/log.h"
#include "oleander/reader_choice.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Number of readers: one may be down and another one partitioned.
constexpr size_t kReaders = 3;
constexpr Duration kReaderPeriod = std::chrono::milliseconds(250);
constexpr Duration kReaderPollPeriod = std::chrono::milliseconds(400);
// An instance whose data is older than this reads the store itself.
constexpr Duration kMaxDataAge = std::chrono::milliseconds(1500);
// In a new era all instances list the servers again, spread over this time.
constexpr Duration kNewEraSpread = std::chrono::milliseconds(200);
// Older queries are dropped; replies to them are ignored.
constexpr size_t kMaxOpenQueries = 6;
// Each waiting call is one store call; the store allows at most 30 s.
constexpr Duration kServersWait = std::chrono::seconds(10);
constexpr Duration kServersRetry = std::chrono::milliseconds(250);
// Number of changes retained for peers that poll. A peer that needs older
// changes lists the servers itself.
constexpr size_t kMaxRetainedChanges = 512;

// A crash ends many calls within some milliseconds.
constexpr Duration kCrashNewsDelay = std::chrono::milliseconds(10);

// No server has this many calls; larger reports are clamped.
constexpr uint32_t kMaxReportedCalls = 100'000;
// Server loads in one reply; the next replies carry the others in turn.
constexpr size_t kMaxLoadsPerReply = 160;
// The holder of the sizing duty gets the loads of all servers at once.
constexpr size_t kMaxLoadsForHolder = 1000;

// Lines about changes of servers' pace that each poll may log.
constexpr size_t kMaxPaceLines = 2;

void WriteLoads(const std::vector<ServerLoadReport>& reports,
                entrywire::ServerLoads& wire) {
  for (const ServerLoadReport& report : reports) {
    wire.add_servers(report.server);
    wire.add_calls(static_cast<uint32_t>(report.calls));
    wire.add_ages_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(report.age)
            .count()));
  }
}

// If the lists differ in length, the excess entries are ignored.
void ReadLoads(Time now, const entrywire::ServerLoads& wire,
               ServerLoads& loads) {
  const int count =
      std::min({wire.servers_size(), wire.calls_size(), wire.ages_ms_size()});
  for (int i = 0; i < count; ++i) {
    loads.OnPeerReport(
        now,
        {.server = wire.servers(i),
         .calls = static_cast<int>(std::min(wire.calls(i), kMaxReportedCalls)),
         .age = std::chrono::milliseconds(wire.ages_ms(i))});
  }
}

void WriteLeaving(
    const std::vector<LeavingNotice>& notices,
    google::protobuf::RepeatedPtrField<entrywire::LeavingServer>& wire) {
  for (const LeavingNotice& notice : notices) {
    entrywire::LeavingServer& leaving = *wire.Add();
    leaving.set_server(notice.server.value());
    leaving.set_born_ms(notice.started_ms);
  }
}

void WriteLimits(
    const std::vector<ServerLimitReport>& reports,
    google::protobuf::RepeatedPtrField<entrywire::ServerLimit>& wire) {
  for (const ServerLimitReport& report : reports) {
    entrywire::ServerLimit& limit = *wire.Add();
    limit.set_server(report.server.value());
    limit.set_born_ms(report.started_ms);
    limit.set_per_s(report.per_s);
    limit.set_age_ms(static_cast<uint32_t>(
        std::chrono::floor<std::chrono::milliseconds>(report.age).count()));
  }
}

}  // namespace

void StoreFeed::Start() {
  servers_fresh_at_ = context_.loop.now();
  ListServers();
  config_.Start();
  if (rollouts_ != nullptr) {
    rollouts_->Start();
  }
  Poll();
}

void StoreFeed::OnNewEra() {
  const Time now = context_.loop.now();
  watched_revision_ = 0;
  changes_.clear();
  changes_after_ = 0;
  config_.OnNewEra();
  if (rollouts_ != nullptr) {
    rollouts_->OnNewEra();
  }
  open_queries_.clear();
  store_unreachable_ = false;
  // The older copy may list servers as they were before they announced that
  // they leave. So the leaving state is carried over.
  for (const ListedServer& server : context_.listed.OnNewEra(now)) {
    context_.placement.notices().OnLeaving(
        now, {.server = server.id, .started_ms = server.started_ms});
  }
  Publish();
  const uint64_t hash = XXH64(self_.value().data(), self_.value().size(), 0);
  ScheduleListing(Duration(static_cast<Duration::rep>(
      hash % static_cast<uint64_t>(kNewEraSpread.count()))));
}

void StoreFeed::OnRecords(const RecordKeeper& records) {
  std::vector<ReaderCandidate> candidates;
  for (const InstanceRecord& record : records.records()) {
    if (record.alive) {
      candidates.push_back({.instance = record.instance,
                            .domain = record.domain,
                            .region = record.region,
                            .cores = record.cores});
    }
  }
  std::vector<InstanceId> readers = ChooseReaders(candidates, kReaders);
  config_.SetFleet(readers, ConfigTree(std::move(candidates), readers));
  if (readers != readers_) {
    readers_ = std::move(readers);
    io::Log(io::LogLevel::kInfo, "store.readers",
            {{"readers", readers_.size()}, {"reads", ReadsStore()}});
    PushCrashNews();
  }
}

bool StoreFeed::ReadsStore() const {
  return readers_.empty() ||
         std::ranges::find(readers_, self_) != readers_.end();
}

void StoreFeed::Poll() {
  const Time now = context_.loop.now();
  const bool reads = ReadsStore();
  const bool servers_stale = now - servers_fresh_at_ > kMaxDataAge;
  if (reads) {
    pace_.ReplyToSelf(now, self_, context_.placer.places());
  } else {
    PollReader();
  }
  if (reads && context_.needs_loads) {
    PollReaderForLoads();
  }
  RecordPace();
  if ((reads || servers_stale) && !waiting_ && !listing_timer_.active() &&
      context_.listed.has_listing()) {
    WaitForServers();
  }
  if (rollouts_ != nullptr) {
    rollouts_->Follow(reads || servers_stale);
  }
  poll_timer_ = context_.loop.After(reads ? kReaderPeriod : kReaderPollPeriod,
                                    [this] { Poll(); });
}

void StoreFeed::RecordPace() {
  const Time now = context_.loop.now();
  context_.metrics.SetPace(context_.placement.pace().Spread(now));
  for (const PaceChange& change : pace_.TakeChanges(now, kMaxPaceLines)) {
    io::Log(io::LogLevel::kInfo, "server.pace",
            {{"server", change.server.value()},
             {"slowness", change.slowness},
             {"limit", change.limit},
             {"samples", change.weight}});
  }
}

void StoreFeed::ListServers() {
  listing_ = true;
  store_.Range({.call = 0, .key = catalog_.servers_prefix(), .prefix = true},
               [this](const absl::StatusOr<StoreRangeAnswer>& answer) {
                 OnListed(answer);
               });
}

void StoreFeed::OnListed(const absl::StatusOr<StoreRangeAnswer>& answer) {
  listing_ = false;
  RecordOutcome("servers_list", answer.status());
  if (!answer.ok()) {
    ScheduleListing(kServersRetry);
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
  watched_revision_ = answer->revision;
  changes_.clear();
  changes_after_ = watched_revision_;
  servers_fresh_at_ = context_.loop.now();
  context_.listed.Replace(context_.loop.now(), std::move(servers),
                          answer->revision);
  Publish();
  if (ReadsStore()) {
    WaitForServers();
  }
}

void StoreFeed::WaitForServers() {
  waiting_ = true;
  const uint64_t round = ++wait_round_;
  store_.Wait({.prefix = catalog_.servers_prefix(),
               .after_revision = watched_revision_,
               .max_wait = kServersWait},
              [this, round](const absl::StatusOr<ports::StoreChanges>& answer) {
                // Ignores the response if a listing has replaced this call.
                if (round == wait_round_) {
                  waiting_ = false;
                  OnChanges(answer);
                }
              });
}

void StoreFeed::OnChanges(const absl::StatusOr<ports::StoreChanges>& answer) {
  RecordOutcome("servers_wait", answer.status());
  if (!answer.ok()) {
    const bool gap =
        CodeOf(answer.status()) == ResultCode::kStoreRevisionCompacted;
    ScheduleListing(gap ? Duration::zero() : kServersRetry);
    return;
  }
  for (const ports::StoreChange& change : answer->changes) {
    // A reader may have reported this change already.
    if (change.entry.mod_revision > watched_revision_) {
      RetainChange(change);
      ApplyChange(change);
    }
  }
  watched_revision_ = std::max(watched_revision_, answer->revision);
  servers_fresh_at_ = context_.loop.now();
  Publish();
  if (ReadsStore()) {
    WaitForServers();
  }
}

void StoreFeed::RetainChange(const ports::StoreChange& change) {
  changes_.push_back(change);
  if (changes_.size() > kMaxRetainedChanges) {
    changes_after_ = changes_.front().entry.mod_revision;
    changes_.pop_front();
  }
}

void StoreFeed::PollReader() {
  SendQuery(readers_[++round_ % readers_.size()], MakeQuery(),
            /*for_loads=*/false);
}

void StoreFeed::PollReaderForLoads() {
  std::vector<InstanceId> others = readers_;
  std::erase(others, self_);
  if (others.empty()) {
    return;
  }
  mesh::Envelope query = MakeQuery();
  query.mutable_store_ask()->set_servers_revision(0);
  SendQuery(others[++round_ % others.size()], query, /*for_loads=*/true);
}

void StoreFeed::SendQuery(const InstanceId& reader, const mesh::Envelope& query,
                          bool for_loads) {
  open_queries_.push_back({.round = round_,
                           .sent_at = context_.loop.now(),
                           .for_loads = for_loads});
  if (open_queries_.size() > kMaxOpenQueries) {
    open_queries_.pop_front();
  }
  mesh::Envelope envelope = query;
  envelope.mutable_store_ask()->set_round(round_);
  if (!for_loads) {
    pace_.WriteQuery(context_.loop.now(), reader, context_.placer.places(),
                     *envelope.mutable_store_ask()->mutable_pace());
  }
  peers_.Send(reader, envelope);
}

mesh::Envelope StoreFeed::MakeQuery() {
  mesh::Envelope envelope;
  entrywire::StoreAsk& query = *envelope.mutable_store_ask();
  query.set_servers_revision(context_.listed.has_listing() ? watched_revision_
                                                           : 0);
  query.set_store_era(context_.era.current());
  WriteLoads(context_.loads.TakeUpdates(context_.loop.now()),
             *query.mutable_loads());
  WriteLoads(context_.prefill_load.TakeUpdates(context_.loop.now()),
             *query.mutable_reading());
  WriteLeaving(context_.placement.notices().recent_leaving(context_.loop.now()),
               *query.mutable_leaving());
  WriteLimits(context_.placement.limits().RecentReports(context_.loop.now()),
              *query.mutable_limits());
  WriteNews(context_.poison.News(context_.loop.now()),
            *query.mutable_crash_news());
  if (rollouts_ != nullptr) {
    query.set_rollouts_content(rollouts_->content());
  }
  query.set_max_loads(context_.needs_loads ? kMaxLoadsForHolder : 0);
  return envelope;
}

void StoreFeed::PushCrashNews() {
  if (!crash_news_timer_.active()) {
    crash_news_timer_ =
        context_.loop.After(kCrashNewsDelay, [this] { SendCrashNews(); });
  }
}

void StoreFeed::SendCrashNews() {
  const CrashNews news = context_.poison.News(context_.loop.now());
  if (news.empty()) {
    return;
  }
  mesh::Envelope envelope;
  WriteNews(news, *envelope.mutable_crash_news());
  for (const InstanceId& reader : readers_) {
    if (reader != self_) {
      peers_.Send(reader, envelope);
    }
  }
}

void StoreFeed::OnMessage(const InstanceId& from,
                          const mesh::Envelope& message) {
  if (message.has_store_ask()) {
    Reply(from, message.store_ask());
  } else if (message.has_store_tell()) {
    OnReply(from, message.store_tell());
  } else if (message.has_crash_news()) {
    ApplyNews(context_, message.crash_news());
  } else {
    config_.OnMessage(from, message);
  }
}

bool StoreFeed::ObserveEra(int64_t era, Duration age) {
  const Time now = context_.loop.now();
  if (!context_.era.Observe(now, era)) {
    return false;
  }
  context_.era.OnReportedAge(now, era, age);
  return true;
}

void StoreFeed::Reply(const InstanceId& peer,
                      const entrywire::StoreAsk& query) {
  const bool same_era = ObserveEra(query.store_era(), Duration::zero());
  context_.coverage.OnHeard(context_.loop.now(), peer);
  mesh::Envelope envelope;
  entrywire::StoreTell& reply = *envelope.mutable_store_tell();
  reply.set_round(query.round());
  const Time now = context_.loop.now();
  ReadLoads(now, query.loads(), context_.loads);
  const size_t max_loads =
      query.has_max_loads()
          ? std::min<size_t>(query.max_loads(), kMaxLoadsForHolder)
          : kMaxLoadsPerReply;
  WriteLoads(context_.loads.NextReports(now, max_loads),
             *reply.mutable_loads());
  ReadLoads(now, query.reading(), context_.prefill_load);
  WriteLoads(context_.prefill_load.NextReports(now, max_loads),
             *reply.mutable_reading());
  ApplyLeaving(query.leaving());
  WriteLeaving(context_.placement.notices().recent_leaving(now),
               *reply.mutable_leaving());
  ApplyLimits(query.limits());
  WriteLimits(context_.placement.limits().RecentReports(now),
              *reply.mutable_limits());
  ApplyNews(context_, query.crash_news());
  WriteNews(context_.poison.News(now), *reply.mutable_crash_news());
  pace_.Reply(now, query.pace(), *reply.mutable_pace());
  reply.set_heard_instances(
      static_cast<uint32_t>(context_.coverage.Heard(now)));
  reply.set_store_era(context_.era.current());
  reply.set_era_age_us(context_.era.reported_age(now).count());
  config_.WriteReport(reply);
  if (rollouts_ != nullptr && same_era) {
    rollouts_->WriteTell(query.rollouts_content(), *reply.mutable_rollouts());
  }
  // Only an instance with an open waiting call at a reachable store knows that
  // nothing else has changed.
  const std::optional<Time> read_sent_at = config_.last_read_sent_at();
  const bool knows_servers =
      same_era && waiting_ && !store_unreachable_ && read_sent_at &&
      now - *read_sent_at < kMaxDataAge && query.servers_revision() != 0 &&
      query.servers_revision() >= changes_after_;
  if (knows_servers) {
    reply.set_servers_revision(watched_revision_);
    reply.set_servers_age_us((now - *read_sent_at).count());
    reply.set_store_steady(context_.listed.stable(now));
    for (const ports::StoreChange& change : changes_) {
      if (change.entry.mod_revision <= query.servers_revision()) {
        continue;
      }
      entrywire::ServerChange& wire = *reply.add_changes();
      wire.set_key(change.entry.key);
      wire.set_value(change.entry.value);
      wire.set_revision(change.entry.mod_revision);
      wire.set_removed(change.removed);
    }
  }
  peers_.Send(peer, envelope);
}

void StoreFeed::OnReply(const InstanceId& from,
                        const entrywire::StoreTell& reply) {
  const auto query =
      std::ranges::find(open_queries_, reply.round(), &ReaderQuery::round);
  if (query == open_queries_.end()) {
    return;
  }
  const Time sent_at = query->sent_at;
  const bool for_loads = query->for_loads;
  open_queries_.erase(query);
  const int64_t era_before = context_.era.current();
  const bool same_era =
      ObserveEra(reply.store_era(), Duration(reply.era_age_us())) &&
      context_.era.current() == era_before;
  ReadLoads(context_.loop.now(), reply.loads(), context_.loads);
  ReadLoads(context_.loop.now(), reply.reading(), context_.prefill_load);
  context_.coverage.OnReaderCount(sent_at, from, reply.heard_instances());
  ApplyLeaving(reply.leaving());
  ApplyLimits(reply.limits());
  ApplyNews(context_, reply.crash_news());
  pace_.OnReply(context_.loop.now(), reply.pace());
  if (!same_era || for_loads) {
    return;  // The remaining fields are from another era, or not needed.
  }
  config_.OnPeerReport(from, ConfigFeed::ReadReport(reply, sent_at));
  if (rollouts_ != nullptr && reply.has_rollouts()) {
    rollouts_->OnTell(reply.rollouts(), sent_at);
  }
  if (reply.servers_revision() != 0) {
    SetStoreUnreachable(false, "reader", "reported by a reader");
    if (reply.store_steady()) {
      context_.listed.OnStoreStable(context_.loop.now());
    }
    ApplyServerChanges(reply, sent_at - Duration(reply.servers_age_us()));
    return;
  }
  // The reader does not know the servers, or no longer has the changes since
  // the requested revision.
  const bool stale =
      context_.loop.now() - servers_fresh_at_ > kMaxDataAge - kReaderPollPeriod;
  // A call that was open during an outage may wait on a dead connection.
  const bool may_list = !waiting_ || store_unreachable_;
  if (context_.listed.has_listing() && stale && may_list && !listing_ &&
      !listing_timer_.active()) {
    ScheduleListing(Duration::zero());
  }
}

void StoreFeed::ApplyLeaving(
    const google::protobuf::RepeatedPtrField<entrywire::LeavingServer>& wire) {
  for (const entrywire::LeavingServer& leaving : wire) {
    const LeavingNotice notice{.server = ServerId(leaving.server()),
                               .started_ms = leaving.born_ms()};
    if (context_.placement.notices().OnLeaving(context_.loop.now(), notice)) {
      io::Log(io::LogLevel::kInfo, "server.leaving",
              {{"server", notice.server.value()},
               {"born_ms", notice.started_ms},
               {"by", "peer"}});
    }
  }
}

void StoreFeed::ApplyLimits(
    const google::protobuf::RepeatedPtrField<entrywire::ServerLimit>& wire) {
  for (const entrywire::ServerLimit& limit : wire) {
    const ServerLimitReport report{
        .server = ServerId(limit.server()),
        .started_ms = limit.born_ms(),
        .per_s = limit.per_s(),
        .age = std::chrono::milliseconds(limit.age_ms())};
    if (context_.placement.limits().OnPeerReport(context_.loop.now(), report)) {
      io::Log(io::LogLevel::kInfo, "server.limit",
              {{"server", report.server.value()},
               {"per_s", report.per_s},
               {"by", "peer"}});
    }
  }
}

void StoreFeed::ApplyServerChanges(const entrywire::StoreTell& reply,
                                   Time known_at) {
  if (!context_.listed.has_listing()) {
    return;
  }
  for (const entrywire::ServerChange& wire : reply.changes()) {
    if (wire.revision() <= watched_revision_) {
      continue;
    }
    ports::StoreChange change;
    change.entry.key = wire.key();
    change.entry.value = wire.value();
    change.entry.mod_revision = wire.revision();
    change.removed = wire.removed();
    RetainChange(change);
    ApplyChange(change);
  }
  watched_revision_ = std::max(watched_revision_, reply.servers_revision());
  servers_fresh_at_ = std::max(servers_fresh_at_, known_at);
  Publish();
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

void StoreFeed::ScheduleListing(Duration delay) {
  waiting_ = false;
  ++wait_round_;
  listing_timer_ = context_.loop.After(delay, [this] { ListServers(); });
}

void StoreFeed::Publish() {
  const Time due = context_.listed.next_due();
  if (due != Time::max()) {
    listed_timer_ = context_.loop.After(due - context_.loop.now(), [this] {
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
  pace_.SetServers(ready);
  context_.paths.SetServers(ready.size());
  CompareServerStarts();
  context_.metrics.SetServers(ready.size());
  if (rollouts_ != nullptr) {
    rollouts_->OnServers(watched_revision_);
  }
  io::Log(io::LogLevel::kInfo, "servers.changed",
          {{"ready", ready.size()},
           {"listed", context_.listed.all().size()},
           {"revision", watched_revision_}});
  on_change_();
}

void StoreFeed::CompareServerStarts() {
  std::vector<WallTime> starts;
  for (const ListedServer* server : context_.listed.all()) {
    if (server->started_ms > 0) {
      starts.emplace_back(std::chrono::milliseconds(server->started_ms));
    }
  }
  const auto change =
      context_.clock.OnServerStarts(context_.loop.now(), std::move(starts));
  if (change) {
    on_clock_change_(*change);
  }
}

void StoreFeed::RecordOutcome(std::string_view call,
                              const absl::Status& status) {
  context_.metrics.CountStoreCall(call, status.ok());
  const ResultCode code = CodeOf(status);
  const bool answered = status.ok() ||
                        code == ResultCode::kStoreRevisionCompacted ||
                        code == ResultCode::kBadAnswer;
  // While the replies of a reader are fresh, the store is reachable, though not
  // from this instance.
  const bool reader_reaches_store =
      !ReadsStore() && context_.loop.now() - servers_fresh_at_ < kMaxDataAge;
  if (answered || !reader_reaches_store) {
    SetStoreUnreachable(!answered, call, std::string(status.message()));
  }
}

void StoreFeed::SetStoreUnreachable(bool unreachable, std::string_view call,
                                    std::string_view reason) {
  if (unreachable == store_unreachable_) {
    return;
  }
  store_unreachable_ = unreachable;
  const Time now = context_.loop.now();
  if (store_unreachable_) {
    context_.listed.OnStoreUnreachable(now);
  } else {
    context_.listed.OnStoreReachable(now);
    // Calls that were open during the outage may wait on a dead connection.
    if (waiting_) {
      ScheduleListing(Duration::zero());
    }
  }
  io::Log(store_unreachable_ ? io::LogLevel::kWarning : io::LogLevel::kInfo,
          store_unreachable_ ? "store.lost" : "store.regained",
          {{"call", call}, {"reason", reason}});
}

}  // namespace oleander::entry
