#include "oleander/server_notices.h"

#include <algorithm>

namespace oleander {

bool ServerNotices::OnLeaving(Time now, const LeavingNotice& notice) {
  if (leaving(notice.server, notice.started_ms)) {
    return false;
  }
  absl::erase_if(leaving_,
                 [now](const auto& item) { return now >= item.second.until; });
  leaving_[notice.server] = {.started_ms = notice.started_ms,
                             .until = now + options_.retention,
                             .received_at = now};
  return true;
}

void ServerNotices::OnPauseRequested(Time now, const ServerId& server,
                                     int64_t started_ms, Duration pause) {
  absl::erase_if(paused_,
                 [now](const auto& item) { return now >= item.second.until; });
  const Time until = now + std::min(pause, options_.max_pause);
  Notice& notice = paused_[server];
  // Among pauses requested by the same run, the one that ends last holds.
  if (notice.started_ms != started_ms || notice.until < until) {
    notice = {.started_ms = started_ms, .until = until, .received_at = now};
  }
}

bool ServerNotices::leaving(const ServerId& server, int64_t started_ms) const {
  return Applies(leaving_, server, started_ms);
}

std::optional<Time> ServerNotices::pause_until(Time now, const ServerId& server,
                                               int64_t started_ms) const {
  if (!Applies(paused_, server, started_ms)) {
    return std::nullopt;
  }
  const Time until = paused_.at(server).until;
  return now < until ? std::optional(until) : std::nullopt;
}

std::vector<LeavingNotice> ServerNotices::recent_leaving(Time now) const {
  std::vector<LeavingNotice> recent_leaving;
  for (const auto& [server, notice] : leaving_) {
    if (now - notice.received_at < options_.announce_time) {
      recent_leaving.push_back(
          {.server = server, .started_ms = notice.started_ms});
    }
  }
  return recent_leaving;
}

bool ServerNotices::Applies(const Notices& notices, const ServerId& server,
                            int64_t started_ms) {
  const auto found = notices.find(server);
  return found != notices.end() && started_ms <= found->second.started_ms;
}

}  // namespace oleander
