#include "oleander/stream_origins.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "oleander/result_code.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const StreamOrigin kOrigin = {.service = ServiceId("pool"), .version = "v2"};

struct Origins {
  // Returns the records in the writes that are due.
  size_t Written() {
    size_t records = 0;
    origins.Tick(now);
    for (const StoreRequest& request : origins.TakeActions()) {
      if (const auto* write = std::get_if<StoreCas>(&request)) {
        BOOST_TEST(write->puts.size() <= 32U);
        records += write->puts.size();
        open.push_back(*write);
      } else {
        BOOST_TEST(std::holds_alternative<StoreLeaseGrant>(request));
        origins.OnLease(
            now, StoreLeaseAnswer{.lease = ++leases, .ttl = seconds(90)});
        records += Written();
      }
    }
    return records;
  }
  void Begin(int count) {
    for (int i = 0; i < count; ++i) {
      origins.OnBegun(now, std::to_string(++begun), kOrigin);
    }
  }

  StreamOrigins origins;
  Time now{seconds(100)};
  int begun = 0;
  StoreLeaseId leases = 0;
  std::vector<StoreCas> open;
};

BOOST_FIXTURE_TEST_SUITE(stream_origins, Origins)

BOOST_AUTO_TEST_CASE(a_record_is_read_as_it_was_written) {
  Begin(1);
  now += milliseconds(80);
  BOOST_TEST_REQUIRE(Written() == 1U);
  const StorePut& record = open.front().puts.front();
  BOOST_TEST(record.key == StreamOrigins::KeyOf("1"));
  BOOST_TEST(record.lease == 1);
  BOOST_TEST((StreamOrigins::Parse(record.value) == kOrigin));
  BOOST_TEST((*origins.Find("1") == kOrigin));
  BOOST_TEST(origins.Find("2") == nullptr);
  BOOST_TEST(!StreamOrigins::Parse("no record").has_value());
}

BOOST_AUTO_TEST_CASE(records_wait_for_each_other_but_not_long) {
  Begin(40);
  BOOST_TEST(Written() == 0U);
  now += milliseconds(80);
  BOOST_TEST(Written() == 40U);
  BOOST_TEST(open.size() == 2U);
  origins.SetInstances(360);
  Begin(1);
  now += milliseconds(700);
  BOOST_TEST(Written() == 0U);
  now += milliseconds(50);
  BOOST_TEST(Written() == 1U);
}

BOOST_AUTO_TEST_CASE(a_failed_write_is_made_again_with_a_new_lease) {
  Begin(3);
  now += milliseconds(80);
  BOOST_TEST(Written() == 3U);
  origins.OnCas(now, open.back().call,
                MakeError(ResultCode::kStoreUnavailable, "Down."));
  BOOST_TEST(origins.unwritten() == 3U);
  now += seconds(1);
  BOOST_TEST(Written() == 3U);
  BOOST_TEST(open.back().puts.front().lease == 2);
  StoreCasAnswer succeeded;
  succeeded.succeeded = true;
  origins.OnCas(now, open.back().call, succeeded);
  now += seconds(5);
  BOOST_TEST(Written() == 0U);
}

BOOST_AUTO_TEST_CASE(what_no_caller_can_ask_for_any_more_is_dropped) {
  Begin(1);
  now += seconds(31);
  BOOST_TEST(Written() == 0U);
  Begin(1);
  BOOST_TEST(origins.Find("1") == nullptr);
  BOOST_TEST(origins.Find("2") != nullptr);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_while_nothing_can_be_written) {
  Begin(40000);
  BOOST_TEST(origins.unwritten() == 16384U);
  BOOST_TEST(origins.Find("1") == nullptr);
  BOOST_TEST(origins.Find("40000") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
