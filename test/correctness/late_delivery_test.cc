// Calls that were given up, or whose process ended, don't arrive later. A
// connection that is only closed leaves it to the kernel to deliver bytes that
// a cut link held up, seconds after the link has healed; a reset drops them.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <optional>

#include "io/http_client.h"
#include "oleander/result_code.h"
#include "platform/duty_client.h"
#include "platform/store_client.h"
#include "support/io_fixture.h"
#include "support/scripted_server.h"

namespace oleander {
namespace {

using io::HttpAnswer;
using io::HttpCallRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A server that reads requests and never answers, and a client of it.
struct SilentServer {
  HttpCallRequest Request() const {
    HttpCallRequest request;
    request.address = io::kTestAddress;
    request.port = server.port();
    request.options.head_timeout = milliseconds(30);
    return request;
  }
  bool UntilRequested() {
    return io::RunUntil(loop, [&] { return !server.requests().empty(); });
  }

  // Returns the client's end of its connection to the server.
  int ClientEnd() const {
    constexpr int kMostDescriptors = 1024;
    for (int fd = 3; fd < kMostDescriptors; ++fd) {
      sockaddr_in peer = {};
      socklen_t size = sizeof peer;
      if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
          peer.sin_family == AF_INET && ntohs(peer.sin_port) == server.port()) {
        return fd;
      }
    }
    return -1;
  }
  // Whether the kernel drops undelivered bytes when the process ends.
  bool DropsAtEnd() const {
    linger value = {};
    socklen_t size = sizeof value;
    return getsockopt(ClientEnd(), SOL_SOCKET, SO_LINGER, &value, &size) == 0 &&
           value.l_onoff != 0 && value.l_linger == 0;
  }
  // How long the kernel tries to deliver sent bytes; zero for its own default.
  Duration DeliveryBound() const {
    unsigned int value = 0;
    socklen_t size = sizeof value;
    getsockopt(ClientEnd(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &size);
    return milliseconds(value);
  }

  io::EventLoop loop;
  io::ScriptedServer server{loop, io::kTestAddress, [](const std::string&) {
                              return io::ScriptedAnswer{.bytes = ""};
                            }};
  io::HttpClient client{loop, seconds(10)};
};

BOOST_FIXTURE_TEST_SUITE(late_delivery, SilentServer)

BOOST_AUTO_TEST_SUITE(of_a_call_that_was_given_up)

BOOST_AUTO_TEST_CASE(after_its_timeout_is_prevented_by_a_reset) {
  bool ended = false;
  client.Fetch(Request(), [&](const HttpAnswer&) { ended = true; });
  BOOST_TEST(io::RunUntil(loop, [&] { return ended; }));
  io::RunFor(loop, milliseconds(20));
  BOOST_TEST(server.resets() == 1);
}

BOOST_AUTO_TEST_CASE(by_its_owner_is_prevented_by_a_reset) {
  auto call = client.Start(Request(), {});
  BOOST_TEST(UntilRequested());
  call.reset();
  io::RunFor(loop, milliseconds(20));
  BOOST_TEST(server.resets() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

// A killed process resets nothing itself, and a suspended one gives up late.
BOOST_AUTO_TEST_SUITE(after_the_process_ended_or_was_suspended)

BOOST_AUTO_TEST_CASE(is_prevented_for_orders_and_usage_reports) {
  platform::DutyClient duties(client, {.address = io::kTestAddress,
                                       .port = server.port(),
                                       .holder = InstanceId("one")});
  duties.OrderServers(
      {.service = ServiceId("pool"), .domain = DomainId("a"), .servers = 3}, 7,
      [](const absl::Status&) {});
  BOOST_TEST(UntilRequested());
  BOOST_TEST(DropsAtEnd());
  BOOST_TEST((DeliveryBound() == seconds(1)));
}

BOOST_AUTO_TEST_CASE(is_prevented_for_the_stores_writes_and_leases) {
  platform::StoreClient store(
      client, {.address = io::kTestAddress, .port = server.port()},
      [](int64_t) { return true; });
  store.LeaseGrant({.call = 1, .ttl = seconds(5)},
                   [](const absl::StatusOr<StoreLeaseAnswer>&) {});
  BOOST_TEST(UntilRequested());
  BOOST_TEST(DropsAtEnd());
  BOOST_TEST((DeliveryBound() > Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_ruled_out_for_an_order_whose_answer_was_lost) {
  platform::DutyClient duties(client, {.address = io::kTestAddress,
                                       .port = server.port(),
                                       .holder = InstanceId("holder"),
                                       .timeout = milliseconds(30)});
  std::optional<absl::Status> outcome;
  duties.SendUsage({.window = 1, .counts = {}}, 1,
                   [&](const absl::Status& status) { outcome = status; });
  BOOST_TEST_REQUIRE(io::RunUntil(loop, [&] { return outcome.has_value(); }));
  BOOST_TEST(server.requests().size() == 1U);
  BOOST_TEST((DetailsOf(*outcome).ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
