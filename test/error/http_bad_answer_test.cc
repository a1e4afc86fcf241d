// A response that violates the protocol ends its call with an error, does not
// abort the process, and is not taken for a complete response.
#include <boost/test/unit_test.hpp>
#include <string>

#include "io/http_client.h"
#include "oleander/result_code.h"
#include "support/io_fixture.h"
#include "support/scripted_server.h"

namespace oleander::io {
namespace {

HttpAnswer FetchFrom(EventLoop& loop, uint16_t port) {
  HttpClient client(loop, std::chrono::seconds(5));
  bool done = false;
  HttpAnswer answer;
  HttpCallRequest request;
  request.address = kTestAddress;
  request.port = port;
  client.Fetch(std::move(request), [&](HttpAnswer got) {
    answer = std::move(got);
    done = true;
  });
  BOOST_TEST_REQUIRE(RunUntil(loop, [&] { return done; }));
  return answer;
}

HttpAnswer AnswerOf(const ScriptedAnswer& scripted) {
  EventLoop loop;
  ScriptedServer server(loop, kTestAddress,
                        [&](const std::string&) { return scripted; });
  return FetchFrom(loop, server.port());
}

BOOST_AUTO_TEST_SUITE(http_bad_answer)

BOOST_AUTO_TEST_SUITE(a_head_that_breaks_the_protocol)

BOOST_AUTO_TEST_CASE(ends_the_call_with_an_error) {
  const std::string heads[] = {
      "HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n",
      "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
      "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\n",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\n\r\nnot HTTP\r\n\r\n",
      "not HTTP at all\r\n\r\n",
      "HTTP/1.1 200",
  };
  for (const std::string& head : heads) {
    BOOST_TEST_CONTEXT(head) {
      const HttpAnswer answer =
          AnswerOf({.bytes = head, .after = AfterAnswer::kClose});
      BOOST_TEST(!answer.end.status.ok());
      BOOST_TEST(answer.end.sent);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_without_a_length)

BOOST_AUTO_TEST_CASE(is_complete_if_its_connection_is_closed) {
  const HttpAnswer answer = AnswerOf(
      {.bytes = "HTTP/1.1 200 OK\r\n\r\nhello", .after = AfterAnswer::kClose});
  BOOST_TEST(answer.end.status.ok());
  BOOST_TEST(answer.body == "hello");
}

BOOST_AUTO_TEST_CASE(is_incomplete_if_its_connection_is_reset) {
  const HttpAnswer answer = AnswerOf(
      {.bytes = "HTTP/1.1 200 OK\r\n\r\nhello", .after = AfterAnswer::kReset});
  BOOST_TEST(!answer.end.status.ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_with_a_length)

BOOST_AUTO_TEST_CASE(is_incomplete_if_bytes_are_missing) {
  const std::string whole = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
  for (size_t cut = 1; cut < whole.size(); ++cut) {
    BOOST_TEST_CONTEXT("cut at byte " << cut) {
      const HttpAnswer answer = AnswerOf(
          {.bytes = whole.substr(0, cut), .after = AfterAnswer::kClose});
      BOOST_TEST(!answer.end.status.ok());
    }
  }
}

BOOST_AUTO_TEST_CASE(leaves_no_bytes_for_the_next_one) {
  EventLoop loop;
  int answers = 0;
  ScriptedServer server(loop, kTestAddress, [&](const std::string&) {
    const std::string own = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n" +
                            std::to_string(++answers);
    return ScriptedAnswer{.bytes = own +
                                   "HTTP/1.1 200 OK\r\n"
                                   "content-length: 5\r\n\r\nextra"};
  });
  HttpClient client(loop, std::chrono::seconds(5));
  for (int round = 1; round <= 3; ++round) {
    std::string body;
    HttpCallRequest request;
    request.address = kTestAddress;
    request.port = server.port();
    client.Fetch(std::move(request),
                 [&](const HttpAnswer& got) { body = got.body; });
    BOOST_TEST_REQUIRE(RunUntil(loop, [&] { return !body.empty(); }));
    BOOST_TEST(body == std::to_string(round));
    RunFor(loop, std::chrono::milliseconds(20));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
