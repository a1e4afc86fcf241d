#include "oleander/prefix_index.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <ranges>

#include "oleander/invariant.h"

namespace oleander {
namespace {

// Resolution of entry ages.
constexpr Duration kTick = std::chrono::milliseconds(100);
// When the index is full, the oldest of this many random entries is evicted.
constexpr int kEvictionSample = 8;
// Prompts of up to this many blocks are searched block by block, so that a gap
// in the events never hides a longer prefix.
constexpr size_t kLinearSearch = 8;
constexpr ServerSlot kNoServer = ~ServerSlot{0};

// Calls `visit` with each word of `text`.
template <typename Visit>
void ForEachWord(std::string_view text, Visit visit) {
  constexpr std::string_view kBlanks = " \t\r\n\v\f";
  size_t begin = text.find_first_not_of(kBlanks);
  while (begin != std::string_view::npos) {
    const size_t end =
        std::min(text.find_first_of(kBlanks, begin), text.size());
    visit(text.substr(begin, end - begin));
    begin = text.find_first_not_of(kBlanks, end);
  }
}

uint32_t TickOf(Time now) {
  return static_cast<uint32_t>(now.time_since_epoch() / kTick);
}

uint32_t TicksIn(Duration duration) {
  return static_cast<uint32_t>(duration / kTick);
}

// Returns the key of a (block, server) pair. Block hashes are already uniform;
// the multiplication spreads the server's bits over them.
uint64_t KeyOf(ServerSlot server, BlockHash block) {
  return block ^ ((uint64_t{server} + 1) * 0x9E3779B97F4A7C15ULL);
}

// Returns the number of leading blocks up to the last one that `held` accepts.
// Longer prompts use a binary search that tests two adjacent blocks in each
// step.
template <typename Held>
int LongestPrefix(std::span<const BlockHash> blocks, Held held) {
  if (blocks.size() <= kLinearSearch) {
    const auto last =
        std::ranges::find_if(blocks.rbegin(), blocks.rend(), held);
    return static_cast<int>(blocks.rend() - last);
  }
  size_t low = 0;  // The first `low` blocks are held.
  size_t high = blocks.size();
  while (low < high) {
    const size_t middle = low + (high - low) / 2;
    if (held(blocks[middle])) {
      low = middle + 1;
    } else if (middle + 1 < high && held(blocks[middle + 1])) {
      low = middle + 2;
    } else {
      high = middle;
    }
  }
  return static_cast<int>(low);
}

}  // namespace

std::vector<BlockHash> PrefixBlocks(std::string_view prompt) {
  std::vector<BlockHash> blocks;
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(state.get(), 0);
  int words = 0;
  ForEachWord(prompt, [&](std::string_view word) {
    if (words > 0) XXH64_update(state.get(), " ", 1);
    XXH64_update(state.get(), word.data(), word.size());
    ++words;
    if (words % kWordsPerBlock == 0) {
      blocks.push_back(XXH64_digest(state.get()));
    }
  });
  return blocks;
}

int64_t CountWords(std::string_view prompt) {
  int64_t words = 0;
  ForEachWord(prompt, [&](std::string_view) { ++words; });
  return words;
}

PrefixIndex::PrefixIndex(const PrefixIndexOptions& options, uint64_t seed)
    : options_(options), random_state_(seed) {}

void PrefixIndex::OnEvents(Time now, ServerSlot server,
                           std::span<const CacheEvent> events) {
  const uint32_t tick = TickOf(now);
  for (const CacheEvent& event : events) {
    uint64_t& next = next_sequences_[server];
    if (event.sequence < next) continue;
    if (next != 0 && event.sequence > next) {
      ++gaps_;
    }
    next = event.sequence + 1;
    if (event.kind == CacheEventKind::kStored) {
      Store(tick, server, event.block);
    } else {
      Erase(server, event.block);
    }
  }
}

void PrefixIndex::OnDispatched(Time now, ServerSlot server,
                               std::span<const BlockHash> blocks) {
  const uint32_t tick = TickOf(now);
  for (const BlockHash block : blocks) Store(tick, server, block);
}

void PrefixIndex::RemoveServer(ServerSlot server) {
  next_sequences_.erase(server);
  for (size_t i = entries_.size(); i-- > 0;) {
    if (entries_[i].server == server) EraseAt(static_cast<uint32_t>(i));
  }
}

int PrefixIndex::CachedBlocks(Time now, ServerSlot server,
                              std::span<const BlockHash> blocks) const {
  const uint32_t tick = TickOf(now);
  return LongestPrefix(
      blocks, [&](BlockHash block) { return Holds(tick, server, block); });
}

int PrefixIndex::FindHolders(
    Time now, std::span<const BlockHash> blocks,
    std::array<PrefixHolder, kHoldersPerBlock>& out) const {
  const uint32_t tick = TickOf(now);
  int found = 0;
  const int longest = LongestHeldByAny(tick, blocks);
  int length = longest;
  // Takes the holders of the longest prefix, then of half of it, and so on: a
  // workspace's common prefix has more holders than that of one conversation.
  while (length > 0 && found < kHoldersPerBlock) {
    const auto holders = holders_.find(blocks[length - 1]);
    if (holders != holders_.end()) {
      for (const ServerSlot server : holders->second) {
        if (found == kHoldersPerBlock) break;
        if (server == kNoServer) continue;
        const auto known = std::span(out).first(found);
        if (std::ranges::find(known, server, &PrefixHolder::server) !=
            known.end()) {
          continue;
        }
        if (!Holds(tick, server, blocks[length - 1])) continue;
        out[found++] = {server, length == longest
                                    ? longest
                                    : CachedBlocks(now, server, blocks)};
      }
    }
    length /= 2;
  }
  return found;
}

size_t PrefixIndex::memory_bytes() const {
  return entries_.capacity() * sizeof(Entry) +
         positions_.capacity() * (sizeof(std::pair<uint64_t, uint32_t>) + 1) +
         holders_.capacity() * (sizeof(std::pair<BlockHash, Holders>) + 1) +
         next_sequences_.capacity() *
             (sizeof(std::pair<ServerSlot, uint64_t>) + 1);
}

bool PrefixIndex::Holds(uint32_t now, ServerSlot server,
                        BlockHash block) const {
  const auto position = positions_.find(KeyOf(server, block));
  return position != positions_.end() && Fresh(now, entries_[position->second]);
}

bool PrefixIndex::Fresh(uint32_t now, const Entry& entry) const {
  return now - entry.stamp <= TicksIn(options_.max_age);
}

int PrefixIndex::LongestHeldByAny(uint32_t now,
                                  std::span<const BlockHash> blocks) const {
  return LongestPrefix(blocks,
                       [&](BlockHash block) { return HeldByAny(now, block); });
}

bool PrefixIndex::HeldByAny(uint32_t now, BlockHash block) const {
  const auto holders = holders_.find(block);
  return holders != holders_.end() &&
         std::ranges::any_of(holders->second, [&](ServerSlot server) {
           return server != kNoServer && Holds(now, server, block);
         });
}

void PrefixIndex::Store(uint32_t now, ServerSlot server, BlockHash block) {
  const uint64_t key = KeyOf(server, block);
  const auto known = positions_.find(key);
  if (known != positions_.end()) {
    entries_[known->second].stamp = now;
  } else {
    if (entries_.size() >= options_.max_entries) EvictOne(now);
    positions_.emplace(key, static_cast<uint32_t>(entries_.size()));
    entries_.push_back({block, server, now});
  }
  auto [holders, added] = holders_.try_emplace(block);
  if (added) holders->second.fill(kNoServer);
  // Moves the server to the front; the one that stored least recently is
  // dropped.
  const auto position = std::ranges::find(holders->second, server);
  const auto end = position == holders->second.end()
                       ? std::prev(holders->second.end())
                       : position;
  *end = server;
  std::rotate(holders->second.begin(), end, std::next(end));
}

void PrefixIndex::Erase(ServerSlot server, BlockHash block) {
  const auto position = positions_.find(KeyOf(server, block));
  if (position != positions_.end()) EraseAt(position->second);
}

void PrefixIndex::EraseAt(uint32_t position) {
  const Entry erased = entries_[position];
  positions_.erase(KeyOf(erased.server, erased.block));
  if (position + 1 != entries_.size()) {
    entries_[position] = entries_.back();
    positions_[KeyOf(entries_[position].server, entries_[position].block)] =
        position;
  }
  entries_.pop_back();
  const auto holders = holders_.find(erased.block);
  if (holders != holders_.end()) {
    std::ranges::replace(holders->second, erased.server, kNoServer);
    if (std::ranges::all_of(holders->second, [](ServerSlot server) {
          return server == kNoServer;
        })) {
      holders_.erase(holders);
    }
  }
  CheckInvariant(
      entries_.size() == positions_.size(), "prefix_index_sizes",
      [&] { return "The prefix index has entries without positions."; });
}

void PrefixIndex::EvictOne(uint32_t now) {
  if (entries_.empty()) return;
  uint32_t oldest = 0;
  uint32_t oldest_age = 0;
  for (int i = 0; i < kEvictionSample; ++i) {
    const auto position = static_cast<uint32_t>(NextRandom() % entries_.size());
    const uint32_t age = now - entries_[position].stamp;
    if (i == 0 || age > oldest_age) {
      oldest = position;
      oldest_age = age;
    }
  }
  EraseAt(oldest);
}

uint64_t PrefixIndex::NextRandom() {
  // SplitMix64.
  random_state_ += 0x9E3779B97F4A7C15ULL;
  uint64_t mixed = random_state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace oleander
