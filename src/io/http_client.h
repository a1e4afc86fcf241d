// A streaming HTTP client over h2o, with connections kept for reuse.
#ifndef OLEANDER_IO_HTTP_CLIENT_H_
#define OLEANDER_IO_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "io/event_loop.h"
#include "io/http_types.h"
#include "oleander/types.h"

namespace oleander::io {

struct HttpCallOptions {
  // A connection of its own that is never reused: for calls that may not
  // repeat.
  bool fresh_connection = false;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Probes a silent connection from this time on, and ends it where one probe
  // stays without an answer; in whole seconds. Zero: no probes.
  Duration probe_after = Duration::zero();
  // From the request's last byte to the answer's first.
  Duration head_timeout = std::chrono::seconds(30);
  // Between two pieces of the body.
  Duration progress_timeout = std::chrono::seconds(30);
};

struct HttpCallRequest {
  std::string address;  // An IP number.
  uint16_t port = 0;
  std::string method = "GET";
  std::string target = "/";  // Path and query.
  // Content-Length is added, and Host where it is missing.
  Headers headers;
  std::string body;
  HttpCallOptions options;
};

// How a call ended. `sent` is false only where no byte of the request can have
// reached the server; then and only then the call is known not to have run.
struct HttpCallEnd {
  absl::Status
      status;  // OK when the whole answer arrived, whatever its HTTP status.
  bool sent = false;
};

// Callbacks of one call; each may be empty. on_end is called exactly once,
// last, unless the call is cancelled by its handle.
struct HttpCallCallbacks {
  std::function<void()>
      on_sent;  // The request is about to be written to the connection.
  std::function<void(int status, const Headers& headers)> on_head;
  std::function<void(std::string_view chunk)> on_body;
  std::function<void(const HttpCallEnd& end)> on_end;
};

// Cancels its call when it goes: the connection is closed and no callback comes
// after.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  virtual bool sent() const = 0;
  // Stops and restarts reading, for back pressure.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

// A whole answer, for calls that need no streaming.
struct HttpAnswer {
  HttpCallEnd end;
  int status = 0;
  Headers headers;
  std::string body;
};

class HttpClient {
 public:
  // Idle connections older than `max_idle_time` aren't used again.
  HttpClient(EventLoop& loop, Duration max_idle_time);
  ~HttpClient();

  [[nodiscard]] std::unique_ptr<HttpCall> Start(HttpCallRequest request,
                                                HttpCallCallbacks callbacks);
  // Collects the whole answer. The call lives in the client until it ends.
  void Fetch(HttpCallRequest request, std::function<void(HttpAnswer)> done);

  // Closes the idle connections to one server: one of them went silent.
  void CloseIdleConnections(std::string_view address, uint16_t port);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_HTTP_CLIENT_H_
