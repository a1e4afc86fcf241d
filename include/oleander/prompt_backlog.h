// What each engine still has to read before a further prompt gets its first
// token, and which leading parts of prompts it keeps from earlier ones.
//
// A call counts from the moment it is sent until its first event shows that its
// prompt is read. Reading takes time for each token, and for each pair of a
// token and one before it; both are learned from the same calls, of all engines
// together, and how much slower or faster each engine is. An engine drops what
// was used least recently, so a part is kept until as much as the engine's
// memory was read since its last use.
//
//   PromptBacklog backlog;
//   backlog.SetEngine(engine, {.cache_tokens = 500'000});
//   const Duration first_token = backlog.ReadyIn(now, engine, prompt);
//   const uint64_t reading = backlog.OnSent(now, engine, prompt);
//   ...
//   backlog.OnPrefilled(now, reading);  // Its first event came.
//
// Load it answers: prompts of very different length, of which the long ones
// share leading parts, sent faster than reports of load come.
#ifndef OLEANDER_PROMPT_BACKLOG_H_
#define OLEANDER_PROMPT_BACKLOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

// A leading part of a prompt, from its beginning.
struct PromptPrefix {
  uint64_t hash = 0;   // Of all that it holds.
  int64_t tokens = 0;  // From the prompt's beginning.

  bool operator==(const PromptPrefix&) const = default;
};

struct Prompt {
  // The parts that other prompts may share, shortest first.
  std::vector<PromptPrefix> shared = {};
  int64_t tokens = 0;  // All of them.
  int urgency = 0;     // 0 is read first.
};

struct EngineMemory {
  int64_t cache_tokens = 0;  // Of running calls and kept parts together.
};

struct PromptBacklogOptions {
  // For reading a thousand tokens, and a million pairs of tokens, by an engine
  // of which nothing is known; engines of some ten billion active weights.
  double initial_ms_per_thousand_tokens = 12;
  double initial_ms_per_million_pairs = 0.2;
  // Samples that those count for, and what is left of an earlier sample's
  // weight with each new one.
  double initial_samples = 2;
  double sample_decay = 0.99;
  // Weight of one sample against what was learned of one engine before.
  double engine_sample_weight = 0.2;
  // Fewer tokens than this say little about the speed of reading: the rest of
  // a call's way takes as long.
  int64_t min_sample_tokens = 4000;
  // An engine is believed to differ from all together by this factor.
  double max_deviation = 4;
  // The part of an engine's memory that kept parts may take beside running
  // calls.
  double cache_share = 0.7;
  // A call without a first event for this long isn't counted any more.
  Duration call_timeout = std::chrono::seconds(15);
};

class PromptBacklog {
 public:
  explicit PromptBacklog(PromptBacklogOptions options = {});

  void SetEngine(const ServerId& engine, const EngineMemory& memory);
  // The engine has gone; a later one of the same name keeps nothing.
  void Forget(const ServerId& engine);

  // The number of the call, for OnPrefilled() and OnEnded().
  uint64_t OnSent(Time now, const ServerId& engine, const Prompt& prompt);
  // The first event came: the prompt is read.
  void OnPrefilled(Time now, uint64_t call);
  // The call ended, with or without a first event.
  void OnEnded(Time now, uint64_t call);

  // Tokens of the prompt that the engine doesn't keep.
  int64_t UncachedTokens(const ServerId& engine, const Prompt& prompt) const;
  // Until the engine has read what is before a call of this urgency.
  Duration WaitAt(Time now, const ServerId& engine, int urgency) const;
  // For reading the last `unkept` tokens of a prompt of `tokens` there.
  Duration PrefillTime(const ServerId& engine, int64_t tokens,
                       int64_t uncached) const;

 private:
  // What takes time in reading.
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
  // Least squares over all samples, newer ones counting more.
  struct Fit {
    double tokens_tokens = 0;
    double tokens_pairs = 0;
    double pairs_pairs = 0;
    double tokens_ms = 0;
    double pairs_ms = 0;
  };
  struct CachedPrefix {
    int64_t tokens = 0;
    int64_t prefilled_before = 0;  // By the engine, at its last use.
  };
  struct Engine {
    EngineMemory memory;
    std::deque<PendingPrefill> pending;  // In the order of sending.
    absl::flat_hash_map<uint64_t, CachedPrefix> cached;
    int64_t prefilled_tokens =
        0;                // Tokens that were stored since it was first seen.
    double slowness = 1;  // Against all engines together.
    Time last_prefilled_at;
  };

  bool IsCached(const Engine& engine, const CachedPrefix& cached) const;
  static PrefillWork WorkFor(int64_t tokens, int64_t uncached);
  double MillisecondsFor(const PrefillWork& work) const;
  void Learn(Time now, Engine& engine, const PendingPrefill& prefill);
  void Refit(const PrefillWork& work, double ms);
  void DropExpired(Time now, Engine& engine);
  void DropEvicted(Engine& engine) const;

  PromptBacklogOptions options_;
  absl::flat_hash_map<ServerId, Engine> engines_;
  absl::flat_hash_map<uint64_t, ServerId> calls_;  // Those not read yet.
  uint64_t last_call_ = 0;
  Fit fit_;
  double ms_per_thousand_tokens_;  // As fitted.
  double ms_per_million_pairs_;    // As fitted.
};

}  // namespace oleander

#endif  // OLEANDER_PROMPT_BACKLOG_H_
