// The operators' bearer token.
#ifndef OLEANDER_NODE_OPERATOR_TOKEN_H_
#define OLEANDER_NODE_OPERATOR_TOKEN_H_

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "io/http_types.h"

namespace oleander::node {

class OperatorToken {
 public:
  // Reads the token from a file and strips surrounding white space. Returns
  // kSettingsInvalid if the token is shorter than 16 characters.
  static absl::StatusOr<OperatorToken> Read(const std::string& file);

  explicit OperatorToken(std::string token) : token_(std::move(token)) {}

  // Returns OK if the Authorization header has the token, or else kMissingToken
  // or kWrongToken. The duration of the comparison doesn't depend on the
  // position of the first difference.
  absl::Status Check(const io::Headers& headers) const;

 private:
  std::string token_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_OPERATOR_TOKEN_H_
