// Parses chat completion calls, and formats engine calls and answers.
#ifndef OLEANDER_NODE_CHAT_REQUEST_H_
#define OLEANDER_NODE_CHAT_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "oleander/types.h"

namespace oleander::node {

struct ChatRequest {
  std::string model;
  std::string prompt;  // The contents of all messages, joined by newlines.
  bool stream = false;
  int max_tokens = 0;
  std::string body;  // The caller's JSON, unchanged.
};

// Fields that an engine call adds to the caller's body: the priority, and the
// position from which the engine resumes the answer.
struct EngineCallOptions {
  int priority = 0;
  uint64_t resume_from = 0;  // Index of the next event; 0 starts a new answer.
  std::string resume_text;   // The answer so far.
  std::string kv_handle;     // Names an imported KV cache, or is empty.
};

// Returns the parsed call, or kMalformedJson, kInvalidUtf8 or kMalformedRequest
// if the body is not a chat call.
absl::StatusOr<ChatRequest> ParseChatRequest(std::string_view body);

// Returns the body of the call to an engine. Engine calls are always streamed.
std::string EngineBody(const std::string& caller_body,
                       const EngineCallOptions& options);

// Returns the data of one event of a streamed answer.
std::string ChunkData(const RequestId& id, std::string_view model,
                      std::string_view content);
// Returns the data of the last event. `finish_reason` is for example "stop" or
// "length".
std::string FinishData(const RequestId& id, std::string_view model,
                       std::string_view finish_reason);
// Returns the complete answer of a call that is not streamed.
std::string WholeAnswer(const RequestId& id, std::string_view model,
                        std::string_view text, std::string_view finish_reason);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_CHAT_REQUEST_H_
