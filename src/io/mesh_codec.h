// Converts a mesh message, a protobuf envelope with a version, to and from
// bytes.
#ifndef OLEANDER_IO_MESH_CODEC_H_
#define OLEANDER_IO_MESH_CODEC_H_

#include <array>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "mesh.pb.h"

namespace oleander::io {

// The message classes are the names of the envelope's fields. The first class
// is for envelopes without a body.
inline constexpr std::array<std::string_view, 21> kMeshClasses = {
    "none",        "request",     "ledger",     "profile",     "membership",
    "load",        "store_ask",   "store_tell", "quota_ask",   "quota_grant",
    "usage_told",  "place_ask",   "place_tell", "place_news",  "place_waits",
    "crash_news",  "config_news", "config_ask", "config_tell", "rollout_report",
    "rollout_tell"};

// Returns the index of the message's class in kMeshClasses.
size_t MeshClassOf(const mesh::Envelope& message);

// Returns whether a full queue drops other messages in favour of this one.
// Callers wait for messages about requests and claims ("work"); all other
// ("control") messages are sent again anyway.
bool CarriesWork(const mesh::Envelope& message);

std::string EncodeEnvelope(const mesh::Envelope& message);

// Returns kMeshBadFrame if the bytes don't parse or have no body or sender, and
// kMeshWrongVersion for another version.
absl::StatusOr<mesh::Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace oleander::io

#endif  // OLEANDER_IO_MESH_CODEC_H_
