#include "operator_client.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "oleander/result_code.h"

namespace oleander::ctl {
namespace {

using nlohmann::json;

constexpr Duration kMaxIdleTime = std::chrono::seconds(5);
constexpr int kFirstErrorStatus = 400;

// Converts the daemon's error body to a status; any other body becomes the
// message of a kInternal error.
absl::Status ErrorFromAnswer(const OperatorAnswer& answer) {
  const json body =
      json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return MakeError(ResultCode::kInternal,
                     fmt::format("The daemon answered with HTTP status {}: {}",
                                 answer.status, answer.body));
  }
  const json& error = body["error"];
  const auto code = static_cast<ResultCode>(error.value("code", 9101));
  return MakeError(code, error.value("message", ""));
}

}  // namespace

absl::StatusOr<OperatorEndpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  OperatorEndpoint endpoint;
  if (colon != std::string_view::npos) {
    const std::string_view port = text.substr(colon + 1);
    const auto result =
        std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (result.ec == std::errc() && result.ptr == port.data() + port.size() &&
        endpoint.port != 0 && colon > 0) {
      endpoint.address = std::string(text.substr(0, colon));
      return endpoint;
    }
  }
  return MakeError(ResultCode::kUsage,
                   fmt::format("--address is \"{}\", expected IP:PORT.", text));
}

OperatorClient::OperatorClient(OperatorEndpoint endpoint)
    : endpoint_(std::move(endpoint)),
      loop_(std::make_unique<io::EventLoop>()),
      client_(std::make_unique<io::HttpClient>(*loop_, kMaxIdleTime)) {}

OperatorClient::~OperatorClient() = default;

absl::StatusOr<OperatorAnswer> OperatorClient::Call(std::string method,
                                                    std::string target,
                                                    io::Headers headers,
                                                    std::string body) {
  io::HttpAnswer answer;
  client_->Fetch(NewRequest(std::move(method), std::move(target),
                            std::move(headers), std::move(body)),
                 [&](io::HttpAnswer arrived) {
                   answer = std::move(arrived);
                   loop_->Stop();
                 });
  loop_->Run();
  if (!answer.end.status.ok()) {
    return Unreachable(answer.end.status);
  }
  return OperatorAnswer{.status = answer.status,
                        .headers = std::move(answer.headers),
                        .body = std::move(answer.body)};
}

absl::StatusOr<OperatorAnswer> OperatorClient::CallOk(std::string method,
                                                      std::string target,
                                                      io::Headers headers,
                                                      std::string body) {
  auto answer = Call(std::move(method), std::move(target), std::move(headers),
                     std::move(body));
  if (answer.ok() && answer->status >= kFirstErrorStatus) {
    return ErrorFromAnswer(*answer);
  }
  return answer;
}

absl::Status OperatorClient::Stream(
    std::string target, const std::function<void(std::string_view)>& on_chunk) {
  OperatorAnswer answer;
  io::HttpCallEnd call_end;
  const auto on_body = [&](std::string_view chunk) {
    if (answer.status < kFirstErrorStatus) {
      on_chunk(chunk);
    } else {
      answer.body.append(chunk);
    }
  };
  const auto call = client_->Start(
      NewRequest("GET", std::move(target), {}, {}),
      {.on_sent = nullptr,
       .on_head = [&](int status,
                      const io::Headers&) { answer.status = status; },
       .on_body = on_body,
       .on_end =
           [&](const io::HttpCallEnd& end) {
             call_end = end;
             loop_->Stop();
           }});
  loop_->Run();
  if (!call_end.status.ok()) {
    return Unreachable(call_end.status);
  }
  return answer.status < kFirstErrorStatus ? absl::OkStatus()
                                           : ErrorFromAnswer(answer);
}

void OperatorClient::Wait(Duration duration) {
  const io::Timer timer = loop_->After(duration, [this] { loop_->Stop(); });
  loop_->Run();
}

io::HttpCallRequest OperatorClient::NewRequest(std::string method,
                                               std::string target,
                                               io::Headers headers,
                                               std::string body) const {
  io::HttpCallRequest request;
  request.address = endpoint_.address;
  request.port = endpoint_.port;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers = std::move(headers);
  request.headers.push_back(
      {.name = "authorization", .value = "Bearer " + endpoint_.token});
  request.body = std::move(body);
  request.options.head_timeout = endpoint_.timeout;
  request.options.progress_timeout = endpoint_.timeout;
  return request;
}

absl::Status OperatorClient::Unreachable(const absl::Status& cause) const {
  return MakeError(
      ResultCode::kDaemonUnreachable,
      fmt::format("The daemon at {}:{} can't be reached: {}", endpoint_.address,
                  endpoint_.port, std::string(cause.message())));
}

}  // namespace oleander::ctl
