// What the parts ask of the platform's key-value service, and what it answers.
//
// A part emits these requests as actions, each with a call number of its own;
// the io layer carries them out and hands the answer back under that number. A
// write whose answer was lost comes back as kStoreAnswerLost: it may or may not
// have taken effect, and the part that sent it settles which.
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

// Chosen by the part that asks; unique within it.
using StoreCall = uint64_t;
// A lease of the key-value service; zero is none.
using StoreLeaseId = int64_t;

// One key with its value and the service's own counters.
struct StoreEntry {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;  // Writes since the key was created.
  StoreLeaseId lease = 0;

  bool operator==(const StoreEntry&) const = default;
};

// Reads one key, or every key that starts with it.
struct StoreRange {
  StoreCall call = 0;
  std::string key;
  bool prefix = false;
};

// Holds where the key's mod_revision is this one; zero: the key doesn't exist.
struct StoreCompare {
  std::string key;
  int64_t mod_revision = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  StoreLeaseId lease = 0;
};

// One transaction: writes all of `puts` and deletes where every comparison
// holds; else reads the compared keys.
struct StoreCas {
  StoreCall call = 0;
  std::vector<StoreCompare> compares;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;
};

// Streams changes of every key that starts with `prefix` from `from_revision`
// on. One watch runs per part; a new one replaces it.
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

// The answer to a StoreRange.
struct StoreRangeAnswer {
  int64_t revision = 0;  // Of the whole store when it answered.
  std::vector<StoreEntry> entries;
};

// The answer to a StoreCas.
struct StoreCasAnswer {
  bool succeeded = false;
  int64_t revision = 0;             // What the puts carry, where it succeeded.
  std::vector<StoreEntry> current;  // The compared keys, where it failed.
};

// A piece of a watch's stream. A watch that ends comes as a status:
// kStoreRevisionCompacted or kStoreUnavailable.
struct StoreWatchEvents {
  int64_t revision = 0;
  std::vector<StoreEntry> puts;
  std::vector<std::string> deletes;
};

// The answer to a grant or keep-alive; a ttl of zero: the lease has lapsed.
struct StoreLeaseAnswer {
  StoreLeaseId lease = 0;
  Duration ttl{};
};

}  // namespace oleander

#endif  // OLEANDER_STORE_H_
