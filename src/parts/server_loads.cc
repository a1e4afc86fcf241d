#include "oleander/server_loads.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

// A call of a model lasts about a second; what is older tells nothing of now.
constexpr Duration kFresh = std::chrono::milliseconds(2500);

// Engines that read are told in so many parts of one.
constexpr double kPartsOfEngine = 1000;

// No server has a blank in its id.
ServerId ReadingName(const ServiceId& service, const RegionId& region) {
  return ServerId(service.value() + " in " + region.value());
}

}  // namespace

void ServerLoads::OnReading(Time now, const ServiceId& service,
                            const RegionId& region, double engines) {
  OnReport(now, ReadingName(service, region),
           static_cast<int>(engines * kPartsOfEngine));
}

double ServerLoads::ReadingOf(Time now, const ServiceId& service,
                              const RegionId& region) const {
  return CallsAt(now, ReadingName(service, region)) / kPartsOfEngine;
}

void ServerLoads::OnReport(Time now, const ServerId& server, int calls) {
  loads_[NoteId(server)] = {.calls = calls, .at = now, .news = true};
}

void ServerLoads::OnNote(Time now, const LoadNote& note) {
  const Time at = now - note.age;
  const auto [load, added] = loads_.try_emplace(
      note.server, Load{.calls = note.calls, .at = at, .news = false});
  if (!added && load->second.at < at) {
    load->second = {.calls = note.calls, .at = at, .news = false};
  }
}

std::vector<LoadNote> ServerLoads::TakeNews(Time now) {
  DropOld(now);
  std::vector<LoadNote> notes;
  for (auto& [server, load] : loads_) {
    if (std::exchange(load.news, false)) {
      notes.push_back(NoteOf(now, server, load));
    }
  }
  return notes;
}

std::vector<LoadNote> ServerLoads::Notes(Time now, size_t most) {
  DropOld(now);
  std::vector<LoadNote> notes;
  const size_t count = std::min(most, loads_.size());
  auto load = loads_.upper_bound(told_last_);
  while (notes.size() < count) {
    if (load == loads_.end()) {
      load = loads_.begin();
    }
    told_last_ = load->first;
    notes.push_back(NoteOf(now, load->first, load->second));
    ++load;
  }
  return notes;
}

int ServerLoads::CallsAt(Time now, const ServerId& server) const {
  const auto load = loads_.find(NoteId(server));
  const bool fresh = load != loads_.end() && now - load->second.at <= kFresh;
  return fresh ? load->second.calls : 0;
}

uint32_t ServerLoads::NoteId(const ServerId& server) {
  return XXH32(server.value().data(), server.value().size(), 0);
}

void ServerLoads::DropOld(Time now) {
  std::erase_if(loads_, [now](const auto& item) {
    return now - item.second.at > kFresh;
  });
}

LoadNote ServerLoads::NoteOf(Time now, uint32_t server, const Load& load) {
  return {.server = server, .calls = load.calls, .age = now - load.at};
}

}  // namespace oleander
