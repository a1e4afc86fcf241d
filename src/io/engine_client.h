// Calls to backend servers: streamed completions and orders to model engines,
// and single calls to plain services.
#ifndef OLEANDER_IO_ENGINE_CLIENT_H_
#define OLEANDER_IO_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "io/http_client.h"
#include "oleander/prefix_index.h"
#include "oleander/routing.h"
#include "oleander/types.h"

namespace oleander::io {

// What the engine says of its work for one answer.
struct EngineUsage {
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  int64_t cached_tokens = 0;
  int64_t recomputed_tokens = 0;
};

// How a streamed completion ended. OK only after the engine's finish reason and
// "[DONE]".
struct CompletionEnd {
  absl::Status status;
  std::string finish_reason;
  std::optional<EngineUsage> usage;
  bool sent = false;  // False: no byte can have reached the engine.
};

struct CompletionCallbacks {
  // Tokens that came together; `first_index` counts from the start of the
  // answer.
  std::function<void(uint64_t first_index,
                     const std::vector<std::string>& tokens)>
      on_tokens;
  // Called once, last, unless the call was destroyed before.
  std::function<void(const CompletionEnd& end)> on_end;
};

// One streamed completion; destroying it closes the connection. It must not be
// destroyed inside on_tokens.
class CompletionCall {
 public:
  virtual ~CompletionCall() = default;
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct CompletionOptions {
  std::string attempt;  // X-Request-Id.
  std::string body;
  Duration first_event_bound = std::chrono::seconds(30);
  Duration progress_bound = std::chrono::seconds(10);
  bool fresh_connection = false;  // Pooled ones may be silent.
};

// A KV cache that was exported or imported.
struct KvHandle {
  std::string handle;
  int64_t tokens = 0;
  int64_t bytes = 0;
};

struct CacheEventPage {
  std::vector<CacheEvent> events;
  uint64_t next = 0;
};

// What an engine has loaded, for the planner of capacity.
struct EngineState {
  std::vector<std::string> models;
  std::string role;
};

class EngineClient {
 public:
  explicit EngineClient(HttpClient& client) : client_(&client) {}

  [[nodiscard]] std::unique_ptr<CompletionCall> Complete(
      const ServerInfo& server, CompletionOptions options,
      CompletionCallbacks callbacks);
  // Best effort: tells the engine to stop working on an attempt.
  void Cancel(const ServerInfo& server, const std::string& attempt);
  void FetchLoad(const ServerInfo& server, Duration timeout,
                 std::function<void(absl::StatusOr<ServerLoad>)> done);
  void FetchState(const ServerInfo& server,
                  std::function<void(absl::StatusOr<EngineState>)> done);
  void FetchCacheEvents(
      const ServerInfo& server, uint64_t after,
      std::function<void(absl::StatusOr<CacheEventPage>)> done);
  void ExportKv(const ServerInfo& server, const std::string& attempt,
                Duration timeout,
                std::function<void(absl::StatusOr<KvHandle>)> done);
  void ImportKv(const ServerInfo& target, const KvHandle& handle,
                const ServerInfo& source, Duration timeout,
                std::function<void(absl::StatusOr<KvHandle>)> done);
  // kOrderFenced where the engine refuses the order's number or expectation.
  void Order(const ServerInfo& server, const std::string& order_json,
             std::function<void(absl::Status)> done);

 private:
  HttpClient* client_;
};

// Reads the answer of GET /v1/load; kBadAnswer where it is not one.
absl::StatusOr<ServerLoad> ParseServerLoad(const ServerId& server,
                                           std::string_view body);

}  // namespace oleander::io

#endif  // OLEANDER_IO_ENGINE_CLIENT_H_
