// Until when this instance may act on its configuration.
//
// A credential that operators took away must stop working everywhere within a
// bound, also where the store can't be reached. So an instance serves calls
// with credentials only while it can show that its configuration was the newest
// at a moment less than the bound ago. A proof counts from before the read that
// gave it was sent, on a clock that goes on while the machine is suspended.
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
  Duration bound{};  // Of the operators; zero: any age will do.
  // For clocks of different rate, and for what lies between the check and the
  // send.
  Duration margin = std::chrono::milliseconds(400);
};

class ConfigProof {
 public:
  explicit ConfigProof(ConfigProofOptions options) : options_(options) {}

  void SetBound(Duration bound) { options_.bound = bound; }

  // The configuration in force here was the newest at `asked_at`.
  void Prove(Time asked_at) {
    proven_ = std::max(proven_.value_or(asked_at), asked_at);
  }

  bool holds(Time now) const {
    if (options_.bound == Duration::zero()) {
      return proven_.has_value();
    }
    return proven_ && now - *proven_ < options_.bound - options_.margin;
  }

  // How old the newest proof is; the longest duration where there is none.
  Duration age(Time now) const {
    return proven_ ? now - *proven_ : Duration::max();
  }

 private:
  ConfigProofOptions options_;
  std::optional<Time> proven_;
};

}  // namespace oleander

#endif  // OLEANDER_CONFIG_PROOF_H_
