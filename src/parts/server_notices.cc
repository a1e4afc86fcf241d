#include "oleander/server_notices.h"

#include <algorithm>

namespace oleander {

bool ServerNotices::OnLeaving(Time now, const LeavingNotice& notice) {
  if (leaving(notice.server, notice.born_ms)) {
    return false;
  }
  absl::erase_if(leaving_,
                 [now](const auto& item) { return now >= item.second.until; });
  leaving_[notice.server] = {.born_ms = notice.born_ms,
                             .until = now + options_.kept_for,
                             .heard_at = now};
  return true;
}

void ServerNotices::OnTurnedAway(Time now, const ServerId& server,
                                 int64_t born_ms, Duration rest) {
  absl::erase_if(resting_,
                 [now](const auto& item) { return now >= item.second.until; });
  const Time until = now + std::min(rest, options_.longest_rest);
  Notice& notice = resting_[server];
  // Of two words of the same start the later end holds.
  if (notice.born_ms != born_ms || notice.until < until) {
    notice = {.born_ms = born_ms, .until = until, .heard_at = now};
  }
}

bool ServerNotices::leaving(const ServerId& server, int64_t born_ms) const {
  return Holds(leaving_, server, born_ms);
}

std::optional<Time> ServerNotices::rests_until(Time now, const ServerId& server,
                                               int64_t born_ms) const {
  if (!Holds(resting_, server, born_ms)) {
    return std::nullopt;
  }
  const Time until = resting_.at(server).until;
  return now < until ? std::optional(until) : std::nullopt;
}

std::vector<LeavingNotice> ServerNotices::news(Time now) const {
  std::vector<LeavingNotice> news;
  for (const auto& [server, notice] : leaving_) {
    if (now - notice.heard_at < options_.told_for) {
      news.push_back({.server = server, .born_ms = notice.born_ms});
    }
  }
  return news;
}

// A word is of the start that gave it, and of any before.
bool ServerNotices::Holds(const Notices& notices, const ServerId& server,
                          int64_t born_ms) {
  const auto found = notices.find(server);
  return found != notices.end() && born_ms <= found->second.born_ms;
}

}  // namespace oleander
