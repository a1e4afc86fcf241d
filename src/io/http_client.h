// A streaming HTTP client over h2o with pooled connections.
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
  // Uses a separate connection that is never reused, for calls that must not
  // be repeated.
  bool fresh_connection = false;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Idle time after which TCP keep-alive probes the connection, rounded up to
  // whole seconds. One unanswered probe ends the connection. Zero disables the
  // probes.
  Duration probe_after = Duration::zero();
  // From the moment the request is handed to the connection to the end of the
  // response's headers.
  Duration head_timeout = std::chrono::seconds(30);
  // Between two pieces of the response's body.
  Duration progress_timeout = std::chrono::seconds(30);
  // Fetch() ends a call whose response has a longer body.
  size_t max_fetched_bytes = size_t{16} << 20;
  // A call that is given up resets its connection, so that bytes which a cut
  // link held up can't arrive later. With this set, the operating system also
  // drops such bytes if the process is killed, or is suspended for longer than
  // `head_timeout`. For calls that must not arrive late.
  bool drop_undelivered = false;
};

struct HttpCallRequest {
  std::string address;  // An IP address, not a host name.
  uint16_t port = 0;
  std::string method = "GET";
  std::string target = "/";  // Path and query.
  // Content-Length is added, and Host if it is missing.
  Headers headers;
  std::string body;
  // Sent in place of `body` if it isn't null. It is not copied, and is released
  // when the response begins.
  std::shared_ptr<const std::string> shared_body = nullptr;
  // The id that the server repeats in its response; empty if it repeats none.
  // The call isn't sent on a connection on which a call with the same id got a
  // response other than 2xx, since a late copy of that response could not be
  // told from its own.
  std::string id = {};
  HttpCallOptions options;
};

// The result of a call. `sent` is false only if no byte of the request can have
// reached the server. Only then is the call known not to have run.
struct HttpCallEnd {
  // OK if the whole response arrived, whatever its HTTP status. A response that
  // named no length is whole if its connection was closed in order by a server
  // that still accepts connections.
  absl::Status status;
  bool sent = false;
  // The response named no length, so it ended with its connection.
  bool by_close = false;
};

// The callbacks of one call; each may be empty. on_end is called exactly once,
// as the last one, unless the call is cancelled by destroying its handle.
struct HttpCallCallbacks {
  std::function<void()> on_sent;  // Called just before the request is written.
  std::function<void(int status, const Headers& headers)> on_head;
  std::function<void(std::string_view chunk)> on_body;
  std::function<void(const HttpCallEnd& end)> on_end;
};

// The handle of a call. Destroying it cancels the call: the connection is reset
// and no further callback is called.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  // Whether bytes of the request may have reached the server.
  virtual bool sent() const = 0;
  // Stop and restart reading, for back pressure.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

// A whole response, for calls that need no streaming.
struct HttpAnswer {
  HttpCallEnd end;
  int status = 0;
  Headers headers;
  std::string body;
  bool too_large = false;  // The body was longer than max_fetched_bytes.
};

class HttpClient {
 public:
  // Connections that were idle for longer than `max_idle_time` aren't reused.
  HttpClient(EventLoop& loop, Duration max_idle_time);
  ~HttpClient();

  // Starts a call. No callback is called before this function returns.
  [[nodiscard]] std::unique_ptr<HttpCall> Start(HttpCallRequest request,
                                                HttpCallCallbacks callbacks);
  // Calls `done` with the whole response, or with kBadAnswer if its body is
  // longer than 16 MiB. The client owns the call until it ends.
  void Fetch(HttpCallRequest request, std::function<void(HttpAnswer)> done);

  // Closes the idle connections to one server, for use when one of its
  // connections turned out to be dead. Calls in progress continue.
  void CloseIdleConnections(std::string_view address, uint16_t port);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_HTTP_CLIENT_H_
