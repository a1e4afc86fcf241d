// A stand-in for the platform: a key-value service with the JSON API of etcd
// v3, a cloud API, an instance list that lags, and a store of model weights.
// docs/operators/standins.md lists its flags and faults.
#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "io/log.h"
#include "standins/shared_fleet.h"
#include "standins/shared_key_values.h"
#include "standins/shared_standin.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_uint32(port, 2379, "Port to listen on.");
DEFINE_string(id, "platform", "Name in logs.");
DEFINE_string(instances, "", "JSON file with instances, spares and prices.");
DEFINE_string(
    views, "",
    "PORT=VIEW, joined by commas: more ports, whose lists show that view.");
DEFINE_uint32(list_lag_ms, 2000, "Lag of the instance list.");
DEFINE_uint32(start_ms, 1000, "Time until a started instance is live.");
DEFINE_uint32(writes_per_s, 400, "Maximum writes per second of the store.");
DEFINE_uint32(reads_per_s, 2000, "Maximum reads per second of the store.");
DEFINE_uint32(max_value_bytes, 1048576,
              "Maximum size of a value in the store.");
DEFINE_uint32(weight_slots, 2, "Concurrent downloads of the weight store.");
DEFINE_uint32(weight_ms, 1000, "Duration of a download.");
DEFINE_uint64(weight_bytes, 1 << 30, "Size of each model.");
DEFINE_uint64(seed, 1, "Seed of all random choices.");

namespace oleander::standins {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

enum class CallClass { kRead, kWrite };

// Counts the calls within the last second, and the peak of that count.
class RateMeter {
 public:
  // Records a call; returns false if it exceeds the limit.
  bool Record(int64_t now_ms, size_t limit) {
    while (!call_times_.empty() && call_times_.front() <= now_ms - kWindowMs) {
      call_times_.pop_front();
    }
    call_times_.push_back(now_ms);
    peak_ = std::max(peak_, call_times_.size());
    return call_times_.size() <= limit;
  }
  size_t peak() const { return peak_; }

 private:
  static constexpr int64_t kWindowMs = 1000;
  std::deque<int64_t> call_times_;
  size_t peak_ = 0;
};

struct Watch {
  ExchangePtr exchange;
  KeyRange range;
  int64_t next_revision = 0;
};

class Platform {
 public:
  explicit Platform(io::EventLoop& loop);
  bool LoadInstances(const std::string& file);
  // Listens on the ports of --views; call it before Run().
  void AddViews(std::string_view views);
  int Run() { return standin_.Run(); }

 private:
  using KvCall = std::function<Json(const Json&)>;

  void AddKvRoutes();
  void AddCloudRoutes();
  void RouteKv(const std::string& path, CallClass call_class, KvCall call);
  void HandleKv(const ExchangePtr& exchange, const std::string& path,
                CallClass call_class, const KvCall& call);
  // Answers or holds the exchange and returns true if a fault applies.
  bool KvFails(const ExchangePtr& exchange);
  bool OverLimit(const ExchangePtr& exchange, CallClass call_class);
  Json RangeMaybeStale(const Json& request);
  void AnswerKv(const ExchangePtr& exchange, const Json& answer);
  void HandleWatch(const ExchangePtr& exchange);
  // Sends every open watch the events since its last revision.
  void SendWatchEvents();
  void HandleStart(const ExchangePtr& exchange);
  void HandleStop(const ExchangePtr& exchange);
  void HandleChange(const ExchangePtr& exchange);
  void HandleNotice(const ExchangePtr& exchange);
  void HandleWeights(const ExchangePtr& exchange);
  // Publishes the current instance list after --list_lag_ms.
  void PublishListLater();
  void ApplyFaults();
  Json Records();

  Standin standin_;
  std::mt19937_64 random_{FLAGS_seed};
  KeyValues values_;
  KeyValues stale_;  // The store at the last change of the faults.
  std::vector<Watch> watches_;
  Fleet fleet_;
  Json published_list_;
  std::map<std::string, uint64_t> calls_;
  RateMeter reads_;
  RateMeter writes_;
  uint64_t over_limit_ = 0;
  uint64_t lost_answers_ = 0;
  uint64_t stale_answers_ = 0;
  uint64_t refused_starts_ = 0;
  uint64_t weight_refusals_ = 0;
  size_t weights_running_ = 0;
  size_t weights_peak_ = 0;
  size_t watches_peak_ = 0;
  io::Timer lease_timer_;
};

Platform::Platform(io::EventLoop& loop)
    : standin_(loop, FLAGS_address, static_cast<uint16_t>(FLAGS_port)) {
  constexpr auto kLeaseCheckInterval = std::chrono::milliseconds(100);
  AddKvRoutes();
  AddCloudRoutes();
  standin_.OnFault([this] { ApplyFaults(); });
  standin_.OnRecords([this] { return Records(); });
  published_list_ = fleet_.List();
  lease_timer_ = loop.Every(kLeaseCheckInterval, [this] {
    values_.ExpireLeases(standin_.loop().now());
    SendWatchEvents();
  });
}

bool Platform::LoadInstances(const std::string& file) {
  std::ifstream stream(file);
  const Json config = Json::parse(stream, nullptr, false, true);
  if (!config.is_object()) {
    io::Log(io::LogLevel::kError, "platform.instances_unreadable",
            {{"file", file}});
    return false;
  }
  fleet_.Load(config);
  published_list_ = fleet_.List();
  return true;
}

void Platform::AddViews(std::string_view views) {
  while (!views.empty()) {
    const size_t comma = std::min(views.find(','), views.size());
    const std::string view(views.substr(0, comma));
    const size_t equals = std::min(view.find('='), view.size() - 1);
    standin_.AlsoListen(
        FLAGS_address,
        static_cast<uint16_t>(std::strtoul(view.c_str(), nullptr, 10)),
        view.substr(equals + 1));
    views.remove_prefix(std::min(comma + 1, views.size()));
  }
}

void Platform::ApplyFaults() {
  const Faults& faults = standin_.faults();
  stale_ = values_;
  if (faults.Flag("kv_down") || faults.Flag("kv_silent") ||
      faults.Flag("kv_drop_watches") || faults.Flag("down")) {
    for (const Watch& watch : std::exchange(watches_, {})) {
      DropConnection(watch.exchange);
    }
  }
  if (faults.Flag("kv_compact")) {
    values_.Compact({{"revision", std::to_string(values_.revision())}});
  }
}

// ---- The key-value service.

void Platform::AddKvRoutes() {
  using enum CallClass;
  const auto now = [this] { return standin_.loop().now(); };
  RouteKv("/v3/kv/range", kRead,
          [this](const Json& body) { return RangeMaybeStale(body); });
  RouteKv("/v3/kv/put", kWrite,
          [this](const Json& body) { return values_.Put(body); });
  RouteKv("/v3/kv/txn", kWrite,
          [this](const Json& body) { return values_.Txn(body); });
  RouteKv("/v3/kv/deleterange", kWrite,
          [this](const Json& body) { return values_.DeleteRange(body); });
  RouteKv("/v3/kv/compaction", kWrite,
          [this](const Json& body) { return values_.Compact(body); });
  RouteKv("/v3/lease/grant", kWrite,
          [this, now](const Json& body) { return values_.Grant(body, now()); });
  RouteKv("/v3/lease/keepalive", kWrite, [this, now](const Json& body) {
    return values_.KeepAlive(body, now());
  });
  RouteKv("/v3/lease/revoke", kWrite,
          [this](const Json& body) { return values_.Revoke(body); });
  standin_.Route("POST", "/v3/watch", [this](const ExchangePtr& exchange) {
    HandleWatch(exchange);
  });
}

void Platform::RouteKv(const std::string& path, CallClass call_class,
                       KvCall call) {
  standin_.Route("POST", path,
                 [this, path, call_class,
                  call = std::move(call)](const ExchangePtr& exchange) {
                   HandleKv(exchange, path, call_class, call);
                 });
}

bool Platform::KvFails(const ExchangePtr& exchange) {
  const Faults& faults = standin_.faults();
  if (faults.Flag("kv_silent")) {
    standin_.HoldWithoutAnswer(exchange);
    return true;
  }
  if (faults.Flag("kv_down") || faults.Flag("down")) {
    RespondJson(exchange, kUnavailable,
                {{"error", "The service is down."}, {"code", 14}});
    return true;
  }
  return false;
}

bool Platform::OverLimit(const ExchangePtr& exchange, CallClass call_class) {
  const bool read = call_class == CallClass::kRead;
  RateMeter& meter = read ? reads_ : writes_;
  const size_t limit = read ? FLAGS_reads_per_s : FLAGS_writes_per_s;
  if (meter.Record(standin_.now_ms(), limit)) {
    return false;
  }
  ++over_limit_;
  RespondJson(exchange, kTooManyRequests,
              {{"error", "Too many calls."}, {"code", 8}});
  return true;
}

Json Platform::RangeMaybeStale(const Json& request) {
  if (!absl::Bernoulli(random_, standin_.faults().Number("kv_stale", 0))) {
    return values_.Range(request);
  }
  ++stale_answers_;
  return stale_.Range(request);
}

void Platform::HandleKv(const ExchangePtr& exchange, const std::string& path,
                        CallClass call_class, const KvCall& call) {
  ++calls_[path];
  if (KvFails(exchange) || OverLimit(exchange, call_class)) {
    return;
  }
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const auto value = Base64Decode(TextField(*body, "value"));
  if (value.size() > FLAGS_max_value_bytes) {
    RespondJson(exchange, kBadRequest,
                {{"error", "The value is too large."}, {"code", 3}});
    return;
  }
  const Json answer = call(*body);
  SendWatchEvents();
  const bool lost =
      call_class == CallClass::kWrite &&
      absl::Bernoulli(random_, standin_.faults().Number("kv_lose_answers", 0));
  if (!lost) {
    AnswerKv(exchange, answer);
    return;
  }
  ++lost_answers_;
  if (absl::Bernoulli(random_, 0.5)) {
    DropConnection(exchange);
  } else {
    standin_.HoldWithoutAnswer(exchange);
  }
}

void Platform::AnswerKv(const ExchangePtr& exchange, const Json& answer) {
  const int status = answer.contains("error") ? kNotFound : kOk;
  standin_.Later(
      standin_.faults().Milliseconds("kv_slow_ms"),
      [exchange, answer, status] { RespondJson(exchange, status, answer); });
}

void Platform::HandleWatch(const ExchangePtr& exchange) {
  ++calls_["/v3/watch"];
  if (KvFails(exchange) || OverLimit(exchange, CallClass::kRead)) {
    return;
  }
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const Json create = body->value("create_request", Json::object());
  const int64_t start = Int64Field(create, "start_revision");
  exchange->Begin(kOk, {{"content-type", "application/json"}});
  if (start != 0 && start < values_.compacted()) {
    const Json cancelled = {
        {"header", values_.Header()},
        {"created", true},
        {"canceled", true},
        {"compact_revision", std::to_string(values_.compacted())}};
    exchange->Write(Json{{"result", cancelled}}.dump() + "\n");
    exchange->End();
    return;
  }
  const Json created = {{"header", values_.Header()}, {"created", true}};
  exchange->Write(Json{{"result", created}}.dump() + "\n");
  watches_.push_back(
      {.exchange = exchange,
       .range = RangeOf(create),
       .next_revision = start != 0 ? start : values_.revision() + 1});
  SendWatchEvents();
  watches_peak_ = std::max(watches_peak_, watches_.size());
}

void Platform::SendWatchEvents() {
  std::erase_if(watches_,
                [](const Watch& watch) { return watch.exchange->closed(); });
  const bool muted = standin_.faults().Flag("kv_mute_watches");
  for (Watch& watch : watches_) {
    if (watch.next_revision > values_.revision()) {
      continue;
    }
    const auto events = values_.EventsFrom(watch.range, watch.next_revision);
    watch.next_revision = values_.revision() + 1;
    if (events.empty() || muted) {
      continue;
    }
    Json list = Json::array();
    std::ranges::transform(events, std::back_inserter(list), EventJson);
    const Json result = {{"header", values_.Header()},
                         {"events", std::move(list)}};
    watch.exchange->Write(Json{{"result", result}}.dump() + "\n");
  }
}

// ---- The cloud API, the instance list and the weight store.

void Platform::AddCloudRoutes() {
  const auto route = [this](const char* method, const char* path,
                            RouteHandler handler) {
    standin_.Route(method, path,
                   [this, path,
                    handler = std::move(handler)](const ExchangePtr& exchange) {
                     ++calls_[path];
                     if (standin_.faults().Flag("cloud_down") ||
                         standin_.faults().Flag("down")) {
                       RespondJson(exchange, kUnavailable,
                                   {{"error", "Down."}});
                       return;
                     }
                     handler(exchange);
                   });
  };
  route("GET", "/cloud/v1/instances", [this](const ExchangePtr& exchange) {
    RespondJson(exchange, kOk, ListForView(published_list_, standin_.view()));
  });
  route("GET", "/cloud/v1/notices", [this](const ExchangePtr& exchange) {
    RespondJson(exchange, kOk, fleet_.Notices(standin_.now_ms()));
  });
  route("GET", "/cloud/v1/prices", [this](const ExchangePtr& exchange) {
    RespondJson(exchange, kOk, {{"prices", fleet_.prices()}});
  });
  route("POST", "/cloud/v1/instances",
        [this](const ExchangePtr& exchange) { HandleStart(exchange); });
  route("DELETE", "/cloud/v1/instances/*",
        [this](const ExchangePtr& exchange) { HandleStop(exchange); });
  route("GET", "/weights/v1/*",
        [this](const ExchangePtr& exchange) { HandleWeights(exchange); });
  standin_.Route("POST", "/instances", [this](const ExchangePtr& exchange) {
    HandleChange(exchange);
  });
  standin_.Route("POST", "/notices", [this](const ExchangePtr& exchange) {
    HandleNotice(exchange);
  });
  standin_.Route("POST", "/prices", [this](const ExchangePtr& exchange) {
    if (const auto body = JsonBodyOf(exchange)) {
      fleet_.SetPrices(body->value("prices", Json::array()), standin_.now_ms());
      RespondJson(exchange, kOk, Json::object());
    }
  });
}

void Platform::PublishListLater() {
  standin_.Later(std::chrono::milliseconds(FLAGS_list_lag_ms),
                 [this, list = fleet_.List()] { published_list_ = list; });
}

void Platform::HandleStart(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const Faults& faults = standin_.faults();
  if (absl::Bernoulli(random_, faults.Number("refuse_starts", 0))) {
    ++refused_starts_;
    RespondJson(exchange, kUnavailable, {{"error", "No capacity."}});
    return;
  }
  const auto started =
      fleet_.Start({.service = TextField(*body, "service"),
                    .machine_class = TextField(*body, "class"),
                    .domain = TextField(*body, "domain"),
                    .market = TextField(*body, "market"),
                    .client_token = TextField(*body, "client_token")},
                   standin_.now_ms());
  if (!started) {
    ++refused_starts_;
    RespondJson(exchange, kConflict, {{"error", "No machine fits."}});
    return;
  }
  if (!started->repeated) {
    standin_.Later(
        std::chrono::milliseconds(FLAGS_start_ms), [this, id = started->id] {
          fleet_.SetState(id, InstanceState::kLive, standin_.now_ms());
          PublishListLater();
        });
  }
  if (absl::Bernoulli(random_, faults.Number("lose_start_answers", 0))) {
    DropConnection(exchange);
    return;
  }
  RespondJson(exchange, kCreated, {{"id", started->id}});
}

void Platform::HandleStop(const ExchangePtr& exchange) {
  const std::string& path = exchange->request().path;
  const std::string id = path.substr(path.rfind('/') + 1);
  const bool known =
      fleet_.SetState(id, InstanceState::kGone, standin_.now_ms());
  PublishListLater();
  RespondJson(exchange, known ? kOk : kNotFound, {{"id", id}});
}

void Platform::HandleChange(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const std::string id = TextField(*body, "id");
  const auto state = ParseInstanceState(TextField(*body, "state", "live"));
  if (id.empty() || !state) {
    RespondJson(exchange, kBadRequest, {{"error", "Unknown id or state."}});
    return;
  }
  if (body->contains("address")) {
    fleet_.Add(*body, *state, standin_.now_ms());
  } else if (!fleet_.SetState(id, *state, standin_.now_ms())) {
    RespondJson(exchange, kNotFound, {{"error", "Unknown instance."}});
    return;
  }
  PublishListLater();
  RespondJson(exchange, kOk, Json::object());
}

void Platform::HandleNotice(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  fleet_.SetNotice({.id = TextField(*body, "id"),
                    .deadline_ms = standin_.now_ms() +
                                   IntegerField(*body, "deadline_in_ms", 0)});
  RespondJson(exchange, kOk, Json::object());
}

void Platform::HandleWeights(const ExchangePtr& exchange) {
  if (weights_running_ >= FLAGS_weight_slots) {
    ++weight_refusals_;
    exchange->Respond(kTooManyRequests, {{"retry-after", "1"}}, "{}");
    return;
  }
  ++weights_running_;
  weights_peak_ = std::max(weights_peak_, weights_running_);
  standin_.Later(std::chrono::milliseconds(FLAGS_weight_ms), [this, exchange] {
    --weights_running_;
    RespondJson(exchange, kOk, {{"bytes", FLAGS_weight_bytes}});
  });
}

Json Platform::Records() {
  Json records = fleet_.Records(standin_.now_ms());
  records["calls"] = calls_;
  records["watches_open"] = watches_.size();
  records["watches_peak"] = watches_peak_;
  records["reads_peak_per_s"] = reads_.peak();
  records["writes_peak_per_s"] = writes_.peak();
  records["over_limit"] = over_limit_;
  records["lost_answers"] = lost_answers_;
  records["stale_answers"] = stale_answers_;
  records["refused_starts"] = refused_starts_;
  records["weight_refusals"] = weight_refusals_;
  records["weights_peak"] = weights_peak_;
  records["revision"] = values_.revision();
  Json writes = Json::array();
  for (const auto& [key, revision] : values_.writes()) {
    writes.push_back({key, revision});
  }
  records["writes"] = std::move(writes);
  return records;
}

}  // namespace
}  // namespace oleander::standins

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stands in for the platform in experiments.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  oleander::io::SetLogInstance(FLAGS_id);
  oleander::io::EventLoop loop;
  oleander::standins::Platform platform(loop);
  if (!FLAGS_instances.empty() && !platform.LoadInstances(FLAGS_instances)) {
    return 1;
  }
  platform.AddViews(FLAGS_views);
  return platform.Run();
}
