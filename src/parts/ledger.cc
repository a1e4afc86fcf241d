#include "oleander/ledger.h"

#include <fmt/format.h>

#include <algorithm>

#include "oleander/invariant.h"
#include "parts/ledger_impl.h"

namespace oleander {
namespace {

constexpr size_t kMaxKeyLength = 255;
constexpr Duration kStatusRetry = std::chrono::milliseconds(500);

bool IsGoodKey(const std::string& key) {
  const auto printable = [](unsigned char c) { return c >= 0x20 && c < 0x7f; };
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::ranges::all_of(key, printable);
}

std::string_view MessageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace

Ledger::Impl::Impl(LedgerOptions options, uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      run_id_(fmt::format("{:016x}", random_())) {}

absl::StatusOr<CallTicket> Ledger::Impl::Begin(Time now, LedgerCall call) {
  if (entries_.size() >= options_.limits.max_calls) {
    return MakeError(ResultCode::kOverloaded,
                     fmt::format("Instance {} has {} calls open.",
                                 options_.self.value(), entries_.size()));
  }
  if (call.key.has_value() && !IsGoodKey(*call.key)) {
    return MakeError(ResultCode::kBadIdempotencyKey,
                     fmt::format("The Idempotency-Key has {} bytes, or not all "
                                 "are printable; 1 to {} are allowed.",
                                 call.key->size(), kMaxKeyLength));
  }
  ++counts_.started;
  const auto ticket = static_cast<CallTicket>(++last_ticket_);
  const BackoffOptions backoff{.initial = options_.timing.store_initial_backoff,
                               .maximum = options_.timing.store_max_backoff};
  auto entry = std::make_unique<LedgerEntry>(std::move(call),
                                             Backoff(backoff, random_()));
  entry->ticket = ticket;
  entry->attempt =
      fmt::format("{}.{}.{}", options_.self.value(), run_id_, last_ticket_);
  LedgerEntry& added = *entry;
  added.deadline = now + added.call.deadline;
  attempts_[added.attempt] = ticket;
  entries_[ticket] = std::move(entry);
  if (!added.keyed()) {
    Dispatch(now, added);
    CloseOrReschedule(added);
    return ticket;
  }
  added.digest = CallDigest(added.call);
  added.store_key =
      ClaimStoreKey(added.call.workspace, added.call.service, *added.call.key);
  added.other_may_have_run = sent_keys_.contains(added.store_key);
  if (options_.mutations.dispatch_before_claim) {
    Dispatch(now, added);
  }
  Create(now, added);
  CloseOrReschedule(added);
  return ticket;
}

void Ledger::Impl::Dispatch(Time now, LedgerEntry& entry) {
  const bool allowed =
      CheckInvariant(!entry.dispatched, "dispatch_at_most_once",
                     [&] {
                       return fmt::format("Attempt {} was dispatched before.",
                                          entry.attempt);
                     }) &&
      CheckInvariant(!entry.answered, "no_dispatch_after_answer", [&] {
        return fmt::format(
            "The caller of attempt {} already has its answer (reported as not "
            "run: {}).",
            entry.attempt, entry.reported_not_run);
      });
  if (!allowed) {
    return;
  }
  ++counts_.dispatched;
  entry.dispatched = true;
  entry.stage = CallStage::kDispatched;
  entry.dispatch_due = now + options_.timing.dispatch_timeout;
  actions_.push_back(
      DispatchOnce{.ticket = entry.ticket, .attempt = entry.attempt});
}

bool Ledger::Impl::OnSending(Time /*now*/, CallTicket ticket) {
  LedgerEntry* entry = Find(ticket);
  if (entry == nullptr || entry->stage != CallStage::kDispatched ||
      entry->answered) {
    return false;
  }
  if (!CheckInvariant(!entry->sending, "sent_at_most_once", [&] {
        return fmt::format("Attempt {} is about to be sent again.",
                           entry->attempt);
      })) {
    return false;
  }
  entry->sending = true;
  if (entry->keyed() && sent_keys_.insert(entry->store_key).second) {
    sent_keys_order_.push_back(entry->store_key);
    if (sent_keys_order_.size() > options_.limits.max_retained_attempts) {
      sent_keys_.erase(sent_keys_order_.front());
      sent_keys_order_.pop_front();
    }
  }
  return true;
}

void Ledger::Impl::OnDispatchEnded(Time now, CallTicket ticket,
                                   const DispatchOutcome& outcome) {
  LedgerEntry* entry = Find(ticket);
  if (entry == nullptr || entry->stage != CallStage::kDispatched) {
    return;
  }
  entry->dispatch_due.reset();
  const bool sent = (outcome.sent || entry->sending) &&
                    !options_.mutations.not_run_after_partial_write;
  if (outcome.answer.ok()) {
    AnswerWith(*entry, *outcome.answer, /*replayed=*/false);
    StartStoring(now, *entry, ClaimState::kDone);
  } else if (!sent) {
    const ErrorDetails details = DetailsOf(outcome.answer.status());
    const bool known = InfoOf(details.code).ran == Ran::kNo;
    AnswerNotRun(now, *entry, known ? details.code : ResultCode::kConnectFailed,
                 MessageOf(outcome.answer.status()));
  } else {
    OnAnswerLost(now, *entry, outcome.answer.status());
  }
  CloseOrReschedule(*entry);
}

void Ledger::Impl::OnAnswerLost(Time now, LedgerEntry& entry,
                                const absl::Status& why) {
  if (entry.keyed() && entry.call.has_status_call) {
    QueryStatusCall(now, entry);
    return;
  }
  const ErrorDetails details = DetailsOf(why);
  const bool promises_no = InfoOf(details.code).ran == Ran::kNo;
  AnswerUnknown(now, entry,
                promises_no ? ResultCode::kAnswerLost : details.code,
                MessageOf(why));
}

void Ledger::Impl::QueryStatusCall(Time now, LedgerEntry& entry) {
  entry.stage = CallStage::kQueryingStatus;
  entry.status_next.reset();
  entry.status_due = now + options_.timing.status_timeout;
  actions_.push_back(QueryStatus{entry.ticket});
}

void Ledger::Impl::OnStatusAnswer(Time now, CallTicket ticket,
                                  StatusFinding finding,
                                  std::optional<StoredAnswer> answer) {
  LedgerEntry* entry = Find(ticket);
  if (entry == nullptr || entry->stage != CallStage::kQueryingStatus) {
    return;
  }
  entry->status_due.reset();
  if (finding != StatusFinding::kRan && now >= entry->deadline) {
    OnDeadline(now, *entry);
  } else if (finding != StatusFinding::kRan) {
    // The call may still be in transit to the service, so its absence proves
    // nothing.
    entry->status_next = now + kStatusRetry;
  } else if (answer.has_value()) {
    AnswerWith(*entry, *answer, /*replayed=*/!entry->dispatched);
    StartStoring(now, *entry, ClaimState::kDone);
  } else {
    AnswerError(*entry, MakeError({.code = ResultCode::kAnswerLost,
                                   .ran = Ran::kYes,
                                   .retry_after = std::nullopt},
                                  "The call ran; its answer was lost."));
    StartStoring(now, *entry, ClaimState::kUnknown);
  }
  CloseOrReschedule(*entry);
}

void Ledger::Impl::AnswerWith(LedgerEntry& entry, const StoredAnswer& answer,
                              bool replayed) {
  entry.answer = answer;
  if (entry.answered) {
    return;  // The caller's deadline passed earlier.
  }
  entry.answered = true;
  ++counts_.answered;
  counts_.replayed += replayed ? 1 : 0;
  actions_.push_back(AnswerCall{
      .ticket = entry.ticket, .answer = answer, .replayed = replayed});
}

void Ledger::Impl::AnswerError(LedgerEntry& entry, const absl::Status& status) {
  if (entry.answered) {
    return;
  }
  entry.answered = true;
  const Ran ran = DetailsOf(status).ran;
  entry.reported_not_run = ran == Ran::kNo;
  counts_.reported_not_run += ran == Ran::kNo ? 1 : 0;
  counts_.reported_unknown += ran == Ran::kUnknown ? 1 : 0;
  actions_.push_back(
      AnswerCall{.ticket = entry.ticket, .answer = status, .replayed = false});
}

void Ledger::Impl::AnswerNotRun(Time now, LedgerEntry& entry, ResultCode code,
                                std::string_view message) {
  const Ran ran = entry.other_may_have_run ? Ran::kUnknown : Ran::kNo;
  AnswerError(entry,
              MakeError({.code = code, .ran = ran, .retry_after = std::nullopt},
                        message));
  StartStoring(now, entry, ClaimState::kAbandoned);
}

void Ledger::Impl::AnswerUnknown(Time now, LedgerEntry& entry, ResultCode code,
                                 std::string_view message) {
  AnswerError(entry, MakeError({.code = code,
                                .ran = Ran::kUnknown,
                                .retry_after = std::nullopt},
                               message));
  StartStoring(now, entry, ClaimState::kUnknown);
}

void Ledger::Impl::OnDeadline(Time now, LedgerEntry& entry) {
  switch (entry.stage) {
    case CallStage::kCreating:
    case CallStage::kReading:
    case CallStage::kTakingOver:
      if (entry.other_record.has_value() &&
          entry.other_claim.state != ClaimState::kAbandoned) {
        ResolveWithoutHolder(now, entry);
        return;
      }
      AnswerNotRun(now, entry, ResultCode::kClaimStoreDown,
                   "The claim could not be confirmed before the caller's "
                   "deadline, so the call was not sent.");
      return;
    case CallStage::kQueryingHolder:
      AnswerUnknown(
          now, entry, ResultCode::kClaimOpen,
          fmt::format("Attempt {} with the same key is still running.",
                      entry.other_claim.attempt));
      return;
    case CallStage::kQueryingStatus:
      AnswerUnknown(now, entry,
                    entry.dispatched ? ResultCode::kAnswerLost
                                     : ResultCode::kClaimHolderUnknown,
                    "It is unknown whether the call ran.");
      return;
    case CallStage::kDispatched:
      // The entry stays open, so that a late answer is stored for repeated
      // calls.
      AnswerError(entry,
                  MakeError({.code = ResultCode::kAnswerLost,
                             .ran = Ran::kUnknown,
                             .retry_after = std::nullopt},
                            "The service did not answer before the caller's "
                            "deadline."));
      return;
    case CallStage::kStoring:
      return;
  }
}

void Ledger::Impl::OnDue(Time now, LedgerEntry& entry) {
  const auto passed = [now](std::optional<Time>& time) {
    const bool is_due = time.has_value() && *time <= now;
    if (is_due) {
      time.reset();
    }
    return is_due;
  };
  if (!entry.answered && now >= entry.deadline) {
    OnDeadline(now, entry);
  }
  if (passed(entry.dispatch_due)) {
    OnAnswerLost(
        now, entry,
        MakeError(ResultCode::kAnswerLost,
                  "The service did not answer within the dispatch timeout."));
  }
  if (entry.op.has_value() &&
      now >= entry.op_sent_at + options_.timing.store_timeout) {
    OnStoreResult(now, *entry.op,
                  {.outcome = StoreOutcome::kUnknown,
                   .record = std::nullopt,
                   .revision = 0});
    return;
  }
  if (passed(entry.status_due)) {
    if (now >= entry.deadline) {
      OnDeadline(now, entry);
    } else {
      entry.status_next = now + kStatusRetry;
    }
  }
  if (entry.stage == CallStage::kQueryingStatus && passed(entry.status_next)) {
    QueryStatusCall(now, entry);
  }
  if (passed(entry.retry_at)) {
    RetryStore(now, entry);
  }
  CloseOrReschedule(entry);
}

void Ledger::Impl::CloseOrReschedule(LedgerEntry& entry) {
  const bool stored = entry.stage == CallStage::kStoring &&
                      !entry.op.has_value() && !entry.retry_at.has_value();
  if (entry.answered && stored) {
    Close(entry);
    return;
  }
  const std::optional<Time> due = NextDue(entry);
  if (due == entry.due) {
    return;
  }
  if (entry.due.has_value()) {
    queue_.erase({*entry.due, entry.ticket});
  }
  if (due.has_value()) {
    queue_.emplace(*due, entry.ticket);
  }
  entry.due = due;
}

std::optional<Time> Ledger::Impl::NextDue(const LedgerEntry& entry) const {
  std::optional<Time> next;
  const auto add = [&](std::optional<Time> time) {
    if (time.has_value() && (!next.has_value() || *time < *next)) {
      next = time;
    }
  };
  if (!entry.answered) {
    add(entry.deadline);
  }
  if (entry.op.has_value()) {
    add(entry.op_sent_at + options_.timing.store_timeout);
  }
  add(entry.retry_at);
  add(entry.dispatch_due);
  if (entry.stage == CallStage::kQueryingStatus) {
    add(entry.status_due);
    add(entry.status_next);
  }
  return next;
}

void Ledger::Impl::Close(LedgerEntry& entry) {
  const CallTicket ticket = entry.ticket;
  RetainClosedAttempt(entry);
  attempts_.erase(entry.attempt);
  if (entry.op.has_value()) {
    ops_.erase(*entry.op);
  }
  if (entry.due.has_value()) {
    queue_.erase({*entry.due, ticket});
  }
  entries_.erase(ticket);
}

void Ledger::Impl::RetainClosedAttempt(const LedgerEntry& entry) {
  if (!entry.keyed()) {
    return;
  }
  const AttemptState state = StateOf(entry);
  // The claim holds the answer of such an attempt, so this instance doesn't:
  // kNotKnown makes the other instance read the claim again.
  const bool answer_in_claim =
      state == AttemptState::kAnswered && entry.outcome == ClaimState::kDone;
  closed_[entry.attempt] = {
      .store_key = entry.store_key,
      .state = answer_in_claim ? AttemptState::kNotKnown : state,
      .answer = std::nullopt};
  closed_order_.push_back(entry.attempt);
  if (closed_order_.size() > options_.limits.max_retained_attempts) {
    closed_.erase(closed_order_.front());
    closed_order_.pop_front();
  }
}

AttemptState Ledger::Impl::StateOf(const LedgerEntry& entry) const {
  if (entry.stage != CallStage::kStoring) {
    return AttemptState::kRunning;
  }
  if (!entry.dispatched || entry.outcome == ClaimState::kAbandoned) {
    return AttemptState::kAbandoned;
  }
  return entry.answer.has_value() ? AttemptState::kAnswered
                                  : AttemptState::kOutcomeUnknown;
}

LedgerEntry* Ledger::Impl::Find(CallTicket ticket) {
  const auto found = entries_.find(ticket);
  return found == entries_.end() ? nullptr : found->second.get();
}

LedgerEntry* Ledger::Impl::FindAttempt(const std::string& attempt) {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : Find(found->second);
}

void Ledger::Impl::Tick(Time now) {
  std::vector<CallTicket> due;
  for (const auto& [time, ticket] : queue_) {
    if (time > now) {
      break;
    }
    due.push_back(ticket);
  }
  for (const CallTicket ticket : due) {
    if (LedgerEntry* entry = Find(ticket)) {
      OnDue(now, *entry);
    }
  }
}

std::optional<Time> Ledger::Impl::next_due() const {
  return queue_.empty() ? std::nullopt : std::optional(queue_.begin()->first);
}

std::vector<LedgerAction> Ledger::Impl::TakeActions() {
  return std::exchange(actions_, {});
}

Ledger::Ledger(LedgerOptions options, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(options), seed)) {}
Ledger::~Ledger() = default;
Ledger::Ledger(Ledger&&) noexcept = default;
Ledger& Ledger::operator=(Ledger&&) noexcept = default;

absl::StatusOr<CallTicket> Ledger::Begin(Time now, LedgerCall call) {
  return impl_->Begin(now, std::move(call));
}
void Ledger::OnStoreResult(Time now, StoreOpId op, const StoreResult& result) {
  impl_->OnStoreResult(now, op, result);
}
bool Ledger::OnSending(Time now, CallTicket ticket) {
  return impl_->OnSending(now, ticket);
}
void Ledger::OnDispatchEnded(Time now, CallTicket ticket,
                             const DispatchOutcome& outcome) {
  impl_->OnDispatchEnded(now, ticket, outcome);
}
void Ledger::OnStatusAnswer(Time now, CallTicket ticket, StatusFinding finding,
                            std::optional<StoredAnswer> answer) {
  impl_->OnStatusAnswer(now, ticket, finding, std::move(answer));
}
void Ledger::OnMessage(Time now, const InstanceId& from,
                       const LedgerMessage& message) {
  impl_->OnMessage(now, from, message);
}
void Ledger::Tick(Time now) { impl_->Tick(now); }
std::optional<Time> Ledger::next_due() const { return impl_->next_due(); }
std::vector<LedgerAction> Ledger::TakeActions() { return impl_->TakeActions(); }
size_t Ledger::open_calls() const { return impl_->open_calls(); }
bool Ledger::CanExit() const { return impl_->open_calls() == 0; }
const LedgerCounts& Ledger::counts() const { return impl_->counts(); }

}  // namespace oleander
