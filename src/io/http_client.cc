#include "io/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <list>
#include <map>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "fmt/format.h"
#include "io/h2o.h"
#include "io/reachability_check.h"
#include "io/response_head.h"
#include "io/socket_address.h"
#include "oleander/refused_calls.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

// Effectively disables h2o's own timeout. Calls use timers of the event loop
// instead, with a different timeout for each phase of a call.
constexpr uint64_t kNever = uint64_t{1} << 40;  // Milliseconds.

// Usual response heads have a few hundred bytes. Longer heads than this are
// rejected.
constexpr size_t kMaxHeadBytes = size_t{64} << 10;
// Further interim (1xx) responses to one call are rejected.
constexpr int kMaxInterimHeads = 8;
// Fetch() buffers the whole response; a page of the platform's listings has
// 1 MB.

// The pool of connections to one server. A fresh connection gets a separate
// pool, which is destroyed with the call.
class Pool {
 public:
  Pool(h2o_evloop_t* loop, SocketAddress address,
       std::optional<Duration> max_idle_time)
      : has_timer_(max_idle_time.has_value()) {
    h2o_socketpool_init_by_address(&pool_, address.raw(), address.length, 0,
                                   SIZE_MAX);
    if (has_timer_) {
      h2o_socketpool_set_timeout(
          &pool_, loop,
          std::chrono::ceil<std::chrono::milliseconds>(*max_idle_time).count());
    } else {
      // h2o uses the loop's clock even for a pool without a timer. A timer for
      // each pool would slow down every round of the loop.
      pool_._interval_cb.loop = loop;
    }
  }
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;
  ~Pool() {
    if (!has_timer_) {
      pool_._interval_cb.loop = nullptr;
    }
    h2o_socketpool_dispose(&pool_);
  }

  h2o_socketpool_t* raw() { return &pool_; }

 private:
  bool has_timer_;
  h2o_socketpool_t pool_ = {};
};

// The h2o context that calls refer to. It is shared by the client and its
// calls.
class ClientContext {
 public:
  explicit ClientContext(h2o_evloop_t* loop) : loop_(loop) {
    h2o_timeout_init(loop, &io_timeout_, kNever);
    context_.loop = loop;
    context_.io_timeout = &io_timeout_;
  }
  ClientContext(const ClientContext&) = delete;
  ClientContext& operator=(const ClientContext&) = delete;
  ~ClientContext() { h2o_timeout_dispose(loop_, &io_timeout_); }

  h2o_http1client_ctx_t* raw() { return &context_; }

  // The calls refused on each connection, by its file descriptor. A new
  // connection must clear the entry of an earlier one.
  absl::flat_hash_map<int, RefusedCalls>& refused_calls() {
    return refused_calls_;
  }

 private:
  h2o_evloop_t* loop_;
  absl::flat_hash_map<int, RefusedCalls> refused_calls_;
  h2o_timeout_t io_timeout_ = {};
  h2o_http1client_ctx_t context_ = {};
};

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::none_of(text, [](unsigned char c) {
    return c <= ' ' || c == 0x7f || c == ':';
  });
}

bool IsValue(std::string_view text) {
  return std::ranges::none_of(text, [](unsigned char c) {
    return (c < ' ' && c != '\t') || c == 0x7f;
  });
}

bool IsTarget(std::string_view text) {
  return text.starts_with('/') &&
         std::ranges::none_of(
             text, [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

// Rejects characters in the request line and headers with which a second
// request could be smuggled in.
absl::Status CheckRequest(const HttpCallRequest& request) {
  const bool headers_valid =
      std::ranges::all_of(request.headers, [](const Header& header) {
        return IsToken(header.name) && IsValue(header.value);
      });
  if (headers_valid && IsToken(request.method) && IsTarget(request.target)) {
    return absl::OkStatus();
  }
  return MakeError({.code = ResultCode::kMalformedRequest,
                    .ran = Ran::kNo,
                    .retry_after = std::nullopt},
                   fmt::format("The call {} {} has an invalid character in its "
                               "method, target or headers.",
                               request.method, request.target));
}

const std::string& BodyOf(const HttpCallRequest& request) {
  return request.shared_body ? *request.shared_body : request.body;
}

std::string BuildHead(const HttpCallRequest& request) {
  std::string head =
      fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  if (!FindHeader(request.headers, "host").has_value()) {
    const bool v6 = request.address.find(':') != std::string::npos;
    fmt::format_to(std::back_inserter(head), "host: {}{}{}:{}\r\n",
                   v6 ? "[" : "", request.address, v6 ? "]" : "", request.port);
  }
  const bool has_body = !BodyOf(request).empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    fmt::format_to(std::back_inserter(head), "content-length: {}\r\n",
                   BodyOf(request).size());
  }
  if (request.options.fresh_connection) {
    head += "connection: close\r\n";
  }
  for (const Header& header : request.headers) {
    fmt::format_to(std::back_inserter(head), "{}: {}\r\n", header.name,
                   header.value);
  }
  head += "\r\n";
  return head;
}

Headers CopyHeaders(const h2o_header_t* headers, size_t count) {
  Headers copied;
  copied.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    const h2o_header_t& header = headers[i];
    copied.push_back(
        {.name = std::string(header.name->base, header.name->len),
         .value = std::string(header.value.base, header.value.len)});
  }
  return copied;
}

// The event that ends a response's body.
enum class BodyEnd { kLength, kLastChunk, kConnection };

BodyEnd BodyEndOf(const Headers& headers) {
  const auto encoding = FindHeader(headers, "transfer-encoding");
  if (encoding.has_value() && encoding->find("chunked") != encoding->npos) {
    return BodyEnd::kLastChunk;
  }
  return FindHeader(headers, "content-length").has_value()
             ? BodyEnd::kLength
             : BodyEnd::kConnection;
}

// Enables TCP keep-alive. The kernel's probes need no HTTP call, and detect a
// connection whose peer stopped responding without a reset.
void EnableKeepAlive(int fd, Duration after) {
  const int on = 1;
  const int seconds = static_cast<int>(std::max<int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(after).count()));
  const int between = 1;
  const int missing = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &between, sizeof between);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &missing, sizeof missing);
}

// Makes the end of the connection a reset, which drops what was not delivered.
// An orderly close would leave it to the kernel to deliver it later.
void ResetAtEnd(int fd) {
  const linger none = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

// Makes the kernel end the connection if sent bytes aren't acknowledged in
// time.
void LimitDelivery(int fd, Duration bound) {
  const auto milliseconds = static_cast<unsigned int>(
      std::chrono::ceil<std::chrono::milliseconds>(bound).count());
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
             sizeof milliseconds);
}

// One call. h2o destroys its client object after the callback that ends it, so
// such callbacks set `client_` to null. A call that is cancelled inside a
// callback ends through the callback's result instead of h2o's cancel function.
class Call : public std::enable_shared_from_this<Call> {
 public:
  Call(EventLoop& loop, std::shared_ptr<ClientContext> context,
       std::shared_ptr<Pool> pool, const SocketAddress& address,
       HttpCallRequest request, HttpCallCallbacks callbacks)
      : loop_(loop),
        context_(std::move(context)),
        pool_(std::move(pool)),
        address_(address),
        options_(request.options),
        id_(std::move(request.id)),
        is_head_(request.method == "HEAD"),
        target_(fmt::format("{}:{}", request.address, request.port)),
        head_(BuildHead(request)),
        body_(request.shared_body ? std::move(request.shared_body)
                                  : std::make_shared<const std::string>(
                                        std::move(request.body))),
        callbacks_(
            std::make_shared<const HttpCallCallbacks>(std::move(callbacks))) {}
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call() {
    Cancel();
    ReleaseShared();
  }

  void Connect() {
    if (ended_) {
      return;
    }
    StartTimeout(options_.connect_timeout);
    // Each round closes one kept connection of the pool.
    do {
      declined_ = false;
      connecting_ = true;
      h2o_http1client_connect_with_pool(&client_, this, context_->raw(),
                                        pool_->raw(), OnConnect);
      connecting_ = false;
      if (declined_) {
        client_ = nullptr;
      }
    } while (declined_);
    // On a kept connection the request was written just now. On a new one
    // Connected() sees to it.
    GuardHead();
  }

  void Cancel() {
    ended_ = true;
    callbacks_.reset();
    server_check_.reset();
    Close();
  }

  bool sent() const { return sent_; }

  void Pause() {
    paused_ = true;
    h2o_socket_t* socket = BodySocket();
    if (socket != nullptr && socket->_cb.read != nullptr) {
      paused_reader_ = socket->_cb.read;
      h2o_socket_read_stop(socket);
    }
  }

  void Resume() {
    paused_ = false;
    last_progress_ = loop_.now();
    h2o_socket_t* socket = BodySocket();
    if (socket != nullptr && paused_reader_ != nullptr) {
      h2o_socket_read_start(socket, paused_reader_);
    }
    paused_reader_ = nullptr;
  }

 private:
  enum class Phase { kConnect, kHead, kBody, kServerCheck };

  static Call& Of(h2o_http1client_t* client) {
    return *static_cast<Call*>(client->data);
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* error,
                                           h2o_iovec_t** bufs, size_t* count,
                                           int* method_is_head) {
    const std::shared_ptr<Call> call = Of(client).shared_from_this();
    return call->Connected(client, error, bufs, count, method_is_head)
               ? OnHead
               : nullptr;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* error, int /*minor*/,
                                        int status, h2o_iovec_t /*message*/,
                                        h2o_header_t* headers, size_t count,
                                        int /*length*/) {
    const std::shared_ptr<Call> call = Of(client).shared_from_this();
    return call->HeadArrived(error, status, headers, count) ? OnBody : nullptr;
  }

  static int OnBody(h2o_http1client_t* client, const char* error) {
    const std::shared_ptr<Call> call = Of(client).shared_from_this();
    return call->BodyArrived(client, error) ? 0 : -1;
  }

  // Wraps h2o's callbacks, so that the response head is checked before h2o
  // parses it. h2o sets its read callback when the request is written, and the
  // server may respond before. Must be called after h2o began to write, and
  // before the loop polls the socket; further calls have no effect.
  void GuardHead() {
    if (ended_ || phase_ != Phase::kHead || head_guarded_) {
      return;
    }
    head_guarded_ = true;
    h2o_socket_t* socket = client_->sock;
    if (socket->_cb.read != nullptr) {
      WrapHeadReader();
    } else {
      request_written_ = std::exchange(socket->_cb.write, OnRequestWritten);
    }
  }

  static void OnRequestWritten(h2o_socket_t* socket, const char* error) {
    Call& call = Of(static_cast<h2o_http1client_t*>(socket->data));
    const std::shared_ptr<Call> keep = call.shared_from_this();
    call.request_written_(socket, error);
    if (call.client_ != nullptr) {
      call.WrapHeadReader();
    }
  }

  void WrapHeadReader() {
    read_head_ = std::exchange(client_->sock->_cb.read, OnReadHead);
  }

  static void OnReadHead(h2o_socket_t* socket, const char* error) {
    Call& call = Of(static_cast<h2o_http1client_t*>(socket->data));
    const std::shared_ptr<Call> keep = call.shared_from_this();
    if (error != nullptr) {
      call.read_head_(socket, error);
      return;
    }
    call.DropInterimHeads(socket);
    const std::string_view bytes(socket->input->bytes, socket->input->size);
    switch (CheckResponseHead(bytes.substr(0, kMaxHeadBytes))) {
      case HeadState::kComplete:
        call.read_head_(socket, nullptr);
        return;
      case HeadState::kIncomplete:
        if (bytes.size() < kMaxHeadBytes) {
          return;
        }
        call.EndMalformed("its head does not end, parse given up");
        return;
      case HeadState::kMalformed:
        call.EndMalformed("its head does not parse");
        return;
    }
  }

  // Interim responses say nothing about how the call ends.
  void DropInterimHeads(h2o_socket_t* socket) {
    while (interim_heads_ < kMaxInterimHeads) {
      const std::string_view bytes(socket->input->bytes, socket->input->size);
      const size_t length = InterimHeadLength(bytes.substr(0, kMaxHeadBytes));
      if (length == 0) {
        return;
      }
      ++interim_heads_;
      h2o_buffer_consume(&socket->input, length);
    }
  }

  void EndMalformed(std::string_view reason) {
    Close();
    EndWith(AnswerError(reason));
  }

  // h2o treats any end of the connection as the end of a response without a
  // length, but only an orderly close is one. The read callback can tell them
  // apart, so it is wrapped as soon as h2o has set it.
  void WatchConnectionEnd() {
    loop_.Post([weak = weak_from_this()] {
      const auto call = weak.lock();
      h2o_socket_t* socket = call == nullptr ? nullptr : call->BodySocket();
      if (socket == nullptr) {
        return;
      }
      // A paused call gets its callback back when it goes on.
      h2o_socket_cb& reader = call->paused_reader_ != nullptr
                                  ? call->paused_reader_
                                  : socket->_cb.read;
      if (reader != nullptr && reader != OnReadUntilEnd) {
        call->read_until_end_ = std::exchange(reader, OnReadUntilEnd);
      }
    });
  }

  static void OnReadUntilEnd(h2o_socket_t* socket, const char* error) {
    Call& call = Of(static_cast<h2o_http1client_t*>(socket->data));
    const std::shared_ptr<Call> keep = call.shared_from_this();
    call.reset_ = error != nullptr && error != h2o_socket_error_closed;
    call.read_until_end_(socket, error);
  }

  // Connected(), HeadArrived() and BodyArrived() return whether the call
  // continues.
  bool Connected(h2o_http1client_t* client, const char* error,
                 h2o_iovec_t** bufs, size_t* count, int* method_is_head) {
    if (error != nullptr) {
      client_ = nullptr;
      EndWith(MakeError(
          ResultCode::kConnectFailed,
          fmt::format("The connection to {} failed: {}.", target_, error)));
      return false;
    }
    client_ = client;  // With a pooled connection h2o calls back before
                       // h2o_http1client_connect_with_pool() sets `client_`.
    const int fd = h2o_socket_get_fd(client->sock);
    if (!MayUse(fd)) {
      KeepFromPool();
      client_ = nullptr;
      declined_ = true;
      return false;
    }
    const InCallback in_callback(*this);
    // A callback may cancel the call, but must not be destroyed while it runs.
    const auto callbacks = callbacks_;
    if (callbacks->on_sent) {
      callbacks->on_sent();
    }
    if (ended_) {
      return false;
    }
    sent_ = true;
    phase_ = Phase::kHead;
    StartTimeout(options_.head_timeout);
    if (options_.probe_after > Duration::zero()) {
      EnableKeepAlive(fd, options_.probe_after);
    }
    if (options_.drop_undelivered) {
      ResetAtEnd(fd);
      LimitDelivery(fd, options_.head_timeout);
    }
    // h2o begins to write after this function, and reads in a later round.
    loop_.Post([weak = weak_from_this()] {
      if (const auto call = weak.lock()) {
        call->GuardHead();
      }
    });
    iovecs_[0] = {.base = head_.data(), .len = head_.size()};
    // h2o only reads the bytes.
    iovecs_[1] = {.base = const_cast<char*>(body_->data()),
                  .len = body_->size()};
    *bufs = iovecs_;
    *count = body_->empty() ? 1 : 2;
    *method_is_head = is_head_ ? 1 : 0;
    return true;
  }

  // h2o calls back while it connects only for a kept connection.
  bool MayUse(int fd) {
    auto& refused = context_->refused_calls();
    if (!connecting_) {
      refused.erase(fd);
      return true;
    }
    const auto found = refused.find(fd);
    return id_.empty() || found == refused.end() || found->second.MayCarry(id_);
  }

  void RecordIfRefused(int status) {
    if (!id_.empty() && status / 100 != 2) {
      context_->refused_calls()[h2o_socket_get_fd(client_->sock)].Add(id_);
    }
  }

  bool HeadArrived(const char* error, int status, const h2o_header_t* headers,
                   size_t count) {
    const bool whole = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !whole) {
      client_ = nullptr;
      EndWith(AnswerError(error));
      return false;
    }
    // The request was sent, so its memory isn't needed any longer.
    std::string().swap(head_);
    body_.reset();
    RecordIfRefused(status);
    StartTimeout(options_.progress_timeout);
    {
      const InCallback in_callback(*this);
      const auto callbacks = callbacks_;
      if (callbacks->on_head) {
        callbacks->on_head(status, CopyHeaders(headers, count));
      }
    }
    phase_ = Phase::kBody;
    body_end_ = BodyEndOf(CopyHeaders(headers, count));
    if (!whole && body_end_ == BodyEnd::kConnection) {
      WatchConnectionEnd();
    }
    if (whole) {
      client_ = nullptr;
      EndWith(absl::OkStatus());
    }
    return !ended_;
  }

  bool BodyArrived(h2o_http1client_t* client, const char* error) {
    last_progress_ = loop_.now();
    h2o_buffer_t** input = &client->sock->input;
    // h2o treats a connection that is closed between two chunks as the end of
    // the response. The last chunk arrives with bytes, a close without.
    if (error == h2o_http1client_error_is_eos &&
        body_end_ == BodyEnd::kLastChunk && client->sock->bytes_read == 0) {
      error = "the connection was closed before the last chunk";
    }
    if (error == h2o_http1client_error_is_eos && reset_) {
      error = "the connection was reset before the end of the response";
    }
    {
      const InCallback in_callback(*this);
      const auto callbacks = callbacks_;
      if ((*input)->size != 0 && callbacks->on_body) {
        callbacks->on_body({(*input)->bytes, (*input)->size});
      }
    }
    h2o_buffer_consume(input, (*input)->size);
    if (ended_) {
      return false;
    }
    if (error != nullptr) {
      client_ = nullptr;
      const bool whole = error == h2o_http1client_error_is_eos;
      if (whole && body_end_ == BodyEnd::kConnection) {
        CheckServer();
      } else {
        EndWith(whole ? absl::OkStatus() : AnswerError(error));
      }
      return false;
    }
    // If Pause() was called before the first piece arrived, h2o has started to
    // read after the head.
    if (paused_ && paused_reader_ == nullptr) {
      Pause();
    }
    return true;
  }

  // The kernel closes the connections of a process that has ended, like the
  // process itself does after a whole response. It closes the listening socket
  // as well.
  void CheckServer() {
    phase_ = Phase::kServerCheck;
    timer_.Cancel();
    server_check_ = std::make_unique<ReachabilityCheck>(
        loop_, address_, options_.connect_timeout, [this](bool reachable) {
          const std::shared_ptr<Call> keep = shared_from_this();
          EndWith(reachable ? absl::OkStatus()
                            : AnswerError("the server has ended, and with it "
                                          "the connection"));
        });
  }

  // Errors of the parser have "parse" in their text.
  absl::Status AnswerError(std::string_view error) const {
    const bool malformed = error.find("parse") != std::string_view::npos;
    return MakeError(
        malformed ? ResultCode::kBadAnswer : ResultCode::kAnswerLost,
        fmt::format("The response of {} is incomplete or malformed: {}.",
                    target_, error));
  }

  // Restarts the timeout. One timer per call serves all phases. A timer that
  // fires before the timeout has passed is set again, so that a piece of the
  // body doesn't need to reset it.
  void StartTimeout(Duration timeout) {
    timeout_ = timeout;
    last_progress_ = loop_.now();
    if (!timer_.active() || timer_due_ > last_progress_ + timeout) {
      SetTimer(last_progress_ + timeout);
    }
  }

  void SetTimer(Time due) {
    timer_due_ = due;
    timer_ = loop_.After(due - loop_.now(), [this] { CheckProgress(); });
  }

  void CheckProgress() {
    const Time now = loop_.now();
    if (paused_) {
      last_progress_ = now;
    }
    if (last_progress_ + timeout_ > now) {
      SetTimer(last_progress_ + timeout_);
      return;
    }
    const std::shared_ptr<Call> keep = shared_from_this();
    Close();
    EndWith(TimeoutError());
  }

  absl::Status TimeoutError() const {
    const auto bound =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout_).count();
    if (phase_ == Phase::kConnect) {
      return MakeError(
          ResultCode::kConnectFailed,
          fmt::format("No connection to {} within {} ms.", target_, bound));
    }
    return MakeError(ResultCode::kStalled,
                     fmt::format("{} sent nothing for {} ms.", target_, bound));
  }

  void EndWith(absl::Status status) {
    if (ended_) {
      return;
    }
    ended_ = true;
    timer_.Cancel();
    ReleaseShared();
    const auto callbacks = std::move(callbacks_);
    if (callbacks->on_end) {
      callbacks->on_end({.status = std::move(status),
                         .sent = sent_,
                         .by_close = (phase_ == Phase::kBody ||
                                      phase_ == Phase::kServerCheck) &&
                                     body_end_ == BodyEnd::kConnection});
    }
  }

  void Close() {
    timer_.Cancel();
    if (client_ != nullptr && !in_callback_) {
      ResetConnection();
      h2o_http1client_cancel(std::exchange(client_, nullptr));
      ReleaseShared();
    }
  }

  void ResetConnection() {
    // There is no socket while the call connects.
    if (client_ != nullptr && client_->sock != nullptr) {
      ResetAtEnd(h2o_socket_get_fd(client_->sock));
    }
  }

  // h2o returns the connection of a response without a body to the pool, also
  // if the call was cancelled. Without a pool, h2o closes it.
  void KeepFromPool() {
    if (client_ != nullptr) {
      client_->sockpool.pool = nullptr;
    }
  }

  // h2o uses the pool and the context after the callback that ends the call, so
  // they are released in the next round.
  void ReleaseShared() {
    if (pool_ != nullptr) {
      loop_.Post([pool = std::move(pool_), context = std::move(context_)] {});
    }
  }

  h2o_socket_t* BodySocket() const {
    return client_ != nullptr && phase_ == Phase::kBody ? client_->sock
                                                        : nullptr;
  }

  // While an instance exists, h2o's client must not be cancelled.
  class InCallback {
   public:
    explicit InCallback(Call& call) : call_(call) { call_.in_callback_ = true; }
    InCallback(const InCallback&) = delete;
    InCallback& operator=(const InCallback&) = delete;
    ~InCallback() {
      call_.in_callback_ = false;
      if (call_.ended_) {
        call_.ResetConnection();
        call_.KeepFromPool();
        call_.client_ = nullptr;
      }
    }

   private:
    Call& call_;
  };

  EventLoop& loop_;
  std::shared_ptr<ClientContext> context_;
  std::shared_ptr<Pool> pool_;
  SocketAddress address_;
  HttpCallOptions options_;
  std::string id_;
  bool is_head_;
  std::string target_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::shared_ptr<const HttpCallCallbacks> callbacks_;
  h2o_iovec_t iovecs_[2] = {};
  h2o_http1client_t* client_ = nullptr;
  h2o_socket_cb paused_reader_ = nullptr;  // h2o's read callback, while paused.
  Phase phase_ = Phase::kConnect;
  Duration timeout_ = Duration::zero();
  Time last_progress_;
  Timer timer_;
  Time timer_due_;
  bool sent_ = false;
  bool connecting_ = false;  // h2o_http1client_connect_with_pool() runs.
  bool declined_ = false;    // The kept connection can't carry the call.
  bool paused_ = false;
  BodyEnd body_end_ = BodyEnd::kLength;
  bool head_guarded_ = false;
  int interim_heads_ = 0;
  // h2o's callbacks, while they are wrapped.
  h2o_socket_cb request_written_ = nullptr;
  h2o_socket_cb read_head_ = nullptr;
  h2o_socket_cb read_until_end_ = nullptr;
  bool reset_ = false;  // The connection was reset or failed.
  bool ended_ = false;
  bool in_callback_ = false;
  std::unique_ptr<ReachabilityCheck> server_check_;
};

class CallHandle : public HttpCall {
 public:
  explicit CallHandle(std::shared_ptr<Call> call) : call_(std::move(call)) {}
  CallHandle(const CallHandle&) = delete;
  CallHandle& operator=(const CallHandle&) = delete;
  ~CallHandle() override { call_->Cancel(); }

  bool sent() const override { return call_->sent(); }
  void Pause() override { call_->Pause(); }
  void Resume() override { call_->Resume(); }

 private:
  std::shared_ptr<Call> call_;
};

// The handle of a call that could not be started.
class FailedCallHandle : public HttpCall {
 public:
  explicit FailedCallHandle(std::shared_ptr<bool> alive)
      : alive_(std::move(alive)) {}
  FailedCallHandle(const FailedCallHandle&) = delete;
  FailedCallHandle& operator=(const FailedCallHandle&) = delete;
  ~FailedCallHandle() override { *alive_ = false; }

  bool sent() const override { return false; }
  void Pause() override {}
  void Resume() override {}

 private:
  std::shared_ptr<bool> alive_;
};

}  // namespace

struct HttpClient::Impl {
  struct PendingFetch {
    std::unique_ptr<HttpCall> call;
    HttpAnswer answer;
    std::function<void(HttpAnswer)> done;
    size_t max_bytes = 0;
  };

  Impl(EventLoop& event_loop, Duration bound)
      : loop(event_loop),
        max_idle_time(bound),
        context(std::make_shared<ClientContext>(loop.raw())) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::shared_ptr<Pool> PoolFor(const HttpCallRequest& request,
                                const SocketAddress& address) {
    if (request.options.fresh_connection) {
      return std::make_shared<Pool>(loop.raw(), address, std::nullopt);
    }
    auto& pool = pools[{request.address, request.port}];
    if (pool == nullptr) {
      pool = std::make_shared<Pool>(loop.raw(), address, max_idle_time);
    }
    return pool;
  }

  void EndFetch(std::list<PendingFetch>::iterator fetch,
                const HttpCallEnd& end) {
    HttpAnswer answer = std::move(fetch->answer);
    answer.end = end;
    const auto done = std::move(fetch->done);
    fetches.erase(fetch);
    done(std::move(answer));
  }

  // Adds a piece of the body. A body that is too long ends the call and its
  // connection.
  void AddToFetch(std::list<PendingFetch>::iterator fetch,
                  std::string_view chunk) {
    if (fetch->answer.too_large) {
      return;
    }
    fetch->answer.body.append(chunk);
    if (fetch->answer.body.size() > fetch->max_bytes) {
      EndTooLarge(fetch);
    }
  }

  // A body whose length is known to be too long isn't received at all.
  void CheckLength(std::list<PendingFetch>::iterator fetch) {
    const auto text = FindHeader(fetch->answer.headers, "content-length");
    size_t length = 0;
    if (text && absl::SimpleAtoi(std::string(*text), &length) &&
        length > fetch->max_bytes) {
      EndTooLarge(fetch);
    }
  }

  void EndTooLarge(std::list<PendingFetch>::iterator fetch) {
    fetch->answer.too_large = true;
    fetch->answer.body.clear();
    loop.Post([this, fetch] {
      EndFetch(fetch,
               {.status = MakeError(ResultCode::kBadAnswer,
                                    fmt::format("The response is longer than "
                                                "{} bytes.",
                                                fetch->max_bytes)),
                .sent = true});
    });
  }

  // Reports `status` in the loop's next round, for a call that can't start.
  std::unique_ptr<HttpCall> FailLater(absl::Status status,
                                      HttpCallCallbacks callbacks) {
    auto alive = std::make_shared<bool>(true);
    loop.Post([alive, status = std::move(status),
               on_end = std::move(callbacks.on_end)] {
      if (*alive && on_end) {
        on_end({.status = status, .sent = false});
      }
    });
    return std::make_unique<FailedCallHandle>(std::move(alive));
  }

  EventLoop& loop;
  Duration max_idle_time;
  std::shared_ptr<ClientContext> context;
  std::map<std::pair<std::string, uint16_t>, std::shared_ptr<Pool>> pools;
  std::list<PendingFetch> fetches;
};

HttpClient::HttpClient(EventLoop& loop, Duration max_idle_time)
    : impl_(std::make_unique<Impl>(loop, max_idle_time)) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::Start(HttpCallRequest request,
                                            HttpCallCallbacks callbacks) {
  absl::Status valid = CheckRequest(request);
  if (!valid.ok()) {
    return impl_->FailLater(std::move(valid), std::move(callbacks));
  }
  const auto address = ParseAddress(request.address, request.port);
  if (!address.has_value()) {
    return impl_->FailLater(
        MakeError(ResultCode::kConnectFailed,
                  fmt::format("\"{}\" is not an IP address.", request.address)),
        std::move(callbacks));
  }
  auto pool = impl_->PoolFor(request, *address);
  auto call = std::make_shared<Call>(impl_->loop, impl_->context,
                                     std::move(pool), *address,
                                     std::move(request), std::move(callbacks));
  // Connects later, so that no callback is called before the handle is
  // returned.
  impl_->loop.Post([weak = std::weak_ptr<Call>(call)] {
    if (const auto started = weak.lock()) {
      started->Connect();
    }
  });
  return std::make_unique<CallHandle>(std::move(call));
}

void HttpClient::Fetch(HttpCallRequest request,
                       std::function<void(HttpAnswer)> done) {
  Impl* impl = impl_.get();
  const auto fetch = impl->fetches.emplace(impl->fetches.end());
  fetch->max_bytes = request.options.max_fetched_bytes;
  HttpCallCallbacks callbacks;
  callbacks.on_head = [impl, fetch](int status, const Headers& headers) {
    fetch->answer.status = status;
    fetch->answer.headers = headers;
    impl->CheckLength(fetch);
  };
  fetch->done = std::move(done);
  callbacks.on_body = [impl, fetch](std::string_view chunk) {
    impl->AddToFetch(fetch, chunk);
  };
  callbacks.on_end = [impl, fetch](const HttpCallEnd& end) {
    // A response that is too large is ended by EndTooLarge().
    if (!fetch->answer.too_large) {
      impl->EndFetch(fetch, end);
    }
  };
  fetch->call = Start(std::move(request), std::move(callbacks));
}

void HttpClient::CloseIdleConnections(std::string_view address, uint16_t port) {
  // Calls in progress keep the old pool, which closes its connections when the
  // last of these calls ends.
  impl_->pools.erase({std::string(address), port});
}

}  // namespace oleander::io
