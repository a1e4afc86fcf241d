// Calls whose prompts contain a part that crashes each server that begins to
// answer, beside sound calls that share everything else with them.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/entry_fixture.h"

namespace oleander::entry {
namespace {

using io::AfterAnswer;
using io::ScriptedAnswer;
using std::chrono::milliseconds;

constexpr int kServers = 12;
// Servers may end before the part must be known; three more calls with it may
// reach servers then.
constexpr int kCrashesToLearn = 5;
constexpr int kAllowedLater = 3;

std::string PromptOf(const std::string& middle, int last) {
  return "x-oleanderfield-token-counts: 170,8\r\n"
         "x-oleanderfield-prompt-prefix: 5c1e07a2:100," +
         middle + ":50," + std::to_string(last) + ":20\r\n";
}

struct PoisonFixture : EntryFixture {
  PoisonFixture() {
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(
          &AddServer([this](const std::string& request) -> ScriptedAnswer {
            if (Holds(request, "bad:50") && poisonous) {
              return {.bytes = StreamHead(), .after = AfterAnswer::kClose};
            }
            return {.bytes = StreamHead() + Chunk(Event(1)) + kLastChunk,
                    .after = AfterAnswer::kKeep};
          }));
    }
  }

  std::string Ask(const std::string& middle) {
    return Request("/resume/a", "key", PromptOf(middle, ++asked));
  }
  // Returns the calls with the part that reached servers.
  int reached() const {
    int count = 0;
    for (const io::ScriptedServer* server : servers) {
      count += static_cast<int>(std::ranges::count_if(
          server->requests(),
          [](const std::string& request) { return Holds(request, "bad:50"); }));
    }
    return count;
  }

  std::vector<io::ScriptedServer*> servers;
  bool poisonous = true;
  int asked = 0;
};

BOOST_AUTO_TEST_SUITE(a_prompt_part_that_crashes_servers)

// BUDGET on tortared (inc1): 101 servers ended, 57 of them after the fifth.
BOOST_AUTO_TEST_CASE(ends_no_more_servers_once_it_is_known) {
  PoisonFixture entry;
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(StatusOf(entry.Ask("bad")) >= 500);
    BOOST_TEST(StatusOf(entry.Ask("good")) == 200);
  }
  BOOST_TEST(entry.reached() <= kCrashesToLearn + kAllowedLater);
}

BOOST_AUTO_TEST_CASE(is_refused_at_once_with_its_evidence) {
  PoisonFixture entry;
  entry.Ask("bad");
  entry.Ask("bad");
  const int reached = entry.reached();
  const Time asked_at = entry.loop.now();
  const std::string answer = entry.Ask("bad");
  BOOST_TEST((entry.loop.now() - asked_at < milliseconds(50)));
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "\"ran\":\"no\""));
  BOOST_TEST(Holds(answer, "\"code\":2113"));
  BOOST_TEST(Holds(answer, "part bad"));
  BOOST_TEST(Holds(answer, "3 servers crashed"));
  BOOST_TEST(Holds(answer, "retry-after: "));
  BOOST_TEST(entry.reached() == reached);
  BOOST_TEST(
      Holds(entry.metrics().Text(), "oleander_entry_suspected_prompt_parts 1"));
}

BOOST_AUTO_TEST_CASE(
    is_not_carried_to_the_next_server_while_suspicion_is_open) {
  PoisonFixture entry;
  BOOST_TEST(StatusOf(entry.Ask("bad")) == 502);
  BOOST_TEST(entry.reached() == 2);
  BOOST_TEST(StatusOf(entry.Ask("bad")) == 502);
  BOOST_TEST(entry.reached() == 3);
}

BOOST_AUTO_TEST_CASE(is_sent_again_once_it_was_answered_on) {
  PoisonFixture entry;
  entry.Ask("bad");
  entry.Ask("bad");
  BOOST_TEST(StatusOf(entry.Ask("bad")) == 503);
  BOOST_TEST(StatusOf(entry.Ask("good")) == 200);
  entry.poisonous = false;
  entry.context.poison.OnAnswer(entry.loop.now(), {HashOfPart("bad")});
  int told = 0;
  entry.context.on_crash_news = [&told] { ++told; };
  BOOST_TEST(StatusOf(entry.Ask("bad")) == 200);
  BOOST_TEST(told == 1);
}

BOOST_AUTO_TEST_CASE(that_is_the_last_one_is_not_blamed) {
  PoisonFixture entry;
  for (int call = 0; call < 4; ++call) {
    entry.Request("/resume/a", "key",
                  "x-oleanderfield-prompt-prefix: bad:50\r\n");
  }
  BOOST_TEST(entry.context.poison.suspected_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
