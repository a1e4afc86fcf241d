// Notices that backend servers give about themselves in their answers: that
// they are leaving, or that this instance should pause sending to them.
//
// Both hold regardless of the list of servers, through outages of the store and
// after a new listing, until the server starts again under the same id. A
// leaving server concerns all instances, so peers are notified; a pause
// concerns this instance alone.
//
//   ServerNotices notices;
//   notices.OnLeaving(now, {.server = server, .started_ms = started_ms});
//   if (!notices.leaving(server, started_ms)) { ... }
//
// Designed for servers that drain while the store is unreachable or its update
// is late, and for servers that shed load.
#ifndef OLEANDER_SERVER_NOTICES_H_
#define OLEANDER_SERVER_NOTICES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct ServerNoticesOptions {
  // How long peers are notified of a leaving server. Each instance polls
  // several times during it.
  Duration announce_time = std::chrono::seconds(10);
  // Leaving notices are dropped after this time. A server stops at most a
  // minute after it gave the notice.
  Duration retention = std::chrono::minutes(10);
  // Longer pauses are cut to this.
  Duration max_pause = std::chrono::minutes(10);
};

// One run of a server that has announced that it is leaving.
struct LeavingNotice {
  ServerId server;
  // When the server started, as listed in Unix milliseconds; 0 if unknown.
  int64_t started_ms = 0;

  bool operator==(const LeavingNotice&) const = default;
};

class ServerNotices {
 public:
  explicit ServerNotices(ServerNoticesOptions options = {})
      : options_(options) {}

  // Records the notice. Returns whether it is new.
  bool OnLeaving(Time now, const LeavingNotice& notice);
  // Records that the server refused a call and asked this instance to pause.
  void OnPauseRequested(Time now, const ServerId& server, int64_t started_ms,
                        Duration pause);

  // Returns whether this run of the server is leaving.
  bool leaving(const ServerId& server, int64_t started_ms) const;
  // Returns the end of the server's pause, or nothing if it isn't paused.
  std::optional<Time> pause_until(Time now, const ServerId& server,
                                  int64_t started_ms) const;
  // Returns the notices received within announce_time, for peers.
  std::vector<LeavingNotice> recent_leaving(Time now) const;

 private:
  struct Notice {
    int64_t started_ms = 0;
    Time until;  // End of the pause, or of the retention.
    Time received_at;
  };
  using Notices = absl::flat_hash_map<ServerId, Notice>;
  // Returns whether there is a notice for this run of the server. A notice
  // applies to the run that gave it and to all earlier ones.
  static bool Applies(const Notices& notices, const ServerId& server,
                      int64_t started_ms);

  ServerNoticesOptions options_;
  Notices leaving_;
  Notices paused_;
};

}  // namespace oleander

#endif  // OLEANDER_SERVER_NOTICES_H_
