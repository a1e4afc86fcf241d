// LedgerMessage on the wire.
#ifndef OLEANDER_IO_LEDGER_CODEC_H_
#define OLEANDER_IO_LEDGER_CODEC_H_

#include "absl/status/statusor.h"
#include "ledger.pb.h"
#include "oleander/ledger.h"

namespace oleander::io {

mesh::LedgerMessage EncodeLedgerMessage(const LedgerMessage& message);

// Checks every field. Errors have the code kMeshBadFrame and name the field.
absl::StatusOr<LedgerMessage> DecodeLedgerMessage(
    const mesh::LedgerMessage& frame);

}  // namespace oleander::io

#endif  // OLEANDER_IO_LEDGER_CODEC_H_
