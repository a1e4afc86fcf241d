// Continuous batching of a stand-in engine: attempts wait for a slot in order
// of priority, have their prompt prefilled, and then get tokens_per_step tokens
// in each step.
//
// All attempts of a step share one timer, so that hundreds of streams cost one
// wakeup per step.
#ifndef OLEANDER_APPS_STANDINS_SHARED_ENGINE_H_
#define OLEANDER_APPS_STANDINS_SHARED_ENGINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "standins/shared_prefix_cache.h"
#include "standins/shared_standin.h"

namespace oleander::standins {

struct EngineOptions {
  std::string id;
  size_t slots = 8;
  Duration token_time = std::chrono::milliseconds(10);
  Duration prefill_time = std::chrono::microseconds(200);  // Per token.
  size_t prefill_chunk = 100;    // Tokens prefilled per step, in total.
  uint64_t tokens_per_step = 1;  // Per attempt.
  uint64_t seed = 1;
  PrefixCache::Options cache;
};

enum class AttemptState { kWaiting, kRunning, kFinished, kCancelled, kFailed };

// One call of POST /v1/chat/completions.
struct Attempt {
  std::string id;
  std::string model;
  std::string prompt;
  std::string resume_text;
  uint64_t from = 0;
  uint64_t max_tokens = 0;
  int priority = 0;
  bool stream = false;
  uint64_t imported_tokens = 0;  // Covered by an imported KV cache.

  AttemptState state = AttemptState::kWaiting;
  uint64_t next = 0;  // Index of the next token.
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t prefill_left = 0;
  uint64_t prefilled_tokens = 0;
  uint64_t recomputed_tokens = 0;
  bool stalled = false;
  int64_t arrived_ms = 0;
  int64_t started_ms = -1;
  int64_t ended_ms = -1;
  std::string delayed_event;  // Held back by the reorder fault.
  ExchangePtr exchange;
};

using AttemptPtr = std::shared_ptr<Attempt>;

class Engine {
 public:
  Engine(Standin& standin, EngineOptions options);

  void Submit(const AttemptPtr& attempt);
  // Returns false if no such attempt waits or runs.
  bool Cancel(const std::string& id);
  AttemptPtr Find(const std::string& id) const;

  // Permanently stops the progress of every attempt that waits or runs now.
  void StallAll();
  // Drops the connection of every attempt that waits or runs now.
  void DropAll();

  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiting_.size(); }
  uint64_t queued_tokens() const;
  uint64_t kv_used_tokens() const;
  double tokens_per_second() const;  // Rate of a full batch.
  double prefill_tokens_per_second() const;
  const EngineOptions& options() const { return options_; }
  const PrefixCache& cache() const { return cache_; }
  Json Records() const;

 private:
  void Admit();
  void StartStep();
  void FinishStep();
  void StartAttempt(const AttemptPtr& attempt);
  void Prefill(Attempt& attempt, uint64_t& budget) const;
  void Emit(Attempt& attempt);
  void EmitToken(Attempt& attempt, std::string& out);
  void Finish(Attempt& attempt, std::string& out);
  void RespondWhole(Attempt& attempt);
  void Close(Attempt& attempt, AttemptState state);
  void RemoveEnded();
  double SlowFactor() const;
  std::string ChunkEvent(const Attempt& attempt, uint64_t index,
                         std::string_view text) const;

  Standin* standin_;
  EngineOptions options_;
  std::mt19937_64 random_;
  PrefixCache cache_;
  std::map<std::pair<int, uint64_t>, AttemptPtr> waiting_;
  uint64_t arrivals_ = 0;
  std::vector<AttemptPtr> running_;
  std::unordered_map<std::string, AttemptPtr> open_;
  std::vector<AttemptPtr> all_;
  std::unordered_map<uint64_t, uint64_t> blocks_prefilled_;
  uint64_t tokens_made_ = 0;
  uint64_t step_prefill_ = 0;
  bool stepping_ = false;
  io::Timer step_timer_;
};

}  // namespace oleander::standins

#endif  // OLEANDER_APPS_STANDINS_SHARED_ENGINE_H_
