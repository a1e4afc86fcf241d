// Tests of the HTTP server and the HTTP client, connected on one loop.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "io/http_server.h"
#include "oleander/result_code.h"
#include "support/io_fixture.h"

namespace oleander::io {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ExchangePtr = std::shared_ptr<HttpExchange>;

// A server and a client of it.
struct Pair {
  explicit Pair(HttpHandler on_request) : handler(std::move(on_request)) {
    BOOST_REQUIRE(server.Listen().ok());
  }

  HttpCallRequest Request(std::string target) const {
    HttpCallRequest request;
    request.address = kTestAddress;
    request.port = server.port();
    request.target = std::move(target);
    return request;
  }

  HttpAnswer Fetch(HttpCallRequest request) {
    std::optional<HttpAnswer> answer;
    client.Fetch(std::move(request),
                 [&](HttpAnswer a) { answer = std::move(a); });
    BOOST_REQUIRE(RunUntil(loop, [&] { return answer.has_value(); }));
    return *answer;
  }

  EventLoop loop;
  HttpHandler handler;
  HttpServer server{loop, {.address = kTestAddress}, [this](ExchangePtr e) {
                      handler(std::move(e));
                    }};
  HttpClient client{loop, seconds(10)};
};

// Records the callbacks of one streamed call.
struct Seen {
  HttpCallCallbacks Callbacks() {
    return {.on_sent = [this] { sent = true; },
            .on_head =
                [this](int s, const Headers& h) {
                  status = s;
                  headers = h;
                },
            .on_body = [this](std::string_view chunk) { body += chunk; },
            .on_end =
                [this](const HttpCallEnd& e) {
                  ++ends;
                  end = e;
                }};
  }

  bool sent = false;
  int status = 0;
  Headers headers;
  std::string body;
  int ends = 0;
  HttpCallEnd end;
};

void Echo(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  exchange->Respond(
      200,
      {{"x-method", request.method},
       {"x-query", request.query},
       {"x-sent",
        std::string(FindHeader(request.headers, "x-in").value_or("none"))}},
      request.path + "|" + request.body);
}

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_SUITE(a_whole_answer)

BOOST_AUTO_TEST_CASE(carries_method_path_query_headers_and_body) {
  Pair pair(Echo);
  HttpCallRequest request = pair.Request("/a/b?from=12");
  request.method = "POST";
  request.headers = {{"x-in", "v"}};
  request.body = std::string(100'000, 'b');
  const HttpAnswer answer = pair.Fetch(request);
  BOOST_TEST(answer.end.status.ok());
  BOOST_TEST(answer.end.sent);
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(FindHeader(answer.headers, "x-method").value() == "POST");
  BOOST_TEST(FindHeader(answer.headers, "x-query").value() == "from=12");
  BOOST_TEST(FindHeader(answer.headers, "x-sent").value() == "v");
  BOOST_TEST(answer.body == "/a/b|" + request.body);
}

BOOST_AUTO_TEST_CASE(to_head_has_no_body) {
  Pair pair(Echo);
  HttpCallRequest request = pair.Request("/a");
  request.method = "HEAD";
  const HttpAnswer answer = pair.Fetch(request);
  BOOST_TEST(answer.end.status.ok());
  BOOST_TEST(answer.body.empty());
}

BOOST_AUTO_TEST_CASE(reuses_its_connection) {
  Pair pair(Echo);
  BOOST_TEST(pair.Fetch(pair.Request("/1")).body == "/1|");
  const size_t after_first = pair.server.open_connections();
  BOOST_TEST(pair.Fetch(pair.Request("/2")).body == "/2|");
  BOOST_TEST(after_first == 1U);
  BOOST_TEST(pair.server.accepted_connections() == 1U);
}

BOOST_AUTO_TEST_CASE(uses_a_fresh_connection_if_requested) {
  Pair pair(Echo);
  pair.Fetch(pair.Request("/1"));
  HttpCallRequest request = pair.Request("/2");
  request.options.fresh_connection = true;
  BOOST_TEST(pair.Fetch(request).body == "/2|");
  BOOST_TEST(pair.Fetch(request).body == "/2|");
  BOOST_TEST(pair.server.accepted_connections() == 3U);
  // The fresh connections are not pooled.
  BOOST_TEST(
      RunUntil(pair.loop, [&] { return pair.server.open_connections() == 1; }));
}

BOOST_AUTO_TEST_CASE(uses_a_new_connection_after_idle_ones_are_closed) {
  Pair pair(Echo);
  pair.Fetch(pair.Request("/1"));
  pair.client.CloseIdleConnections(kTestAddress, pair.server.port());
  BOOST_TEST(pair.Fetch(pair.Request("/2")).body == "/2|");
  BOOST_TEST(pair.server.accepted_connections() == 2U);
}

BOOST_AUTO_TEST_CASE(reads_many_requests_that_were_sent_at_once) {
  Pair pair(Echo);
  RawConnection raw(kTestAddress, pair.server.port());
  raw.Send(
      "GET /1 HTTP/1.1\r\nhost: h\r\n\r\nGET /2 HTTP/1.1\r\nhost: h\r\n"
      "connection: close\r\n\r\n");
  BOOST_TEST(RunUntil(pair.loop, [&] { return !raw.Poll(); }));
  BOOST_TEST(raw.received().find("/1|") != std::string::npos);
  BOOST_TEST(raw.received().find("/2|") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_streamed_answer)

BOOST_AUTO_TEST_CASE(shows_its_head_before_its_body_and_each_piece_at_once) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) { held = std::move(e); });
  Seen seen;
  const auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return held != nullptr; }));
  held->Begin(200, {{"content-type", "text/event-stream"}});
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.status == 200; }));
  BOOST_TEST(seen.body.empty());
  held->Write("one");
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.body == "one"; }));
  held->Write("two");
  held->Write("three");
  held->End();
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.ends == 1; }));
  BOOST_TEST(seen.body == "onetwothree");
  BOOST_TEST(seen.end.status.ok());
  BOOST_TEST(held->closed());
  BOOST_TEST(
      RunUntil(pair.loop, [&] { return pair.server.open_exchanges() == 0; }));
}

BOOST_AUTO_TEST_CASE(that_is_aborted_is_seen_as_cut_off) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) { held = std::move(e); });
  Seen seen;
  const auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return held != nullptr; }));
  held->Begin(200, {});
  held->Write("half");
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.body == "half"; }));
  held->Abort();
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.ends == 1; }));
  BOOST_TEST(!seen.end.status.ok());
  BOOST_TEST(seen.end.sent);
}

BOOST_AUTO_TEST_CASE(
    that_is_aborted_before_its_first_piece_is_seen_as_cut_off) {
  for (const std::string piece : {"", "half"}) {
    Pair pair([&](const ExchangePtr& e) {
      e->Begin(200, {});
      e->Write(piece);
      e->Abort();
    });
    Seen seen;
    const auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
    BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.ends == 1; }));
    BOOST_TEST(!seen.end.status.ok(), "aborted after \"" << piece << '"');
    BOOST_TEST(seen.end.sent);
  }
}

// Regression: a response of an order desk that was cut off this way was taken
// for a complete response with an empty body.
BOOST_AUTO_TEST_CASE(that_is_cut_between_two_chunks_is_incomplete) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) { held = std::move(e); });
  Seen seen;
  const auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return held != nullptr; }));
  held->Begin(200, {});
  held->Abort();  // No piece of the body was sent.
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.ends == 1; }));
  BOOST_TEST(!seen.end.status.ok());
  BOOST_TEST(seen.end.sent);
}

BOOST_AUTO_TEST_CASE(waits_for_a_reader_that_is_paused) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) { held = std::move(e); });
  Seen seen;
  const auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return held != nullptr; }));
  held->Begin(200, {});
  held->Write("first");
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.body == "first"; }));
  call->Pause();
  constexpr size_t kBytes = size_t{32} << 20;
  held->Write(std::string(kBytes, 'x'));
  int drained = 0;
  held->OnDrained([&] { ++drained; });
  RunFor(pair.loop, milliseconds(50));
  BOOST_TEST(seen.body.size() == 5U);
  BOOST_TEST(held->pending_bytes() == kBytes);
  BOOST_TEST(drained == 0);
  call->Resume();
  BOOST_REQUIRE(
      RunUntil(pair.loop, [&] { return seen.body.size() == 5 + kBytes; }));
  BOOST_TEST(RunUntil(pair.loop, [&] { return drained == 1; }));
  BOOST_TEST(held->pending_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(may_be_paused_as_soon_as_its_head_arrives) {
  Pair pair([&](const ExchangePtr& e) {
    e->Begin(200, {});
    e->Write("piece");
    e->End();
  });
  Seen seen;
  HttpCallCallbacks callbacks = seen.Callbacks();
  std::unique_ptr<HttpCall> call;
  callbacks.on_head = [&](int, const Headers&) { call->Pause(); };
  call = pair.client.Start(pair.Request("/s"), callbacks);
  RunFor(pair.loop, milliseconds(20));
  call->Resume();
  BOOST_TEST(RunUntil(pair.loop, [&] { return seen.ends == 1; }));
  BOOST_TEST(seen.body == "piece");
}

BOOST_AUTO_TEST_SUITE_END()

// Regression: h2o aborted the process if a timer wrote to more connections than
// h2o polls at a time.
BOOST_AUTO_TEST_CASE(many_streamed_answers_may_be_written_from_a_timer) {
  constexpr size_t kStreams = 1000;
  std::vector<ExchangePtr> open;
  Pair pair([&](ExchangePtr e) { open.push_back(std::move(e)); });
  size_t received = 0;
  std::vector<std::unique_ptr<HttpCall>> calls;
  calls.reserve(kStreams);
  for (size_t i = 0; i < kStreams; ++i) {
    calls.push_back(pair.client.Start(
        pair.Request("/s"),
        {.on_sent = {},
         .on_head = {},
         .on_body = [&](std::string_view chunk) { received += chunk.size(); },
         .on_end = {}}));
  }
  size_t rounds = 0;
  const Timer writing = pair.loop.Every(milliseconds(1), [&] {
    if (open.size() < kStreams || received < rounds * kStreams) {
      return;
    }
    for (const ExchangePtr& exchange : open) {
      exchange->Begin(200, {});
      exchange->Write("x");
    }
    ++rounds;
  });
  BOOST_TEST(RunUntil(pair.loop, [&] { return received >= 5 * kStreams; }));
}

BOOST_AUTO_TEST_SUITE(a_caller_that_goes)

BOOST_AUTO_TEST_CASE(before_the_answer_has_started_is_reported_to_the_handler) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) { held = std::move(e); });
  Seen seen;
  auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return held != nullptr; }));
  int disconnects = 0;
  held->OnDisconnected([&] { ++disconnects; });
  call.reset();
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return disconnects == 1; }));
  BOOST_TEST(held->closed());
  held->Respond(200, {}, "nobody hears this");
  BOOST_TEST(
      RunUntil(pair.loop, [&] { return pair.server.open_connections() == 0; }));
  BOOST_TEST(pair.server.open_exchanges() == 0U);
  BOOST_TEST(seen.ends == 0);
  BOOST_TEST(disconnects == 1);
}

BOOST_AUTO_TEST_CASE(while_its_answer_streams_is_reported_to_the_handler) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) { held = std::move(e); });
  Seen seen;
  auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return held != nullptr; }));
  int disconnects = 0;
  held->OnDisconnected([&] { ++disconnects; });
  held->Begin(200, {});
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.status == 200; }));
  // More than the connection's buffers hold, so that a write is in progress.
  call->Pause();
  held->Write(std::string(size_t{32} << 20, 'x'));
  RunFor(pair.loop, milliseconds(20));
  call.reset();
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return disconnects == 1; }));
  held->Write("more");
  held->End();
  BOOST_TEST(
      RunUntil(pair.loop, [&] { return pair.server.open_connections() == 0; }));
  BOOST_TEST(disconnects == 1);
}

BOOST_AUTO_TEST_CASE(frees_the_exchange_if_the_handler_does_not_hold_it) {
  Pair pair([](const ExchangePtr&) {});
  Seen seen;
  auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(
      RunUntil(pair.loop, [&] { return pair.server.open_exchanges() == 1; }));
  call.reset();
  BOOST_TEST(
      RunUntil(pair.loop, [&] { return pair.server.open_exchanges() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_call_that_fails)

BOOST_AUTO_TEST_CASE(to_connect_was_not_sent) {
  EventLoop loop;
  uint16_t closed_port = 0;
  {
    const auto bound = ListenTcp(kTestAddress, 0);
    BOOST_REQUIRE(bound.ok());
    closed_port = bound->port;
    close(bound->fd);
  }
  HttpClient client(loop, seconds(10));
  HttpCallRequest request;
  request.address = kTestAddress;
  request.port = closed_port;
  std::optional<HttpAnswer> answer;
  client.Fetch(request, [&](HttpAnswer a) { answer = std::move(a); });
  BOOST_REQUIRE(RunUntil(loop, [&] { return answer.has_value(); }));
  BOOST_TEST(!answer->end.sent);
  BOOST_TEST((CodeOf(answer->end.status) == ResultCode::kConnectFailed));
}

BOOST_AUTO_TEST_CASE(with_an_address_that_is_no_ip_address_was_not_sent) {
  Pair pair(Echo);
  HttpCallRequest request = pair.Request("/");
  request.address = "localhost";
  const HttpAnswer answer = pair.Fetch(request);
  BOOST_TEST(!answer.end.sent);
  BOOST_TEST((CodeOf(answer.end.status) == ResultCode::kConnectFailed));
}

BOOST_AUTO_TEST_CASE(with_a_line_break_in_a_header_was_not_sent) {
  Pair pair(Echo);
  HttpCallRequest request = pair.Request("/");
  request.headers = {{"x-in", "a\r\nx-other: b"}};
  const HttpAnswer answer = pair.Fetch(request);
  BOOST_TEST(!answer.end.sent);
  BOOST_TEST((CodeOf(answer.end.status) == ResultCode::kMalformedRequest));
  BOOST_TEST(pair.server.accepted_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(by_a_silent_server_was_sent) {
  std::vector<ExchangePtr> held;
  Pair pair([&](ExchangePtr e) { held.push_back(std::move(e)); });
  HttpCallRequest request = pair.Request("/");
  request.options.head_timeout = milliseconds(30);
  const HttpAnswer answer = pair.Fetch(request);
  BOOST_TEST(answer.end.sent);
  BOOST_TEST((CodeOf(answer.end.status) == ResultCode::kStalled));
}

BOOST_AUTO_TEST_CASE(by_a_server_that_stops_half_way_was_sent) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) {
    held = std::move(e);
    held->Begin(200, {});
    held->Write("half");
  });
  HttpCallRequest request = pair.Request("/");
  request.options.progress_timeout = milliseconds(30);
  const HttpAnswer answer = pair.Fetch(request);
  BOOST_TEST(answer.end.sent);
  BOOST_TEST(answer.body == "half");
  BOOST_TEST((CodeOf(answer.end.status) == ResultCode::kStalled));
}

BOOST_AUTO_TEST_CASE(on_a_connection_that_the_server_closed_was_sent) {
  EventLoop loop;
  const auto bound = ListenTcp(kTestAddress, 0);
  BOOST_REQUIRE(bound.ok());
  HttpClient client(loop, seconds(10));
  HttpCallRequest request;
  request.address = kTestAddress;
  request.port = bound->port;
  std::optional<HttpAnswer> answer;
  client.Fetch(request, [&](HttpAnswer a) { answer = std::move(a); });
  int accepted = -1;
  bool request_received = false;
  BOOST_REQUIRE(RunUntil(loop, [&] {
    accepted = accepted >= 0 ? accepted : accept(bound->fd, nullptr, nullptr);
    std::array<char, 1024> bytes;
    request_received = request_received || recv(accepted, bytes.data(),
                                                bytes.size(), MSG_DONTWAIT) > 0;
    return request_received;
  }));
  close(accepted);
  BOOST_REQUIRE(RunUntil(loop, [&] { return answer.has_value(); }));
  BOOST_TEST(answer->end.sent);
  BOOST_TEST((CodeOf(answer->end.status) == ResultCode::kAnswerLost));
  close(bound->fd);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_call_cancelled)

BOOST_AUTO_TEST_CASE(inside_any_of_its_callbacks_makes_no_more) {
  for (const int at : {0, 1, 2}) {
    Pair pair([](const ExchangePtr& e) {
      e->Begin(200, {});
      e->Write("piece");
      e->End();
    });
    std::unique_ptr<HttpCall> call;
    int later = 0;
    int cancelled = 0;
    const auto cancel_at = [&](int here) {
      later += cancelled;
      if (here == at) {
        call.reset();
        ++cancelled;
      }
    };
    HttpCallCallbacks callbacks;
    callbacks.on_sent = [&] { cancel_at(0); };
    callbacks.on_head = [&](int, const Headers&) { cancel_at(1); };
    callbacks.on_body = [&](std::string_view) { cancel_at(2); };
    callbacks.on_end = [&](const HttpCallEnd&) { ++later; };
    call = pair.client.Start(pair.Request("/"), callbacks);
    BOOST_TEST(RunUntil(pair.loop, [&] { return cancelled == 1; }));
    RunFor(pair.loop, milliseconds(10));
    BOOST_TEST(later == 0);
  }
}

BOOST_AUTO_TEST_CASE(inside_its_last_callback_is_safe) {
  Pair pair(Echo);
  std::unique_ptr<HttpCall> call;
  int ends = 0;
  HttpCallCallbacks callbacks;
  callbacks.on_end = [&](const HttpCallEnd&) {
    call.reset();
    ++ends;
  };
  call = pair.client.Start(pair.Request("/"), callbacks);
  BOOST_TEST(RunUntil(pair.loop, [&] { return ends == 1; }));
}

BOOST_AUTO_TEST_CASE(before_it_was_sent_reaches_no_server) {
  int requests = 0;
  Pair pair([&](const ExchangePtr& e) {
    ++requests;
    Echo(e);
  });
  Seen seen;
  auto call = pair.client.Start(pair.Request("/"), seen.Callbacks());
  call.reset();
  RunFor(pair.loop, milliseconds(10));
  BOOST_TEST(requests == 0);
  BOOST_TEST(!seen.sent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_that_stops_accepting)

BOOST_AUTO_TEST_CASE(completes_the_answers_in_progress) {
  ExchangePtr held;
  Pair pair([&](ExchangePtr e) { held = std::move(e); });
  Seen seen;
  const auto call = pair.client.Start(pair.Request("/s"), seen.Callbacks());
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return held != nullptr; }));
  held->Begin(200, {});
  held->Write("one");
  pair.server.StopAccepting();
  const HttpAnswer refused = pair.Fetch(pair.Request("/other"));
  BOOST_TEST(!refused.end.sent);
  // Longer than the grace period of idle connections.
  RunFor(pair.loop, milliseconds(600));
  held->Write("two");
  held->End();
  BOOST_REQUIRE(RunUntil(pair.loop, [&] { return seen.ends == 1; }));
  BOOST_TEST(seen.end.status.ok());
  BOOST_TEST(seen.body == "onetwo");
  BOOST_TEST(
      RunUntil(pair.loop, [&] { return pair.server.open_connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(closes_idle_connections) {
  Pair pair(Echo);
  pair.Fetch(pair.Request("/1"));
  BOOST_TEST(pair.server.open_connections() == 1U);
  pair.server.StopAccepting();
  BOOST_TEST(
      RunUntil(pair.loop, [&] { return pair.server.open_connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(answers_requests_that_arrive_on_open_connections) {
  Pair pair(Echo);
  pair.Fetch(pair.Request("/1"));
  pair.server.StopAccepting();
  const HttpAnswer answer = pair.Fetch(pair.Request("/2"));
  BOOST_TEST(answer.end.status.ok());
  BOOST_TEST(answer.body == "/2|");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_server_destroyed_with_open_answers_closes_them) {
  EventLoop loop;
  std::vector<ExchangePtr> held;
  auto server = std::make_unique<HttpServer>(
      loop, HttpServerOptions{.address = kTestAddress},
      [&](ExchangePtr e) { held.push_back(std::move(e)); });
  BOOST_REQUIRE(server->Listen().ok());
  HttpClient client(loop, seconds(10));
  HttpCallRequest request;
  request.address = kTestAddress;
  request.port = server->port();
  Seen seen;
  const auto call = client.Start(request, seen.Callbacks());
  BOOST_REQUIRE(RunUntil(loop, [&] { return held.size() == 1; }));
  server.reset();
  BOOST_TEST(held[0]->closed());
  held[0]->Write("nobody hears this");
  BOOST_TEST(RunUntil(loop, [&] { return seen.ends == 1; }));
}

BOOST_AUTO_TEST_SUITE(a_query_string)

BOOST_AUTO_TEST_CASE(is_read_by_key_and_decoded) {
  BOOST_TEST(FindQuery("from=12&wait=1", "wait").value() == "1");
  BOOST_TEST(FindQuery("a=x%20y+z&b", "a").value() == "x y z");
  BOOST_TEST(FindQuery("a=1&b", "b").value().empty());
  BOOST_TEST(!FindQuery("a=1", "c").has_value());
  BOOST_TEST(FindQuery("a=%zz%4", "a").value() == "%zz%4");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
