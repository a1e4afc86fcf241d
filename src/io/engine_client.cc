#include "io/engine_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "io/sse_parser.h"
#include "oleander/result_code.h"

namespace oleander::io {
namespace {

using nlohmann::json;

constexpr size_t kMaxEventBytes = 64 << 10;
// The part of an error response's body that is shown in error messages.
constexpr size_t kMaxShownErrorBytes = 200;
constexpr int kOkStatus = 200;
constexpr int kBadRequestStatus = 400;
constexpr int kConflictStatus = 409;
constexpr Duration kOrderTimeout = std::chrono::seconds(5);
constexpr std::string_view kEndOfStream = "[DONE]";

HttpCallRequest NewRequest(const ServerInfo& server, std::string method,
                           std::string target, std::string body,
                           Duration timeout) {
  HttpCallRequest request;
  request.address = server.address;
  request.port = server.port;
  request.method = std::move(method);
  request.target = std::move(target);
  if (!body.empty()) {
    request.headers.push_back(
        {.name = "content-type", .value = "application/json"});
  }
  request.body = std::move(body);
  request.options.head_timeout = timeout;
  request.options.progress_timeout = timeout;
  request.options.drop_undelivered = request.method != "GET";
  return request;
}

absl::Status BadAnswer(const ServerId& server, std::string_view what) {
  return MakeError(ResultCode::kBadAnswer,
                   fmt::format("The answer of {} {}.", server.value(), what));
}

// Returns an integer field, or 0 if it is missing.
int64_t Number(const json& object, const char* key) {
  const auto field = object.find(key);
  return field != object.end() && field->is_number() ? field->get<int64_t>()
                                                     : 0;
}

// Returns a floating-point field, or 0 if it is missing.
double Rate(const json& object, const char* key) {
  const auto field = object.find(key);
  return field != object.end() && field->is_number() ? field->get<double>() : 0;
}

// Returns the JSON object of a response, or an error if there is none.
absl::StatusOr<json> ObjectOf(const ServerId& server,
                              const HttpAnswer& answer) {
  if (!answer.end.status.ok()) {
    return answer.end.status;
  }
  if (answer.status == kConflictStatus) {
    return MakeError(
        ResultCode::kOrderFenced,
        fmt::format("{} refused: {}", server.value(), answer.body));
  }
  if (answer.status != kOkStatus) {
    return MakeError(ResultCode::kServerFailed,
                     fmt::format("{} answered with HTTP status {}.",
                                 server.value(), answer.status));
  }
  json object = json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) {
    return BadAnswer(server, "is not a JSON object");
  }
  return object;
}

EngineUsage ReadUsage(const json& usage) {
  return {.prompt_tokens = Number(usage, "prompt_tokens"),
          .completion_tokens = Number(usage, "completion_tokens"),
          .cached_tokens = Number(usage, "cached_tokens"),
          .recomputed_tokens = Number(usage, "recomputed_tokens")};
}

// Parses one streamed completion and determines its result.
class StreamedCompletion : public CompletionCall {
 public:
  StreamedCompletion(ServerId server, const CompletionOptions& options,
                     CompletionCallbacks callbacks)
      : server_(std::move(server)),
        attempt_(options.attempt),
        fresh_connection_(options.fresh_connection),
        callbacks_(std::move(callbacks)),
        parser_(kMaxEventBytes) {}

  void Start(HttpClient& client, HttpCallRequest request) {
    call_ = client.Start(
        std::move(request),
        {.on_sent = nullptr,
         .on_head = [this](int status, const Headers&) { status_ = status; },
         .on_body = [this](std::string_view piece) { OnBody(piece); },
         .on_end = [this](const HttpCallEnd& end) { OnCallEnd(end); }});
  }

  void Pause() override { call_->Pause(); }
  void Resume() override { call_->Resume(); }

 private:
  void OnBody(std::string_view piece) {
    if (status_ != kOkStatus) {
      error_body_.append(piece.substr(
          0, kMaxShownErrorBytes -
                 std::min(error_body_.size(), kMaxShownErrorBytes)));
      return;
    }
    if (!failure_.ok()) {
      return;
    }
    auto events = parser_.Feed(piece);
    if (!events.ok()) {
      failure_ = events.status();
      return;
    }
    for (const SseEvent& event : *events) {
      OnEvent(event);
    }
    FlushTokens();
  }

  void OnEvent(const SseEvent& event) {
    if (!failure_.ok() || done_) {
      return;
    }
    if (event.data == kEndOfStream) {
      done_ = true;
      return;
    }
    const json data =
        json::parse(event.data, nullptr, /*allow_exceptions=*/false);
    if (!data.is_object()) {
      failure_ = BadAnswer(server_, "has an event that is not a JSON object");
      return;
    }
    if (data.contains("error")) {
      failure_ = MakeError(
          ResultCode::kServerFailed,
          fmt::format("{} ended the answer with an error.", server_.value()));
      return;
    }
    // An event without this attempt's id may belong to a late copy of another
    // answer on the same connection.
    if (data.value("id", json()) != json(attempt_)) {
      return;
    }
    if (const auto usage = data.find("usage");
        usage != data.end() && usage->is_object()) {
      usage_ = ReadUsage(*usage);
    }
    ReadChoice(event, data);
  }

  void ReadChoice(const SseEvent& event, const json& data) {
    const auto choices = data.find("choices");
    if (choices == data.end() || !choices->is_array() || choices->empty() ||
        !choices->front().is_object()) {
      return;
    }
    const json& choice = choices->front();
    if (const auto reason = choice.find("finish_reason");
        reason != choice.end() && reason->is_string()) {
      finish_reason_ = reason->get<std::string>();
    }
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object()) {
      return;
    }
    const auto content = delta->find("content");
    if (content != delta->end() && content->is_string()) {
      AddToken(event.id, content->get<std::string>());
    }
  }

  void AddToken(const std::string& id, std::string token) {
    uint64_t index = 0;
    const auto result =
        std::from_chars(id.data(), id.data() + id.size(), index);
    if (result.ec != std::errc() || result.ptr != id.data() + id.size()) {
      failure_ = BadAnswer(
          server_, fmt::format("has a token with the invalid id \"{}\"", id));
      return;
    }
    if (!tokens_.empty() && index != first_index_ + tokens_.size()) {
      FlushTokens();
    }
    if (tokens_.empty()) {
      first_index_ = index;
    }
    tokens_.push_back(std::move(token));
  }

  void FlushTokens() {
    if (tokens_.empty() || !callbacks_.on_tokens) {
      tokens_.clear();
      return;
    }
    const std::vector<std::string> tokens = std::exchange(tokens_, {});
    callbacks_.on_tokens(first_index_, tokens);
  }

  void OnCallEnd(const HttpCallEnd& end) {
    CompletionEnd completion;
    completion.sent = end.sent;
    completion.finish_reason = finish_reason_;
    completion.usage = usage_;
    completion.status = FinalStatus(end);
    const auto on_end = std::move(callbacks_.on_end);
    on_end(completion);
  }

  absl::Status FinalStatus(const HttpCallEnd& end) const {
    if (!failure_.ok()) {
      return failure_;
    }
    if (done_ && !finish_reason_.empty()) {
      return absl::OkStatus();
    }
    if (!end.status.ok()) {
      return end.status;
    }
    if (status_ != kOkStatus) {
      // A rejection names no attempt, so on a reused connection it may be a
      // late copy of another one.
      const bool rejected = status_ == kBadRequestStatus && fresh_connection_;
      return MakeError(
          rejected ? ResultCode::kMalformedRequest : ResultCode::kServerFailed,
          fmt::format("{} answered with HTTP status {}: {}", server_.value(),
                      status_, error_body_));
    }
    return BadAnswer(server_, "ended without a finish reason");
  }

  ServerId server_;
  std::string attempt_;
  bool fresh_connection_;
  CompletionCallbacks callbacks_;
  SseParser parser_;
  int status_ = 0;
  std::string error_body_;  // The start of an error response's body.
  bool done_ = false;
  absl::Status failure_;
  std::string finish_reason_;
  std::optional<EngineUsage> usage_;
  uint64_t first_index_ = 0;
  std::vector<std::string> tokens_;
  // Declared last so that the call is destroyed first, and no callback runs
  // while the other members are destroyed.
  std::unique_ptr<HttpCall> call_;
};

KvHandle ReadKvHandle(const json& object) {
  return {.handle = object.value("handle", ""),
          .tokens = Number(object, "tokens"),
          .bytes = Number(object, "bytes")};
}

}  // namespace

std::unique_ptr<CompletionCall> EngineClient::Complete(
    const ServerInfo& server, CompletionOptions options,
    CompletionCallbacks callbacks) {
  auto call = std::make_unique<StreamedCompletion>(server.id, options,
                                                   std::move(callbacks));
  HttpCallRequest request =
      NewRequest(server, "POST", "/v1/chat/completions",
                 std::move(options.body), options.first_event_bound);
  request.headers.push_back(
      {.name = "x-request-id", .value = std::move(options.attempt)});
  request.options.progress_timeout = options.progress_bound;
  request.options.fresh_connection = options.fresh_connection;
  call->Start(*client_, std::move(request));
  return call;
}

void EngineClient::Cancel(const ServerInfo& server,
                          const std::string& attempt) {
  client_->Fetch(
      NewRequest(server, "POST", fmt::format("/v1/requests/{}/cancel", attempt),
                 "", kOrderTimeout),
      [](const HttpAnswer&) {});
}

void EngineClient::FetchLoad(
    const ServerInfo& server, Duration timeout,
    std::function<void(absl::StatusOr<ServerLoad>)> done) {
  client_->Fetch(
      NewRequest(server, "GET", "/v1/load", "", timeout),
      [id = server.id, done = std::move(done)](const HttpAnswer& answer) {
        auto object = ObjectOf(id, answer);
        done(object.ok() ? ParseServerLoad(id, answer.body)
                         : absl::StatusOr<ServerLoad>(object.status()));
      });
}

void EngineClient::FetchState(
    const ServerInfo& server,
    std::function<void(absl::StatusOr<EngineState>)> done) {
  client_->Fetch(
      NewRequest(server, "GET", "/v1/load", "", kOrderTimeout),
      [id = server.id, done = std::move(done)](const HttpAnswer& answer) {
        auto object = ObjectOf(id, answer);
        if (!object.ok()) {
          done(object.status());
          return;
        }
        EngineState state;
        if (object->contains("role") && (*object)["role"].is_string()) {
          state.role = (*object)["role"].get<std::string>();
        }
        for (const json& model : object->value("models", json::array())) {
          if (model.is_string()) {
            state.models.push_back(model.get<std::string>());
          }
        }
        done(std::move(state));
      });
}

void EngineClient::FetchCacheEvents(
    const ServerInfo& server, uint64_t after,
    std::function<void(absl::StatusOr<CacheEventPage>)> done) {
  client_->Fetch(
      NewRequest(server, "GET", fmt::format("/v1/cache-events?after={}", after),
                 "", kOrderTimeout),
      [id = server.id, done = std::move(done)](const HttpAnswer& answer) {
        auto object = ObjectOf(id, answer);
        if (!object.ok()) {
          done(object.status());
          return;
        }
        CacheEventPage page;
        page.next = static_cast<uint64_t>(Number(*object, "next"));
        for (const json& event : object->value("events", json::array())) {
          if (!event.is_object() || !event.value("block", json()).is_string()) {
            done(BadAnswer(id, "has a cache event without a block"));
            return;
          }
          const auto block = event["block"].get<std::string>();
          CacheEvent parsed;
          parsed.sequence = static_cast<uint64_t>(Number(event, "seq"));
          parsed.kind = event.value("kind", "") == "evicted"
                            ? CacheEventKind::kEvicted
                            : CacheEventKind::kStored;
          std::from_chars(block.data(), block.data() + block.size(),
                          parsed.block, 16);
          page.events.push_back(parsed);
        }
        done(std::move(page));
      });
}

void EngineClient::ExportKv(
    const ServerInfo& server, const std::string& attempt, Duration timeout,
    std::function<void(absl::StatusOr<KvHandle>)> done) {
  client_->Fetch(
      NewRequest(server, "POST", "/v1/kv/export",
                 json{{"request", attempt}}.dump(), timeout),
      [id = server.id, done = std::move(done)](const HttpAnswer& answer) {
        auto object = ObjectOf(id, answer);
        done(object.ok() ? absl::StatusOr<KvHandle>(ReadKvHandle(*object))
                         : object.status());
      });
}

void EngineClient::ImportKv(
    const ServerInfo& target, const KvHandle& handle, const ServerInfo& source,
    Duration timeout, std::function<void(absl::StatusOr<KvHandle>)> done) {
  const json body = {{"handle", handle.handle},
                     {"address", source.address},
                     {"port", source.port}};
  client_->Fetch(
      NewRequest(target, "POST", "/v1/kv/import", body.dump(), timeout),
      [id = target.id, done = std::move(done)](const HttpAnswer& answer) {
        auto object = ObjectOf(id, answer);
        done(object.ok() ? absl::StatusOr<KvHandle>(ReadKvHandle(*object))
                         : object.status());
      });
}

void EngineClient::Order(const ServerInfo& server,
                         const std::string& order_json,
                         std::function<void(absl::Status)> done) {
  client_->Fetch(
      NewRequest(server, "POST", "/v1/orders", order_json, kOrderTimeout),
      [id = server.id, done = std::move(done)](const HttpAnswer& answer) {
        done(ObjectOf(id, answer).status());
      });
}

absl::StatusOr<ServerLoad> ParseServerLoad(const ServerId& server,
                                           std::string_view body) {
  const json object = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) {
    return BadAnswer(server, "to a load request is not a JSON object");
  }
  ServerLoad load;
  load.server = server;
  load.age = std::chrono::milliseconds(Number(object, "age_ms"));
  load.running = static_cast<int>(Number(object, "running"));
  load.waiting = static_cast<int>(Number(object, "waiting"));
  load.slots = std::max(1, static_cast<int>(Number(object, "slots")));
  load.queued_tokens = Number(object, "queued_tokens");
  load.tokens_per_s = Rate(object, "tokens_per_s");
  load.prefill_tokens_per_s = Rate(object, "prefill_tokens_per_s");
  load.kv_used_tokens = Number(object, "kv_used_tokens");
  load.kv_total_tokens = Number(object, "kv_total_tokens");
  load.version = static_cast<uint64_t>(Number(object, "version"));
  load.leaving = object.value("leaving", json(false)) == json(true);
  return load;
}

}  // namespace oleander::io
