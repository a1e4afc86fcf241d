// An HTTP server over h2o. Answers are streamed; nothing is buffered whole but
// the request's body, which has a limit.
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

// One request and its answer. Handlers may keep it as long as they like: once
// the caller has gone, writing does nothing.
//
// An answer is either Respond(), or Begin(), any number of Write(), and End()
// or Abort().
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
  // Ends a streamed body so that the caller sees it as cut off.
  virtual void Abort() = 0;

  // Whether the headers went out.
  virtual bool started() const = 0;
  // Whether the caller's connection is gone or the answer has ended.
  virtual bool closed() const = 0;
  // Bytes written here that the connection hasn't taken yet.
  virtual size_t pending_bytes() const = 0;

  // Called once, in a round of its own, when the caller goes before the answer
  // has ended. A caller that closes its sending side counts as gone.
  virtual void OnDisconnected(std::function<void()> callback) = 0;
  // Called each time pending_bytes() falls to zero.
  virtual void OnDrained(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

// PEM files; the server reads them again when they change.
struct TlsFiles {
  std::string certificate_file;
  std::string key_file;
  Duration check_period = std::chrono::seconds(2);
};

struct HttpServerOptions {
  std::string address;  // An IP number.
  uint16_t port = 0;    // 0 takes a free port.
  size_t max_body_bytes = 4 << 20;
  size_t max_header_bytes = 32 << 10;
  Duration idle_timeout = std::chrono::seconds(60);
  std::optional<TlsFiles> tls = std::nullopt;
};

// Destroy it from outside the loop's callbacks: its connections are closed by
// running the loop for some rounds.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();

  // kSettingsInvalid where the address or the TLS files can't be used.
  absl::Status Listen();
  // Takes no new connections; answers under way go on and close theirs. Idle
  // connections are closed half a second later, so that a request that is on
  // its way still gets its answer.
  void StopAccepting();

  // Each answer from now on ends its connection; new ones are still taken.
  void CloseAfterAnswers();

  // Ends every connection; the handlers of open requests are told that their
  // callers are gone in the loop's next round.
  void CloseAllConnections();

  uint16_t port() const;          // The port listened on.
  size_t open_exchanges() const;  // Requests without a finished answer.
  size_t open_connections() const;
  uint64_t accepted_connections() const;  // Since the start.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_HTTP_SERVER_H_
