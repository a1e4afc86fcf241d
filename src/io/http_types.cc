#include "io/http_types.h"

#include <algorithm>

namespace oleander::io {
namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Decodes percent escapes and '+'. A percent sign that is not followed by two
// hex digits is copied unchanged.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '+') {
      decoded.push_back(' ');
      continue;
    }
    const bool escape = text[at] == '%' && at + 2 < text.size() &&
                        HexDigit(text[at + 1]) >= 0 &&
                        HexDigit(text[at + 2]) >= 0;
    if (!escape) {
      decoded.push_back(text[at]);
      continue;
    }
    decoded.push_back(static_cast<char>(HexDigit(text[at + 1]) * 16 +
                                        HexDigit(text[at + 2])));
    at += 2;
  }
  return decoded;
}

}  // namespace

std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name) {
  const auto found = std::ranges::find(headers, name, &Header::name);
  if (found == headers.end()) {
    return std::nullopt;
  }
  return found->value;
}

std::optional<std::string> FindQuery(std::string_view query,
                                     std::string_view key) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    const size_t equals = std::min(pair.find('='), pair.size());
    if (DecodePercent(pair.substr(0, equals)) == key) {
      return DecodePercent(pair.substr(std::min(equals + 1, pair.size())));
    }
  }
  return std::nullopt;
}

}  // namespace oleander::io
