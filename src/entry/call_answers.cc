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

void RespondError(io::HttpExchange& exchange, const absl::Status& error) {
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
  exchange.Respond(InfoOf(details.code).http_status, std::move(headers),
                   ErrorBody(error));
}

absl::Status DeadlineError(bool may_have_run) {
  return may_have_run
             ? MakeError(ResultCode::kDeadlinePassed,
                         "The request's deadline passed.")
             : MakeError(ResultCode::kDeadlineUnreachable,
                         "The request's deadline passed before it was sent to "
                         "a server.");
}

absl::Status StopError(bool may_have_run) {
  return may_have_run
             ? MakeError(ResultCode::kAnswerLost,
                         "This instance stops before the server has answered.")
             : MakeError(ResultCode::kDraining,
                         "This instance stops before the request was sent to a "
                         "server.");
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
