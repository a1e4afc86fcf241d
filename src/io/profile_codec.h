// ProfileMessage to and from its wire form.
#ifndef OLEANDER_IO_PROFILE_CODEC_H_
#define OLEANDER_IO_PROFILE_CODEC_H_

#include "absl/status/statusor.h"
#include "oleander/profiles.h"
#include "profiles.pb.h"

namespace oleander::io {

mesh::ProfileMessage EncodeProfile(const ProfileMessage& profile);
// kMeshBadFrame where the kind is unknown or a revision is not positive.
absl::StatusOr<ProfileMessage> DecodeProfile(
    const mesh::ProfileMessage& message);

}  // namespace oleander::io

#endif  // OLEANDER_IO_PROFILE_CODEC_H_
