#include "oleander/server_loads.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

// Reports older than this are ignored: a model's call lasts about a second.
constexpr Duration kMaxAge = std::chrono::milliseconds(2500);

// Prefill loads are stored in whole numbers, in this fraction of an engine.
constexpr double kUnitsPerEngine = 1000;

// The key of a prefill load. Server ids contain no blank, so it can't collide
// with one.
ServerId PrefillKey(const ServiceId& service, const RegionId& region) {
  return ServerId(service.value() + " in " + region.value());
}

}  // namespace

void ServerLoads::OnPrefillLoad(Time now, const ServiceId& service,
                                const RegionId& region, double engines) {
  OnReport(now, PrefillKey(service, region),
           static_cast<int>(engines * kUnitsPerEngine));
}

std::optional<double> ServerLoads::PrefillLoadOf(Time now,
                                                 const ServiceId& service,
                                                 const RegionId& region) const {
  const std::optional<int> units = CallsAt(now, PrefillKey(service, region));
  return units ? std::optional(*units / kUnitsPerEngine) : std::nullopt;
}

void ServerLoads::OnReport(Time now, const ServerId& server, int calls) {
  loads_[ServerHash(server)] = {.calls = calls, .at = now, .unsent = true};
}

void ServerLoads::OnPeerReport(Time now, const ServerLoadReport& report) {
  const Time at = now - report.age;
  const auto [load, added] = loads_.try_emplace(
      report.server, Load{.calls = report.calls, .at = at, .unsent = false});
  if (!added && load->second.at < at) {
    load->second = {.calls = report.calls, .at = at, .unsent = false};
  }
}

std::vector<ServerLoadReport> ServerLoads::TakeUpdates(Time now) {
  DropOld(now);
  std::vector<ServerLoadReport> reports;
  for (auto& [server, load] : loads_) {
    if (std::exchange(load.unsent, false)) {
      reports.push_back(ReportOf(now, server, load));
    }
  }
  return reports;
}

std::vector<ServerLoadReport> ServerLoads::NextReports(Time now,
                                                       size_t max_count) {
  DropOld(now);
  std::vector<ServerLoadReport> reports;
  const size_t count = std::min(max_count, loads_.size());
  auto load = loads_.upper_bound(last_sent_);
  while (reports.size() < count) {
    if (load == loads_.end()) {
      load = loads_.begin();
    }
    last_sent_ = load->first;
    reports.push_back(ReportOf(now, load->first, load->second));
    ++load;
  }
  return reports;
}

std::optional<int> ServerLoads::CallsAt(Time now,
                                        const ServerId& server) const {
  const auto load = loads_.find(ServerHash(server));
  const bool fresh = load != loads_.end() && now - load->second.at <= kMaxAge;
  return fresh ? std::optional(load->second.calls) : std::nullopt;
}

uint32_t ServerLoads::ServerHash(const ServerId& server) {
  return XXH32(server.value().data(), server.value().size(), 0);
}

void ServerLoads::DropOld(Time now) {
  std::erase_if(loads_, [now](const auto& item) {
    return now - item.second.at > kMaxAge;
  });
}

ServerLoadReport ServerLoads::ReportOf(Time now, uint32_t server,
                                       const Load& load) {
  return {.server = server, .calls = load.calls, .age = now - load.at};
}

}  // namespace oleander
