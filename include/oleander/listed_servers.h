// The backend servers that the store lists, through its outages.
//
// A server that says it is leaving, or is gone from the list, gets no new work
// at once. While the store is away the list stays as it was; entries that an
// outage let lapse come back within `return_grace` of its end, so until then a
// missing entry proves nothing.
//
// Load it answers: the store away for seconds while servers crash, drain and
// start again at addresses that others had.
#ifndef OLEANDER_LISTED_SERVERS_H_
#define OLEANDER_LISTED_SERVERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

enum class ListedState { kReady, kLeaving };

struct ListedServer {
  ServerId id;
  ServiceId service;
  DomainId domain;
  std::string address;  // An IP number.
  uint16_t port = 0;
  int slots = 1;
  ListedState state = ListedState::kReady;
  int64_t started_ms = 0;  // Unix milliseconds; 0 where it wasn't told.
  Market market = Market::kOnDemand;
  std::optional<Duration> leaves_in;  // After the entry was written.

  bool operator==(const ListedServer&) const = default;
};

struct ListedServersOptions {
  // How long after an outage's end entries may be missing though their servers
  // live: the platform's page says about two seconds.
  Duration return_grace = std::chrono::milliseconds(2000);
  // How long an older copy may list a server that is gone: three silent
  // intervals of its heartbeat, and as long again.
  Duration older_copy_grace = std::chrono::seconds(10);
};

class ListedServers {
 public:
  explicit ListedServers(ListedServersOptions options = {})
      : options_(options) {}

  // A whole listing as it was at `revision`.
  void Replace(Time now, std::vector<ListedServer> servers, int64_t revision);
  // One entry was written or went. Changes older than what is known are
  // ignored.
  void Put(Time now, ListedServer server, int64_t revision);
  void Remove(Time now, const ServerId& server, int64_t revision);
  // The store did not answer, or answers again.
  void OnStoreUnreachable(Time now);
  void OnStoreReachable(Time now);
  // The store has answered for longer than entries take to return.
  void OnStoreStable(Time now);
  bool stable(Time now) const { return !ReturnsExpected(now); }
  // The store came back from an older copy: revisions begin anew, and entries
  // may be missing as after an outage. Starts of servers that were known to
  // leave or to be gone aren't taken from the copy; a change that a server
  // writes in the new era shows that it lives. Returns those that were leaving.
  std::vector<ListedServer> OnNewEra(Time now);
  // Drops entries whose time to return has passed.
  void Tick(Time now);
  Time next_due() const;

  bool has_listing() const {
    return has_listing_;
  }  // Whether a listing ever came.
  const ListedServer* Find(const ServerId& server) const;
  // All servers that may get new work, of all services.
  std::vector<const ListedServer*> ready() const;
  std::vector<const ListedServer*> all() const;
  // Rises with each change.
  uint64_t generation() const { return generation_; }

 private:
  struct Entry {
    ListedServer server;
    int64_t revision = 0;
    std::optional<Time> missing_since;
  };
  bool ReturnsExpected(Time now) const;
  void MarkMissingOrErase(Time now, const ServerId& server);
  void PutAtRevision(ListedServer server, int64_t revision);
  bool IsFromOlderCopy(Time now, const ListedServer& server) const;
  void RememberRemoved(const ListedServer& server);

  ListedServersOptions options_;
  absl::flat_hash_map<ServerId, Entry> entries_;
  // The newest revision at which an entry went; older writes don't undo it.
  absl::flat_hash_map<ServerId, int64_t> removed_;
  // The births of servers that went, and until when an older copy may list
  // them.
  absl::flat_hash_map<ServerId, int64_t> removed_starts_;
  std::optional<Time> older_copy_until_;
  bool has_listing_ = false;
  bool unreachable_ = false;
  std::optional<Time> reachable_since_;
  uint64_t generation_ = 0;
};

}  // namespace oleander

#endif  // OLEANDER_LISTED_SERVERS_H_
