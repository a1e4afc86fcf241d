// Claims that name another attempt: polling its holder, taking the claim over
// with the holder's consent, and replying to queries about attempts of this
// instance.
#include <fmt/format.h>

#include <vector>

#include "parts/ledger_impl.h"

namespace oleander {

void Ledger::Impl::EvaluateOtherClaim(Time now, LedgerEntry& entry) {
  const Claim& claim = entry.other_claim;
  switch (claim.state) {
    case ClaimState::kDone:
      if (claim.answer.has_value()) {
        AnswerWith(entry, *claim.answer, /*replayed=*/true);
        StartStoring(now, entry, ClaimState::kOpen);
        return;
      }
      AnswerError(entry, MakeError({.code = ResultCode::kAnswerLost,
                                    .ran = Ran::kYes,
                                    .retry_after = std::nullopt},
                                   "The call ran before; its answer was too "
                                   "long to store."));
      StartStoring(now, entry, ClaimState::kOpen);
      return;
    case ClaimState::kUnknown:
      ResolveWithoutHolder(now, entry);
      return;
    case ClaimState::kAbandoned:
      TakeOver(now, entry);
      return;
    case ClaimState::kOpen:
      if (entry.inconclusive_attempt == claim.attempt) {
        ResolveWithoutHolder(now, entry);
      } else {
        entry.stage = CallStage::kQueryingHolder;
        entry.holder_polls = 0;
        QueryHolder(now, entry);
      }
      return;
  }
}

void Ledger::Impl::QueryHolder(Time now, LedgerEntry& entry) {
  if (entry.holder_polls >= options_.timing.max_holder_polls) {
    OnHolderInconclusive(now, entry);
    return;
  }
  ++entry.holder_polls;
  entry.retry_at = now + options_.timing.holder_poll_interval;
  const LedgerQuery query{.store_key = entry.store_key,
                          .attempt = entry.other_claim.attempt};
  if (entry.other_claim.holder == options_.self) {
    OnHolderReply(now, entry, MakeReply(query));
    return;
  }
  actions_.push_back(
      SendLedgerMessage{.to = entry.other_claim.holder, .message = query});
}

void Ledger::Impl::OnHolderReply(Time now, LedgerEntry& entry,
                                 const LedgerReply& reply) {
  switch (reply.state) {
    case AttemptState::kRunning:
      entry.holder_polls = 0;
      entry.retry_at = now + options_.timing.holder_poll_interval;
      return;
    case AttemptState::kAbandoned:
      TakeOver(now, entry);
      return;
    case AttemptState::kAnswered:
      if (reply.answer.has_value()) {
        AnswerWith(entry, *reply.answer, /*replayed=*/true);
        StartStoring(now, entry, ClaimState::kOpen);
        return;
      }
      break;
    case AttemptState::kOutcomeUnknown:
    case AttemptState::kNotKnown:
      break;
  }
  OnHolderInconclusive(now, entry);
}

void Ledger::Impl::OnHolderInconclusive(Time now, LedgerEntry& entry) {
  if (options_.mutations.take_over_without_consent) {
    TakeOver(now, entry);
    return;
  }
  // The outcome may have been written in the meantime, so the claim is read
  // once more.
  entry.inconclusive_attempt = entry.other_claim.attempt;
  entry.stage = CallStage::kReading;
  Read(now, entry);
}

void Ledger::Impl::ResolveWithoutHolder(Time now, LedgerEntry& entry) {
  if (entry.call.has_status_call && now < entry.deadline && !entry.answered) {
    QueryStatusCall(now, entry);
    return;
  }
  AnswerUnknown(now, entry, ResultCode::kClaimHolderUnknown,
                fmt::format("Attempt {} holds the key's claim, and it is "
                            "unknown whether it ran.",
                            entry.other_claim.attempt));
}

void Ledger::Impl::OnMessage(Time now, const InstanceId& from,
                             const LedgerMessage& message) {
  if (const auto* query = std::get_if<LedgerQuery>(&message)) {
    actions_.push_back(
        SendLedgerMessage{.to = from, .message = MakeReply(*query)});
    return;
  }
  const auto& reply = std::get<LedgerReply>(message);
  std::vector<CallTicket> waiting;
  for (const auto& [ticket, entry] : entries_) {
    if (entry->stage == CallStage::kQueryingHolder && !entry->answered &&
        entry->store_key == reply.store_key &&
        entry->other_claim.attempt == reply.attempt &&
        entry->other_claim.holder == from) {
      waiting.push_back(ticket);
    }
  }
  for (const CallTicket ticket : waiting) {
    if (LedgerEntry* entry = Find(ticket)) {
      OnHolderReply(now, *entry, reply);
      CloseOrReschedule(*entry);
    }
  }
}

LedgerReply Ledger::Impl::MakeReply(const LedgerQuery& query) {
  LedgerReply reply{.store_key = query.store_key,
                    .attempt = query.attempt,
                    .state = AttemptState::kNotKnown,
                    .answer = std::nullopt};
  const LedgerEntry* entry = FindAttempt(query.attempt);
  if (entry != nullptr && entry->store_key == query.store_key) {
    reply.state = StateOf(*entry);
    reply.answer = entry->answer;
    return reply;
  }
  const auto closed = closed_.find(query.attempt);
  if (closed != closed_.end() && closed->second.store_key == query.store_key) {
    reply.state = closed->second.state;
  }
  return reply;
}

}  // namespace oleander
