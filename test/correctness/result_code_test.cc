// The numbered result codes and the statuses that carry them.
#include "oleander/result_code.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace oleander {
namespace {

BOOST_AUTO_TEST_SUITE(result_codes)

BOOST_AUTO_TEST_SUITE(a_table_lists_every_code_once)

BOOST_AUTO_TEST_CASE(in_ascending_order) {
  const auto table = ResultCodeTable();
  BOOST_TEST(std::ranges::is_sorted(table, std::ranges::less_equal{},
                                    &ResultCodeInfo::code));
  BOOST_TEST((std::ranges::adjacent_find(table, {}, &ResultCodeInfo::code) ==
              table.end()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_status_carries)

BOOST_AUTO_TEST_CASE(the_code_and_what_is_known_of_the_run) {
  const absl::Status status = MakeError(ResultCode::kNoServer, "No server.");
  BOOST_TEST((CodeOf(status) == ResultCode::kNoServer));
  BOOST_TEST((DetailsOf(status).ran == Ran::kNo));
}

BOOST_AUTO_TEST_CASE(the_time_to_retry) {
  const absl::Status status =
      MakeError({.code = ResultCode::kOverloaded,
                 .ran = Ran::kNo,
                 .retry_after = std::chrono::milliseconds(250)},
                "Busy.");
  const auto body = nlohmann::json::parse(ErrorBody(status));
  BOOST_TEST(body["error"]["code"] == 2101);
  BOOST_TEST(body["error"]["ran"] == "no");
  BOOST_TEST(body["error"]["retry_after_ms"] == 250);
}

BOOST_AUTO_TEST_CASE(nothing_known_when_it_was_made_elsewhere) {
  const ErrorDetails details = DetailsOf(absl::InternalError("x"));
  BOOST_TEST((details.code == ResultCode::kInternal));
  BOOST_TEST((details.ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
