#include "oleander/poison_parts.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace oleander {
namespace {

// Bounds of the evidence, for days on which most servers crash.
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxPartsPerCrash = 64;
constexpr size_t kMaxAnsweredParts = 4096;
// Bounds of one message.
constexpr size_t kMaxCrashesPerSuspectInNews = 6;
constexpr size_t kMaxRecentCrashesInNews = 16;
constexpr size_t kMaxAnsweredInNews = 32;
// Keeps the number of instances that may try a request from overflowing.
constexpr int kMaxDoublings = 20;

bool Contains(const std::vector<PartHash>& parts, PartHash part) {
  return std::ranges::find(parts, part) != parts.end();
}

}  // namespace

PartHash HashOfPart(std::string_view id) {
  return XXH64(id.data(), id.size(), 0);
}

uint64_t HashOfServerRun(const ServerId& server, int64_t started_ms) {
  return XXH64(server.value().data(), server.value().size(),
               static_cast<uint64_t>(started_ms));
}

void PoisonParts::SetInstances(std::vector<InstanceId> live, InstanceId self) {
  live_ = std::move(live);
  self_ = std::move(self);
}

bool PoisonParts::OnCrash(Time now, const ServerCrash& crash) {
  DropOldCrashes(now);
  const bool added = AddCrash(now, crash, /*local=*/true);
  if (added) {
    UpdateSuspects();
  }
  return added;
}

void PoisonParts::OnAnswer(Time now, const std::vector<PartHash>& parts) {
  DropOldAnswers(now);
  bool exonerated = false;
  for (const PartHash part : parts) {
    if (Exonerate(part, now)) {
      exonerated = true;
      exonerated_[part] = now + options_.announce_time;
    }
  }
  if (exonerated) {
    UpdateSuspects();
  }
}

void PoisonParts::OnSent(Time now, const std::vector<PartHash>& parts) {
  for (const Suspect& suspect : suspects_) {
    if (Contains(parts, suspect.part)) {
      trials_[suspect.part] = {.sent_at = now};
    }
  }
}

void PoisonParts::OnRefused(Time now, const std::vector<PartHash>& parts) {
  for (const Suspect& suspect : suspects_) {
    const bool waits_for_trial =
        Contains(parts, suspect.part) &&
        now >= HeldUntil(suspect, IsWeak(suspect, parts));
    if (!waits_for_trial) {
      continue;
    }
    Trial& trial = trials_[suspect.part];
    const bool paused = now - trial.refused_at >= MaxPause();
    if (!trial.refused_since || paused) {
      trial.refused_since = now;
    }
    trial.refused_at = now;
  }
}

std::optional<Suspicion> PoisonParts::Find(
    Time now, const std::vector<PartHash>& parts) const {
  for (const Suspect& suspect : suspects_) {
    if (!Contains(parts, suspect.part)) {
      continue;
    }
    const Time held_until = HeldUntil(suspect, IsWeak(suspect, parts));
    if (!IsTrialDue(now, suspect, held_until)) {
      return Suspicion{
          .part = suspect.part,
          .crashes = static_cast<int>(suspect.crashes.size()),
          .last_crash_age = now - suspect.crashes.back(),
          .retry_after = std::max(held_until - now, options_.trial_step)};
    }
  }
  return std::nullopt;
}

bool PoisonParts::MayRetry(Time now, const std::vector<PartHash>& parts) const {
  const bool blamed = std::ranges::any_of(parts, [this](PartHash part) {
    const auto count = blamed_.find(part);
    return count != blamed_.end() &&
           count->second >= options_.min_crashes_to_stop_retries;
  });
  return !blamed && !Find(now, parts);
}

CrashNews PoisonParts::News(Time now) const {
  CrashNews news;
  for (const Suspect& suspect : suspects_) {
    std::ranges::copy(EvidenceAgainst(now, suspect),
                      std::back_inserter(news.crashes));
  }
  std::vector<ServerCrash> recent;
  for (const auto& [run, crash] : crashes_) {
    if (crash.local && now - crash.learned_at < options_.announce_time) {
      recent.push_back({.run = run,
                        .begun = crash.begun,
                        .parts = crash.parts,
                        .age = now - crash.at});
    }
  }
  std::ranges::sort(recent, {}, &ServerCrash::age);
  std::ranges::copy(recent | std::views::take(kMaxRecentCrashesInNews),
                    std::back_inserter(news.crashes));
  for (const auto& [part, until] : exonerated_) {
    const auto answered = answered_.find(part);
    if (now < until && answered != answered_.end() &&
        news.answered.size() < kMaxAnsweredInNews) {
      news.answered.push_back({.part = part, .age = now - answered->second});
    }
  }
  return news;
}

std::vector<ServerCrash> PoisonParts::EvidenceAgainst(
    Time now, const Suspect& suspect) const {
  std::vector<ServerCrash> evidence;
  for (const auto& [run, crash] : crashes_) {
    if (Contains(crash.parts, suspect.part)) {
      evidence.push_back({.run = run,
                          .begun = crash.begun,
                          .parts = {suspect.part},
                          .age = now - crash.at});
    }
  }
  std::ranges::sort(evidence, {}, &ServerCrash::age);
  evidence.resize(std::min(evidence.size(), kMaxCrashesPerSuspectInNews));
  return evidence;
}

void PoisonParts::OnPeerNews(Time now, const CrashNews& news) {
  DropOldCrashes(now);
  DropOldAnswers(now);
  bool changed = false;
  for (const AnsweredPart& answered : news.answered) {
    if (Exonerate(answered.part, now - answered.age)) {
      exonerated_[answered.part] = now + options_.announce_time;
      changed = true;
    }
  }
  for (const ServerCrash& crash : news.crashes) {
    changed |= AddCrash(now, crash, /*local=*/false);
    for (const PartHash part : crash.parts) {
      if (IsTrusted(part, now - crash.age)) {
        exonerated_[part] = now + options_.announce_time;
      }
    }
  }
  if (changed) {
    UpdateSuspects();
  }
}

std::vector<SuspicionChange> PoisonParts::TakeChanges() {
  return std::exchange(changes_, {});
}

bool PoisonParts::IsTrusted(PartHash part, Time crash_at) const {
  const auto answered = answered_.find(part);
  return answered != answered_.end() &&
         crash_at <= answered->second + options_.answer_trust;
}

bool PoisonParts::AddCrash(Time now, const ServerCrash& report, bool local) {
  const Time at = now - report.age;
  std::vector<PartHash> blamed;
  std::ranges::copy_if(report.parts, std::back_inserter(blamed),
                       [&](PartHash part) { return !IsTrusted(part, at); });
  const auto known = crashes_.find(report.run);
  const bool superseded =
      known != crashes_.end() && known->second.begun && !report.begun;
  if (blamed.empty() || superseded) {
    return false;
  }
  if (known == crashes_.end() && crashes_.size() >= kMaxCrashes) {
    crashes_.erase(std::ranges::min_element(
        crashes_, {}, [](const auto& item) { return item.second.at; }));
  }
  const auto [item, first] = crashes_.try_emplace(report.run);
  Crash& crash = item->second;
  crash.at = first ? at : std::min(crash.at, at);
  crash.local |= local;
  if (report.begun && !crash.begun) {
    crash.begun = true;
    crash.parts.clear();
  }
  bool added = false;
  for (const PartHash part : blamed) {
    if (!Contains(crash.parts, part) &&
        crash.parts.size() < kMaxPartsPerCrash) {
      crash.parts.push_back(part);
      added = true;
    }
  }
  crash.learned_at = added ? now : crash.learned_at;
  return added;
}

bool PoisonParts::Exonerate(PartHash part, Time answered_at) {
  const auto [answered, first] = answered_.try_emplace(part, answered_at);
  answered->second = std::max(answered->second, answered_at);
  if (!blamed_.contains(part)) {
    return false;
  }
  bool exonerated = false;
  absl::erase_if(crashes_, [&](auto& item) {
    Crash& crash = item.second;
    if (IsTrusted(part, crash.at)) {
      exonerated |= std::erase(crash.parts, part) > 0;
    }
    return crash.parts.empty();
  });
  return exonerated;
}

void PoisonParts::DropOldCrashes(Time now) {
  const size_t dropped = absl::erase_if(crashes_, [&](const auto& item) {
    return now - item.second.at > options_.crash_lifetime &&
           !IsEvidenceOfSuspect(now, item.second);
  });
  if (dropped > 0) {
    UpdateSuspects();
  }
}

void PoisonParts::DropOldAnswers(Time now) {
  if (answered_.size() > kMaxAnsweredParts) {
    absl::erase_if(answered_, [&](const auto& item) {
      return now - item.second > options_.answer_lifetime;
    });
  }
  absl::erase_if(exonerated_,
                 [now](const auto& item) { return now >= item.second; });
}

bool PoisonParts::IsEvidenceOfSuspect(Time now, const Crash& crash) const {
  return std::ranges::any_of(suspects_, [&](const Suspect& suspect) {
    return Contains(crash.parts, suspect.part) &&
           now < HeldUntil(suspect, false) + options_.crash_lifetime;
  });
}

void PoisonParts::UpdateSuspects() {
  std::vector<uint64_t> unexplained = AllRuns();
  std::vector<Suspect> suspects;
  for (auto most = MostBlamed(unexplained); most.second >= options_.min_crashes;
       most = MostBlamed(unexplained)) {
    suspects.push_back(Explain(most.first, unexplained));
  }
  for (const Suspect& suspect : suspects) {
    if (std::ranges::find(suspects_, suspect.part, &Suspect::part) ==
        suspects_.end()) {
      changes_.push_back({.part = suspect.part,
                          .suspected = true,
                          .crashes = static_cast<int>(suspect.crashes.size())});
    }
  }
  for (const Suspect& suspect : suspects_) {
    if (std::ranges::find(suspects, suspect.part, &Suspect::part) ==
        suspects.end()) {
      trials_.erase(suspect.part);
      changes_.push_back({.part = suspect.part, .suspected = false});
    }
  }
  suspects_ = std::move(suspects);
  blamed_ = CountBlame(AllRuns());
}

PoisonParts::Suspect PoisonParts::Explain(PartHash part,
                                          std::vector<uint64_t>& unexplained) {
  std::vector<uint64_t> runs;
  std::ranges::copy_if(
      unexplained, std::back_inserter(runs),
      [&](uint64_t run) { return Contains(crashes_.at(run).parts, part); });
  std::erase_if(unexplained, [&](uint64_t run) {
    return Contains(crashes_.at(run).parts, part);
  });
  const auto time_of = [this](uint64_t run) { return crashes_.at(run).at; };
  std::ranges::sort(runs, {}, time_of);
  Suspect suspect;
  suspect.part = part;
  std::ranges::transform(runs, std::back_inserter(suspect.crashes), time_of);
  suspect.begun = std::ranges::any_of(
      runs, [this](uint64_t run) { return crashes_.at(run).begun; });
  for (size_t i = static_cast<size_t>(options_.min_crashes);
       i < suspect.crashes.size(); ++i) {
    const Duration gap = suspect.crashes[i] - suspect.crashes[i - 1];
    suspect.rounds += gap > options_.round_gap ? 1 : 0;
  }
  const int nearly_all =
      std::max(options_.min_crashes, static_cast<int>(runs.size()) - 1);
  for (const auto& [rival, count] : CountBlame(runs)) {
    if (rival != part && count >= nearly_all) {
      suspect.rivals.push_back(rival);
    }
  }
  return suspect;
}

PoisonParts::BlameCounts PoisonParts::CountBlame(
    const std::vector<uint64_t>& runs) const {
  BlameCounts counts;
  for (const uint64_t run : runs) {
    for (const PartHash part : crashes_.at(run).parts) {
      ++counts[part];
    }
  }
  return counts;
}

std::pair<PartHash, int> PoisonParts::MostBlamed(
    const std::vector<uint64_t>& runs) const {
  // Of parts with the same number of crashes, the one that was answered on
  // least recently comes first.
  const auto rank = [this](const std::pair<PartHash, int>& row) {
    const auto answered = answered_.find(row.first);
    const Time answered_at =
        answered == answered_.end() ? Time::min() : answered->second;
    return std::tuple(-row.second, answered_at, row.first);
  };
  std::pair<PartHash, int> most = {0, 0};
  for (const std::pair<PartHash, int> row : CountBlame(runs)) {
    if (most.second == 0 || rank(row) < rank(most)) {
      most = row;
    }
  }
  return most;
}

std::vector<uint64_t> PoisonParts::AllRuns() const {
  std::vector<uint64_t> runs;
  std::ranges::transform(crashes_, std::back_inserter(runs),
                         [](const auto& item) { return item.first; });
  return runs;
}

Time PoisonParts::HeldUntil(const Suspect& suspect, bool weak) const {
  const Duration longest = weak ? options_.max_weak_hold : options_.max_hold;
  Duration hold = weak ? options_.weak_hold : options_.hold;
  for (int round = 1; round < suspect.rounds && hold < longest; ++round) {
    hold *= options_.hold_growth;
  }
  return suspect.crashes.back() + std::min(hold, longest);
}

bool PoisonParts::IsWeak(const Suspect& suspect,
                         const std::vector<PartHash>& parts) {
  return !suspect.begun ||
         std::ranges::any_of(suspect.rivals, [&](PartHash rival) {
           return !Contains(parts, rival);
         });
}

bool PoisonParts::IsSuspected(PartHash part) const {
  return std::ranges::find(suspects_, part, &Suspect::part) != suspects_.end();
}

bool PoisonParts::IsTrialDue(Time now, const Suspect& suspect,
                             Time held_until) const {
  const auto trial = trials_.find(suspect.part);
  const bool tried = trial != trials_.end() && trial->second.sent_at &&
                     now - *trial->second.sent_at < options_.trial_timeout;
  if (now < held_until || tried) {
    return false;
  }
  const Duration step =
      suspect.begun ? options_.trial_step : options_.weak_trial_step;
  const auto doublings = std::min<Duration::rep>(
      WaitedForTrial(now, suspect, held_until) / step, kMaxDoublings);
  return TurnOf(suspect) < size_t{1} << doublings;
}

Duration PoisonParts::WaitedForTrial(Time now, const Suspect& suspect,
                                     Time held_until) const {
  if (!suspect.begun) {
    return now - held_until;
  }
  const auto trial = trials_.find(suspect.part);
  const bool waits = trial != trials_.end() && trial->second.refused_since &&
                     now - trial->second.refused_at < MaxPause();
  return waits ? now - *trial->second.refused_since : Duration::zero();
}

Duration PoisonParts::MaxPause() const {
  return std::max<Duration>(
      options_.trial_timeout,
      options_.pause_per_instance * static_cast<Duration::rep>(live_.size()));
}

size_t PoisonParts::TurnOf(const Suspect& suspect) const {
  const auto hash = [&suspect](const InstanceId& instance) {
    return XXH64(instance.value().data(), instance.value().size(),
                 suspect.part);
  };
  return static_cast<size_t>(
      std::ranges::count_if(live_, [&](const InstanceId& instance) {
        return hash(instance) < hash(self_);
      }));
}

}  // namespace oleander
