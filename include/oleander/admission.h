// Decides whether a request is served now, waits for its turn, or is refused.
//
// A refusal is given at once, says that nothing ran, and names an honest time
// to come back; a request that was queued is refused only when its own deadline
// is out of reach. Workspaces share an instance's capacity by weight and
// max-min fairness: one that stays within its share is never refused because of
// what another asks for. docs/design/admission.md tells how.
#ifndef OLEANDER_ADMISSION_H_
#define OLEANDER_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "oleander/profile.h"
#include "oleander/result_code.h"
#include "oleander/types.h"

namespace oleander {

// Unique in this process; the caller gives it.
using AdmissionId = uint64_t;

struct AdmissionQuery {
  AdmissionId id = 0;
  ServiceId service{};
  WorkspaceId workspace{};
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
  absl::Status status{};  // Of a refusal; carries ran "no" and retry_after.
};

// A queued request whose turn came, or that was given up.
struct AdmissionRelease {
  AdmissionId id = 0;
  absl::Status status{};  // OK: send it now. Else its final answer.
};

struct AdmissionOptions {
  int initial_limit = 64;  // Requests under way of one service.
  int min_limit = 4;
  int max_limit = 4096;
  double grow_step = 1;
  double shrink_factor = 0.85;
  double slow_share = 0.05;  // More answers than this past the target shrink.
  // The part of the first-token target that the engines may use up; the rest is
  // left for waiting here.
  double engine_share = 0.7;
  int window_samples = 20;
  Duration window = std::chrono::seconds(1);
  // A request beyond its workspace's share is queued only where its expected
  // wait is at most this much of what it may wait; later refusals would come
  // too late to be of use.
  double queue_share = 0.2;
  // Room above the limit that only a workspace within its share may use.
  double within_share_headroom = 0.15;
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
  // Requests within their workspace's share that were refused for load; an
  // invariant keeps this at zero.
  uint64_t fairness_violations() const { return fairness_violations_; }
  uint64_t refused() const { return refused_; }

 private:
  struct Service;
  struct Workspace;
  struct Waiting;
  struct Running;

  Service& ServiceOf(Time now, const ServiceId& id);
  const Service* Find(const ServiceId& id) const;
  bool HasCapacity(const Service& service, bool within_share) const;
  void Start(Time now, Service& service, const AdmissionQuery& query);
  void Enqueue(Time now, Service& service, const AdmissionQuery& query,
               bool within_share);
  AdmissionDecision Refuse(Time now, Service& service,
                           const AdmissionQuery& query, ResultCode code,
                           Duration too_late_by);
  void GiveUpLate(Time now, Service& service,
                  std::vector<AdmissionRelease>& out);
  void ReleaseReady(Time now, Service& service,
                    std::vector<AdmissionRelease>& out);
  void GiveUp(Time now, Service& service, const Waiting& waiting,
              std::vector<AdmissionRelease>& out);
  void AdjustLimit(Time now, Service& service);
  static void Withdraw(Service& service, AdmissionId id);
  static Waiting RemoveWaiting(Service& service, Workspace& workspace,
                               std::deque<Waiting>& queue,
                               std::ptrdiff_t position);
  static void DropIdle(Time now, Service& service);

  AdmissionOptions options_;
  uint64_t fairness_violations_ = 0;
  uint64_t refused_ = 0;
  absl::flat_hash_map<ServiceId, std::unique_ptr<Service>> services_;
  absl::flat_hash_map<AdmissionId, Service*> owners_;
};

}  // namespace oleander

#endif  // OLEANDER_ADMISSION_H_
