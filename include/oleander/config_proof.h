// Tracks how long this instance may act on its configuration.
//
// A credential that operators revoke must stop working on every instance within
// a bound, also on instances that can't reach the store. So an instance serves
// calls with credentials only if its configuration was proven to be the newest
// less than the bound ago. A proof is dated before its read was sent, on a
// clock that also advances while the machine is suspended.
//
//   ConfigProof proof({.bound = std::chrono::seconds(5)});
//   proof.Prove(sent_at);
//   if (!proof.holds(loop.now())) Refuse();  // Right before each send.
#ifndef OLEANDER_CONFIG_PROOF_H_
#define OLEANDER_CONFIG_PROOF_H_

#include <algorithm>
#include <optional>

#include "oleander/types.h"

namespace oleander {

struct ConfigProofOptions {
  // Set by the operators. Zero means that a proof of any age is enough.
  Duration bound{};
  // Covers different clock rates and the time between the check and the send.
  Duration margin = std::chrono::milliseconds(400);
};

// Holds the time of the newest proof.
class ConfigProof {
 public:
  explicit ConfigProof(ConfigProofOptions options) : options_(options) {}

  void SetBound(Duration bound) { options_.bound = bound; }

  // The configuration in force on this instance was the newest at
  // `requested_at`, when the read of it was sent.
  void Prove(Time requested_at) {
    proven_ = std::max(proven_.value_or(requested_at), requested_at);
  }

  // Returns whether the newest proof is recent enough to act on.
  bool holds(Time now) const {
    if (options_.bound == Duration::zero()) {
      return proven_.has_value();
    }
    return proven_ && now - *proven_ < options_.bound - options_.margin;
  }

  // Returns the age of the newest proof; Duration::max() if there is none.
  Duration age(Time now) const {
    return proven_ ? now - *proven_ : Duration::max();
  }

 private:
  ConfigProofOptions options_;
  std::optional<Time> proven_;
};

}  // namespace oleander

#endif  // OLEANDER_CONFIG_PROOF_H_
