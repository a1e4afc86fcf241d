// Which instances read the store for all.
//
// Every instance could read what operators and backend servers write, but the
// store's calls grow with each. A few read, and the others ask them over the
// mesh; who reads follows from the names of those that serve, so that all agree
// without a message. Where two disagree for a moment, one reads more than
// needed. Whoever gets no fresh word reads by itself.
#ifndef OLEANDER_READER_CHOICE_H_
#define OLEANDER_READER_CHOICE_H_

#include <cstddef>
#include <vector>

#include "oleander/types.h"

namespace oleander {

struct ReaderCandidate {
  InstanceId instance;
  DomainId domain;

  auto operator<=>(const ReaderCandidate&) const = default;
};

// The instances that read, at most `count`, of different domains as far as
// there are; the same for any order of the candidates.
std::vector<InstanceId> ChooseReaders(std::vector<ReaderCandidate> candidates,
                                      size_t count);

}  // namespace oleander

#endif  // OLEANDER_READER_CHOICE_H_
