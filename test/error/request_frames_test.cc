// Checks that messages about requests and claims are encoded and decoded
// without loss, and that invalid frames are refused with kMeshBadFrame.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "io/ledger_codec.h"
#include "io/request_codec.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

RequestMessage Hold() {
  auto spec = std::make_shared<RequestSpec>();
  spec->service = ServiceId("model");
  spec->profile = ProfileName("p");
  spec->workspace = WorkspaceId("w");
  spec->priority = Priority::kBatch;
  spec->body = std::string("{\0\xff}", 4);
  spec->max_tokens = 12;
  spec->deadline = std::chrono::seconds(9);
  spec->replica = ReplicaRule::kNone;
  spec->on_disconnect = OnDisconnect::kCancel;
  spec->max_requests = 3;
  HoldRequest hold{
      .spec = spec,
      .remaining = std::chrono::seconds(7),
      .events = {"x", ""},
      .end = RequestEnd{.status = MakeError(ResultCode::kAnswerGap, "A gap."),
                        .finish_reason = "stop"},
      .adopted_events = 1};
  return {.id = RequestId("a~b~0123456789abcdef"),
          .ownership = {.epoch = 3, .home = InstanceId("a")},
          .replica_number = 4,
          .run_id = 5,
          .body = std::move(hold)};
}

bool IsRefused(const mesh::RequestMessage& frame) {
  return CodeOf(DecodeRequestMessage(frame).status()) ==
         ResultCode::kMeshBadFrame;
}

BOOST_AUTO_TEST_SUITE(a_frame)

BOOST_AUTO_TEST_CASE(carries_a_hold_unchanged) {
  std::string wire;
  BOOST_REQUIRE(EncodeRequestMessage(Hold()).SerializeToString(&wire));
  mesh::RequestMessage frame;
  BOOST_REQUIRE(frame.ParseFromString(wire));
  const RequestMessage message = *DecodeRequestMessage(frame);
  const RequestMessage sent = Hold();
  BOOST_TEST((message.ownership == sent.ownership));
  BOOST_TEST(message.replica_number == 4U);
  BOOST_TEST(message.run_id == 5U);
  const auto& hold = std::get<HoldRequest>(message.body);
  const auto& before = std::get<HoldRequest>(sent.body);
  BOOST_TEST(hold.spec->body == before.spec->body);
  BOOST_TEST((hold.spec->priority == Priority::kBatch));
  BOOST_TEST((hold.spec->replica == ReplicaRule::kNone));
  BOOST_TEST((hold.spec->deadline == before.spec->deadline));
  BOOST_TEST((hold.remaining == before.remaining));
  BOOST_TEST(hold.events == before.events, boost::test_tools::per_element());
  BOOST_TEST((CodeOf(hold.end->status) == ResultCode::kAnswerGap));
  BOOST_TEST((DetailsOf(hold.end->status).ran == Ran::kYes));
  BOOST_TEST(hold.adopted_events == 1U);
}

BOOST_AUTO_TEST_CASE(carries_every_kind_of_body) {
  const std::vector<RequestMessageBody> bodies = {
      HoldReply{},
      Progress{.first_index = 2, .events = {"x"}, .end = {}},
      ProgressReply{.next = 3, .end_held = true},
      Promote{.first_index = 1, .events = {"y"}, .end = {}},
      Adopted{.adopted_events = 4},
      Release{},
      NotHeld{},
      ReplicaLeaving{},
      FollowRequest{.follower = 1, .from = 2, .mode = FollowMode::kCancel},
      FollowEvents{.follower = 1,
                   .first_index = 2,
                   .events = {"z"},
                   .state = RequestState::kDone,
                   .end = {}},
      FollowRedirect{.follower = 1, .holder = InstanceId("c"), .removed = true},
      StopFollowing{.follower = 9},
      Beacon{},
      BeaconReply{}};
  for (const RequestMessageBody& body : bodies) {
    RequestMessage message = Hold();
    message.body = body;
    const mesh::RequestMessage frame = EncodeRequestMessage(message);
    const absl::StatusOr<RequestMessage> decoded = DecodeRequestMessage(frame);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded->body.index() == body.index());
    BOOST_TEST(EncodeRequestMessage(*decoded).SerializeAsString() ==
               frame.SerializeAsString());
  }
}

BOOST_AUTO_TEST_CASE(without_an_id_or_body_is_refused) {
  mesh::RequestMessage frame = EncodeRequestMessage(Hold());
  frame.clear_id();
  BOOST_TEST(IsRefused(frame));
  frame = EncodeRequestMessage(Hold());
  frame.clear_body();
  BOOST_TEST(IsRefused(frame));
}

BOOST_AUTO_TEST_CASE(with_a_number_out_of_range_is_refused) {
  const auto refused = [](auto&& spoil) {
    mesh::RequestMessage frame = EncodeRequestMessage(Hold());
    spoil(*frame.mutable_hold());
    return IsRefused(frame);
  };
  BOOST_TEST(refused([](auto& hold) { hold.set_remaining_us(-1); }));
  BOOST_TEST(refused([](auto& h) { h.mutable_spec()->set_priority(3); }));
  BOOST_TEST(refused([](auto& h) { h.mutable_spec()->set_replica_rule(3); }));
  BOOST_TEST(refused([](auto& h) { h.mutable_spec()->set_max_tokens(-1); }));
  BOOST_TEST(refused([](auto& h) { h.mutable_spec()->clear_service(); }));
  BOOST_TEST(refused(
      [](auto& h) { h.mutable_end()->mutable_status()->set_code(77); }));
  BOOST_TEST(
      refused([](auto& h) { h.mutable_end()->mutable_status()->set_ran(3); }));
  mesh::RequestMessage frame = EncodeRequestMessage(Hold());
  frame.mutable_follow()->set_mode(7);
  BOOST_TEST(IsRefused(frame));
}

BOOST_AUTO_TEST_CASE(about_a_claim_is_checked) {
  const LedgerReply reply{
      .store_key = "k",
      .attempt = "a",
      .state = AttemptState::kAnswered,
      .answer = StoredAnswer{
          .http_status = 200, .content_type = "t", .body = "\xff"}};
  const mesh::LedgerMessage frame = EncodeLedgerMessage(reply);
  const auto decoded = std::get<LedgerReply>(*DecodeLedgerMessage(frame));
  BOOST_TEST((decoded.answer == reply.answer));
  BOOST_TEST((decoded.state == reply.state));
  const auto refused = [](const mesh::LedgerMessage& bad) {
    return CodeOf(DecodeLedgerMessage(bad).status()) ==
           ResultCode::kMeshBadFrame;
  };
  mesh::LedgerMessage bad = frame;
  bad.mutable_tell()->set_state(9);
  BOOST_TEST(refused(bad));
  BOOST_TEST(refused(
      EncodeLedgerMessage(LedgerQuery{.store_key = "", .attempt = "a"})));
  BOOST_TEST(refused({}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
