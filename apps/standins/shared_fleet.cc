#include "standins/shared_fleet.h"

#include <algorithm>
#include <array>
#include <utility>

#include "standins/shared_standin.h"

namespace oleander::standins {
namespace {

constexpr double kOnDemandPrice = 1.0;
constexpr double kReclaimablePrice = 0.35;
constexpr double kMsPerSecond = 1000;

constexpr auto kStateNames =
    std::to_array<std::pair<InstanceState, std::string_view>>(
        {{InstanceState::kSpare, "spare"},
         {InstanceState::kStarting, "starting"},
         {InstanceState::kLive, "live"},
         {InstanceState::kLeaving, "leaving"},
         {InstanceState::kGone, "gone"}});

std::string_view NameOf(InstanceState state) {
  return std::ranges::find(kStateNames, state,
                           &std::pair<InstanceState, std::string_view>::first)
      ->second;
}

bool Running(InstanceState state) {
  return state == InstanceState::kStarting || state == InstanceState::kLive ||
         state == InstanceState::kLeaving;
}

bool Listed(InstanceState state) {
  return state == InstanceState::kLive || state == InstanceState::kLeaving;
}

// Returns true if `wanted` is empty or equals the field.
bool EmptyOrEqual(const nlohmann::json& fields, const char* key,
                  const std::string& wanted) {
  return wanted.empty() || TextField(fields, key) == wanted;
}

}  // namespace

std::optional<InstanceState> ParseInstanceState(std::string_view text) {
  const auto row = std::ranges::find(
      kStateNames, text, &std::pair<InstanceState, std::string_view>::second);
  return row == kStateNames.end() ? std::nullopt : std::optional(row->first);
}

nlohmann::json ListForView(nlohmann::json list, const std::string& view) {
  for (nlohmann::json& instance : list.at("instances")) {
    const auto views = instance.find("seen_from");
    if (views == instance.end()) {
      continue;
    }
    const nlohmann::json seen = views->value(view, nlohmann::json::object());
    instance.erase("seen_from");
    instance.update(seen);
  }
  return list;
}

void Fleet::Load(const Json& config) {
  for (const Json& fields : config.value("instances", Json::array())) {
    Add(fields, InstanceState::kLive, 0);
  }
  for (const Json& fields : config.value("spares", Json::array())) {
    Add(fields, InstanceState::kSpare, 0);
  }
  prices_ = config.value("prices", Json::array());
}

void Fleet::Add(const Json& fields, InstanceState state, int64_t now_ms) {
  AccrueCost(now_ms);
  FleetInstance instance;
  instance.fields = fields;
  instance.fields.erase("state");
  instance.state = state;
  instance.started_ms = now_ms;
  instances_[TextField(fields, "id")] = std::move(instance);
}

bool Fleet::SetState(const std::string& id, InstanceState state,
                     int64_t now_ms) {
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    return false;
  }
  AccrueCost(now_ms);
  FleetInstance& instance = found->second;
  if (!Running(instance.state) && Running(state)) {
    instance.started_ms = now_ms;
    instance.ended_ms = -1;
  }
  instance.state = state;
  if (state == InstanceState::kGone) {
    instance.ended_ms = now_ms;
    notices_.erase(id);
  }
  return true;
}

void Fleet::SetPrices(const Json& prices, int64_t now_ms) {
  AccrueCost(now_ms);
  prices_ = prices;
}

void Fleet::SetNotice(const Notice& notice) { notices_[notice.id] = notice; }

std::optional<StartResult> Fleet::Start(const StartOrder& order,
                                        int64_t now_ms) {
  if (const auto known = tokens_.find(order.client_token);
      !order.client_token.empty() && known != tokens_.end()) {
    ++repeated_starts_;
    return StartResult{.id = known->second, .repeated = true};
  }
  const auto spare = std::ranges::find_if(instances_, [&](const auto& entry) {
    const Json& fields = entry.second.fields;
    return entry.second.state == InstanceState::kSpare &&
           EmptyOrEqual(fields, "service", order.service) &&
           EmptyOrEqual(fields, "class", order.machine_class) &&
           EmptyOrEqual(fields, "domain", order.domain) &&
           EmptyOrEqual(fields, "market", order.market);
  });
  if (spare == instances_.end()) {
    return std::nullopt;
  }
  SetState(spare->first, InstanceState::kStarting, now_ms);
  tokens_[order.client_token] = spare->first;
  return StartResult{.id = spare->first};
}

double Fleet::PriceOf(const Json& fields) const {
  const bool reclaimable = TextField(fields, "market") == "reclaimable";
  const auto price = std::ranges::find_if(prices_, [&](const Json& row) {
    return EmptyOrEqual(fields, "class", TextField(row, "class")) &&
           EmptyOrEqual(fields, "domain", TextField(row, "domain")) &&
           EmptyOrEqual(fields, "market", TextField(row, "market"));
  });
  if (price != prices_.end()) {
    return price->value("per_hour", 0.0);
  }
  return reclaimable ? kReclaimablePrice : kOnDemandPrice;
}

void Fleet::AccrueCost(int64_t now_ms) {
  const double seconds =
      static_cast<double>(now_ms - accrued_ms_) / kMsPerSecond;
  accrued_ms_ = now_ms;
  for (auto& [id, instance] : instances_) {
    if (Running(instance.state) &&
        TextField(instance.fields, "kind") != "entry") {
      instance.cost += PriceOf(instance.fields) * seconds;
    }
  }
}

Fleet::Json Fleet::List() const {
  Json list = Json::array();
  for (const auto& [id, instance] : instances_) {
    if (Listed(instance.state)) {
      Json fields = instance.fields;
      fields["state"] = NameOf(instance.state);
      list.push_back(std::move(fields));
    }
  }
  return {{"instances", std::move(list)}};
}

Fleet::Json Fleet::Notices(int64_t now_ms) const {
  Json list = Json::array();
  for (const auto& [id, notice] : notices_) {
    list.push_back({{"id", id},
                    {"deadline_in_ms",
                     std::max<int64_t>(0, notice.deadline_ms - now_ms)}});
  }
  return {{"notices", std::move(list)}};
}

Fleet::Json Fleet::Records(int64_t now_ms) {
  AccrueCost(now_ms);
  Json list = Json::array();
  double total = 0;
  for (const auto& [id, instance] : instances_) {
    total += instance.cost;
    list.push_back({{"id", id},
                    {"state", NameOf(instance.state)},
                    {"market", TextField(instance.fields, "market")},
                    {"domain", TextField(instance.fields, "domain")},
                    {"started_ms", instance.started_ms},
                    {"ended_ms", instance.ended_ms},
                    {"cost", instance.cost}});
  }
  return {{"cost", total},
          {"instances", std::move(list)},
          {"starts", tokens_.size()},
          {"repeated_starts", repeated_starts_}};
}

}  // namespace oleander::standins
