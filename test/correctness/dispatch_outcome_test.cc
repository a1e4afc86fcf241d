// The outcome that the request table receives when an engine call ends.
#include <boost/test/unit_test.hpp>

#include "node/dispatcher.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

io::CompletionEnd Ended(int64_t completion_tokens) {
  io::CompletionEnd end;
  end.finish_reason = "stop";
  end.usage = io::EngineUsage{};
  end.usage->completion_tokens = completion_tokens;
  return end;
}

BOOST_AUTO_TEST_SUITE(the_end_of_an_engine_call)

// An engine that resumes from event 30 counts only the 10 tokens of its own
// call.
BOOST_AUTO_TEST_CASE(counts_the_events_of_the_whole_answer) {
  BOOST_TEST(OutcomeOf(Ended(40), 0).total_events.value() == 40U);
  BOOST_TEST(OutcomeOf(Ended(10), 30).total_events.value() == 40U);
}

BOOST_AUTO_TEST_CASE(has_no_event_count_if_the_engine_reports_none) {
  BOOST_TEST(!OutcomeOf(Ended(0), 30).total_events.has_value());
  io::CompletionEnd failed = Ended(3);
  failed.status = MakeError(ResultCode::kServerFailed, "It failed.");
  BOOST_TEST(!OutcomeOf(failed, 0).total_events.has_value());
  BOOST_TEST(OutcomeOf(failed, 0).retryable);
}

BOOST_AUTO_TEST_CASE(is_final_if_the_engine_rejects_the_call_as_malformed) {
  io::CompletionEnd end;
  end.status = MakeError(ResultCode::kMalformedRequest, "HTTP status 400.");
  end.sent = true;
  BOOST_TEST(!OutcomeOf(end, /*resume_from=*/0).retryable);
  // Another engine may be able to resume an answer that this one rejects.
  BOOST_TEST(OutcomeOf(end, /*resume_from=*/3).retryable);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::node
