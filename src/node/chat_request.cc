#include "node/chat_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "oleander/result_code.h"

namespace oleander::node {
namespace {

using nlohmann::json;

constexpr int kDefaultMaxTokens = 256;
constexpr int kLargestMaxTokens = 1'000'000;

// Returns whether `text` is valid UTF-8. nlohmann-json validates strings when
// it serializes them.
bool IsUtf8(std::string_view text) {
  try {
    (void)json(text).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

std::string Quoted(std::string_view text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status Malformed(std::string_view field, std::string_view expected) {
  return MakeError(
      ResultCode::kMalformedRequest,
      fmt::format("The field \"{}\" must be {}.", field, expected));
}

bool IsMessage(const json& message) {
  return message.is_object() && message.contains("role") &&
         message["role"].is_string() && message.contains("content") &&
         message["content"].is_string();
}

absl::Status ReadMessages(const json& document, ChatRequest& request) {
  const auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() ||
      messages->empty() || !std::ranges::all_of(*messages, IsMessage)) {
    return Malformed(
        "messages",
        "a list of objects with the strings \"role\" and \"content\"");
  }
  for (const json& message : *messages) {
    if (!request.prompt.empty()) {
      request.prompt += '\n';
    }
    request.prompt += message["content"].get_ref<const std::string&>();
  }
  return absl::OkStatus();
}

absl::Status ReadOptions(const json& document, ChatRequest& request) {
  if (document.contains("model") && !document["model"].is_string()) {
    return Malformed("model", "a string");
  }
  if (document.contains("stream") && !document["stream"].is_boolean()) {
    return Malformed("stream", "true or false");
  }
  const json max_tokens = document.value("max_tokens", json(kDefaultMaxTokens));
  if (!max_tokens.is_number_integer() || max_tokens < 1 ||
      max_tokens > kLargestMaxTokens) {
    return Malformed("max_tokens", fmt::format("a whole number from 1 to {}",
                                               kLargestMaxTokens));
  }
  request.model = document.value("model", "");
  request.stream = document.value("stream", false);
  request.max_tokens = max_tokens.get<int>();
  return absl::OkStatus();
}

std::string ChunkWith(const RequestId& id, std::string_view model,
                      std::string_view delta, std::string_view finish_reason) {
  return fmt::format(
      R"({{"id":{},"object":"chat.completion.chunk","model":{},"choices":[{{"index":0,"delta":{},"finish_reason":{}}}]}})",
      Quoted(id.value()), Quoted(model), delta, finish_reason);
}

}  // namespace

absl::StatusOr<ChatRequest> ParseChatRequest(std::string_view body) {
  const json document = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return IsUtf8(body)
               ? MakeError(ResultCode::kMalformedJson, "The body is not JSON.")
               : MakeError(ResultCode::kInvalidUtf8,
                           "The body contains bytes that are not UTF-8.");
  }
  if (!document.is_object()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "The body is not a JSON object.");
  }
  ChatRequest request;
  if (absl::Status status = ReadMessages(document, request); !status.ok()) {
    return status;
  }
  if (absl::Status status = ReadOptions(document, request); !status.ok()) {
    return status;
  }
  request.body = std::string(body);
  return request;
}

std::string EngineBody(const std::string& caller_body,
                       const EngineCallOptions& options) {
  json document = json::parse(caller_body, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return caller_body;
  }
  document["stream"] = true;
  document["priority"] = options.priority;
  if (!document.contains("max_tokens")) {
    document["max_tokens"] = kDefaultMaxTokens;
  }
  if (options.resume_from > 0) {
    document["resume"] = {{"from", options.resume_from},
                          {"text", options.resume_text}};
    if (!options.kv_handle.empty()) {
      document["resume"]["kv"] = options.kv_handle;
    }
  }
  return document.dump();
}

std::string ChunkData(const RequestId& id, std::string_view model,
                      std::string_view content) {
  return ChunkWith(id, model,
                   fmt::format(R"({{"content":{}}})", Quoted(content)), "null");
}

std::string FinishData(const RequestId& id, std::string_view model,
                       std::string_view finish_reason) {
  return ChunkWith(id, model, "{}", Quoted(finish_reason));
}

std::string WholeAnswer(const RequestId& id, std::string_view model,
                        std::string_view text, std::string_view finish_reason) {
  const nlohmann::ordered_json answer = {
      {"id", id.value()},
      {"object", "chat.completion"},
      {"model", model},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", text}}},
         {"finish_reason", finish_reason}}}},
  };
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace oleander::node
