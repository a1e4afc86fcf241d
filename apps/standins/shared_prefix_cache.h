// The prefix cache of a stand-in engine: blocks of 64 words with
// least-recently-used eviction. It publishes its changes as events, which
// arrive late and of which some are lost.
#ifndef OLEANDER_APPS_STANDINS_SHARED_PREFIX_CACHE_H_
#define OLEANDER_APPS_STANDINS_SHARED_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "nlohmann/json.hpp"
#include "oleander/types.h"

namespace oleander::standins {

inline constexpr size_t kBlockWords = 64;

size_t CountWords(std::string_view text);

// Returns the hash of each complete block of `text`. Hash i covers the first
// 64 * (i + 1) words.
std::vector<uint64_t> BlockHashes(std::string_view text);

class PrefixCache {
 public:
  struct Options {
    size_t max_blocks = 4096;
    Duration event_lag = std::chrono::milliseconds(200);
    double event_gap = 0;  // Share of events that are never published.
    uint64_t seed = 1;
  };

  explicit PrefixCache(Options options);

  // Returns how many leading blocks are cached, and marks them as used.
  size_t Use(const std::vector<uint64_t>& blocks);
  void Insert(const std::vector<uint64_t>& blocks, Time now);
  size_t size() const { return entries_.size(); }

  // Returns the body of the answer to GET /v1/cache-events?after=N.
  nlohmann::json EventsAfter(uint64_t after, Time now) const;

 private:
  struct Event {
    uint64_t seq;
    bool stored;
    uint64_t block;
    Time visible_at;
    bool lost;
  };

  void Publish(bool stored, uint64_t block, Time now);

  Options options_;
  std::mt19937_64 random_;
  std::list<uint64_t> by_use_;  // Most recently used first.
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> entries_;
  std::deque<Event> events_;
  uint64_t next_seq_ = 1;
};

}  // namespace oleander::standins

#endif  // OLEANDER_APPS_STANDINS_SHARED_PREFIX_CACHE_H_
