// Types and functions shared by the HTTP server and the HTTP client.
#ifndef OLEANDER_IO_HTTP_TYPES_H_
#define OLEANDER_IO_HTTP_TYPES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander::io {

struct Header {
  std::string name;  // Lower case.
  std::string value;
};

using Headers = std::vector<Header>;

// Returns the value of the first header called `name` (lower case), if any.
std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name);

// Returns the percent-decoded value of `key` in a query string such as
// "from=12&wait=1", if any.
std::optional<std::string> FindQuery(std::string_view query,
                                     std::string_view key);

}  // namespace oleander::io

#endif  // OLEANDER_IO_HTTP_TYPES_H_
