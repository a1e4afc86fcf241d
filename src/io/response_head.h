// Checks the head of an HTTP response before h2o's client parses it.
//
//   switch (CheckResponseHead(received)) {
//     case HeadState::kIncomplete: ...  // Wait for more bytes.
//     case HeadState::kComplete: ...    // h2o can handle it.
//     case HeadState::kMalformed: ...   // Close the connection.
//   }
//
// h2o's client aborts the process on some heads that its parser accepts: a
// content length that is not a number, an unknown transfer encoding, an interim
// (1xx) response that is cut off. It also stores a content length over the
// state of its chunk decoder. The check is therefore stricter than the parser,
// and h2o gets a head only once it is complete.
#ifndef OLEANDER_IO_RESPONSE_HEAD_H_
#define OLEANDER_IO_RESPONSE_HEAD_H_

#include <cstddef>
#include <string_view>

namespace oleander::io {

enum class HeadState { kIncomplete, kComplete, kMalformed };

// `bytes` begins with the status line and may end anywhere. A line that ends
// without a carriage return, a folded line, a status below 200 or over 599, a
// head that states its length twice, and a status line inside a head are
// malformed. While no status line ends, a status below 200 may be that of an
// interim response.
HeadState CheckResponseHead(std::string_view bytes);

// Returns the length of the complete head of an interim response with which
// `bytes` begins; 0 if there is none. Status 101 is no interim response: it
// would turn the connection over to a protocol that no call asks for.
size_t InterimHeadLength(std::string_view bytes);

}  // namespace oleander::io

#endif  // OLEANDER_IO_RESPONSE_HEAD_H_
