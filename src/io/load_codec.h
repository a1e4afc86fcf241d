// Converts LoadUpdate to and from its wire format.
//
// Entries are sorted by server number and packed into a few bytes each:
//
//   varint   difference to the previous server number
//   1 byte   age in steps of 200 ms (6 bits), leaving (bit 6), traits (bit 7)
//   3 bytes  levels: running, waiting, queued tokens
//   with traits: 5 bytes of levels and a varint version
//
// A summary is the varint difference to the previous pool number, one byte of
// age in steps of 200 ms, and five bytes of levels.
#ifndef OLEANDER_IO_LOAD_CODEC_H_
#define OLEANDER_IO_LOAD_CODEC_H_

#include "absl/status/statusor.h"
#include "load.pb.h"
#include "oleander/load_spread.h"

namespace oleander::io {

mesh::LoadMessage EncodeLoad(const LoadUpdate& update);
// Returns kMeshBadFrame if the packed bytes are truncated or a number is out of
// range.
absl::StatusOr<LoadUpdate> DecodeLoad(const mesh::LoadMessage& message);

}  // namespace oleander::io

#endif  // OLEANDER_IO_LOAD_CODEC_H_
