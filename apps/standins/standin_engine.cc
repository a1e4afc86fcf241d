// A stand-in for a model engine; docs/operators/standins.md lists its flags
// and faults.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/random/random.h"
#include "io/http_client.h"
#include "io/log.h"
#include "standins/shared_answer.h"
#include "standins/shared_engine.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_uint32(port, 9000, "Port to listen on.");
DEFINE_string(id, "engine", "Name of this server.");
DEFINE_string(models, "oleander-small", "Loaded models, joined by commas.");
DEFINE_string(role, "both", "Initial role.");
DEFINE_uint32(slots, 8, "Attempts in one batch.");
DEFINE_uint32(token_us, 10000, "Microseconds per decoding step.");
DEFINE_uint32(prefill_us, 200, "Microseconds per uncached prompt token.");
DEFINE_uint32(tokens_per_step, 1, "Tokens per attempt and step.");
DEFINE_uint32(cache_blocks, 4096, "Cache capacity in blocks of 64 tokens.");
DEFINE_uint32(kv_bytes_per_token, 2048, "Bytes of exported KV per token.");
DEFINE_uint32(load_lag_ms, 300, "Maximum age of the load report.");
DEFINE_uint32(event_lag_ms, 200, "Delay of cache events.");
DEFINE_double(event_gap, 0.02, "Share of cache events that are lost.");
DEFINE_uint32(load_model_ms, 500, "Time to load a model.");
DEFINE_bool(checks_fence, true,
            "Refuse orders with an outdated fencing number.");
DEFINE_uint64(seed, 1, "Seed of all random choices.");

namespace oleander::standins {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr uint64_t kDefaultMaxTokens = 16;
constexpr size_t kExportChunkBytes = size_t{64} << 10;
constexpr uint64_t kKvTotalTokens = uint64_t{1} << 20;

// An exported or imported KV cache of a prompt.
struct KvCopy {
  std::string prompt_hash;
  uint64_t tokens = 0;
};

// An accepted order, for the records.
struct OrderRecord {
  std::string order;
  std::string model;
  std::string role;
  int64_t fence = 0;
  int64_t at_ms = 0;
  bool stale = false;  // A higher fencing number came before.
};

std::string PromptOf(const Json& body) {
  std::string prompt;
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return prompt;
  }
  for (const Json& message : *messages) {
    if (!prompt.empty()) {
      prompt += '\n';
    }
    prompt += TextField(message, "content");
  }
  return prompt;
}

class EngineProgram {
 public:
  explicit EngineProgram(io::EventLoop& loop);
  int Run() { return standin_.Run(); }

 private:
  void AddRoutes();
  void HandleChat(const ExchangePtr& exchange);
  bool RefuseByFault(const ExchangePtr& exchange);
  AttemptPtr AttemptOf(const ExchangePtr& exchange, const Json& body);
  void HandleCancel(const ExchangePtr& exchange);
  void HandleLoad(const ExchangePtr& exchange);
  void HandleEvents(const ExchangePtr& exchange);
  void HandleExport(const ExchangePtr& exchange);
  void HandleKvData(const ExchangePtr& exchange);
  void HandleImport(const ExchangePtr& exchange);
  void FinishImport(const ExchangePtr& exchange, const std::string& handle,
                    const io::HttpAnswer& answer);
  void HandleOrder(const ExchangePtr& exchange);
  bool ExpectationHolds(const Json& expect) const;
  void ApplyOrder(const OrderRecord& order);
  void UpdateLoadSnapshot();
  void ApplyFaults();
  Json Records() const;

  Standin standin_;
  Engine engine_;
  io::HttpClient client_;
  std::mt19937_64 random_{FLAGS_seed + 1};
  std::vector<std::string> models_;
  std::string role_ = FLAGS_role;
  int64_t highest_fence_ = 0;
  std::vector<OrderRecord> orders_;
  std::unordered_map<std::string, KvCopy> kv_;
  uint64_t exports_ = 0;
  uint64_t kv_bytes_out_ = 0;
  Json load_ = Json::object();
  int64_t load_snapshot_ms_ = 0;
  io::Timer load_timer_;
  int64_t leaving_since_ms_ = -1;
  uint64_t refused_ = 0;
  // Resumes that start past the end or whose text differs from the answer.
  Json rejected_ = Json::array();
};

EngineOptions OptionsFromFlags() {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  return {.id = FLAGS_id,
          .slots = FLAGS_slots,
          .token_time = microseconds(FLAGS_token_us),
          .prefill_time = microseconds(FLAGS_prefill_us),
          .tokens_per_step = FLAGS_tokens_per_step,
          .seed = FLAGS_seed,
          .cache = {.max_blocks = FLAGS_cache_blocks,
                    .event_lag = milliseconds(FLAGS_event_lag_ms),
                    .event_gap = FLAGS_event_gap,
                    .seed = FLAGS_seed}};
}

std::vector<std::string> SplitByComma(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    parts.emplace_back(text.substr(0, comma));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return parts;
}

EngineProgram::EngineProgram(io::EventLoop& loop)
    : standin_(loop, FLAGS_address, static_cast<uint16_t>(FLAGS_port)),
      engine_(standin_, OptionsFromFlags()),
      client_(loop, std::chrono::seconds(1)),
      models_(SplitByComma(FLAGS_models)) {
  AddRoutes();
  UpdateLoadSnapshot();
  load_timer_ = loop.Every(std::chrono::milliseconds(FLAGS_load_lag_ms),
                           [this] { UpdateLoadSnapshot(); });
}

void EngineProgram::AddRoutes() {
  using Handler = void (EngineProgram::*)(const ExchangePtr&);
  struct Row {
    const char* method;
    const char* path;
    Handler handler;
  };
  const Row rows[] = {
      {"POST", "/v1/chat/completions", &EngineProgram::HandleChat},
      {"POST", "/v1/requests/*", &EngineProgram::HandleCancel},
      {"GET", "/v1/load", &EngineProgram::HandleLoad},
      {"GET", "/v1/cache-events", &EngineProgram::HandleEvents},
      {"POST", "/v1/kv/export", &EngineProgram::HandleExport},
      {"GET", "/v1/kv/data/*", &EngineProgram::HandleKvData},
      {"POST", "/v1/kv/import", &EngineProgram::HandleImport},
      {"POST", "/v1/orders", &EngineProgram::HandleOrder},
  };
  for (const Row& row : rows) {
    standin_.Route(row.method, row.path,
                   [this, handler = row.handler](const ExchangePtr& exchange) {
                     (this->*handler)(exchange);
                   });
  }
  standin_.OnFault([this] { ApplyFaults(); });
  standin_.OnRecords([this] { return Records(); });
  standin_.OnIntercept([this](const ExchangePtr& exchange) {
    if (!standin_.faults().Flag("mute")) {
      return false;
    }
    standin_.HoldWithoutAnswer(exchange);
    return true;
  });
}

void EngineProgram::ApplyFaults() {
  const Faults& faults = standin_.faults();
  if (faults.Flag("stall_streams") || faults.Flag("mute")) {
    engine_.StallAll();
  }
  if (faults.Flag("drop_streams")) {
    engine_.DropAll();
  }
  const bool leaving = faults.Flag("leaving");
  if (leaving && leaving_since_ms_ < 0) {
    leaving_since_ms_ = standin_.now_ms();
  }
  if (!leaving) {
    leaving_since_ms_ = -1;
  }
}

bool EngineProgram::RefuseByFault(const ExchangePtr& exchange) {
  const Faults& faults = standin_.faults();
  const bool refuse = faults.Flag("refuse");
  if (!refuse && !absl::Bernoulli(random_, faults.Number("error_rate", 0))) {
    return false;
  }
  ++refused_;
  RespondJson(exchange, refuse ? kUnavailable : kServerError,
              {{"error", "A fault is switched on."}});
  return true;
}

AttemptPtr EngineProgram::AttemptOf(const ExchangePtr& exchange,
                                    const Json& body) {
  auto attempt = std::make_shared<Attempt>();
  attempt->exchange = exchange;
  const auto id = io::FindHeader(exchange->request().headers, "x-request-id");
  attempt->id = id ? std::string(*id) : PromptHash(exchange->request().body);
  attempt->model = TextField(body, "model");
  attempt->prompt = PromptOf(body);
  attempt->max_tokens = static_cast<uint64_t>(std::max<int64_t>(
      1, IntegerField(body, "max_tokens", kDefaultMaxTokens)));
  attempt->priority = static_cast<int>(IntegerField(body, "priority", 0));
  const auto stream = body.find("stream");
  attempt->stream =
      stream != body.end() && stream->is_boolean() && stream->get<bool>();
  const Json resume = body.value("resume", Json::object());
  attempt->from = static_cast<uint64_t>(IntegerField(resume, "from", 0));
  attempt->resume_text = TextField(resume, "text");
  const auto copy = kv_.find(TextField(resume, "kv"));
  if (copy != kv_.end() &&
      copy->second.prompt_hash == PromptHash(attempt->prompt)) {
    attempt->imported_tokens = copy->second.tokens;
  }
  return attempt;
}

void EngineProgram::HandleChat(const ExchangePtr& exchange) {
  if (RefuseByFault(exchange)) {
    return;
  }
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const AttemptPtr attempt = AttemptOf(exchange, *body);
  if (attempt->prompt.empty()) {
    RespondJson(exchange, kBadRequest, {{"error", "There is no prompt."}});
    return;
  }
  if (attempt->from > attempt->max_tokens ||
      attempt->resume_text != AnswerText(attempt->prompt, 0, attempt->from)) {
    rejected_.push_back({{"attempt", attempt->id},
                         {"from", attempt->from},
                         {"max_tokens", attempt->max_tokens},
                         {"text_bytes", attempt->resume_text.size()}});
    RespondJson(exchange, kBadRequest,
                {{"error", "resume.text is not a prefix of the answer."}});
    return;
  }
  if (engine_.Find(attempt->id)) {
    RespondJson(
        exchange, kConflict,
        {{"error", "The attempt " + attempt->id + " is already open."}});
    return;
  }
  engine_.Submit(attempt);
}

void EngineProgram::HandleCancel(const ExchangePtr& exchange) {
  constexpr std::string_view kPrefix = "/v1/requests/";
  constexpr std::string_view kSuffix = "/cancel";
  std::string_view id = exchange->request().path;
  id.remove_prefix(kPrefix.size());
  if (!id.ends_with(kSuffix)) {
    RespondJson(exchange, kNotFound, {{"error", "Unknown path."}});
    return;
  }
  id.remove_suffix(kSuffix.size());
  const bool cancelled = engine_.Cancel(std::string(id));
  RespondJson(exchange, cancelled ? kOk : kNotFound,
              {{"cancelled", cancelled}});
}

void EngineProgram::UpdateLoadSnapshot() {
  load_snapshot_ms_ = standin_.now_ms();
  load_ = {{"running", engine_.running()},
           {"waiting", engine_.waiting()},
           {"slots", engine_.options().slots},
           {"queued_tokens", engine_.queued_tokens()},
           {"tokens_per_s", engine_.tokens_per_second()},
           {"prefill_tokens_per_s", engine_.prefill_tokens_per_second()},
           {"kv_used_tokens", engine_.kv_used_tokens()},
           {"kv_total_tokens", kKvTotalTokens},
           {"role", role_},
           {"models", models_}};
}

void EngineProgram::HandleLoad(const ExchangePtr& exchange) {
  Json load = load_;
  load["age_ms"] = standin_.now_ms() - load_snapshot_ms_;
  load["leaving"] = leaving_since_ms_ >= 0;
  RespondJson(exchange, kOk, load);
}

void EngineProgram::HandleEvents(const ExchangePtr& exchange) {
  const auto after = io::FindQuery(exchange->request().query, "after");
  const uint64_t number =
      after ? std::strtoull(after->c_str(), nullptr, 10) : 0;
  RespondJson(exchange, kOk,
              engine_.cache().EventsAfter(number, standin_.loop().now()));
}

void EngineProgram::HandleExport(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const AttemptPtr attempt = engine_.Find(TextField(*body, "request"));
  if (!attempt || attempt->state != AttemptState::kRunning ||
      attempt->prefill_left > 0) {
    RespondJson(exchange, kConflict,
                {{"error", "The attempt has no KV cache to export."}});
    return;
  }
  const uint64_t tokens = attempt->prompt_tokens + attempt->next;
  const std::string handle = fmt::format("{}-kv-{}", FLAGS_id, ++exports_);
  kv_[handle] = {.prompt_hash = PromptHash(attempt->prompt), .tokens = tokens};
  RespondJson(exchange, kOk,
              {{"handle", handle},
               {"tokens", tokens},
               {"bytes", tokens * FLAGS_kv_bytes_per_token}});
}

// Sends an exported cache in chunks, each after the previous one was sent.
void SendChunks(const ExchangePtr& exchange, uint64_t bytes_left) {
  const uint64_t chunk = std::min<uint64_t>(bytes_left, kExportChunkBytes);
  if (bytes_left == 0) {
    exchange->End();
    return;
  }
  exchange->OnDrained(
      [weak = std::weak_ptr<io::HttpExchange>(exchange), bytes_left, chunk] {
        if (const auto strong = weak.lock(); strong && !strong->closed()) {
          SendChunks(strong, bytes_left - chunk);
        }
      });
  exchange->Write(std::string(chunk, 'k'));
}

void EngineProgram::HandleKvData(const ExchangePtr& exchange) {
  constexpr std::string_view kPrefix = "/v1/kv/data/";
  const auto found = kv_.find(exchange->request().path.substr(kPrefix.size()));
  if (found == kv_.end()) {
    RespondJson(exchange, kNotFound, {{"error", "Unknown handle."}});
    return;
  }
  const uint64_t bytes = found->second.tokens * FLAGS_kv_bytes_per_token;
  kv_bytes_out_ += bytes;
  exchange->Begin(kOk, {{"content-type", "application/octet-stream"},
                        {"x-kv-prompt", found->second.prompt_hash},
                        {"x-kv-tokens", std::to_string(found->second.tokens)}});
  SendChunks(exchange, bytes);
}

void EngineProgram::HandleImport(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const std::string handle = TextField(*body, "handle");
  io::HttpCallRequest request;
  request.address = TextField(*body, "address");
  request.port = static_cast<uint16_t>(IntegerField(*body, "port", 0));
  request.target = "/v1/kv/data/" + handle;
  client_.Fetch(std::move(request),
                [this, exchange, handle](const io::HttpAnswer& answer) {
                  FinishImport(exchange, handle, answer);
                });
}

void EngineProgram::FinishImport(const ExchangePtr& exchange,
                                 const std::string& handle,
                                 const io::HttpAnswer& answer) {
  const auto prompt = io::FindHeader(answer.headers, "x-kv-prompt");
  const auto tokens = io::FindHeader(answer.headers, "x-kv-tokens");
  if (!answer.end.status.ok() || answer.status != kOk || !prompt || !tokens) {
    RespondJson(exchange, kBadGateway,
                {{"error", "The cache could not be fetched."}});
    return;
  }
  kv_[handle] = {
      .prompt_hash = std::string(*prompt),
      .tokens = std::strtoull(std::string(*tokens).c_str(), nullptr, 10)};
  RespondJson(exchange, kOk, {{"handle", handle}});
}

bool EngineProgram::ExpectationHolds(const Json& expect) const {
  const Json state = {{"role", role_}, {"models", models_}};
  return std::ranges::all_of(expect.items(), [&](const auto& item) {
    return state.contains(item.key()) && state[item.key()] == item.value();
  });
}

void EngineProgram::ApplyOrder(const OrderRecord& order) {
  if (order.order == "set_role") {
    role_ = order.role;
  } else if (order.order == "unload_model") {
    std::erase(models_, order.model);
  } else if (std::ranges::find(models_, order.model) == models_.end()) {
    standin_.Later(std::chrono::milliseconds(FLAGS_load_model_ms),
                   [this, model = order.model] { models_.push_back(model); });
  }
}

void EngineProgram::HandleOrder(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  OrderRecord order = {.order = TextField(*body, "order"),
                       .model = TextField(*body, "model"),
                       .role = TextField(*body, "role"),
                       .fence = IntegerField(*body, "fence", 0),
                       .at_ms = standin_.now_ms()};
  order.stale = order.fence < highest_fence_;
  if (order.stale && FLAGS_checks_fence) {
    RespondJson(exchange, kConflict,
                {{"error", "The fencing number is outdated."},
                 {"highest", highest_fence_}});
    return;
  }
  if (!ExpectationHolds(body->value("expect", Json::object()))) {
    RespondJson(exchange, kConflict,
                {{"error", "The expectation does not hold."},
                 {"role", role_},
                 {"models", models_}});
    return;
  }
  highest_fence_ = std::max(highest_fence_, order.fence);
  orders_.push_back(order);
  ApplyOrder(order);
  RespondJson(exchange, kOk, {{"role", role_}, {"models", models_}});
}

Json EngineProgram::Records() const {
  Json records = engine_.Records();
  Json orders = Json::array();
  std::ranges::transform(
      orders_, std::back_inserter(orders), [](const OrderRecord& order) {
        return Json{{"order", order.order}, {"model", order.model},
                    {"role", order.role},   {"fence", order.fence},
                    {"at_ms", order.at_ms}, {"stale", order.stale}};
      });
  records["orders"] = std::move(orders);
  records["leaving_since_ms"] = leaving_since_ms_;
  records["refused"] = refused_;
  records["rejected"] = rejected_;
  records["kv_bytes_out"] = kv_bytes_out_;
  return records;
}

}  // namespace
}  // namespace oleander::standins

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stands in for a model engine in experiments.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  oleander::io::SetLogInstance(FLAGS_id);
  oleander::io::EventLoop loop;
  oleander::standins::EngineProgram program(loop);
  return program.Run();
}
