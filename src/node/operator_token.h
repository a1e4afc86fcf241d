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
  // Reads the token from a file; surrounding white space doesn't count. A token
  // shorter than 16 characters is refused.
  static absl::StatusOr<OperatorToken> Read(const std::string& file);

  explicit OperatorToken(std::string token) : token_(std::move(token)) {}

  // kMissingToken or kWrongToken unless the Authorization header carries the
  // token. The comparison takes the same time wherever the texts differ.
  absl::Status Check(const io::Headers& headers) const;

 private:
  std::string token_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_OPERATOR_TOKEN_H_
