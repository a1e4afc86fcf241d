#include "entry/record_keeper.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

#include "entry.pb.h"
#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

// The records of all runs of instances, with and without usage counts.
constexpr std::string_view kCountsPrefix = "/oleander/instances/";
constexpr std::string_view kMembersPrefix = "/oleander/members/";
// Calls that started in a window may still be reported shortly after its end,
// so the write is delayed by this. The writes of the fleet are spread over
// kWriteSpread after that.
constexpr Duration kWriteAfterEnd = std::chrono::milliseconds(150);
constexpr Duration kWriteSpread = std::chrono::milliseconds(400);
constexpr Duration kReadAfterEnd = std::chrono::milliseconds(900);
constexpr Duration kWriteRetry = std::chrono::milliseconds(700);
// Windows in one record; a report is due two windows after the end of its
// window.
constexpr int64_t kRecordedWindows = 5;
// An instance counts as ended when its record was not rewritten for this many
// windows, plus one and a half for delays.
constexpr int64_t kAliveWindows = 2;
// An instance that needs only the live instances reads once in this many
// windows.
constexpr uint64_t kWindowsPerRead = 2;
// A record that was not rewritten for this many windows is removed.
constexpr int64_t kRetentionWindows = 8;
// Instances of a fleet start within some tenths of a second, and the first read
// finds only those that started earlier. The read is repeated while it finds
// new records.
constexpr Duration kStartReadInterval = std::chrono::milliseconds(1500);
constexpr int kMaxReadsAtStart = 4;
// Instances rewrite their records within a second after a restore of the store;
// a record that is still missing after two seconds belongs to an ended
// instance.
constexpr Duration kRewriteTime = std::chrono::milliseconds(2000);
constexpr Duration kReadAfterRewrite = std::chrono::milliseconds(1200);
// The store accepts 32 entries per call, and each run has two records.
constexpr size_t kMaxRemovalsPerCall = 16;

InstanceRecord Decode(const std::string& run,
                      const entrywire::EntryRecord& wire) {
  InstanceRecord record{.run = run,
                        .instance = InstanceId(wire.instance()),
                        .domain = DomainId(wire.domain()),
                        .region = RegionId(wire.region()),
                        .cores = wire.cores(),
                        .address = wire.address(),
                        .mesh_port = static_cast<uint16_t>(wire.mesh_port()),
                        .closed_window = wire.closed_window(),
                        .windows = {},
                        .alive = false};
  for (const entrywire::UsageWindow& window : wire.windows()) {
    UsageCounts& counts = record.windows[window.window()];
    for (const auto& [workspace, count] : window.counts()) {
      counts[WorkspaceId(workspace)] = count;
    }
  }
  return record;
}

}  // namespace

RecordKeeper::RecordKeeper(CallContext& context, ports::StorePort& store,
                           const EntrySettings& settings, std::string run_id,
                           std::function<bool()> needs_counts,
                           std::function<void()> on_records)
    : context_(context),
      store_(store),
      settings_(settings),
      run_id_(std::move(run_id)),
      needs_counts_(std::move(needs_counts)),
      on_records_(std::move(on_records)) {}

void RecordKeeper::Start() {
  // The first record gives peers the address of this instance.
  const int64_t current = context_.usage.WindowOf(context_.wall_now());
  Write(current - 1, [this] { Read(); });
  ScheduleWrite();
  ScheduleRead();
}

void RecordKeeper::ScheduleWrite() {
  const WallTime now = context_.wall_now();
  const int64_t window = context_.usage.WindowOf(now);
  const Duration to_end = context_.usage.EndOf(window) - now;
  const uint64_t hash = XXH64(run_id_.data(), run_id_.size(), 0);
  const Duration spread(static_cast<Duration::rep>(
      hash % static_cast<uint64_t>(kWriteSpread.count())));
  write_timer_ =
      context_.loop.After(to_end + kWriteAfterEnd + spread, [this, window] {
        Write(window, [] {});
        ScheduleWrite();
      });
}

void RecordKeeper::ScheduleRead() {
  const WallTime now = context_.wall_now();
  const int64_t window = context_.usage.WindowOf(now);
  // The holder of the duty reads after each window. The others only need the
  // live instances; their reads are spread over the windows.
  const uint64_t offset = XXH64(run_id_.data(), run_id_.size(), 1);
  const bool reads =
      needs_counts_() ||
      (static_cast<uint64_t>(window) + offset) % kWindowsPerRead == 0;
  const Duration to_end = context_.usage.EndOf(window) - now;
  read_timer_ = context_.loop.After(to_end + kReadAfterEnd, [this, reads] {
    if (reads) {
      Read();
    }
    ScheduleRead();
  });
}

void RecordKeeper::OnNewEra() {
  revisions_restarted_ = true;
  const uint64_t hash = XXH64(run_id_.data(), run_id_.size(), 2);
  const Duration spread(static_cast<Duration::rep>(
      hash % static_cast<uint64_t>(kWriteSpread.count())));
  era_timer_ = context_.loop.After(spread, [this, spread] {
    Write(closed_window_, [] {});
    era_timer_ =
        context_.loop.After(kReadAfterRewrite + spread, [this] { Read(); });
  });
}

void RecordKeeper::OnClockChange() {
  ScheduleWrite();
  ScheduleRead();
}

void RecordKeeper::WriteLast(std::function<void()> done) {
  write_timer_.Cancel();
  Write(context_.usage.WindowOf(context_.wall_now()), std::move(done));
}

void RecordKeeper::Write(int64_t closed_window, std::function<void()> done) {
  closed_window_ = closed_window;
  context_.usage.DropBefore(closed_window - kRecordedWindows + 1);
  const std::string run =
      fmt::format("{}/{}", settings_.instance.value(), run_id_);
  const StoreCas write{
      .call = 0,
      .compares = {},
      .puts = {{.key = fmt::format("{}{}", kCountsPrefix, run),
                .value = Encode(closed_window, Content::kCounts)},
               {.key = fmt::format("{}{}", kMembersPrefix, run),
                .value = Encode(closed_window, Content::kMembers)}},
      .deletes = {}};
  store_.Cas(write, [this, closed_window, done = std::move(done)](
                        const absl::StatusOr<StoreCasAnswer>& answer) {
    context_.metrics.CountStoreCall("record", answer.ok());
    if (!answer.ok()) {
      io::Log(io::LogLevel::kWarning, "record.not_written",
              {{"window", closed_window},
               {"reason", std::string(answer.status().message())}});
      // The retry takes the place of the next regular write, so it also closes
      // the windows that have ended by then.
      write_timer_ = context_.loop.After(kWriteRetry, [this, closed_window] {
        Write(std::max(closed_window, LastEndedWindow()), [] {});
        ScheduleWrite();
      });
    }
    done();
  });
}

int64_t RecordKeeper::LastEndedWindow() const {
  return context_.usage.WindowOf(context_.wall_now() - kWriteAfterEnd) - 1;
}

std::string RecordKeeper::Encode(int64_t closed_window, Content content) const {
  entrywire::EntryRecord record;
  record.set_instance(settings_.instance.value());
  record.set_address(settings_.callers.address);
  record.set_mesh_port(settings_.mesh_port);
  record.set_domain(settings_.location.domain.value());
  record.set_region(settings_.location.region.value());
  record.set_cores(settings_.limits.cores);
  record.set_closed_window(closed_window);
  record.set_store_era(context_.era.current());
  record.set_era_age_us(context_.era.reported_age(context_.loop.now()).count());
  if (content == Content::kMembers) {
    return record.SerializeAsString();
  }
  for (const auto& [window, counts] : context_.usage.windows()) {
    entrywire::UsageWindow& wire = *record.add_windows();
    wire.set_window(window);
    for (const auto& [workspace, count] : counts) {
      (*wire.mutable_counts())[workspace.value()] = count;
    }
  }
  return record.SerializeAsString();
}

void RecordKeeper::Read(Content content) {
  const std::string_view prefix =
      content == Content::kCounts ? kCountsPrefix : kMembersPrefix;
  store_.Range({.call = 0, .key = std::string(prefix), .prefix = true},
               [this, content](const absl::StatusOr<StoreRangeAnswer>& answer) {
                 OnRead(content, answer);
               });
}

void RecordKeeper::OnRead(Content content,
                          const absl::StatusOr<StoreRangeAnswer>& answer) {
  context_.metrics.CountStoreCall(
      content == Content::kCounts ? "records" : "members", answer.ok());
  if (!answer.ok()) {
    io::Log(io::LogLevel::kWarning, "records.not_read",
            {{"reason", std::string(answer.status().message())}});
    return;
  }
  const Time now = context_.loop.now();
  const Duration window = settings_.bounds.usage_window;
  std::vector<InstanceRecord> records;
  std::vector<std::string> stale;
  absl::flat_hash_map<std::string, Observation> observations;
  for (const StoreEntry& entry : answer->entries) {
    const std::string run = entry.key.substr(
        (content == Content::kCounts ? kCountsPrefix : kMembersPrefix).size());
    entrywire::EntryRecord wire;
    const bool readable = wire.ParseFromString(entry.value);
    const auto known = std::ranges::find(records_, run, &InstanceRecord::run);
    if (!readable) {
      LogUnreadable(entry, run);
      if (known == records_.end()) {
        continue;
      }
    }
    context_.era.OnReportedAge(now, wire.store_era(),
                               Duration(wire.era_age_us()));
    Observation observation{
        .revision = entry.mod_revision,
        .closed_window = readable ? wire.closed_window() : known->closed_window,
        .changed_at = now};
    const auto seen = observations_.find(run);
    if (seen != observations_.end() &&
        !IsRewritten(seen->second, observation)) {
      observation.changed_at = seen->second.changed_at;
    }
    const Time changed_at = observation.changed_at;
    observations[run] = observation;
    // What an instance said before still holds, and it lives while it writes.
    records.push_back(readable ? Decode(run, wire) : *known);
    if (content == Content::kMembers) {
      records.back().closed_window = 0;
    }
    records.back().alive =
        now - changed_at < window * (kAliveWindows + 1) + window / 2;
    if (now - changed_at > window * kRetentionWindows) {
      stale.push_back(run);
    }
  }
  revisions_restarted_ = false;
  if (context_.era.age(now) < kRewriteTime) {
    RetainMissing(records);
  }
  const bool grew = records.size() > records_.size();
  observations_ = std::move(observations);
  records_ = std::move(records);
  has_counts_ = content == Content::kCounts;
  if (grew && ++reads_at_start_ < kMaxReadsAtStart) {
    start_timer_ = context_.loop.After(kStartReadInterval, [this] { Read(); });
  }
  RemoveStale(stale);
  on_records_();
}

void RecordKeeper::LogUnreadable(const StoreEntry& entry,
                                 const std::string& run) {
  if (unreadable_runs_.Allows(context_.loop.now(),
                              XXH64(run.data(), run.size(), 0))) {
    io::Log(io::LogLevel::kWarning, "record.unreadable",
            {{"key", entry.key}, {"bytes", entry.value.size()}});
  }
}

bool RecordKeeper::IsRewritten(const Observation& before,
                               const Observation& after) const {
  return revisions_restarted_ ? after.closed_window > before.closed_window
                              : after.revision != before.revision;
}

void RecordKeeper::RetainMissing(std::vector<InstanceRecord>& records) const {
  std::vector<InstanceRecord> missing;
  std::ranges::copy_if(records_, std::back_inserter(missing),
                       [&records](const InstanceRecord& known) {
                         return std::ranges::find(records, known.run,
                                                  &InstanceRecord::run) ==
                                records.end();
                       });
  std::ranges::move(missing, std::back_inserter(records));
}

// Each instance that finds stale records removes them; deleting a key that does
// not exist is harmless.
void RecordKeeper::RemoveStale(const std::vector<std::string>& runs) {
  if (runs.empty()) {
    return;
  }
  StoreCas write;
  for (const std::string& run : runs | std::views::take(kMaxRemovalsPerCall)) {
    write.deletes.push_back(fmt::format("{}{}", kCountsPrefix, run));
    write.deletes.push_back(fmt::format("{}{}", kMembersPrefix, run));
  }
  store_.Cas(write, [this](const absl::StatusOr<StoreCasAnswer>& answer) {
    context_.metrics.CountStoreCall("record_removal", answer.ok());
  });
}

size_t RecordKeeper::live_instances() const {
  std::set<InstanceId> live = {settings_.instance};
  for (const InstanceRecord& record : records_) {
    if (record.alive) {
      live.insert(record.instance);
    }
  }
  return live.size();
}

}  // namespace oleander::entry
