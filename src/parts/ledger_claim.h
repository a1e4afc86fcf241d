// The claim of a call that may not repeat: the record in the key-value service
// that names the one attempt with the key that may run.
#ifndef OLEANDER_PARTS_LEDGER_CLAIM_H_
#define OLEANDER_PARTS_LEDGER_CLAIM_H_

#include <optional>
#include <string>
#include <string_view>

#include "oleander/ledger.h"

namespace oleander {

enum class ClaimState {
  kOpen,       // The attempt may run or may have run.
  kDone,       // The attempt ran; the answer is stored unless it is too long.
  kUnknown,    // The attempt was sent and its outcome is unknown.
  kAbandoned,  // The attempt was not sent and never will be.
};

struct Claim {
  std::string attempt;
  InstanceId holder;   // The instance of the attempt.
  std::string digest;  // Digest of the call, see CallDigest().
  ClaimState state = ClaimState::kOpen;
  std::optional<StoredAnswer> answer;
};

// Returns the claim as JSON.
std::string EncodeClaim(const Claim& claim);
// Returns nullopt if `value` is not a valid claim.
std::optional<Claim> DecodeClaim(std::string_view value);

// Returns the digest that binds a key to its call: xxh3-128 over method, path
// and body, in hex.
std::string CallDigest(const LedgerCall& call);

}  // namespace oleander

#endif  // OLEANDER_PARTS_LEDGER_CLAIM_H_
