// Converts LedgerMessage to and from its wire format.
#ifndef OLEANDER_IO_LEDGER_CODEC_H_
#define OLEANDER_IO_LEDGER_CODEC_H_

#include "absl/status/statusor.h"
#include "ledger.pb.h"
#include "oleander/ledger.h"

namespace oleander::io {

mesh::LedgerMessage EncodeLedgerMessage(const LedgerMessage& message);

// Checks every field. Returns kMeshBadFrame with the name of the first invalid
// field.
absl::StatusOr<LedgerMessage> DecodeLedgerMessage(
    const mesh::LedgerMessage& frame);

}  // namespace oleander::io

#endif  // OLEANDER_IO_LEDGER_CODEC_H_
