// The key-value service that the platform runs, as this program needs it.
#ifndef OLEANDER_PORTS_STORE_PORT_H_
#define OLEANDER_PORTS_STORE_PORT_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander::ports {

// One change of one key.
struct StoreChange {
  StoreEntry entry;  // Of a removed key: its name and mod_revision only.
  bool removed = false;
};

// What changed under a prefix since a revision, oldest first.
struct StoreChanges {
  int64_t revision = 0;  // Where the next question goes on.
  std::vector<StoreChange> changes;
};

// Which changes to wait for.
struct StoreWait {
  std::string prefix;
  int64_t after_revision = 0;
  Duration max_wait{};  // Answered without changes after this time.
};

// Called with the era that an answer of the store names, before the answer is
// passed on; false: the answer is of an older era and counts as lost.
using EraObserver = std::function<bool(int64_t era)>;

// Each call answers later, exactly once, never before it returns. Errors:
// kStoreUnavailable where nothing was done, kStoreAnswerLost where a write may
// have taken effect or still may, kStoreRevisionCompacted from Wait(),
// kBadAnswer where the answer can't be read.
class StorePort {
 public:
  template <typename Answer>
  using Done = std::function<void(const absl::StatusOr<Answer>&)>;

  virtual ~StorePort() = default;

  // Linearizable; a prefix is read page by page until its end.
  virtual void Range(const StoreRange& request,
                     Done<StoreRangeAnswer> done) = 0;
  virtual void Wait(const StoreWait& request, Done<StoreChanges> done) = 0;
  virtual void Cas(const StoreCas& request, Done<StoreCasAnswer> done) = 0;
  virtual void LeaseGrant(const StoreLeaseGrant& request,
                          Done<StoreLeaseAnswer> done) = 0;
  virtual void LeaseKeepAlive(const StoreLeaseKeepAlive& request,
                              Done<StoreLeaseAnswer> done) = 0;
  virtual void LeaseRevoke(const StoreLeaseRevoke& request,
                           Done<StoreLeaseAnswer> done) = 0;
};

}  // namespace oleander::ports

#endif  // OLEANDER_PORTS_STORE_PORT_H_
