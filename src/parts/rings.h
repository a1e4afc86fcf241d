// Selects each instance's neighbours by hash rings, and the instances
// responsible for a key by rendezvous hashing.
//
// On a ring, members are ordered by a hash of their ids, and each one's
// neighbours are its predecessor and successor. Instances with the same view of
// the members agree on the neighbours. A few rings with different salts form a
// graph that stays connected when many members fail at the same time.
#ifndef OLEANDER_PARTS_RINGS_H_
#define OLEANDER_PARTS_RINGS_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "oleander/types.h"

namespace oleander::parts {

// Returns a hash that is the same in every process and build.
uint64_t StableHash(std::string_view text, uint64_t salt);

// Returns the positions in `ids` of the ids that follow and precede `self` on
// the ring of `salt`; empty if there is no other id.
std::vector<size_t> RingNeighbours(const InstanceId& self,
                                   std::span<const InstanceId* const> ids,
                                   uint64_t salt);

// Returns the positions of the `count` ids whose hashes together with `key` are
// highest, highest first (rendezvous hashing). Keys are distributed evenly over
// the ids, and the removal of an id moves only its own keys.
std::vector<size_t> Rendezvous(std::string_view key,
                               std::span<const InstanceId* const> ids,
                               size_t count);

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_RINGS_H_
