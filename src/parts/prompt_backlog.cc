#include "oleander/prompt_backlog.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace oleander {
namespace {

// Kept parts remembered of one engine before those that it has dropped are
// looked for.
constexpr size_t kRememberedParts = 2048;
// Samples that differ less than this, as a part, don't tell apart what takes
// the time.
constexpr double kLeastSpread = 1e-3;

double MillisecondsOf(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMilliseconds(double ms) {
  return Duration(std::llround(ms * 1000));
}

}  // namespace

PromptBacklog::PromptBacklog(PromptBacklogOptions options)
    : options_(options),
      thousand_ms_(options.usual_thousand_ms),
      million_pairs_ms_(options.usual_million_pairs_ms) {
  // As if prompts of usual length had been read, with and without kept parts.
  constexpr double kThousandTokens = 10;
  constexpr std::array<double, 2> kMillionPairs = {50, 200};
  for (const double pairs : kMillionPairs) {
    const Work work{.thousand_tokens = kThousandTokens, .million_pairs = pairs};
    const double weight = options_.usual_samples / kMillionPairs.size();
    for (double count = 0; count < weight; ++count) {
      Refit(work, MillisecondsFor(work));
    }
  }
}

void PromptBacklog::SetEngine(const ServerId& engine,
                              const EngineMemory& memory) {
  engines_[engine].memory = memory;
}

void PromptBacklog::Forget(const ServerId& engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return;
  }
  for (const Reading& reading : found->second.readings) {
    calls_.erase(reading.call);
  }
  engines_.erase(found);
}

uint64_t PromptBacklog::OnSent(Time now, const ServerId& engine,
                               const Prompt& prompt) {
  Engine& known = engines_[engine];
  DropOld(now, known);
  const int64_t unkept = Unkept(engine, prompt);
  const uint64_t call = ++last_call_;
  known.readings.push_back({.call = call,
                            .work = WorkOf(prompt.tokens, unkept),
                            .urgency = prompt.urgency,
                            .sent_at = now});
  calls_[call] = engine;
  known.read += unkept;
  for (const PromptPrefix& prefix : prompt.shared) {
    known.kept[prefix.hash] = {.tokens = prefix.tokens,
                               .read_before = known.read};
  }
  if (known.kept.size() > kRememberedParts) {
    DropEvicted(known);
  }
  return call;
}

void PromptBacklog::OnRead(Time now, uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  Engine& engine = engines_[found->second];
  const auto reading = std::ranges::find(engine.readings, call, &Reading::call);
  if (reading != engine.readings.end()) {
    Learn(now, engine, *reading);
    engine.readings.erase(reading);
  }
  engine.last_read_at = now;
  calls_.erase(found);
}

void PromptBacklog::OnEnded(Time /*now*/, uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  std::erase_if(
      engines_[found->second].readings,
      [call](const Reading& reading) { return reading.call == call; });
  calls_.erase(found);
}

int64_t PromptBacklog::Unkept(const ServerId& engine,
                              const Prompt& prompt) const {
  const auto known = engines_.find(engine);
  if (known == engines_.end()) {
    return prompt.tokens;
  }
  // A part is of use only where all before it are kept.
  int64_t kept_tokens = 0;
  for (const PromptPrefix& prefix : prompt.shared) {
    const auto kept = known->second.kept.find(prefix.hash);
    if (kept == known->second.kept.end() ||
        !IsKept(known->second, kept->second)) {
      break;
    }
    kept_tokens = prefix.tokens;
  }
  return std::max<int64_t>(0, prompt.tokens - kept_tokens);
}

Duration PromptBacklog::WaitAt(Time now, const ServerId& engine,
                               int urgency) const {
  const auto known = engines_.find(engine);
  if (known == engines_.end()) {
    return Duration::zero();
  }
  double ms = 0;
  std::optional<double> under_way;
  for (const Reading& reading : known->second.readings) {
    const bool counts = reading.urgency <= urgency &&
                        now - reading.sent_at < options_.forgotten_after;
    if (!counts) {
      continue;
    }
    const double takes = MillisecondsFor(reading.work) * known->second.slowness;
    if (!under_way) {
      const Time begun = std::max(reading.sent_at, known->second.last_read_at);
      under_way = std::clamp(MillisecondsOf(now - begun), 0.0, takes);
      ms -= *under_way;
    }
    ms += takes;
  }
  return FromMilliseconds(ms);
}

Duration PromptBacklog::TimeToRead(const ServerId& engine, int64_t tokens,
                                   int64_t unkept) const {
  const auto known = engines_.find(engine);
  const double slowness = known == engines_.end() ? 1 : known->second.slowness;
  return FromMilliseconds(MillisecondsFor(WorkOf(tokens, unkept)) * slowness);
}

bool PromptBacklog::IsKept(const Engine& engine, const Kept& kept) const {
  if (engine.memory.cache_tokens == 0) {
    return true;
  }
  const double room =
      options_.kept_share * static_cast<double>(engine.memory.cache_tokens);
  return static_cast<double>(engine.read - kept.read_before + kept.tokens) <
         room;
}

// Each token read is compared with all before it.
PromptBacklog::Work PromptBacklog::WorkOf(int64_t tokens, int64_t unkept) {
  const auto read = static_cast<double>(unkept);
  const double before = static_cast<double>(tokens) - read / 2;
  return {.thousand_tokens = read / 1e3, .million_pairs = read * before / 1e6};
}

double PromptBacklog::MillisecondsFor(const Work& work) const {
  return work.thousand_tokens * thousand_ms_ +
         work.million_pairs * million_pairs_ms_;
}

// An engine reads one prompt after the other, so one took the time since the
// one before it was read.
void PromptBacklog::Learn(Time now, Engine& engine, const Reading& reading) {
  const double took =
      MillisecondsOf(now - std::max(reading.sent_at, engine.last_read_at));
  if (reading.work.thousand_tokens * 1e3 <
          static_cast<double>(options_.least_sample_tokens) ||
      took <= 0) {
    return;
  }
  const double factor =
      std::clamp(took / MillisecondsFor(reading.work),
                 1 / options_.most_deviation, options_.most_deviation);
  engine.slowness += (factor - engine.slowness) * options_.sample_weight;
  Refit(reading.work, factor * MillisecondsFor(reading.work));
}

void PromptBacklog::Refit(const Work& work, double ms) {
  const double tokens = work.thousand_tokens;
  const double pairs = work.million_pairs;
  const auto add = [this](double& sum, double more) {
    sum = sum * options_.kept_weight + more;
  };
  add(fit_.tokens_tokens, tokens * tokens);
  add(fit_.tokens_pairs, tokens * pairs);
  add(fit_.pairs_pairs, pairs * pairs);
  add(fit_.tokens_ms, tokens * ms);
  add(fit_.pairs_ms, pairs * ms);
  const double determinant = fit_.tokens_tokens * fit_.pairs_pairs -
                             fit_.tokens_pairs * fit_.tokens_pairs;
  if (determinant < kLeastSpread * fit_.tokens_tokens * fit_.pairs_pairs) {
    return;  // All samples are alike.
  }
  const double per_tokens =
      (fit_.tokens_ms * fit_.pairs_pairs - fit_.pairs_ms * fit_.tokens_pairs) /
      determinant;
  const double per_pairs = (fit_.pairs_ms * fit_.tokens_tokens -
                            fit_.tokens_ms * fit_.tokens_pairs) /
                           determinant;
  if (per_tokens > 0 && per_pairs >= 0) {
    thousand_ms_ = per_tokens;
    million_pairs_ms_ = per_pairs;
  } else {
    thousand_ms_ = fit_.tokens_ms / fit_.tokens_tokens;
    million_pairs_ms_ = 0;
  }
}

void PromptBacklog::DropOld(Time now, Engine& engine) {
  while (!engine.readings.empty() &&
         now - engine.readings.front().sent_at >= options_.forgotten_after) {
    calls_.erase(engine.readings.front().call);
    engine.readings.pop_front();
  }
}

void PromptBacklog::DropEvicted(Engine& engine) const {
  absl::erase_if(engine.kept, [this, &engine](const auto& item) {
    return !IsKept(engine, item.second);
  });
}

}  // namespace oleander
