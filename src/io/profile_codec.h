// Converts ProfileMessage to and from its wire format.
#ifndef OLEANDER_IO_PROFILE_CODEC_H_
#define OLEANDER_IO_PROFILE_CODEC_H_

#include "absl/status/statusor.h"
#include "oleander/profiles.h"
#include "profiles.pb.h"

namespace oleander::io {

mesh::ProfileMessage EncodeProfile(const ProfileMessage& profile);
// Returns kMeshBadFrame if the kind is unknown or a revision has no name or a
// number that is not positive.
absl::StatusOr<ProfileMessage> DecodeProfile(
    const mesh::ProfileMessage& message);

}  // namespace oleander::io

#endif  // OLEANDER_IO_PROFILE_CODEC_H_
