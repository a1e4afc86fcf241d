// The index's view of the engines' prefix caches.
#include "oleander/prefix_index.h"

#include <xxhash.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace oleander {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

std::string Words(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += (i == 0 ? "w" : " w") + std::to_string(i);
  }
  return text;
}

std::vector<CacheEvent> Stored(uint64_t first,
                               const std::vector<BlockHash>& blocks) {
  std::vector<CacheEvent> events;
  events.reserve(blocks.size());
  for (const BlockHash block : blocks) {
    events.push_back({first++, CacheEventKind::kStored, block});
  }
  return events;
}

BOOST_AUTO_TEST_SUITE(prefix_index)

BOOST_AUTO_TEST_SUITE(a_prompt_is_cut_into_blocks)

BOOST_AUTO_TEST_CASE(whose_hash_covers_all_text_before) {
  const std::string text = Words(128);
  const std::string half = Words(64);
  const std::vector<BlockHash> expected = {XXH64(half.data(), half.size(), 0),
                                           XXH64(text.data(), text.size(), 0)};
  BOOST_TEST(PrefixBlocks(text) == expected);
}

BOOST_AUTO_TEST_CASE(whatever_blanks_separate_the_words) {
  std::string spaced = "  \n";
  for (const char letter : Words(70)) {
    spaced += letter == ' ' ? std::string(" \t\n") : std::string(1, letter);
  }
  BOOST_TEST(PrefixBlocks(spaced) == PrefixBlocks(Words(70)));
  BOOST_TEST(CountWords(spaced) == 70);
}

BOOST_AUTO_TEST_CASE(and_words_beyond_the_last_whole_block_are_in_none) {
  BOOST_TEST(PrefixBlocks(Words(63)).empty());
  BOOST_TEST(PrefixBlocks(Words(127)).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_is_believed_to_hold)

BOOST_AUTO_TEST_CASE(what_it_was_sent) {
  PrefixIndex index({});
  index.OnDispatched(kStart, 1, std::vector<BlockHash>{1, 2, 3});
  const std::vector<BlockHash> longer = {1, 2, 3, 4};
  BOOST_TEST(index.CachedBlocks(kStart, 1, longer) == 3);
  BOOST_TEST(index.CachedBlocks(kStart, 2, longer) == 0);
}

BOOST_AUTO_TEST_CASE(a_prefix_with_a_gap_in_its_events) {
  PrefixIndex index({});
  index.OnEvents(kStart, 1, Stored(1, {1, 2}));
  index.OnEvents(kStart, 1, Stored(4, {4}));  // The event of block 3 was lost.
  const std::vector<BlockHash> prompt = {1, 2, 3, 4};
  BOOST_TEST(index.CachedBlocks(kStart, 1, prompt) == 4);
  BOOST_TEST(index.gaps() == 1);
}

BOOST_AUTO_TEST_CASE(no_evicted_block_and_no_event_counts_twice) {
  PrefixIndex index({});
  const std::vector<BlockHash> prompt = {1, 2};
  index.OnEvents(kStart, 1, Stored(1, prompt));
  const CacheEvent evicted{3, CacheEventKind::kEvicted, 2};
  index.OnEvents(kStart, 1, std::vector{evicted});
  index.OnEvents(kStart, 1, Stored(1, prompt));  // Late copies.
  BOOST_TEST(index.CachedBlocks(kStart, 1, prompt) == 1);
}

BOOST_AUTO_TEST_CASE(nothing_that_was_not_confirmed_for_long) {
  PrefixIndex index({.max_age = minutes(10)});
  const std::vector<BlockHash> prompt = {1};
  index.OnDispatched(kStart, 1, prompt);
  BOOST_TEST(index.CachedBlocks(kStart + minutes(10), 1, prompt) == 1);
  BOOST_TEST(index.CachedBlocks(kStart + minutes(11), 1, prompt) == 0);
}

BOOST_AUTO_TEST_CASE(nothing_once_it_is_removed) {
  PrefixIndex index({});
  index.OnDispatched(kStart, 1, std::vector<BlockHash>{1, 2});
  index.OnDispatched(kStart, 2, std::vector<BlockHash>{1});
  index.RemoveServer(1);
  BOOST_TEST(index.entries() == 1);
  BOOST_TEST(index.CachedBlocks(kStart, 1, std::vector<BlockHash>{1}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(long_prompts_are_found_past_lost_events) {
  PrefixIndex index({});
  std::vector<BlockHash> prompt;
  for (BlockHash block = 1; block <= 90; ++block) prompt.push_back(block);
  for (BlockHash block = 1; block <= 80; ++block) {
    const bool lost = block % 10 == 5;
    if (!lost) index.OnEvents(kStart, 1, Stored(block, {block}));
  }
  BOOST_TEST(index.CachedBlocks(kStart, 1, prompt) == 80);
}

BOOST_AUTO_TEST_CASE(the_longest_holders_come_first) {
  PrefixIndex index({});
  index.OnDispatched(kStart, 1, std::vector<BlockHash>{1, 2});
  index.OnDispatched(kStart, 2, std::vector<BlockHash>{1, 2, 3, 4});
  std::array<PrefixHolder, PrefixIndex::kHoldersPerBlock> holders;
  const std::vector<BlockHash> prompt = {1, 2, 3, 4, 5};
  BOOST_REQUIRE(index.FindHolders(kStart, prompt, holders) == 2);
  BOOST_TEST(holders[0].server == 2U);
  BOOST_TEST(holders[0].blocks == 4);
  BOOST_TEST(holders[1].server == 1U);
  BOOST_TEST(holders[1].blocks == 2);
}

BOOST_AUTO_TEST_CASE(its_memory_is_bounded_and_old_entries_go_first) {
  PrefixIndex index({.max_entries = 1000});
  for (BlockHash block = 1; block <= 5000; ++block) {
    const Time now = kStart + seconds(block / 10);
    index.OnDispatched(now, block % 7,
                       std::vector<BlockHash>{block * BlockHash{0x9E3779B9}});
  }
  BOOST_TEST(index.entries() == 1000);
  const std::vector<BlockHash> newest = {5000 * BlockHash{0x9E3779B9}};
  BOOST_TEST(index.CachedBlocks(kStart + seconds(500), 5000 % 7, newest) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
