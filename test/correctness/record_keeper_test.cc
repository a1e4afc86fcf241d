// Records of instances in the store: which instances are live, and what each
// has counted.
#include "entry/record_keeper.h"

#include <boost/test/unit_test.hpp>

#include "entry.pb.h"
#include "support/duty_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;

const WorkspaceId kBakery("bakery");
constexpr char kSelfKey[] = "/oleander/instances/one/run";
constexpr char kOtherKey[] = "/oleander/instances/two/run";

std::string RecordOf(const std::string& instance, int64_t closed_window) {
  entrywire::EntryRecord record;
  record.set_instance(instance);
  record.set_address(io::kTestAddress);
  record.set_mesh_port(7);
  record.set_domain("d");
  record.set_closed_window(closed_window);
  return record.SerializeAsString();
}

struct RecordKeeperFixture : DutyFixture {
  RecordKeeperFixture()
      : records(
            entry.context, store, settings, "run", [] { return true; },
            [this] { ++reads; }) {}

  int64_t SelfCount() const {
    const StoreEntry* stored = store.Find(kSelfKey);
    entrywire::EntryRecord record;
    if (stored == nullptr || !record.ParseFromString(stored->value)) {
      return -1;
    }
    int64_t sum = 0;
    for (const entrywire::UsageWindow& window : record.windows()) {
      for (const auto& [workspace, count] : window.counts()) {
        sum += count;
      }
    }
    return sum;
  }

  int reads = 0;
  RecordKeeper records;
};

BOOST_FIXTURE_TEST_SUITE(record_keeper, RecordKeeperFixture)

BOOST_AUTO_TEST_CASE(shows_live_instances_and_their_addresses) {
  store.Write(kOtherKey, RecordOf("two", 1));
  records.Start();
  BOOST_TEST(Until([this] { return records.live_instances() == 2; }));
  const auto other = std::ranges::find(records.records(), InstanceId("two"),
                                       &InstanceRecord::instance);
  BOOST_REQUIRE((other != records.records().end()));
  BOOST_TEST(other->alive);
  BOOST_TEST(other->mesh_port == 7);
}

BOOST_AUTO_TEST_CASE(counts_an_instance_once_with_records_of_several_runs) {
  store.Write(kOtherKey, RecordOf("two", 1));
  store.Write("/oleander/instances/two/earlier-run", RecordOf("two", 1));
  records.Start();
  BOOST_TEST(Until([this] { return reads > 0; }));
  BOOST_TEST(records.live_instances() == 2U);
}

BOOST_AUTO_TEST_CASE(stops_counting_an_instance_that_stopped_writing) {
  store.Write(kOtherKey, RecordOf("two", 1));
  records.Start();
  BOOST_TEST(Until([this] { return records.live_instances() == 2; }));
  BOOST_TEST(Until([this] { return records.live_instances() == 1; }));
  // The counts of "two" remain for the reports that are still due.
  BOOST_TEST(records.records().size() == 2U);
  BOOST_TEST(Until([this] { return store.Find(kOtherKey) == nullptr; }));
}

BOOST_AUTO_TEST_CASE(skips_an_unreadable_record) {
  store.Write("/oleander/instances/bad/run", "\xff\xff\xff");
  records.Start();
  BOOST_TEST(Until([this] { return reads > 0; }));
  BOOST_TEST(records.live_instances() == 1U);
}

BOOST_AUTO_TEST_CASE(writes_counts_later_after_a_store_outage) {
  records.Start();
  BOOST_TEST(Until([this] { return store.Find(kSelfKey) != nullptr; }));
  store.SetDown(true);
  for (int i = 0; i < 6; ++i) {
    entry.context.usage.CountStarted(io::EventLoop::wall_now(), kBakery);
  }
  io::RunFor(entry.loop, milliseconds(1500));
  BOOST_TEST(SelfCount() == 0);
  store.SetDown(false);
  BOOST_TEST(Until([this] { return SelfCount() == 6; }));
}

BOOST_AUTO_TEST_CASE(writes_the_last_counts_before_the_process_ends) {
  records.Start();
  BOOST_TEST(Until([this] { return store.Find(kSelfKey) != nullptr; }));
  entry.context.usage.CountStarted(io::EventLoop::wall_now(), kBakery);
  bool written = false;
  records.WriteLast([&written] { written = true; });
  BOOST_TEST(Until([&written] { return written; }));
  BOOST_TEST(SelfCount() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
