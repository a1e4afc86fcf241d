// Admission: which requests are admitted, queued or refused, and the retry
// times of refusals.
#include "oleander/admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
const ServiceId kService("model");

struct Fixture {
  Admission admission{{.initial_limit = 4, .min_limit = 4}};
  AdmissionId next = 0;
  Time now = kStart;

  AdmissionQuery Query(const std::string& workspace) {
    AdmissionQuery query;
    query.id = ++next;
    query.service = kService;
    query.workspace = WorkspaceId(workspace);
    query.cost_tokens = 100;
    query.first_token_target = seconds(60);
    return query;
  }
  AdmissionKind Offer(const std::string& workspace) {
    return admission.Offer(now, Query(workspace)).kind;
  }
  // Fills the limit with requests of one workspace; their ids are 1 to 4.
  void Fill(const std::string& workspace) {
    for (int i = 0; i < 4; ++i) Offer(workspace);
  }
};

BOOST_FIXTURE_TEST_SUITE(admission, Fixture)

BOOST_AUTO_TEST_SUITE(below_the_limit)

BOOST_AUTO_TEST_CASE(requests_go_at_once) {
  BOOST_TEST((Offer("a") == AdmissionKind::kAdmit));
  BOOST_TEST(admission.in_flight(kService) == 1);
}

BOOST_AUTO_TEST_CASE(one_whose_deadline_the_engine_cannot_meet_is_refused) {
  AdmissionQuery query = Query("a");
  query.deadline = now + seconds(1);
  query.expected_first_token = seconds(2);
  const AdmissionDecision decision = admission.Offer(now, query);
  BOOST_TEST((decision.kind == AdmissionKind::kRefuse));
  const ErrorDetails details = DetailsOf(decision.status);
  BOOST_TEST((details.code == ResultCode::kDeadlineUnreachable));
  BOOST_TEST((details.ran == Ran::kNo));
  BOOST_TEST((details.retry_after >= seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_workspace_at_its_own_limit_is_refused) {
  AdmissionQuery query = Query("a");
  query.max_in_flight = 1;
  BOOST_TEST((admission.Offer(now, query).kind == AdmissionKind::kAdmit));
  query.id = ++next;
  const AdmissionDecision decision = admission.Offer(now, query);
  BOOST_TEST((CodeOf(decision.status) == ResultCode::kWorkspaceOverShare));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_the_limit)

BOOST_AUTO_TEST_CASE(a_request_waits_and_goes_when_another_ends) {
  Fill("a");
  BOOST_TEST((Offer("a") == AdmissionKind::kQueue));
  BOOST_TEST(admission.Tick(now).empty());
  now += seconds(1);
  admission.OnFinished(now, 1);
  const auto released = admission.Tick(now);
  BOOST_REQUIRE(released.size() == 1U);
  BOOST_TEST(released[0].id == 5U);
  BOOST_TEST(released[0].status.ok());
}

BOOST_AUTO_TEST_CASE(interactive_work_goes_before_reviews) {
  Fill("a");
  AdmissionQuery review = Query("a");
  review.priority = Priority::kBatch;
  admission.Offer(now, review);
  AdmissionQuery chat = Query("a");
  chat.priority = Priority::kInteractive;
  admission.Offer(now, chat);
  admission.OnFinished(now, 1);
  BOOST_TEST(admission.Tick(now).at(0).id == chat.id);
}

BOOST_AUTO_TEST_CASE(but_a_review_that_waited_long_goes_first) {
  Fill("a");
  AdmissionQuery review = Query("a");
  review.priority = Priority::kBatch;
  review.first_token_target = Duration::zero();
  admission.Offer(now, review);
  now += seconds(61);
  AdmissionQuery chat = Query("a");
  chat.priority = Priority::kInteractive;
  admission.Offer(now, chat);
  admission.OnFinished(now, 1);
  BOOST_TEST(admission.Tick(now).at(0).id == review.id);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_request_leaves_the_queue) {
  Fill("a");
  Offer("a");
  admission.OnFinished(now, 5);
  BOOST_TEST(admission.queued(kService) == 0);
  admission.OnFinished(now, 1);
  BOOST_TEST(admission.Tick(now).empty());
}

BOOST_AUTO_TEST_CASE(a_deadline_out_of_reach_ends_the_wait_with_an_answer) {
  Fill("a");
  AdmissionQuery query = Query("a");
  query.deadline = now + seconds(30);
  BOOST_TEST((admission.Offer(now, query).kind == AdmissionKind::kQueue));
  now += seconds(31);
  const auto released = admission.Tick(now);
  BOOST_REQUIRE(released.size() == 1U);
  BOOST_TEST((CodeOf(released[0].status) == ResultCode::kDeadlineUnreachable));
  BOOST_TEST((DetailsOf(released[0].status).ran == Ran::kNo));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_one_workspace_s_rush)

BOOST_AUTO_TEST_CASE(its_excess_is_refused_at_once_with_retry_times) {
  Duration last{};
  int refused = 0;
  for (int i = 0; i < 200; ++i) {
    AdmissionQuery query = Query("rush");
    query.first_token_target = milliseconds(1500);
    const AdmissionDecision decision = admission.Offer(now, query);
    if (decision.kind != AdmissionKind::kRefuse) continue;
    ++refused;
    const Duration retry = *DetailsOf(decision.status).retry_after;
    BOOST_TEST((retry >= last));  // Staggered, not all at the same time.
    last = retry;
  }
  BOOST_TEST(refused > 150);
  BOOST_TEST((last > seconds(10)));
}

BOOST_AUTO_TEST_CASE(another_workspace_is_served_and_never_refused) {
  int refused = 0;
  for (int second = 0; second < 30; ++second) {
    for (int i = 0; i < 40; ++i) {
      AdmissionQuery query = Query("rush");
      query.first_token_target = milliseconds(1500);
      admission.Offer(now, query);
    }
    AdmissionQuery query = Query("quiet");
    query.first_token_target = milliseconds(1500);
    if (admission.Offer(now, query).kind == AdmissionKind::kRefuse) ++refused;
    now += seconds(1);
    for (AdmissionId id = 1; id <= next; ++id) admission.OnFinished(now, id);
    admission.Tick(now);
  }
  BOOST_TEST(refused == 0);
  BOOST_TEST(admission.fairness_violations() == 0U);
}

BOOST_AUTO_TEST_CASE(and_its_requests_alternate_with_the_rush) {
  Fill("rush");
  for (int i = 0; i < 5; ++i) Offer("rush");
  AdmissionQuery quiet = Query("quiet");
  admission.Offer(now, quiet);
  for (AdmissionId id = 1; id <= 2; ++id) admission.OnFinished(now, id);
  const auto released = admission.Tick(now);
  BOOST_TEST(std::ranges::count(released, quiet.id, &AdmissionRelease::id) ==
             1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_limit)

void RunWindow(Fixture& fixture, Duration first_token) {
  for (int i = 0; i < 40; ++i) {
    AdmissionQuery query = fixture.Query("a");
    query.first_token_target = milliseconds(1000);
    fixture.admission.Offer(fixture.now, query);
    if (i % 4 != 3) continue;
    const Time then = fixture.now + first_token;
    for (AdmissionId id = fixture.next - 3; id <= fixture.next; ++id) {
      fixture.admission.OnFirstToken(then, id);
      fixture.admission.OnFinished(then, id);
    }
    fixture.now = then;
  }
  fixture.admission.Tick(fixture.now + seconds(1));
}

BOOST_AUTO_TEST_CASE(rises_while_full_and_quick) {
  RunWindow(*this, milliseconds(100));
  BOOST_TEST(admission.limit(kService) == 5);
}

BOOST_AUTO_TEST_CASE(
    falls_when_first_tokens_come_late_but_not_below_its_floor) {
  for (int i = 0; i < 6; ++i) RunWindow(*this, milliseconds(100));
  const int high = admission.limit(kService);
  RunWindow(*this, milliseconds(900));
  BOOST_TEST(admission.limit(kService) < high);
  for (int i = 0; i < 20; ++i) RunWindow(*this, milliseconds(900));
  BOOST_TEST(admission.limit(kService) == 4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
