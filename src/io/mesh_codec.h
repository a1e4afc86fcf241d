// The bytes of one mesh message: a protobuf envelope with a version.
#ifndef OLEANDER_IO_MESH_CODEC_H_
#define OLEANDER_IO_MESH_CODEC_H_

#include <array>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "mesh.pb.h"

namespace oleander::io {

// The classes of messages are the names of the envelope's fields; the first is
// the one without a body.
inline constexpr std::array<std::string_view, 15> kMeshClasses = {
    "none",       "request",   "ledger",     "profile",    "membership",
    "load",       "store_ask", "store_tell", "quota_ask",  "quota_grant",
    "usage_told", "place_ask", "place_tell", "place_news", "place_waits"};

// The index of the message's class in kMeshClasses.
size_t MeshClassOf(const mesh::Envelope& message);

// Whether a full queue gives up other messages for this one: those about
// requests and claims are what callers wait for, the rest is sent again anyway.
bool CarriesWork(const mesh::Envelope& message);

std::string EncodeEnvelope(const mesh::Envelope& message);

// kMeshBadFrame where the bytes don't parse, have no body or no sender, and
// kMeshWrongVersion for another version.
absl::StatusOr<mesh::Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace oleander::io

#endif  // OLEANDER_IO_MESH_CODEC_H_
