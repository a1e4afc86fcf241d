#include "node/store_gateway.h"

#include <utility>

#include "oleander/result_code.h"

namespace oleander::node {
namespace {

// Returns whether the service did not answer. An error that the service returns
// is an answer.
bool IsUnanswered(const absl::Status& status) {
  const ResultCode code = CodeOf(status);
  return code == ResultCode::kStoreUnavailable ||
         code == ResultCode::kStoreAnswerLost;
}

}  // namespace

template <typename Answer>
bool StoreGateway::TakeBudget(StoreClass store_class, bool write,
                              const Done<Answer>& done) {
  const absl::Status may = budget_.Take(store_class, write, loop_.now());
  if (may.ok()) {
    return true;
  }
  metrics_.CountStoreCall(StoreClassName(store_class), "refused_here");
  loop_.Post([done, may] { done(may); });
  return false;
}

template <typename Answer>
StoreGateway::Done<Answer> StoreGateway::WithCounting(StoreClass store_class,
                                                      Done<Answer> done) {
  return [this, store_class,
          done = std::move(done)](const absl::StatusOr<Answer>& answer) {
    Count(store_class, answer.status());
    done(answer);
  };
}

void StoreGateway::Count(StoreClass store_class, const absl::Status& status) {
  if (IsUnanswered(status)) {
    budget_.OnFailure(loop_.now());
    metrics_.CountStoreCall(StoreClassName(store_class), "no_answer");
    return;
  }
  budget_.OnAnswer(loop_.now());
  metrics_.CountStoreCall(StoreClassName(store_class), "answered");
}

void StoreGateway::Range(StoreClass store_class, const StoreRange& request,
                         Done<StoreRangeAnswer> done) {
  if (TakeBudget(store_class, /*write=*/false, done)) {
    client_.Range(request, WithCounting(store_class, std::move(done)));
  }
}

void StoreGateway::Cas(StoreClass store_class, const StoreCas& request,
                       Done<StoreCasAnswer> done) {
  if (TakeBudget(store_class, /*write=*/true, done)) {
    client_.Cas(request, WithCounting(store_class, std::move(done)));
  }
}

void StoreGateway::LeaseGrant(StoreClass store_class,
                              const StoreLeaseGrant& request,
                              Done<StoreLeaseAnswer> done) {
  if (TakeBudget(store_class, /*write=*/true, done)) {
    client_.LeaseGrant(request, WithCounting(store_class, std::move(done)));
  }
}

void StoreGateway::LeaseKeepAlive(StoreClass store_class,
                                  const StoreLeaseKeepAlive& request,
                                  Done<StoreLeaseAnswer> done) {
  if (TakeBudget(store_class, /*write=*/true, done)) {
    client_.LeaseKeepAlive(request, WithCounting(store_class, std::move(done)));
  }
}

void StoreGateway::LeaseRevoke(StoreClass store_class,
                               const StoreLeaseRevoke& request,
                               Done<StoreLeaseAnswer> done) {
  if (TakeBudget(store_class, /*write=*/true, done)) {
    client_.LeaseRevoke(request, WithCounting(store_class, std::move(done)));
  }
}

void StoreGateway::Watch(const std::string& owner, StoreClass store_class,
                         const StoreWatch& request,
                         Done<StoreWatchEvents> done) {
  watches_.erase(owner);
  if (TakeBudget(store_class, /*write=*/false, done)) {
    watches_[owner] =
        client_.Watch(request, WithCounting(store_class, std::move(done)));
  }
}

}  // namespace oleander::node
