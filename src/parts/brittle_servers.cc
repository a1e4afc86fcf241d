#include "oleander/brittle_servers.h"

#include <algorithm>
#include <cmath>

namespace oleander {

bool BrittleServers::OnAnswer(Time now, const ServerId& server,
                              int64_t started_ms, const Answer& answer) {
  const bool was_brittle = brittle(now, server, started_ms);
  if (!answer.bound_per_s) {
    servers_.erase(server);
    return was_brittle;
  }
  Brittle& known = servers_[server];
  if (!was_brittle) {
    known = {};
  }
  known.started_ms = started_ms;
  known.answered_at = now;
  if (answer.turned_away) {
    const double per_s = options_.used_share * *answer.bound_per_s /
                         static_cast<double>(std::max<size_t>(1, instances_));
    const double pause_s =
        std::min(1 / std::max(per_s, 1e-3),
                 std::chrono::duration<double>(options_.max_pause).count());
    known.paused_until = std::min(std::max(known.paused_until, now) +
                                      Duration(std::llround(pause_s * 1e6)),
                                  now + options_.max_pause);
  }
  return !was_brittle;
}

std::optional<Time> BrittleServers::PausedUntil(Time now,
                                                const ServerId& server,
                                                int64_t started_ms) const {
  const Brittle* known = Find(now, server, started_ms);
  return known != nullptr && now < known->paused_until
             ? std::optional(known->paused_until)
             : std::nullopt;
}

const BrittleServers::Brittle* BrittleServers::Find(Time now,
                                                    const ServerId& server,
                                                    int64_t started_ms) const {
  const auto found = servers_.find(server);
  const bool holds = found != servers_.end() &&
                     found->second.started_ms == started_ms &&
                     now - found->second.answered_at < options_.max_age;
  return holds ? &found->second : nullptr;
}

}  // namespace oleander
