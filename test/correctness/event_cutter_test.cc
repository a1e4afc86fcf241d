// Complete events from a stream that is split at any byte.
#include "oleander/event_cutter.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

constexpr size_t kLimit = 1000;

BOOST_AUTO_TEST_SUITE(event_cutter)

BOOST_AUTO_TEST_CASE(passes_bytes_unchanged_wherever_they_are_cut) {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\nid:3\n\n";
  for (size_t first = 0; first <= stream.size(); ++first) {
    for (size_t second = first; second <= stream.size(); ++second) {
      EventCutter cutter(kLimit);
      std::string passed = *cutter.Feed(stream.substr(0, first));
      passed += *cutter.Feed(stream.substr(first, second - first));
      passed += *cutter.Feed(stream.substr(second));
      BOOST_TEST_REQUIRE(passed == stream);
      BOOST_TEST_REQUIRE(cutter.last_id() == "3");
      BOOST_TEST_REQUIRE(cutter.events() == 3U);
      BOOST_TEST_REQUIRE(cutter.at_boundary());
    }
  }
}

BOOST_AUTO_TEST_CASE(holds_back_the_part_of_an_event) {
  EventCutter cutter(kLimit);
  BOOST_TEST(*cutter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n") ==
             "id: 1\ndata: a\n\n");
  BOOST_TEST(!cutter.at_boundary());
  BOOST_TEST(cutter.last_id() == "1");
}

// A stream that breaks at any byte and continues after its last complete event
// yields the same bytes: no event is missing or duplicated.
BOOST_AUTO_TEST_CASE(a_stream_goes_on_from_its_last_whole_event) {
  std::vector<std::string> events;
  std::string stream;
  for (int id = 1; id <= 5; ++id) {
    events.push_back("id: " + std::to_string(id) + "\ndata: event " +
                     std::to_string(id * 111) + "\n\n");
    stream += events.back();
  }
  for (size_t cut = 0; cut < stream.size(); ++cut) {
    EventCutter cutter(kLimit);
    std::string passed = *cutter.Feed(stream.substr(0, cut));
    cutter.DropPartialEvent();
    const size_t next =
        cutter.last_id().empty() ? 0 : std::stoul(cutter.last_id());
    for (size_t i = next; i < events.size(); ++i) {
      passed += *cutter.Feed(events[i]);
    }
    BOOST_TEST_REQUIRE(passed == stream);
    BOOST_TEST_REQUIRE(cutter.events() == events.size());
  }
}

BOOST_AUTO_TEST_CASE(refuses_an_event_beyond_the_limit) {
  EventCutter cutter(16);
  BOOST_TEST(cutter.Feed("data: 0123456\n\n").ok());
  BOOST_TEST(!cutter.Feed("data: 0123456789abcdef").ok());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
