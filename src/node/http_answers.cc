#include "node/http_answers.h"

#include <algorithm>
#include <chrono>
#include <ranges>

#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr int kJsonIndent = 2;

}  // namespace

void RespondError(io::HttpExchange& exchange, const absl::Status& status,
                  io::Headers headers) {
  if (exchange.started()) {
    return;
  }
  const ErrorDetails details = DetailsOf(status);
  headers.push_back({.name = "content-type", .value = "application/json"});
  if (details.retry_after.has_value()) {
    // Retry-After is in whole seconds; the body has the delay in milliseconds.
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*details.retry_after);
    headers.push_back(
        {.name = "retry-after", .value = std::to_string(seconds.count())});
  }
  exchange.Respond(InfoOf(details.code).http_status, std::move(headers),
                   ErrorBody(status));
}

void RespondJson(io::HttpExchange& exchange, int http_status,
                 const nlohmann::json& body, io::Headers headers) {
  headers.push_back({.name = "content-type", .value = "application/json"});
  exchange.Respond(http_status, std::move(headers),
                   body.dump(kJsonIndent, ' ', false,
                             nlohmann::json::error_handler_t::replace) +
                       "\n");
}

std::vector<std::string> PathParts(std::string_view path) {
  std::vector<std::string> parts;
  for (const auto part : std::views::split(path, '/')) {
    if (!part.empty()) {
      parts.emplace_back(part.begin(), part.end());
    }
  }
  return parts;
}

}  // namespace oleander::node
