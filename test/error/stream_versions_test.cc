// Streams while servers of several software versions serve side by side: the
// pieces that two versions write don't fit together.
#include <algorithm>
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

// An instance with an older list learns of a version from the store.
BOOST_AUTO_TEST_SUITE(a_new_stream)

BOOST_AUTO_TEST_CASE(does_not_begin_at_a_version_that_is_not_stored_yet) {
  Versions versions;
  versions.Add("v1", kEvents);
  io::RunFor(versions.entry.loop, std::chrono::milliseconds(150));
  versions.entry.store.SetDown(true);
  versions.Add("v2", kEvents);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(StatusOf(versions.entry.Request("/resume/a")) == 200);
  }
  BOOST_TEST(std::ranges::count(versions.called, "v2") == 0);
  versions.entry.store.SetDown(false);
  io::RunFor(versions.entry.loop, std::chrono::milliseconds(2200));
  for (int i = 0; i < 20; ++i) {
    versions.entry.Request("/resume/a");
  }
  BOOST_TEST(std::ranges::count(versions.called, "v2") > 0);
}

BOOST_AUTO_TEST_CASE(begins_at_any_version_if_none_is_stored) {
  Versions versions;
  versions.entry.store.SetDown(true);
  versions.Add("v1", kEvents);
  versions.Add("v2", kEvents);
  BOOST_TEST(StatusOf(versions.entry.Request("/resume/a")) == 200);
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

// The headers of a request that takes up the stream of the fixture's attempt.
std::string TakesUp() {
  return std::string("last-event-id: 2\r\nresumes: ") + kAttempt + "\r\n";
}

// Waits until what is to be written has reached the store.
void LetWrite(EntryFixture& entry) {
  io::RunFor(entry.loop, std::chrono::milliseconds(150));
}

// Begins a stream that breaks off for good after two events; returns the
// version that began it.
std::string BeginAndBreak(Versions& versions) {
  versions.entry.context.retries.SetOptions({.share = 0, .burst = 0});
  versions.entry.Request("/resume/a");
  BOOST_TEST_REQUIRE(versions.called.size() == 1U);
  return versions.called.front();
}

BOOST_AUTO_TEST_CASE(goes_on_at_its_version_after_its_instance_was_killed) {
  for (int round = 0; round < 8; ++round) {
    Versions versions;
    for (const char* version : {"v1", "v2", "v1", "v2"}) {
      versions.Add(version, 2);
    }
    LetWrite(versions.entry);
    const std::string begun = BeginAndBreak(versions);
    LetWrite(versions.entry);
    versions.entry.Restart();
    LetWrite(versions.entry);
    const std::string answer =
        versions.entry.Request("/resume/a", "key", TakesUp());
    BOOST_TEST(StatusOf(answer) == 200);
    BOOST_TEST_REQUIRE(versions.called.size() == 2U);
    BOOST_TEST(versions.called.back() == begun);
  }
}

BOOST_AUTO_TEST_CASE(is_refused_if_it_broke_off_before_versions_were_recorded) {
  Versions versions;
  versions.Add("v1", 2);
  LetWrite(versions.entry);
  BeginAndBreak(versions);
  versions.Add("v2", 2);
  versions.entry.Restart();
  LetWrite(versions.entry);
  const std::string answer =
      versions.entry.Request("/resume/a", "key", TakesUp());
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(versions.called.size() == 1U);
}

BOOST_AUTO_TEST_CASE(goes_on_anywhere_while_there_was_only_one_version) {
  Versions versions;
  versions.Add("v1", 2);
  versions.Add("v1", 2);
  LetWrite(versions.entry);
  BeginAndBreak(versions);
  versions.entry.Restart();
  LetWrite(versions.entry);
  const std::string answer =
      versions.entry.Request("/resume/a", "key", TakesUp());
  BOOST_TEST(StatusOf(answer) == 200);
  BOOST_TEST(versions.called.size() == 2U);
}

// A new stream is refused as soon as it would wait longer than its goal allows.
BOOST_AUTO_TEST_CASE(is_served_before_new_ones_when_its_quota_is_used_up) {
  Versions versions;
  versions.Add("v1", kEvents);
  LetWrite(versions.entry);
  versions.entry.SetQuota(8);
  int calls = 0;
  while (StatusOf(versions.entry.Request("/resume/a")) == 200) {
    BOOST_TEST_REQUIRE(++calls < 100);
  }
  BOOST_TEST(StatusOf(versions.entry.Request("/resume/a")) == 429);
  const std::string answer =
      versions.entry.Request("/resume/a", "key", TakesUp());
  BOOST_TEST(StatusOf(answer) == 200);
}

// What another instance has written that lists a second version.
void WriteSecondVersion(EntryFixture& entry) {
  entry.store.Write("/oleander/versions", R"({"service":{"v1":0,"v2":0}})");
}

// The list of servers here is older than that of the instance that began it.
BOOST_AUTO_TEST_CASE(is_refused_if_another_instance_lists_a_second_version) {
  Versions versions;
  versions.Add("v1", kEvents);
  LetWrite(versions.entry);
  WriteSecondVersion(versions.entry);
  const std::string answer =
      versions.entry.Request("/resume/a", "key", TakesUp());
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(versions.called.empty());
}

BOOST_AUTO_TEST_CASE(is_refused_for_now_if_that_cannot_be_asked) {
  Versions versions;
  versions.Add("v1", kEvents);
  LetWrite(versions.entry);
  versions.entry.store.SetDown(true);
  const std::string answer =
      versions.entry.Request("/resume/a", "key", TakesUp());
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "\"code\":4101"));
  BOOST_TEST(Holds(answer, "retry-after: "));
  BOOST_TEST(versions.called.empty());
}

// All instances were killed after the old version had left.
BOOST_AUTO_TEST_CASE(is_refused_if_its_version_has_just_left) {
  Versions versions;
  versions.Add("v1", 2);
  LetWrite(versions.entry);
  io::RunFor(versions.entry.loop, std::chrono::milliseconds(1100));
  BeginAndBreak(versions);
  versions.entry.context.listed.Replace(versions.entry.loop.now(), {}, 1000);
  versions.Add("v2", 2);
  versions.entry.Restart();
  LetWrite(versions.entry);
  const std::string answer =
      versions.entry.Request("/resume/a", "key", TakesUp());
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "\"code\":2115"));
  // It can't be served later either.
  BOOST_TEST(!Holds(answer, "retry-after: "));
  BOOST_TEST(versions.called.size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_refused_for_now_while_the_store_is_away) {
  Versions versions;
  versions.Add("v1", kEvents);
  versions.Add("v2", kEvents);
  LetWrite(versions.entry);
  versions.entry.store.SetDown(true);
  const std::string answer =
      versions.entry.Request("/resume/a", "key", TakesUp());
  BOOST_TEST(StatusOf(answer) == 503);
  BOOST_TEST(Holds(answer, "retry-after: "));
  BOOST_TEST(versions.called.empty());
  BOOST_TEST(StatusOf(versions.entry.Request("/resume/a")) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
