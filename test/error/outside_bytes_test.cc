// Parsers of input from callers, engines and the platform reject input that
// violates its protocol.
#include <boost/test/unit_test.hpp>
#include <string>

#include "io/cloud_client.h"
#include "io/engine_client.h"
#include "io/kv_client.h"
#include "io/sse_parser.h"
#include "node/chat_request.h"
#include "oleander/result_code.h"

namespace oleander {
namespace {

constexpr size_t kLimit = 64;

template <typename Value>
ResultCode CodeOfValue(const absl::StatusOr<Value>& value) {
  return CodeOf(value.status());
}

BOOST_AUTO_TEST_SUITE(a_chat_body)

BOOST_AUTO_TEST_CASE(that_is_not_json_has_another_code_than_bad_utf8) {
  BOOST_TEST((CodeOfValue(node::ParseChatRequest("{\"messages\":")) ==
              ResultCode::kMalformedJson));
  BOOST_TEST(
      (CodeOfValue(node::ParseChatRequest("{\"messages\": \"\xff\xfe\"}")) ==
       ResultCode::kInvalidUtf8));
}

BOOST_AUTO_TEST_CASE(without_messages_is_refused) {
  for (const char* body :
       {"[]", "{}", R"({"messages":[]})", R"({"messages":[1]})",
        R"({"messages":[{"role":"user","content":7}]})",
        R"({"messages":[{"role":"user","content":"x"}],"max_tokens":0})",
        R"({"messages":[{"role":"user","content":"x"}],"stream":"yes"})"}) {
    BOOST_TEST((CodeOfValue(node::ParseChatRequest(body)) ==
                ResultCode::kMalformedRequest),
               body);
  }
}

BOOST_AUTO_TEST_CASE(that_is_valid_keeps_its_unknown_fields_for_the_engine) {
  const auto chat = node::ParseChatRequest(
      R"({"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"b"}],"top_p":0.5})");
  BOOST_REQUIRE(chat.ok());
  BOOST_TEST(chat->prompt == "a\nb");
  const std::string body = node::EngineBody(
      chat->body,
      {.priority = 1, .resume_from = 2, .resume_text = "x y", .kv_handle = ""});
  BOOST_TEST(body.find("\"top_p\":0.5") != std::string::npos);
  BOOST_TEST(body.find("\"from\":2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_sent_events)

BOOST_AUTO_TEST_CASE(are_parsed_however_they_are_split) {
  const std::string body =
      ": hi\r\nid: 4\r\ndata: a\r\ndata: b\r\n\r\nevent: error\ndata:\n\n";
  for (size_t cut = 0; cut <= body.size(); ++cut) {
    io::SseParser parser(kLimit);
    auto first = parser.Feed(body.substr(0, cut));
    auto second = parser.Feed(body.substr(cut));
    BOOST_REQUIRE(first.ok() && second.ok());
    first->insert(first->end(), second->begin(), second->end());
    BOOST_REQUIRE(first->size() == 2u);
    BOOST_TEST(first->at(0).id == "4");
    BOOST_TEST(first->at(0).data == "a\nb");
    BOOST_TEST(first->at(1).event == "error");
    BOOST_TEST(parser.at_boundary());
  }
}

BOOST_AUTO_TEST_CASE(that_are_too_long_are_an_error) {
  io::SseParser parser(kLimit);
  BOOST_TEST((CodeOfValue(parser.Feed("data: " + std::string(kLimit, 'x'))) ==
              ResultCode::kBadAnswer));
}

BOOST_AUTO_TEST_CASE(that_are_long_in_many_lines_are_an_error_too) {
  io::SseParser parser(kLimit);
  absl::Status status;
  for (int line = 0; line < 100 && status.ok(); ++line) {
    status = parser.Feed("data: 0123456789\n").status();
  }
  BOOST_TEST((CodeOf(status) == ResultCode::kBadAnswer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_platforms_answers)

BOOST_AUTO_TEST_CASE(that_are_malformed_are_errors_and_not_empty_answers) {
  BOOST_TEST(!io::ParseRangeAnswer("").ok());
  BOOST_TEST(!io::ParseRangeAnswer(R"({"kvs":3})").ok());
  BOOST_TEST(!io::ParseRangeAnswer(R"({"kvs":[3]})").ok());
  BOOST_TEST(!io::ParseCasAnswer("[]").ok());
  BOOST_TEST(!io::ParseWatchEvents(R"({"result":{"events":[{}]}})").ok());
  BOOST_TEST(!io::ParseInstanceList(R"({"instances":[{"id":"x"}]})").ok());
  BOOST_TEST(!io::ParseNotices(R"({"notices":[{"id":"x"}]})").ok());
  BOOST_TEST(!io::ParsePrices("{}").ok());
  BOOST_TEST(!io::ParseServerLoad(ServerId("s"), "null").ok());
}

BOOST_AUTO_TEST_CASE(carry_numbers_as_strings_and_bytes_in_base64) {
  const auto range = io::ParseRangeAnswer(
      R"({"header":{"revision":"12"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"9"}]})");
  BOOST_REQUIRE(range.ok());
  BOOST_TEST(range->revision == 12);
  BOOST_TEST(range->entries.at(0).key == "a");
  BOOST_TEST(range->entries.at(0).value == "b");
  BOOST_TEST(range->entries.at(0).mod_revision == 9);
}

BOOST_AUTO_TEST_CASE(distinguish_a_compacted_watch_from_one_that_ended) {
  BOOST_TEST((CodeOfValue(io::ParseWatchEvents(
                  R"({"result":{"canceled":true,"compact_revision":"7"}})")) ==
              ResultCode::kStoreRevisionCompacted));
  BOOST_TEST(
      (CodeOfValue(io::ParseWatchEvents(R"({"result":{"canceled":true}})")) ==
       ResultCode::kStoreUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
