#include "oleander/reader_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace oleander {
namespace {

// The seed differs from that of the placers' ranking, so that among equals not
// the same instances do both.
constexpr uint64_t kHashSeed = 1000;

// Returns the sort key of a candidate: most cores first, then a hash of its
// name.
auto RankOf(const ReaderCandidate& candidate) {
  const std::string& name = candidate.instance.value();
  return std::tuple(-candidate.cores,
                    XXH64(name.data(), name.size(), kHashSeed),
                    candidate.instance);
}

}  // namespace

void SortByRank(std::vector<ReaderCandidate>& candidates) {
  std::ranges::sort(candidates, {}, RankOf);
}

std::vector<InstanceId> ChooseReaders(std::vector<ReaderCandidate> candidates,
                                      size_t count) {
  SortByRank(candidates);
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
