// The decision after an attempt without an answer, for all cases.
#include "oleander/send_policy.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

CallRoute RouteOf(CallKind kind, bool resumable = false, int attempts = 2) {
  CallRoute route;
  route.kind = kind;
  route.resumable = resumable;
  route.max_attempts = attempts;
  return route;
}

SendHistory After(SendOutcome last, int may_have_run, int not_run) {
  SendHistory history;
  history.last = last;
  history.may_have_run = may_have_run;
  history.not_run = not_run;
  history.time_left = std::chrono::seconds(1);
  return history;
}

SendDecision Decide(const CallRoute& route, const SendHistory& history) {
  return DecideAfterAttempt({}, route, history);
}

BOOST_AUTO_TEST_SUITE(send_policy)

BOOST_AUTO_TEST_SUITE(a_call_that_may_run_once)

BOOST_AUTO_TEST_CASE(goes_on_only_where_it_is_known_not_to_have_run) {
  for (const CallRoute& route :
       {RouteOf(CallKind::kOnce), RouteOf(CallKind::kStream)}) {
    BOOST_TEST((Decide(route, After(SendOutcome::kNotSent, 0, 1)) ==
                SendDecision::kTryNext));
    BOOST_TEST((Decide(route, After(SendOutcome::kNotRun, 0, 1)) ==
                SendDecision::kTryNext));
    BOOST_TEST((Decide(route, After(SendOutcome::kLost, 1, 0)) ==
                SendDecision::kUnknown));
    BOOST_TEST((Decide(route, After(SendOutcome::kServerFailed, 1, 0)) ==
                SendDecision::kForwardFailure));
  }
}

BOOST_AUTO_TEST_CASE(is_never_called_not_run_after_it_may_have) {
  SendHistory history = After(SendOutcome::kNotRun, 1, 1);
  BOOST_TEST(
      (Decide(RouteOf(CallKind::kOnce), history) == SendDecision::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_call_that_may_repeat)

BOOST_AUTO_TEST_CASE(runs_on_as_many_servers_as_its_route_allows) {
  for (const CallRoute& route :
       {RouteOf(CallKind::kRepeatable), RouteOf(CallKind::kStream, true)}) {
    BOOST_TEST((Decide(route, After(SendOutcome::kLost, 1, 0)) ==
                SendDecision::kTryNext));
    BOOST_TEST((Decide(route, After(SendOutcome::kServerFailed, 1, 0)) ==
                SendDecision::kTryNext));
    BOOST_TEST((Decide(route, After(SendOutcome::kLost, 2, 0)) ==
                SendDecision::kUnknown));
    BOOST_TEST((Decide(route, After(SendOutcome::kServerFailed, 2, 0)) ==
                SendDecision::kForwardFailure));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(without_time_budget_or_server_nothing_is_tried) {
  const CallRoute route = RouteOf(CallKind::kRepeatable);
  SendHistory history = After(SendOutcome::kNotRun, 0, 1);
  history.time_left = std::chrono::milliseconds(1);
  BOOST_TEST((Decide(route, history) == SendDecision::kRefuse));
  history = After(SendOutcome::kNotRun, 0, 1);
  history.budget_left = false;
  BOOST_TEST((Decide(route, history) == SendDecision::kRefuse));
  history = After(SendOutcome::kLost, 1, 0);
  history.server_left = false;
  BOOST_TEST((Decide(route, history) == SendDecision::kUnknown));
  BOOST_TEST((Decide(route, After(SendOutcome::kNotRun, 0, 3)) ==
              SendDecision::kRefuse));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
