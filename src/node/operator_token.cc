#include "node/operator_token.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

#include "io/text_file.h"
#include "node/settings.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr size_t kMinTokenLength = 16;
constexpr std::string_view kScheme = "Bearer ";
constexpr std::string_view kWhiteSpace = " \t\r\n";

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// Tokens are compared by their digests, which have a fixed length, so that the
// duration of the comparison doesn't reveal the length of the token.
Digest DigestOf(std::string_view text) {
  Digest digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return digest;
}

std::string Trimmed(const std::string& text) {
  const size_t first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(kWhiteSpace) - first + 1);
}

}  // namespace

absl::StatusOr<OperatorToken> OperatorToken::Read(const std::string& file) {
  auto text = io::ReadTextFile(file);
  if (!text.ok()) {
    return text.status();
  }
  std::string token = Trimmed(*text);
  if (token.size() < kMinTokenLength) {
    return MakeError(
        ResultCode::kSettingsInvalid,
        fmt::format("The operator token in {} has {} characters, expected at "
                    "least {}.",
                    file, token.size(), kMinTokenLength));
  }
  return OperatorToken(std::move(token));
}

absl::Status OperatorToken::Check(const io::Headers& headers) const {
  const auto header = io::FindHeader(headers, "authorization");
  if (!header.has_value() || !header->starts_with(kScheme)) {
    return MakeError(ResultCode::kMissingToken,
                     "The operator API needs \"Authorization: Bearer TOKEN\".");
  }
  const Digest given = DigestOf(header->substr(kScheme.size()));
  const Digest expected = DigestOf(token_);
  if (CRYPTO_memcmp(given.data(), expected.data(), expected.size()) != 0) {
    return MakeError(ResultCode::kWrongToken,
                     "The bearer token is not the operator token.");
  }
  return absl::OkStatus();
}

}  // namespace oleander::node
