// Tests ParseProfile(): every field is read, every fault is reported.
#include "oleander/profile.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;

std::string ReadFile(const std::filesystem::path& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string FaultsOf(std::string_view text) {
  const auto profile = ParseProfile(text, "p");
  return profile.ok() ? "" : std::string(profile.status().message());
}

BOOST_AUTO_TEST_SUITE(profile_document)

BOOST_AUTO_TEST_SUITE(samples)

BOOST_AUTO_TEST_CASE(each_sample_is_valid_and_carries_its_file_name) {
  const std::filesystem::path etc =
      std::filesystem::path(OLEANDER_SOURCE_DIR) / "etc";
  int samples = 0;
  for (const char* user : {"tortared", "voltabridge"}) {
    for (const auto& file :
         std::filesystem::directory_iterator(etc / user / "profiles")) {
      const auto profile =
          ParseProfile(ReadFile(file.path()), file.path().string());
      BOOST_REQUIRE_MESSAGE(profile.ok(), profile.status().ToString());
      BOOST_TEST(profile->name.value() == file.path().stem().string());
      ++samples;
    }
  }
  BOOST_TEST(samples == 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(fields)

BOOST_AUTO_TEST_CASE(absent_fields_have_their_defaults) {
  const auto profile = ParseProfile(R"({"name": "a", "services": ["s"]})", "p");
  BOOST_REQUIRE(profile.ok());
  BOOST_TEST((profile->kind == ServerKind::kEngine));
  BOOST_TEST((profile->latency.first_token == milliseconds(1500)));
  BOOST_TEST((profile->durability.replica == ReplicaRule::kPreferOtherDomain));
  BOOST_TEST(!profile->status_call.has_value());
}

BOOST_AUTO_TEST_CASE(present_fields_are_read) {
  const auto profile = ParseProfile(R"({
    "name": "a", "kind": "plain", "services": ["s", "t"], "priority": "batch",
    "latency": {"first_token_ms": 10, "between_tokens_ms": 20, "deadline_ms": 0},
    "weights": {"cost": 2, "recomputed_tokens": 3},
    "capacity": {"min_servers": 2, "max_servers": 3, "reclaimable_share": 0.5,
                 "survive_domain_loss": false, "machine_classes": ["m"],
                 "max_cost_per_hour": 7},
    "workspaces": {"default_share": 2, "shares": {"w": 5}, "max_in_flight": 9},
    "durability": {"replica": "none", "answer_kept_ms": 11, "max_requests": 12,
                   "max_bytes": 13},
    "on_disconnect": "cancel",
    "retries": {"budget_share": 0.2, "hedge": true, "stall_bound_ms": 99},
    "calls": [{"method": "GET", "path": "/x*", "repeatable": true,
               "reads_own_writes": true}],
    "status_call": {"method": "POST", "path": "/q/{key}"}})",
                                    "p");
  BOOST_REQUIRE_MESSAGE(profile.ok(), profile.status().ToString());
  BOOST_TEST((profile->kind == ServerKind::kPlain));
  BOOST_TEST(profile->services.size() == 2u);
  BOOST_TEST((profile->priority == Priority::kBatch));
  BOOST_TEST((profile->latency.deadline == Duration::zero()));
  BOOST_TEST(profile->weights.recomputed_tokens == 3);
  BOOST_TEST(profile->capacity.max_servers == 3);
  BOOST_TEST(!profile->capacity.survive_domain_loss);
  BOOST_TEST(profile->capacity.machine_classes.front() == "m");
  BOOST_TEST(profile->workspaces.shares.at(WorkspaceId("w")) == 5);
  BOOST_TEST(profile->workspaces.max_in_flight == 9);
  BOOST_TEST((profile->durability.replica == ReplicaRule::kNone));
  BOOST_TEST(profile->durability.max_bytes == 13);
  BOOST_TEST((profile->on_disconnect == OnDisconnect::kCancel));
  BOOST_TEST(profile->retries.hedge);
  BOOST_TEST((profile->retries.stall_bound == milliseconds(99)));
  BOOST_TEST(profile->calls.front().reads_own_writes);
  BOOST_TEST(profile->status_call->path == "/q/{key}");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(faults)

BOOST_AUTO_TEST_CASE(every_fault_is_listed_with_path_and_value) {
  const std::string faults = FaultsOf(R"({
    "name": "a/b", "services": ["s", "s"], "kind": "engin",
    "latency": {"first_token_ms": 0, "frist": 1},
    "capacity": {"min_servers": 9, "max_servers": 3},
    "calls": [{"path": "x"}]})");
  for (const char* part :
       {"name: found \"a/b\"", "services: found [\"s\",\"s\"]",
        "kind: found \"engin\"", "latency.first_token_ms: found 0",
        "latency.frist: found 1", "capacity.min_servers: found 9",
        "calls[0].path: found \"x\"", "calls: found"}) {
    BOOST_TEST_CONTEXT(part) {
      BOOST_TEST((faults.find(part) != std::string::npos), faults);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_deadline_before_the_first_token_is_refused) {
  BOOST_TEST(FaultsOf(R"({"name": "a", "services": ["s"],
      "latency": {"first_token_ms": 100, "deadline_ms": 50}})")
                 .find("latency.deadline_ms: found 50") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(text_that_is_no_json_names_the_byte) {
  const auto profile = ParseProfile("{\"name\": ", "p");
  BOOST_TEST((CodeOf(profile.status()) == ResultCode::kProfileInvalid));
  BOOST_TEST(
      (profile.status().message().find("byte") != absl::string_view::npos));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(call_rules)

BOOST_AUTO_TEST_CASE(the_first_match_counts) {
  const auto profile = ParseProfile(R"({
    "name": "a", "kind": "plain", "services": ["s"], "calls": [
      {"method": "GET", "path": "/balance/*", "repeatable": true},
      {"method": "*", "path": "/exact", "repeatable": true},
      {"method": "GET", "path": "*"}]})",
                                    "p");
  BOOST_REQUIRE(profile.ok());
  BOOST_TEST(FindCallRule(*profile, "GET", "/balance/7") == &profile->calls[0]);
  BOOST_TEST(FindCallRule(*profile, "PUT", "/exact") == &profile->calls[1]);
  BOOST_TEST(FindCallRule(*profile, "GET", "/other") == &profile->calls[2]);
  BOOST_TEST(FindCallRule(*profile, "POST", "/balance/7") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
