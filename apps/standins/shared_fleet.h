// The instances of the stand-in platform: their states, their cost, reclaim
// notices, and the spare machines that a start order uses.
#ifndef OLEANDER_APPS_STANDINS_SHARED_FLEET_H_
#define OLEANDER_APPS_STANDINS_SHARED_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace oleander::standins {

enum class InstanceState { kSpare, kStarting, kLive, kLeaving, kGone };

struct FleetInstance {
  nlohmann::json fields;  // As in the instance list, without the state.
  InstanceState state = InstanceState::kLive;
  int64_t started_ms = 0;
  int64_t ended_ms = -1;
  double cost = 0;  // Price per hour times seconds.
};

// A notice that the platform will reclaim an instance.
struct Notice {
  std::string id;
  int64_t deadline_ms = 0;
};

// A caller's order to start an instance; empty fields match any machine.
struct StartOrder {
  std::string service;
  std::string machine_class;
  std::string domain;
  std::string market;
  std::string client_token;
};

struct StartResult {
  std::string id;
  bool repeated = false;  // The client token has been used before.
};

class Fleet {
 public:
  using Json = nlohmann::json;

  // Reads {"instances":[...],"spares":[...],"prices":[...]}.
  void Load(const Json& config);

  void Add(const Json& fields, InstanceState state, int64_t now_ms);
  bool SetState(const std::string& id, InstanceState state, int64_t now_ms);
  void SetPrices(const Json& prices, int64_t now_ms);
  void SetNotice(const Notice& notice);
  // Starts a spare machine that fits the order, or returns the earlier result
  // of the same client token. Returns nothing if no spare machine fits.
  std::optional<StartResult> Start(const StartOrder& order, int64_t now_ms);

  // Returns the current list, without lag. An instance may have a field
  // "seen_from", which gives each view another address and port.
  Json List() const;
  Json Notices(int64_t now_ms) const;
  const Json& prices() const { return prices_; }
  Json Records(int64_t now_ms);

 private:
  double PriceOf(const Json& fields) const;
  // Adds the cost of the time since the last call to every running
  // instance that is not an entry instance.
  void AccrueCost(int64_t now_ms);

  std::map<std::string, FleetInstance> instances_;
  std::map<std::string, Notice> notices_;
  std::map<std::string, std::string> tokens_;  // Client token to instance.
  Json prices_ = Json::array();
  int64_t accrued_ms_ = 0;
  uint64_t repeated_starts_ = 0;
};

// Returns the list for one view, without the field "seen_from".
nlohmann::json ListForView(nlohmann::json list, const std::string& view);

std::optional<InstanceState> ParseInstanceState(std::string_view text);

}  // namespace oleander::standins

#endif  // OLEANDER_APPS_STANDINS_SHARED_FLEET_H_
