#include "standins/shared_prefix_cache.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "absl/random/random.h"

namespace oleander::standins {
namespace {

constexpr size_t kMaxRetainedEvents = 100000;
constexpr size_t kMaxEventsPerAnswer = 2000;
constexpr std::string_view kWhitespace = " \n\t\r";

// Calls `visit` with each word of `text`.
template <typename Visit>
void ForEachWord(std::string_view text, Visit visit) {
  size_t begin = text.find_first_not_of(kWhitespace);
  while (begin != std::string_view::npos) {
    const size_t end =
        std::min(text.find_first_of(kWhitespace, begin), text.size());
    visit(text.substr(begin, end - begin));
    begin = text.find_first_not_of(kWhitespace, end);
  }
}

}  // namespace

size_t CountWords(std::string_view text) {
  size_t words = 0;
  ForEachWord(text, [&](std::string_view) { ++words; });
  return words;
}

std::vector<uint64_t> BlockHashes(std::string_view text) {
  std::vector<uint64_t> hashes;
  XXH64_state_t* state = XXH64_createState();
  XXH64_reset(state, 0);
  size_t words = 0;
  ForEachWord(text, [&](std::string_view word) {
    if (words > 0) {
      XXH64_update(state, " ", 1);
    }
    XXH64_update(state, word.data(), word.size());
    if (++words % kBlockWords == 0) {
      hashes.push_back(XXH64_digest(state));
    }
  });
  XXH64_freeState(state);
  return hashes;
}

PrefixCache::PrefixCache(Options options)
    : options_(options), random_(options.seed) {}

size_t PrefixCache::Use(const std::vector<uint64_t>& blocks) {
  size_t cached = 0;
  for (const uint64_t block : blocks) {
    const auto found = entries_.find(block);
    if (found == entries_.end()) {
      break;
    }
    by_use_.splice(by_use_.begin(), by_use_, found->second);
    ++cached;
  }
  return cached;
}

void PrefixCache::Insert(const std::vector<uint64_t>& blocks, Time now) {
  for (const uint64_t block : blocks) {
    if (entries_.contains(block)) {
      continue;
    }
    by_use_.push_front(block);
    entries_[block] = by_use_.begin();
    Publish(true, block, now);
  }
  while (entries_.size() > options_.max_blocks) {
    const uint64_t oldest = by_use_.back();
    by_use_.pop_back();
    entries_.erase(oldest);
    Publish(false, oldest, now);
  }
}

void PrefixCache::Publish(bool stored, uint64_t block, Time now) {
  events_.push_back({.seq = next_seq_++,
                     .stored = stored,
                     .block = block,
                     .visible_at = now + options_.event_lag,
                     .lost = absl::Bernoulli(random_, options_.event_gap)});
  if (events_.size() > kMaxRetainedEvents) {
    events_.pop_front();
  }
}

nlohmann::json PrefixCache::EventsAfter(uint64_t after, Time now) const {
  nlohmann::json events = nlohmann::json::array();
  uint64_t next = after;
  const auto first = std::ranges::upper_bound(events_, after, {}, &Event::seq);
  for (auto event = first; event != events_.end(); ++event) {
    if (event->visible_at > now || events.size() >= kMaxEventsPerAnswer) {
      break;
    }
    next = event->seq;
    if (!event->lost) {
      events.push_back({{"seq", event->seq},
                        {"kind", event->stored ? "stored" : "evicted"},
                        {"block", fmt::format("{:016x}", event->block)}});
    }
  }
  return {{"next", next}, {"events", std::move(events)}};
}

}  // namespace oleander::standins
