// Reads the length of a request's body from the request's head, before h2o
// parses it.
#ifndef OLEANDER_IO_REQUEST_HEAD_H_
#define OLEANDER_IO_REQUEST_HEAD_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace oleander::io {

struct RequestHead {
  size_t bytes = 0;  // With the empty line at its end.
  // Only of a head that leaves no doubt: one length, no transfer encoding, no
  // expectation, and no line that parsers read in different ways.
  std::optional<size_t> body_bytes = std::nullopt;
  // Where the digits of the length are.
  size_t length_at = 0;
  size_t length_digits = 0;
};

// Returns nothing if `input` doesn't hold the whole head.
std::optional<RequestHead> ReadRequestHead(std::string_view input);

}  // namespace oleander::io

#endif  // OLEANDER_IO_REQUEST_HEAD_H_
