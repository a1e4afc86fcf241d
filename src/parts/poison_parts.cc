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
constexpr size_t kMaxPartsPerCrash = 256;
constexpr size_t kMaxAnsweredParts = 4096;
// Bounds of one message.
constexpr size_t kMaxCrashesPerSuspectInNews = 6;
constexpr size_t kMaxRecentCrashesInNews = 16;
constexpr size_t kMaxPartsPerCrashInNews = 64;
constexpr size_t kMaxAnsweredInNews = 32;
// Marks the hashes of whole requests.
constexpr PartHash kRequestBit = PartHash{1} << 63;
// Keeps the number of instances that may try a request from overflowing.
constexpr int kMaxDoublings = 20;

bool Contains(const std::vector<PartHash>& parts, PartHash part) {
  return std::ranges::find(parts, part) != parts.end();
}

void Subtract(absl::flat_hash_map<PartHash, int>& counts, PartHash part) {
  const auto count = counts.find(part);
  if (count != counts.end() && --count->second == 0) {
    counts.erase(count);
  }
}

void Subtract(absl::flat_hash_map<PartHash, int>& counts,
              const std::vector<PartHash>& parts) {
  for (const PartHash part : parts) {
    Subtract(counts, part);
  }
}

}  // namespace

PartHash HashOfPart(std::string_view id) {
  return XXH64(id.data(), id.size(), 0) & ~kRequestBit;
}

PartHash HashOfRequest(std::initializer_list<std::string_view> fields) {
  uint64_t hash = 0;
  for (const std::string_view field : fields) {
    hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
  }
  return hash | kRequestBit;
}

bool IsRequest(PartHash part) { return (part & kRequestBit) != 0; }

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
  // What only one server crashed under is nobody's suspect.
  const bool repeated = std::ranges::any_of(
      crash.parts, [this](PartHash part) { return BlameOf(part) > 1; });
  if (added && (repeated || !suspects_.empty())) {
    UpdateSuspects();
  }
  return added;
}

void PoisonParts::OnAnswer(Time now, const std::vector<PartHash>& parts) {
  DropOldAnswers(now);
  bool exonerated = false;
  for (const PartHash part : parts) {
    const int crashes = BlameOf(part);
    if (Exonerate(part, now)) {
      exonerated = true;
      Announce(now, part, crashes);
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
      std::vector<PartHash>& told = recent.back().parts;
      std::ranges::sort(told, {}, [this](PartHash part) {
        return std::pair(-BlameOf(part), part);
      });
      told.resize(std::min(told.size(), kMaxPartsPerCrashInNews));
    }
  }
  std::ranges::sort(recent, {}, &ServerCrash::age);
  std::ranges::copy(recent | std::views::take(kMaxRecentCrashesInNews),
                    std::back_inserter(news.crashes));
  news.answered = AnswersInNews(now);
  return news;
}

std::vector<AnsweredPart> PoisonParts::AnswersInNews(Time now) const {
  std::vector<std::pair<int, AnsweredPart>> answers;
  for (const auto& [part, exoneration] : exonerated_) {
    const auto answered_at = AnsweredAt(part);
    if (now < exoneration.until && answered_at) {
      answers.push_back(
          {exoneration.crashes, {.part = part, .age = now - *answered_at}});
    }
  }
  // Peers suspect what most crashes were blamed on.
  std::ranges::sort(answers, [](const auto& a, const auto& b) {
    return std::pair(-a.first, a.second.part) <
           std::pair(-b.first, b.second.part);
  });
  std::vector<AnsweredPart> told;
  std::ranges::transform(answers | std::views::take(kMaxAnsweredInNews),
                         std::back_inserter(told),
                         [](const auto& answer) { return answer.second; });
  return told;
}

std::vector<ServerCrash> PoisonParts::EvidenceAgainst(
    Time now, const Suspect& suspect) const {
  std::vector<ServerCrash> evidence;
  std::ranges::transform(suspect.runs | std::views::reverse |
                             std::views::take(kMaxCrashesPerSuspectInNews),
                         std::back_inserter(evidence), [&](uint64_t run) {
                           const Crash& crash = crashes_.at(run);
                           return ServerCrash{.run = run,
                                              .begun = crash.begun,
                                              .parts = {suspect.part},
                                              .age = now - crash.at};
                         });
  return evidence;
}

void PoisonParts::OnPeerNews(Time now, const CrashNews& news) {
  DropOldCrashes(now);
  DropOldAnswers(now);
  bool changed = false;
  for (const AnsweredPart& answered : news.answered) {
    const int crashes = BlameOf(answered.part);
    if (Exonerate(answered.part, now - answered.age)) {
      Announce(now, answered.part, crashes);
      changed = true;
    }
  }
  BlameCounts contradicted;
  for (const ServerCrash& crash : news.crashes) {
    changed |= AddCrash(now, crash, /*local=*/false);
    for (const PartHash part : crash.parts) {
      contradicted[part] += IsTrusted(part, now - crash.age) ? 1 : 0;
    }
  }
  for (const auto& [part, crashes] : contradicted) {
    if (crashes > 0) {
      Announce(now, part, crashes);
    }
  }
  if (changed) {
    UpdateSuspects();
  }
}

std::vector<SuspicionChange> PoisonParts::TakeChanges() {
  return std::exchange(changes_, {});
}

std::optional<Time> PoisonParts::AnsweredAt(PartHash part) const {
  if (IsRequest(part)) {
    const AnsweredRequest& last =
        answered_requests_[part % kRememberedRequests];
    return last.request == part ? std::optional(last.at) : std::nullopt;
  }
  const auto answered = answered_.find(part);
  return answered != answered_.end() ? std::optional(answered->second)
                                     : std::nullopt;
}

void PoisonParts::RememberAnswer(PartHash part, Time at) {
  const Time last = std::max(AnsweredAt(part).value_or(at), at);
  if (IsRequest(part)) {
    answered_requests_[part % kRememberedRequests] = {.request = part,
                                                      .at = last};
  } else {
    answered_[part] = last;
  }
}

int PoisonParts::BlameOf(PartHash part) const {
  const auto blamed = blamed_.find(part);
  return blamed == blamed_.end() ? 0 : blamed->second;
}

void PoisonParts::Announce(Time now, PartHash part, int crashes) {
  // After a crash there are many requests that one server was lost with; no
  // peer suspects these.
  if (IsRequest(part) && crashes < options_.min_crashes_to_stop_retries) {
    return;
  }
  Exoneration& exoneration = exonerated_[part];
  exoneration = {.until = now + options_.announce_time,
                 .crashes = std::max(exoneration.crashes, crashes)};
}

bool PoisonParts::IsTrusted(PartHash part, Time crash_at) const {
  const auto answered_at = AnsweredAt(part);
  return answered_at && crash_at <= *answered_at + options_.answer_trust;
}

bool PoisonParts::AddCrash(Time now, const ServerCrash& report, bool local) {
  const Time at = now - report.age;
  const auto known = crashes_.find(report.run);
  // If the answer to any call had begun, the parts of the others aren't blamed.
  const bool another_had_begun =
      known != crashes_.end() && known->second.begun && !report.begun;
  std::vector<PartHash> blamed;
  std::ranges::copy_if(
      report.parts, std::back_inserter(blamed), [&](PartHash part) {
        return !IsTrusted(part, at) && (IsRequest(part) || !another_had_begun);
      });
  if (blamed.empty()) {
    return false;
  }
  if (known == crashes_.end() && crashes_.size() >= kMaxCrashes) {
    const auto oldest = std::ranges::min_element(
        crashes_, {}, [](const auto& item) { return item.second.at; });
    Subtract(blamed_, oldest->second.parts);
    crashes_.erase(oldest);
  }
  const auto [item, first] = crashes_.try_emplace(report.run);
  Crash& crash = item->second;
  crash.at = first ? at : std::min(crash.at, at);
  crash.local |= local;
  if (report.begun && !crash.begun) {
    crash.begun = true;
    const auto others = std::ranges::partition(crash.parts, &IsRequest);
    Subtract(blamed_, {others.begin(), others.end()});
    crash.parts.erase(others.begin(), others.end());
  }
  bool added = false;
  for (const PartHash part : blamed) {
    if (!Contains(crash.parts, part) &&
        crash.parts.size() < kMaxPartsPerCrash) {
      crash.parts.push_back(part);
      ++blamed_[part];
      added = true;
    }
  }
  crash.learned_at = added ? now : crash.learned_at;
  return added;
}

bool PoisonParts::Exonerate(PartHash part, Time answered_at) {
  RememberAnswer(part, answered_at);
  if (!blamed_.contains(part)) {
    return false;
  }
  bool exonerated = false;
  absl::erase_if(crashes_, [&](auto& item) {
    Crash& crash = item.second;
    if (IsTrusted(part, crash.at) && std::erase(crash.parts, part) > 0) {
      Subtract(blamed_, part);
      exonerated = true;
    }
    return crash.parts.empty();
  });
  return exonerated;
}

void PoisonParts::DropOldCrashes(Time now) {
  const size_t dropped = absl::erase_if(crashes_, [&](const auto& item) {
    const bool old = now - item.second.at > options_.crash_lifetime &&
                     !IsEvidenceOfSuspect(now, item.second);
    if (old) {
      Subtract(blamed_, item.second.parts);
    }
    return old;
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
                 [now](const auto& item) { return now >= item.second.until; });
}

bool PoisonParts::IsEvidenceOfSuspect(Time now, const Crash& crash) const {
  return std::ranges::any_of(suspects_, [&](const Suspect& suspect) {
    return Contains(crash.parts, suspect.part) &&
           now < HeldUntil(suspect, false) + options_.crash_lifetime;
  });
}

void PoisonParts::UpdateSuspects() {
  const std::vector<Suspect> repeated = RepeatedRequests();
  std::vector<Suspect> suspects;
  std::ranges::copy_if(
      repeated, std::back_inserter(suspects), [this](const Suspect& request) {
        return std::ssize(request.runs) >= options_.min_crashes;
      });
  std::vector<uint64_t> unexplained = WithoutRepeats(AllRuns(), suspects);
  for (auto most = MostBlamed(unexplained); most.second >= options_.min_crashes;
       most = MostBlamed(unexplained)) {
    Suspect suspect = Explain(most.first, unexplained);
    // Two requests may explain the crashes as well as their common part.
    suspect.strong &= std::ssize(WithoutRepeats(suspect.runs, repeated)) >=
                      options_.min_crashes;
    suspects.push_back(std::move(suspect));
    std::erase_if(unexplained, [&](uint64_t run) {
      return Contains(crashes_.at(run).parts, most.first);
    });
  }
  NoteChanges(suspects);
  suspects_ = std::move(suspects);
}

std::vector<uint64_t> PoisonParts::WithoutRepeats(
    std::vector<uint64_t> runs, const std::vector<Suspect>& requests) const {
  for (const Suspect& request : requests) {
    std::erase_if(runs, [&](uint64_t run) {
      return run != request.runs.front() &&
             Contains(crashes_.at(run).parts, request.part);
    });
  }
  return runs;
}

std::vector<PoisonParts::Suspect> PoisonParts::RepeatedRequests() const {
  std::vector<PartHash> requests;
  for (const auto& [part, count] : blamed_) {
    if (IsRequest(part) && count > 1) {
      requests.push_back(part);
    }
  }
  std::ranges::sort(requests);
  std::vector<Suspect> repeated;
  std::ranges::transform(
      requests, std::back_inserter(repeated),
      [&](PartHash request) { return Explain(request, AllRuns()); });
  return repeated;
}

void PoisonParts::NoteChanges(const std::vector<Suspect>& suspects) {
  const auto is_in = [](const std::vector<Suspect>& list, PartHash part) {
    return std::ranges::find(list, part, &Suspect::part) != list.end();
  };
  for (const Suspect& suspect : suspects) {
    if (!is_in(suspects_, suspect.part)) {
      changes_.push_back({.part = suspect.part,
                          .suspected = true,
                          .crashes = static_cast<int>(suspect.crashes.size())});
    }
  }
  for (const Suspect& suspect : suspects_) {
    if (!is_in(suspects, suspect.part)) {
      trials_.erase(suspect.part);
      changes_.push_back({.part = suspect.part, .suspected = false});
    }
  }
}

PoisonParts::Suspect PoisonParts::Explain(
    PartHash part, const std::vector<uint64_t>& runs) const {
  Suspect suspect;
  suspect.part = part;
  std::ranges::copy_if(
      runs, std::back_inserter(suspect.runs),
      [&](uint64_t run) { return Contains(crashes_.at(run).parts, part); });
  const auto time_of = [this](uint64_t run) {
    return std::pair(crashes_.at(run).at, run);
  };
  std::ranges::sort(suspect.runs, {}, time_of);
  std::ranges::transform(suspect.runs, std::back_inserter(suspect.crashes),
                         [&](uint64_t run) { return time_of(run).first; });
  suspect.strong = IsRequest(part) ||
                   std::ranges::any_of(suspect.runs, [this](uint64_t run) {
                     return crashes_.at(run).begun;
                   });
  for (size_t i = static_cast<size_t>(options_.min_crashes);
       i < suspect.crashes.size(); ++i) {
    const Duration gap = suspect.crashes[i] - suspect.crashes[i - 1];
    suspect.rounds += gap > options_.round_gap ? 1 : 0;
  }
  if (IsRequest(part)) {
    return suspect;
  }
  const int nearly_all =
      std::max(options_.min_crashes, static_cast<int>(suspect.runs.size()) - 1);
  for (const auto& [rival, count] : CountBlame(suspect.runs)) {
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
      if (!IsRequest(part)) {
        ++counts[part];
      }
    }
  }
  return counts;
}

std::pair<PartHash, int> PoisonParts::MostBlamed(
    const std::vector<uint64_t>& runs) const {
  // Of parts with the same number of crashes, the one that was answered on
  // least recently comes first.
  const auto rank = [this](const std::pair<PartHash, int>& row) {
    return std::tuple(-row.second, AnsweredAt(row.first).value_or(Time::min()),
                      row.first);
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
  return !suspect.strong ||
         std::ranges::any_of(suspect.rivals, [&](PartHash rival) {
           return !Contains(parts, rival);
         });
}

size_t PoisonParts::suspected_requests() const {
  return static_cast<size_t>(
      std::ranges::count_if(suspects_, IsRequest, &Suspect::part));
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
      suspect.strong ? options_.trial_step : options_.weak_trial_step;
  const auto doublings = std::min<Duration::rep>(
      WaitedForTrial(now, suspect, held_until) / step, kMaxDoublings);
  return TurnOf(suspect) < size_t{1} << doublings;
}

Duration PoisonParts::WaitedForTrial(Time now, const Suspect& suspect,
                                     Time held_until) const {
  if (!suspect.strong) {
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
