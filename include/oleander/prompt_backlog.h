// Tracks the prefill that each engine still has to do before a further prompt
// gets its first token, and the prompt prefixes that the engine caches.
//
// Prefill is the pass of an engine over the prompt's tokens before it produces
// the first output token. A call counts from the moment it is sent until its
// first event shows that its prefill is finished. Prefill takes time for each
// token, and for each pair of a token and an earlier one. Both rates are fitted
// to the calls of all engines together; in addition each engine has a factor of
// its own. An engine evicts the least recently used prefixes, so a prefix
// counts as cached until the engine has processed about as many tokens as its
// cache holds since the prefix was last used.
//
//   PromptBacklog backlog;
//   backlog.SetEngine(engine, {.cache_tokens = 500'000});
//   const Duration wait = backlog.WaitAt(now, engine, prompt.urgency);
//   const uint64_t call = backlog.OnSent(now, engine, prompt);
//   ...
//   backlog.OnPrefilled(now, call);  // The first event arrived.
//
// Designed for prompts of very different length, of which the long ones share
// prefixes, sent faster than load reports arrive.
#ifndef OLEANDER_PROMPT_BACKLOG_H_
#define OLEANDER_PROMPT_BACKLOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

// A prefix of a prompt.
struct PromptPrefix {
  uint64_t hash = 0;   // Hash of the whole prefix.
  int64_t tokens = 0;  // Length of the prefix.

  bool operator==(const PromptPrefix&) const = default;
};

struct Prompt {
  // The prefixes that other prompts may share, shortest first.
  std::vector<PromptPrefix> shared = {};
  int64_t tokens = 0;  // Length of the whole prompt.
  int urgency = 0;     // Engines prefill lower values first; 0 is the lowest.
};

struct EngineMemory {
  // Tokens that the running calls and the cached prefixes share; 0 if unknown.
  int64_t cache_tokens = 0;
};

struct PromptBacklogOptions {
  // Prefill rates before any sample; typical of engines with about ten billion
  // active weights.
  double initial_ms_per_thousand_tokens = 12;
  double initial_ms_per_million_pairs = 0.2;
  // Number of samples that the initial rates count for, and the factor by which
  // the weight of all earlier samples falls with each new one.
  double initial_samples = 2;
  double sample_decay = 0.99;
  // Weight of a new sample in the moving average of one engine's factor.
  double engine_sample_weight = 0.2;
  // Prompts with fewer uncached tokens aren't sampled: the other delays of such
  // a call take as long as its prefill.
  int64_t min_sample_tokens = 4000;
  // Samples are clamped to this factor above and below the fitted time.
  double max_deviation = 4;
  // Share of an engine's cache that prefixes may fill beside the running calls.
  double cache_share = 0.7;
  // A call without a first event for this long is no longer counted.
  Duration call_timeout = std::chrono::seconds(15);
};

class PromptBacklog {
 public:
  explicit PromptBacklog(PromptBacklogOptions options = {});

  // Sets the cache size of the engine.
  void SetEngine(const ServerId& engine, const EngineMemory& memory);
  // Drops an engine that was removed. A later one with the same id starts with
  // an empty cache.
  void Forget(const ServerId& engine);

  // Records a call sent to the engine, whose prefixes count as cached from now
  // on. Returns the call's id for OnPrefilled() and OnEnded().
  uint64_t OnSent(Time now, const ServerId& engine, const Prompt& prompt);
  // Records the call's first event: its prefill is finished. `told` is the
  // factor by which the engine itself says that work takes longer now. Returns
  // how much longer the prefill took than expected of this engine without that
  // factor; nothing if the call isn't sampled.
  std::optional<double> OnPrefilled(Time now, uint64_t call, double told = 1);
  // Records the end of the call, with or without a first event.
  void OnEnded(Time now, uint64_t call);

  // Returns how many tokens of the prompt the engine doesn't cache.
  int64_t UncachedTokens(const ServerId& engine, const Prompt& prompt) const;
  // Returns the time until the engine has finished the prefill of the pending
  // calls that are at least as urgent. The prefill in progress counts with its
  // remaining time only.
  Duration WaitAt(Time now, const ServerId& engine, int urgency) const;
  // Returns the time that the engine takes for prefill of the last `uncached`
  // tokens of a prompt of `tokens`.
  Duration PrefillTime(const ServerId& engine, int64_t tokens,
                       int64_t uncached) const;

 private:
  // The quantities that prefill time is proportional to.
  struct PrefillWork {
    double thousand_tokens = 0;
    double million_pairs = 0;
  };
  struct PendingPrefill {
    uint64_t call = 0;
    PrefillWork work;
    int urgency = 0;
    Time sent_at;
  };
  // Weighted sums of a least-squares fit; newer samples weigh more.
  struct Fit {
    double tokens_tokens = 0;
    double tokens_pairs = 0;
    double pairs_pairs = 0;
    double tokens_ms = 0;
    double pairs_ms = 0;
  };
  struct CachedPrefix {
    int64_t tokens = 0;
    // The engine's prefilled_tokens when the prefix was last used.
    int64_t prefilled_before = 0;
  };
  struct Engine {
    EngineMemory memory;
    std::deque<PendingPrefill> pending;  // In sending order.
    absl::flat_hash_map<uint64_t, CachedPrefix> cached;
    // Uncached tokens sent to the engine since it was first seen.
    int64_t prefilled_tokens = 0;
    // Prefill time relative to the fit over all engines.
    double slowness = 1;
    Time last_prefilled_at;
  };

  bool IsCached(const Engine& engine, const CachedPrefix& cached) const;
  // Returns the work of prefill for the last `uncached` of `tokens` tokens.
  // Each of them attends to all tokens before it.
  static PrefillWork WorkFor(int64_t tokens, int64_t uncached);
  double MillisecondsFor(const PrefillWork& work) const;
  // Updates the engine's slowness and the fit from a finished prefill. Returns
  // the result of OnPrefilled().
  std::optional<double> Learn(Time now, Engine& engine,
                              const PendingPrefill& prefill, double told);
  void Refit(const PrefillWork& work, double ms);
  void DropExpired(Time now, Engine& engine);
  void DropEvicted(Engine& engine) const;

  PromptBacklogOptions options_;
  absl::flat_hash_map<ServerId, Engine> engines_;
  absl::flat_hash_map<uint64_t, ServerId> calls_;  // Pending ones.
  uint64_t last_call_ = 0;
  Fit fit_;
  double ms_per_thousand_tokens_;  // Fitted.
  double ms_per_million_pairs_;    // Fitted.
};

}  // namespace oleander

#endif  // OLEANDER_PROMPT_BACKLOG_H_
