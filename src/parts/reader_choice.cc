#include "oleander/reader_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace oleander {
namespace {

constexpr size_t kFewestReaders = 3;
// A reader answers each of so many two and a half times a second, which takes
// about a hundredth of a core.
constexpr size_t kInstancesPerReader = 32;

std::tuple<double, uint64_t, InstanceId> RankOf(
    const ReaderCandidate& candidate) {
  const std::string& name = candidate.instance.value();
  return {-candidate.cores, XXH64(name.data(), name.size(), 0),
          candidate.instance};
}

}  // namespace

size_t ReadersFor(size_t instances) {
  return std::max(kFewestReaders, instances / kInstancesPerReader);
}

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
