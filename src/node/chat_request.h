// A caller's chat completion call, parsed and checked.
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
  std::string prompt;  // The contents of all messages, joined by line ends.
  bool stream = false;
  int max_tokens = 0;
  std::string body;  // The caller's JSON, as an engine gets it.
};

// What an engine call adds to the caller's body: where the answer goes on.
struct EngineCallOptions {
  int priority = 0;
  uint64_t resume_from = 0;  // 0 starts afresh.
  std::string resume_text;   // The answer so far.
  std::string kv_handle;     // An imported KV cache, or empty.
};

// kMalformedJson, kInvalidUtf8 or kMalformedRequest where the body is not a
// chat call.
absl::StatusOr<ChatRequest> ParseChatRequest(std::string_view body);

// The body of the call to an engine, always streamed.
std::string EngineBody(const std::string& caller_body,
                       const EngineCallOptions& options);

// The data of one event of a streamed answer.
std::string ChunkData(const RequestId& id, std::string_view model,
                      std::string_view content);
// The data of the last event; `finish_reason` such as "stop" or "length".
std::string FinishData(const RequestId& id, std::string_view model,
                       std::string_view finish_reason);
// The whole answer of a call that is not streamed.
std::string WholeAnswer(const RequestId& id, std::string_view model,
                        std::string_view text, std::string_view finish_reason);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_CHAT_REQUEST_H_
