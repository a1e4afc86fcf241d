// Helpers for responses, shared by the caller API and the operator API.
#ifndef OLEANDER_NODE_HTTP_ANSWERS_H_
#define OLEANDER_NODE_HTTP_ANSWERS_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "io/http_server.h"

namespace oleander::node {

// Responds with the error body, the HTTP status of the result code, and a
// Retry-After header if the error has a delay. Does nothing if the response has
// already started.
void RespondError(io::HttpExchange& exchange, const absl::Status& status,
                  io::Headers headers = {});

void RespondJson(io::HttpExchange& exchange, int http_status,
                 const nlohmann::json& body, io::Headers headers = {});

// Returns the non-empty segments of a path: "/v1/requests/x" becomes
// {"v1", "requests", "x"}.
std::vector<std::string> PathParts(std::string_view path);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_HTTP_ANSWERS_H_
