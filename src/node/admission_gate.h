// Admission control with callbacks: notifies each request when it is admitted
// or rejected.
#ifndef OLEANDER_NODE_ADMISSION_GATE_H_
#define OLEANDER_NODE_ADMISSION_GATE_H_

#include <functional>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "oleander/admission.h"
#include "oleander/types.h"

namespace oleander::node {

class AdmissionGate {
 public:
  // Receives OK when the request is admitted, or else the error that ends it.
  using Decision = std::function<void(absl::Status)>;

  AdmissionGate() = default;

  // Calls `decision` once, either before this function returns or later, unless
  // the request is withdrawn first. Sets `query.id` and returns it; the id is
  // valid until Finish() or Withdraw().
  AdmissionId Offer(Time now, AdmissionQuery query, Decision decision);
  void OnFirstToken(Time now, AdmissionId id);
  // Records that an admitted request has ended and frees its capacity.
  void Finish(Time now, AdmissionId id, const AdmissionFinish& finish);
  // Removes a request that is waiting or admitted. Its callback is not called
  // any more.
  void Withdraw(Time now, AdmissionId id);
  void Tick(Time now);

  const Admission& admission() const { return admission_; }

 private:
  Admission admission_;
  AdmissionId next_id_ = 1;
  absl::flat_hash_map<AdmissionId, Decision> waiting_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_ADMISSION_GATE_H_
