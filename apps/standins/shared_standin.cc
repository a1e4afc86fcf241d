#include "standins/shared_standin.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <utility>

#include "io/log.h"

namespace oleander::standins {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr size_t kMaxBodyBytes = size_t{16} << 20;

bool Matches(std::string_view pattern, std::string_view text) {
  if (pattern.ends_with('*')) {
    pattern.remove_suffix(1);
    return text.starts_with(pattern);
  }
  return pattern == text;
}

}  // namespace

bool Faults::Flag(std::string_view name) const {
  const auto found = faults_.find(name);
  return found != faults_.end() && found->is_boolean() && found->get<bool>();
}

double Faults::Number(std::string_view name, double fallback) const {
  const auto found = faults_.find(name);
  return found != faults_.end() && found->is_number() ? found->get<double>()
                                                      : fallback;
}

Duration Faults::Milliseconds(std::string_view name) const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Number(name, 0)));
}

void RespondJson(const ExchangePtr& exchange, int status, const Json& body) {
  exchange->Respond(status, {{"content-type", "application/json"}},
                    body.dump());
}

void DropConnection(const ExchangePtr& exchange) {
  if (exchange->closed()) {
    return;
  }
  if (!exchange->started()) {
    // Only an answer that has started can be aborted.
    exchange->Begin(kOk, {});
  }
  exchange->Abort();
}

std::optional<Json> JsonBodyOf(const ExchangePtr& exchange) {
  const std::string& body = exchange->request().body;
  Json value =
      body.empty() ? Json::object() : Json::parse(body, nullptr, false);
  if (!value.is_object()) {
    RespondJson(exchange, kBadRequest,
                {{"error", "The body is not a JSON object."}});
    return std::nullopt;
  }
  return value;
}

std::string TextField(const Json& object, std::string_view key,
                      std::string_view fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string(fallback);
}

int64_t IntegerField(const Json& object, std::string_view key,
                     int64_t fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number() ? found->get<int64_t>()
                                                     : fallback;
}

Standin::Standin(io::EventLoop& loop, const std::string& address, uint16_t port)
    : loop_(&loop),
      server_(loop,
              {.address = address,
               .port = port,
               .max_body_bytes = kMaxBodyBytes,
               .tls = std::nullopt},
              [this](const ExchangePtr& exchange) { Handle(exchange); }),
      started_(loop.now()) {}

void Standin::Route(std::string method, std::string path,
                    RouteHandler handler) {
  routes_.push_back({std::move(method), std::move(path), std::move(handler)});
}

int64_t Standin::now_ms() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(loop_->now() -
                                                               started_)
      .count();
}

void Standin::Later(Duration delay, std::function<void()> callback) {
  if (delay <= Duration::zero()) {
    callback();
    return;
  }
  auto timer = std::make_shared<io::Timer>();
  *timer = loop_->After(delay, [timer, callback = std::move(callback)] {
    callback();
    timer->Cancel();
  });
}

void Standin::HoldWithoutAnswer(const ExchangePtr& exchange) {
  std::erase_if(unanswered_, [](const auto& held) { return held->closed(); });
  unanswered_.push_back(exchange);
}

void Standin::HandleFault(const ExchangePtr& exchange) {
  auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  faults_.Replace(*std::move(body));
  if (on_fault_) {
    on_fault_();
  }
  RespondJson(exchange, kOk, Json::object());
}

void Standin::HandleRecords(const ExchangePtr& exchange) {
  const Json records = on_records_ ? on_records_() : Json::object();
  const auto file = io::FindQuery(exchange->request().query, "exit");
  if (!file) {
    RespondJson(exchange, kOk, records);
    return;
  }
  std::ofstream stream(*file);
  stream << records.dump() << std::flush;
  std::_Exit(0);
}

void Standin::AlsoListen(const std::string& address, uint16_t port,
                         std::string view) {
  view_servers_.push_back(std::make_unique<io::HttpServer>(
      *loop_,
      io::HttpServerOptions{.address = address,
                            .port = port,
                            .max_body_bytes = kMaxBodyBytes,
                            .tls = std::nullopt},
      [this, view = std::move(view)](const ExchangePtr& exchange) {
        view_ = view;
        Handle(exchange);
        view_.clear();
      }));
}

bool Standin::HandleControl(const ExchangePtr& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/fault" && exchange->request().method == "POST") {
    HandleFault(exchange);
    return true;
  }
  if (path == "/records") {
    HandleRecords(exchange);
    return true;
  }
  if (path == "/healthz") {
    RespondJson(exchange, kOk, Json::object());
    return true;
  }
  return false;
}

void Standin::Handle(const ExchangePtr& exchange) {
  if (HandleControl(exchange)) {
    return;
  }
  if (on_intercept_ && on_intercept_(exchange)) {
    return;
  }
  const io::HttpRequest& request = exchange->request();
  const auto route = std::ranges::find_if(routes_, [&](const RouteEntry& r) {
    return Matches(r.method, request.method) && Matches(r.path, request.path);
  });
  if (route == routes_.end()) {
    RespondJson(exchange, kNotFound,
                {{"error", "No handler serves " + request.path + "."}});
    return;
  }
  route->handler(exchange);
}

int Standin::Run() {
  absl::Status listening = server_.Listen();
  for (const auto& server : view_servers_) {
    listening.Update(server->Listen());
  }
  if (!listening.ok()) {
    io::Log(io::LogLevel::kError, "standin.listen_failed",
            {{"error", listening.ToString()}});
    return 1;
  }
  loop_->OnTerminationSignal([this] { loop_->Stop(); });
  loop_->Run();
  return 0;
}

}  // namespace oleander::standins
