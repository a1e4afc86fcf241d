// Claims that name another attempt: asking its holder, waiting for it, taking
// over with its consent, and telling others about attempts of this instance.
#include <fmt/format.h>

#include <vector>

#include "parts/ledger_impl.h"

namespace oleander {

void Ledger::Impl::ExamineOther(Time now, LedgerEntry& entry) {
  const Claim& claim = entry.seen_claim;
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
                                   "long to be stored."));
      StartStoring(now, entry, ClaimState::kOpen);
      return;
    case ClaimState::kUnknown:
      AnswerForLostHolder(now, entry);
      return;
    case ClaimState::kAbandoned:
      TakeOver(now, entry);
      return;
    case ClaimState::kOpen:
      if (entry.gone_attempt == claim.attempt) {
        AnswerForLostHolder(now, entry);
      } else {
        entry.stage = CallStage::kAskingHolder;
        entry.asks = 0;
        AskHolder(now, entry);
      }
      return;
  }
}

void Ledger::Impl::AskHolder(Time now, LedgerEntry& entry) {
  if (entry.asks >= options_.timing.holder_asks) {
    OnHolderGone(now, entry);
    return;
  }
  ++entry.asks;
  entry.retry_at = now + options_.timing.holder_ask;
  const LedgerAsk ask{.store_key = entry.store_key,
                      .attempt = entry.seen_claim.attempt};
  if (entry.seen_claim.holder == options_.self) {
    OnTell(now, entry, TellAbout(ask));
    return;
  }
  actions_.push_back(
      SendLedgerMessage{.to = entry.seen_claim.holder, .message = ask});
}

void Ledger::Impl::OnTell(Time now, LedgerEntry& entry,
                          const LedgerTell& tell) {
  switch (tell.state) {
    case AttemptState::kRunning:
      entry.asks = 0;
      entry.retry_at = now + options_.timing.holder_ask;
      return;
    case AttemptState::kGivenUp:
      TakeOver(now, entry);
      return;
    case AttemptState::kAnswered:
      if (tell.answer.has_value()) {
        AnswerWith(entry, *tell.answer, /*replayed=*/true);
        StartStoring(now, entry, ClaimState::kOpen);
        return;
      }
      break;
    case AttemptState::kOutcomeUnknown:
    case AttemptState::kNotKnown:
      break;
  }
  OnHolderGone(now, entry);
}

void Ledger::Impl::OnHolderGone(Time now, LedgerEntry& entry) {
  if (options_.mutations.take_over_without_consent) {
    TakeOver(now, entry);
    return;
  }
  // Its outcome may have been written meanwhile: read once more.
  entry.gone_attempt = entry.seen_claim.attempt;
  entry.stage = CallStage::kReading;
  Read(now, entry);
}

void Ledger::Impl::AnswerForLostHolder(Time now, LedgerEntry& entry) {
  if (entry.call.has_status_call && now < entry.deadline && !entry.answered) {
    AskStatusCall(now, entry);
    return;
  }
  AnswerUnknown(now, entry, ResultCode::kClaimHolderUnknown,
                fmt::format("Attempt {} holds the key's claim, and whether it "
                            "ran can't be told.",
                            entry.seen_claim.attempt));
}

void Ledger::Impl::OnMessage(Time now, const InstanceId& from,
                             const LedgerMessage& message) {
  if (const auto* ask = std::get_if<LedgerAsk>(&message)) {
    actions_.push_back(
        SendLedgerMessage{.to = from, .message = TellAbout(*ask)});
    return;
  }
  const auto& tell = std::get<LedgerTell>(message);
  std::vector<CallTicket> waiting;
  for (const auto& [ticket, entry] : entries_) {
    if (entry->stage == CallStage::kAskingHolder && !entry->answered &&
        entry->store_key == tell.store_key &&
        entry->seen_claim.attempt == tell.attempt &&
        entry->seen_claim.holder == from) {
      waiting.push_back(ticket);
    }
  }
  for (const CallTicket ticket : waiting) {
    if (LedgerEntry* entry = Find(ticket)) {
      OnTell(now, *entry, tell);
      Settle(*entry);
    }
  }
}

LedgerTell Ledger::Impl::TellAbout(const LedgerAsk& ask) {
  LedgerTell tell{.store_key = ask.store_key,
                  .attempt = ask.attempt,
                  .state = AttemptState::kNotKnown,
                  .answer = std::nullopt};
  const LedgerEntry* entry = FindAttempt(ask.attempt);
  if (entry != nullptr && entry->store_key == ask.store_key) {
    tell.state = StateOf(*entry);
    tell.answer = entry->answer;
    return tell;
  }
  const auto closed = closed_.find(ask.attempt);
  if (closed != closed_.end() && closed->second.store_key == ask.store_key) {
    tell.state = closed->second.state;
  }
  return tell;
}

}  // namespace oleander
