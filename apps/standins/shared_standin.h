// The common base of all stand-ins: the listener, routes, `POST /fault`,
// `GET /records`, and JSON answers.
//
//   Standin standin(loop, "127.0.0.1", 9000);
//   standin.Route("GET", "/v1/load", [&](const ExchangePtr& exchange) {
//     RespondJson(exchange, 200, {{"running", 0}});
//   });
//   return standin.Run();
#ifndef OLEANDER_APPS_STANDINS_SHARED_STANDIN_H_
#define OLEANDER_APPS_STANDINS_SHARED_STANDIN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/event_loop.h"
#include "io/http_server.h"

namespace oleander::standins {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<io::HttpExchange>;
using RouteHandler = std::function<void(const ExchangePtr&)>;

// The active faults, as set by `POST /fault`. Each post replaces all of them;
// an empty object clears them.
class Faults {
 public:
  void Replace(Json faults) { faults_ = std::move(faults); }

  bool Flag(std::string_view name) const;
  double Number(std::string_view name, double fallback) const;
  Duration Milliseconds(std::string_view name) const;

 private:
  Json faults_ = Json::object();
};

void RespondJson(const ExchangePtr& exchange, int status, const Json& body);

// Closes the connection without a complete answer.
void DropConnection(const ExchangePtr& exchange);

// Returns the body as a JSON object, {} if it is empty. If the body isn't a
// JSON object, answers 400 and returns nothing.
std::optional<Json> JsonBodyOf(const ExchangePtr& exchange);

// Return a field of a JSON object, or the fallback if the field is missing or
// has another type.
std::string TextField(const Json& object, std::string_view key,
                      std::string_view fallback = "");
int64_t IntegerField(const Json& object, std::string_view key,
                     int64_t fallback);

class Standin {
 public:
  Standin(io::EventLoop& loop, const std::string& address, uint16_t port);

  // Adds a route. A path that ends in "*" matches every path with that prefix;
  // the method "*" matches every method. The first matching route is used.
  void Route(std::string method, std::string path, RouteHandler handler);
  // Sets the function that is called after each change of the faults.
  void OnFault(std::function<void()> callback) {
    on_fault_ = std::move(callback);
  }
  // Sets the function that returns the answer of `GET /records`.
  // `GET /records?exit=FILE` writes it to a file instead and ends the process
  // at once, as a kill would, so that nothing runs after the records are taken.
  void OnRecords(std::function<Json()> callback) {
    on_records_ = std::move(callback);
  }
  // Sets a function that is called before routing; if it returns true, it has
  // taken over the exchange.
  void OnIntercept(std::function<bool(const ExchangePtr&)> callback) {
    on_intercept_ = std::move(callback);
  }

  // Also listens on another port, whose requests have the given view.
  void AlsoListen(const std::string& address, uint16_t port, std::string view);
  // Returns the view of the request that is being handled; empty on the main
  // port.
  const std::string& view() const { return view_; }

  const Faults& faults() const { return faults_; }
  io::EventLoop& loop() { return *loop_; }
  // Returns the milliseconds since this object was created.
  int64_t now_ms() const;

  // Runs `callback` after `delay`, or at once if the delay is not positive.
  void Later(Duration delay, std::function<void()> callback);
  // Keeps an exchange open and never answers it.
  void HoldWithoutAnswer(const ExchangePtr& exchange);

  // Listens and serves until SIGTERM; returns the process's exit code.
  int Run();

 private:
  struct RouteEntry {
    std::string method;
    std::string path;
    RouteHandler handler;
  };

  void Handle(const ExchangePtr& exchange);
  void HandleFault(const ExchangePtr& exchange);
  bool HandleControl(const ExchangePtr& exchange);
  void HandleRecords(const ExchangePtr& exchange);

  io::EventLoop* loop_;
  io::HttpServer server_;
  std::vector<std::unique_ptr<io::HttpServer>> view_servers_;
  std::string view_;
  Time started_;
  Faults faults_;
  std::vector<RouteEntry> routes_;
  std::function<void()> on_fault_;
  std::function<Json()> on_records_;
  std::function<bool(const ExchangePtr&)> on_intercept_;
  std::vector<ExchangePtr> unanswered_;
};

}  // namespace oleander::standins

#endif  // OLEANDER_APPS_STANDINS_SHARED_STANDIN_H_
