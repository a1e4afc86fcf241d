#include "oleander/sizing_archive.h"

#include <algorithm>
#include <utility>

namespace oleander {
namespace {

constexpr Duration kWriteInterval = std::chrono::seconds(3);

}  // namespace

void SizingArchive::OnTaken() {
  read_ = false;
  writing_ = false;
}

void SizingArchive::OnRead(int64_t revision, SizedServices services,
                           bool complete) {
  read_ = true;
  complete_ = complete;
  writing_ = false;
  revision_ = revision;
  stored_ = std::move(services);
}

std::optional<SizingMemory> SizingArchive::Find(const ServiceId& service,
                                                const RegionId& region) const {
  const auto found = stored_.find({service, region});
  if (found != stored_.end()) {
    return found->second;
  }
  return complete_ ? std::nullopt : std::optional(SizingMemory());
}

bool SizingArchive::WantsWrite(Time now, const SizedServices& services) const {
  const bool due = !written_at_ || now - *written_at_ >= kWriteInterval;
  return read_ && !writing_ && due &&
         std::ranges::any_of(services, [this](const auto& item) {
           const auto stored = stored_.find(item.first);
           return stored == stored_.end() ||
                  WorthWriting(stored->second, item.second);
         });
}

void SizingArchive::OnWriteSent(Time now) {
  written_at_ = now;
  writing_ = true;
}

void SizingArchive::OnWritten(int64_t revision, SizedServices services) {
  writing_ = false;
  revision_ = revision;
  stored_ = std::move(services);
}

}  // namespace oleander
