// Control messages and audit records are decoded to what was encoded, and
// damaged messages are rejected.
#include <boost/test/unit_test.hpp>

#include "io/load_codec.h"
#include "io/membership_codec.h"
#include "io/profile_codec.h"
#include "oleander/audit.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

using std::chrono::milliseconds;

LoadUpdate SomeLoad() {
  LoadUpdate update;
  update.roster = 77;
  update.by_position = true;
  update.entries = {{.server = 3,
                     .age = milliseconds(400),
                     .running = 1,
                     .waiting = 2,
                     .queued_tokens = 3,
                     .leaving = true},
                    {.server = 500,
                     .age = milliseconds(1200),
                     .running = 9,
                     .traits = LoadTraits{.slots = 4,
                                          .tokens_per_s = 5,
                                          .prefill_tokens_per_s = 6,
                                          .kv_total_tokens = 7,
                                          .kv_used_tokens = 8,
                                          .version = 1'000'000}}};
  update.summaries = {{.pool = 2,
                       .age = milliseconds(600),
                       .servers = 1,
                       .running = 2,
                       .waiting = 3,
                       .slots = 4,
                       .queued_tokens = 5}};
  return update;
}

MembershipFrame SomeFrame() {
  MembershipFrame frame;
  frame.membership.kind = MembershipKind::kPingRequest;
  frame.membership.sequence = 5;
  frame.membership.incarnation = 6;
  frame.membership.leaving = true;
  frame.membership.table_digest = 7;
  frame.membership.target = InstanceId("b");
  frame.membership.updates = {
      {.id = InstanceId("c"),
       .claim = MemberClaim::kDoubt,
       .incarnation = 9,
       .info = InstanceInfo{
           .id = InstanceId("c"),
           .location = {.region = RegionId("r"), .domain = DomainId("d")},
           .address = "127.14.0.1",
           .http_port = 1,
           .mesh_port = 2}}};
  frame.load = SomeLoad();
  frame.profiles = {.highest = 4, .hash = 5};
  return frame;
}

BOOST_AUTO_TEST_SUITE(control_codecs)

BOOST_AUTO_TEST_CASE(membership_is_decoded_unchanged) {
  const auto decoded = DecodeMembership(EncodeMembership(SomeFrame()));
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((*decoded == SomeFrame()));
}

BOOST_AUTO_TEST_CASE(profiles_are_decoded_unchanged) {
  ProfileMessage message;
  message.kind = ProfileMessageKind::kDomainAnswer;
  message.digest = {.highest = 8, .hash = 9};
  message.known = {{.name = ProfileName("a"), .revision = 3}};
  message.revisions = {{.name = ProfileName("b"),
                        .revision = 4,
                        .version = 2,
                        .value = std::string("\0x", 2)}};
  message.query = {.name = ProfileName("c"), .revision = 5};
  message.domain = {.domain = DomainId("d"),
                    .in_force = 1,
                    .members = 2,
                    .behind = {InstanceId("i")}};
  const auto decoded = DecodeProfile(EncodeProfile(message));
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((*decoded == message));
}

BOOST_AUTO_TEST_SUITE(damage)

BOOST_AUTO_TEST_CASE(truncated_load_is_rejected) {
  mesh::LoadMessage whole = EncodeLoad(SomeLoad());
  const std::string& entries = whole.entries();
  for (size_t length = 1; length < entries.size(); ++length) {
    mesh::LoadMessage cut = whole;
    cut.set_entries(entries.substr(0, length));
    const auto decoded = DecodeLoad(cut);
    // A list that is cut between two entries is shorter, but valid.
    BOOST_TEST((!decoded.ok() || decoded->entries.size() == 1));
  }
}

BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_rejected) {
  mesh::LoadMessage load;
  load.set_entries(std::string(9, '\xFF') + std::string(10, '\x01'));
  BOOST_TEST((CodeOf(DecodeLoad(load).status()) == ResultCode::kMeshBadFrame));
  mesh::MembershipMessage membership;
  membership.set_kind(99);
  BOOST_TEST((CodeOf(DecodeMembership(membership).status()) ==
              ResultCode::kMeshBadFrame));
  membership.set_kind(0);
  membership.add_updates()->set_id("a");
  membership.mutable_updates(0)->set_claim(42);
  BOOST_TEST(!DecodeMembership(membership).ok());
  mesh::ProfileMessage profile;
  profile.add_revisions()->set_name("a");
  BOOST_TEST(!DecodeProfile(profile).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(levels)

BOOST_AUTO_TEST_CASE(levels_are_within_a_tenth_of_the_value) {
  for (double value = 1; value < 1e9; value *= 1.37) {
    const double back = ValueOf(LevelOf(value));
    BOOST_TEST(back >= value * 0.9);
    BOOST_TEST(back <= value * 1.1);
  }
  BOOST_TEST(LevelOf(0) == 0);
  BOOST_TEST(ValueOf(0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(audit_records)

BOOST_AUTO_TEST_CASE(a_record_is_decoded_unchanged) {
  AuditRecord record;
  record.profile = ProfileName("p");
  record.edit_id = "e";
  record.who = "ana";
  record.through = InstanceId("i");
  record.when = WallTime(milliseconds(12345));
  record.reason = "more \"room\"";
  record.from_revision = 3;
  record.outcome = AuditOutcome::kConflict;
  record.differences = DifferencesOf(R"({"a": {"b": 1}, "c": [1]})",
                                     R"({"a": {"b": 2}, "d": null})");
  BOOST_TEST(record.differences.size() == 3u);
  BOOST_TEST(record.differences[0].path == "a.b");
  BOOST_TEST(record.differences[0].from == "1");
  BOOST_TEST(record.differences[0].to == "2");
  const auto decoded = DecodeAuditRecord(EncodeAuditRecord(record));
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((*decoded == record));
}

BOOST_AUTO_TEST_CASE(a_record_too_large_for_the_store_is_shortened) {
  AuditRecord record;
  for (int i = 0; i < 1000; ++i) {
    record.differences.push_back(
        {.path = "p", .from = std::string(100, 'x'), .to = "1"});
  }
  ShortenToFit(record, 20'000);
  BOOST_TEST(record.shortened);
  BOOST_TEST(!record.differences.empty());
  BOOST_TEST(EncodeAuditRecord(record).size() <= 20'000u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
