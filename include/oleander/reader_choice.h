// Chooses the instances that read the store on behalf of all.
//
// If every instance read the data that operators and backend servers write, the
// load on the store would grow with the number of instances. Instead a few
// instances read, and the others request the data from them over the mesh. The
// choice is a function of the names and cores of the serving instances, so that
// all instances agree without messages. A reader answers hundreds of requests a
// second, so the instances with the most cores come first. While two instances
// disagree, one instance more than needed reads. An instance that receives no
// recent data reads the store itself.
#ifndef OLEANDER_READER_CHOICE_H_
#define OLEANDER_READER_CHOICE_H_

#include <cstddef>
#include <vector>

#include "oleander/types.h"

namespace oleander {

// A serving instance.
struct ReaderCandidate {
  InstanceId instance;
  DomainId domain;
  RegionId region = {};
  double cores = 1;
};

// Sorts candidates by rank: those with the most cores first.
void SortByRank(std::vector<ReaderCandidate>& candidates);

// Returns the instances that read: at most `count`, from different domains as
// far as possible, and those with the most cores of each. The result doesn't
// depend on the order of the candidates.
std::vector<InstanceId> ChooseReaders(std::vector<ReaderCandidate> candidates,
                                      size_t count);

}  // namespace oleander

#endif  // OLEANDER_READER_CHOICE_H_
