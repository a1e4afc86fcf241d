// Small answers that the caller API and the operator API share.
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

// Answers with the error body, the code's HTTP status and Retry-After where the
// error has one. Nothing where the answer has begun already.
void RespondError(io::HttpExchange& exchange, const absl::Status& status,
                  io::Headers headers = {});

void RespondJson(io::HttpExchange& exchange, int http_status,
                 const nlohmann::json& body, io::Headers headers = {});

// "/v1/requests/x" becomes {"v1", "requests", "x"}.
std::vector<std::string> PathParts(std::string_view path);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_HTTP_ANSWERS_H_
