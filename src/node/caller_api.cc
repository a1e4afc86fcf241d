#include "node/caller_api.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>

#include "node/answer_stream.h"
#include "node/http_answers.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

using nlohmann::json;

constexpr int kOkStatus = 200;
constexpr int kUnavailable = 503;

std::string_view StateName(RequestState state) {
  switch (state) {
    case RequestState::kQueued:
      return "queued";
    case RequestState::kRunning:
      return "running";
    case RequestState::kDone:
      return "done";
    case RequestState::kFailed:
      return "failed";
    case RequestState::kCancelled:
      break;
  }
  return "cancelled";
}

json JsonOf(const RequestId& id, const RequestView& view) {
  json document = {{"id", id.value()},
                   {"state", StateName(view.state)},
                   {"events", view.events},
                   {"text", view.text}};
  if (view.end.has_value() && view.end->status.ok()) {
    document["finish_reason"] = view.end->finish_reason;
  }
  if (view.end.has_value() && !view.end->status.ok()) {
    document["error"] = json::parse(ErrorBody(view.end->status))["error"];
  }
  return document;
}

absl::StatusOr<uint64_t> ReadFirstIndex(const io::HttpRequest& request) {
  const std::string text = io::FindQuery(request.query, "from").value_or("0");
  uint64_t from = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), from);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return MakeError(
        ResultCode::kMalformedRequest,
        fmt::format(
            "The parameter \"from\" is \"{}\", expected an event index.",
            text));
  }
  return from;
}

absl::Status MethodError(const io::HttpRequest& request) {
  return MakeError(ResultCode::kMethodNotAllowed,
                   fmt::format("{} does not support the method {}.",
                               request.path, request.method));
}

absl::Status PathError(const io::HttpRequest& request) {
  return MakeError(ResultCode::kUnknownPath,
                   fmt::format("The path {} does not exist.", request.path));
}

}  // namespace

void RequestApi::Handle(const std::shared_ptr<io::HttpExchange>& exchange,
                        const std::vector<std::string>& parts) {
  const std::string& method = exchange->request().method;
  if (parts.empty() || parts.size() > 2) {
    RespondError(*exchange, PathError(exchange->request()));
    return;
  }
  const RequestId id(parts[0]);
  const std::string verb = parts.size() == 2 ? parts[1] : "";
  if (verb.empty() && method == "GET") {
    Show(exchange, id);
  } else if (verb == "stream" && method == "GET") {
    Stream(exchange, id);
  } else if (verb == "cancel" && method == "POST") {
    Cancel(exchange, id);
  } else if (verb.empty() || verb == "stream" || verb == "cancel") {
    RespondError(*exchange, MethodError(exchange->request()));
  } else {
    RespondError(*exchange, PathError(exchange->request()));
  }
}

void RequestApi::Show(const std::shared_ptr<io::HttpExchange>& exchange,
                      const RequestId& id) {
  AnswerReader reader;
  reader.on_snapshot = [exchange, id](const absl::StatusOr<RequestView>& view) {
    io::Headers headers = {
        {.name = "oleander-request-id", .value = id.value()}};
    if (!view.ok()) {
      RespondError(*exchange, view.status(), std::move(headers));
      return;
    }
    RespondJson(*exchange, kOkStatus, JsonOf(id, *view), std::move(headers));
  };
  requests_.Follow(id, 0, FollowMode::kSnapshot, std::move(reader));
}

void RequestApi::Stream(const std::shared_ptr<io::HttpExchange>& exchange,
                        const RequestId& id) {
  const auto from = ReadFirstIndex(exchange->request());
  if (!from.ok()) {
    RespondError(*exchange, from.status());
    return;
  }
  AnswerStream::Start(requests_, metrics_, exchange,
                      {.id = id,
                       .model = "",
                       .service = "",
                       .form = AnswerForm::kEvents,
                       .from = *from,
                       .headers = {}});
}

void RequestApi::Cancel(const std::shared_ptr<io::HttpExchange>& exchange,
                        const RequestId& id) {
  AnswerReader reader;
  reader.on_snapshot = [exchange, id](const absl::StatusOr<RequestView>& view) {
    io::Headers headers = {
        {.name = "oleander-request-id", .value = id.value()}};
    if (!view.ok()) {
      RespondError(*exchange, view.status(), std::move(headers));
      return;
    }
    RespondJson(*exchange, kOkStatus, JsonOf(id, *view), std::move(headers));
  };
  requests_.Cancel(id, std::move(reader));
}

void CallerApi::Handle(const std::shared_ptr<io::HttpExchange>& exchange) {
  if (HandleHealth(exchange, parts_.not_ready)) {
    return;
  }
  const io::HttpRequest& request = exchange->request();
  const std::vector<std::string> path = PathParts(request.path);
  const bool versioned = path.size() >= 2 && path[0] == "v1";
  if (versioned && path[1] == "chat" && path.size() == 3 &&
      path[2] == "completions") {
    if (request.method == "POST") {
      parts_.chat.Handle(exchange);
    } else {
      RespondError(*exchange, MethodError(request));
    }
  } else if (versioned && path[1] == "requests") {
    parts_.requests.Handle(exchange, {path.begin() + 2, path.end()});
  } else if (versioned && path[1] == "services" && path.size() >= 3) {
    parts_.plain.Handle(exchange);
  } else {
    RespondError(*exchange, PathError(request));
  }
}

bool HandleHealth(const std::shared_ptr<io::HttpExchange>& exchange,
                  const std::function<std::string()>& not_ready) {
  const std::string& path = exchange->request().path;
  if (path == "/healthz") {
    exchange->Respond(
        kOkStatus, {{.name = "content-type", .value = "text/plain"}}, "ok\n");
    return true;
  }
  if (path != "/readyz") {
    return false;
  }
  const std::string reason = not_ready();
  exchange->Respond(reason.empty() ? kOkStatus : kUnavailable,
                    {{.name = "content-type", .value = "text/plain"}},
                    reason.empty() ? "ready\n" : reason + "\n");
  return true;
}

}  // namespace oleander::node
