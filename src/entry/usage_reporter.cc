#include "entry/usage_reporter.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

constexpr std::string_view kUsagePrefix = "/oleander/usage/";
// Upper bound of the timeout of a call. The lease must last at least this much
// longer.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
// Interval between checks while a window is not yet reported.
constexpr Duration kRecheckInterval = std::chrono::milliseconds(700);
// The wait for missing records ends after this share of the time in which the
// report is due.
constexpr double kRecordWaitShare = 0.6;
// A new holder of the duty checks this many past windows.
constexpr int64_t kWindowsToRecheck = 3;
// Each new sum deletes the one that is this many windows older.
constexpr int64_t kRetainedSums = 24;

std::string KeyOf(int64_t window) {
  return fmt::format("{}{}", kUsagePrefix, window);
}

entrywire::UsageWindow Encode(int64_t number, const UsageCounts& counts) {
  entrywire::UsageWindow wire;
  wire.set_window(number);
  for (const auto& [workspace, count] : counts) {
    (*wire.mutable_counts())[workspace.value()] = count;
  }
  return wire;
}

UsageCounts Decode(const entrywire::UsageWindow& wire) {
  UsageCounts counts;
  for (const auto& [workspace, count] : wire.counts()) {
    counts[WorkspaceId(workspace)] = count;
  }
  return counts;
}

}  // namespace

void UsageReporter::OnTaken() {
  const int64_t current = context_.usage.WindowOf(context_.wall_now());
  for (int64_t number = current - kWindowsToRecheck; number < current;
       ++number) {
    windows_[number].phase = Phase::kCollecting;
  }
  records_.ReadCounts();
}

void UsageReporter::OnRecords() { AdvanceAll(); }

void UsageReporter::OnPeerSums(const entrywire::UsageTold& sums) {
  for (const entrywire::UsageWindow& window : sums.windows()) {
    announced_sums_.try_emplace(window.window(), Decode(window));
  }
  while (announced_sums_.size() > kRetainedSums) {
    announced_sums_.erase(announced_sums_.begin());
  }
}

void UsageReporter::AdvanceAll() {
  const int64_t current = context_.usage.WindowOf(context_.wall_now());
  if (context_.draining || !lease_.FenceFor(kCallTimeout)) {
    windows_.clear();
    timer_.Cancel();
    return;
  }
  windows_.try_emplace(current - 1);
  windows_.erase(windows_.begin(),
                 windows_.lower_bound(current - kWindowsToRecheck - 1));
  for (auto& [number, window] : windows_) {
    AdvanceWindow(number, window);
  }
  const bool open = std::ranges::any_of(windows_, [](const auto& item) {
    return item.second.phase != Phase::kSent;
  });
  if (open) {
    timer_ = context_.loop.After(kRecheckInterval, [this] {
      const bool collecting =
          std::ranges::any_of(windows_, [](const auto& item) {
            return item.second.phase == Phase::kCollecting;
          });
      if (collecting && lease_.FenceFor(kCallTimeout)) {
        records_.ReadCounts();  // OnRecords() calls AdvanceAll().
      } else {
        AdvanceAll();
      }
    });
  }
}

void UsageReporter::AdvanceWindow(int64_t number, Window& window) {
  const bool collected = records_.has_counts() && IsCollected(number);
  if (window.phase == Phase::kCollecting && collected) {
    if (EndedInThisEra(number) || announced_sums_.contains(number)) {
      StoreSum(number, window);
    } else {
      ReadStoredSum(number, window);
    }
  } else if (window.phase == Phase::kStored) {
    Send(number, window);
  }
}

bool UsageReporter::IsCollected(int64_t number) const {
  const Duration since_end = context_.wall_now() - context_.usage.EndOf(number);
  const auto max_record_wait = std::chrono::duration_cast<Duration>(
      bounds_.usage_late * kRecordWaitShare);
  if (since_end > max_record_wait) {
    return true;
  }
  return std::ranges::all_of(
      records_.records(), [number](const InstanceRecord& record) {
        return !record.alive || record.closed_window >= number;
      });
}

UsageCounts UsageReporter::Sum(int64_t number) const {
  UsageCounts sum;
  for (const InstanceRecord& record : records_.records()) {
    const auto window = record.windows.find(number);
    if (window == record.windows.end()) {
      continue;
    }
    for (const auto& [workspace, count] : window->second) {
      sum[workspace] += count;
    }
  }
  return sum;
}

bool UsageReporter::EndedInThisEra(int64_t number) const {
  return context_.wall_now() - context_.usage.EndOf(number) <
         context_.era.age(context_.loop.now());
}

void UsageReporter::ReadStoredSum(int64_t number, Window& window) {
  window.phase = Phase::kStoring;
  ++open_calls_;
  store_.Range({.call = 0, .key = KeyOf(number), .prefix = false},
               [this, number](const absl::StatusOr<StoreRangeAnswer>& answer) {
                 --open_calls_;
                 OnSumRead(number, answer);
               });
}

void UsageReporter::OnSumRead(int64_t number,
                              const absl::StatusOr<StoreRangeAnswer>& answer) {
  context_.metrics.CountStoreCall("usage_find", answer.ok());
  const auto found = windows_.find(number);
  if (found == windows_.end()) {
    return;
  }
  Window& window = found->second;
  if (!answer.ok()) {
    io::Log(io::LogLevel::kWarning, "usage.not_found",
            {{"window", number},
             {"reason", std::string(answer.status().message())}});
    window.phase = Phase::kCollecting;
    return;
  }
  if (answer->entries.empty()) {
    io::Log(io::LogLevel::kError, "usage.left_out",
            {{"window", number},
             {"era", context_.era.current()},
             {"reason",
              "It may have been reported before the store was restored "
              "from an older copy."}});
    window.phase = Phase::kSent;
    return;
  }
  UseStoredSum(number, window, answer->entries.front().value);
}

void UsageReporter::StoreSum(int64_t number, Window& window) {
  window.phase = Phase::kStoring;
  const auto announced = announced_sums_.find(number);
  window.counts =
      announced == announced_sums_.end() ? Sum(number) : announced->second;
  ++open_calls_;
  store_.Cas(
      {.call = 0,
       .compares = {{.key = KeyOf(number), .mod_revision = 0}},
       .puts = {{.key = KeyOf(number),
                 .value = Encode(number, window.counts).SerializeAsString()}},
       .deletes = {KeyOf(number - kRetainedSums)}},
      [this, number](const absl::StatusOr<StoreCasAnswer>& answer) {
        --open_calls_;
        OnSumStored(number, answer);
      });
}

void UsageReporter::OnSumStored(int64_t number,
                                const absl::StatusOr<StoreCasAnswer>& answer) {
  context_.metrics.CountStoreCall("usage", answer.ok());
  const auto found = windows_.find(number);
  if (found == windows_.end()) {
    return;
  }
  Window& window = found->second;
  if (!answer.ok()) {
    // The sum may or may not have been stored; the next attempt finds out.
    io::Log(io::LogLevel::kWarning, "usage.not_fixed",
            {{"window", number},
             {"reason", std::string(answer.status().message())}});
    window.phase = Phase::kCollecting;
    return;
  }
  if (!answer->succeeded) {
    UseStoredSum(number, window,
                 answer->current.empty() ? "" : answer->current.front().value);
    return;
  }
  window.phase = Phase::kStored;
  Send(number, window);
}

void UsageReporter::UseStoredSum(int64_t number, Window& window,
                                 const std::string& value) {
  entrywire::UsageWindow wire;
  if (value.empty() || !wire.ParseFromString(value)) {
    io::Log(io::LogLevel::kError, "usage.unreadable", {{"window", number}});
    window.phase = Phase::kSent;
    return;
  }
  window.counts = Decode(wire);
  window.phase = Phase::kStored;
  Send(number, window);
}

void UsageReporter::Send(int64_t number, Window& window) {
  const auto fence = lease_.FenceFor(kCallTimeout);
  if (!fence || context_.draining) {
    return;
  }
  window.phase = Phase::kSending;
  entrywire::UsageTold sums;
  *sums.add_windows() = Encode(number, window.counts);
  OnPeerSums(sums);
  send_to_peers_(sums);
  ++open_calls_;
  duties_.SendUsage({.window = number, .counts = window.counts}, *fence,
                    [this, number](const absl::Status& status) {
                      --open_calls_;
                      OnSent(number, status);
                    });
}

void UsageReporter::OnSent(int64_t number, const absl::Status& status) {
  context_.metrics.CountOrder("usage", status.ok());
  io::Log(status.ok() ? io::LogLevel::kDebug : io::LogLevel::kWarning,
          "usage.sent",
          {{"window", number}, {"outcome", std::string(status.message())}});
  const auto found = windows_.find(number);
  if (found != windows_.end()) {
    found->second.phase = status.ok() ? Phase::kSent : Phase::kStored;
  }
}

}  // namespace oleander::entry
