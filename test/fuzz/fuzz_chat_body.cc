// A caller's chat call is either refused with HTTP status 400 or turned into a
// JSON body for the engine.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "node/chat_request.h"
#include "oleander/result_code.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace node = oleander::node;
  const auto request =
      node::ParseChatRequest({reinterpret_cast<const char*>(data), size});
  if (!request.ok()) {
    const auto& info = oleander::InfoOf(oleander::CodeOf(request.status()));
    if (info.http_status != 400) {
      std::abort();
    }
    return 0;
  }
  const std::string body =
      node::EngineBody(request->body, {.priority = 1,
                                       .resume_from = 3,
                                       .resume_text = "a b c",
                                       .kv_handle = ""});
  const auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object() || parsed.value("stream", false) != true) {
    std::abort();
  }
  return 0;
}
