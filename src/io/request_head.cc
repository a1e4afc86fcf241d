#include "io/request_head.h"

#include <algorithm>
#include <charconv>
#include <system_error>

#include "absl/strings/ascii.h"

namespace oleander::io {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr size_t kMaxLengthDigits = 18;

bool EqualsIgnoringCase(std::string_view text, std::string_view lower_case) {
  return std::ranges::equal(text, lower_case, {}, absl::ascii_tolower);
}

std::string_view Trim(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
  return text.substr(0, text.find_last_not_of(" \t") + 1);
}

std::optional<size_t> ReadLength(std::string_view text) {
  size_t length = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && text.size() <= kMaxLengthDigits ? std::optional(length)
                                                  : std::nullopt;
}

// Adds a header line to `head`. Returns false if it leaves doubt about the
// body's length.
bool AddLine(std::string_view input, std::string_view line, RequestHead& head) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || name.empty() ||
      name.find_first_of(" \t") != std::string_view::npos ||
      line.find_first_of("\r\n") != std::string_view::npos ||
      EqualsIgnoringCase(name, "transfer-encoding") ||
      EqualsIgnoringCase(name, "expect")) {
    return false;
  }
  if (!EqualsIgnoringCase(name, "content-length")) {
    return true;
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  const std::optional<size_t> length = ReadLength(value);
  if (head.body_bytes.has_value() || !length.has_value()) {
    return false;
  }
  head.body_bytes = length;
  head.length_at = static_cast<size_t>(value.data() - input.data());
  head.length_digits = value.size();
  return true;
}

}  // namespace

std::optional<RequestHead> ReadRequestHead(std::string_view input) {
  const size_t end = input.find(kHeadEnd);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  RequestHead head{.bytes = end + kHeadEnd.size()};
  const std::string_view lines = input.substr(0, end + kLineEnd.size());
  size_t at = lines.find(kLineEnd) + kLineEnd.size();
  while (at < lines.size()) {
    const size_t line_end = lines.find(kLineEnd, at);
    if (!AddLine(input, lines.substr(at, line_end - at), head)) {
      head.body_bytes.reset();
      break;
    }
    at = line_end + kLineEnd.size();
  }
  return head;
}

}  // namespace oleander::io
