// A client of model engines: streamed completions, load reports, cache events,
// transfer of KV caches, and orders.
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

// Token counts that the engine reports for one answer.
struct EngineUsage {
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  int64_t cached_tokens = 0;
  int64_t recomputed_tokens = 0;
};

// The result of a streamed completion. The status is OK only if the engine sent
// a finish reason and "[DONE]". It is kMalformedRequest only if the engine
// rejected the call on a fresh connection.
struct CompletionEnd {
  absl::Status status;
  std::string finish_reason;
  std::optional<EngineUsage> usage;
  bool sent = false;  // False if no byte can have reached the engine.
};

struct CompletionCallbacks {
  // Called with consecutive tokens that arrived together. `first_index` is the
  // index of the first one in the answer.
  std::function<void(uint64_t first_index,
                     const std::vector<std::string>& tokens)>
      on_tokens;
  // Called exactly once, as the last callback, unless the call is destroyed
  // earlier.
  std::function<void(const CompletionEnd& end)> on_end;
};

// One streamed completion. Destroying it closes the connection. It must not be
// destroyed inside on_tokens. Pause() and Resume() stop and restart reading,
// for back pressure.
class CompletionCall {
 public:
  virtual ~CompletionCall() = default;
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

struct CompletionOptions {
  // The attempt's id, sent as X-Request-Id. Events without it are ignored.
  std::string attempt;
  std::string body;
  // Timeout from the end of the request to the head of the response.
  Duration first_event_bound = std::chrono::seconds(30);
  // Timeout between two pieces of the response's body.
  Duration progress_bound = std::chrono::seconds(10);
  // Uses a new connection, since a pooled one may be dead without a reset.
  bool fresh_connection = false;
};

// A KV cache that an engine exported or imported.
struct KvHandle {
  std::string handle;
  int64_t tokens = 0;
  int64_t bytes = 0;
};

// Some of an engine's cache events. `next` is the `after` of the next page.
struct CacheEventPage {
  std::vector<CacheEvent> events;
  uint64_t next = 0;
};

// The models that an engine has loaded and its role, for capacity planning.
struct EngineState {
  std::vector<std::string> models;
  std::string role;
};

// The Fetch functions, ExportKv(), ImportKv() and Order() return kServerFailed
// for an HTTP error status other than 409 and kBadAnswer for a malformed
// response.
class EngineClient {
 public:
  explicit EngineClient(HttpClient& client) : client_(&client) {}

  [[nodiscard]] std::unique_ptr<CompletionCall> Complete(
      const ServerInfo& server, CompletionOptions options,
      CompletionCallbacks callbacks);
  // Asks the engine to stop working on an attempt; errors are ignored.
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
  // Sends an order to the engine. Returns kOrderFenced if the engine rejects
  // the order's fencing number (orders with lower numbers are rejected) or the
  // state that the order expects.
  void Order(const ServerInfo& server, const std::string& order_json,
             std::function<void(absl::Status)> done);

 private:
  HttpClient* client_;
};

// Parses the response of GET /v1/load. Returns kBadAnswer if it is not a JSON
// object.
absl::StatusOr<ServerLoad> ParseServerLoad(const ServerId& server,
                                           std::string_view body);

}  // namespace oleander::io

#endif  // OLEANDER_IO_ENGINE_CLIENT_H_
