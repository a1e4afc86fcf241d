// Tracks which backend servers hold which prompt prefixes in their caches.
//
// A model engine caches the prefill of earlier prompts in blocks of 64 words
// and reuses the blocks that a new prompt starts with. The index learns from
// the engines' cache events, which arrive late and with gaps, and from this
// instance's own dispatches. Its memory is bounded, and entries that nothing
// confirms expire.
#ifndef OLEANDER_PREFIX_INDEX_H_
#define OLEANDER_PREFIX_INDEX_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

// The hash of a prompt's text up to the end of one block; it therefore names
// the whole prefix and not just the block's own words.
using BlockHash = uint64_t;

inline constexpr int kWordsPerBlock = 64;

// Returns the hashes of the prompt's whole blocks, shortest prefix first: xxh64
// over all words up to the block's end, joined by single blanks. Words beyond
// the last whole block are in no block.
std::vector<BlockHash> PrefixBlocks(std::string_view prompt);

// Returns the number of words in `prompt`; each counts as one token.
int64_t CountWords(std::string_view prompt);

// A small number that identifies a server inside the index. The router assigns
// slots and never reuses one for another server.
using ServerSlot = uint32_t;

enum class CacheEventKind { kStored, kEvicted };

struct CacheEvent {
  uint64_t sequence = 0;  // Increases by one with each event of a server.
  CacheEventKind kind = CacheEventKind::kStored;
  BlockHash block = 0;
};

struct PrefixIndexOptions {
  size_t max_entries = 100'000;  // (block, server) pairs.
  Duration max_age = std::chrono::minutes(10);
};

// How many blocks of a prompt a server is believed to hold.
struct PrefixHolder {
  ServerSlot server = 0;
  int blocks = 0;
};

// Example: two prompts of a workspace share their first 128 words.
//
//   PrefixIndex index({}, seed);
//   index.OnDispatched(now, server, PrefixBlocks(first_prompt));
//   index.CachedBlocks(now, server, PrefixBlocks(second_prompt));  // 2
class PrefixIndex {
 public:
  static constexpr int kHoldersPerBlock = 4;

  // `seed` determines which entries are compared when one has to be evicted.
  explicit PrefixIndex(const PrefixIndexOptions& options, uint64_t seed = 1);

  // Takes cache events of one server, ordered by sequence number. Events seen
  // before are ignored; a jump in the numbers counts as a gap.
  void OnEvents(Time now, ServerSlot server,
                std::span<const CacheEvent> events);
  // Records a prompt sent to `server`, which will hold its blocks soon.
  void OnDispatched(Time now, ServerSlot server,
                    std::span<const BlockHash> blocks);
  // Drops the entries of a server that was removed.
  void RemoveServer(ServerSlot server);

  // Returns the length, in blocks, of the longest prefix of `blocks` that
  // `server` is believed to hold. A known block implies all before it, since an
  // engine evicts a prefix from its end; this bridges gaps in the events.
  int CachedBlocks(Time now, ServerSlot server,
                   std::span<const BlockHash> blocks) const;
  // Finds up to kHoldersPerBlock servers that hold the longest prefixes,
  // longest first. Returns how many elements of `out` were filled. Doesn't
  // allocate.
  int FindHolders(Time now, std::span<const BlockHash> blocks,
                  std::array<PrefixHolder, kHoldersPerBlock>& out) const;

  size_t entries() const { return entries_.size(); }
  size_t memory_bytes() const;
  uint64_t gaps() const { return gaps_; }

 private:
  struct Entry {
    BlockHash block;
    ServerSlot server;
    uint32_t stamp;  // When last confirmed, in units of kTick.
  };
  // The servers that stored a block most recently, newest first; kNoServer
  // marks a free element.
  using Holders = std::array<ServerSlot, kHoldersPerBlock>;
  bool Holds(uint32_t now, ServerSlot server, BlockHash block) const;
  bool Fresh(uint32_t now, const Entry& entry) const;
  int LongestHeldByAny(uint32_t now, std::span<const BlockHash> blocks) const;
  bool HeldByAny(uint32_t now, BlockHash block) const;
  void Store(uint32_t now, ServerSlot server, BlockHash block);
  void Erase(ServerSlot server, BlockHash block);
  void EraseAt(uint32_t position);
  void EvictOne(uint32_t now);
  uint64_t NextRandom();

  PrefixIndexOptions options_;
  uint64_t random_state_;
  uint64_t gaps_ = 0;
  std::vector<Entry> entries_;
  absl::flat_hash_map<uint64_t, uint32_t> positions_;  // Keyed by KeyOf().
  absl::flat_hash_map<BlockHash, Holders> holders_;
  absl::flat_hash_map<ServerSlot, uint64_t> next_sequences_;
};

}  // namespace oleander

#endif  // OLEANDER_PREFIX_INDEX_H_
