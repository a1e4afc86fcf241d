#include "io/response_head.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"

namespace oleander::io {
namespace {

constexpr std::string_view kVersion = "HTTP/1.";

bool EqualsIgnoringCase(std::string_view text, std::string_view lower_case) {
  return std::ranges::equal(text, lower_case, {}, absl::ascii_tolower);
}

// Returns whether `line` is a status line of a final response, or a prefix of
// one.
bool IsStatusLinePrefix(std::string_view line) {
  constexpr size_t kMinorAt = kVersion.size();
  constexpr size_t kStatusAt = kMinorAt + 2;
  constexpr size_t kStatusEnd = kStatusAt + 3;
  for (size_t i = 0; i < std::min(line.size(), kStatusEnd + 1); ++i) {
    const char c = line[i];
    bool valid = false;
    if (i < kMinorAt) {
      valid = c == kVersion[i];
    } else if (i == kMinorAt) {
      valid = c == '0' || c == '1';
    } else if (i == kStatusAt) {
      valid = c >= '2' && c <= '9';
    } else if (i > kStatusAt && i < kStatusEnd) {
      valid = absl::ascii_isdigit(static_cast<unsigned char>(c));
    } else {
      valid = c == ' ';
    }
    if (!valid) {
      return false;
    }
  }
  return true;
}

// Returns whether a status line begins in `text`: the head was cut off there,
// and another response follows.
bool HoldsStatusLine(std::string_view text) {
  return text.find(kVersion) != std::string_view::npos;
}

bool IsLength(std::string_view text) {
  constexpr size_t kMaxDigits = 18;
  return !text.empty() && text.size() <= kMaxDigits &&
         std::ranges::all_of(
             text, [](unsigned char c) { return absl::ascii_isdigit(c); });
}

// The header lines of one head.
class HeaderLines {
 public:
  // Returns whether h2o's client can handle `line`, after the earlier ones.
  bool Accepts(std::string_view line) {
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 || line[0] == ' ' ||
        line[0] == '\t') {
      return false;
    }
    const std::string_view name = line.substr(0, colon);
    // h2o's parser removes blanks before the value, but not after it.
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    if (EqualsIgnoringCase(name, "content-length")) {
      return IsLength(value) && !std::exchange(framed_, true);
    }
    if (EqualsIgnoringCase(name, "transfer-encoding")) {
      // h2o compares the value byte by byte.
      return value == "chunked" && !std::exchange(framed_, true);
    }
    return true;
  }

 private:
  bool framed_ = false;  // A line stated where the body ends.
};

}  // namespace

HeadState CheckResponseHead(std::string_view bytes) {
  HeaderLines headers;
  for (bool first = true;; first = false) {
    const size_t end = bytes.find('\n');
    std::string_view line = bytes.substr(0, end);
    if (end == std::string_view::npos) {
      return first && !IsStatusLinePrefix(line.substr(0, line.find('\r')))
                 ? HeadState::kMalformed
                 : HeadState::kIncomplete;
    }
    if (!line.ends_with('\r')) {
      return HeadState::kMalformed;
    }
    line.remove_suffix(1);
    bytes.remove_prefix(end + 1);
    if (!first && line.empty()) {
      return HeadState::kComplete;
    }
    constexpr size_t kShortestStatusLine = 12;
    const bool valid =
        first ? line.size() >= kShortestStatusLine && IsStatusLinePrefix(line)
              : headers.Accepts(line);
    if (!valid || HoldsStatusLine(line.substr(first ? kVersion.size() : 0))) {
      return HeadState::kMalformed;
    }
  }
}

}  // namespace oleander::io
