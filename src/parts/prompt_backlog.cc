#include "oleander/prompt_backlog.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace oleander {
namespace {

// Prefixes tracked for one engine before the evicted ones are removed.
constexpr size_t kMaxCachedPrefixes = 2048;
// Below this ratio of the normal equations' determinant to the product of their
// diagonal, the samples are too similar to separate the two rates.
constexpr double kMinRelativeDeterminant = 1e-3;

double MillisecondsOf(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMilliseconds(double ms) {
  return Duration(std::llround(ms * 1000));
}

}  // namespace

PromptBacklog::PromptBacklog(PromptBacklogOptions options)
    : options_(options),
      ms_per_thousand_tokens_(options.initial_ms_per_thousand_tokens),
      ms_per_million_pairs_(options.initial_ms_per_million_pairs) {
  // Seeds the fit as if prompts of typical length had been processed, with and
  // without cached prefixes.
  constexpr double kThousandTokens = 10;
  constexpr std::array<double, 2> kMillionPairs = {50, 200};
  for (const double pairs : kMillionPairs) {
    const PrefillWork work{.thousand_tokens = kThousandTokens,
                           .million_pairs = pairs};
    const double weight = options_.initial_samples / kMillionPairs.size();
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
  for (const PendingPrefill& prefill : found->second.pending) {
    calls_.erase(prefill.call);
  }
  engines_.erase(found);
}

uint64_t PromptBacklog::OnSent(Time now, const ServerId& engine,
                               const Prompt& prompt) {
  Engine& known = engines_[engine];
  DropExpired(now, known);
  const int64_t uncached = UncachedTokens(engine, prompt);
  const uint64_t call = ++last_call_;
  known.pending.push_back({.call = call,
                           .work = WorkFor(prompt.tokens, uncached),
                           .urgency = prompt.urgency,
                           .sent_at = now});
  calls_[call] = engine;
  known.prefilled_tokens += uncached;
  for (const PromptPrefix& prefix : prompt.shared) {
    known.cached[prefix.hash] = {.tokens = prefix.tokens,
                                 .prefilled_before = known.prefilled_tokens};
  }
  if (known.cached.size() > kMaxCachedPrefixes) {
    DropEvicted(known);
  }
  return call;
}

std::optional<double> PromptBacklog::OnPrefilled(Time now, uint64_t call,
                                                 double told) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  std::optional<double> longer;
  Engine& engine = engines_[found->second];
  const auto prefill =
      std::ranges::find(engine.pending, call, &PendingPrefill::call);
  if (prefill != engine.pending.end()) {
    longer = Learn(now, engine, *prefill, told);
    engine.pending.erase(prefill);
  }
  engine.last_prefilled_at = now;
  calls_.erase(found);
  return longer;
}

void PromptBacklog::OnEnded(Time /*now*/, uint64_t call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  std::erase_if(
      engines_[found->second].pending,
      [call](const PendingPrefill& prefill) { return prefill.call == call; });
  calls_.erase(found);
}

int64_t PromptBacklog::UncachedTokens(const ServerId& engine,
                                      const Prompt& prompt) const {
  const auto known = engines_.find(engine);
  if (known == engines_.end()) {
    return prompt.tokens;
  }
  // A prefix is usable only if all shorter ones are cached, too.
  int64_t cached_tokens = 0;
  for (const PromptPrefix& prefix : prompt.shared) {
    const auto cached = known->second.cached.find(prefix.hash);
    if (cached == known->second.cached.end() ||
        !IsCached(known->second, cached->second)) {
      break;
    }
    cached_tokens = prefix.tokens;
  }
  return std::max<int64_t>(0, prompt.tokens - cached_tokens);
}

Duration PromptBacklog::WaitAt(Time now, const ServerId& engine,
                               int urgency) const {
  const auto known = engines_.find(engine);
  if (known == engines_.end()) {
    return Duration::zero();
  }
  double ms = 0;
  std::optional<double> elapsed_ms;
  for (const PendingPrefill& prefill : known->second.pending) {
    const bool counts = prefill.urgency <= urgency &&
                        now - prefill.sent_at < options_.call_timeout;
    if (!counts) {
      continue;
    }
    const double takes_ms =
        MillisecondsFor(prefill.work) * known->second.slowness;
    if (!elapsed_ms) {
      const Time started =
          std::max(prefill.sent_at, known->second.last_prefilled_at);
      elapsed_ms = std::clamp(MillisecondsOf(now - started), 0.0, takes_ms);
      ms -= *elapsed_ms;
    }
    ms += takes_ms;
  }
  return FromMilliseconds(ms);
}

Duration PromptBacklog::PrefillTime(const ServerId& engine, int64_t tokens,
                                    int64_t uncached) const {
  const auto known = engines_.find(engine);
  const double slowness = known == engines_.end() ? 1 : known->second.slowness;
  return FromMilliseconds(MillisecondsFor(WorkFor(tokens, uncached)) *
                          slowness);
}

bool PromptBacklog::IsCached(const Engine& engine,
                             const CachedPrefix& cached) const {
  if (engine.memory.cache_tokens == 0) {
    return true;
  }
  const double capacity =
      options_.cache_share * static_cast<double>(engine.memory.cache_tokens);
  return static_cast<double>(engine.prefilled_tokens - cached.prefilled_before +
                             cached.tokens) < capacity;
}

PromptBacklog::PrefillWork PromptBacklog::WorkFor(int64_t tokens,
                                                  int64_t uncached) {
  const auto prefilled = static_cast<double>(uncached);
  const double before = static_cast<double>(tokens) - prefilled / 2;
  return {.thousand_tokens = prefilled / 1e3,
          .million_pairs = prefilled * before / 1e6};
}

double PromptBacklog::MillisecondsFor(const PrefillWork& work) const {
  return work.thousand_tokens * ms_per_thousand_tokens_ +
         work.million_pairs * ms_per_million_pairs_;
}

// An engine prefills one prompt after the other, so a prompt took the time
// since the previous one was finished, or since it was sent if that is later.
std::optional<double> PromptBacklog::Learn(Time now, Engine& engine,
                                           const PendingPrefill& prefill,
                                           double told) {
  const double took_ms =
      MillisecondsOf(now - std::max(prefill.sent_at, engine.last_prefilled_at));
  if (prefill.work.thousand_tokens * 1e3 <
          static_cast<double>(options_.min_sample_tokens) ||
      took_ms <= 0) {
    return std::nullopt;
  }
  const double longer =
      took_ms / (MillisecondsFor(prefill.work) * engine.slowness);
  const double factor =
      std::clamp(took_ms / told / MillisecondsFor(prefill.work),
                 1 / options_.max_deviation, options_.max_deviation);
  engine.slowness += (factor - engine.slowness) * options_.engine_sample_weight;
  Refit(prefill.work, factor * MillisecondsFor(prefill.work));
  return longer;
}

void PromptBacklog::Refit(const PrefillWork& work, double ms) {
  const double tokens = work.thousand_tokens;
  const double pairs = work.million_pairs;
  const auto add = [this](double& sum, double more) {
    sum = sum * options_.sample_decay + more;
  };
  add(fit_.tokens_tokens, tokens * tokens);
  add(fit_.tokens_pairs, tokens * pairs);
  add(fit_.pairs_pairs, pairs * pairs);
  add(fit_.tokens_ms, tokens * ms);
  add(fit_.pairs_ms, pairs * ms);
  const double determinant = fit_.tokens_tokens * fit_.pairs_pairs -
                             fit_.tokens_pairs * fit_.tokens_pairs;
  if (determinant <
      kMinRelativeDeterminant * fit_.tokens_tokens * fit_.pairs_pairs) {
    return;  // The samples are too similar.
  }
  const double per_tokens =
      (fit_.tokens_ms * fit_.pairs_pairs - fit_.pairs_ms * fit_.tokens_pairs) /
      determinant;
  const double per_pairs = (fit_.pairs_ms * fit_.tokens_tokens -
                            fit_.tokens_ms * fit_.tokens_pairs) /
                           determinant;
  if (per_tokens > 0 && per_pairs >= 0) {
    ms_per_thousand_tokens_ = per_tokens;
    ms_per_million_pairs_ = per_pairs;
  } else {
    ms_per_thousand_tokens_ = fit_.tokens_ms / fit_.tokens_tokens;
    ms_per_million_pairs_ = 0;
  }
}

void PromptBacklog::DropExpired(Time now, Engine& engine) {
  while (!engine.pending.empty() &&
         now - engine.pending.front().sent_at >= options_.call_timeout) {
    calls_.erase(engine.pending.front().call);
    engine.pending.pop_front();
  }
}

void PromptBacklog::DropEvicted(Engine& engine) const {
  absl::erase_if(engine.cached, [this, &engine](const auto& item) {
    return !IsCached(engine, item.second);
  });
}

}  // namespace oleander
