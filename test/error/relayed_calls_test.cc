// Calls of an instance that is cut off from the backend servers: a peer serves
// them.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/entry_fixture.h"

namespace oleander::entry {
namespace {

using io::AfterAnswer;
using io::ScriptedAnswer;

// An instance whose servers can't be reached, and its peers.
struct CutOff {
  CutOff() {
    for (int i = 0; i < 3; ++i) {
      entry.AddServerAt(1);  // Nothing listens there.
    }
    entry.context.paths.SetServers(3);
  }

  io::ScriptedServer& AddPeer(io::ScriptedServer::Script script) {
    const std::string address = "127.11.0." + std::to_string(peers.size() + 20);
    peers.push_back(std::make_unique<io::ScriptedServer>(
        entry.loop, address, std::move(script), entry.context.relay_port));
    entry.context.relay_port = peers.back()->port();
    RelayPeer peer;
    peer.instance = InstanceId("peer-" + std::to_string(peers.size()));
    peer.location = {.region = RegionId("r"), .domain = DomainId("d")};
    peer.cores = 1;
    peer.address = address;
    list.push_back(peer);
    entry.context.relays.SetPeers(list);
    return *peers.back();
  }
  int asked() const {
    int asked = 0;
    for (const auto& peer : peers) {
      asked += static_cast<int>(peer->requests().size());
    }
    return asked;
  }

  EntryFixture entry;
  std::vector<std::unique_ptr<io::ScriptedServer>> peers;
  std::vector<RelayPeer> list;
};

// A peer's own refusal.
std::string Refusal(ResultCode code) {
  return "HTTP/1.1 503 Refused\r\noleander-code: " +
         std::to_string(static_cast<int>(code)) +
         "\r\nretry-after: 0.123\r\ncontent-length: 2\r\n\r\nno";
}

ScriptedAnswer Serves(const std::string& /*request*/) {
  return {.bytes = SealedAnswer("done")};
}

BOOST_AUTO_TEST_SUITE(relayed_calls)

BOOST_AUTO_TEST_SUITE(a_call_of_an_instance_that_is_cut_off)

BOOST_AUTO_TEST_CASE(is_served_by_a_peer_as_the_caller_sent_it) {
  CutOff cut;
  const io::ScriptedServer& peer = cut.AddPeer(Serves);
  const std::string answer = cut.entry.Request("/once/a");
  BOOST_TEST(StatusOf(answer) == 200);
  BOOST_TEST(BodyOf(answer) == "done");
  BOOST_TEST(Holds(answer, "server-seal: s.1"));
  const std::string& request = peer.requests().front();
  BOOST_TEST(Holds(request, "POST /once/a HTTP/1.1"));
  BOOST_TEST(Holds(request, "host: a.example"));
  BOOST_TEST(Holds(request, "authorization: Token key"));
  BOOST_TEST(Holds(request, kAttempt));
  BOOST_TEST(Holds(request, "oleander-config-version: 7"));
  BOOST_TEST(!Holds(request, "deadline-ms: 3000"));
  BOOST_TEST(!Holds(request, "expect-instance"));
}

BOOST_AUTO_TEST_CASE(goes_to_a_peer_at_once_while_no_server_is_reached) {
  CutOff cut;
  cut.AddPeer(Serves);
  cut.entry.Request("/once/a");
  BOOST_TEST(cut.entry.context.paths.cut_off(cut.entry.loop.now()));
  const std::string before = cut.entry.metrics().Text();
  BOOST_TEST(StatusOf(cut.entry.Request("/once/a")) == 200);
  const std::string after = cut.entry.metrics().Text();
  const std::string attempts = "oleander_entry_attempts_total";
  BOOST_TEST(before.substr(before.rfind(attempts), 60) ==
             after.substr(after.rfind(attempts), 60));
}

BOOST_AUTO_TEST_CASE(streams_its_events) {
  CutOff cut;
  cut.AddPeer([](const std::string&) -> ScriptedAnswer {
    return {.bytes =
                StreamHead() + Chunk(Event(1)) + Chunk(Event(2)) + kLastChunk};
  });
  const std::string answer = cut.entry.Request("/stream/a");
  BOOST_TEST(Holds(answer, Event(2)));
  BOOST_TEST(answer.ends_with(kLastChunk));
}

BOOST_AUTO_TEST_CASE(gets_the_servers_failure) {
  CutOff cut;
  cut.AddPeer([](const std::string&) -> ScriptedAnswer {
    return {.bytes = SealedAnswer("failed", 500)};
  });
  const std::string answer = cut.entry.Request("/once/a");
  BOOST_TEST(StatusOf(answer) == 500);
  BOOST_TEST(BodyOf(answer) == "failed");
}

BOOST_AUTO_TEST_CASE(gets_the_peers_refusal_and_retry_after) {
  CutOff cut;
  cut.AddPeer([](const std::string&) -> ScriptedAnswer {
    return {.bytes = Refusal(ResultCode::kNoServer)};
  });
  cut.AddPeer([](const std::string&) -> ScriptedAnswer {
    return {.bytes = Refusal(ResultCode::kNoServer)};
  });
  const std::string answer = cut.entry.Request("/once/a");
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "retry-after: 0.123"));
  BOOST_TEST(cut.asked() == 1);
}

BOOST_AUTO_TEST_CASE(without_peers_is_refused) {
  CutOff cut;
  const std::string answer = cut.entry.Request("/once/a");
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "\"ran\":\"no\""));
}

BOOST_AUTO_TEST_CASE(is_not_relayed_if_a_server_may_have_run_it) {
  CutOff cut;
  cut.AddPeer(Serves);
  EntryFixture entry;
  entry.AddServer([](const std::string&) -> ScriptedAnswer {
    return {.bytes = "", .after = AfterAnswer::kReset};
  });
  entry.context.relay_port = cut.entry.context.relay_port;
  entry.context.relays.SetPeers(cut.list);
  BOOST_TEST(StatusOf(entry.Request("/once/a")) == 502);
  BOOST_TEST(cut.asked() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_peer_that_cannot_serve)

BOOST_AUTO_TEST_CASE(is_followed_by_the_next_one) {
  for (const ResultCode code :
       {ResultCode::kServersUnreachable, ResultCode::kDraining,
        ResultCode::kMemoryFull, ResultCode::kNoConfiguration}) {
    CutOff cut;
    int asked = 0;
    const auto script = [&](const std::string&) -> ScriptedAnswer {
      return {.bytes = asked++ == 0 ? Refusal(code) : SealedAnswer("done")};
    };
    cut.AddPeer(script);
    cut.AddPeer(script);
    BOOST_TEST_CONTEXT(static_cast<int>(code)) {
      BOOST_TEST(StatusOf(cut.entry.Request("/once/a")) == 200);
      BOOST_TEST(asked == 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(is_the_end_of_the_call_if_there_is_no_other) {
  CutOff cut;
  cut.AddPeer([](const std::string&) -> ScriptedAnswer {
    return {.bytes = Refusal(ResultCode::kServersUnreachable)};
  });
  const std::string answer = cut.entry.Request("/once/a");
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "\"code\":2116"));
  BOOST_TEST(Holds(answer, "\"ran\":\"no\""));
}

BOOST_AUTO_TEST_CASE(is_noticed_if_nothing_listens_there) {
  CutOff cut;
  cut.AddPeer(Serves);
  cut.list.front().address = "127.11.0.99";
  cut.entry.context.relays.SetPeers(cut.list);
  BOOST_TEST(StatusOf(cut.entry.Request("/once/a")) == 503);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_that_a_peer_loses)

BOOST_AUTO_TEST_CASE(is_asked_for_again_only_if_the_call_may_repeat) {
  struct Row {
    const char* path;
    int status;
    int asked;
  };
  for (const Row row : {Row{.path = "/once/a", .status = 502, .asked = 1},
                        Row{.path = "/repeat/a", .status = 200, .asked = 2}}) {
    CutOff cut;
    int asked = 0;
    const auto script = [&](const std::string&) -> ScriptedAnswer {
      return asked++ == 0
                 ? ScriptedAnswer{.bytes = "", .after = AfterAnswer::kReset}
                 : ScriptedAnswer{.bytes = SealedAnswer("done")};
    };
    cut.AddPeer(script);
    cut.AddPeer(script);
    BOOST_TEST_CONTEXT(row.path) {
      const std::string answer = cut.entry.Request(row.path);
      BOOST_TEST(StatusOf(answer) == row.status);
      BOOST_TEST(!Holds(answer, "\"ran\":\"no\""));
      BOOST_TEST(asked == row.asked);
    }
  }
}

BOOST_AUTO_TEST_CASE(after_a_loss_no_refusal_says_that_it_did_not_run) {
  CutOff cut;
  int asked = 0;
  const auto script = [&](const std::string&) -> ScriptedAnswer {
    return asked++ == 0
               ? ScriptedAnswer{.bytes = "", .after = AfterAnswer::kReset}
               : ScriptedAnswer{.bytes = Refusal(ResultCode::kNoServer)};
  };
  cut.AddPeer(script);
  cut.AddPeer(script);
  const std::string answer = cut.entry.Request("/repeat/a");
  BOOST_TEST(StatusOf(answer) == 502);
  BOOST_TEST(asked == 2);
}

BOOST_AUTO_TEST_CASE(breaks_off_its_stream) {
  CutOff cut;
  cut.AddPeer([](const std::string&) -> ScriptedAnswer {
    return {.bytes = StreamHead() + Chunk(Event(1)),
            .after = AfterAnswer::kClose};
  });
  const std::string answer = cut.entry.Request("/stream/a");
  BOOST_TEST(Holds(answer, Event(1)));
  BOOST_TEST(!answer.ends_with(kLastChunk));
}

BOOST_AUTO_TEST_CASE(is_unknown_when_the_deadline_passes) {
  CutOff cut;
  cut.AddPeer(
      [](const std::string&) -> ScriptedAnswer { return {.bytes = ""}; });
  cut.entry.deadline = std::chrono::milliseconds(80);
  BOOST_TEST(StatusOf(cut.entry.Request("/once/a")) == 504);
}

BOOST_AUTO_TEST_SUITE_END()

// The peer's side, with a server of its own for the calls that it relays.
BOOST_AUTO_TEST_SUITE(a_call_that_a_peer_relays)

struct Relaying {
  Relaying()
      : server(entry.loop, {.address = io::kTestAddress},
               [this](std::shared_ptr<io::HttpExchange> exchange) {
                 entry.handler().HandleFromPeer(std::move(exchange));
               }) {
    BOOST_REQUIRE(server.Listen().ok());
  }
  std::string Request(const std::string& more = "") {
    io::RawConnection connection(io::kTestAddress, server.port());
    connection.Send(std::string("POST /once/a HTTP/1.1\r\nhost: a.example\r\n"
                                "x-oleanderfield-attempt-id: ") +
                    kAttempt + "\r\n" + more +
                    "x-oleanderfield-deadline-ms: 900\r\nauthorization: "
                    "Token key\r\nconnection: close\r\ncontent-length: "
                    "2\r\n\r\nhi");
    BOOST_TEST_REQUIRE(
        io::RunUntil(entry.loop, [&] { return !connection.Poll(); }));
    return connection.received();
  }
  EntryFixture entry;
  io::HttpServer server;
};

BOOST_AUTO_TEST_CASE(is_served_without_taking_quota_again) {
  Relaying relaying;
  relaying.entry.AddServer(Serves);
  relaying.entry.SetQuota(1);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(StatusOf(relaying.Request()) == 200);
  }
}

// A caller that has seen a newer configuration in force must not be served by
// an older one.
BOOST_AUTO_TEST_CASE(is_refused_if_the_configuration_here_is_older) {
  Relaying relaying;
  const io::ScriptedServer& server = relaying.entry.AddServer(Serves);
  const std::string answer = relaying.Request("oleander-config-version: 8\r\n");
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "oleander-code: 2111"));
  for (const std::string version : {"6", "7", "x"}) {
    BOOST_TEST(StatusOf(relaying.Request("oleander-config-version: " + version +
                                         "\r\n")) == 200);
    BOOST_TEST(!Holds(server.requests().back(), "oleander-config-version"));
  }
}

BOOST_AUTO_TEST_CASE(is_refused_if_no_server_is_reached_here_either) {
  Relaying relaying;
  CutOff other;
  relaying.entry.AddServerAt(1);
  other.AddPeer(Serves);
  relaying.entry.context.relay_port = other.entry.context.relay_port;
  relaying.entry.context.relays.SetPeers(other.list);
  const std::string answer = relaying.Request();
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "oleander-code: 2116"));
  BOOST_TEST(other.asked() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
