// Decides whether a request is served now, waits for its turn, or is refused.
//
// A refusal is given as soon as it is certain, says that nothing ran, and names
// an honest time to come back. Workspaces share an instance's capacity by
// weight: one that stays within its share is never refused because of what
// another asks for. docs/design/admission.md tells how.
#ifndef OLEANDER_ADMISSION_H_
#define OLEANDER_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "oleander/profile.h"
#include "oleander/types.h"

namespace oleander {

// Unique in this process; the caller gives it.
using AdmissionId = uint64_t;

struct AdmissionQuery {
  AdmissionId id = 0;
  ServiceId service;
  WorkspaceId workspace;
  Priority priority = Priority::kStandard;
  double share = 1;             // The workspace's weight in the profile.
  Time deadline = Time::max();  // When the caller gives up; max() is never.
  // What the router expects of the best server once the request is sent.
  Duration expected_first_token{};
  // Zero is no target: the request may wait for as long as its deadline lets
  // it.
  Duration first_token_target{};
  double cost_tokens = 1;  // Prompt tokens to compute plus tokens to generate.
  int max_in_flight = 0;   // Of the workspace; zero is no limit.
};

enum class AdmissionKind { kAdmit, kQueue, kRefuse };

struct AdmissionDecision {
  AdmissionKind kind = AdmissionKind::kAdmit;
  absl::Status status;  // Of a refusal; carries ran "no" and retry_after.
};

// A queued request whose turn came, or that was given up.
struct AdmissionRelease {
  AdmissionId id = 0;
  absl::Status status;  // OK: send it now. Else its final answer.
};

struct AdmissionOptions {
  int first_limit = 64;  // Requests under way of one service.
  int min_limit = 4;
  int max_limit = 4096;
  double grow_factor = 1.05;
  double shrink_factor = 0.85;
  double slow_share = 0.05;  // More answers than this past the target shrink.
  int window_samples = 20;
  Duration window = std::chrono::seconds(1);
  // Room above the limit that only a workspace within its share may use.
  double within_share_room = 0.15;
  // A queued request's effective priority rises by one each time this passes,
  // so that long reviews never starve.
  Duration ageing = std::chrono::seconds(20);
  int max_queued = 2000;  // Of one service.
};

struct AdmissionFinish {
  Duration first_token{};  // Since it was admitted; zero where none came.
  bool answered = true;
};

// Example:
//
//   switch (admission.Offer(now, query).kind) {
//     case AdmissionKind::kAdmit: Send(query.id); break;
//     case AdmissionKind::kQueue: break;  // Tick releases it.
//     case AdmissionKind::kRefuse: Answer(query.id, decision.status); break;
//   }
class Admission {
 public:
  explicit Admission(const AdmissionOptions& options = {});
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  AdmissionDecision Offer(Time now, const AdmissionQuery& query);
  // The first token of an admitted request came.
  void OnFirstToken(Time now, AdmissionId id);
  // An admitted request has ended, or a queued one was withdrawn.
  void OnFinished(Time now, AdmissionId id, const AdmissionFinish& finish = {});
  // Releases whatever may go now and gives up what cannot make it any more.
  // Call it after each OnFinished and at least every 50 ms.
  std::vector<AdmissionRelease> Tick(Time now);

  int in_flight(const ServiceId& service) const;
  int queued(const ServiceId& service) const;
  int limit(const ServiceId& service) const;
  // Refusals of a workspace within its share that another's excess caused; an
  // invariant keeps it at zero.
  uint64_t fairness_violations() const { return fairness_violations_; }
  uint64_t refused() const { return refused_; }

 private:
  struct Service;
  struct Workspace;
  struct Waiting;
  struct Running;

  Service& ServiceOf(Time now, const ServiceId& id);
  const Service* Find(const ServiceId& id) const;
  bool WithinShare(const Service& service, const Workspace& workspace,
                   double more_tokens) const;
  double ShareOf(const Service& service, const Workspace& workspace) const;
  Duration ExpectedWait(const Service& service, const Workspace& workspace,
                        const AdmissionQuery& query) const;
  bool HasRoom(const Service& service, bool within_share) const;
  void Start(Time now, Service& service, const AdmissionQuery& query);
  absl::Status Refusal(const AdmissionQuery& query, Duration wait,
                       bool over_share) const;
  void GiveUpLate(Time now, Service& service,
                  std::vector<AdmissionRelease>& out);
  void ReleaseReady(Time now, Service& service,
                    std::vector<AdmissionRelease>& out);
  void AdjustLimit(Time now, Service& service);

  AdmissionOptions options_;
  uint64_t fairness_violations_ = 0;
  uint64_t refused_ = 0;
  absl::flat_hash_map<ServiceId, std::unique_ptr<Service>> services_;
  absl::flat_hash_map<AdmissionId, Service*> owners_;
};

}  // namespace oleander

#endif  // OLEANDER_ADMISSION_H_
