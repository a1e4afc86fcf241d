// The server's side of one request: HttpExchange over h2o's request.
#ifndef OLEANDER_IO_HTTP_EXCHANGE_H_
#define OLEANDER_IO_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "io/event_loop.h"
#include "io/h2o.h"
#include "io/http_server.h"

namespace oleander::io {

// h2o holds the exchange until it disposes of the request; handlers may hold it
// longer. From then on `req_` is null and every write does nothing.
class Exchange : public HttpExchange {
 public:
  // `on_finished` is called once, when h2o has disposed of the request.
  Exchange(EventLoop& loop, h2o_req_t* req, HttpRequest request,
           std::function<void(Exchange*)> on_finished);

  // Ties the exchange's life to the request's.
  void Attach(std::shared_ptr<Exchange> self);

  // The caller's connection has ended: tells the handler and gives up the rest
  // of the answer.
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
  size_t pending_bytes() const override {
    return pending_.size() + in_flight_.size();
  }
  void OnDisconnected(std::function<void()> callback) override;
  void OnDrained(std::function<void()> callback) override;

  // Marks h2o's generators that belong to an exchange.
  static void OnStop(h2o_generator_t* generator, h2o_req_t* req);

 private:
  // The first member, so that h2o's pointer leads back to the exchange.
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
  std::function<void(Exchange*)> on_finished_;
  std::function<void()> on_disconnected_;
  std::function<void()> on_drained_;
  std::weak_ptr<Exchange> self_;
  Generator generator_ = {};
  std::string pending_;    // Not yet given to h2o.
  std::string in_flight_;  // Given to h2o, which points into it.
  bool sending_ = false;   // h2o hasn't asked for more yet.
  bool started_ = false;
  bool ended_ = false;  // The handler has written all it will.
  bool aborted_ = false;
  bool finished_ = false;  // h2o has all of the answer, or never will.
  bool disconnected_ = false;
};

}  // namespace oleander::io

#endif  // OLEANDER_IO_HTTP_EXCHANGE_H_
