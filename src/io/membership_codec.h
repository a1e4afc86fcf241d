// MembershipMessage to and from its wire form, with what rides along.
#ifndef OLEANDER_IO_MEMBERSHIP_CODEC_H_
#define OLEANDER_IO_MEMBERSHIP_CODEC_H_

#include "absl/status/statusor.h"
#include "membership.pb.h"
#include "oleander/load_spread.h"
#include "oleander/membership.h"
#include "oleander/profiles.h"

namespace oleander::io {

// A membership message with the news of other parts. Load figures travel with
// heartbeats, the profiles' digest with every message.
struct MembershipFrame {
  MembershipMessage membership;
  LoadUpdate load;
  ProfileDigest profiles;

  bool operator==(const MembershipFrame&) const = default;
};

mesh::MembershipMessage EncodeMembership(const MembershipFrame& frame);
// kMeshBadFrame where a field has a value that this program doesn't know.
absl::StatusOr<MembershipFrame> DecodeMembership(
    const mesh::MembershipMessage& message);

}  // namespace oleander::io

#endif  // OLEANDER_IO_MEMBERSHIP_CODEC_H_
