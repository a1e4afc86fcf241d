// Which software versions of each service may have begun the streams that are
// open now.
//
// What servers of two versions write doesn't fit together, so a stream that
// broke off may go on only at the version that began it. While only one version
// of a service has been listed for as long as a stream may last, that is the
// version. Otherwise the version of each stream has to be known, see
// stream_origins.h.
//
// The versions are kept in the key-value service, so that instances that all
// start anew know of one that has just left. The part sends requests as
// actions; the owner executes them and passes the answers back.
//
// An instance's list of servers may be old. So streams begin at a version only
// once it is stored, and the only version is believed only after the stored
// versions were read.
//
//   history.OnServers(now, listed.all());
//   if (history.IsStored(service, version)) { /* streams may begin at it */ }
//   history.OnConfirmed(now, wall_now, answer);  // Read just now.
//   if (const auto only = history.OnlyVersion(now, service)) { ... }
//
// Designed for releases during which all instances are killed at once, or some
// are cut off or stand still.
#ifndef OLEANDER_VERSION_HISTORY_H_
#define OLEANDER_VERSION_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/listed_servers.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander {

struct VersionHistoryOptions {
  std::string key = "/oleander/versions";
  // The longest time from a stream's first event to its end, with all further
  // attempts of its caller.
  Duration stream_lifetime = std::chrono::seconds(30);
  // Instances that learn of a change write it at different moments within this
  // time. All but the first find it written.
  Duration write_spread = std::chrono::milliseconds(1000);
  Duration retry_interval = std::chrono::milliseconds(2000);
};

class VersionHistory {
 public:
  VersionHistory(VersionHistoryOptions options, uint64_t seed)
      : options_(std::move(options)), gen_(seed) {}

  // Takes the servers of all services as they are listed now.
  void OnServers(Time now, const std::vector<const ListedServer*>& servers);
  // The store was restored from an older copy.
  void OnNewEra(Time now);

  // Takes the stored versions from a read of `key()` by the owner.
  void OnConfirmed(Time now, WallTime wall_now, const StoreRangeAnswer& answer);
  const std::string& key() const { return options_.key; }

  // Returns the version that began every stream of the service that is open
  // now, or nothing if there may be several. It holds for streams that began
  // before the last OnConfirmed().
  std::optional<std::string> OnlyVersion(Time now,
                                         const ServiceId& service) const;
  // Returns whether the version is stored as listed, so that an instance whose
  // list lacks it finds it there.
  bool IsStored(const ServiceId& service, const std::string& version) const;
  // Returns whether a server of this version is listed here.
  bool IsListed(const ServiceId& service, const std::string& version) const;

  // Starts a read or write that is due.
  void Tick(Time now);
  // Returns when to call Tick() next, or Time::max().
  Time next_due() const { return due_; }
  // Returns the requests since the last call; at most one is open at a time.
  std::vector<StoreRequest> TakeActions();
  void OnRange(Time now, WallTime wall_now,
               const absl::StatusOr<StoreRangeAnswer>& answer);
  void OnCas(Time now, const absl::StatusOr<StoreCasAnswer>& answer);

 private:
  // When a version was last listed; nothing while it is listed.
  using Versions = std::map<std::string, std::optional<Time>>;
  // The same as stored: Unix milliseconds, 0 while listed.
  using Stored = std::map<std::string, std::map<std::string, int64_t>>;

  bool MayHaveStreams(Time now, const std::optional<Time>& ended) const {
    return !ended || now - *ended < options_.stream_lifetime;
  }
  static Stored Parse(const std::string& text);
  void Merge(Time now, WallTime wall_now, const Stored& stored);
  Stored Encode(Time now, WallTime wall_now) const;
  // Returns whether the store lacks something that is known here.
  static bool Differs(const Stored& known, const Stored& stored);
  void WriteWithin(Time now, Duration bound);

  VersionHistoryOptions options_;
  std::mt19937_64 gen_;
  std::map<ServiceId, Versions> services_;
  Stored stored_;   // As last read or written.
  Stored written_;  // By the open request, if it succeeds.
  bool has_servers_ = false;
  bool loaded_ = false;   // The stored versions were read once.
  bool busy_ = false;     // A request is open.
  bool changed_ = false;  // Since the request was sent.
  Time due_ = Time::max();
  std::vector<StoreRequest> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_VERSION_HISTORY_H_
