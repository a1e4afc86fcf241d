#include "node/admission_gate.h"

#include <utility>

namespace oleander::node {

AdmissionId AdmissionGate::Offer(Time now, AdmissionQuery query,
                                 Decision decision) {
  const AdmissionId id = next_id_++;
  query.id = id;
  const AdmissionDecision decided = admission_.Offer(now, query);
  switch (decided.kind) {
    case AdmissionKind::kAdmit:
      decision(absl::OkStatus());
      break;
    case AdmissionKind::kQueue:
      waiting_.insert_or_assign(id, std::move(decision));
      break;
    case AdmissionKind::kRefuse:
      decision(decided.status);
      break;
  }
  return id;
}

void AdmissionGate::OnFirstToken(Time now, AdmissionId id) {
  admission_.OnFirstToken(now, id);
}

void AdmissionGate::Finish(Time now, AdmissionId id,
                           const AdmissionFinish& finish) {
  admission_.OnFinished(now, id, finish);
  Tick(now);
}

void AdmissionGate::Withdraw(Time now, AdmissionId id) {
  waiting_.erase(id);
  admission_.OnFinished(now, id, {.first_token = {}, .answered = false});
}

void AdmissionGate::Tick(Time now) {
  for (const AdmissionRelease& release : admission_.Tick(now)) {
    const auto found = waiting_.find(release.id);
    if (found == waiting_.end()) {
      continue;
    }
    const Decision decision = std::move(found->second);
    waiting_.erase(found);
    decision(release.status);
  }
}

}  // namespace oleander::node
