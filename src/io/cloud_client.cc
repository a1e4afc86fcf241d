#include "io/cloud_client.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "oleander/result_code.h"

namespace oleander::io {
namespace {

using nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr int kOkStatus = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

absl::Status BadAnswer(std::string_view what) {
  return MakeError(ResultCode::kBadAnswer,
                   fmt::format("The platform's answer {}.", what));
}

absl::Status StatusOf(const HttpAnswer& answer) {
  if (!answer.end.status.ok()) {
    return answer.end.status;
  }
  if (answer.status == kOkStatus || answer.status == kCreated ||
      answer.status == kNoContent) {
    return absl::OkStatus();
  }
  Duration retry_after = kDefaultRetryAfter;
  if (const auto header = FindHeader(answer.headers, "retry-after")) {
    retry_after = std::chrono::seconds(std::atoi(std::string(*header).c_str()));
  }
  return MakeError(
      {.code = ResultCode::kPlatformRefused,
       .ran = Ran::kNo,
       .retry_after = retry_after},
      fmt::format("The platform refused with HTTP status {}.", answer.status));
}

std::string TextOf(const json& object, const char* key) {
  const auto field = object.find(key);
  return field != object.end() && field->is_string() ? field->get<std::string>()
                                                     : "";
}

uint16_t PortOf(const json& object, const char* key) {
  const auto field = object.find(key);
  return field != object.end() && field->is_number_unsigned() && *field <= 65535
             ? field->get<uint16_t>()
             : uint16_t{0};
}

Market MarketOf(const json& object) {
  return TextOf(object, "market") == "reclaimable" ? Market::kReclaimable
                                                   : Market::kOnDemand;
}

const char* MarketName(Market market) {
  return market == Market::kReclaimable ? "reclaimable" : "on_demand";
}

Location LocationOf(const json& object) {
  return {.region = RegionId(TextOf(object, "region")),
          .domain = DomainId(TextOf(object, "domain"))};
}

// Returns the list of objects called `key`, or kBadAnswer if there is none.
absl::StatusOr<json> ListOf(std::string_view body, const char* key) {
  const json document = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object() || !document.contains(key) ||
      !document[key].is_array()) {
    return BadAnswer(fmt::format("has no list \"{}\"", key));
  }
  for (const json& item : document[key]) {
    if (!item.is_object()) {
      return BadAnswer(
          fmt::format("has an item in \"{}\" that is not an object", key));
    }
  }
  return document[key];
}

ListedEntry EntryOf(const json& item) {
  ListedEntry entry;
  entry.info = {.id = InstanceId(TextOf(item, "id")),
                .location = LocationOf(item),
                .address = TextOf(item, "address"),
                .http_port = PortOf(item, "port"),
                .mesh_port = PortOf(item, "mesh_port")};
  entry.public_key = TextOf(item, "public_key");
  entry.leaving = TextOf(item, "state") == "leaving";
  return entry;
}

ListedServer ServerOf(const json& item) {
  ListedServer server;
  server.info = {.id = ServerId(TextOf(item, "id")),
                 .service = ServiceId(TextOf(item, "service")),
                 .kind = TextOf(item, "kind") == "plain" ? ServerKind::kPlain
                                                         : ServerKind::kEngine,
                 .location = LocationOf(item),
                 .address = TextOf(item, "address"),
                 .port = PortOf(item, "port"),
                 .machine_class = TextOf(item, "class"),
                 .market = MarketOf(item)};
  server.leaving = TextOf(item, "state") == "leaving";
  return server;
}

// Returns a callback that checks the response's status, parses its body, and
// passes the result to `done`.
template <typename Answer>
std::function<void(const HttpAnswer&)> Reader(
    absl::StatusOr<Answer> (*parse)(std::string_view),
    CloudClient::Done<Answer> done) {
  return [parse, done = std::move(done)](const HttpAnswer& answer) {
    const absl::Status status = StatusOf(answer);
    done(status.ok() ? parse(answer.body) : absl::StatusOr<Answer>(status));
  };
}

}  // namespace

CloudClient::CloudClient(HttpClient& client, std::string address, uint16_t port)
    : client_(&client), address_(std::move(address)), port_(port) {}

HttpCallRequest CloudClient::NewRequest(std::string method, std::string target,
                                        std::string body) const {
  HttpCallRequest request;
  request.address = address_;
  request.port = port_;
  request.method = std::move(method);
  request.target = std::move(target);
  if (!body.empty()) {
    request.headers = {{.name = "content-type", .value = "application/json"}};
  }
  request.body = std::move(body);
  request.options.connect_timeout = kTimeout;
  request.options.head_timeout = kTimeout;
  request.options.progress_timeout = kTimeout;
  request.options.drop_undelivered = request.method != "GET";
  return request;
}

void CloudClient::FetchInstances(Done<InstanceList> done) {
  client_->Fetch(NewRequest("GET", "/cloud/v1/instances", ""),
                 Reader<InstanceList>(ParseInstanceList, std::move(done)));
}

void CloudClient::FetchNotices(Done<std::vector<ReclaimNoticeInfo>> done) {
  client_->Fetch(
      NewRequest("GET", "/cloud/v1/notices", ""),
      Reader<std::vector<ReclaimNoticeInfo>>(ParseNotices, std::move(done)));
}

void CloudClient::FetchPrices(Done<std::vector<MarketPrice>> done) {
  client_->Fetch(
      NewRequest("GET", "/cloud/v1/prices", ""),
      Reader<std::vector<MarketPrice>>(ParsePrices, std::move(done)));
}

void CloudClient::Start(const StartInstance& order, Done<std::string> done) {
  const json body = {{"service", order.service.value()},
                     {"class", order.key.machine_class},
                     {"domain", order.key.domain.value()},
                     {"market", MarketName(order.key.market)},
                     {"client_token", order.client_token}};
  client_->Fetch(
      NewRequest("POST", "/cloud/v1/instances", body.dump()),
      [done = std::move(done)](const HttpAnswer& answer) {
        const absl::Status status = StatusOf(answer);
        if (!status.ok()) {
          done(status);
          return;
        }
        const json document =
            json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
        if (!document.is_object() || TextOf(document, "id").empty()) {
          done(BadAnswer("to a start request has no instance id"));
          return;
        }
        done(TextOf(document, "id"));
      });
}

void CloudClient::Stop(const ServerId& server,
                       std::function<void(absl::Status)> done) {
  client_->Fetch(
      NewRequest("DELETE", "/cloud/v1/instances/" + server.value(), ""),
      [done = std::move(done)](const HttpAnswer& answer) {
        // An instance that no longer exists counts as stopped.
        const bool already_ended =
            answer.end.status.ok() && answer.status == kNotFound;
        done(already_ended ? absl::OkStatus() : StatusOf(answer));
      });
}

void CloudClient::AcquireWeightSlot(const std::string& model,
                                    std::function<void(absl::Status)> done) {
  client_->Fetch(NewRequest("GET", "/weights/v1/" + model, ""),
                 [done = std::move(done)](const HttpAnswer& answer) {
                   done(StatusOf(answer));
                 });
}

absl::StatusOr<InstanceList> ParseInstanceList(std::string_view body) {
  const auto items = ListOf(body, "instances");
  if (!items.ok()) {
    return items.status();
  }
  InstanceList list;
  for (const json& item : *items) {
    if (TextOf(item, "id").empty() || TextOf(item, "address").empty()) {
      return BadAnswer("has an instance without \"id\" or \"address\"");
    }
    if (TextOf(item, "kind") == "entry") {
      list.entries.push_back(EntryOf(item));
    } else {
      list.servers.push_back(ServerOf(item));
    }
  }
  return list;
}

absl::StatusOr<std::vector<ReclaimNoticeInfo>> ParseNotices(
    std::string_view body) {
  const auto items = ListOf(body, "notices");
  if (!items.ok()) {
    return items.status();
  }
  std::vector<ReclaimNoticeInfo> notices;
  for (const json& item : *items) {
    const auto time_left = item.find("deadline_in_ms");
    if (TextOf(item, "id").empty() || time_left == item.end() ||
        !time_left->is_number()) {
      return BadAnswer("has a notice without \"id\" or \"deadline_in_ms\"");
    }
    notices.push_back(
        {.id = TextOf(item, "id"),
         .time_left = std::chrono::milliseconds(time_left->get<int64_t>())});
  }
  return notices;
}

absl::StatusOr<std::vector<MarketPrice>> ParsePrices(std::string_view body) {
  const auto items = ListOf(body, "prices");
  if (!items.ok()) {
    return items.status();
  }
  std::vector<MarketPrice> prices;
  for (const json& item : *items) {
    const auto per_hour = item.find("per_hour");
    if (per_hour == item.end() || !per_hour->is_number()) {
      return BadAnswer("has a price without \"per_hour\"");
    }
    prices.push_back({.key = {.machine_class = TextOf(item, "class"),
                              .domain = DomainId(TextOf(item, "domain")),
                              .market = MarketOf(item)},
                      .per_hour = per_hour->get<double>()});
  }
  return prices;
}

}  // namespace oleander::io
