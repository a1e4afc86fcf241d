// The entry point of each test program; the suites are in the other files.
#define BOOST_TEST_MODULE oleander
#include <boost/test/unit_test.hpp>
