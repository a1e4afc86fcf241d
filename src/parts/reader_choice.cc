#include "oleander/reader_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace oleander {
namespace {

// Returns the sort key of a candidate: a hash of its name, then the name.
std::pair<uint64_t, InstanceId> RankOf(const ReaderCandidate& candidate) {
  const std::string& name = candidate.instance.value();
  return {XXH64(name.data(), name.size(), 0), candidate.instance};
}

}  // namespace

std::vector<InstanceId> ChooseReaders(std::vector<ReaderCandidate> candidates,
                                      size_t count) {
  std::ranges::sort(candidates, {}, RankOf);
  std::vector<InstanceId> readers;
  std::vector<InstanceId> others;
  std::set<DomainId> domains;
  for (const ReaderCandidate& candidate : candidates) {
    const bool new_domain = domains.insert(candidate.domain).second;
    (new_domain ? readers : others).push_back(candidate.instance);
  }
  std::ranges::copy(others, std::back_inserter(readers));
  readers.resize(std::min(count, readers.size()));
  return readers;
}

}  // namespace oleander
