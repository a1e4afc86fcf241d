// What engines still have to read, what they keep, and how fast they read.
#include "oleander/prompt_backlog.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));
const ServerId kOne("one");
const ServerId kTwo("two");

// `own` tokens after the shared parts of `subject`: 2,000 that all have, and
// 8,000 of its own.
Prompt PromptWithPrefix(uint64_t prefix_id, int64_t own_tokens,
                        int urgency = 0) {
  return {.shared = {{.hash = 1, .tokens = 2'000},
                     {.hash = 100 + prefix_id, .tokens = 10'000}},
          .tokens = 10'000 + own_tokens,
          .urgency = urgency};
}

// Exactly ten milliseconds for a thousand tokens, and nothing for pairs.
PromptBacklogOptions LinearCost() {
  return {.initial_ms_per_thousand_tokens = 10,
          .initial_ms_per_million_pairs = 0,
          .engine_sample_weight = 0};
}

BOOST_AUTO_TEST_SUITE(prompt_backlog)

BOOST_AUTO_TEST_SUITE(a_wait)

BOOST_AUTO_TEST_CASE(is_what_is_not_read_yet) {
  PromptBacklog backlog(LinearCost());
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 0) == Duration::zero()));
  const uint64_t first =
      backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 5'000));
  backlog.OnSent(kStart, kOne, PromptWithPrefix(2, 5'000));
  // The second one has the 2,000 from the first.
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 0) == milliseconds(150 + 130)));
  BOOST_TEST((backlog.WaitAt(kStart, kTwo, 0) == Duration::zero()));
  // What is under way gets shorter, but the next one doesn't begin before its
  // first event is seen.
  const Time later = kStart + milliseconds(100);
  BOOST_TEST((backlog.WaitAt(later, kOne, 0) == milliseconds(180)));
  BOOST_TEST(
      (backlog.WaitAt(later + seconds(1), kOne, 0) == milliseconds(130)));
  const Time read = kStart + milliseconds(150);
  backlog.OnPrefilled(read, first);
  BOOST_TEST((backlog.WaitAt(read, kOne, 0) == milliseconds(130)));
}

BOOST_AUTO_TEST_CASE(leaves_out_what_is_less_urgent) {
  PromptBacklog backlog(LinearCost());
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 10'000, 2));
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 1) == Duration::zero()));
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 2) == milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(ends_with_calls_that_end_or_are_heard_of_no_more) {
  PromptBacklog backlog(LinearCost());
  const uint64_t call =
      backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 5'000));
  backlog.OnEnded(kStart, call);
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 0) == Duration::zero()));
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 5'000));
  BOOST_TEST(
      (backlog.WaitAt(kStart + seconds(20), kOne, 0) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(parts_of_prompts)

BOOST_AUTO_TEST_CASE(are_kept_by_who_read_them) {
  PromptBacklog backlog(LinearCost());
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 500)) == 10'500);
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 500));
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 700)) == 700);
  // Of another subject only the part that all have.
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(2, 700)) == 8'700);
  BOOST_TEST(backlog.UncachedTokens(kTwo, PromptWithPrefix(1, 700)) == 10'700);
}

BOOST_AUTO_TEST_CASE(go_when_as_much_as_the_memory_was_read_since) {
  PromptBacklog backlog(LinearCost());
  backlog.SetEngine(kOne, {.cache_tokens = 100'000});
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 500));
  for (uint64_t prefix_id = 2; prefix_id < 6; ++prefix_id) {
    backlog.OnSent(kStart, kOne, PromptWithPrefix(prefix_id, 1'000));
  }
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 500)) == 500);
  for (uint64_t prefix_id = 6; prefix_id < 12; ++prefix_id) {
    backlog.OnSent(kStart, kOne, PromptWithPrefix(prefix_id, 1'000));
  }
  // What all have was used by each of them.
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 500)) == 8'500);
}

BOOST_AUTO_TEST_CASE(are_gone_with_the_engine) {
  PromptBacklog backlog(LinearCost());
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 500));
  backlog.Forget(kOne);
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 500)) == 10'500);
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 0) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(time_for_tokens_and_for_pairs_is_learned) {
  PromptBacklog backlog;
  Time now = kStart;
  // 20 ms for a thousand tokens, 0.4 ms for a million pairs.
  const auto takes = [](double thousands) {
    return Duration(static_cast<int64_t>(
        1000 * (thousands * 20 + thousands * thousands / 2 * 0.4)));
  };
  for (int i = 0; i < 200; ++i) {
    const int64_t tokens = 5'000 + (i % 8) * 5'000;
    const uint64_t call = backlog.OnSent(now, kOne, {.tokens = tokens});
    now += takes(static_cast<double>(tokens) / 1e3);
    backlog.OnPrefilled(now, call);
    now += milliseconds(50);
  }
  for (const int64_t tokens : {5'000, 20'000, 40'000}) {
    const double learned =
        std::chrono::duration<double>(backlog.PrefillTime(kTwo, tokens, tokens))
            .count();
    const double real =
        std::chrono::duration<double>(takes(static_cast<double>(tokens) / 1e3))
            .count();
    BOOST_TEST(learned == real, boost::test_tools::tolerance(0.1));
  }
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_slower_than_the_others_is_known) {
  PromptBacklog backlog;
  Time now = kStart;
  for (int i = 0; i < 60; ++i) {
    const uint64_t quick = backlog.OnSent(now, kOne, {.tokens = 10'000});
    const uint64_t slow = backlog.OnSent(now, kTwo, {.tokens = 10'000});
    backlog.OnPrefilled(now + milliseconds(100), quick);
    backlog.OnPrefilled(now + milliseconds(200), slow);
    now += seconds(1);
  }
  const Duration quick = backlog.PrefillTime(kOne, 10'000, 10'000);
  const Duration slow = backlog.PrefillTime(kTwo, 10'000, 10'000);
  BOOST_TEST((slow > quick * 3 / 2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
