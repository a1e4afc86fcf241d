// Makes all calls to the key-value service. Each call first takes budget, and
// its result is reported to the budget, which limits the rate and stops calls
// while the service is unavailable.
#ifndef OLEANDER_NODE_STORE_GATEWAY_H_
#define OLEANDER_NODE_STORE_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "io/event_loop.h"
#include "io/kv_client.h"
#include "node/metrics.h"
#include "oleander/store.h"
#include "oleander/store_budget.h"

namespace oleander::node {

class StoreGateway {
 public:
  template <typename Answer>
  using Done = std::function<void(const absl::StatusOr<Answer>&)>;

  StoreGateway(io::EventLoop& loop, io::KvClient& client, StoreBudget& budget,
               Metrics& metrics)
      : loop_(loop), client_(client), budget_(budget), metrics_(metrics) {}

  // Each function calls `done` after it has returned, never before. Without
  // budget the result is kStoreBudgetSpent or kStoreUnavailable, with Ran::kNo.
  void Range(StoreClass store_class, const StoreRange& request,
             Done<StoreRangeAnswer> done);
  void Cas(StoreClass store_class, const StoreCas& request,
           Done<StoreCasAnswer> done);
  void LeaseGrant(StoreClass store_class, const StoreLeaseGrant& request,
                  Done<StoreLeaseAnswer> done);
  void LeaseKeepAlive(StoreClass store_class,
                      const StoreLeaseKeepAlive& request,
                      Done<StoreLeaseAnswer> done);
  void LeaseRevoke(StoreClass store_class, const StoreLeaseRevoke& request,
                   Done<StoreLeaseAnswer> done);
  // Starts a watch. Each `owner` has one watch; a new watch replaces the old.
  void Watch(const std::string& owner, StoreClass store_class,
             const StoreWatch& request, Done<StoreWatchEvents> done);
  void CancelWatch(const std::string& owner) { watches_.erase(owner); }

  const StoreBudget& budget() const { return budget_; }

 private:
  // Takes budget for one call. If there is none, posts the error to `done` and
  // returns false.
  template <typename Answer>
  bool TakeBudget(StoreClass store_class, bool write, const Done<Answer>& done);
  // Returns a callback that reports the result to the budget and the metrics
  // and then calls `done`.
  template <typename Answer>
  Done<Answer> WithCounting(StoreClass store_class, Done<Answer> done);
  void Count(StoreClass store_class, const absl::Status& status);

  io::EventLoop& loop_;
  io::KvClient& client_;
  StoreBudget& budget_;
  Metrics& metrics_;
  absl::flat_hash_map<std::string, std::unique_ptr<io::KvWatch>> watches_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_STORE_GATEWAY_H_
