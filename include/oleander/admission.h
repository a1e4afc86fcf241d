// Decides whether a request is served now, is queued, or is refused.
//
// A refusal is returned at once, states that nothing ran, and carries a
// realistic time to retry. A queued request is refused only when its own
// deadline can no longer be met. Workspaces share the capacity of an instance
// by weighted max-min fairness: a workspace that stays within its share is
// never refused because of another one's load. docs/design/admission.md
// describes the algorithm.
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

// Unique in this process; chosen by the caller.
using AdmissionId = uint64_t;

struct AdmissionQuery {
  AdmissionId id = 0;
  ServiceId service{};
  WorkspaceId workspace{};
  Priority priority = Priority::kStandard;
  double share = 1;             // The workspace's weight in the profile.
  Time deadline = Time::max();  // The caller's deadline; max() is none.
  // The time to the first token that the router expects from the best server
  // once the request is sent.
  Duration expected_first_token{};
  // Zero is no target: the request may wait until its deadline.
  Duration first_token_target{};
  double cost_tokens = 1;  // Prompt tokens to compute plus tokens to generate.
  int max_in_flight = 0;   // Limit of the workspace; zero is no limit.
};

enum class AdmissionKind { kAdmit, kQueue, kRefuse };

struct AdmissionDecision {
  AdmissionKind kind = AdmissionKind::kAdmit;
  absl::Status status{};  // For a refusal: carries ran "no" and retry_after.
};

// A queued request that leaves the queue, because it may be sent or because its
// deadline can't be met.
struct AdmissionRelease {
  AdmissionId id = 0;
  absl::Status status{};  // OK: send it now. Else its final result.
};

struct AdmissionOptions {
  int initial_limit = 64;  // Requests in flight of one service.
  int min_limit = 4;
  int max_limit = 4096;
  double grow_step = 1;
  double shrink_factor = 0.85;
  // The limit shrinks when more than this fraction of the first tokens is late.
  double slow_share = 0.05;
  // The fraction of the first-token target that the engines may use; the rest
  // is left for waiting here. A first token is late beyond that fraction.
  double engine_share = 0.7;
  int window_samples = 20;
  Duration window = std::chrono::seconds(1);
  // A request beyond its workspace's share is queued only if its expected wait
  // is at most this fraction of the wait that it allows; a refusal that arrives
  // later is of little use to its caller.
  double queue_share = 0.2;
  // Capacity above the limit, as a fraction of it, for workspaces within their
  // share only.
  double within_share_headroom = 0.15;
  // The effective priority of a queued request rises by one each time this
  // passes, so that low-priority work such as long reviews never starves.
  Duration ageing = std::chrono::seconds(20);
  int max_queued = 2000;  // Limit per service.
};

struct AdmissionFinish {
  Duration first_token{};  // Since admission; zero if none arrived.
  bool answered = true;
};

// Example:
//
//   switch (admission.Offer(now, query).kind) {
//     case AdmissionKind::kAdmit: Send(query.id); break;
//     case AdmissionKind::kQueue: break;  // Tick returns it later.
//     case AdmissionKind::kRefuse: Answer(query.id, decision.status); break;
//   }
class Admission {
 public:
  explicit Admission(const AdmissionOptions& options = {});
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // Decides on a new request; a refusal carries the time to retry.
  AdmissionDecision Offer(Time now, const AdmissionQuery& query);
  // Records that the first token of an admitted request arrived.
  void OnFirstToken(Time now, AdmissionId id);
  // Records that an admitted request ended, or withdraws a queued one.
  void OnFinished(Time now, AdmissionId id, const AdmissionFinish& finish = {});
  // Returns the queued requests that may be sent now, and those whose deadline
  // can no longer be met. Call it after each OnFinished, and at least every
  // 50 ms.
  std::vector<AdmissionRelease> Tick(Time now);

  int in_flight(const ServiceId& service) const;
  int queued(const ServiceId& service) const;
  int limit(const ServiceId& service) const;
  // The number of requests within their workspace's share that were refused for
  // load; an invariant keeps it at zero.
  uint64_t fairness_violations() const { return fairness_violations_; }
  uint64_t refused() const { return refused_; }

 private:
  struct Service;
  struct Workspace;
  struct Waiting;
  struct Running;

  Service& ServiceOf(Time now, const ServiceId& id);
  const Service* Find(const ServiceId& id) const;
  // Returns whether another request may be in flight.
  bool HasCapacity(const Service& service, bool within_share) const;
  void Start(Time now, Service& service, const AdmissionQuery& query);
  void Enqueue(Time now, Service& service, const AdmissionQuery& query,
               bool within_share);
  // Returns a refusal with the next free retry time of the workspace.
  AdmissionDecision Refuse(Time now, Service& service,
                           const AdmissionQuery& query, ResultCode code,
                           Duration too_late_by);
  // Refuses queued requests whose deadline can't be met.
  void GiveUpLate(Time now, Service& service,
                  std::vector<AdmissionRelease>& out);
  // Admits queued requests while there is capacity, by effective priority and
  // then by the order of the fair queue.
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
