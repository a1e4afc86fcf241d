#include "entry/config_feed.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// Operators expect a change to be in force within 2.5 s. That covers the period
// of a reader, the period in which an instance polls it, and one failed call.
constexpr Duration kReaderPeriod = std::chrono::milliseconds(700);
constexpr Duration kRetry = std::chrono::milliseconds(250);
constexpr Duration kPollPeriod = std::chrono::milliseconds(250);
// An instance that has to read the whole configuration to confirm it does so
// less often.
constexpr Duration kWholeReadPeriod = std::chrono::milliseconds(1500);
constexpr Duration kFollowPeriod = std::chrono::milliseconds(50);
// While the store discards its history, it answers only reads. So a reader
// whose call for changes gets no answer reads the configuration.
constexpr Duration kConfirmTimeout = std::chrono::milliseconds(400);
// A document that takes no more of a link than a few messages of peers.
constexpr size_t kShortDocumentBytes = size_t{32} << 10;
constexpr Duration kReadSpread = std::chrono::milliseconds(1200);
// An instance whose proof is older than this calls the store itself.
constexpr Duration kMaxProofAge = std::chrono::milliseconds(1500);
// After a restore from an older copy, operators write the configuration again
// within about two seconds; until then the store may hold an older document.
constexpr Duration kRestoreTime = std::chrono::milliseconds(2000);

// Returns each workspace with a quota, with its rate and burst, for the log.
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

ConfigFollowerOptions ConfigFeed::FollowerOptions(const InstanceId& self) {
  ConfigFollowerOptions options;
  const uint64_t hash = XXH64(self.value().data(), self.value().size(), 0);
  options.read_after += Duration(static_cast<Duration::rep>(
      hash % static_cast<uint64_t>(kReadSpread.count())));
  return options;
}

void ConfigFeed::Start() {
  follower_.Start(context_.loop.now());
  ReadIfShort();
  Poll();
}

void ConfigFeed::OnNewEra() {
  AbandonCall();
  observed_ = {};
  document_revision_ = 0;
  short_read_.reset();
  last_read_sent_at_.reset();
}

void ConfigFeed::SetFleet(std::vector<InstanceId> readers,
                          const ConfigTree& tree) {
  readers_ = std::move(readers);
  is_reader_ = std::ranges::find(readers_, self_) != readers_.end();
  std::vector<InstanceId> other_readers;
  std::ranges::remove_copy(readers_, std::back_inserter(other_readers), self_);
  children_ = tree.ChildrenOf(self_);
  follower_.SetFleet({.is_reader = is_reader_,
                      .parent = tree.ParentOf(self_),
                      .readers = std::move(other_readers)});
  Poll();
}

void ConfigFeed::Poll() {
  UseShortRead();
  if (IsConfirmationDue()) {
    Confirm();
  }
  Follow();
  poll_timer_ = context_.loop.After(kPollPeriod, [this] { Poll(); });
}

bool ConfigFeed::is_stale() const {
  return context_.config == nullptr ||
         context_.proof.age(context_.loop.now()) > kMaxProofAge;
}

bool ConfigFeed::IsConfirmationDue() const {
  const Duration since_last = context_.loop.now() - call_sent_at_;
  if (calling_ || (!is_reader_ && context_.config == nullptr)) {
    return false;
  }
  if (is_reader_ || readers_.empty()) {
    return since_last >= (is_stale() ? kRetry : kReaderPeriod);
  }
  return is_stale() && !follower_.is_behind() &&
         since_last >= (observed_.revision == 0 ? kWholeReadPeriod : kRetry);
}

void ConfigFeed::Confirm() {
  // Changes after the observation don't include what it showed.
  const bool has_observed =
      observed_.revision != 0 && context_.config != nullptr &&
      observed_.version.value_or(0) <= context_.config->version();
  if (!has_observed) {
    Read();
    return;
  }
  const Time sent_at = context_.loop.now();
  const uint64_t round = BeginCall();
  store_.Wait({.prefix = catalog_.config_key(),
               .after_revision = observed_.revision,
               .max_wait = Duration::zero()},
              [this, sent_at,
               round](const absl::StatusOr<ports::StoreChanges>& answer) {
                if (EndCall(round)) {
                  OnChanges(sent_at, answer);
                }
              });
  if (is_reader_) {
    confirm_timer_ = context_.loop.After(kConfirmTimeout, [this, round] {
      if (EndCall(round)) {
        Read();
      }
    });
  }
}

void ConfigFeed::Read() {
  const Time sent_at = context_.loop.now();
  store_.Range({.call = 0, .key = catalog_.config_key(), .prefix = false},
               [this, sent_at, round = BeginCall()](
                   const absl::StatusOr<StoreRangeAnswer>& answer) {
                 if (EndCall(round)) {
                   OnRead(sent_at, answer);
                 }
               });
}

void ConfigFeed::ReadIfShort() {
  const Time sent_at = context_.loop.now();
  store_.Range({.call = 0,
                .key = catalog_.config_key(),
                .prefix = false,
                .max_bytes = kShortDocumentBytes},
               [this, sent_at, round = BeginCall()](
                   const absl::StatusOr<StoreRangeAnswer>& answer) {
                 if (!EndCall(round)) {
                   return;
                 }
                 if (!answer.ok()) {
                   on_store_call_("config", answer.status());
                 } else if (!answer->too_large) {
                   short_read_ = {.sent_at = sent_at, .answer = *answer};
                 }
                 Poll();
               });
}

void ConfigFeed::UseShortRead() {
  if (!short_read_ || !AreOperatorWritesRestored(short_read_->sent_at)) {
    return;
  }
  const ShortRead read = *std::exchange(short_read_, std::nullopt);
  if (context_.config == nullptr) {
    OnRead(read.sent_at, read.answer);
  }
}

uint64_t ConfigFeed::BeginCall() {
  calling_ = true;
  call_sent_at_ = context_.loop.now();
  return ++call_round_;
}

bool ConfigFeed::EndCall(uint64_t round) {
  if (round != call_round_ || !calling_) {
    return false;
  }
  AbandonCall();
  return true;
}

void ConfigFeed::AbandonCall() {
  ++call_round_;
  calling_ = false;
  confirm_timer_.Cancel();
}

void ConfigFeed::OnRead(Time sent_at,
                        const absl::StatusOr<StoreRangeAnswer>& answer) {
  on_store_call_("config", answer.status());
  if (!answer.ok() || answer->entries.empty()) {
    return;
  }
  ReadDocument(answer->entries.front());
  observed_.revision = answer->revision;
  OnObserved(sent_at);
}

void ConfigFeed::OnChanges(Time sent_at,
                           const absl::StatusOr<ports::StoreChanges>& answer) {
  on_store_call_("config_changes", answer.status());
  if (!answer.ok()) {
    if (CodeOf(answer.status()) == ResultCode::kStoreRevisionCompacted) {
      observed_.revision = 0;
      Read();
    }
    return;
  }
  const auto last =
      std::ranges::find_if(answer->changes.rbegin(), answer->changes.rend(),
                           [this](const ports::StoreChange& change) {
                             return change.entry.key == catalog_.config_key();
                           });
  if (last != answer->changes.rend() && last->removed) {
    observed_ = {};
    document_revision_ = 0;
    return;
  }
  if (last != answer->changes.rend()) {
    ReadDocument(last->entry);
  }
  observed_.revision = std::max(observed_.revision, answer->revision);
  OnObserved(sent_at);
}

void ConfigFeed::OnObserved(Time sent_at) {
  last_read_sent_at_ = sent_at;
  // A document that cannot be parsed proves nothing; neither does one that is
  // older than the configuration in force.
  const bool newest = context_.config != nullptr &&
                      observed_.version == context_.config->version();
  if (newest && AreOperatorWritesRestored(sent_at)) {
    context_.proof.Prove(sent_at);
    follower_.OnConfirmed(sent_at);
  }
}

bool ConfigFeed::AreOperatorWritesRestored(Time sent_at) const {
  return context_.era.age(sent_at) >= kRestoreTime;
}

// The document with the higher version number is newer. Revisions do not
// decide, because a restored store may hold an older document at any revision.
void ConfigFeed::ReadDocument(const StoreEntry& entry) {
  if (entry.mod_revision == document_revision_) {
    return;
  }
  document_revision_ = entry.mod_revision;
  observed_.version.reset();
  auto parts = catalog_.ReadConfig(entry);
  if (!parts.ok()) {
    io::Log(io::LogLevel::kError, "config.unreadable",
            {{"revision", entry.mod_revision},
             {"reason", std::string(parts.status().message())}});
    return;
  }
  observed_.version = parts->version;
  const ServingConfigPtr before = context_.config;
  if (before == nullptr || before->version() < parts->version) {
    const ServingConfigPtr config = ServingConfig::Create(*std::move(parts));
    if (is_reader_ || !children_.empty()) {
      steps_.OnApplied(before, *config);
    } else {
      steps_.Clear();
    }
    context_.metrics.CountConfigBytes("store", entry.value.size());
    Apply(config, "store", entry.value.size());
  } else if (before->version() > parts->version) {
    io::Log(io::LogLevel::kWarning, "config.older",
            {{"version", parts->version},
             {"in_force", before->version()},
             {"revision", entry.mod_revision},
             {"era", context_.era.current()}});
  }
}

void ConfigFeed::OnPeerReport(const InstanceId& from,
                              const PeerReport& report) {
  const int64_t in_force =
      context_.config == nullptr ? 0 : context_.config->version();
  if (report.version > in_force) {
    LogHeard(report.version, from);
    follower_.OnHeard(context_.loop.now(), report.version, from);
    Follow();
    return;
  }
  // The version in force here is at least as new as the one that was proven.
  if (report.proven_at) {
    context_.proof.Prove(*report.proven_at);
  }
  if (report.version == in_force && report.revision > observed_.revision) {
    observed_ = {.revision = report.revision, .version = report.version};
  }
}

std::optional<ConfigFeed::PeerReport> ConfigFeed::report() const {
  if (context_.config == nullptr) {
    return std::nullopt;
  }
  PeerReport report{.version = context_.config->version(), .proven_at = {}};
  if (observed_.version == report.version) {
    report.revision = observed_.revision;
  }
  if (!is_stale()) {
    const Time now = context_.loop.now();
    report.proven_at = now - context_.proof.age(now);
  }
  return report;
}

void ConfigFeed::LogHeard(int64_t version, const InstanceId& from) const {
  const int64_t in_force =
      context_.config == nullptr ? 0 : context_.config->version();
  if (version > std::max(follower_.heard(), in_force)) {
    io::Log(
        io::LogLevel::kInfo, "config.heard",
        {{"version", version}, {"in_force", in_force}, {"from", from.value()}});
    context_.metrics.SetConfigHeard(version);
  }
}

void ConfigFeed::UpdateSuperseded() {
  const bool superseded = follower_.is_superseded(context_.loop.now());
  if (superseded == context_.config_superseded) {
    return;
  }
  context_.config_superseded = superseded;
  io::Log(
      superseded ? io::LogLevel::kWarning : io::LogLevel::kInfo,
      superseded ? "config.superseded" : "config.current",
      {{"in_force", context_.config->version()}, {"heard", follower_.heard()}});
}

void ConfigFeed::Follow() {
  UpdateSuperseded();
  const Time now = context_.loop.now();
  const auto source = follower_.SourceDue(now);
  if (source && !source->peer.empty()) {
    follower_.OnAsked(now, *source);
    transfer_ = {};
    Ask(source->peer);
  } else if (source && !calling_) {
    follower_.OnAsked(now, *source);
    Confirm();
  }
  if (follower_.is_behind()) {
    follow_timer_ = context_.loop.After(kFollowPeriod, [this] { Follow(); });
  }
}

void ConfigFeed::Ask(const InstanceId& peer) {
  const bool whole = needs_whole_ || context_.config == nullptr;
  mesh::Envelope envelope;
  entrywire::ConfigAsk& query = *envelope.mutable_config_ask();
  query.set_round(++round_);
  query.set_version(whole ? 0 : context_.config->version());
  query.set_target(transfer_.target());
  query.set_offset(transfer_.received());
  asked_at_ = context_.loop.now();
  peers_.Send(peer, envelope);
}

void ConfigFeed::OnMessage(const InstanceId& from,
                           const mesh::Envelope& message) {
  if (message.has_config_news()) {
    const int64_t version = message.config_news().version();
    LogHeard(version, from);
    follower_.OnAnnounced(context_.loop.now(), version, from);
    Follow();
  } else if (message.has_config_ask()) {
    OnAsk(from, message.config_ask());
  } else if (message.has_config_tell()) {
    OnTell(from, message.config_tell());
  }
}

void ConfigFeed::OnAsk(const InstanceId& from,
                       const entrywire::ConfigAsk& query) {
  mesh::Envelope envelope;
  entrywire::ConfigTell& reply = *envelope.mutable_config_tell();
  reply.set_round(query.round());
  if (context_.config != nullptr) {
    steps_.WritePart(query, *context_.config, reply);
  }
  reply.set_store_era(context_.era.current());
  WriteReport(reply);
  peers_.Send(from, envelope);
}

void ConfigFeed::OnTell(const InstanceId& from,
                        const entrywire::ConfigTell& reply) {
  if (reply.round() != round_) {
    return;
  }
  const Time now = context_.loop.now();
  if (reply.target() == 0 || !transfer_.Add(reply)) {
    follower_.OnNothingNewer(now, from);
  } else if (transfer_.is_complete()) {
    OnTransfer(from);
    if (reply.store_era() == context_.era.current()) {
      OnPeerReport(from, ReadReport(reply, asked_at_));
    }
  } else {
    follower_.OnProgress(now);
    Ask(from);
  }
}

void ConfigFeed::OnTransfer(const InstanceId& from) {
  const size_t bytes = transfer_.received();
  const auto steps = transfer_.Steps();
  const auto config = steps.ok()
                          ? ApplySteps(context_.config, *steps)
                          : absl::StatusOr<ServingConfigPtr>(steps.status());
  transfer_ = {};
  needs_whole_ = !config.ok();
  if (!config.ok()) {
    io::Log(io::LogLevel::kWarning, "config.refused",
            {{"peer", from.value()},
             {"bytes", bytes},
             {"reason", std::string(config.status().message())}});
  }
  if (!config.ok() || *config == context_.config) {
    follower_.OnNothingNewer(context_.loop.now(), from);
    return;
  }
  steps_.OnReceived(*steps);
  context_.metrics.CountConfigBytes("peer", bytes);
  // Replies of peers will confirm this version without a call of the store.
  call_sent_at_ = context_.loop.now();
  Apply(*config, from.value(), bytes);
}

void ConfigFeed::Apply(ServingConfigPtr config, std::string_view source,
                       size_t bytes) {
  const Time now = context_.loop.now();
  const Time behind_since = follower_.behind_since().value_or(now);
  context_.config = std::move(config);
  context_.quotas.SetQuotas(*context_.config);
  for (const ServiceRule& service : context_.config->services()) {
    if (service.engine) {
      context_.placement.SetMemory(
          service.id, {.cache_tokens = service.engine->cache_tokens});
    }
  }
  const int64_t version = context_.config->version();
  follower_.OnApplied(now, version);
  UpdateSuperseded();
  context_.metrics.SetConfigVersion(version);
  context_.metrics.SetConfigHeard(std::max(version, follower_.heard()));
  io::Log(io::LogLevel::kInfo, "config.applied",
          {{"version", version},
           {"revision", context_.config->revision()},
           {"source", source},
           {"bytes", bytes},
           {"behind_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - behind_since)
                             .count()},
           {"routes", context_.config->routes().size()},
           {"quotas", QuotaText(*context_.config)}});
  Announce();
  on_change_();
}

void ConfigFeed::Announce() const {
  mesh::Envelope envelope;
  envelope.mutable_config_news()->set_version(context_.config->version());
  std::ranges::for_each(children_, [&](const InstanceId& child) {
    peers_.Send(child, envelope);
  });
}

}  // namespace oleander::entry
