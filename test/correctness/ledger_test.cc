// The points at which a call that may not repeat can fail, one test each: lost
// replies of the store, unreachable holders, broken connections.
#include "oleander/ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A ledger whose actions the test takes and answers one by one.
struct LedgerFixture {
  explicit LedgerFixture(LedgerOptions options = {.self = InstanceId("entry-1"),
                                                  .timing = {},
                                                  .limits = {},
                                                  .mutations = {}},
                         uint64_t seed = 1)
      : ledger(std::move(options), seed) {}

  CallTicket Begin(std::string body = "body", bool status_call = false) {
    LedgerCall call;
    call.workspace = WorkspaceId("bakery");
    call.service = ServiceId("desk");
    call.key = "k1";
    call.method = "POST";
    call.path = "/deposits";
    call.body = std::move(body);
    call.has_status_call = status_call;
    return *ledger.Begin(now, call);
  }

  // Returns the next action, which must be of type T.
  template <typename T>
  T Next() {
    CollectActions();
    BOOST_REQUIRE(!actions.empty());
    BOOST_REQUIRE(std::holds_alternative<T>(actions.front()));
    T action = std::get<T>(actions.front());
    actions.erase(actions.begin());
    return action;
  }
  bool NoActions() {
    CollectActions();
    return actions.empty();
  }
  void CollectActions() {
    for (LedgerAction& action : ledger.TakeActions()) {
      actions.push_back(std::move(action));
    }
  }
  void Store(const StoreOp& op, StoreOutcome outcome, int64_t revision = 0,
             std::optional<StoreRecord> record = std::nullopt) {
    ledger.OnStoreResult(now, op.op,
                         {.outcome = outcome,
                          .record = std::move(record),
                          .revision = revision});
  }
  void Advance(Duration time) {
    now += time;
    ledger.Tick(now);
  }
  ErrorDetails NextError() {
    return DetailsOf(Next<AnswerCall>().answer.status());
  }

  Ledger ledger;
  Time now{};
  std::vector<LedgerAction> actions;
};

const StoredAnswer kAnswer{.http_status = 200,
                           .content_type = "application/json",
                           .body = "{\"run\":1}"};

BOOST_AUTO_TEST_SUITE(a_claim)

BOOST_FIXTURE_TEST_CASE(comes_before_the_dispatch, LedgerFixture) {
  const CallTicket ticket = Begin();
  const auto create = Next<StoreOp>();
  BOOST_TEST((create.kind == StoreOpKind::kCreate));
  BOOST_TEST(NoActions());
  Store(create, StoreOutcome::kDone, 7);
  Next<DispatchOnce>();
  BOOST_TEST(ledger.OnSending(now, ticket));
  ledger.OnDispatchEnded(now, ticket, {.sent = true, .answer = kAnswer});
  BOOST_TEST((Next<AnswerCall>().answer.value() == kAnswer));
  const auto outcome = Next<StoreOp>();
  BOOST_TEST((outcome.kind == StoreOpKind::kReplace));
  BOOST_TEST(outcome.revision == 7);
  Store(outcome, StoreOutcome::kDone, 8);
  BOOST_TEST(ledger.CanExit());
}

BOOST_FIXTURE_TEST_CASE(whose_reply_is_lost_is_read_back, LedgerFixture) {
  Begin();
  const auto create = Next<StoreOp>();
  Store(create, StoreOutcome::kUnknown);
  Advance(milliseconds(200));
  const auto read = Next<StoreOp>();
  BOOST_TEST((read.kind == StoreOpKind::kRead));
  Store(read, StoreOutcome::kDone, 0,
        StoreRecord{.value = create.value, .revision = 7});
  Next<DispatchOnce>();
}

BOOST_FIXTURE_TEST_CASE(that_is_absent_after_a_lost_reply_is_created_again,
                        LedgerFixture) {
  Begin();
  const auto create = Next<StoreOp>();
  Advance(seconds(2));  // The create operation times out.
  Advance(milliseconds(200));
  Store(Next<StoreOp>(), StoreOutcome::kDone);
  const auto again = Next<StoreOp>();
  BOOST_TEST((again.kind == StoreOpKind::kCreate));
  // The first create took effect after all; it names the same attempt.
  BOOST_TEST(again.value == create.value);
  Store(again, StoreOutcome::kConflict, 0,
        StoreRecord{.value = create.value, .revision = 9});
  Next<DispatchOnce>();
}

BOOST_FIXTURE_TEST_CASE(that_the_store_refuses_means_not_run, LedgerFixture) {
  const CallTicket ticket = Begin();
  Store(Next<StoreOp>(), StoreOutcome::kNotDone);
  const ErrorDetails error = NextError();
  BOOST_TEST((error.code == ResultCode::kClaimStoreDown));
  BOOST_TEST((error.ran == Ran::kNo));
  BOOST_TEST(!ledger.OnSending(now, ticket));
  BOOST_TEST(NoActions());
}

BOOST_FIXTURE_TEST_CASE(that_takes_effect_after_the_error_not_run_is_abandoned,
                        LedgerFixture) {
  Begin();
  const auto create = Next<StoreOp>();
  while (actions.empty()) {
    Advance(seconds(2));
    CollectActions();
    // Every read fails until the caller's deadline.
    if (!actions.empty() && std::holds_alternative<StoreOp>(actions.front())) {
      Store(Next<StoreOp>(), StoreOutcome::kUnknown);
    }
  }
  BOOST_TEST((NextError().ran == Ran::kNo));
  // The store is reachable again and returns the claim.
  Advance(seconds(6));
  const auto read = Next<StoreOp>();
  BOOST_TEST((read.kind == StoreOpKind::kRead));
  Store(read, StoreOutcome::kDone, 0,
        StoreRecord{.value = create.value, .revision = 3});
  const auto abandon = Next<StoreOp>();
  BOOST_TEST((abandon.kind == StoreOpKind::kReplace));
  BOOST_TEST(abandon.value.find("abandoned") != std::string::npos);
  Store(abandon, StoreOutcome::kDone, 4);
  BOOST_TEST(NoActions());
  BOOST_TEST(ledger.CanExit());
}

BOOST_FIXTURE_TEST_CASE(of_a_holder_that_was_suspended_is_read_again,
                        LedgerFixture) {
  Begin();
  const auto create = Next<StoreOp>();
  now += seconds(30);  // Suspended while the reply waits in the socket.
  Store(create, StoreOutcome::kDone, 7);
  const auto read = Next<StoreOp>();
  BOOST_TEST((read.kind == StoreOpKind::kRead));
  Store(read, StoreOutcome::kDone, 0,
        StoreRecord{.value = create.value, .revision = 7});
  Next<DispatchOnce>();
}

BOOST_AUTO_TEST_CASE(is_not_read_again_by_the_built_in_fault) {
  LedgerOptions options{.self = InstanceId("entry-1"),
                        .timing = {},
                        .limits = {},
                        .mutations = {}};
  options.mutations.skip_lease_check = true;
  LedgerFixture fixture(options);
  fixture.Begin();
  const auto create = fixture.Next<StoreOp>();
  fixture.now += seconds(30);
  fixture.Store(create, StoreOutcome::kDone, 7);
  fixture.Next<DispatchOnce>();  // The test case above reads the claim here.
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_repeat)

// Returns the claim that the first attempt writes.
StoreRecord ClaimOf(LedgerFixture& first) {
  first.Begin();
  return {.value = first.Next<StoreOp>().value, .revision = 5};
}

struct RepeatFixture : LedgerFixture {
  RepeatFixture()
      : LedgerFixture({.self = InstanceId("entry-2"),
                       .timing = {},
                       .limits = {},
                       .mutations = {}},
                      2) {}
  LedgerFixture first;
};

BOOST_FIXTURE_TEST_CASE(waits_while_the_attempt_of_the_holder_runs,
                        RepeatFixture) {
  const StoreRecord claim = ClaimOf(first);
  Begin();
  Store(Next<StoreOp>(), StoreOutcome::kConflict, 0, claim);
  const auto query = Next<SendLedgerMessage>();
  BOOST_TEST(query.to.value() == "entry-1");
  first.ledger.OnMessage(now, InstanceId("entry-2"), query.message);
  const auto reply = first.Next<SendLedgerMessage>();
  ledger.OnMessage(now, InstanceId("entry-1"), reply.message);
  BOOST_TEST(NoActions());
  Advance(milliseconds(200));
  Next<SendLedgerMessage>();
}

BOOST_FIXTURE_TEST_CASE(takes_over_when_the_holder_abandoned_its_attempt,
                        RepeatFixture) {
  first.Begin();
  const auto create = first.Next<StoreOp>();
  const StoreRecord claim{.value = create.value, .revision = 5};
  first.Store(create, StoreOutcome::kNotDone);
  Begin();
  Store(Next<StoreOp>(), StoreOutcome::kConflict, 0, claim);
  first.ledger.OnMessage(now, InstanceId("entry-2"),
                         Next<SendLedgerMessage>().message);
  first.Next<AnswerCall>();
  ledger.OnMessage(now, InstanceId("entry-1"),
                   first.Next<SendLedgerMessage>().message);
  const auto replace = Next<StoreOp>();
  BOOST_TEST((replace.kind == StoreOpKind::kReplace));
  BOOST_TEST(replace.revision == 5);
  Store(replace, StoreOutcome::kDone, 6);
  Next<DispatchOnce>();
}

BOOST_FIXTURE_TEST_CASE(never_runs_when_the_holder_is_unreachable,
                        RepeatFixture) {
  const StoreRecord claim = ClaimOf(first);
  Begin();
  Store(Next<StoreOp>(), StoreOutcome::kConflict, 0, claim);
  for (int i = 0; i < 5; ++i) {
    Next<SendLedgerMessage>();
    Advance(milliseconds(200));
  }
  const auto read = Next<StoreOp>();
  BOOST_TEST((read.kind == StoreOpKind::kRead));
  Store(read, StoreOutcome::kDone, 0, claim);
  const ErrorDetails error = NextError();
  BOOST_TEST((error.code == ResultCode::kClaimHolderUnknown));
  BOOST_TEST((error.ran == Ran::kUnknown));
  BOOST_TEST(NoActions());
}

BOOST_FIXTURE_TEST_CASE(queries_the_status_call_if_the_service_has_one,
                        RepeatFixture) {
  const StoreRecord claim = ClaimOf(first);
  const CallTicket ticket = Begin("body", /*status_call=*/true);
  Store(Next<StoreOp>(), StoreOutcome::kConflict, 0, claim);
  for (int i = 0; i < 5; ++i) {
    Next<SendLedgerMessage>();
    Advance(milliseconds(200));
  }
  Store(Next<StoreOp>(), StoreOutcome::kDone, 0, claim);
  Next<QueryStatus>();
  // kNotSeen doesn't prove that the call won't run, so it is queried again.
  ledger.OnStatusAnswer(now, ticket, StatusFinding::kNotSeen, std::nullopt);
  BOOST_TEST(NoActions());
  Advance(milliseconds(500));
  Next<QueryStatus>();
  ledger.OnStatusAnswer(now, ticket, StatusFinding::kRan, kAnswer);
  const auto answer = Next<AnswerCall>();
  BOOST_TEST((answer.answer.value() == kAnswer));
  BOOST_TEST(answer.replayed);
}

BOOST_FIXTURE_TEST_CASE(with_another_body_is_an_error, RepeatFixture) {
  const StoreRecord claim = ClaimOf(first);
  Begin("another body");
  Store(Next<StoreOp>(), StoreOutcome::kConflict, 0, claim);
  BOOST_TEST((NextError().code == ResultCode::kKeyReusedWithOtherBody));
  BOOST_TEST(NoActions());
}

BOOST_FIXTURE_TEST_CASE(gets_the_stored_answer, RepeatFixture) {
  const CallTicket ticket = first.Begin();
  first.Store(first.Next<StoreOp>(), StoreOutcome::kDone, 5);
  first.Next<DispatchOnce>();
  first.ledger.OnSending(now, ticket);
  first.ledger.OnDispatchEnded(now, ticket, {.sent = true, .answer = kAnswer});
  first.Next<AnswerCall>();
  const StoreRecord done{.value = first.Next<StoreOp>().value, .revision = 6};
  Begin();
  Store(Next<StoreOp>(), StoreOutcome::kConflict, 0, done);
  const auto answer = Next<AnswerCall>();
  BOOST_TEST((answer.answer.value() == kAnswer));
  BOOST_TEST(answer.replayed);
}

BOOST_AUTO_TEST_CASE(of_another_workspace_or_service_is_another_claim) {
  const std::string key = ClaimStoreKey(WorkspaceId("a"), ServiceId("s"), "k");
  BOOST_TEST(key != ClaimStoreKey(WorkspaceId("b"), ServiceId("s"), "k"));
  BOOST_TEST(key != ClaimStoreKey(WorkspaceId("a"), ServiceId("t"), "k"));
  BOOST_TEST(ClaimStoreKey(WorkspaceId("ab"), ServiceId("c"), "k") !=
             ClaimStoreKey(WorkspaceId("a"), ServiceId("bc"), "k"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_dispatch)

BOOST_FIXTURE_TEST_CASE(that_sent_nothing_means_not_run, LedgerFixture) {
  const CallTicket ticket = Begin();
  Store(Next<StoreOp>(), StoreOutcome::kDone, 7);
  Next<DispatchOnce>();
  ledger.OnDispatchEnded(
      now, ticket,
      {.sent = false, .answer = MakeError(ResultCode::kConnectFailed, "no")});
  BOOST_TEST((NextError().ran == Ran::kNo));
  BOOST_TEST(Next<StoreOp>().value.find("abandoned") != std::string::npos);
  BOOST_TEST(!ledger.OnSending(now, ticket));
}

BOOST_FIXTURE_TEST_CASE(that_broke_off_after_bytes_left_is_unknown,
                        LedgerFixture) {
  const CallTicket ticket = Begin();
  Store(Next<StoreOp>(), StoreOutcome::kDone, 7);
  Next<DispatchOnce>();
  BOOST_TEST(ledger.OnSending(now, ticket));
  // OnSending() allowed the first byte, so `sent = false` doesn't count.
  ledger.OnDispatchEnded(
      now, ticket,
      {.sent = false, .answer = MakeError(ResultCode::kConnectFailed, "no")});
  BOOST_TEST((NextError().ran == Ran::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(is_answered_late_for_the_repeats, LedgerFixture) {
  const CallTicket ticket = Begin();
  Store(Next<StoreOp>(), StoreOutcome::kDone, 7);
  Next<DispatchOnce>();
  BOOST_TEST(ledger.OnSending(now, ticket));
  Advance(seconds(30));
  BOOST_TEST((NextError().ran == Ran::kUnknown));
  ledger.OnDispatchEnded(now, ticket, {.sent = true, .answer = kAnswer});
  const auto outcome = Next<StoreOp>();  // The caller gets no second answer.
  BOOST_TEST(outcome.value.find("\"done\"") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(without_a_key_needs_no_store_and_happens_once,
                        LedgerFixture) {
  LedgerCall call;
  call.workspace = WorkspaceId("bakery");
  call.service = ServiceId("desk");
  const CallTicket ticket = *ledger.Begin(now, call);
  Next<DispatchOnce>();
  BOOST_TEST(ledger.OnSending(now, ticket));
  ledger.OnDispatchEnded(
      now, ticket,
      {.sent = true, .answer = MakeError(ResultCode::kAnswerLost, "cut")});
  BOOST_TEST((NextError().ran == Ran::kUnknown));
  BOOST_TEST(NoActions());
  BOOST_TEST(ledger.CanExit());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
