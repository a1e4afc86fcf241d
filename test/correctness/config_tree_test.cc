// The tree along which a configuration spreads.
#include "oleander/config_tree.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace oleander {
namespace {

// Six domains in two regions.
std::vector<ReaderCandidate> Fleet(int per_domain) {
  std::vector<ReaderCandidate> fleet;
  for (const std::string domain : {"h1", "h2", "h3", "l1", "l2", "l3"}) {
    for (int i = 0; i < per_domain; ++i) {
      fleet.push_back({.instance = InstanceId(domain + "-" + std::to_string(i)),
                       .domain = DomainId(domain),
                       .region = RegionId(domain.substr(0, 1)),
                       .cores = i == 3 ? 0.5 : 0.12});
    }
  }
  return fleet;
}

std::string DomainOf(const InstanceId& instance) {
  return instance.value().substr(0, 2);
}

BOOST_AUTO_TEST_SUITE(config_tree)

BOOST_AUTO_TEST_CASE(reaches_every_instance_from_a_reader) {
  for (const int per_domain : {1, 5, 15, 60}) {
    const std::vector<ReaderCandidate> fleet = Fleet(per_domain);
    const std::vector<InstanceId> readers = ChooseReaders(fleet, 3);
    const ConfigTree tree(fleet, readers);
    std::vector<InstanceId> reached = readers;
    for (size_t i = 0; i < reached.size(); ++i) {
      std::ranges::copy_if(
          tree.ChildrenOf(reached[i]), std::back_inserter(reached),
          [&readers](const InstanceId& child) {
            return std::ranges::find(readers, child) == readers.end();
          });
    }
    BOOST_TEST(reached.size() == fleet.size());
    BOOST_TEST(std::set(reached.begin(), reached.end()).size() == fleet.size());
  }
}

BOOST_AUTO_TEST_CASE(crosses_from_domain_to_domain_once) {
  const std::vector<ReaderCandidate> fleet = Fleet(15);
  const std::vector<InstanceId> readers = ChooseReaders(fleet, 3);
  const ConfigTree tree(fleet, readers);
  const auto enters =
      std::ranges::count_if(fleet, [&tree](const ReaderCandidate& candidate) {
        const InstanceId parent = tree.ParentOf(candidate.instance);
        return !parent.empty() &&
               DomainOf(parent) != DomainOf(candidate.instance);
      });
  BOOST_TEST(enters == 3);
}

BOOST_AUTO_TEST_CASE(gives_no_instance_many_children) {
  const std::vector<ReaderCandidate> fleet = Fleet(60);
  const ConfigTree tree(fleet, ChooseReaders(fleet, 3));
  // Four in its own domain, the first ones of the three without a reader, and
  // two readers.
  constexpr size_t kMost = 9;
  for (const ReaderCandidate& candidate : fleet) {
    BOOST_TEST(tree.ChildrenOf(candidate.instance).size() <= kMost);
  }
}

BOOST_AUTO_TEST_CASE(is_the_same_for_any_order) {
  std::vector<ReaderCandidate> fleet = Fleet(15);
  const std::vector<InstanceId> readers = ChooseReaders(fleet, 3);
  const ConfigTree tree(fleet, readers);
  std::ranges::reverse(fleet);
  const ConfigTree reversed(fleet, readers);
  for (const ReaderCandidate& candidate : fleet) {
    BOOST_TEST((tree.ParentOf(candidate.instance) ==
                reversed.ParentOf(candidate.instance)));
  }
}

BOOST_AUTO_TEST_CASE(prefers_a_reader_of_the_same_region) {
  const std::vector<ReaderCandidate> fleet = Fleet(5);
  const std::vector<InstanceId> readers = {InstanceId("h1-3"),
                                           InstanceId("l1-3")};
  const ConfigTree tree(fleet, readers);
  BOOST_TEST((tree.ParentOf(InstanceId("h2-3")) == readers[0]));
  BOOST_TEST((tree.ParentOf(InstanceId("l3-3")) == readers[1]));
}

BOOST_AUTO_TEST_CASE(is_empty_without_readers) {
  const ConfigTree tree(Fleet(2), {});
  BOOST_TEST(tree.ParentOf(InstanceId("h1-0")).empty());
  BOOST_TEST(tree.ChildrenOf(InstanceId("h1-0")).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
