// The way of every part to the key-value service: the budget first, then the
// call, and a word to the budget about how it went.
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

  // Each answers later, never before it returns. Without budget the answer is
  // kStoreBudgetSpent or kStoreUnavailable with ran "no".
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
  // One watch per `owner`; a new one replaces it.
  void Watch(const std::string& owner, StoreClass store_class,
             const StoreWatch& request, Done<StoreWatchEvents> done);
  void CancelWatch(const std::string& owner) { watches_.erase(owner); }

  const StoreBudget& budget() const { return budget_; }

 private:
  // Takes the budget; where there is none, posts the refusal and returns false.
  template <typename Answer>
  bool TakeBudget(StoreClass store_class, bool write, const Done<Answer>& done);
  // Reports to the budget and the metrics, then passes the answer on.
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
