// Claims in the key-value service: creating them, reading them back, taking
// them over and writing their outcome.
#include <fmt/format.h>

#include <algorithm>

#include "oleander/invariant.h"
#include "parts/ledger_impl.h"

namespace oleander {

void Ledger::Impl::StartOp(Time now, LedgerEntry& entry, StoreOp op) {
  ++counts_.store_ops;
  op.op = static_cast<StoreOpId>(++last_op_);
  op.key = entry.store_key;
  op.retention = options_.timing.retention;
  if (entry.op.has_value()) {
    ops_.erase(*entry.op);
  }
  entry.op = op.op;
  entry.op_sent_at = now;
  entry.retry_at.reset();
  ops_[op.op] = entry.ticket;
  actions_.push_back(std::move(op));
}

Claim Ledger::Impl::MakeOpenClaim(const LedgerEntry& entry) const {
  return {.attempt = entry.attempt,
          .holder = options_.self,
          .digest = entry.digest,
          .state = ClaimState::kOpen,
          .answer = std::nullopt};
}

void Ledger::Impl::Create(Time now, LedgerEntry& entry) {
  if (!entry.dispatched) {
    entry.stage = CallStage::kCreating;
  }
  StartOp(now, entry,
          {.kind = StoreOpKind::kCreate,
           .key = {},
           .value = EncodeClaim(MakeOpenClaim(entry))});
}

void Ledger::Impl::Read(Time now, LedgerEntry& entry) {
  StartOp(now, entry, {.kind = StoreOpKind::kRead, .key = {}, .value = {}});
}

void Ledger::Impl::TakeOver(Time now, LedgerEntry& entry) {
  ++counts_.taken_over;
  entry.stage = CallStage::kTakingOver;
  StartOp(now, entry,
          {.kind = StoreOpKind::kReplace,
           .key = {},
           .value = EncodeClaim(MakeOpenClaim(entry)),
           .revision = entry.other_record->revision});
}

void Ledger::Impl::StartStoring(Time now, LedgerEntry& entry,
                                ClaimState outcome) {
  const bool claiming = entry.stage == CallStage::kCreating ||
                        entry.stage == CallStage::kTakingOver;
  entry.maybe_claimed =
      entry.maybe_claimed || (claiming && entry.op.has_value());
  entry.outcome = entry.dispatched ? outcome : ClaimState::kAbandoned;
  entry.stage = CallStage::kStoring;
  entry.retry_at.reset();
  entry.status_due.reset();
  entry.status_next.reset();
  entry.store_until = now + options_.timing.outcome_store_timeout;
  entry.backoff.Reset();
  if (!entry.keyed()) {
    return;
  }
  if (entry.revision != 0) {
    StoreOutcome(now, entry);
  } else if (entry.maybe_claimed || entry.dispatched) {
    // A create or takeover may have taken effect, or may still do so. The claim
    // must not stay open in the name of an attempt that won't run.
    entry.retry_at = now + entry.backoff.Next();
  }
}

void Ledger::Impl::StoreOutcome(Time now, LedgerEntry& entry) {
  Claim claim = MakeOpenClaim(entry);
  claim.state = entry.outcome;
  const bool fits =
      entry.answer.has_value() &&
      entry.answer->body.size() <= options_.limits.max_stored_body;
  if (fits) {
    claim.answer = entry.answer;
  }
  StartOp(now, entry,
          {.kind = StoreOpKind::kReplace,
           .key = {},
           .value = EncodeClaim(claim),
           .revision = entry.revision});
}

void Ledger::Impl::RetryStore(Time now, LedgerEntry& entry) {
  switch (entry.stage) {
    case CallStage::kCreating:
      Create(now, entry);
      return;
    case CallStage::kReading:
    case CallStage::kTakingOver:
      entry.stage = CallStage::kReading;
      Read(now, entry);
      return;
    case CallStage::kQueryingHolder:
      QueryHolder(now, entry);
      return;
    case CallStage::kStoring:
      if (entry.revision != 0) {
        StoreOutcome(now, entry);
      } else {
        Read(now, entry);
      }
      return;
    case CallStage::kDispatched:
    case CallStage::kQueryingStatus:
      return;
  }
}

void Ledger::Impl::OnStoreResult(Time now, StoreOpId op,
                                 const StoreResult& result) {
  const auto found = ops_.find(op);
  if (found == ops_.end()) {
    return;
  }
  LedgerEntry& entry = *entries_.at(found->second);
  ops_.erase(found);
  entry.op.reset();
  switch (entry.stage) {
    case CallStage::kCreating:
      OnCreated(now, entry, result);
      break;
    case CallStage::kReading:
      OnRead(now, entry, result);
      break;
    case CallStage::kTakingOver:
      OnTakenOver(now, entry, result);
      break;
    case CallStage::kStoring:
      OnStored(now, entry, result);
      break;
    case CallStage::kQueryingHolder:
    case CallStage::kDispatched:
    case CallStage::kQueryingStatus:
      break;
  }
  CloseOrReschedule(entry);
}

void Ledger::Impl::OnCreated(Time now, LedgerEntry& entry,
                             const StoreResult& result) {
  const bool lost = result.outcome == StoreOutcome::kUnknown &&
                    !options_.mutations.lost_create_is_not_created;
  if (lost) {
    entry.maybe_claimed = true;
    entry.replaced_revision = 0;
  }
  if (result.outcome == StoreOutcome::kDone) {
    OnClaimHeld(now, entry, result.revision);
  } else if (result.outcome == StoreOutcome::kConflict &&
             result.record.has_value()) {
    EvaluateRecord(now, entry, *result.record);
  } else if (result.outcome == StoreOutcome::kConflict || lost) {
    ++counts_.read_back;
    entry.stage = CallStage::kReading;
    entry.retry_at = now + entry.backoff.Next();
  } else {
    AnswerNotRun(
        now, entry, ResultCode::kClaimStoreDown,
        "The key-value service did not store the claim, so the call was "
        "not sent.");
  }
}

void Ledger::Impl::OnRead(Time now, LedgerEntry& entry,
                          const StoreResult& result) {
  if (result.outcome != StoreOutcome::kDone) {
    entry.retry_at = now + entry.backoff.Next();
    return;
  }
  if (result.record.has_value()) {
    EvaluateRecord(now, entry, *result.record);
    return;
  }
  // An earlier create may still be in transit. Creating the claim again with
  // the same attempt is safe: only one of the two can take effect.
  Create(now, entry);
}

void Ledger::Impl::OnTakenOver(Time now, LedgerEntry& entry,
                               const StoreResult& result) {
  if (result.outcome == StoreOutcome::kDone) {
    OnClaimHeld(now, entry, result.revision);
    return;
  }
  if (result.outcome == StoreOutcome::kConflict && result.record.has_value()) {
    EvaluateRecord(now, entry, *result.record);
    return;
  }
  if (result.outcome == StoreOutcome::kUnknown) {
    entry.maybe_claimed = true;
    entry.replaced_revision = entry.other_record->revision;
  }
  entry.stage = CallStage::kReading;
  entry.retry_at = now + entry.backoff.Next();
}

void Ledger::Impl::OnStored(Time now, LedgerEntry& entry,
                            const StoreResult& result) {
  if (result.outcome == StoreOutcome::kDone && entry.revision != 0) {
    return;  // The outcome is stored.
  }
  const bool readable = result.outcome == StoreOutcome::kConflict ||
                        result.outcome == StoreOutcome::kDone;
  if (!readable) {
    if (now < entry.store_until) {
      entry.retry_at = now + entry.backoff.Next();
    }
    return;
  }
  const std::optional<Claim> claim = result.record.has_value()
                                         ? DecodeClaim(result.record->value)
                                         : std::nullopt;
  if (!claim.has_value()) {
    // The claim is absent, but a late create may still take effect, so it is
    // read again until `store_until`.
    if (!entry.dispatched && now < entry.store_until) {
      entry.retry_at = now + options_.timing.store_max_backoff;
    }
    return;
  }
  if (claim->attempt != entry.attempt) {
    CheckInvariant(!entry.dispatched || entry.outcome == ClaimState::kAbandoned,
                   "one_winner_per_claim", [&] {
                     return fmt::format(
                         "Attempt {} was dispatched, but the claim {} names "
                         "attempt {}.",
                         entry.attempt, entry.store_key, claim->attempt);
                   });
    return;
  }
  if (claim->state == ClaimState::kOpen) {
    entry.revision = result.record->revision;
    StoreOutcome(now, entry);
  }
}

void Ledger::Impl::EvaluateRecord(Time now, LedgerEntry& entry,
                                  const StoreRecord& record) {
  const std::optional<Claim> claim = DecodeClaim(record.value);
  entry.other_record = record;
  if (!claim.has_value()) {
    AnswerUnknown(now, entry, ResultCode::kClaimHolderUnknown,
                  "The claim in the key-value service is not valid.");
    return;
  }
  entry.other_claim = *claim;
  if (claim->attempt == entry.attempt) {
    entry.other_record.reset();
    OnClaimHeld(now, entry, record.revision);
    return;
  }
  if (record.revision != entry.replaced_revision) {
    // Another record is in place, so this attempt's write can no longer
    // succeed.
    entry.maybe_claimed = false;
  }
  if (claim->digest != entry.digest) {
    AnswerError(entry, MakeError(ResultCode::kKeyReusedWithOtherBody,
                                 fmt::format("Idempotency-Key {} was used "
                                             "with another call.",
                                             *entry.call.key)));
    StartStoring(now, entry, ClaimState::kOpen);
    return;
  }
  EvaluateOtherClaim(now, entry);
}

void Ledger::Impl::OnClaimHeld(Time now, LedgerEntry& entry, int64_t revision) {
  entry.revision = revision;
  // The evidence dates from when the operation was sent. If this instance was
  // suspended since then, it reads the claim again.
  const bool fresh = now - entry.op_sent_at <= options_.timing.max_claim_age ||
                     options_.mutations.skip_lease_check;
  if (!fresh) {
    entry.stage = CallStage::kReading;
    Read(now, entry);
    return;
  }
  Dispatch(now, entry);
}

}  // namespace oleander
