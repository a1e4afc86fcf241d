// An HTTP server over h2o. Answers are streamed; only the request's body is
// buffered as a whole, up to a limit for each and one for all together.
//
//   HttpServer server(loop, {.address = "127.0.0.1", .port = 8080}, [](auto
//   exchange) {
//     exchange->Respond(200, {{"content-type", "text/plain"}}, "hello\n");
//   });
//   absl::Status status = server.Listen();
#ifndef OLEANDER_IO_HTTP_SERVER_H_
#define OLEANDER_IO_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "io/event_loop.h"
#include "io/http_types.h"
#include "oleander/types.h"

namespace oleander::io {

struct HttpRequest {
  std::string method;
  std::string path;   // Without the query.
  std::string query;  // Without the question mark.
  Headers headers;
  std::string body;
  std::string remote_address;
};

// One request and its answer. Handlers may keep it as long as they like: after
// the caller has disconnected, writes have no effect.
//
// A handler answers either with Respond(), or with Begin(), any number of
// Write(), and End() or Abort().
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  // Sends a whole answer.
  virtual void Respond(int status, Headers headers, std::string_view body) = 0;

  // Sends the status and headers at once and starts a streamed body.
  virtual void Begin(int status, Headers headers) = 0;
  virtual void Write(std::string_view chunk) = 0;
  virtual void End() = 0;
  // Ends a streamed body in a way that the caller recognizes as truncation.
  virtual void Abort() = 0;

  // Whether the status and headers were sent.
  virtual bool started() const = 0;
  // Whether the caller has disconnected or the answer has ended.
  virtual bool closed() const = 0;
  // Returns whether the caller's close has arrived, also if the loop has not
  // handled it yet. Asks the operating system.
  virtual bool caller_has_left() const = 0;
  // Returns the number of bytes written here that are not yet sent.
  virtual size_t pending_bytes() const = 0;

  // Sets a callback for a caller that disconnects before the answer has ended.
  // It is called once, in a later round of the loop. A caller that closes only
  // its sending side counts as disconnected.
  virtual void OnDisconnected(std::function<void()> callback) = 0;
  // Sets a callback that is called each time pending_bytes() falls to zero.
  virtual void OnDrained(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

// PEM files that the server reloads when they change.
struct TlsFiles {
  std::string certificate_file;
  std::string key_file;
  Duration check_period = std::chrono::seconds(2);
};

struct HttpServerOptions {
  std::string address;  // An IP address, not a host name.
  uint16_t port = 0;    // 0 selects a free port.
  size_t max_body_bytes = 4 << 20;
  size_t max_header_bytes = 32 << 10;
  // Of the bodies of all requests that are arriving or not yet answered. A
  // request whose body exceeds it is refused before its body is held. A quarter
  // is kept for small bodies.
  size_t max_held_body_bytes = size_t{64} << 20;
  // Answers such a request; the error has code kMemoryFull. The server answers
  // if this is empty.
  std::function<void(const std::shared_ptr<HttpExchange>&, const absl::Status&)>
      refuse_body = nullptr;
  Duration idle_timeout = std::chrono::seconds(60);
  std::optional<TlsFiles> tls = std::nullopt;
};

// The server must be destroyed outside of the loop's callbacks, since the
// destructor runs the loop to close the connections.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();

  // Starts listening. Returns kSettingsInvalid if the address or the TLS files
  // can't be used.
  absl::Status Listen();
  // Stops accepting connections. Answers in progress continue, and their
  // connections are closed after them. Idle connections are closed 500 ms
  // later, so that a request in transit still gets its answer.
  void StopAccepting();

  // Closes each connection after its next answer. New connections are still
  // accepted.
  void CloseAfterAnswers();

  // Stops listening and closes every connection. The OnDisconnected() callbacks
  // of open exchanges are called in the loop's next round.
  void CloseAllConnections();

  uint16_t port() const;          // The port that the server listens on.
  size_t open_exchanges() const;  // Requests without a finished answer.
  size_t open_connections() const;
  uint64_t accepted_connections() const;  // Since the start.
  size_t held_body_bytes() const;  // Of requests that arrive or are open.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_HTTP_SERVER_H_
