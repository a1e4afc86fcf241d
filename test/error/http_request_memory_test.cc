// A burst of requests with large bodies is refused beyond a bound, each with an
// answer, and small requests are served beside it.
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <list>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "io/http_server.h"
#include "support/io_fixture.h"

namespace oleander::io {
namespace {

using ExchangePtr = std::shared_ptr<HttpExchange>;

constexpr size_t kMiB = size_t{1} << 20;
constexpr size_t kLargeBytes = 4 * kMiB;
constexpr size_t kDefaultBound = 64 * kMiB;

// A caller that sends as fast as the server reads.
class Caller {
 public:
  Caller(uint16_t port, std::string bytes) : bytes_(std::move(bytes)) {
    const auto target = ParseAddress(kTestAddress, port);
    fd_ = socket(target->bytes.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(connect(fd_, target->raw(), target->length) == 0);
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  ~Caller() { close(fd_); }

  void Send(std::string bytes) {
    bytes_ = std::move(bytes);
    sent_ = 0;
    received_.clear();
  }

  // Sends and reads without waiting. Returns what was received so far.
  const std::string& Poll() {
    while (sent_ < bytes_.size()) {
      const ssize_t count =
          send(fd_, bytes_.data() + sent_, bytes_.size() - sent_,
               MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count <= 0) {
        break;
      }
      sent_ += static_cast<size_t>(count);
    }
    std::array<char, 4096> buffer;
    ssize_t count = 0;
    while ((count = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT)) >
           0) {
      received_.append(buffer.data(), static_cast<size_t>(count));
    }
    return received_;
  }

  bool has_sent_all() const { return sent_ == bytes_.size(); }

 private:
  int fd_ = -1;
  std::string bytes_;
  size_t sent_ = 0;
  std::string received_;
};

std::string Post(size_t bytes, char letter = 'x',
                 const std::string& path = "/") {
  return "POST " + path +
         " HTTP/1.1\r\nhost: h\r\ncontent-length: " + std::to_string(bytes) +
         "\r\n\r\n" + std::string(bytes, letter);
}

// Keeps each request until it is answered by the test.
struct Server {
  explicit Server(HttpServerOptions options = {.address = kTestAddress})
      : http(loop, std::move(options), [this](const ExchangePtr& exchange) {
          open.push_back(exchange);
        }) {
    BOOST_REQUIRE(http.Listen().ok());
  }

  Caller& Call(std::string bytes) {
    return callers.emplace_back(http.port(), std::move(bytes));
  }
  // Runs until each caller's request is with the handler or was answered.
  bool Settle() {
    return RunUntil(loop, [this] {
      const auto answered = std::ranges::count_if(
          callers, [](Caller& caller) { return !caller.Poll().empty(); });
      return answered + open.size() == callers.size();
    });
  }
  size_t HandlersBytes() const {
    return std::transform_reduce(
        open.begin(), open.end(), size_t{0}, std::plus<>(),
        [](const ExchangePtr& one) { return one->request().body.size(); });
  }

  EventLoop loop;
  std::vector<ExchangePtr> open;
  std::list<Caller> callers;
  HttpServer http;
};

bool IsRefusal(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 503 ") &&
         answer.find("\"code\":2106") != std::string::npos &&
         answer.find("\"ran\":\"no\"") != std::string::npos &&
         answer.find("retry-after: 1\r\n") != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(http_request_memory)

BOOST_AUTO_TEST_CASE(the_bodies_that_a_handler_holds_stay_within_a_bound) {
  Server server;
  for (int i = 0; i < 24; ++i) {
    server.Call(Post(kLargeBytes));
    BOOST_REQUIRE(server.Settle());
  }
  BOOST_TEST(server.HandlersBytes() <= kDefaultBound);
  BOOST_TEST(!server.open.empty());
  const auto refused = std::ranges::count_if(
      server.callers, [](Caller& caller) { return IsRefusal(caller.Poll()); });
  BOOST_TEST(server.open.size() + refused == server.callers.size());
}

// A quarter of this is kept for small bodies, so that two large ones fit.
HttpServerOptions Narrow() {
  return {.address = kTestAddress, .max_held_body_bytes = 12 * kMiB};
}

BOOST_AUTO_TEST_SUITE(when_two_large_bodies_are_held)

struct Full : Server {
  Full() : Server(Narrow()) {
    Call(Post(kLargeBytes, 'a'));
    Call(Post(kLargeBytes, 'b'));
    BOOST_REQUIRE(Settle());
    BOOST_REQUIRE(open.size() == 2);
  }
};

BOOST_FIXTURE_TEST_CASE(a_third_is_read_to_its_end_and_refused, Full) {
  Caller& third = Call(Post(kLargeBytes));
  BOOST_REQUIRE(Settle());
  BOOST_TEST(IsRefusal(third.Poll()), third.Poll());
  BOOST_TEST(third.has_sent_all());
  BOOST_TEST(open.size() == 2);
  BOOST_TEST(http.held_body_bytes() == 2 * kLargeBytes);
}

BOOST_FIXTURE_TEST_CASE(the_refused_connection_serves_the_next_request, Full) {
  Caller& third = Call(Post(kLargeBytes));
  BOOST_REQUIRE(Settle());
  open.front()->Respond(200, {}, "done");
  open.erase(open.begin());
  BOOST_REQUIRE(
      RunUntil(loop, [this] { return http.held_body_bytes() == kLargeBytes; }));
  third.Send(Post(kLargeBytes, 'c', "/again"));
  BOOST_REQUIRE(RunUntil(loop, [&] {
    third.Poll();
    return open.size() == 2;
  }));
  BOOST_TEST(open.back()->request().path == "/again");
  BOOST_TEST(open.back()->request().body == std::string(kLargeBytes, 'c'));
}

BOOST_FIXTURE_TEST_CASE(a_request_behind_the_refused_body_is_served, Full) {
  Call(Post(kLargeBytes) + "GET /behind HTTP/1.1\r\nhost: h\r\n\r\n");
  BOOST_REQUIRE(RunUntil(loop, [this] {
    callers.back().Poll();
    return open.size() == 3;
  }));
  BOOST_TEST(open.back()->request().path == "/behind");
  BOOST_TEST(IsRefusal(callers.back().Poll()));
}

BOOST_FIXTURE_TEST_CASE(requests_without_and_with_a_small_body_are_served,
                        Full) {
  Call("GET /get HTTP/1.1\r\nhost: h\r\n\r\n");
  BOOST_REQUIRE(Settle());
  BOOST_TEST(open.back()->request().path == "/get");
  Call(Post(72000, 's', "/small"));
  BOOST_REQUIRE(Settle());
  BOOST_TEST(open.size() == 4);
  BOOST_TEST(open.back()->request().body == std::string(72000, 's'));
}

BOOST_FIXTURE_TEST_CASE(a_body_of_unknown_length_is_refused_as_it_arrives,
                        Full) {
  Caller& third = Call(
      "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
      "300000\r\n" +
      std::string(3 * kMiB, 'x'));
  BOOST_REQUIRE(Settle());
  BOOST_TEST(IsRefusal(third.Poll()), third.Poll());
  BOOST_TEST(open.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(a_body_that_waits_for_leave_is_refused_at_last, Full) {
  Caller& third = Call(
      "POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n"
      "content-length: 4194304\r\n\r\n" +
      std::string(kLargeBytes, 'x'));
  BOOST_REQUIRE(RunUntil(
      loop, [&] { return third.Poll().find("ran") != std::string::npos; }));
  BOOST_TEST(third.Poll().find("\"code\":2106") != std::string::npos,
             third.Poll());
  BOOST_TEST(open.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_makes_room_once_it_is_let_go,
                        Full) {
  callers.clear();
  BOOST_REQUIRE(RunUntil(loop, [this] { return open.back()->closed(); }));
  BOOST_TEST(http.held_body_bytes() == 2 * kLargeBytes);
  open.clear();
  BOOST_REQUIRE(RunUntil(loop, [this] { return http.held_body_bytes() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_large_bodies_are_announced)

BOOST_AUTO_TEST_CASE(they_count_before_they_arrive) {
  Server server(Narrow());
  const std::string head =
      "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4194304\r\n\r\n";
  for (int i = 0; i < 2; ++i) {
    server.Call(head + "the beginning");
  }
  BOOST_REQUIRE(RunUntil(server.loop, [&] {
    std::ranges::for_each(server.callers, &Caller::Poll);
    return server.http.held_body_bytes() == 2 * kLargeBytes;
  }));
  Caller& third = server.Call(Post(kLargeBytes));
  BOOST_REQUIRE(RunUntil(server.loop, [&] { return IsRefusal(third.Poll()); }));
  BOOST_TEST(server.open.empty());
  server.callers.clear();
  BOOST_TEST(RunUntil(server.loop,
                      [&] { return server.http.held_body_bytes() == 0; }));
}

BOOST_AUTO_TEST_CASE(one_alone_fits_in_any_bound) {
  Server server({.address = kTestAddress, .max_held_body_bytes = kMiB});
  server.Call(Post(kLargeBytes));
  BOOST_REQUIRE(server.Settle());
  BOOST_TEST(server.open.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_requests_follow_each_other_on_a_connection)

std::string Served(Server& server, std::string bytes, size_t count) {
  Caller& caller = server.Call(std::move(bytes));
  std::string bodies;
  for (size_t i = 0; i < count; ++i) {
    BOOST_REQUIRE(RunUntil(server.loop, [&] {
      caller.Poll();
      return !server.open.empty();
    }));
    const ExchangePtr exchange = std::move(server.open.back());
    server.open.clear();
    bodies += exchange->request().path + exchange->request().body;
    exchange->Respond(200, {}, "ok");
  }
  return bodies;
}

BOOST_AUTO_TEST_CASE(each_has_its_own_body) {
  Server server;
  const std::string got =
      Served(server,
             Post(3, 'a', "/1") + "GET /2 HTTP/1.1\r\nhost: h\r\n\r\n" +
                 Post(2, 'b', "/3") +
                 "POST /4 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: "
                 "chunked\r\n\r\n2\r\ncc\r\n0\r\n\r\n" +
                 Post(0, 'd', "/5") + Post(1, 'e', "/6"),
             6);
  BOOST_TEST(got == "/1aaa/2/3bb/4cc/5/6e");
  BOOST_TEST(RunUntil(server.loop,
                      [&] { return server.http.held_body_bytes() == 0; }));
}

BOOST_AUTO_TEST_CASE(a_large_body_keeps_its_bytes) {
  Server server;
  std::string body(kLargeBytes, ' ');
  for (size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>('a' + i % 23);
  }
  const std::string got =
      Served(server,
             "POST / HTTP/1.1\r\nhost: h\r\nContent-Length:  4194304"
             "\r\n\r\n" +
                 body + Post(2, 'z', "/next"),
             2);
  BOOST_TEST((got == "/" + body + "/nextzz"));
}

BOOST_AUTO_TEST_CASE(bytes_that_come_one_by_one_make_the_same_request) {
  Server server;
  const std::string bytes = Post(5, 'a', "/slow") + Post(1, 'b', "/next");
  Caller& caller = server.Call("");
  for (const char byte : bytes.substr(0, bytes.find("/next") - 5)) {
    caller.Send(std::string(1, byte));
    caller.Poll();
    RunFor(server.loop, std::chrono::microseconds(50));
  }
  BOOST_REQUIRE(RunUntil(server.loop, [&] { return !server.open.empty(); }));
  BOOST_TEST(server.open.front()->request().path == "/slow");
  BOOST_TEST(server.open.front()->request().body == "aaaaa");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_attempts_share_a_body)

BOOST_AUTO_TEST_CASE(it_is_sent_uncopied_and_let_go_when_the_answer_begins) {
  Server server;
  HttpClient client(server.loop, std::chrono::seconds(1));
  const auto body = std::make_shared<const std::string>(kLargeBytes, 'b');
  bool begun = false;
  HttpCallCallbacks callbacks;
  callbacks.on_head = [&](int, const Headers&) {
    begun = true;
    BOOST_TEST(body.use_count() == 1);
  };
  const auto call = client.Start({.address = kTestAddress,
                                  .port = server.http.port(),
                                  .method = "POST",
                                  .headers = {},
                                  .body = {},
                                  .shared_body = body,
                                  .options = {}},
                                 std::move(callbacks));
  BOOST_TEST(body.use_count() == 2);
  BOOST_REQUIRE(RunUntil(server.loop, [&] { return !server.open.empty(); }));
  BOOST_TEST((server.open.front()->request().body == *body));
  server.open.front()->Respond(200, {}, "ok");
  BOOST_TEST(RunUntil(server.loop, [&] { return begun; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
