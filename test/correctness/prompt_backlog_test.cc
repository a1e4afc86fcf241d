// Pending prefill of engines, their cached prefixes, and their prefill rates.
#include "oleander/prompt_backlog.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(seconds(100));
const ServerId kOne("one");
const ServerId kTwo("two");

// A prompt with the 2,000 tokens common to all prompts, 8,000 more that prompts
// of the same `prefix_id` share, and `own_tokens` that no other prompt has.
Prompt PromptWithPrefix(uint64_t prefix_id, int64_t own_tokens,
                        int urgency = 0) {
  return {.shared = {{.hash = 1, .tokens = 2'000},
                     {.hash = 100 + prefix_id, .tokens = 10'000}},
          .tokens = 10'000 + own_tokens,
          .urgency = urgency};
}

// Initially ten milliseconds for a thousand tokens and none for pairs; engines'
// own factors stay at 1.
PromptBacklogOptions LinearCost() {
  return {.initial_ms_per_thousand_tokens = 10,
          .initial_ms_per_million_pairs = 0,
          .engine_sample_weight = 0};
}

BOOST_AUTO_TEST_SUITE(prompt_backlog)

BOOST_AUTO_TEST_SUITE(a_wait)

BOOST_AUTO_TEST_CASE(is_the_pending_prefill) {
  PromptBacklog backlog(LinearCost());
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 0) == Duration::zero()));
  const uint64_t first =
      backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 5'000));
  backlog.OnSent(kStart, kOne, PromptWithPrefix(2, 5'000));
  // The second prompt reuses the common 2,000 tokens of the first.
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 0) == milliseconds(150 + 130)));
  BOOST_TEST((backlog.WaitAt(kStart, kTwo, 0) == Duration::zero()));
  // The remaining time of the prefill in progress falls, but the next prefill
  // counts in full until the first event of this one is seen.
  const Time later = kStart + milliseconds(100);
  BOOST_TEST((backlog.WaitAt(later, kOne, 0) == milliseconds(180)));
  BOOST_TEST(
      (backlog.WaitAt(later + seconds(1), kOne, 0) == milliseconds(130)));
  const Time prefilled_at = kStart + milliseconds(150);
  backlog.OnPrefilled(prefilled_at, first);
  BOOST_TEST((backlog.WaitAt(prefilled_at, kOne, 0) == milliseconds(130)));
}

BOOST_AUTO_TEST_CASE(excludes_less_urgent_prompts) {
  PromptBacklog backlog(LinearCost());
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 10'000, 2));
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 1) == Duration::zero()));
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 2) == milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(excludes_calls_that_ended_or_timed_out) {
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

BOOST_AUTO_TEST_CASE(are_cached_by_the_engine_that_received_them) {
  PromptBacklog backlog(LinearCost());
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 500)) == 10'500);
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 500));
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 700)) == 700);
  // A prompt with another prefix shares only the common 2,000 tokens.
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(2, 700)) == 8'700);
  BOOST_TEST(backlog.UncachedTokens(kTwo, PromptWithPrefix(1, 700)) == 10'700);
}

BOOST_AUTO_TEST_CASE(are_evicted_once_the_cache_size_was_processed_since) {
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
  // The common prefix was used by each of them and is still cached.
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 500)) == 8'500);
}

BOOST_AUTO_TEST_CASE(are_dropped_with_the_engine) {
  PromptBacklog backlog(LinearCost());
  backlog.OnSent(kStart, kOne, PromptWithPrefix(1, 500));
  backlog.Forget(kOne);
  BOOST_TEST(backlog.UncachedTokens(kOne, PromptWithPrefix(1, 500)) == 10'500);
  BOOST_TEST((backlog.WaitAt(kStart, kOne, 0) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(prefill_rates_for_tokens_and_pairs_are_learned) {
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

BOOST_AUTO_TEST_CASE(an_engine_slower_than_the_others_is_learned) {
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
