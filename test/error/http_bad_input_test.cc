// Malformed requests get a client error, reach no handler, and the server keeps
// serving afterwards.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "io/http_server.h"
#include "support/io_fixture.h"

namespace oleander::io {
namespace {

using ExchangePtr = std::shared_ptr<HttpExchange>;

struct Server {
  Server() { BOOST_REQUIRE(http.Listen().ok()); }

  // Sends `bytes` on a new connection and returns what the server sends back.
  // Waits until the server closes the connection or, if `enough` isn't empty,
  // until the response contains it.
  std::string SendAndReceive(std::string_view bytes,
                             std::string_view enough = "") {
    RawConnection raw(kTestAddress, http.port());
    raw.Send(bytes);
    BOOST_TEST(RunUntil(loop, [&] {
      return !raw.Poll() || (!enough.empty() &&
                             raw.received().find(enough) != std::string::npos);
    }));
    return raw.received();
  }

  // Checks that no request has reached the handler so far and that a valid
  // request does.
  void ExpectServing() {
    BOOST_TEST(handled == 0);
    const std::string answer =
        SendAndReceive("GET /fine HTTP/1.1\r\nhost: h\r\n\r\n", "fine!");
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(handled == 1);
  }

  EventLoop loop;
  int handled = 0;
  HttpServer http{loop,
                  {.address = kTestAddress,
                   .max_body_bytes = 1000,
                   .max_header_bytes = 2000},
                  [this](const ExchangePtr& exchange) {
                    ++handled;
                    exchange->Respond(200, {}, "fine!");
                  }};
};

// Returns whether `answer` has this HTTP status, this result code and ran "no".
bool HasError(const std::string& answer, int status, int code) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ") &&
         answer.find("{\"error\":{\"code\":" + std::to_string(code) + ",") !=
             std::string::npos &&
         answer.find("\"ran\":\"no\"") != std::string::npos;
}

// Returns whether `answer` is the fixed text with which h2o itself answers a
// request whose head it can't parse. h2o then closes the connection, and no
// code of this project runs.
bool IsRefusedUnparsed(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 400 ") &&
         answer.find("\r\nConnection: close\r\n") != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(http_bad_input)

BOOST_AUTO_TEST_CASE(an_invalid_request_line_is_malformed) {
  Server server;
  const std::string answer = server.SendAndReceive("nonsense \x01\x02\r\n\r\n");
  BOOST_TEST(IsRefusedUnparsed(answer), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(a_header_without_a_colon_is_malformed) {
  Server server;
  const std::string answer = server.SendAndReceive(
      "GET / HTTP/1.1\r\nhost: h\r\nno colon here\r\n\r\n");
  BOOST_TEST(IsRefusedUnparsed(answer), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(a_content_length_that_is_not_a_number_is_malformed) {
  Server server;
  const std::string answer = server.SendAndReceive(
      "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ten\r\n\r\n0123456789");
  BOOST_TEST(HasError(answer, 400, 1101), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(a_body_beyond_the_limit_is_refused_by_its_length) {
  Server server;
  const std::string answer = server.SendAndReceive(
      "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1001\r\n\r\n");
  BOOST_TEST(HasError(answer, 413, 1104), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(a_chunked_body_beyond_the_limit_is_refused) {
  Server server;
  const std::string answer = server.SendAndReceive(
      "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: "
      "chunked\r\n\r\n3e9\r\n" +
      std::string(1001, 'x') + "\r\n0\r\n\r\n");
  BOOST_TEST(HasError(answer, 413, 1104), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(a_chunk_size_that_is_not_a_number_is_malformed) {
  Server server;
  const std::string answer = server.SendAndReceive(
      "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n");
  BOOST_TEST(HasError(answer, 400, 1101), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(headers_beyond_the_limit_are_refused) {
  Server server;
  const std::string answer = server.SendAndReceive(
      "GET / HTTP/1.1\r\nhost: h\r\nx-big: " + std::string(2001, 'x') +
          "\r\n\r\n",
      "\"ran\":\"no\"");
  BOOST_TEST(HasError(answer, 431, 1105), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(too_many_headers_are_malformed) {
  Server server;
  std::string request = "GET / HTTP/1.1\r\nhost: h\r\n";
  for (int i = 0; i < 200; ++i) {
    request += "a: b\r\n";
  }
  const std::string answer = server.SendAndReceive(request + "\r\n");
  BOOST_TEST(IsRefusedUnparsed(answer), answer);
  server.ExpectServing();
}

BOOST_AUTO_TEST_CASE(half_a_request_and_a_closed_connection_reach_no_handler) {
  Server server;
  {
    RawConnection raw(kTestAddress, server.http.port());
    raw.Send("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n01234");
    BOOST_TEST(RunUntil(server.loop,
                        [&] { return server.http.open_connections() == 1; }));
  }
  BOOST_TEST(RunUntil(server.loop,
                      [&] { return server.http.open_connections() == 0; }));
  server.ExpectServing();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
