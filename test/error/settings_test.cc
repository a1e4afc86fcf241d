// Invalid settings: the error names the file, path, value and expectation of
// each fault.
#include "node/settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr const char* kGood = R"({
  // One instance of the first domain.
  "instance": "stgo-a-1", "region": "santiago", "domain": "stgo-a",
  "callers": {"address": "127.0.0.1", "port": 8080},
  "operators": {"address": "127.0.0.1", "port": 9090, "token_file": "token"},
  "mesh": {"address": "127.0.0.1", "port": 7000},
  "platform": {"address": "127.0.0.1", "port": 2379}
})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kGood;
  const size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string MessageOf(const std::string& text) {
  const auto settings = ParseSettings(text, "node.jsonc");
  BOOST_REQUIRE(!settings.ok());
  return std::string(settings.status().message());
}

bool Mentions(const std::string& message, const std::string& part) {
  return message.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(that_are_valid_are_read_with_comments) {
  const auto settings = ParseSettings(kGood, "node.jsonc");
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
  BOOST_TEST(settings->instance.value() == "stgo-a-1");
  BOOST_TEST(settings->callers.port == 8080);
  BOOST_TEST(settings->limits.max_requests == 20000u);
}

BOOST_AUTO_TEST_SUITE(that_are_wrong)

BOOST_AUTO_TEST_CASE(name_the_unknown_field) {
  const std::string message =
      MessageOf(With("\"region\"", "\"regoin\": 1, \"region\""));
  BOOST_TEST(Mentions(
      message, "node.jsonc: regoin: found 1, expected no field of this name"));
}

BOOST_AUTO_TEST_CASE(name_the_port_out_of_range) {
  const std::string message = MessageOf(With("8080", "80800"));
  BOOST_TEST(Mentions(message, "callers.port: found 80800"));
  BOOST_TEST(Mentions(message, "from 1 to 65535"));
}

BOOST_AUTO_TEST_CASE(name_the_number_that_would_overflow) {
  BOOST_TEST(Mentions(MessageOf(With("8080", "18446744073709551615")),
                      "callers.port"));
}

BOOST_AUTO_TEST_CASE(name_the_address_that_is_a_host_name) {
  const std::string message =
      MessageOf(With("\"address\": \"127.0.0.1\", \"port\": 7000",
                     "\"address\": \"localhost\", \"port\": 7000"));
  BOOST_TEST(Mentions(
      message, "mesh.address: found \"localhost\", expected an IP number"));
}

BOOST_AUTO_TEST_CASE(name_the_missing_section) {
  const std::string message = MessageOf(With(
      ",\n  \"platform\": {\"address\": \"127.0.0.1\", \"port\": 2379}", ""));
  BOOST_TEST(Mentions(message, "platform: found nothing, expected an object"));
}

BOOST_AUTO_TEST_CASE(list_every_fault_at_once) {
  const std::string message = MessageOf(R"({"instance": "", "region": 4})");
  BOOST_TEST(Mentions(message, "instance: found \"\""));
  BOOST_TEST(Mentions(message, "region: found 4"));
  BOOST_TEST(Mentions(message, "domain: found nothing"));
}

BOOST_AUTO_TEST_CASE(are_distinguished_from_text_that_is_not_json) {
  const auto settings = ParseSettings("{\"instance\": ", "node.jsonc");
  BOOST_TEST((CodeOf(settings.status()) == ResultCode::kSettingsUnreadable));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::node
