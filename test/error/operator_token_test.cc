// Authentication at the operator API.
#include "node/operator_token.h"

#include <boost/test/unit_test.hpp>

#include "oleander/result_code.h"

namespace oleander::node {
namespace {

ResultCode Check(const io::Headers& headers) {
  return CodeOf(OperatorToken("0123456789abcdef").Check(headers));
}

BOOST_AUTO_TEST_SUITE(the_operator_token)

BOOST_AUTO_TEST_CASE(is_required) {
  BOOST_TEST((Check({}) == ResultCode::kMissingToken));
  BOOST_TEST((Check({{"authorization", "Basic 0123456789abcdef"}}) ==
              ResultCode::kMissingToken));
}

BOOST_AUTO_TEST_CASE(must_match_completely) {
  BOOST_TEST((Check({{"authorization", "Bearer 0123456789abcde"}}) ==
              ResultCode::kWrongToken));
  BOOST_TEST(
      (Check({{"authorization", "Bearer "}}) == ResultCode::kWrongToken));
  BOOST_TEST((Check({{"authorization", "Bearer 0123456789abcdef"}}) ==
              ResultCode::kOk));
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_is_an_error) {
  BOOST_TEST((CodeOf(OperatorToken::Read("/nonexistent/token").status()) ==
              ResultCode::kSettingsUnreadable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::node
