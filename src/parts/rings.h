// Hash rings that give each instance a few neighbours.
//
// Every instance orders the members by a hash of their ids and takes the one
// before and the one after itself. Instances with the same view of the members
// agree on who is whose neighbour; a few rings with different salts make a
// graph that stays connected when many members go at once.
#ifndef OLEANDER_PARTS_RINGS_H_
#define OLEANDER_PARTS_RINGS_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "oleander/types.h"

namespace oleander::parts {

// A hash that every process computes alike.
uint64_t StableHash(std::string_view text, uint64_t salt);

// The positions in `ids` of the ids that follow and precede `self` on the ring
// of `salt`; empty where there is no other id.
std::vector<size_t> RingNeighbours(const InstanceId& self,
                                   std::span<const InstanceId* const> ids,
                                   uint64_t salt);

// Positions of the `count` ids with the highest hash together with `key`, best
// first (rendezvous hashing): each key spreads over the ids evenly, and an id
// that goes moves only its own keys.
std::vector<size_t> Rendezvous(std::string_view key,
                               std::span<const InstanceId* const> ids,
                               size_t count);

}  // namespace oleander::parts

#endif  // OLEANDER_PARTS_RINGS_H_
