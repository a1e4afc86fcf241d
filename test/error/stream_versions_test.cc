// Streams while servers of several software versions serve side by side: the
// pieces that two versions write don't fit together.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/entry_fixture.h"

namespace oleander::entry {
namespace {

using io::AfterAnswer;
using io::ScriptedAnswer;

constexpr int kEvents = 4;

// Events `first` to `last` as a chunked stream, with its end if it is whole.
std::string Events(int first, int last) {
  std::string bytes = StreamHead();
  for (int id = first; id <= last; ++id) {
    bytes += Chunk(Event(id));
  }
  return last == kEvents ? bytes + kLastChunk : bytes;
}

int LastEventIdOf(const std::string& request) {
  const std::string name = "last-event-id: ";
  const size_t at = request.find(name);
  return at == std::string::npos ? 0 : std::stoi(request.substr(at + 14));
}

// Servers of which the first one that is called breaks its stream off.
struct Versions {
  // Adds a server; the stream that breaks off has had `events`.
  void Add(const std::string& version, int events) {
    entry.AddServer(
        [this, version, events](const std::string& request) -> ScriptedAnswer {
          called.push_back(version);
          const int first = LastEventIdOf(request) + 1;
          if (called.size() > 1 || events == kEvents) {
            return {.bytes = Events(first, kEvents)};
          }
          return {.bytes = Events(first, events), .after = AfterAnswer::kClose};
        },
        version);
  }
  EntryFixture entry;
  std::vector<std::string> called;  // The versions of the called servers.
};

BOOST_AUTO_TEST_SUITE(stream_versions)

BOOST_AUTO_TEST_SUITE(a_stream_that_breaks_off)

BOOST_AUTO_TEST_CASE(does_not_go_on_at_another_version) {
  Versions versions;
  versions.Add("v1", 2);
  versions.Add("v2", 2);
  const std::string answer = versions.entry.Request("/resume/a");
  BOOST_TEST(versions.called.size() == 1U);
  BOOST_TEST(Holds(answer, Event(2)));
  BOOST_TEST(!Holds(answer, Event(3)));
  BOOST_TEST(!answer.ends_with(kLastChunk));
}

BOOST_AUTO_TEST_CASE(goes_on_at_another_server_of_its_version) {
  // Repeated, since the first server is drawn.
  for (int round = 0; round < 8; ++round) {
    Versions versions;
    for (const char* version : {"v1", "v2", "v1", "v2"}) {
      versions.Add(version, 2);
    }
    const std::string answer = versions.entry.Request("/resume/a");
    BOOST_TEST_REQUIRE(versions.called.size() == 2U);
    BOOST_TEST(versions.called[0] == versions.called[1]);
    BOOST_TEST(answer.ends_with(kLastChunk));
  }
}

BOOST_AUTO_TEST_CASE(before_its_first_event_goes_on_at_any_version) {
  Versions versions;
  versions.Add("v1", 0);
  versions.Add("v2", 0);
  const std::string answer = versions.entry.Request("/resume/a");
  BOOST_TEST(versions.called.size() == 2U);
  BOOST_TEST(answer.ends_with(kLastChunk));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stream_that_its_caller_takes_up)

BOOST_AUTO_TEST_CASE(is_refused_if_either_version_may_have_begun_it) {
  for (const std::string named : {"resumes: 51c4\r\n", ""}) {
    Versions versions;
    versions.Add("v1", kEvents);
    versions.Add("v2", kEvents);
    const std::string answer = versions.entry.Request(
        "/resume/a", "key", "last-event-id: 2\r\n" + named);
    BOOST_TEST_CONTEXT(named) {
      BOOST_TEST(StatusOf(answer) == 503);
      BOOST_TEST(Holds(answer, "\"ran\":\"no\""));
      BOOST_TEST(versions.called.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
