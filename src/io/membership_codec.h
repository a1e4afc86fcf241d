// Converts MembershipMessage and the data that it carries for other components
// to and from the wire format.
#ifndef OLEANDER_IO_MEMBERSHIP_CODEC_H_
#define OLEANDER_IO_MEMBERSHIP_CODEC_H_

#include "absl/status/statusor.h"
#include "membership.pb.h"
#include "oleander/load_spread.h"
#include "oleander/membership.h"
#include "oleander/profiles.h"

namespace oleander::io {

// A membership message with the data that it carries for other components: load
// figures in heartbeats, and the profiles' digest in every message.
struct MembershipFrame {
  MembershipMessage membership;
  LoadUpdate load;
  ProfileDigest profiles;

  bool operator==(const MembershipFrame&) const = default;
};

mesh::MembershipMessage EncodeMembership(const MembershipFrame& frame);
// Returns kMeshBadFrame if a field is out of range or malformed.
absl::StatusOr<MembershipFrame> DecodeMembership(
    const mesh::MembershipMessage& message);

}  // namespace oleander::io

#endif  // OLEANDER_IO_MEMBERSHIP_CODEC_H_
