// The claim of a call that may not repeat, as the key-value service holds it.
#ifndef OLEANDER_PARTS_LEDGER_CLAIM_H_
#define OLEANDER_PARTS_LEDGER_CLAIM_H_

#include <optional>
#include <string>
#include <string_view>

#include "oleander/ledger.h"

namespace oleander {

enum class ClaimState {
  kOpen,       // The attempt may run or have run.
  kDone,       // It ran; the answer is stored.
  kUnknown,    // It was sent and its outcome can't be told.
  kAbandoned,  // It was never sent and never will be.
};

struct Claim {
  std::string attempt;
  InstanceId holder;
  std::string digest;  // Of the call that the key is bound to.
  ClaimState state = ClaimState::kOpen;
  std::optional<StoredAnswer> answer;
};

std::string EncodeClaim(const Claim& claim);
// Nothing where `value` is no claim.
std::optional<Claim> DecodeClaim(std::string_view value);

// Binds a key to its call: xxh3-128 over method, path and body, in hex.
std::string CallDigest(const LedgerCall& call);

}  // namespace oleander

#endif  // OLEANDER_PARTS_LEDGER_CLAIM_H_
