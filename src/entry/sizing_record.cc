#include "entry/sizing_record.h"

#include <algorithm>
#include <utility>

#include "entry.pb.h"
#include "io/log.h"

namespace oleander::entry {
namespace {

constexpr const char* kKey = "/oleander/sizing";
// No service has this many servers; larger numbers are clamped.
constexpr int kMaxServers = 100'000;
constexpr Duration kReadRetry = std::chrono::milliseconds(500);

}  // namespace

void SizingRecord::Read() {
  const uint64_t round = ++round_;
  archive_.OnTaken();
  store_.Range({.call = 0, .key = kKey, .prefix = false},
               [this, round](const absl::StatusOr<StoreRangeAnswer>& answer) {
                 context_.metrics.CountStoreCall("sizing_read", answer.ok());
                 if (round == round_) {
                   OnRead(answer);
                 }
               });
}

void SizingRecord::Stop() {
  ++round_;
  archive_.OnTaken();
  timer_.Cancel();
}

void SizingRecord::OnRead(const absl::StatusOr<StoreRangeAnswer>& answer) {
  if (!answer.ok()) {
    io::Log(io::LogLevel::kWarning, "sizing.not_read",
            {{"reason", std::string(answer.status().message())}});
    timer_ = context_.loop.After(kReadRetry, [this] { Read(); });
    return;
  }
  Take(answer->entries.empty() ? nullptr : &answer->entries.front());
}

void SizingRecord::Take(const StoreEntry* entry) {
  SizedServices services;
  const int64_t revision = entry == nullptr ? 0 : entry->mod_revision;
  entrywire::SizingRecord wire;
  const bool unreadable =
      entry != nullptr && !wire.ParseFromString(entry->value);
  if (unreadable) {
    io::Log(io::LogLevel::kError, "sizing.unreadable",
            {{"key", kKey}, {"bytes", entry->value.size()}});
    wire.Clear();
  }
  const Time now = context_.loop.now();
  const WallTime wall_now = context_.wall_now();
  const int64_t now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             wall_now.time_since_epoch())
                             .count();
  // A time in the future is of a clock that was corrected since.
  const auto time_of = [&](int64_t unix_ms) {
    return now - std::chrono::milliseconds(
                     now_ms - std::clamp<int64_t>(unix_ms, 0, now_ms));
  };
  for (const entrywire::SizedRegion& region : wire.regions()) {
    SizingMemory& memory =
        services[{ServiceId(region.service()), RegionId(region.region())}];
    memory.floor = std::clamp(region.floor(), 0, kMaxServers);
    memory.needed = std::clamp(region.needed(), 0, kMaxServers);
    for (const entrywire::SizedMarket& wire_market : region.markets()) {
      MarketMemory& market =
          memory.markets[{DomainId(wire_market.domain()),
                          wire_market.reclaimable() ? Market::kReclaimable
                                                    : Market::kOnDemand}];
      if (wire_market.has_ordered()) {
        market.ordered = std::clamp(wire_market.ordered(), 0, kMaxServers);
        market.ordered_at = time_of(wire_market.ordered_at_ms());
      }
      if (wire_market.has_refused_at_ms()) {
        market.refused_at = time_of(wire_market.refused_at_ms());
      }
    }
  }
  io::Log(io::LogLevel::kInfo, "sizing.read",
          {{"regions", services.size()},
           {"revision", revision},
           {"era", context_.era.current()}});
  // A store that was restored may have lost a record.
  archive_.OnRead(revision, std::move(services),
                  !unreadable && context_.era.current() <= 1);
  on_read_();
}

void SizingRecord::Write(const SizedServices& services) {
  const Time now = context_.loop.now();
  if (!archive_.WantsWrite(now, services)) {
    return;
  }
  archive_.OnWriteSent(now);
  store_.Cas({.call = 0,
              .compares = {{.key = kKey, .mod_revision = archive_.revision()}},
              .puts = {{.key = kKey, .value = Encode(services)}},
              .deletes = {}},
             [this, services,
              round = round_](const absl::StatusOr<StoreCasAnswer>& answer) {
               context_.metrics.CountStoreCall("sizing_write", answer.ok());
               if (round == round_) {
                 OnWritten(services, answer);
               }
             });
}

void SizingRecord::OnWritten(const SizedServices& services,
                             const absl::StatusOr<StoreCasAnswer>& answer) {
  if (!answer.ok()) {
    io::Log(io::LogLevel::kWarning, "sizing.not_written",
            {{"reason", std::string(answer.status().message())}});
    archive_.OnWriteFailed();
  } else if (answer->succeeded) {
    archive_.OnWritten(answer->revision, services);
  } else {
    // An earlier holder's write arrived late, or an answer to a write was lost.
    io::Log(io::LogLevel::kInfo, "sizing.written_elsewhere",
            {{"revision", archive_.revision()}});
    Take(answer->current.empty() ? nullptr : &answer->current.front());
  }
}

std::string SizingRecord::Encode(const SizedServices& services) const {
  const Time now = context_.loop.now();
  const auto unix_ms = [&](Time at) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               (context_.wall_now() - (now - at)).time_since_epoch())
        .count();
  };
  entrywire::SizingRecord record;
  for (const auto& [key, memory] : services) {
    entrywire::SizedRegion& region = *record.add_regions();
    region.set_service(key.first.value());
    region.set_region(key.second.value());
    region.set_floor(memory.floor);
    region.set_needed(memory.needed);
    for (const auto& [place, market] : memory.markets) {
      entrywire::SizedMarket& wire = *region.add_markets();
      wire.set_domain(place.first.value());
      wire.set_reclaimable(place.second == Market::kReclaimable);
      if (market.ordered) {
        wire.set_ordered(*market.ordered);
        wire.set_ordered_at_ms(unix_ms(market.ordered_at));
      }
      if (market.refused_at) {
        wire.set_refused_at_ms(unix_ms(*market.refused_at));
      }
    }
  }
  return record.SerializeAsString();
}

}  // namespace oleander::entry
