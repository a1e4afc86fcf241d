// Whether a call that is said not to have been sent can reach a server.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "oleander/result_code.h"
#include "support/entry_fixture.h"

namespace oleander::entry {
namespace {

using io::AfterAnswer;
using io::ScriptedAnswer;
using std::chrono::milliseconds;

const ScriptedAnswer kGood = {.bytes = SealedAnswer("done")};

io::HttpCallRequest RequestTo(const io::ScriptedServer& server) {
  io::HttpCallRequest request;
  request.address = io::kTestAddress;
  request.port = server.port();
  return request;
}

void AfterRounds(io::EventLoop& loop, int rounds, std::function<void()> then) {
  if (rounds == 0) {
    then();
    return;
  }
  loop.Post([&loop, rounds, then = std::move(then)] {
    AfterRounds(loop, rounds - 1, then);
  });
}

BOOST_AUTO_TEST_SUITE(not_sent_claims)

BOOST_AUTO_TEST_SUITE(a_call_that_is_cancelled)

// Cancels a call after each number of rounds of the loop. Returns how many of
// them were called not sent.
int UnsentOfCancelled(bool kept_connection) {
  constexpr int kRounds = 12;
  int unsent = 0;
  for (int rounds = 0; rounds < kRounds; ++rounds) {
    io::EventLoop loop;
    size_t earlier = 0;
    io::ScriptedServer server(
        loop, io::kTestAddress, [&](const std::string&) -> ScriptedAnswer {
          return {.bytes = kept_connection && earlier == 0 ? kGood.bytes : ""};
        });
    io::HttpClient client(loop, std::chrono::seconds(5));
    if (kept_connection) {
      client.Fetch(RequestTo(server),
                   [&](const io::HttpAnswer&) { ++earlier; });
      BOOST_TEST_REQUIRE(io::RunUntil(loop, [&] { return earlier == 1U; }));
    }
    auto call = client.Start(RequestTo(server), {});
    bool sent = true;
    AfterRounds(loop, rounds, [&] {
      sent = call->sent();
      call.reset();
    });
    io::RunFor(loop, milliseconds(20));
    unsent += sent ? 0 : 1;
    BOOST_TEST_CONTEXT(rounds) {
      BOOST_TEST((sent || server.requests().size() == earlier));
    }
  }
  BOOST_TEST(unsent < kRounds);
  return unsent;
}

BOOST_AUTO_TEST_CASE(on_a_new_connection_was_sent_if_it_arrives) {
  BOOST_TEST(UnsentOfCancelled(/*kept_connection=*/false) > 0);
}

BOOST_AUTO_TEST_CASE(on_a_kept_connection_was_sent_if_it_arrives) {
  BOOST_TEST(UnsentOfCancelled(/*kept_connection=*/true) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection_that_ends)

BOOST_AUTO_TEST_CASE(while_a_long_request_is_written_leaves_the_call_sent) {
  for (const AfterAnswer after : {AfterAnswer::kClose, AfterAnswer::kReset}) {
    io::EventLoop loop;
    io::ScriptedServer server(loop, io::kTestAddress, [&](const std::string&) {
      return ScriptedAnswer{.bytes = "", .after = after};
    });
    io::HttpClient client(loop, std::chrono::seconds(5));
    io::HttpCallRequest request = RequestTo(server);
    request.method = "POST";
    request.body = std::string(size_t{64} << 20, 'x');
    std::optional<io::HttpAnswer> answer;
    client.Fetch(std::move(request),
                 [&](io::HttpAnswer got) { answer = std::move(got); });
    BOOST_TEST_REQUIRE(io::RunUntil(loop, [&] { return answer.has_value(); }));
    BOOST_TEST(!answer->end.status.ok());
    BOOST_TEST(answer->end.sent);
  }
}

BOOST_AUTO_TEST_CASE(when_it_is_reused_sends_no_call_to_a_second_server) {
  for (const AfterAnswer after : {AfterAnswer::kClose, AfterAnswer::kReset}) {
    EntryFixture entry;
    int later = 0;
    bool first = true;
    const auto script = [&](const std::string&) -> ScriptedAnswer {
      if (std::exchange(first, false)) {
        return kGood;
      }
      ++later;
      return {.bytes = "", .after = after};
    };
    io::ScriptedServer& server = entry.AddServer(script);
    BOOST_TEST(StatusOf(entry.Request("/once/a")) == 200);
    io::ScriptedServer& other = entry.AddServer(script);
    const std::string answer = entry.Request("/once/b");
    BOOST_TEST(StatusOf(answer) == 502);
    BOOST_TEST(Holds(answer, "\"ran\":\"unknown\""));
    BOOST_TEST(later == 1);
    BOOST_TEST(server.requests().size() + other.requests().size() == 2U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// The placer is another instance, whose reply a test gives.
struct Waiting : EntryFixture {
  Waiting() {
    AddServer([this](const std::string&) {
      ++arrived;
      return kGood;
    });
    context.placer.SetCandidates({{.instance = InstanceId("placer"),
                                   .region = RegionId("r"),
                                   .cores = 2}});
    context.placer.OnSend([this](const InstanceId&, const mesh::Envelope& ask) {
      if (ask.has_place_ask()) {
        on_ask(ask.place_ask().call());
      }
    });
  }
  void Reply(uint64_t call) {
    mesh::Envelope reply;
    reply.mutable_place_tell()->set_call(call);
    reply.mutable_place_tell()->set_server("server-1");
    context.placer.OnMessage(InstanceId("placer"), reply);
  }
  std::string LongRequest() {
    return Request("/once/a", "key",
                   "x-oleanderfield-token-counts: 1000,10\r\n");
  }

  int arrived = 0;
  std::function<void(uint64_t call)> on_ask;
};

BOOST_FIXTURE_TEST_SUITE(a_call_that_waits_for_the_placer, Waiting)

BOOST_AUTO_TEST_CASE(is_sent_when_the_reply_comes) {
  on_ask = [this](uint64_t call) { loop.Post([this, call] { Reply(call); }); };
  BOOST_TEST(StatusOf(LongRequest()) == 200);
  BOOST_TEST(arrived == 1);
}

BOOST_AUTO_TEST_CASE(is_not_sent_after_it_was_refused) {
  on_ask = [this](uint64_t call) {
    loop.Post([this, call] {
      handler().EndOpenCalls();
      Reply(call);
    });
  };
  const std::string answer = LongRequest();
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "\"ran\":\"no\""));
  io::RunFor(loop, milliseconds(300));
  BOOST_TEST(arrived == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// The instance goes on at the deadline, with the call's next step due as well.
BOOST_FIXTURE_TEST_SUITE(an_instance_that_was_suspended, Waiting)

constexpr Duration kPastDeadline = milliseconds(2100);

BOOST_AUTO_TEST_CASE(before_the_choice_sends_no_call_that_it_refuses) {
  on_ask = [this](uint64_t call) {
    loop.Post([this, call] {
      std::this_thread::sleep_for(kPastDeadline);
      loop.Post([this, call] { Reply(call); });
    });
  };
  const std::string answer = LongRequest();
  io::RunFor(loop, milliseconds(300));
  BOOST_TEST((arrived == 0 || !Holds(answer, "\"ran\":\"no\"")), answer);
}

BOOST_AUTO_TEST_CASE(after_the_choice_sends_no_call_that_it_refuses) {
  Request("/once/a");  // Leaves a connection to the server.
  arrived = 0;
  on_ask = [this](uint64_t call) {
    loop.Post([this, call] {
      Reply(call);
      std::this_thread::sleep_for(kPastDeadline);
    });
  };
  const std::string answer = LongRequest();
  io::RunFor(loop, milliseconds(300));
  BOOST_TEST((arrived == 0 || !Holds(answer, "\"ran\":\"no\"")), answer);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
