// The chosen readers are the same on every instance and spread over domains.
#include "oleander/reader_choice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace oleander {
namespace {

std::vector<ReaderCandidate> Fleet(int per_domain) {
  std::vector<ReaderCandidate> fleet;
  for (const char* domain : {"a", "b", "c", "d"}) {
    for (int i = 0; i < per_domain; ++i) {
      fleet.push_back({.instance = InstanceId(domain + std::to_string(i)),
                       .domain = DomainId(domain)});
    }
  }
  return fleet;
}

BOOST_AUTO_TEST_SUITE(reader_choice)

BOOST_AUTO_TEST_CASE(is_the_same_for_any_order) {
  std::vector<ReaderCandidate> fleet = Fleet(5);
  const auto readers = ChooseReaders(fleet, 3);
  BOOST_TEST(readers.size() == 3U);
  std::ranges::reverse(fleet);
  BOOST_TEST((ChooseReaders(fleet, 3) == readers));
}

BOOST_AUTO_TEST_CASE(takes_different_domains_first) {
  std::set<char> domains;
  for (const InstanceId& reader : ChooseReaders(Fleet(5), 4)) {
    domains.insert(reader.value().front());
  }
  BOOST_TEST(domains.size() == 4U);
}

// GONE on tortared-large: readers with 0.12 cores were busy for up to a second.
BOOST_AUTO_TEST_CASE(takes_the_instances_with_the_most_cores) {
  std::vector<ReaderCandidate> fleet = Fleet(50);
  std::ranges::for_each(fleet, [](ReaderCandidate& candidate) {
    candidate.cores = candidate.instance.value().ends_with("7") ? 0.5 : 0.12;
  });
  const std::vector<InstanceId> readers = ChooseReaders(fleet, 6);
  BOOST_TEST(readers.size() == 6U);
  BOOST_TEST(std::ranges::all_of(readers, [](const InstanceId& reader) {
    return reader.value().ends_with("7");
  }));
}

BOOST_AUTO_TEST_CASE(replaces_a_removed_reader_and_keeps_others) {
  std::vector<ReaderCandidate> fleet = Fleet(5);
  const auto before = ChooseReaders(fleet, 3);
  std::erase_if(fleet, [&](const ReaderCandidate& candidate) {
    return candidate.instance == before.front();
  });
  const auto after = ChooseReaders(fleet, 3);
  BOOST_TEST(after.size() == 3U);
  const auto retained =
      std::ranges::count_if(after, [&](const InstanceId& reader) {
        return std::ranges::find(before, reader) != before.end();
      });
  BOOST_TEST(retained >= 1);
}

BOOST_AUTO_TEST_CASE(is_every_instance_if_there_are_few) {
  BOOST_TEST(ChooseReaders({}, 3).empty());
  BOOST_TEST(
      ChooseReaders({{.instance = InstanceId("a"), .domain = DomainId("d")}}, 3)
          .size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
