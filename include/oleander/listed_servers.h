// The backend servers that the store lists, retained through outages of the
// store.
//
// A server that announces that it is leaving, or that is removed from the list,
// gets no new work at once. While the store is unreachable the list stays as it
// was. Entries that expired during an outage return within `return_grace` of
// its end, so until then a missing entry doesn't prove that its server has
// ended.
//
// Designed for a store that is unreachable for seconds while servers crash,
// drain and start again at addresses that others had.
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
  std::string address;  // An IP address.
  uint16_t port = 0;
  int slots = 1;
  ListedState state = ListedState::kReady;
  int64_t started_ms = 0;  // Unix milliseconds; 0 if unknown.
  std::string version;     // Of its software; empty if unknown.
  Market market = Market::kOnDemand;
  // Time from the writing of the entry until the server leaves.
  std::optional<Duration> leaves_in;

  bool operator==(const ListedServer&) const = default;
};

struct ListedServersOptions {
  // How long after the end of an outage entries of live servers may be missing.
  // The platform documents about two seconds.
  Duration return_grace = std::chrono::milliseconds(2000);
  // How long a store restored from an older copy may list a server that has
  // ended: three missed heartbeat intervals of the server, and as long again.
  Duration older_copy_grace = std::chrono::seconds(10);
};

class ListedServers {
 public:
  explicit ListedServers(ListedServersOptions options = {})
      : options_(options) {}

  // Takes a complete listing as of `revision`.
  void Replace(Time now, std::vector<ListedServer> servers, int64_t revision);
  // Take the write or removal of one entry. Changes older than the known state
  // are ignored.
  void Put(Time now, ListedServer server, int64_t revision);
  void Remove(Time now, const ServerId& server, int64_t revision);
  // The store did not answer, or answers again. Entries that are missing within
  // return_grace after the latter are retained.
  void OnStoreUnreachable(Time now);
  void OnStoreReachable(Time now);
  // The store has answered for longer than return_grace, as another instance
  // reported; missing entries are dropped now.
  void OnStoreStable(Time now);
  // Returns whether the store is reachable and return_grace has passed since
  // its last outage.
  bool stable(Time now) const { return !ReturnsExpected(now); }
  // A new era, that is, generation of the store's content, has started: the
  // store was restored from an older copy. Revisions restart, and entries may
  // be missing as after an outage. Listings of the copy don't bring back server
  // runs that were known to be leaving or removed; an entry that a server
  // writes in the new era does, since it shows that the server is alive.
  // Returns the servers that were leaving, which are removed.
  std::vector<ListedServer> OnNewEra(Time now);
  // Drops missing entries once their grace period has passed.
  void Tick(Time now);
  // Returns when to call Tick() next, or Time::max() if no entry is due.
  Time next_due() const;

  // Returns whether a listing was ever received.
  bool has_listing() const { return has_listing_; }
  // Returns null if the server isn't listed.
  const ListedServer* Find(const ServerId& server) const;
  // Returns the servers of all services that may get new work, sorted by id.
  std::vector<const ListedServer*> ready() const;
  std::vector<const ListedServer*> all() const;
  // Increases with each change.
  uint64_t generation() const { return generation_; }

 private:
  struct Entry {
    ListedServer server;
    int64_t revision = 0;
    std::optional<Time> missing_since;
  };
  // Returns whether missing entries may still return: during an outage and for
  // return_grace after it.
  bool ReturnsExpected(Time now) const;
  void MarkMissingOrErase(Time now, const ServerId& server);
  void PutAtRevision(ListedServer server, int64_t revision);
  // Returns whether the entry is of a removed server run that only the older
  // copy still lists.
  bool IsFromOlderCopy(Time now, const ListedServer& server) const;
  void RememberRemoved(const ListedServer& server);

  ListedServersOptions options_;
  absl::flat_hash_map<ServerId, Entry> entries_;
  // The revision of each entry's last removal; older writes don't undo it.
  absl::flat_hash_map<ServerId, int64_t> removed_;
  // When the removed servers had started (started_ms), and until when an older
  // copy may list them.
  absl::flat_hash_map<ServerId, int64_t> removed_starts_;
  std::optional<Time> older_copy_until_;
  bool has_listing_ = false;
  bool unreachable_ = false;
  std::optional<Time> reachable_since_;
  uint64_t generation_ = 0;
};

}  // namespace oleander

#endif  // OLEANDER_LISTED_SERVERS_H_
