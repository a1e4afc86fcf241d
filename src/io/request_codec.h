// Converts RequestMessage to and from its wire format.
#ifndef OLEANDER_IO_REQUEST_CODEC_H_
#define OLEANDER_IO_REQUEST_CODEC_H_

#include "absl/status/statusor.h"
#include "oleander/request_messages.h"
#include "requests.pb.h"

namespace oleander::io {

mesh::RequestMessage EncodeRequestMessage(const RequestMessage& message);

// Checks every field. Returns kMeshBadFrame with the name of the first invalid
// field.
absl::StatusOr<RequestMessage> DecodeRequestMessage(
    const mesh::RequestMessage& frame);

}  // namespace oleander::io

#endif  // OLEANDER_IO_REQUEST_CODEC_H_
