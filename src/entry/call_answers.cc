#include "entry/call_answers.h"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/numbers.h"

namespace oleander::entry {
namespace {

constexpr std::string_view kCodeHeader = "oleander-code";

}  // namespace

void RespondError(io::HttpExchange& exchange, int status,
                  const absl::Status& error) {
  const ErrorDetails details = DetailsOf(error);
  io::Headers headers = {
      {.name = "content-type", .value = "application/json"},
      {.name = std::string(kCodeHeader),
       .value = std::to_string(static_cast<int>(details.code))}};
  if (details.retry_after) {
    const double seconds =
        std::chrono::duration<double>(*details.retry_after).count();
    headers.push_back(
        {.name = "retry-after", .value = fmt::format("{:.3f}", seconds)});
  }
  exchange.Respond(status, std::move(headers), ErrorBody(error));
}

std::optional<ResultCode> ResultCodeIn(const io::Headers& headers) {
  const auto text = io::FindHeader(headers, kCodeHeader);
  int code = 0;
  if (!text || !absl::SimpleAtoi(std::string(*text), &code)) {
    return std::nullopt;
  }
  return static_cast<ResultCode>(code);
}

}  // namespace oleander::entry
