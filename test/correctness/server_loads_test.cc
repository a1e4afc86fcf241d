// Loads of backend servers, heard and passed on.
#include "oleander/server_loads.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace oleander {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow = Time(std::chrono::seconds(100));
const ServerId kOne("engine-1");

BOOST_AUTO_TEST_SUITE(server_loads)

BOOST_AUTO_TEST_CASE(pass_from_one_instance_to_another_with_their_age) {
  ServerLoads heard;
  heard.OnReport(kNow, kOne, 7);
  ServerLoads other;
  for (const LoadNote& note : heard.TakeNews(kNow + milliseconds(200))) {
    other.OnNote(kNow + milliseconds(220), note);
  }
  BOOST_TEST(other.CallsAt(kNow + milliseconds(300), kOne) == 7);
  BOOST_TEST(other.CallsAt(kNow + milliseconds(300), ServerId("other")) == 0);
}

BOOST_AUTO_TEST_CASE(are_news_once_and_only_where_they_were_heard_first) {
  ServerLoads heard;
  heard.OnReport(kNow, kOne, 7);
  BOOST_TEST(heard.TakeNews(kNow).size() == 1U);
  BOOST_TEST(heard.TakeNews(kNow).empty());
  heard.OnNote(kNow + milliseconds(100),
               {.server = ServerLoads::NoteId(kOne), .calls = 9, .age = {}});
  BOOST_TEST(heard.TakeNews(kNow + milliseconds(100)).empty());
  BOOST_TEST(heard.CallsAt(kNow + milliseconds(100), kOne) == 9);
}

BOOST_AUTO_TEST_CASE(tell_reading_apart_by_service_and_region) {
  const ServiceId model("model");
  const RegionId north("north");
  ServerLoads heard;
  heard.OnReading(kNow, model, north, 4.2);
  BOOST_TEST(heard.ReadingOf(kNow, model, north) == 4.2);
  BOOST_TEST(heard.ReadingOf(kNow, model, RegionId("south")) == 0);
  // Where nobody places any more the word gets old.
  BOOST_TEST(heard.ReadingOf(kNow + std::chrono::seconds(10), model, north) ==
             0);
  ServerLoads other;
  for (const LoadNote& note : heard.TakeNews(kNow)) {
    other.OnNote(kNow, note);
  }
  BOOST_TEST(other.ReadingOf(kNow, model, north) == 4.2);
}

BOOST_AUTO_TEST_CASE(that_are_older_change_nothing) {
  ServerLoads heard;
  heard.OnReport(kNow, kOne, 7);
  heard.OnNote(kNow + milliseconds(10), {.server = ServerLoads::NoteId(kOne),
                                         .calls = 99,
                                         .age = milliseconds(500)});
  BOOST_TEST(heard.CallsAt(kNow + milliseconds(10), kOne) == 7);
}

BOOST_AUTO_TEST_CASE(end_when_nothing_is_heard_any_more) {
  ServerLoads heard;
  heard.OnReport(kNow, kOne, 7);
  const Time later = kNow + std::chrono::seconds(5);
  BOOST_TEST(heard.CallsAt(later, kOne) == 0);
  BOOST_TEST(heard.Notes(later, 10).empty());
}

BOOST_AUTO_TEST_CASE(of_many_servers_are_told_in_turn) {
  ServerLoads heard;
  for (int i = 0; i < 25; ++i) {
    heard.OnReport(kNow, ServerId("engine-" + std::to_string(i)), i);
  }
  std::set<uint32_t> told;
  for (int round = 0; round < 3; ++round) {
    const auto notes = heard.Notes(kNow, 10);
    BOOST_TEST(notes.size() == 10U);
    for (const LoadNote& note : notes) {
      told.insert(note.server);
    }
  }
  BOOST_TEST(told.size() == 25U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
