#include "oleander/admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <limits>
#include <numbers>
#include <utility>

#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr int kPriorities = 3;
constexpr double kAverageWeight = 0.05;    // Weight of a new sample.
constexpr Seconds kInitialServiceTime{2};  // Until answers were measured.
// The half-life of a workspace's average load. Bursts that are shorter than
// this don't count as excess.
constexpr Seconds kOfferHalfLife{5};
constexpr double kRateOfSum = std::numbers::ln2 / kOfferHalfLife.count();
constexpr int kBurstQueue = 1;
constexpr Duration kIdleWorkspaceRetention = std::chrono::minutes(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::minutes(5);
// A queued request is refused when its estimated wait exceeds its remaining
// time by this factor: estimates fluctuate, and a refusal is final.
constexpr double kEstimateSlack = 1.25;
// The limit is raised only if the requests in flight reached this fraction of
// it.
constexpr double kBusyShare = 0.9;

Duration ToDuration(Seconds seconds) {
  return std::chrono::duration_cast<Duration>(seconds);
}

// Returns how long a request may wait here: until its target or its deadline,
// whichever is earlier, less the time that the engine takes.
Duration WaitAllowed(const AdmissionQuery& query, Time offered) {
  Duration allowed = Duration::max();
  if (query.first_token_target > Duration::zero()) {
    allowed = query.first_token_target - query.expected_first_token;
  }
  if (query.deadline != Time::max()) {
    allowed = std::min(allowed,
                       query.deadline - offered - query.expected_first_token);
  }
  return allowed;
}

}  // namespace

struct Admission::Running {
  WorkspaceId workspace;
  double cost_tokens = 1;
  Time since{};
  Duration target{};
  bool measured = false;
};

struct Admission::Waiting {
  AdmissionQuery query;
  Time offered{};
  // Start tag in the fair queue's virtual time, in tokens per unit of share.
  double start_tag = 0;
  // Within its workspace's share on arrival: never refused for load.
  bool within_share = false;
};

struct Admission::Workspace {
  double share = 1;
  double offered_tokens = 0;  // Decayed sum; halves every kOfferHalfLife.
  Time offered_at{};
  int in_flight = 0;
  double in_flight_tokens = 0;
  double queued_tokens = 0;
  double finish_tag = 0;
  // Retry times of refused requests have been assigned up to this time.
  Time promised_until{};
  std::array<std::deque<Waiting>, kPriorities> queues;

  int queued() const {
    size_t sum = 0;
    for (const auto& queue : queues) sum += queue.size();
    return static_cast<int>(sum);
  }
  bool active() const { return in_flight > 0 || queued() > 0; }

  void Offered(Time now, double tokens) {
    offered_tokens = OfferedRate(now) / kRateOfSum + tokens;
    offered_at = now;
  }
  // Returns the tokens per second that the workspace offered, refused requests
  // included.
  double OfferedRate(Time now) const {
    const double half_lives = (now - offered_at) / kOfferHalfLife;
    return kRateOfSum * offered_tokens * std::exp2(-half_lives);
  }
};

struct Admission::Service {
  double limit = 0;
  int in_flight = 0;
  int queued = 0;
  double queued_tokens = 0;
  double virtual_time = 0;
  double mean_cost = 1;
  bool cost_known = false;
  Seconds mean_service_time = kInitialServiceTime;
  absl::flat_hash_map<AdmissionId, Running> running;
  std::map<WorkspaceId, Workspace> workspaces;
  // Measurements in the current window of the adaptive limit.
  Time window_since{};
  int samples = 0;
  int slow_samples = 0;
  int most_in_flight = 0;

  // Returns the max-min fair level in tokens per second and unit of share: a
  // workspace that offers less gets all of it, and the others get this much
  // each. Infinite if the capacity covers everything.
  double FairLevel(Time now) const {
    // For each workspace: its demand per unit of share, and its share.
    std::vector<std::pair<double, double>> demands;
    double shares = 0;
    for (const auto& [id, workspace] : workspaces) {
      demands.emplace_back(workspace.OfferedRate(now) / workspace.share,
                           workspace.share);
      shares += workspace.share;
    }
    std::ranges::sort(demands);
    double left = TokensPerSecond();
    for (const auto& [demand, share] : demands) {
      if (demand * shares > left) return left / shares;
      left -= demand * share;
      shares -= share;
    }
    return std::numeric_limits<double>::infinity();
  }

  // Returns the fraction of the capacity that the workspace gets while others
  // offer more than their shares.
  double Fraction(Time now, const Workspace& workspace) const {
    return std::min(1.0, FairLevel(now) * workspace.share / TokensPerSecond());
  }

  // Arrivals are random, so a workspace with a queue of at most kBurstQueue may
  // exceed its level by about one standard deviation of a caller with a
  // constant rate.
  bool WithinShare(Time now, const Workspace& workspace) const {
    const double level = FairLevel(now) * workspace.share;
    const double burst = workspace.queued() <= kBurstQueue
                             ? std::sqrt(level * mean_cost * kRateOfSum)
                             : 0;
    return workspace.OfferedRate(now) <= level + burst;
  }

  // Returns the throughput at the limit by Little's law: the tokens in flight
  // divided by the mean service time.
  double TokensPerSecond() const {
    return std::max(limit * mean_cost / mean_service_time.count(), 1e-3);
  }

  // Returns the time until `tokens` of the workspace, queued one after another,
  // have been admitted.
  Seconds WaitFor(Time now, const Workspace& workspace, double tokens) const {
    const double rate = TokensPerSecond();
    const double by_share = tokens / (rate * Fraction(now, workspace));
    const double by_all =
        (queued_tokens - workspace.queued_tokens + tokens) / rate;
    const double next_end = mean_service_time.count() / std::max(limit, 1.0);
    return Seconds(std::min(by_share, by_all) + next_end);
  }
};

Admission::Admission(const AdmissionOptions& options) : options_(options) {}

Admission::~Admission() = default;

Admission::Service& Admission::ServiceOf(Time now, const ServiceId& id) {
  std::unique_ptr<Service>& service = services_[id];
  if (!service) {
    service = std::make_unique<Service>();
    service->limit = options_.initial_limit;
    service->window_since = now;
  }
  return *service;
}

const Admission::Service* Admission::Find(const ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second.get();
}

AdmissionDecision Admission::Offer(Time now, const AdmissionQuery& query) {
  Service& service = ServiceOf(now, query.service);
  Workspace& workspace = service.workspaces[query.workspace];
  workspace.share = std::max(query.share, 1e-3);
  workspace.Offered(now, query.cost_tokens);
  if (query.max_in_flight > 0 &&
      workspace.in_flight + workspace.queued() >= query.max_in_flight) {
    return Refuse(now, service, query, ResultCode::kWorkspaceOverShare,
                  Duration::zero());
  }
  // The engine alone takes longer than the caller waits, so queueing can't
  // help.
  if (query.deadline != Time::max() &&
      now + query.expected_first_token > query.deadline) {
    return Refuse(now, service, query, ResultCode::kDeadlineUnreachable,
                  now + query.expected_first_token - query.deadline);
  }
  const bool within_share = service.WithinShare(now, workspace);
  const bool first_in_line = within_share || service.queued == 0;
  if (first_in_line && workspace.queued() == 0 &&
      HasCapacity(service, within_share)) {
    Start(now, service, query);
    return {.kind = AdmissionKind::kAdmit, .status = absl::OkStatus()};
  }
  if (!within_share) {
    const Duration wait = ToDuration(service.WaitFor(
        now, workspace, workspace.queued_tokens + query.cost_tokens));
    const Duration allowed = WaitAllowed(query, now);
    if (Seconds(wait) > options_.queue_share * Seconds(allowed)) {
      return Refuse(now, service, query, ResultCode::kOverloaded,
                    std::max(wait - allowed, Duration::zero()));
    }
    if (service.queued >= options_.max_queued) {
      return Refuse(now, service, query, ResultCode::kOverloaded, wait);
    }
  }
  Enqueue(now, service, query, within_share);
  return {.kind = AdmissionKind::kQueue, .status = absl::OkStatus()};
}

bool Admission::HasCapacity(const Service& service, bool within_share) const {
  const double factor = within_share ? 1 + options_.within_share_headroom : 1;
  return service.in_flight < std::max(1.0, std::floor(service.limit * factor));
}

void Admission::Start(Time now, Service& service, const AdmissionQuery& query) {
  Workspace& workspace = service.workspaces[query.workspace];
  const auto [owner, added] = owners_.try_emplace(query.id, &service);
  if (!CheckInvariant(added, "admitted_once", [&] {
        return fmt::format("Request {} was admitted twice.", query.id);
      })) {
    return;
  }
  service.running[query.id] = {.workspace = query.workspace,
                               .cost_tokens = query.cost_tokens,
                               .since = now,
                               .target = query.first_token_target};
  ++service.in_flight;
  ++workspace.in_flight;
  workspace.in_flight_tokens += query.cost_tokens;
  service.most_in_flight = std::max(service.most_in_flight, service.in_flight);
  if (!service.cost_known) service.mean_cost = query.cost_tokens;
  service.cost_known = true;
  service.mean_cost += kAverageWeight * (query.cost_tokens - service.mean_cost);
}

void Admission::Enqueue(Time now, Service& service, const AdmissionQuery& query,
                        bool within_share) {
  Workspace& workspace = service.workspaces[query.workspace];
  const double start = std::max(service.virtual_time, workspace.finish_tag);
  workspace.finish_tag = start + query.cost_tokens / workspace.share;
  workspace.queued_tokens += query.cost_tokens;
  service.queued_tokens += query.cost_tokens;
  ++service.queued;
  owners_[query.id] = &service;
  workspace.queues[static_cast<size_t>(query.priority)].push_back(
      {query, now, start, within_share});
}

AdmissionDecision Admission::Refuse(Time now, Service& service,
                                    const AdmissionQuery& query,
                                    ResultCode code, Duration too_late_by) {
  ++refused_;
  Workspace& workspace = service.workspaces[query.workspace];
  const bool fair =
      code != ResultCode::kOverloaded || !service.WithinShare(now, workspace);
  if (!fair) ++fairness_violations_;
  CheckInvariant(fair, "share_respected", [&] {
    return fmt::format(
        "Request {} of workspace {} was within its share and was refused.",
        query.id, query.workspace.value());
  });
  // Callers that are refused together get retry times one after the other, at
  // the rate at which the workspace is served.
  const Seconds slot(query.cost_tokens / (service.TokensPerSecond() *
                                          service.Fraction(now, workspace)));
  workspace.promised_until =
      std::max(workspace.promised_until, now + too_late_by) + ToDuration(slot);
  const Duration retry_after = std::clamp(workspace.promised_until - now,
                                          kMinRetryAfter, kMaxRetryAfter);
  std::string message = fmt::format(
      "Service {} has {} requests in flight, at most {}, and {} queued; "
      "request {} of workspace {} would be {} ms late.",
      query.service.value(), service.in_flight, static_cast<int>(service.limit),
      service.queued, query.id, query.workspace.value(),
      std::chrono::duration_cast<std::chrono::milliseconds>(too_late_by)
          .count());
  return {.kind = AdmissionKind::kRefuse,
          .status = MakeError(
              {.code = code, .ran = Ran::kNo, .retry_after = retry_after},
              message)};
}

void Admission::OnFirstToken(Time now, AdmissionId id) {
  const auto owner = owners_.find(id);
  if (owner == owners_.end()) return;
  Service& service = *owner->second;
  const auto found = service.running.find(id);
  if (found == service.running.end() || found->second.measured) return;
  Running& running = found->second;
  running.measured = true;
  if (running.target == Duration::zero()) return;
  ++service.samples;
  if (Seconds(now - running.since) >
      options_.engine_share * Seconds(running.target)) {
    ++service.slow_samples;
  }
}

void Admission::OnFinished(Time now, AdmissionId id,
                           const AdmissionFinish& finish) {
  const auto owner = owners_.find(id);
  if (owner == owners_.end()) return;
  Service& service = *owner->second;
  owners_.erase(owner);
  const auto found = service.running.find(id);
  if (found == service.running.end()) {
    Withdraw(service, id);
    return;
  }
  const Running running = found->second;
  service.running.erase(found);
  Workspace& workspace = service.workspaces[running.workspace];
  --service.in_flight;
  --workspace.in_flight;
  workspace.in_flight_tokens -= running.cost_tokens;
  if (workspace.in_flight == 0) workspace.in_flight_tokens = 0;
  CheckInvariant(service.in_flight >= 0 && workspace.in_flight >= 0,
                 "admitted_not_negative", [&] {
                   return fmt::format("Request {} ended more than once.", id);
                 });
  if (finish.answered) {
    service.mean_service_time +=
        kAverageWeight *
        (Seconds(now - running.since) - service.mean_service_time);
  }
}

void Admission::Withdraw(Service& service, AdmissionId id) {
  for (auto& [name, workspace] : service.workspaces) {
    for (std::deque<Waiting>& queue : workspace.queues) {
      const auto found = std::ranges::find_if(
          queue, [id](const Waiting& each) { return each.query.id == id; });
      if (found == queue.end()) continue;
      RemoveWaiting(service, workspace, queue, found - queue.begin());
      return;
    }
  }
}

Admission::Waiting Admission::RemoveWaiting(Service& service,
                                            Workspace& workspace,
                                            std::deque<Waiting>& queue,
                                            std::ptrdiff_t position) {
  const auto entry = queue.begin() + position;
  Waiting removed = std::move(*entry);
  queue.erase(entry);
  --service.queued;
  service.queued_tokens -= removed.query.cost_tokens;
  workspace.queued_tokens -= removed.query.cost_tokens;
  if (service.queued == 0) service.queued_tokens = 0;
  if (workspace.queued() == 0) workspace.queued_tokens = 0;
  return removed;
}

// Removes workspaces without requests and without assigned retry times. Their
// past load then counts neither for nor against them.
void Admission::DropIdle(Time now, Service& service) {
  std::erase_if(service.workspaces, [now](const auto& entry) {
    const Workspace& workspace = entry.second;
    return !workspace.active() && workspace.promised_until <= now &&
           now - workspace.offered_at > kIdleWorkspaceRetention;
  });
}

std::vector<AdmissionRelease> Admission::Tick(Time now) {
  std::vector<AdmissionRelease> released;
  for (auto& [id, service] : services_) {
    AdjustLimit(now, *service);
    ReleaseReady(now, *service, released);
    GiveUpLate(now, *service, released);
    DropIdle(now, *service);
  }
  return released;
}

void Admission::ReleaseReady(Time now, Service& service,
                             std::vector<AdmissionRelease>& out) {
  while (service.queued > 0) {
    Workspace* best = nullptr;
    std::deque<Waiting>* best_queue = nullptr;
    std::pair<double, double> least(std::numeric_limits<double>::infinity(), 0);
    for (auto& [id, workspace] : service.workspaces) {
      for (std::deque<Waiting>& queue : workspace.queues) {
        if (queue.empty()) continue;
        const Waiting& head = queue.front();
        if (!HasCapacity(service, head.within_share)) continue;
        const double aged =
            std::floor(Seconds(now - head.offered) / Seconds(options_.ageing));
        const std::pair order(static_cast<double>(head.query.priority) - aged,
                              head.start_tag);
        if (order >= least) continue;
        least = order;
        best = &workspace;
        best_queue = &queue;
      }
    }
    if (best == nullptr) return;
    const Waiting next = RemoveWaiting(service, *best, *best_queue, 0);
    owners_.erase(next.query.id);
    service.virtual_time = std::max(service.virtual_time, next.start_tag);
    if (next.query.deadline <= now) {
      GiveUp(now, service, next, out);
      continue;
    }
    Start(now, service, next.query);
    out.push_back({next.query.id, absl::OkStatus()});
  }
}

// A queued request is refused only because of its own deadline, as soon as that
// can't be met.
void Admission::GiveUpLate(Time now, Service& service,
                           std::vector<AdmissionRelease>& out) {
  for (auto& [id, workspace] : service.workspaces) {
    double ahead = 0;
    for (std::deque<Waiting>& queue : workspace.queues) {
      for (size_t i = 0; i < queue.size();) {
        const AdmissionQuery& query = queue[i].query;
        const double tokens = ahead + query.cost_tokens;
        const Seconds left(query.deadline - now - query.expected_first_token);
        const bool unreachable =
            !queue[i].within_share &&
            service.WaitFor(now, workspace, tokens) > kEstimateSlack * left;
        const bool given_up = query.deadline != Time::max() &&
                              (unreachable || left < Seconds::zero());
        if (!given_up) {
          ahead = tokens;
          ++i;
          continue;
        }
        const Waiting removed = RemoveWaiting(service, workspace, queue,
                                              static_cast<std::ptrdiff_t>(i));
        owners_.erase(removed.query.id);
        GiveUp(now, service, removed, out);
      }
    }
  }
}

void Admission::GiveUp(Time now, Service& service, const Waiting& waiting,
                       std::vector<AdmissionRelease>& out) {
  const Duration late =
      std::max(Duration::zero(), now + waiting.query.expected_first_token -
                                     waiting.query.deadline);
  out.push_back(
      {waiting.query.id, Refuse(now, service, waiting.query,
                                ResultCode::kDeadlineUnreachable, late)
                             .status});
}

// Raises the limit by a constant step while it is used and answers are fast,
// and lowers it by a factor as soon as too many first tokens are late.
void Admission::AdjustLimit(Time now, Service& service) {
  const bool enough = service.samples >= options_.window_samples;
  if (now - service.window_since < options_.window || !enough) return;
  const bool slow = service.slow_samples >
                    options_.slow_share * static_cast<double>(service.samples);
  const bool busy = service.most_in_flight >= kBusyShare * service.limit;
  if (slow) {
    service.limit *= options_.shrink_factor;
  } else if (busy) {
    // With additive increase and multiplicative decrease, instances that load
    // the same servers converge to equal limits.
    service.limit += options_.grow_step;
  }
  service.limit =
      std::clamp(service.limit, static_cast<double>(options_.min_limit),
                 static_cast<double>(options_.max_limit));
  service.window_since = now;
  service.samples = 0;
  service.slow_samples = 0;
  service.most_in_flight = service.in_flight;
}

int Admission::in_flight(const ServiceId& service) const {
  const Service* found = Find(service);
  return found == nullptr ? 0 : found->in_flight;
}

int Admission::queued(const ServiceId& service) const {
  const Service* found = Find(service);
  return found == nullptr ? 0 : found->queued;
}

int Admission::limit(const ServiceId& service) const {
  const Service* found = Find(service);
  return static_cast<int>(found == nullptr ? options_.initial_limit
                                           : found->limit);
}

}  // namespace oleander
