// The events of an answer reach the caller once and in order.
#include "oleander/streams.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using Strings = std::vector<std::string>;

StreamEvent Event(uint32_t attempt, uint64_t index, std::string data) {
  return {
      .epoch = 1, .attempt = attempt, .index = index, .data = std::move(data)};
}

struct Running {
  Running() { sequencer.StartAttempt(1, 1, 0); }
  EventSequencer sequencer;
};

BOOST_FIXTURE_TEST_SUITE(an_answers_events, Running)

BOOST_AUTO_TEST_CASE(pass_in_order) {
  BOOST_TEST((sequencer.Offer(Event(1, 0, "a")) == OfferResult::kPassed));
  BOOST_TEST((sequencer.Offer(Event(1, 1, "b")) == OfferResult::kPassed));
  BOOST_TEST(sequencer.TakeReady() == (Strings{"a", "b"}),
             boost::test_tools::per_element());
  BOOST_TEST(sequencer.CheckComplete(2).ok());
}

BOOST_AUTO_TEST_CASE(wait_for_the_ones_before_them) {
  sequencer.Offer(Event(1, 2, "c"));
  sequencer.Offer(Event(1, 1, "b"));
  BOOST_TEST(sequencer.TakeReady().empty());
  sequencer.Offer(Event(1, 0, "a"));
  BOOST_TEST(sequencer.TakeReady() == (Strings{"a", "b", "c"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(pass_once_though_they_come_twice) {
  sequencer.Offer(Event(1, 0, "a"));
  BOOST_TEST((sequencer.Offer(Event(1, 0, "x")) == OfferResult::kDuplicate));
  sequencer.Offer(Event(1, 2, "c"));
  BOOST_TEST((sequencer.Offer(Event(1, 2, "x")) == OfferResult::kDuplicate));
  BOOST_TEST(sequencer.TakeReady().size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_an_earlier_attempt_never_pass) {
  sequencer.Offer(Event(1, 0, "a"));
  sequencer.TakeReady();
  sequencer.Offer(Event(1, 3, "buffered by the first attempt"));
  sequencer.StartAttempt(1, 2, 1);
  BOOST_TEST((sequencer.Offer(Event(1, 1, "late")) == OfferResult::kForeign));
  sequencer.Offer(Event(2, 1, "b"));
  sequencer.Offer(Event(2, 2, "c"));
  sequencer.Offer(Event(2, 3, "d"));
  BOOST_TEST(sequencer.TakeReady() == (Strings{"b", "c", "d"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(that_are_missing_make_no_whole_answer) {
  sequencer.Offer(Event(1, 0, "a"));
  sequencer.Offer(Event(1, 2, "c"));
  BOOST_TEST((CodeOf(sequencer.CheckComplete(std::nullopt)) ==
              ResultCode::kAnswerGap));
  sequencer.StartAttempt(1, 2, 1);
  BOOST_TEST((CodeOf(sequencer.CheckComplete(3)) == ResultCode::kAnswerGap));
}

BOOST_AUTO_TEST_CASE(too_far_ahead_are_dropped_so_that_memory_is_bounded) {
  EventSequencer small({.max_buffered_events = 2, .max_buffered_bytes = 8});
  small.StartAttempt(1, 1, 0);
  small.Offer(Event(1, 1, "b"));
  small.Offer(Event(1, 2, "c"));
  BOOST_TEST((small.Offer(Event(1, 3, "d")) == OfferResult::kOverflowed));
  EventSequencer narrow({.max_buffered_events = 9, .max_buffered_bytes = 3});
  narrow.StartAttempt(1, 1, 0);
  BOOST_TEST((narrow.Offer(Event(1, 1, "long")) == OfferResult::kOverflowed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
