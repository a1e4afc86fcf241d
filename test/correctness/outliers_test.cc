// Ejection of slow or failing backend servers.
#include "oleander/outliers.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

std::vector<ServerId> Pool(int size) {
  std::vector<ServerId> servers;
  servers.reserve(size);
  for (int i = 0; i < size; ++i) servers.emplace_back("e" + std::to_string(i));
  return servers;
}

BOOST_AUTO_TEST_SUITE(outliers)

BOOST_AUTO_TEST_CASE(consecutive_failures_eject_a_server) {
  OutlierDetector detector;
  detector.SetServers(Pool(4));
  const ServerId server("e1");
  detector.OnFailure(kStart, server);
  detector.OnFailure(kStart, server);
  detector.OnSuccess(server);
  detector.OnFailure(kStart, server);
  detector.OnFailure(kStart, server);
  BOOST_TEST(!detector.IsEjected(kStart, server));
  detector.OnFailure(kStart, server);
  BOOST_TEST(detector.IsEjected(kStart, server));
  BOOST_TEST(!detector.IsEjected(kStart + seconds(30), server));
}

BOOST_AUTO_TEST_CASE(each_ejection_lasts_longer) {
  OutlierDetector detector;
  detector.SetServers(Pool(4));
  const ServerId server("e1");
  Time now = kStart;
  Duration last{};
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 3; ++i) detector.OnFailure(now, server);
    BOOST_TEST((detector.ejected_until(server) - now > last));
    last = detector.ejected_until(server) - now;
    now = detector.ejected_until(server);
  }
}

BOOST_AUTO_TEST_CASE(half_of_the_pool_stays_in_use) {
  OutlierDetector detector;
  detector.SetServers(Pool(4));
  for (const ServerId& server : Pool(4)) {
    for (int i = 0; i < 5; ++i) detector.OnFailure(kStart, server);
  }
  BOOST_TEST(detector.ejected_count(kStart) == 2);
}

BOOST_AUTO_TEST_CASE(a_uniformly_slow_pool_ejects_no_server) {
  OutlierDetector detector;
  detector.SetServers(Pool(4));
  for (int i = 0; i < 50; ++i) {
    for (const ServerId& server : Pool(4)) {
      detector.OnLatency(kStart, server, seconds(5), milliseconds(300));
    }
  }
  BOOST_TEST(detector.ejected_count(kStart) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
