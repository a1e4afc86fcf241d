// What backend servers say of themselves in their answers: that they leave, or
// that they want nothing from this instance for a while.
//
// Both hold whatever the list of servers says, through outages of the store and
// after a new listing, until a later start of the server under the same id.
// That a server leaves concerns all instances, so peers are told; that it wants
// a pause concerns this one alone.
//
//   ServerNotices notices;
//   notices.OnLeaving(now, server, started_ms);
//   if (!notices.leaving(server, started_ms)) { ... }
//
// Load it answers: servers that drain while the store is away or the word of it
// is late, and servers that shed load.
#ifndef OLEANDER_SERVER_NOTICES_H_
#define OLEANDER_SERVER_NOTICES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct ServerNoticesOptions {
  // How long peers are told of a server that leaves; all ask several times
  // meanwhile.
  Duration announce_time = std::chrono::seconds(10);
  // Words are forgotten after this long; servers stay a minute at most after
  // they said that they leave.
  Duration retention = std::chrono::minutes(10);
  // A longer pause isn't believed.
  Duration max_pause = std::chrono::minutes(10);
};

// A start of a server that has said that it leaves.
struct LeavingNotice {
  ServerId server;
  int64_t started_ms = 0;  // As listed; 0 where it isn't known.

  bool operator==(const LeavingNotice&) const = default;
};

class ServerNotices {
 public:
  explicit ServerNotices(ServerNoticesOptions options = {})
      : options_(options) {}

  // Whether this is news.
  bool OnLeaving(Time now, const LeavingNotice& notice);
  // The server turned a call away and named the time to come back.
  void OnPauseRequested(Time now, const ServerId& server, int64_t started_ms,
                        Duration pause);

  bool leaving(const ServerId& server, int64_t started_ms) const;
  // Until when the server wants nothing from here; nothing where it takes
  // calls.
  std::optional<Time> pause_until(Time now, const ServerId& server,
                                  int64_t started_ms) const;
  // What peers are to hear.
  std::vector<LeavingNotice> recent_leaving(Time now) const;

 private:
  struct Notice {
    int64_t started_ms = 0;
    Time until;  // Of the pause, or when the word is forgotten.
    Time received_at;
  };
  using Notices = absl::flat_hash_map<ServerId, Notice>;
  static bool Applies(const Notices& notices, const ServerId& server,
                      int64_t started_ms);

  ServerNoticesOptions options_;
  Notices leaving_;
  Notices paused_;
};

}  // namespace oleander

#endif  // OLEANDER_SERVER_NOTICES_H_
