#include "oleander/brittle_servers.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr int64_t kRun = 7;
const ServerId kServer("i-1");

BOOST_AUTO_TEST_SUITE(brittle_servers)

BOOST_AUTO_TEST_CASE(a_server_is_brittle_while_its_answers_say_so) {
  BrittleServers servers;
  BOOST_TEST(!servers.brittle(kStart, kServer, kRun));
  BOOST_TEST(servers.OnAnswer(kStart, kServer, kRun, {.bound_per_s = 5}));
  BOOST_TEST(!servers.OnAnswer(kStart, kServer, kRun, {.bound_per_s = 5}));
  BOOST_TEST(servers.brittle(kStart, kServer, kRun));
  BOOST_TEST(servers.MaySend(kStart, kServer, kRun));
  BOOST_TEST(servers.OnAnswer(kStart, kServer, kRun, {}));
  BOOST_TEST(!servers.brittle(kStart, kServer, kRun));
}

BOOST_AUTO_TEST_CASE(its_next_run_is_sound) {
  BrittleServers servers;
  servers.OnAnswer(kStart, kServer, kRun,
                   {.bound_per_s = 1, .turned_away = true});
  BOOST_TEST(servers.MaySend(kStart, kServer, kRun + 1));
}

BOOST_AUTO_TEST_CASE(a_call_that_was_turned_away_pauses_this_instance) {
  BrittleServers servers;
  servers.SetInstances(8);
  servers.OnAnswer(kStart, kServer, kRun,
                   {.bound_per_s = 10, .turned_away = true});
  BOOST_TEST(!servers.MaySend(kStart + milliseconds(1599), kServer, kRun));
  BOOST_TEST(servers.MaySend(kStart + milliseconds(1600), kServer, kRun));
}

BOOST_AUTO_TEST_CASE(a_pause_ends_within_its_bound) {
  BrittleServers servers;
  servers.SetInstances(360);
  for (int i = 0; i < 9; ++i) {
    servers.OnAnswer(kStart, kServer, kRun,
                     {.bound_per_s = 1, .turned_away = true});
  }
  BOOST_TEST(servers.MaySend(kStart + seconds(3), kServer, kRun));
}

// Instances that send whenever they may, to a server without any room.
BOOST_AUTO_TEST_CASE(a_full_server_turns_away_no_more_than_it_bears) {
  for (const int instances : {8, 30}) {
    std::vector<BrittleServers> fleet(static_cast<size_t>(instances));
    constexpr double kBound = 25;
    constexpr int kSeconds = 20;
    int turned_away = 0;
    for (Time now = kStart; now < kStart + seconds(kSeconds);
         now += milliseconds(10)) {
      for (BrittleServers& servers : fleet) {
        servers.SetInstances(fleet.size());
        if (servers.MaySend(now, kServer, kRun)) {
          servers.OnAnswer(now, kServer, kRun,
                           {.bound_per_s = kBound, .turned_away = true});
          ++turned_away;
        }
      }
    }
    BOOST_TEST_CONTEXT(instances) {
      BOOST_TEST(turned_away <= kBound / 2 * kSeconds + instances);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
