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
  Pump();
}

void QuotaGate::SetInstances(size_t instances, AllocatorRanking ranking) {
  quotas_.SetInstances(instances);
  allocator_.SetInstances(instances);
  quotas_.SetAllocators(loop_.now(), std::move(ranking));
  Pump();
}

void QuotaGate::Take(const WorkspaceId& workspace, double cost,
                     Duration patience, const Done& done) {
  const auto ticket = quotas_.TryTake(loop_.now(), workspace, cost, patience);
  if (!ticket) {
    done(std::nullopt);
  } else {
    waiting_.emplace(*ticket, done);
  }
  Pump();
}

void QuotaGate::Refund(const WorkspaceId& workspace, double cost) {
  quotas_.Refund(loop_.now(), workspace, cost);
  Pump();
}

void QuotaGate::OnMessage(const InstanceId& from,
                          const mesh::Envelope& message) {
  if (message.has_quota_ask()) {
    const QuotaRequest ask = ReadQuotaAsk(message.quota_ask());
    Tell(from, Answer(from, ask));
  } else if (message.has_quota_grant()) {
    CompareClocks(from, message.quota_grant());
    quotas_.OnGrant(loop_.now(), from, ReadQuotaGrant(message.quota_grant()));
  }
  Pump();
}

void QuotaGate::Pump() {
  // Who is told may ask again at once.
  if (pumping_) {
    return;
  }
  pumping_ = true;
  bool more = true;
  while (more) {
    const auto questions = quotas_.TakeRequests(loop_.now());
    for (const OutgoingQuotaRequest& question : questions) {
      Ask(question);
    }
    const auto verdicts = quotas_.TakeDecisions();
    for (const QuotaDecision& verdict : verdicts) {
      const auto waiting = waiting_.find(verdict.ticket);
      if (waiting != waiting_.end()) {
        const Done done = std::move(waiting->second);
        waiting_.erase(waiting);
        done(verdict.passes ? std::nullopt
                            : std::optional(verdict.retry_after));
      }
    }
    more = !questions.empty() || !verdicts.empty();
  }
  pumping_ = false;
  for (const QuotaNotice& notice : allocator_.TakeNotices(loop_.now())) {
    Tell(notice.to, notice.grant);
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
    timer_ = loop_.After(due - loop_.now(), [this] { Pump(); });
  }
}

void QuotaGate::Ask(const OutgoingQuotaRequest& question) {
  if (question.to == self_) {
    OnGrant(self_, Answer(self_, question.request));
    return;
  }
  asked_.at(question.request.group) = {.round = question.request.round,
                                       .at = loop_.now()};
  mesh::Envelope envelope;
  WriteQuotaAsk(question.request, *envelope.mutable_quota_ask());
  send_(question.to, envelope);
}

QuotaGrant QuotaGate::Answer(const InstanceId& from, const QuotaRequest& ask) {
  if (retired_) {
    return {.group = ask.group, .round = ask.round, .retired = true};
  }
  return allocator_.OnRequest(loop_.now(), from, ask);
}

void QuotaGate::OnGrant(const InstanceId& from, const QuotaGrant& grant) {
  quotas_.OnGrant(loop_.now(), from, grant);
}

void QuotaGate::Tell(const InstanceId& to, const QuotaGrant& grant) {
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
  const Asked& asked = asked_.at(wire.group());
  if (wire.round() == 0 || asked.round != wire.round()) {
    return;
  }
  const Time now = loop_.now();
  const auto change = clock_.OnPeerTime(
      now, from, WallTime(Duration(wire.time_us())), now - asked.at);
  if (change && on_clock_) {
    on_clock_(*change);
  }
}

}  // namespace oleander::entry
