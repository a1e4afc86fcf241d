#include "entry/quota_gate.h"

#include <utility>

#include "entry/quota_codec.h"
#include "io/log.h"

namespace oleander::entry {

QuotaGate::QuotaGate(io::EventLoop& loop, AgreedClock& clock, InstanceId self,
                     const QuotaBound& bound, uint64_t seed)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      quotas_({.bound = bound}, seed),
      allocator_({.bound = bound}, seed) {}

void QuotaGate::SetQuotas(const ServingConfig& config) {
  quotas_.SetQuotas(loop_.now(), config);
  allocator_.SetQuotas(loop_.now(), config);
  ProcessPending();
}

void QuotaGate::SetInstances(size_t instances, AllocatorRanking ranking) {
  quotas_.SetInstances(instances);
  allocator_.SetInstances(instances);
  quotas_.SetAllocators(loop_.now(), std::move(ranking));
  ProcessPending();
}

void QuotaGate::Take(const WorkspaceId& workspace, double cost,
                     Duration max_wait, const Done& done) {
  const auto ticket = quotas_.TryTake(loop_.now(), workspace, cost, max_wait);
  if (!ticket) {
    done(std::nullopt);
  } else {
    waiting_.emplace(*ticket, done);
  }
  ProcessPending();
}

void QuotaGate::Refund(const WorkspaceId& workspace, double cost) {
  quotas_.Refund(loop_.now(), workspace, cost);
  ProcessPending();
}

void QuotaGate::OnMessage(const InstanceId& from,
                          const mesh::Envelope& message) {
  if (message.has_quota_ask()) {
    const QuotaRequest request = ReadQuotaRequest(message.quota_ask());
    SendGrant(from, MakeGrant(from, request));
  } else if (message.has_quota_grant()) {
    CompareClocks(from, message.quota_grant());
    quotas_.OnGrant(loop_.now(), from, ReadQuotaGrant(message.quota_grant()));
  }
  ProcessPending();
}

void QuotaGate::ProcessPending() {
  // A callback may call Take() and so ProcessPending() again.
  if (processing_) {
    return;
  }
  processing_ = true;
  bool more = true;
  while (more) {
    const auto requests = quotas_.TakeRequests(loop_.now());
    for (const OutgoingQuotaRequest& outgoing : requests) {
      SendRequest(outgoing);
    }
    const auto decisions = quotas_.TakeDecisions();
    for (const QuotaDecision& decision : decisions) {
      const auto waiting = waiting_.find(decision.ticket);
      if (waiting != waiting_.end()) {
        const Done done = std::move(waiting->second);
        waiting_.erase(waiting);
        done(decision.passes ? std::nullopt
                             : std::optional(decision.retry_after));
      }
    }
    more = !requests.empty() || !decisions.empty();
  }
  processing_ = false;
  for (const QuotaNotice& notice : allocator_.TakeNotices(loop_.now())) {
    SendGrant(notice.to, notice.grant);
  }
  for (const AllocatorChange& change : quotas_.TakeChanges()) {
    io::Log(io::LogLevel::kInfo, "quota.allocator",
            {{"group", change.group},
             {"from", change.from.value()},
             {"to", change.to.value()}});
  }
  const Time due = quotas_.next_due();
  if (due != timer_due_ || !timer_.active()) {
    timer_due_ = due;
    timer_ = loop_.After(due - loop_.now(), [this] { ProcessPending(); });
  }
}

void QuotaGate::SendRequest(const OutgoingQuotaRequest& outgoing) {
  if (outgoing.to == self_) {
    OnGrant(self_, MakeGrant(self_, outgoing.request));
    return;
  }
  sent_requests_.at(outgoing.request.group) = {.round = outgoing.request.round,
                                               .at = loop_.now()};
  mesh::Envelope envelope;
  WriteQuotaRequest(outgoing.request, *envelope.mutable_quota_ask());
  send_(outgoing.to, envelope);
}

QuotaGrant QuotaGate::MakeGrant(const InstanceId& from,
                                const QuotaRequest& request) {
  if (retired_) {
    return {.group = request.group, .round = request.round, .retired = true};
  }
  return allocator_.OnRequest(loop_.now(), from, request);
}

void QuotaGate::OnGrant(const InstanceId& from, const QuotaGrant& grant) {
  quotas_.OnGrant(loop_.now(), from, grant);
}

void QuotaGate::SendGrant(const InstanceId& to, const QuotaGrant& grant) {
  if (to == self_) {
    OnGrant(self_, grant);
    return;
  }
  mesh::Envelope envelope;
  WriteQuotaGrant(grant, *envelope.mutable_quota_grant());
  envelope.mutable_quota_grant()->set_time_us(
      clock_.At(loop_.now()).time_since_epoch().count());
  send_(to, envelope);
}

void QuotaGate::CompareClocks(const InstanceId& from,
                              const entrywire::QuotaGrant& wire) {
  if (wire.group() >= kQuotaGroups || wire.time_us() <= 0) {
    return;
  }
  const SentRequest& sent = sent_requests_.at(wire.group());
  if (wire.round() == 0 || sent.round != wire.round()) {
    return;
  }
  const Time now = loop_.now();
  const auto change = clock_.OnPeerTime(
      now, from, WallTime(Duration(wire.time_us())), now - sent.at);
  if (change && on_clock_change_) {
    on_clock_change_(*change);
  }
}

}  // namespace oleander::entry
