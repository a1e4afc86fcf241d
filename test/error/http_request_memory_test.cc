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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::io
