// Requests to the platform's key-value service, and its replies.
//
// A part emits requests as actions, each with a call number; the io layer
// executes them and passes the reply back with that number. A write whose reply
// was lost ends with kStoreAnswerLost: it may or may not have taken effect, and
// the part that sent it has to find out.
#ifndef OLEANDER_STORE_H_
#define OLEANDER_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/types.h"

namespace oleander {

// A call number, chosen by the part that sends the request; unique within it.
using StoreCall = uint64_t;
// A lease of the key-value service; zero means no lease.
using StoreLeaseId = int64_t;

// One key with its value and the service's own counters.
struct StoreEntry {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;  // The number of writes since the key was created.
  StoreLeaseId lease = 0;

  bool operator==(const StoreEntry&) const = default;
};

// Reads one key, or every key that starts with it.
struct StoreRange {
  StoreCall call = 0;
  std::string key;
  bool prefix = false;
  size_t max_bytes = 0;  // Of the reply; 0: any. Not for a prefix.
};

// True if the key has this mod_revision; zero means that the key doesn't exist.
struct StoreCompare {
  std::string key;
  int64_t mod_revision = 0;
};

// A write of one key. A key with a lease is deleted when the lease ends.
struct StorePut {
  std::string key;
  std::string value;
  StoreLeaseId lease = 0;
};

// One transaction: if every comparison is true, applies all of `puts` and
// `deletes`; else reads the compared keys.
struct StoreCas {
  StoreCall call = 0;
  std::vector<StoreCompare> compares;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;
};

// Streams the changes of every key that starts with `prefix`, beginning with
// `from_revision`. A part has one watch; a new watch replaces it.
struct StoreWatch {
  StoreCall call = 0;
  std::string prefix;
  int64_t from_revision = 0;
};
struct StoreCancelWatch {
  StoreCall call = 0;
};

struct StoreLeaseGrant {
  StoreCall call = 0;
  Duration ttl{};
};
struct StoreLeaseKeepAlive {
  StoreCall call = 0;
  StoreLeaseId lease = 0;
};
struct StoreLeaseRevoke {
  StoreCall call = 0;
  StoreLeaseId lease = 0;
};

using StoreRequest =
    std::variant<StoreRange, StoreCas, StoreWatch, StoreCancelWatch,
                 StoreLeaseGrant, StoreLeaseKeepAlive, StoreLeaseRevoke>;

// The reply to a StoreRange.
struct StoreRangeAnswer {
  int64_t revision = 0;  // Revision of the whole store at the read.
  std::vector<StoreEntry> entries;
  bool too_large = false;  // The reply had more than max_bytes.
};

// The reply to a StoreCas.
struct StoreCasAnswer {
  bool succeeded = false;
  int64_t revision = 0;             // Revision of the puts, on success.
  std::vector<StoreEntry> current;  // The compared keys, if it failed.
};

// A batch of changes from a watch. The end of a watch is reported as a status:
// kStoreRevisionCompacted or kStoreUnavailable.
struct StoreWatchEvents {
  int64_t revision = 0;
  std::vector<StoreEntry> puts;
  std::vector<std::string> deletes;
};

// The reply to a grant or keep-alive. A ttl of zero means that the lease has
// expired.
struct StoreLeaseAnswer {
  StoreLeaseId lease = 0;
  Duration ttl{};
};

}  // namespace oleander

#endif  // OLEANDER_STORE_H_
