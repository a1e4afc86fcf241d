#include "io/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "fmt/format.h"
#include "io/h2o.h"
#include "io/held_bodies.h"
#include "io/http_exchange.h"
#include "io/log.h"
#include "io/request_head.h"
#include "io/socket_address.h"
#include "io/tls_context.h"
#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

// Bytes that a caller may send while its request is answered, before the server
// stops reading.
constexpr size_t kMaxPipelinedBytes = size_t{64} << 10;
// Time between the last accept and the closing of idle connections, so that a
// request in transit still gets its answer.
constexpr Duration kIdleGrace = std::chrono::milliseconds(500);
// Time without accepting after the process ran out of file descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
constexpr int kAcceptsPerRound = 256;
// An input buffer that grew beyond this is replaced when it is empty again.
constexpr size_t kMaxInputCapacity = size_t{64} << 10;
// A body that h2o buffers is copied for the handler.
constexpr size_t kCopiesByH2o = 2;
// Bodies are held until their requests are answered, so it isn't known when
// there will be room.
constexpr Duration kBodyRetryAfter = std::chrono::milliseconds(500);
// The maximum number of rounds that CloseAll() waits for connections to close.
constexpr int kClosingRounds = 1000;

std::string_view View(const h2o_iovec_t& bytes) {
  return {bytes.base, bytes.len};
}

std::string RemoteAddress(h2o_req_t* req) {
  sockaddr_storage peer = {};
  auto* raw = reinterpret_cast<sockaddr*>(&peer);
  const socklen_t length = req->conn->callbacks->get_peername(req->conn, raw);
  return length == 0 ? std::string() : AddressText(peer);
}

// Copies all but the body.
HttpRequest CopyRequest(h2o_req_t* req) {
  HttpRequest request;
  request.method = View(req->input.method);
  const std::string_view target = View(req->input.path);
  const size_t question = std::min(target.find('?'), target.size());
  request.path = target.substr(0, question);
  request.query = target.substr(std::min(question + 1, target.size()));
  request.headers.reserve(req->headers.size + 1);
  // h2o removes the host from the list of headers.
  request.headers.push_back(
      {.name = "host", .value = std::string(View(req->input.authority))});
  for (size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& header = req->headers.entries[i];
    request.headers.push_back({.name = std::string(View(*header.name)),
                               .value = std::string(View(header.value))});
  }
  request.remote_address = RemoteAddress(req);
  return request;
}

size_t HeaderBytes(h2o_req_t* req) {
  size_t bytes = req->input.path.len + req->input.authority.len;
  for (size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& header = req->headers.entries[i];
    bytes += header.name->len + header.value.len;
  }
  return bytes;
}

// The request's strings point into the connection's input buffer, which may be
// reallocated when more is read. Moves or clears those that h2o uses later.
void DetachFromInput(h2o_req_t* req) {
  static char slash[] = "/";
  const h2o_iovec_t root = {.base = slash, .len = 1};
  req->input.method =
      h2o_strdup(&req->pool, req->input.method.base, req->input.method.len);
  req->method = req->input.method;
  req->input.path = root;
  req->path = root;
  req->path_normalized = root;
  req->input.authority = root;
  req->authority = root;
  req->headers.size = 0;
  req->entity = {.base = nullptr, .len = 0};
  req->upgrade = {.base = nullptr, .len = 0};
}

// Converts the HTTP status of an error that h2o itself detected.
absl::Status ErrorOfStatus(int status) {
  switch (status) {
    case 413:
      return MakeError(ResultCode::kBodyTooLarge,
                       "The request's body is larger than the limit.");
    case 431:
      return MakeError(ResultCode::kHeaderTooLarge,
                       "The request's headers are larger than the limit.");
    case 404:
      return MakeError(ResultCode::kUnknownPath, "No handler serves the path.");
    default:
      return MakeError(
          ResultCode::kMalformedRequest,
          fmt::format("The HTTP request is malformed (status {}).", status));
  }
}

absl::Status NoRoomError(const HeldBodies& bodies) {
  return MakeError(
      {.code = ResultCode::kMemoryFull,
       .ran = Ran::kNo,
       .retry_after = kBodyRetryAfter},
      fmt::format("The request's body exceeds the memory for bodies; {} of {} "
                  "bytes are in use.",
                  bodies.bytes(), bodies.limit()));
}

// Retry-After is in whole seconds.
std::string RetrySeconds() {
  return std::to_string(
      std::chrono::ceil<std::chrono::seconds>(kBodyRetryAfter).count());
}

// Gives the memory of a large body back.
void ShrinkInput(h2o_socket_t* socket) {
  h2o_buffer_t* old = socket->input;
  if (old->capacity <= kMaxInputCapacity || old->size > kMaxInputCapacity) {
    return;
  }
  h2o_buffer_t* fresh = nullptr;
  h2o_buffer_init(&fresh, &h2o_socket_buffer_prototype);
  const h2o_iovec_t space = h2o_buffer_reserve(&fresh, old->size);
  std::memcpy(space.base, old->bytes, old->size);
  fresh->size = old->size;
  h2o_buffer_dispose(&socket->input);
  socket->input = fresh;
}

// Replaces the text of h2o's own errors by a JSON body.
struct ErrorBodyStream {
  h2o_ostream_t super;
  h2o_iovec_t body;
};

void SendErrorBody(h2o_ostream_t* self, h2o_req_t* req, h2o_iovec_t* /*bufs*/,
                   size_t /*count*/, h2o_send_state_t state) {
  auto* stream = reinterpret_cast<ErrorBodyStream*>(self);
  h2o_ostream_send_next(self, req, &stream->body, 1, state);
}

void OnSetupOstream(h2o_filter_t* /*self*/, h2o_req_t* req,
                    h2o_ostream_t** slot) {
  const bool h2o_error = req->res.status >= 400 && req->_generator != nullptr &&
                         req->_generator->stop != Exchange::OnStop;
  if (!h2o_error) {
    h2o_setup_next_ostream(req, slot);
    return;
  }
  const std::string body = ErrorBody(ErrorOfStatus(req->res.status));
  auto* stream = reinterpret_cast<ErrorBodyStream*>(
      h2o_add_ostream(req, sizeof(ErrorBodyStream), slot));
  stream->super.do_send = SendErrorBody;
  stream->body = h2o_strdup(&req->pool, body.data(), body.size());
  req->res.content_length = body.size();
  h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                 H2O_STRLIT("application/json"), 1);
  h2o_setup_next_ostream(req, &stream->super.next);
}

}  // namespace

// The state that h2o refers to. It outlives the server (and is leaked) if a
// connection can't be closed in time.
struct HttpServer::Impl {
  // The handler that h2o calls, with a pointer to the server.
  struct Handler {
    h2o_handler_t super;
    Impl* server;
  };

  // Who reads the request that arrives on a connection.
  enum class Reading { kHead, kBody, kByH2o, kRefused };

  // The argument of the close hook of an accepted socket.
  struct Connection {
    Impl* server;
    h2o_socket_t* socket;
    HeldBody held;
    h2o_socket_cb read_by_h2o = nullptr;
    Reading reading = Reading::kByH2o;
    bool refused = false;
    bool taken = false;  // `body` is the request's.
    size_t head_bytes = 0;
    size_t left = 0;  // Of the body.
    std::string body = {};
  };

  Impl(EventLoop& event_loop, HttpServerOptions server_options,
       HttpHandler request_handler)
      : loop(event_loop),
        options(std::move(server_options)),
        handler(std::move(request_handler)),
        bodies(std::make_shared<HeldBodies>(options.max_held_body_bytes)) {
    h2o_config_init(&config);
    config.max_request_entity_size = options.max_body_bytes;
    config.server_name = {.base = nullptr, .len = 0};
    config.http1.req_timeout = Milliseconds(options.idle_timeout);
    config.http1.upgrade_to_http2 = 0;
    h2o_hostconf_t* host = h2o_config_register_host(
        &config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    RegisterOn(&host->fallback_path);
    h2o_context_init(&context, loop.raw(), &config);
    accept.ctx = &context;
    accept.hosts = config.hosts;
  }

  static uint64_t Milliseconds(Duration duration) {
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  }

  void RegisterOn(h2o_pathconf_t* path) {
    auto* raw =
        reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    raw->super.on_req = OnRequest;
    raw->server = this;
    h2o_filter_t* filter = h2o_create_filter(path, sizeof(h2o_filter_t));
    filter->on_setup_ostream = OnSetupOstream;
  }

  static int OnRequest(h2o_handler_t* self, h2o_req_t* req) {
    reinterpret_cast<Handler*>(self)->server->Handle(req);
    return 0;
  }

  void Handle(h2o_req_t* req) {
    h2o_socket_t* socket = req->conn->callbacks->get_socket(req->conn);
    Connection& connection = ConnectionOf(socket);
    const size_t header_bytes = HeaderBytes(req);
    HttpRequest request = CopyRequest(req);
    bool has_room = !std::exchange(connection.refused, false);
    if (std::exchange(connection.taken, false)) {
      request.body = std::exchange(connection.body, {});
    } else if (has_room =
                   connection.held.Resize(kCopiesByH2o * req->entity.len);
               has_room) {
      request.body = View(req->entity);
    }
    auto exchange = std::make_shared<Exchange>(
        loop, req, std::move(request), connection.held.Take(),
        [this, socket](Exchange* finished) {
          const auto found = exchanges.find(socket);
          if (found != exchanges.end() && found->second == finished) {
            exchanges.erase(found);
          }
          CloseIfStopping(socket);
          // h2o sets its read callback for the next request after this.
          loop.Post([this, socket, guard = std::weak_ptr(alive)] {
            if (!guard.expired()) {
              ReadNextRequest(socket);
            }
          });
        });
    exchanges[socket] = exchange.get();
    DetachFromInput(req);
    exchange->Attach(exchange);
    // h2o does not read while a request is handled, so it would not notice that
    // the caller disconnects.
    h2o_socket_read_start(socket, OnReadWhileAnswering);
    if (header_bytes > options.max_header_bytes) {
      RefuseHeaders(*exchange, header_bytes);
      return;
    }
    if (!has_room) {
      RefuseBody(exchange);
      return;
    }
    handler(std::move(exchange));
  }

  void RefuseHeaders(Exchange& exchange, size_t bytes) const {
    const absl::Status error = MakeError(
        ResultCode::kHeaderTooLarge,
        fmt::format("The request's headers take {} bytes; the limit is {}.",
                    bytes, options.max_header_bytes));
    exchange.Respond(431, {{"content-type", "application/json"}},
                     ErrorBody(error));
  }

  void RefuseBody(const std::shared_ptr<Exchange>& exchange) const {
    const absl::Status error = NoRoomError(*bodies);
    if (options.refuse_body) {
      options.refuse_body(exchange, error);
      return;
    }
    Log(LogLevel::kInfo, "http.body_refused",
        {{"path", exchange->request().path},
         {"held", bodies->bytes()},
         {"limit", bodies->limit()}});
    exchange->Respond(503,
                      {{.name = "content-type", .value = "application/json"},
                       {.name = "retry-after", .value = RetrySeconds()}},
                      ErrorBody(error));
  }

  // Starts to watch how a request arrives, in place of h2o's callback.
  void ReadNextRequest(h2o_socket_t* socket) {
    if (!connections.contains(socket) || exchanges.contains(socket) ||
        socket->_cb.read == nullptr || socket->_cb.read == OnReadRequest ||
        socket->_cb.read == OnReadWhileAnswering) {
      return;
    }
    Connection& connection = ConnectionOf(socket);
    connection.read_by_h2o = std::exchange(socket->_cb.read, OnReadRequest);
    // h2o has begun to handle a request that was received with the last one.
    connection.reading = ReadRequestHead(InputOf(socket)).has_value()
                             ? Reading::kByH2o
                             : Reading::kHead;
  }

  static std::string_view InputOf(h2o_socket_t* socket) {
    return {socket->input->bytes, socket->input->size};
  }

  static void OnReadRequest(h2o_socket_t* socket, const char* error) {
    Connection& connection = ConnectionOf(socket);
    if (error == nullptr && !connection.server->MayPass(connection)) {
      return;
    }
    // This may close the connection.
    connection.read_by_h2o(socket, error);
  }

  // Returns whether h2o gets the bytes that have arrived. The body of a request
  // with a known length is kept from h2o, which would hold a copy of it until
  // the request is answered: h2o gets the head, with a length of zero, once the
  // body is complete. The body of a request that is refused is read, too, since
  // a caller may not read the answer before.
  bool MayPass(Connection& connection) {
    if (connection.reading == Reading::kHead) {
      ReadHead(connection);
    }
    switch (connection.reading) {
      case Reading::kHead:
        return true;
      case Reading::kBody:
        TakeBody(connection);
        connection.taken = connection.left == 0;
        if (connection.taken) {
          connection.reading = Reading::kByH2o;
        }
        return connection.taken;
      case Reading::kByH2o:
        return HasRoomInH2o(connection);
      case Reading::kRefused:
        h2o_buffer_consume(&connection.socket->input,
                           connection.socket->input->size);
        return false;
    }
    return true;
  }

  void ReadHead(Connection& connection) {
    const auto head = ReadRequestHead(InputOf(connection.socket));
    if (!head) {
      return;
    }
    // h2o refuses a body that is too long.
    if (!head->body_bytes || *head->body_bytes > options.max_body_bytes) {
      connection.reading = Reading::kByH2o;
      return;
    }
    connection.reading = Reading::kBody;
    connection.head_bytes = head->bytes;
    connection.left = *head->body_bytes;
    connection.refused = !connection.held.Resize(connection.left);
    if (!connection.refused) {
      connection.body.reserve(connection.left);
    }
    std::memset(connection.socket->input->bytes + head->length_at, '0',
                head->length_digits);
  }

  static void TakeBody(Connection& connection) {
    h2o_buffer_t* input = connection.socket->input;
    const size_t here =
        std::min(connection.left, input->size - connection.head_bytes);
    char* body = input->bytes + connection.head_bytes;
    if (!connection.refused) {
      connection.body.append(body, here);
    }
    connection.left -= here;
    input->size -= here;
    std::memmove(body, body + here, input->size - connection.head_bytes);
    ShrinkInput(connection.socket);
  }

  // Bodies of unknown length count as they arrive.
  bool HasRoomInH2o(Connection& connection) {
    const size_t bytes = connection.socket->input->size;
    if (bytes <= kMaxPipelinedBytes || connection.held.Resize(bytes)) {
      return true;
    }
    RefuseUnread(connection);
    return false;
  }

  // Answers in place of h2o, which waits for the rest of the body, and closes
  // the connection.
  void RefuseUnread(Connection& connection) {
    Log(LogLevel::kInfo, "http.body_refused",
        {{"path", ""}, {"held", bodies->bytes()}, {"limit", bodies->limit()}});
    const std::string body = ErrorBody(NoRoomError(*bodies));
    connection.reading = Reading::kRefused;
    connection.held.Resize(0);
    connection.body = fmt::format(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n"
        "content-type: application/json\r\nretry-after: {}\r\n"
        "content-length: {}\r\n\r\n{}",
        RetrySeconds(), body.size(), body);
    h2o_socket_t* socket = connection.socket;
    h2o_buffer_consume(&socket->input, socket->input->size);
    ShrinkInput(socket);
    h2o_iovec_t bytes = {.base = connection.body.data(),
                         .len = connection.body.size()};
    h2o_socket_write(socket, &bytes, 1, OnRefusalWritten);
  }

  // The caller closes its side after the answer, and h2o then closes the
  // connection.
  static void OnRefusalWritten(h2o_socket_t* socket, const char* /*error*/) {
    shutdown(h2o_socket_get_fd(socket), SHUT_WR);
  }

  static void OnReadWhileAnswering(h2o_socket_t* socket, const char* error) {
    // h2o uses `data` for its connection, so the server is found through the
    // close hook.
    Impl* server = ServerOf(socket);
    if (error == nullptr) {
      if (socket->input->size > kMaxPipelinedBytes) {
        h2o_socket_read_stop(socket);
      }
      return;
    }
    h2o_socket_read_stop(socket);
    const auto found = server->exchanges.find(socket);
    if (found != server->exchanges.end()) {
      found->second->OnCallerDisconnected();
    }
  }

  static Connection& ConnectionOf(h2o_socket_t* socket) {
    return *static_cast<Connection*>(socket->on_close.data);
  }

  static Impl* ServerOf(h2o_socket_t* socket) {
    return ConnectionOf(socket).server;
  }

  static void OnClose(void* data) {
    const std::unique_ptr<Connection> connection(
        static_cast<Connection*>(data));
    connection->server->connections.erase(connection->socket);
    connection->server->exchanges.erase(connection->socket);
  }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error == nullptr) {
      static_cast<Impl*>(listener->data)->AcceptRound();
    }
  }

  void AcceptRound() {
    for (int i = 0; i < kAcceptsPerRound; ++i) {
      errno = 0;
      h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
      if (socket == nullptr) {
        PauseIfExhausted(errno);
        return;
      }
      AddConnection(socket);
    }
  }

  void AddConnection(h2o_socket_t* socket) {
    ++accepted;
    connections.insert(socket);
    socket->on_close.cb = OnClose;
    socket->on_close.data = new Connection{
        .server = this, .socket = socket, .held = HeldBody(bodies)};
    h2o_accept(&accept, socket);
    // With TLS, h2o sets its read callback after the handshake.
    if (accept.ssl_ctx == nullptr) {
      ReadNextRequest(socket);
    }
  }

  // Without free descriptors the listener stays readable, and the loop would
  // spin.
  void PauseIfExhausted(int error) {
    if (error != EMFILE && error != ENFILE) {
      return;
    }
    h2o_socket_read_stop(listener);
    accept_pause = loop.After(kAcceptPause, [this] {
      if (listener != nullptr) {
        h2o_socket_read_start(listener, OnAccept);
      }
    });
  }

  absl::Status LoadTls() {
    if (!options.tls.has_value()) {
      return absl::OkStatus();
    }
    auto loaded = TlsContext::Load(*options.tls);
    if (!loaded.ok()) {
      return loaded.status();
    }
    tls = *std::move(loaded);
    accept.ssl_ctx = tls->raw();
    tls_check = loop.Every(options.tls->check_period, [this] { RefreshTls(); });
    return absl::OkStatus();
  }

  void RefreshTls() {
    const absl::Status refreshed = tls->Refresh();
    if (!refreshed.ok()) {
      Log(LogLevel::kError, "tls.reload_failed",
          {{"code", static_cast<int>(CodeOf(refreshed))},
           {"reason", std::string(refreshed.message())}});
    }
    accept.ssl_ctx = tls->raw();
  }

  void CloseListener() {
    if (listener == nullptr) {
      return;
    }
    h2o_socket_read_stop(listener);
    h2o_socket_close(listener);
    listener = nullptr;
    accept_pause.Cancel();
  }

  // Shuts idle connections down; h2o then detects their end and closes them.
  void CloseIdle() {
    const std::vector<h2o_socket_t*> open(connections.begin(),
                                          connections.end());
    for (h2o_socket_t* socket : open) {
      if (!exchanges.contains(socket) && socket->input->size == 0) {
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
      }
    }
  }

  // Closes the connection after its answer if the server is stopping. The head
  // of an answer that was sent before the stop announced that the connection
  // stays open, so h2o would keep it.
  void CloseIfStopping(h2o_socket_t* socket) {
    if (context.shutdown_requested == 0) {
      return;
    }
    loop.Post([this, socket] {
      if (connections.contains(socket) && !exchanges.contains(socket) &&
          socket->input->size == 0) {
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
      }
    });
  }

  void CloseAll() {
    std::vector<Exchange*> open;
    for (const auto& [socket, exchange] : exchanges) {
      open.push_back(exchange);
    }
    for (Exchange* exchange : open) {
      exchange->OnCallerDisconnected();
    }
    const std::vector<h2o_socket_t*> remaining(connections.begin(),
                                               connections.end());
    for (h2o_socket_t* socket : remaining) {
      shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
    for (int i = 0; i < kClosingRounds && !connections.empty(); ++i) {
      loop.RunSockets(0);
    }
  }

  void Dispose() {
    h2o_context_dispose(&context);
    h2o_config_dispose(&config);
  }

  EventLoop& loop;
  HttpServerOptions options;
  HttpHandler handler;
  std::shared_ptr<HeldBodies> bodies;
  std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
  h2o_globalconf_t config = {};
  h2o_context_t context = {};
  h2o_accept_ctx_t accept = {};
  h2o_socket_t* listener = nullptr;
  uint16_t port = 0;
  uint64_t accepted = 0;
  std::optional<TlsContext> tls;
  Timer tls_check;
  Timer accept_pause;
  Timer idle_grace;
  absl::flat_hash_set<h2o_socket_t*> connections;
  absl::flat_hash_map<h2o_socket_t*, Exchange*> exchanges;
};

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options,
                       HttpHandler handler)
    : impl_(std::make_unique<Impl>(loop, std::move(options),
                                   std::move(handler))) {}

void HttpServer::CloseAllConnections() {
  impl_->CloseListener();
  impl_->CloseAll();
}

HttpServer::~HttpServer() {
  impl_->CloseListener();
  impl_->CloseAll();
  if (!impl_->connections.empty()) {
    // h2o still refers to the context, so it is leaked.
    [[maybe_unused]] const Impl* left_behind = impl_.release();
    return;
  }
  impl_->Dispose();
}

absl::Status HttpServer::Listen() {
  if (absl::Status loaded = impl_->LoadTls(); !loaded.ok()) {
    return loaded;
  }
  auto bound = ListenTcp(impl_->options.address, impl_->options.port);
  if (!bound.ok()) {
    return bound.status();
  }
  impl_->port = bound->port;
  impl_->listener = h2o_evloop_socket_create(impl_->loop.raw(), bound->fd,
                                             H2O_SOCKET_FLAG_DONT_READ);
  impl_->listener->data = impl_.get();
  h2o_socket_read_start(impl_->listener, Impl::OnAccept);
  return absl::OkStatus();
}

void HttpServer::StopAccepting() {
  if (impl_->listener == nullptr) {
    return;
  }
  // Closing the listener resets the connections in its queue, so these are
  // accepted first.
  impl_->AcceptRound();
  impl_->CloseListener();
  CloseAfterAnswers();
  impl_->idle_grace = impl_->loop.After(
      kIdleGrace, [impl = impl_.get()] { impl->CloseIdle(); });
}

// h2o's function for this also sets a timer for HTTP/2, which would outlive the
// server.
void HttpServer::CloseAfterAnswers() { impl_->context.shutdown_requested = 1; }

uint16_t HttpServer::port() const { return impl_->port; }

size_t HttpServer::open_exchanges() const { return impl_->exchanges.size(); }

size_t HttpServer::open_connections() const {
  return impl_->connections.size();
}

size_t HttpServer::held_body_bytes() const { return impl_->bodies->bytes(); }

uint64_t HttpServer::accepted_connections() const { return impl_->accepted; }

}  // namespace oleander::io
