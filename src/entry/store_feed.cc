#include "entry/store_feed.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "io/log.h"
#include "oleander/reader_choice.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// How many instances read the store for all: one may be down and another cut
// off.
constexpr size_t kReaders = 3;
// Operators expect a change in force within two and a half seconds: a reader's
// period and an asker's, and room for one that fails.
constexpr Duration kConfigPeriod = std::chrono::milliseconds(700);
constexpr Duration kConfigRetry = std::chrono::milliseconds(250);
constexpr Duration kAskPeriod = std::chrono::milliseconds(400);
// Without a word this fresh an instance reads by itself.
constexpr Duration kFreshWord = std::chrono::milliseconds(1500);
// After a return from an older copy, what operators wrote is written again
// within about two seconds; before that the store may hold an older document.
constexpr Duration kRewrittenWithin = std::chrono::milliseconds(2000);
// All instances list the servers anew then, spread over this time.
constexpr Duration kNewEraSpread = std::chrono::milliseconds(200);
// Questions that may still be answered.
constexpr size_t kOpenQuestions = 6;
// Waiting costs one call each; the longest that the store allows is 30 s.
constexpr Duration kServersWait = std::chrono::seconds(10);
constexpr Duration kServersRetry = std::chrono::milliseconds(250);
// Kept for peers that ask; older ones are listed anew.
constexpr size_t kRememberedChanges = 512;

// No server has as many calls; a larger number isn't believed.
constexpr uint32_t kMostCalls = 100'000;
// Loads of backend servers in one answer to a peer; more are told in turn.
constexpr size_t kLoadsTold = 160;

void WriteLoads(const std::vector<ServerLoadReport>& notes,
                entrywire::ServerLoads& wire) {
  for (const ServerLoadReport& note : notes) {
    wire.add_servers(note.server);
    wire.add_calls(static_cast<uint32_t>(note.calls));
    wire.add_ages_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(note.age)
            .count()));
  }
}

// Lists of unequal lengths end with the shortest.
void ReadLoads(Time now, const entrywire::ServerLoads& wire,
               ServerLoads& loads) {
  const int count =
      std::min({wire.servers_size(), wire.calls_size(), wire.ages_ms_size()});
  for (int i = 0; i < count; ++i) {
    loads.OnPeerReport(
        now, {.server = wire.servers(i),
              .calls = static_cast<int>(std::min(wire.calls(i), kMostCalls)),
              .age = std::chrono::milliseconds(wire.ages_ms(i))});
  }
}

void WriteLeaving(
    const std::vector<LeavingNotice>& notices,
    google::protobuf::RepeatedPtrField<entrywire::LeavingServer>& wire) {
  for (const LeavingNotice& notice : notices) {
    entrywire::LeavingServer& told = *wire.Add();
    told.set_server(notice.server.value());
    told.set_born_ms(notice.started_ms);
  }
}

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
  servers_fresh_at_ = context_.loop.now();
  ListServers();
  Turn();
}

void StoreFeed::OnNewEra() {
  const Time now = context_.loop.now();
  watched_to_ = 0;
  changes_.clear();
  changes_from_ = 0;
  document_revision_ = 0;
  document_version_.reset();
  read_at_.reset();
  questions_.clear();
  away_ = false;
  // The copy may list servers as they were before they said that they leave.
  for (const ListedServer& server : context_.listed.OnNewEra(now)) {
    context_.placement.notices().OnLeaving(
        now, {.server = server.id, .started_ms = server.started_ms});
  }
  Publish();
  const uint64_t hash = XXH64(self_.value().data(), self_.value().size(), 0);
  ListAgain(Duration(static_cast<Duration::rep>(
      hash % static_cast<uint64_t>(kNewEraSpread.count()))));
}

void StoreFeed::OnRecords(const RecordKeeper& records) {
  std::vector<ReaderCandidate> candidates;
  for (const InstanceRecord& record : records.records()) {
    if (record.alive) {
      candidates.push_back(
          {.instance = record.instance, .domain = record.domain});
    }
  }
  std::vector<InstanceId> readers =
      ChooseReaders(std::move(candidates), kReaders);
  if (readers != readers_) {
    readers_ = std::move(readers);
    io::Log(io::LogLevel::kInfo, "store.readers",
            {{"readers", readers_.size()}, {"reads", ReadsItself()}});
  }
}

bool StoreFeed::ReadsItself() const {
  return readers_.empty() ||
         std::ranges::find(readers_, self_) != readers_.end();
}

// One step: a reader reads, another asks one, and reads where that has not
// helped.
void StoreFeed::Turn() {
  const Time now = context_.loop.now();
  const bool reads = ReadsItself();
  const bool config_stale =
      context_.config == nullptr || context_.proof.age(now) > kFreshWord;
  const bool servers_stale = now - servers_fresh_at_ > kFreshWord;
  if (!reads) {
    AskReader();
  }
  const bool due =
      now - config_asked_at_ >= (config_stale ? kConfigRetry : kConfigPeriod);
  if ((reads || config_stale) && due && !reading_config_) {
    ReadConfig();
  }
  if ((reads || servers_stale) && !waiting_ && !servers_timer_.active() &&
      context_.listed.has_listing()) {
    WaitForServers();
  }
  const Duration period = !reads         ? kAskPeriod
                          : config_stale ? kConfigRetry
                                         : kConfigPeriod;
  turn_timer_ = context_.loop.After(period, [this] { Turn(); });
}

void StoreFeed::ReadConfig() {
  const Time asked_at = context_.loop.now();
  reading_config_ = true;
  config_asked_at_ = asked_at;
  store_.Range(
      {.call = 0, .key = catalog_.config_key(), .prefix = false},
      [this, asked_at](const absl::StatusOr<StoreRangeAnswer>& answer) {
        reading_config_ = false;
        OnConfig(asked_at, answer);
      });
}

void StoreFeed::OnConfig(Time asked_at,
                         const absl::StatusOr<StoreRangeAnswer>& answer) {
  NoteAnswer("config", answer.status());
  if (!answer.ok() || answer->entries.empty()) {
    return;
  }
  read_at_ = asked_at;
  ReadDocument(answer->entries.front());
  // A document that can't be read proves nothing, and neither does an older one
  // than is in force.
  const bool newest = context_.config != nullptr &&
                      document_version_ == context_.config->version();
  if (newest && IsRewritten(asked_at)) {
    context_.proof.Prove(asked_at);
  }
}

bool StoreFeed::IsRewritten(Time asked_at) const {
  return context_.era.age(asked_at) >= kRewrittenWithin;
}

// Of two documents the one with the operators' higher number is newer; the
// store may come back with an older one, at whatever revision.
void StoreFeed::ReadDocument(const StoreEntry& entry) {
  if (entry.mod_revision == document_revision_) {
    return;
  }
  document_revision_ = entry.mod_revision;
  document_version_.reset();
  auto parts = catalog_.ReadConfig(entry);
  if (!parts.ok()) {
    io::Log(io::LogLevel::kError, "config.unreadable",
            {{"revision", entry.mod_revision},
             {"reason", std::string(parts.status().message())}});
    return;
  }
  document_version_ = parts->version;
  if (context_.config == nullptr ||
      context_.config->version() < parts->version) {
    ApplyConfig(*std::move(parts));
  } else if (context_.config->version() > parts->version) {
    io::Log(io::LogLevel::kWarning, "config.older",
            {{"version", parts->version},
             {"in_force", context_.config->version()},
             {"revision", entry.mod_revision},
             {"era", context_.era.current()}});
  }
}

void StoreFeed::ApplyConfig(ServingConfigParts parts) {
  const int64_t revision = parts.revision;
  context_.config = ServingConfig::Create(std::move(parts));
  context_.quotas.SetQuotas(*context_.config);
  for (const ServiceRule& service : context_.config->services()) {
    if (service.engine) {
      context_.placement.SetMemory(
          service.id, {.cache_tokens = service.engine->cache_tokens});
    }
  }
  context_.metrics.SetConfigVersion(context_.config->version());
  io::Log(io::LogLevel::kInfo, "config.applied",
          {{"version", context_.config->version()},
           {"revision", revision},
           {"routes", context_.config->routes().size()},
           {"quotas", QuotaText(*context_.config)}});
  on_change_();
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
  changes_.clear();
  changes_from_ = watched_to_;
  servers_fresh_at_ = context_.loop.now();
  context_.listed.Replace(context_.loop.now(), std::move(servers),
                          answer->revision);
  Publish();
  if (ReadsItself()) {
    WaitForServers();
  }
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
  for (const ports::StoreChange& change : answer->changes) {
    // Peers may have told it meanwhile.
    if (change.entry.mod_revision > watched_to_) {
      Remember(change);
      ApplyChange(change);
    }
  }
  watched_to_ = std::max(watched_to_, answer->revision);
  servers_fresh_at_ = context_.loop.now();
  Publish();
  if (ReadsItself()) {
    WaitForServers();
  }
}

void StoreFeed::Remember(const ports::StoreChange& change) {
  changes_.push_back(change);
  if (changes_.size() > kRememberedChanges) {
    changes_from_ = changes_.front().entry.mod_revision;
    changes_.pop_front();
  }
}

void StoreFeed::AskReader() {
  const InstanceId& reader = readers_[++round_ % readers_.size()];
  questions_.push_back({.round = round_, .asked_at = context_.loop.now()});
  if (questions_.size() > kOpenQuestions) {
    questions_.pop_front();
  }
  mesh::Envelope envelope;
  entrywire::StoreAsk& ask = *envelope.mutable_store_ask();
  ask.set_round(round_);
  ask.set_servers_revision(context_.listed.has_listing() ? watched_to_ : 0);
  ask.set_store_era(context_.era.current());
  WriteLoads(context_.loads.TakeUpdates(context_.loop.now()),
             *ask.mutable_loads());
  WriteLoads(context_.prefill_load.TakeUpdates(context_.loop.now()),
             *ask.mutable_reading());
  WriteLeaving(context_.placement.notices().recent_leaving(context_.loop.now()),
               *ask.mutable_leaving());
  peers_.Send(reader, envelope);
}

void StoreFeed::OnMessage(const InstanceId& from,
                          const mesh::Envelope& message) {
  if (message.has_store_ask()) {
    Answer(from, message.store_ask());
  } else if (message.has_store_tell()) {
    OnTell(message.store_tell());
  }
}

bool StoreFeed::TakeEra(int64_t era, Duration age) {
  const Time now = context_.loop.now();
  if (!context_.era.Observe(now, era)) {
    return false;
  }
  context_.era.OnAge(now, era, age);
  return true;
}

void StoreFeed::Answer(const InstanceId& peer, const entrywire::StoreAsk& ask) {
  const bool same_era = TakeEra(ask.store_era(), Duration::zero());
  mesh::Envelope envelope;
  entrywire::StoreTell& tell = *envelope.mutable_store_tell();
  tell.set_round(ask.round());
  const Time now = context_.loop.now();
  ReadLoads(now, ask.loads(), context_.loads);
  WriteLoads(context_.loads.NextReports(now, kLoadsTold),
             *tell.mutable_loads());
  ReadLoads(now, ask.reading(), context_.prefill_load);
  WriteLoads(context_.prefill_load.NextReports(now, kLoadsTold),
             *tell.mutable_reading());
  TakeLeaving(ask.leaving());
  WriteLeaving(context_.placement.notices().recent_leaving(now),
               *tell.mutable_leaving());
  tell.set_store_era(context_.era.current());
  tell.set_era_age_us(context_.era.age_told(now).count());
  if (context_.config != nullptr && context_.proof.age(now) < kFreshWord) {
    tell.set_config_version(context_.config->version());
    tell.set_proof_age_us(context_.proof.age(now).count());
  }
  // Only who waits at a store that answers knows that nothing else has changed.
  const bool knows_servers = same_era && waiting_ && !away_ && read_at_ &&
                             now - *read_at_ < kFreshWord &&
                             ask.servers_revision() != 0 &&
                             ask.servers_revision() >= changes_from_;
  if (knows_servers) {
    tell.set_servers_revision(watched_to_);
    tell.set_servers_age_us((now - *read_at_).count());
    tell.set_store_steady(context_.listed.stable(now));
    for (const ports::StoreChange& change : changes_) {
      if (change.entry.mod_revision <= ask.servers_revision()) {
        continue;
      }
      entrywire::ServerChange& wire = *tell.add_changes();
      wire.set_key(change.entry.key);
      wire.set_value(change.entry.value);
      wire.set_revision(change.entry.mod_revision);
      wire.set_removed(change.removed);
    }
  }
  peers_.Send(peer, envelope);
}

void StoreFeed::OnTell(const entrywire::StoreTell& tell) {
  const auto question =
      std::ranges::find(questions_, tell.round(), &Question::round);
  if (question == questions_.end()) {
    return;
  }
  const Time asked_at = question->asked_at;
  questions_.erase(question);
  const int64_t era_before = context_.era.current();
  const bool same_era =
      TakeEra(tell.store_era(), Duration(tell.era_age_us())) &&
      context_.era.current() == era_before;
  ReadLoads(context_.loop.now(), tell.loads(), context_.loads);
  ReadLoads(context_.loop.now(), tell.reading(), context_.prefill_load);
  TakeLeaving(tell.leaving());
  if (!same_era) {
    return;  // What it says of the store is of a copy that is gone.
  }
  if (tell.has_proof_age_us() && context_.config != nullptr) {
    if (tell.config_version() <= context_.config->version()) {
      // What the reader had proven before it answered was proven that much
      // before the question left, or later.
      context_.proof.Prove(asked_at - Duration(tell.proof_age_us()));
    } else if (!reading_config_) {
      ReadConfig();
    }
  }
  if (tell.servers_revision() != 0) {
    SetAway(false, "reader", "as a reader tells");
    if (tell.store_steady()) {
      context_.listed.OnStoreStable(context_.loop.now());
    }
    TakeServers(tell, asked_at - Duration(tell.servers_age_us()));
    return;
  }
  // The reader lists them itself, or no longer has the changes since then.
  const bool stale =
      context_.loop.now() - servers_fresh_at_ > kFreshWord - kAskPeriod;
  // A call that waited through an outage may wait on a dead connection.
  const bool may_list = !waiting_ || away_;
  if (context_.listed.has_listing() && stale && may_list && !listing_ &&
      !servers_timer_.active()) {
    ListAgain(Duration::zero());
  }
}

void StoreFeed::TakeLeaving(
    const google::protobuf::RepeatedPtrField<entrywire::LeavingServer>& wire) {
  for (const entrywire::LeavingServer& told : wire) {
    const LeavingNotice notice{.server = ServerId(told.server()),
                               .started_ms = told.born_ms()};
    if (context_.placement.notices().OnLeaving(context_.loop.now(), notice)) {
      io::Log(io::LogLevel::kInfo, "server.leaving",
              {{"server", notice.server.value()},
               {"born_ms", notice.started_ms},
               {"by", "peer"}});
    }
  }
}

void StoreFeed::TakeServers(const entrywire::StoreTell& tell, Time known_at) {
  if (!context_.listed.has_listing()) {
    return;
  }
  for (const entrywire::ServerChange& wire : tell.changes()) {
    if (wire.revision() <= watched_to_) {
      continue;
    }
    ports::StoreChange change;
    change.entry.key = wire.key();
    change.entry.value = wire.value();
    change.entry.mod_revision = wire.revision();
    change.removed = wire.removed();
    Remember(change);
    ApplyChange(change);
  }
  watched_to_ = std::max(watched_to_, tell.servers_revision());
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

void StoreFeed::ListAgain(Duration pause) {
  waiting_ = false;
  ++wait_round_;
  servers_timer_ = context_.loop.After(pause, [this] { ListServers(); });
}

void StoreFeed::Publish() {
  const Time due = context_.listed.next_due();
  if (due != Time::max()) {
    return_timer_ = context_.loop.After(due - context_.loop.now(), [this] {
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
  CompareBirths();
  context_.metrics.SetServers(ready.size());
  io::Log(io::LogLevel::kInfo, "servers.changed",
          {{"ready", ready.size()},
           {"listed", context_.listed.all().size()},
           {"revision", watched_to_}});
  on_change_();
}

void StoreFeed::CompareBirths() {
  std::vector<WallTime> births;
  for (const ListedServer* server : context_.listed.all()) {
    if (server->started_ms > 0) {
      births.emplace_back(std::chrono::milliseconds(server->started_ms));
    }
  }
  const auto change =
      context_.clock.OnServerStarts(context_.loop.now(), std::move(births));
  if (change) {
    on_clock_change_(*change);
  }
}

void StoreFeed::NoteAnswer(std::string_view call, const absl::Status& status) {
  context_.metrics.CountStoreCall(call, status.ok());
  const ResultCode code = CodeOf(status);
  const bool answered = status.ok() ||
                        code == ResultCode::kStoreRevisionCompacted ||
                        code == ResultCode::kBadAnswer;
  // As long as a reader's word is fresh the store is there, if not for us.
  const bool by_reader =
      !ReadsItself() && context_.loop.now() - servers_fresh_at_ < kFreshWord;
  if (answered || !by_reader) {
    SetAway(!answered, call, std::string(status.message()));
  }
}

void StoreFeed::SetAway(bool away, std::string_view call,
                        std::string_view reason) {
  if (away == away_) {
    return;
  }
  away_ = away;
  const Time now = context_.loop.now();
  if (away_) {
    context_.listed.OnStoreUnreachable(now);
  } else {
    context_.listed.OnStoreReachable(now);
    // Calls that waited through the outage may wait on a dead connection.
    if (waiting_) {
      ListAgain(Duration::zero());
    }
  }
  io::Log(away_ ? io::LogLevel::kWarning : io::LogLevel::kInfo,
          away_ ? "store.lost" : "store.regained",
          {{"call", call}, {"reason", reason}});
}

}  // namespace oleander::entry
