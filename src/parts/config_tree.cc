#include "oleander/config_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace oleander {
namespace {

// Children of one instance within its domain.
constexpr size_t kMaxChildren = 4;

// Spreads the domains over the readers of their region, or over all readers if
// the region has none.
const InstanceId& ReaderFor(const ReaderCandidate& first,
                            const std::vector<ReaderCandidate>& readers) {
  std::vector<const ReaderCandidate*> near;
  for (const ReaderCandidate& reader : readers) {
    if (reader.region == first.region) {
      near.push_back(&reader);
    }
  }
  const std::string& domain = first.domain.value();
  const uint64_t hash = XXH64(domain.data(), domain.size(), 0);
  return near.empty() ? readers[hash % readers.size()].instance
                      : near[hash % near.size()]->instance;
}

}  // namespace

ConfigTree::ConfigTree(std::vector<ReaderCandidate> candidates,
                       const std::vector<InstanceId>& readers)
    : readers_(readers) {
  SortByRank(candidates);
  const auto is_reader = [&readers](const ReaderCandidate& candidate) {
    return std::ranges::find(readers, candidate.instance) != readers.end();
  };
  std::vector<ReaderCandidate> roots;
  std::ranges::copy_if(candidates, std::back_inserter(roots), is_reader);
  if (roots.empty()) {
    return;
  }
  // The readers of a domain lead its tree.
  std::map<DomainId, std::vector<InstanceId>> domains;
  for (const ReaderCandidate& root : roots) {
    domains[root.domain].push_back(root.instance);
  }
  for (const ReaderCandidate& candidate : candidates) {
    if (is_reader(candidate)) {
      continue;
    }
    std::vector<InstanceId>& members = domains[candidate.domain];
    parents_[candidate.instance] =
        members.empty() ? ReaderFor(candidate, roots)
                        : members[(members.size() - 1) / kMaxChildren];
    members.push_back(candidate.instance);
  }
}

InstanceId ConfigTree::ParentOf(const InstanceId& instance) const {
  const auto found = parents_.find(instance);
  return found == parents_.end() ? InstanceId() : found->second;
}

std::vector<InstanceId> ConfigTree::ChildrenOf(
    const InstanceId& instance) const {
  std::vector<InstanceId> children;
  if (std::ranges::find(readers_, instance) != readers_.end()) {
    std::ranges::remove_copy(readers_, std::back_inserter(children), instance);
  }
  for (const auto& [child, parent] : parents_) {
    if (parent == instance) {
      children.push_back(child);
    }
  }
  return children;
}

}  // namespace oleander
