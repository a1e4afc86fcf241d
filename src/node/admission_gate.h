// Admission with callbacks: tells each request when it may go, or why not.
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
  // OK: the request may go now. Else its final answer.
  using Decision = std::function<void(absl::Status)>;

  AdmissionGate() = default;

  // Calls `decision` once, now or later, unless the request is withdrawn
  // before. `query.id` is filled in; the returned id names the request until
  // Finish() or Withdraw().
  AdmissionId Offer(Time now, AdmissionQuery query, Decision decision);
  void OnFirstToken(Time now, AdmissionId id);
  // An admitted request has ended.
  void Finish(Time now, AdmissionId id, const AdmissionFinish& finish);
  // The request is no longer wanted, whether it waits or was admitted.
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
