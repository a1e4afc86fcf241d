// Inputs of an entry instance with random changes from a fixed seed: each
// parser accepts them or returns an error, and keeps working. `make fuzz` runs
// longer tests of this kind with libFuzzer.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <string>

#include "entry/quota_codec.h"
#include "entry/settings.h"
#include "io/mesh.h"
#include "io/mesh_codec.h"
#include "platform/call_codec.h"
#include "platform/catalog_codec.h"
#include "support/entry_fixture.h"
#include "support/mutant.h"

namespace oleander {
namespace {

constexpr int kMutants = 3000;

// Calls `read` with kMutants mutants of `valid`.
void ForMutants(const std::string& valid,
                const std::function<void(const std::string&)>& read) {
  std::mt19937_64 gen(1);
  for (int mutant = 0; mutant < kMutants; ++mutant) {
    read(Mutant(valid, gen));
  }
}

BOOST_AUTO_TEST_SUITE(mutated_bytes)

BOOST_AUTO_TEST_CASE(of_the_platforms_entries_are_errors_or_entries) {
  const platform::CatalogCodec codec;
  int errors = 0;
  const auto entry = [](const std::string& key, const std::string& value) {
    StoreEntry written;
    written.key = key;
    written.value = value;
    return written;
  };
  ForMutants(
      R"({"service":"pool","address":"10.1.2.3:8080","zone":"z","slots":96,
          "state":"ready","born":1790000000123,"spot":true,"leaves_ms":2500})",
      [&](const std::string& bytes) {
        errors += codec.ReadServer(entry("servers/i-1", bytes)).ok() ? 0 : 1;
      });
  ForMutants(
      R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"a",
          "api_keys":["k"],"quota":{"rate_per_s":5,"burst_size":9}}]})",
      [&](const std::string& bytes) {
        errors += codec.ReadConfig(entry("op/config", bytes)).ok() ? 0 : 1;
      });
  BOOST_TEST(errors > kMutants / 2);
}

BOOST_AUTO_TEST_CASE(of_settings_are_errors_or_settings) {
  int errors = 0;
  ForMutants(
      R"({"deployment":"platform","instance":"a","region":"r",
                 "domain":"d","domains":{"d":"r"},
                 "callers":"127.0.0.1:1"})",
      [&](const std::string& bytes) {
        const auto settings = entry::ParseEntrySettings(bytes, "file");
        errors += settings.ok() ? 0 : 1;
        BOOST_TEST((settings.ok() || !settings.status().message().empty()));
      });
  BOOST_TEST(errors > 0);
}

BOOST_AUTO_TEST_CASE(of_a_callers_headers_are_refused_or_understood) {
  const platform::CallCodec codec;
  ForMutants(
      "5c1e07a2:800,91bd3f06:410,1460,80,15000", [&](const std::string& bytes) {
        io::HttpRequest request;
        for (const char* name :
             {"x-oleanderfield-prompt-prefix", "x-oleanderfield-token-counts",
              "x-oleanderfield-deadline-ms"}) {
          request.headers.push_back({.name = name, .value = bytes});
        }
        const auto intake = codec.Read(request);
        if (intake.ok()) {
          BOOST_TEST(intake->prompt_tokens.value_or(0) >= 0);
        }
        const auto head = codec.ReadAnswer(
            503, {{.name = "retry-after", .value = bytes},
                  {.name = "x-oleanderfield-server-load", .value = bytes}});
        BOOST_TEST((!head.pause || *head.pause > Duration::zero()));
      });
}

BOOST_AUTO_TEST_CASE(of_peers_change_no_quota_beyond_its_bucket) {
  const WorkspaceId bakery("bakery");
  entry::EntryFixture fixture;
  fixture.context.quotas.OnSend(
      [](const InstanceId&, const mesh::Envelope&) {});
  ServingConfigParts parts;
  Workspace workspace;
  workspace.id = bakery;
  workspace.quota = {.per_s = 1000, .burst = 1000};
  parts.workspaces = {workspace};
  QuotaAllocator allocator;
  allocator.SetQuotas(Time(), *ServingConfig::Create(std::move(parts)));

  mesh::Envelope request;
  request.set_version(io::kMeshVersion);
  request.set_from("peer");
  entry::WriteQuotaRequest(
      {.group = QuotaGroupOf(bakery),
       .round = 3,
       .items = {{.workspace = bakery, .spent = 10, .wanted = {1, 2, 3}}}},
      *request.mutable_quota_ask());
  mesh::Envelope grant = request;
  entry::WriteQuotaGrant(
      {.group = 0,
       .round = 3,
       .items = {{.workspace = bakery, .waits = {Duration(5), Duration()}}},
       .nearly_exhausted = {bakery}},
      *grant.mutable_quota_grant());
  Time now;
  for (const mesh::Envelope& valid : {request, grant}) {
    ForMutants(io::EncodeEnvelope(valid), [&](const std::string& bytes) {
      const auto message = io::DecodeEnvelope(bytes);
      if (!message.ok()) {
        return;
      }
      now += std::chrono::milliseconds(1);
      fixture.context.quotas.OnMessage(InstanceId("peer"), *message);
      if (message->has_quota_ask()) {
        allocator.OnRequest(now, InstanceId("peer"),
                            entry::ReadQuotaRequest(message->quota_ask()));
      }
      // The level never exceeds the burst that the quota's bound allows.
      BOOST_TEST(allocator.level(bakery) <= 9000 * 0.12 + 1);
    });
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
