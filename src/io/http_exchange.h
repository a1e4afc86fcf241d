// The server's side of one HTTP request, over h2o's request.
#ifndef OLEANDER_IO_HTTP_EXCHANGE_H_
#define OLEANDER_IO_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "io/event_loop.h"
#include "io/h2o.h"
#include "io/held_bodies.h"
#include "io/http_server.h"

namespace oleander::io {

// h2o owns a reference to the exchange until it disposes of the request;
// handlers may keep theirs longer. After the disposal `req_` is null and writes
// have no effect.
class Exchange : public HttpExchange {
 public:
  // `on_finished` is called once, when h2o has disposed of the request.
  Exchange(EventLoop& loop, h2o_req_t* req, HttpRequest request,
           HeldBody held_body, std::function<void(Exchange*)> on_finished);

  // Makes h2o's request own a reference to the exchange.
  void Attach(std::shared_ptr<Exchange> self);

  // Handles the end of the caller's connection: notifies the handler and
  // discards the unsent part of the answer.
  void OnCallerDisconnected();

  const HttpRequest& request() const override { return request_; }
  void Respond(int status, Headers headers, std::string_view body) override;
  void Begin(int status, Headers headers) override;
  void Write(std::string_view chunk) override;
  void End() override;
  void Abort() override;
  bool started() const override { return started_; }
  bool closed() const override {
    return req_ == nullptr || ended_ || disconnected_;
  }
  bool caller_has_left() const override;
  size_t pending_bytes() const override {
    return pending_.size() + in_flight_.size();
  }
  void OnDisconnected(std::function<void()> callback) override;
  void OnDrained(std::function<void()> callback) override;

  // h2o's callback for a stopped generator. Its address also identifies the
  // generators that belong to an exchange.
  static void OnStop(h2o_generator_t* generator, h2o_req_t* req);

 private:
  // `super` comes first so that h2o's pointer can be cast to a Generator.
  struct Generator {
    h2o_generator_t super;
    Exchange* exchange;
  };

  static void OnProceed(h2o_generator_t* generator, h2o_req_t* req);
  static void OnRequestDisposed(void* link);

  void StartResponse(int status, const Headers& headers, size_t length);
  void Flush();
  void SendPending();
  void SendLast(h2o_send_state_t state);
  void Proceed();
  void NotifyDisconnected();
  void BreakConnection();

  EventLoop& loop_;
  h2o_req_t* req_;
  HttpRequest request_;
  HeldBody held_body_;
  std::function<void(Exchange*)> on_finished_;
  std::function<void()> on_disconnected_;
  std::function<void()> on_drained_;
  std::weak_ptr<Exchange> self_;
  Generator generator_ = {};
  std::string pending_;    // Not yet passed to h2o.
  std::string in_flight_;  // Passed to h2o, which points into it.
  bool sending_ = false;   // h2o hasn't requested more data yet.
  bool started_ = false;
  bool ended_ = false;  // The handler has ended the answer.
  bool aborted_ = false;
  bool finished_ = false;  // The last part was passed to h2o.
  bool disconnected_ = false;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_HTTP_EXCHANGE_H_
