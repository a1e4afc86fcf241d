#include "io/http_exchange.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "oleander/invariant.h"

namespace oleander::io {
namespace {

// Capacity that ClearAndShrink() keeps, since answers are sent in small pieces.
constexpr size_t kMaxRetainedCapacity = 4096;

const char* ReasonOf(int status) {
  struct Row {
    int status;
    const char* reason;
  };
  static constexpr Row kReasons[] = {
      {200, "OK"},
      {201, "Created"},
      {202, "Accepted"},
      {204, "No Content"},
      {303, "See Other"},
      {304, "Not Modified"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {409, "Conflict"},
      {410, "Gone"},
      {412, "Precondition Failed"},
      {413, "Content Too Large"},
      {422, "Unprocessable Content"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {499, "Client Closed Request"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
  };
  const auto* found = std::ranges::find(kReasons, status, &Row::status);
  return found != std::end(kReasons) ? found->reason : "Other";
}

// Returns whether a name or value can't end its header line early.
bool IsSafe(std::string_view text) {
  return std::ranges::none_of(
      text, [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

void AddHeader(h2o_req_t* req, const Header& header) {
  if (!IsSafe(header.name) || !IsSafe(header.value)) {
    return;
  }
  const h2o_iovec_t name =
      h2o_strdup(&req->pool, header.name.data(), header.name.size());
  const h2o_iovec_t value =
      h2o_strdup(&req->pool, header.value.data(), header.value.size());
  h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1,
                        nullptr, value.base, value.len);
}

// Sends the headers before the first bytes of the body. h2o_send() without
// bytes only requests the next ones, but the connection's own stream, the last
// one, writes the headers even without bytes.
void SendHeadersOnly(h2o_req_t* req) {
  h2o_ostream_t* stream = req->_ostr_top;
  while (stream->next != nullptr) {
    stream = stream->next;
  }
  stream->do_send(stream, req, nullptr, 0, H2O_SEND_STATE_IN_PROGRESS);
}

void ClearAndShrink(std::string& text) {
  if (text.capacity() > kMaxRetainedCapacity) {
    std::string().swap(text);
  } else {
    text.clear();
  }
}

}  // namespace

Exchange::Exchange(EventLoop& loop, h2o_req_t* req, HttpRequest request,
                   HeldBody held_body,
                   std::function<void(Exchange*)> on_finished)
    : loop_(loop),
      req_(req),
      request_(std::move(request)),
      held_body_(std::move(held_body)),
      on_finished_(std::move(on_finished)) {
  generator_.super.proceed = OnProceed;
  generator_.super.stop = OnStop;
  generator_.exchange = this;
}

void Exchange::Attach(std::shared_ptr<Exchange> self) {
  self_ = self;
  // h2o calls the hook when it frees the request's memory, however the request
  // ends.
  void* link = h2o_mem_alloc_shared(
      &req_->pool, sizeof(std::shared_ptr<Exchange>), OnRequestDisposed);
  new (link) std::shared_ptr<Exchange>(std::move(self));
}

void Exchange::OnRequestDisposed(void* link) {
  auto* held = static_cast<std::shared_ptr<Exchange>*>(link);
  const std::shared_ptr<Exchange> exchange = std::move(*held);
  std::destroy_at(held);
  exchange->req_ = nullptr;
  exchange->sending_ = false;
  exchange->pending_.clear();
  exchange->in_flight_.clear();
  if (!exchange->ended_) {
    exchange->NotifyDisconnected();
  }
  exchange->on_disconnected_ = nullptr;
  exchange->on_drained_ = nullptr;
  exchange->on_finished_(exchange.get());
}

void Exchange::OnStop(h2o_generator_t* generator, h2o_req_t* /*req*/) {
  // The disposal of the request follows and notifies the handler.
  reinterpret_cast<Generator*>(generator)->exchange->sending_ = false;
}

void Exchange::OnProceed(h2o_generator_t* generator, h2o_req_t* /*req*/) {
  reinterpret_cast<Generator*>(generator)->exchange->Proceed();
}

void Exchange::StartResponse(int status, const Headers& headers,
                             size_t length) {
  started_ = true;
  req_->res.status = status;
  req_->res.reason = ReasonOf(status);
  req_->res.content_length = length;
  std::ranges::for_each(
      headers, [this](const Header& header) { AddHeader(req_, header); });
  h2o_start_response(req_, &generator_.super);
}

void Exchange::Respond(int status, Headers headers, std::string_view body) {
  if (closed() || started_) {
    return;
  }
  StartResponse(status, headers, body.size());
  ended_ = true;
  if (request_.method != "HEAD") {
    in_flight_ = body;
  }
  SendLast(H2O_SEND_STATE_FINAL);
}

void Exchange::Begin(int status, Headers headers) {
  if (closed() || started_) {
    return;
  }
  StartResponse(status, headers, SIZE_MAX);
  sending_ = true;
  SendHeadersOnly(req_);
}

void Exchange::Write(std::string_view chunk) {
  if (closed() || !started_ || chunk.empty()) {
    return;
  }
  pending_.append(chunk);
  Flush();
}

void Exchange::End() {
  if (closed() || !started_) {
    return;
  }
  ended_ = true;
  Flush();
}

void Exchange::Abort() {
  if (req_ == nullptr || finished_) {
    return;
  }
  ended_ = true;
  aborted_ = true;
  pending_.clear();
  if (sending_) {
    BreakConnection();
    return;
  }
  Flush();
}

void Exchange::Flush() {
  if (sending_ || finished_ || req_ == nullptr) {
    return;
  }
  if (aborted_) {
    // h2o would end a chunked answer with an invalid chunk. Closing the
    // connection early also signals the truncation, in a way that HTTP defines.
    BreakConnection();
    SendLast(H2O_SEND_STATE_ERROR);
  } else if (ended_) {
    in_flight_.swap(pending_);
    SendLast(H2O_SEND_STATE_FINAL);
  } else if (!pending_.empty()) {
    SendPending();
  }
}

void Exchange::SendPending() {
  in_flight_.swap(pending_);
  sending_ = true;
  h2o_iovec_t bytes = {.base = in_flight_.data(), .len = in_flight_.size()};
  h2o_send(req_, &bytes, 1, H2O_SEND_STATE_IN_PROGRESS);
}

void Exchange::SendLast(h2o_send_state_t state) {
  // h2o may dispose of the request before h2o_send returns.
  const std::shared_ptr<Exchange> keep = self_.lock();
  finished_ = true;
  if (!started_) {
    StartResponse(499, {}, 0);
  }
  h2o_iovec_t bytes = {.base = in_flight_.data(), .len = in_flight_.size()};
  h2o_send(req_, &bytes, in_flight_.empty() ? 0 : 1, state);
}

void Exchange::Proceed() {
  const std::shared_ptr<Exchange> keep = self_.lock();
  sending_ = false;
  ClearAndShrink(in_flight_);
  Flush();
  if (!sending_ && !finished_ && on_drained_) {
    const auto callback = on_drained_;
    callback();
  }
}

void Exchange::OnCallerDisconnected() {
  if (req_ == nullptr || disconnected_) {
    return;
  }
  const std::shared_ptr<Exchange> keep = self_.lock();
  if (finished_) {
    return;
  }
  NotifyDisconnected();
  Abort();
}

void Exchange::NotifyDisconnected() {
  if (disconnected_) {
    return;
  }
  disconnected_ = true;
  if (on_disconnected_) {
    loop_.Post(std::move(on_disconnected_));
    on_disconnected_ = nullptr;
  }
  on_drained_ = nullptr;
}

// The current write then fails, and h2o closes the connection. If the write has
// already succeeded, Proceed() discards the rest of the answer.
void Exchange::BreakConnection() {
  h2o_socket_t* socket = req_->conn->callbacks->get_socket(req_->conn);
  shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

bool Exchange::caller_has_left() const {
  if (req_ == nullptr || disconnected_) {
    return true;
  }
  char next = 0;
  h2o_socket_t* socket = req_->conn->callbacks->get_socket(req_->conn);
  const ssize_t count = recv(h2o_socket_get_fd(socket), &next, sizeof next,
                             MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void Exchange::OnDisconnected(std::function<void()> callback) {
  if (disconnected_) {
    loop_.Post(std::move(callback));
    return;
  }
  on_disconnected_ = std::move(callback);
}

void Exchange::OnDrained(std::function<void()> callback) {
  on_drained_ = std::move(callback);
}

}  // namespace oleander::io
