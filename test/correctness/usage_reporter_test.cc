// Usage reports: collected from the records of all instances, stored once, and
// reported as stored, however often and by whichever instance.
#include "entry/usage_reporter.h"

#include <boost/test/unit_test.hpp>

#include "entry.pb.h"
#include "support/duty_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;

const WorkspaceId kBakery("bakery");

std::string UsageKey(int64_t window) {
  return "/oleander/usage/" + std::to_string(window);
}

std::string StoredUsage(int64_t window, int64_t count) {
  entrywire::UsageWindow wire;
  wire.set_window(window);
  (*wire.mutable_counts())[kBakery.value()] = count;
  return wire.SerializeAsString();
}

// Returns the record of another instance that counted `count` calls in each
// window.
std::string RecordOf(const std::string& instance, int64_t first, int64_t last,
                     int64_t count) {
  entrywire::EntryRecord record;
  record.set_instance(instance);
  record.set_address(io::kTestAddress);
  record.set_domain("d");
  record.set_closed_window(last);
  for (int64_t number = first; number <= last; ++number) {
    entrywire::UsageWindow& window = *record.add_windows();
    window.set_window(number);
    (*window.mutable_counts())[kBakery.value()] = count;
  }
  return record.SerializeAsString();
}

struct UsageReporterFixture : DutyFixture {
  UsageReporterFixture()
      : records(
            entry.context, store, settings, "run",
            [this] { return reads_counts; }, [this] { reporter.OnRecords(); }),
        reporter(entry.context, store, platform, records, lease,
                 settings.bounds) {
    on_taken = [this] { reporter.OnTaken(); };
  }

  void Start() {
    records.Start();
    lease.Want(true);
  }
  int64_t current() const {
    return entry.context.usage.WindowOf(io::EventLoop::wall_now());
  }
  void CountLocally(int calls) {
    for (int i = 0; i < calls; ++i) {
      entry.context.usage.CountStarted(io::EventLoop::wall_now(), kBakery);
    }
  }
  const ports::UsageReport* ReportOf(int64_t window) const {
    const auto found = std::ranges::find(platform.reports, window,
                                         &ports::UsageReport::window);
    return found == platform.reports.end() ? nullptr : &*found;
  }
  int64_t CountIn(int64_t window) const {
    const ports::UsageReport* report = ReportOf(window);
    return report == nullptr || !report->counts.contains(kBakery)
               ? -1
               : report->counts.at(kBakery);
  }

  bool reads_counts = true;
  RecordKeeper records;
  UsageReporter reporter;
};

BOOST_FIXTURE_TEST_SUITE(usage_reporter, UsageReporterFixture)

BOOST_AUTO_TEST_CASE(sends_the_sum_of_what_all_instances_counted) {
  const int64_t window = current();
  store.Write("/oleander/instances/two/run",
              RecordOf("two", window, window + 60, 7));
  CountLocally(3);
  const int64_t counted_in = current();
  Start();
  BOOST_TEST(Until([&] { return ReportOf(counted_in) != nullptr; }));
  BOOST_TEST(CountIn(counted_in) == 10);
}

BOOST_AUTO_TEST_CASE(does_not_sum_records_that_were_read_without_counts) {
  reads_counts = false;
  settings.bounds.usage_late = std::chrono::seconds(3);
  const int64_t overdue = current() - 3;
  const std::string other = RecordOf("two", overdue, overdue + 60, 7);
  store.Write("/oleander/instances/two/run", other);
  store.Write("/oleander/members/two/run", RecordOf("two", 1, 0, 0));
  records.Start();
  BOOST_TEST(Until([&] { return records.live_instances() == 2; }));
  // A read without counts ends right after this instance took the duty.
  on_taken = [this] {
    reporter.OnTaken();
    reporter.OnRecords();
  };
  lease.Want(true);
  BOOST_TEST(Until([&] { return ReportOf(overdue) != nullptr; }));
  BOOST_TEST(CountIn(overdue) == 7);
}

BOOST_AUTO_TEST_CASE(reports_the_sum_that_an_earlier_holder_stored) {
  const int64_t window = current();
  for (int64_t number = window - 3; number < window + 60; ++number) {
    store.Write(UsageKey(number), StoredUsage(number, 41));
  }
  CountLocally(3);
  Start();
  BOOST_TEST(Until([&] { return ReportOf(window) != nullptr; }));
  BOOST_TEST(CountIn(window) == 41);
}

BOOST_AUTO_TEST_CASE(repeats_the_same_report_after_a_platform_failure) {
  platform.AnswerNext(MakeError(ResultCode::kStoreUnavailable, "No answer."));
  platform.AnswerNext(MakeError(ResultCode::kPlatformRefused, "Status 429."));
  const int64_t window = current();
  CountLocally(5);
  Start();
  const auto times_sent = [&] {
    return std::ranges::count(platform.reports, window,
                              &ports::UsageReport::window);
  };
  BOOST_TEST(Until([&] { return times_sent() >= 1; }));
  // Calls counted later are in no window whose sum is already stored.
  entry.context.usage.CountStarted(
      entry.context.usage.EndOf(window) - milliseconds(1), kBakery);
  BOOST_TEST(Until([&] {
    return platform.reports.size() >= 3 &&
           platform.reports.back().window > window;
  }));
  for (const ports::UsageReport& report : platform.reports) {
    const ports::UsageReport* first = ReportOf(report.window);
    BOOST_TEST((report.counts == first->counts));
  }
}

BOOST_AUTO_TEST_CASE(reports_the_stored_sum_after_a_lost_response) {
  const int64_t window = current();
  CountLocally(4);
  Start();
  BOOST_TEST(Until([this] { return holds_duty(); }));
  store.LoseWriteAnswers(3);
  BOOST_TEST(Until([&] { return ReportOf(window + 1) != nullptr; }));
  const StoreEntry* stored = store.Find(UsageKey(window + 1));
  BOOST_REQUIRE(stored != nullptr);
  entrywire::UsageWindow wire;
  BOOST_REQUIRE(wire.ParseFromString(stored->value));
  BOOST_TEST(wire.counts().size() == ReportOf(window + 1)->counts.size());
  // Each window has one sum, whichever responses were lost.
  for (const ports::UsageReport& report : platform.reports) {
    BOOST_TEST((report.counts == ReportOf(report.window)->counts));
  }
}

BOOST_AUTO_TEST_CASE(sends_nothing_without_the_duty) {
  DutyLease other(entry.loop, store, entry.metrics(), ShortLease("two"), 2,
                  [] {});
  other.Want(true);
  BOOST_TEST(
      Until([&] { return other.FenceFor(milliseconds(100)).has_value(); }));
  Start();
  io::RunFor(entry.loop, milliseconds(2500));
  BOOST_TEST(platform.reports.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
