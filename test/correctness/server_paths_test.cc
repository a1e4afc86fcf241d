#include "oleander/server_paths.h"

#include <boost/test/unit_test.hpp>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId kFirst("i-1");
const ServerId kSecond("i-2");
const ServerId kThird("i-3");
constexpr Time kStart{seconds(100)};

ServerPaths PathsTo(size_t servers) {
  ServerPaths paths;
  paths.SetServers(servers);
  return paths;
}

BOOST_AUTO_TEST_SUITE(server_paths)

BOOST_AUTO_TEST_SUITE(an_instance)

BOOST_AUTO_TEST_CASE(is_cut_off_once_several_servers_are_unreached) {
  ServerPaths paths = PathsTo(12);
  paths.OnUnreached(kStart, kFirst);
  paths.OnUnreached(kStart, kFirst);
  paths.OnUnreached(kStart, kFirst);
  BOOST_TEST(!paths.cut_off(kStart));
  paths.OnUnreached(kStart, kSecond);
  BOOST_TEST(!paths.cut_off(kStart));
  paths.OnUnreached(kStart, kThird);
  BOOST_TEST(paths.cut_off(kStart));
}

BOOST_AUTO_TEST_CASE(is_not_if_another_server_sends_bytes_in_between) {
  ServerPaths paths = PathsTo(12);
  paths.OnUnreached(kStart, kFirst);
  paths.OnUnreached(kStart, kSecond);
  paths.OnReached();
  paths.OnUnreached(kStart, kThird);
  BOOST_TEST(!paths.cut_off(kStart));
}

BOOST_AUTO_TEST_CASE(is_cut_off_from_all_of_fewer_servers) {
  ServerPaths paths = PathsTo(1);
  BOOST_TEST(!paths.cut_off(kStart));
  paths.OnUnreached(kStart, kFirst);
  BOOST_TEST(paths.cut_off(kStart));
}

BOOST_AUTO_TEST_CASE(without_servers_is_not_cut_off) {
  const ServerPaths paths = PathsTo(0);
  BOOST_TEST(!paths.cut_off(kStart));
}

BOOST_AUTO_TEST_CASE(is_cut_off_until_it_reaches_a_server_or_has_not_tried) {
  ServerPaths paths = PathsTo(2);
  paths.OnUnreached(kStart, kFirst);
  paths.OnUnreached(kStart, kSecond);
  BOOST_TEST(paths.cut_off(kStart + milliseconds(2900)));
  BOOST_TEST(!paths.cut_off(kStart + milliseconds(3000)));
  paths.OnUnreached(kStart + seconds(3), kFirst);
  paths.OnUnreached(kStart + seconds(3), kSecond);
  BOOST_TEST(paths.cut_off(kStart + seconds(3)));
  paths.OnReached();
  BOOST_TEST(!paths.cut_off(kStart + seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(silence)

BOOST_AUTO_TEST_CASE(begins_with_the_first_call_that_waits) {
  ServerPaths paths = PathsTo(2);
  BOOST_TEST(!paths.silent(kStart));
  paths.OnSent(kStart);
  paths.OnSent(kStart + milliseconds(400));
  BOOST_TEST(!paths.silent(kStart + milliseconds(499)));
  BOOST_TEST(paths.silent(kStart + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(ends_with_any_byte) {
  ServerPaths paths = PathsTo(2);
  paths.OnSent(kStart);
  paths.OnReached();
  BOOST_TEST(!paths.silent(kStart + seconds(9)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
