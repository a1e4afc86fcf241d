// Converts what instances exchange about roll-outs to messages and back. A
// message with fields that can't be used reads as nothing, never as a wrong
// value.
#ifndef OLEANDER_ENTRY_ROLLOUT_CODEC_H_
#define OLEANDER_ENTRY_ROLLOUT_CODEC_H_

#include <optional>

#include "entry.pb.h"
#include "oleander/rollouts.h"

namespace oleander::entry {

void WriteOrder(const RolloutOrder& order, entrywire::RolloutOrder& wire);
// Returns nothing if the service, the target or the revision is missing or the
// duration isn't positive.
std::optional<RolloutOrder> ReadOrder(const entrywire::RolloutOrder& wire);

void WriteStage(const RolloutStage& stage, entrywire::RolloutStage& wire);
// Returns nothing if the service or the target is missing, the phase is
// unknown, or a share isn't from 0 to 1.
std::optional<RolloutStage> ReadStage(const entrywire::RolloutStage& wire);

void WriteCounts(const RolloutEvidence& evidence,
                 entrywire::RolloutCounts& wire);
// Returns nothing if the service is missing or a count is negative or too large
// to be one.
std::optional<RolloutEvidence> ReadCounts(const entrywire::RolloutCounts& wire);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ROLLOUT_CODEC_H_
