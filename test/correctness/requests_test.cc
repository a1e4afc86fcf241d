// Tests RequestTable step by step, from the acceptance of a request to its end.
#include "oleander/requests.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Strings = std::vector<std::string>;

InstanceInfo Info(const std::string& id, const std::string& domain) {
  return {.id = InstanceId(id),
          .location = {.region = RegionId("r"), .domain = DomainId(domain)},
          .address = "127.0.0.1",
          .http_port = 0,
          .mesh_port = 0};
}

RequestSpec Spec() {
  RequestSpec spec;
  spec.service = ServiceId("model");
  spec.profile = ProfileName("tortared");
  spec.body = "{}";
  spec.max_tokens = 4;
  return spec;
}

// Three instances in two domains. Messages are queued until DeliverMessages.
struct Region {
  Region() {
    for (const auto& [id, domain] :
         std::vector<std::pair<std::string, std::string>>{
             {"a", "d1"}, {"b", "d2"}, {"c", "d2"}}) {
      infos.push_back(Info(id, domain));
    }
    for (const InstanceInfo& info : infos) {
      RequestTableOptions options;
      options.self = info;
      options.limits = limits;
      tables.emplace(info.id, RequestTable(options, tables.size() + 1));
    }
    SetPeerViews({});
  }

  // Gives every table the view in which the instances in `down` are dead.
  void SetPeerViews(const std::vector<std::string>& down) {
    std::vector<PeerView> peers;
    for (const InstanceInfo& info : infos) {
      const bool alive = std::ranges::find(down, info.id.value()) == down.end();
      peers.push_back({.info = info, .alive = alive, .leaving = false});
    }
    for (auto& [id, table] : tables) {
      table.SetPeers(now, peers);
    }
  }

  RequestTable& At(const std::string& id) { return tables.at(InstanceId(id)); }

  // Delivers messages until none are left, and drops those from and to the
  // instances in `silent`.
  void DeliverMessages(const std::vector<std::string>& silent = {}) {
    const auto is_silent = [&](const InstanceId& id) {
      return std::ranges::find(silent, id.value()) != silent.end();
    };
    for (bool moved = true; moved;) {
      moved = false;
      for (auto& [id, table] : tables) {
        for (RequestAction& action : table.TakeActions()) {
          auto* send = std::get_if<SendRequestMessage>(&action);
          if (send == nullptr) {
            actions[id].push_back(std::move(action));
            continue;
          }
          moved = true;
          ++messages;
          if (!is_silent(id) && !is_silent(send->to)) {
            tables.at(send->to).OnMessage(now, id, send->message);
          }
        }
      }
    }
  }
  void Advance(Duration time, const std::vector<std::string>& silent = {}) {
    now += time;
    for (auto& [id, table] : tables) {
      if (std::ranges::find(silent, id.value()) == silent.end()) {
        table.Tick(now);
      }
    }
    DeliverMessages(silent);
  }

  template <typename T>
  std::vector<T> TakeAll(const std::string& id) {
    std::vector<T> found;
    std::erase_if(actions[InstanceId(id)], [&](RequestAction& action) {
      if (!std::holds_alternative<T>(action)) {
        return false;
      }
      found.push_back(std::get<T>(action));
      return true;
    });
    return found;
  }
  // Takes the action of type T, of which there must be exactly one.
  template <typename T>
  T TakeOne(const std::string& id) {
    std::vector<T> found = TakeAll<T>(id);
    BOOST_REQUIRE(found.size() == 1U);
    return found.front();
  }
  std::string HolderOf(const RequestId& id) {
    for (auto& [instance, table] : tables) {
      if (instance.value() != "a" && table.Query(id).has_value()) {
        return instance.value();
      }
    }
    return "";
  }

  RequestLimits limits;
  Time now{};
  std::vector<InstanceInfo> infos;
  std::map<InstanceId, RequestTable> tables;
  std::map<InstanceId, std::vector<RequestAction>> actions;
  int messages = 0;
};

BOOST_FIXTURE_TEST_SUITE(a_request, Region)

BOOST_AUTO_TEST_CASE(is_accepted_when_another_domain_holds_it) {
  const RequestId id = *At("a").Accept(now, Spec());
  BOOST_TEST(At("a").counts().accepted == 0U);
  DeliverMessages();
  const auto accepted = TakeOne<RequestAccepted>("a");
  BOOST_TEST(accepted.other_domain);
  BOOST_TEST(HolderOf(id) == accepted.replica.value());
  BOOST_TEST(messages == 2);  // HoldRequest and HoldReply.
}

BOOST_AUTO_TEST_CASE(is_refused_as_not_run_if_no_instance_can_hold_it) {
  SetPeerViews({"b", "c"});
  const absl::StatusOr<RequestId> id = At("a").Accept(now, Spec());
  BOOST_TEST((CodeOf(id.status()) == ResultCode::kNoReplica));
  BOOST_TEST((DetailsOf(id.status()).ran == Ran::kNo));
}

BOOST_AUTO_TEST_CASE(is_refused_with_unknown_if_a_copy_may_be_held) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages({"b", "c"});
  for (int i = 0; i < 3; ++i) {
    Advance(milliseconds(150), {"b", "c"});
  }
  const auto refused = TakeOne<RequestRefused>("a");
  BOOST_TEST((refused.id == id));
  BOOST_TEST((DetailsOf(refused.status).ran == Ran::kUnknown));
  TakeOne<CancelAttempt>("a");
}

BOOST_AUTO_TEST_CASE(shows_its_events_once_the_replica_holds_them) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  At("a").Follow(now, id, 0, FollowMode::kStream);
  now += milliseconds(50);
  At("a").OnTokens(now, key, 0, Strings{"x", "y"});
  auto sent = At("a").TakeActions();
  BOOST_REQUIRE(sent.size() == 1U);  // Only to the replica.
  const auto& progress = std::get<SendRequestMessage>(sent.front());
  tables.at(progress.to).OnMessage(now, InstanceId("a"), progress.message);
  DeliverMessages();
  BOOST_TEST(TakeOne<DeliverEvents>("a").events == (Strings{"x", "y"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(shows_its_events_after_a_bound_if_the_replica_is_silent) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  At("a").Follow(now, id, 0, FollowMode::kStream);
  now += milliseconds(50);
  At("a").OnTokens(now, key, 0, Strings{"x"});
  DeliverMessages({"b", "c"});
  BOOST_TEST(TakeAll<DeliverEvents>("a").empty());
  Advance(milliseconds(100), {"b", "c"});
  BOOST_TEST(TakeOne<DeliverEvents>("a").events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_adopted_at_once_when_its_home_is_lost) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  now += milliseconds(50);
  At("a").OnTokens(now, key, 0, Strings{"x", "y"});
  DeliverMessages();
  const std::string replica = HolderOf(id);
  const std::string other = replica == "b" ? "c" : "b";
  SetPeerViews({"a"});
  DeliverMessages({"a"});
  const auto dispatch = TakeOne<DispatchAttempt>(replica);
  BOOST_TEST(dispatch.key.epoch == 2U);
  BOOST_TEST(dispatch.resume_from == 2U);
  BOOST_TEST(dispatch.resume_text == "xy");
  // A second instance holds the request again, so a second loss is survived.
  SetPeerViews({"a", replica});
  DeliverMessages({"a", replica});
  BOOST_TEST(TakeOne<DispatchAttempt>(other).resume_from == 2U);
}

BOOST_AUTO_TEST_CASE(moves_with_its_reader_when_its_home_leaves) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  At("a").Follow(now, id, 0, FollowMode::kStream);
  now += milliseconds(50);
  At("a").OnTokens(now, key, 0, Strings{"x"});
  DeliverMessages();
  const std::string replica = HolderOf(id);
  At("a").Drain(now, /*handover=*/true);
  BOOST_TEST(!At("a").CanExit());
  DeliverMessages();
  const auto moved = TakeOne<FollowerMoved>("a");
  BOOST_TEST(moved.to.value() == replica);
  BOOST_TEST(moved.next == 1U);
  BOOST_TEST(TakeOne<DispatchAttempt>(replica).resume_from == 1U);
  BOOST_TEST(At("a").CanExit());
  BOOST_TEST(
      (CodeOf(At("a").Accept(now, Spec()).status()) == ResultCode::kDraining));
}

BOOST_AUTO_TEST_CASE(stays_until_its_end_in_a_graceful_stop) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  At("a").Follow(now, id, 0, FollowMode::kStream);
  At("a").Drain(now, /*handover=*/false);
  DeliverMessages();
  BOOST_TEST(!At("a").CanExit());
  now += milliseconds(50);
  At("a").OnTokens(now, key, 0, Strings{"w", "x", "y", "z"});
  At("a").OnAttemptEnded(
      now, key,
      {.status = absl::OkStatus(), .finish_reason = "stop", .total_events = 4});
  DeliverMessages();
  Advance(milliseconds(20));
  BOOST_TEST(TakeOne<FollowerEnded>("a").end.status.ok());
  BOOST_TEST(At("a").CanExit());
  // The answer can still be read.
  At("c").Follow(now, id, 2, FollowMode::kStream);
  DeliverMessages();
  Strings received;
  for (const DeliverEvents& delivered : TakeAll<DeliverEvents>("c")) {
    received.insert(received.end(), delivered.events.begin(),
                    delivered.events.end());
  }
  BOOST_TEST(received == (Strings{"y", "z"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(resumes_on_another_server_when_it_stalls) {
  At("a").Accept(now, Spec()).value();
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  At("a").OnAttemptStarted(now, key, ServerId("s1"));
  At("a").OnTokens(now, key, 0, Strings{"x"});
  DeliverMessages();
  Advance(Spec().stall_bound);
  TakeOne<CancelAttempt>("a");
  const auto again = TakeOne<DispatchAttempt>("a");
  BOOST_TEST(again.resume_from == 1U);
  BOOST_TEST((again.avoid == std::vector<ServerId>{ServerId("s1")}));
}

BOOST_AUTO_TEST_CASE(with_a_gap_in_its_events_is_resumed) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  At("a").OnAttemptStarted(now, key, ServerId("s1"));
  At("a").OnTokens(now, key, 0, Strings{"w"});
  At("a").OnTokens(now, key, 2, Strings{"y", "z"});
  At("a").OnAttemptEnded(
      now, key,
      {.status = absl::OkStatus(), .finish_reason = "stop", .total_events = 4});
  DeliverMessages();
  BOOST_TEST(TakeOne<DispatchAttempt>("a").resume_from == 1U);
  BOOST_TEST((At("a").Query(id)->state == RequestState::kRunning));
}

// Ends attempts of the request until it is given up: the first with `first`,
// the others without a connection. Returns whether the request is said to have
// run.
Ran RanAfter(Region& region, const absl::Status& first) {
  const RequestId id = *region.At("a").Accept(region.now, Spec());
  region.DeliverMessages();
  absl::Status status = first;
  while (!region.At("a").Query(id)->end.has_value()) {
    for (const auto& dispatch : region.TakeAll<DispatchAttempt>("a")) {
      region.At("a").OnAttemptStarted(region.now, dispatch.key, ServerId("s"));
      region.At("a").OnAttemptEnded(region.now, dispatch.key,
                                    {.status = status,
                                     .finish_reason = "",
                                     .total_events = {},
                                     .retryable = true});
      status = MakeError(ResultCode::kConnectFailed, "No connection.");
    }
    region.Advance(seconds(2));
  }
  const absl::Status end = region.At("a").Query(id)->end->status;
  BOOST_TEST((CodeOf(end) == ResultCode::kConnectFailed));
  return DetailsOf(end).ran;
}

BOOST_AUTO_TEST_CASE(is_not_called_not_run_after_an_attempt_that_may_have_run) {
  const absl::Status lost = MakeError(ResultCode::kAnswerLost, "Lost.");
  BOOST_TEST((RanAfter(*this, lost) == Ran::kUnknown));
}

BOOST_AUTO_TEST_CASE(is_called_not_run_if_no_attempt_was_sent) {
  const absl::Status unsent =
      MakeError(ResultCode::kConnectFailed, "No connection.");
  BOOST_TEST((RanAfter(*this, unsent) == Ran::kNo));
}

BOOST_AUTO_TEST_CASE(is_not_called_not_run_if_another_instance_had_started_it) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const std::string replica = HolderOf(id);
  SetPeerViews({"a"});
  DeliverMessages({"a"});
  while (!At(replica).Query(id)->end.has_value()) {
    for (const auto& dispatch : TakeAll<DispatchAttempt>(replica)) {
      At(replica).OnAttemptEnded(
          now, dispatch.key,
          {.status = MakeError(ResultCode::kConnectFailed, "No connection."),
           .finish_reason = "",
           .total_events = {},
           .retryable = true});
    }
    Advance(seconds(2), {"a"});
  }
  BOOST_TEST(
      (DetailsOf(At(replica).Query(id)->end->status).ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_CASE(can_be_read_and_cancelled_on_any_instance) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  const std::string replica = HolderOf(id);
  const std::string other = replica == "b" ? "c" : "b";
  now += milliseconds(50);
  At("a").OnTokens(now, key, 0, Strings{"x"});
  DeliverMessages();
  At(other).Follow(now, id, 0, FollowMode::kSnapshot);
  DeliverMessages();
  BOOST_TEST(TakeOne<SnapshotReady>(other).view->text == "x");
  At(other).Cancel(now, id);
  DeliverMessages();
  BOOST_TEST(
      (TakeOne<SnapshotReady>(other).view->state == RequestState::kCancelled));
  TakeOne<CancelAttempt>("a");
}

BOOST_AUTO_TEST_CASE(is_done_on_other_instances_only_with_its_whole_answer) {
  const RequestId id = *At("a").Accept(now, Spec());
  DeliverMessages();
  const std::string replica = TakeOne<RequestAccepted>("a").replica.value();
  const std::string reader = replica == "b" ? "c" : "b";
  const AttemptKey key = TakeOne<DispatchAttempt>("a").key;
  now += milliseconds(50);
  At("a").OnTokens(now, key, 0, Strings{"x", "y", "z"});
  DeliverMessages();
  // The replica has not confirmed the last event when the attempt ends.
  At("a").OnTokens(now, key, 3, Strings{"w"});
  At("a").OnAttemptEnded(now, key,
                         {.status = absl::OkStatus(),
                          .finish_reason = "length",
                          .total_events = 4,
                          .retryable = false});
  DeliverMessages({replica});
  At(reader).Follow(now, id, 0, FollowMode::kSnapshot);
  DeliverMessages({replica});
  const RequestView early = *TakeOne<SnapshotReady>(reader).view;
  BOOST_TEST(early.text == "xyz");
  BOOST_TEST((early.state == RequestState::kRunning));
  BOOST_TEST(!early.end.has_value());
  Advance(milliseconds(200), {replica});
  At(reader).Follow(now, id, 0, FollowMode::kSnapshot);
  DeliverMessages({replica});
  const RequestView late = *TakeOne<SnapshotReady>(reader).view;
  BOOST_TEST(late.text == "xyzw");
  BOOST_TEST((late.state == RequestState::kDone));
}

BOOST_AUTO_TEST_CASE(with_an_unknown_id_is_an_error) {
  At("a").Follow(now, RequestId("x~y~0123456789abcdef"), 0,
                 FollowMode::kStream);
  DeliverMessages();
  Advance(seconds(1));
  BOOST_TEST((CodeOf(TakeOne<FollowerEnded>("a").end.status) ==
              ResultCode::kUnknownRequest));
}

BOOST_AUTO_TEST_CASE(ends_at_its_deadline) {
  RequestSpec spec = Spec();
  spec.deadline = seconds(2);
  const RequestId id = *At("a").Accept(now, spec);
  DeliverMessages();
  Advance(seconds(2));
  TakeOne<CancelAttempt>("a");
  BOOST_TEST(
      (CodeOf(At("a").Query(id)->end->status) == ResultCode::kDeadlinePassed));
}

BOOST_AUTO_TEST_CASE(is_retained_for_a_bounded_time_and_frees_its_memory) {
  RequestSpec spec = Spec();
  spec.answer_retention = seconds(30);
  const RequestId id = *At("a").Accept(now, spec);
  DeliverMessages();
  At("a").Cancel(now, id);
  DeliverMessages();
  Advance(milliseconds(20));
  BOOST_TEST(At("a").Query(id).has_value());
  Advance(seconds(31));
  for (auto& [instance, table] : tables) {
    BOOST_TEST(table.gauges().bytes == 0);
    BOOST_TEST(!table.Query(id).has_value());
  }
  At("a").Follow(now, id, 0, FollowMode::kStream);
  DeliverMessages();
  BOOST_TEST((CodeOf(TakeOne<FollowerEnded>("a").end.status) ==
              ResultCode::kRequestGone));
}

BOOST_AUTO_TEST_CASE(is_refused_before_memory_runs_out) {
  RequestSpec spec = Spec();
  spec.max_requests = 2;
  BOOST_TEST(At("a").Accept(now, spec).ok());
  BOOST_TEST(At("a").Accept(now, spec).ok());
  const absl::Status third = At("a").Accept(now, spec).status();
  BOOST_TEST((CodeOf(third) == ResultCode::kMemoryFull));
  BOOST_TEST((DetailsOf(third).ran == Ran::kNo));
  spec.profile = ProfileName("large");
  spec.max_requests = 0;
  spec.max_bytes = 10'000;
  spec.body = std::string(20'000, 'x');
  BOOST_TEST(
      (CodeOf(At("a").Accept(now, spec).status()) == ResultCode::kMemoryFull));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
