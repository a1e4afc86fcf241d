// Interface to the key-value service of the platform.
#ifndef OLEANDER_PORTS_STORE_PORT_H_
#define OLEANDER_PORTS_STORE_PORT_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "oleander/store.h"
#include "oleander/types.h"

namespace oleander::ports {

// One change of a key.
struct StoreChange {
  StoreEntry entry;  // Only key and mod_revision if removed.
  bool removed = false;
};

// The changes under a prefix after a revision, oldest first.
struct StoreChanges {
  int64_t revision = 0;  // The next Wait() continues from here.
  std::vector<StoreChange> changes;
};

// A request to wait for changes after a revision.
struct StoreWait {
  std::string prefix;
  int64_t after_revision = 0;
  Duration max_wait{};  // Without a change, the answer comes after this time.
};

// Called with the era that a response of the store names, before the response
// is passed on. Returns false if the response is of an older era; it then
// counts as lost. An era is one generation of the content of the store.
using EraObserver = std::function<bool(int64_t era)>;

// Each call calls back exactly once, never before it returns. Errors:
// kStoreUnavailable if nothing was changed, kStoreAnswerLost if a write may
// have taken effect or still may, kStoreRevisionCompacted from Wait(),
// kBadAnswer if the response cannot be parsed.
class StorePort {
 public:
  template <typename Answer>
  using Done = std::function<void(const absl::StatusOr<Answer>&)>;

  virtual ~StorePort() = default;

  // Linearizable. A prefix is read page by page to its end.
  virtual void Range(const StoreRange& request,
                     Done<StoreRangeAnswer> done) = 0;
  // Answers as soon as there are changes, or without changes after max_wait.
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
