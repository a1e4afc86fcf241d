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

constexpr size_t kStatusAt = kVersion.size() + 2;

// Returns whether `line` is a status line with a status from 100 to 599, or a
// prefix of one.
bool IsStatusLinePrefix(std::string_view line) {
  constexpr size_t kMinorAt = kVersion.size();
  constexpr size_t kStatusEnd = kStatusAt + 3;
  for (size_t i = 0; i < std::min(line.size(), kStatusEnd + 1); ++i) {
    const char c = line[i];
    bool valid = false;
    if (i < kMinorAt) {
      valid = c == kVersion[i];
    } else if (i == kMinorAt) {
      valid = c == '0' || c == '1';
    } else if (i == kStatusAt) {
      valid = c >= '1' && c <= '5';
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

bool HasInterimStatus(std::string_view status_line) {
  return status_line.size() > kStatusAt && status_line[kStatusAt] == '1';
}

bool SwitchesProtocol(std::string_view status_line) {
  return status_line.substr(std::min(kStatusAt, status_line.size()), 3) ==
         "101";
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

// A head, as far as it has arrived.
struct ReadHead {
  HeadState state = HeadState::kIncomplete;
  bool interim = false;
  size_t length = 0;  // If it is complete.
};

ReadHead ReadResponseHead(std::string_view bytes) {
  constexpr size_t kShortestStatusLine = 12;
  const ReadHead malformed = {.state = HeadState::kMalformed};
  const size_t all = bytes.size();
  HeaderLines headers;
  bool interim = false;
  for (bool first = true;; first = false) {
    const size_t end = bytes.find('\n');
    std::string_view line = bytes.substr(0, end);
    if (end == std::string_view::npos) {
      const bool valid =
          !first || IsStatusLinePrefix(line.substr(0, line.find('\r')));
      return valid ? ReadHead{.interim = interim} : malformed;
    }
    if (!line.ends_with('\r')) {
      return malformed;
    }
    line.remove_suffix(1);
    bytes.remove_prefix(end + 1);
    if (!first && line.empty()) {
      return {.state = HeadState::kComplete,
              .interim = interim,
              .length = all - bytes.size()};
    }
    const bool valid =
        first ? line.size() >= kShortestStatusLine && IsStatusLinePrefix(line)
              : headers.Accepts(line);
    if (!valid || HoldsStatusLine(line.substr(first ? kVersion.size() : 0)) ||
        (first && SwitchesProtocol(line))) {
      return malformed;
    }
    interim = first ? HasInterimStatus(line) : interim;
  }
}

}  // namespace

HeadState CheckResponseHead(std::string_view bytes) {
  const ReadHead head = ReadResponseHead(bytes);
  const bool ends_interim = head.state == HeadState::kComplete && head.interim;
  return ends_interim ? HeadState::kMalformed : head.state;
}

size_t InterimHeadLength(std::string_view bytes) {
  const ReadHead head = ReadResponseHead(bytes);
  const bool ends_interim = head.state == HeadState::kComplete && head.interim;
  return ends_interim ? head.length : 0;
}

}  // namespace oleander::io
