// The inside of Ledger. Its functions stand in three files: ledger.cc (calls
// from begin to answer), ledger_store.cc (claims in the key-value service) and
// ledger_holder.cc (claims that name another attempt).
#ifndef OLEANDER_PARTS_LEDGER_IMPL_H_
#define OLEANDER_PARTS_LEDGER_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oleander/ledger.h"
#include "oleander/result_code.h"
#include "oleander/retries.h"
#include "parts/ledger_claim.h"

namespace oleander {

enum class CallStage {
  kCreating,        // The claim is being created.
  kReading,         // The claim is being read, to learn whose it is.
  kTakingOver,      // An abandoned claim is being replaced by this attempt's.
  kQueryingHolder,  // Another attempt is open; its holder is asked.
  kDispatched,      // Sent once; waiting for the answer.
  kQueryingStatus,  // The service is asked whether the key has run.
  kStoring,         // The caller has its answer; the claim gets the outcome.
};

// One Begin().
struct LedgerEntry {
  LedgerEntry(LedgerCall ledger_call, const Backoff& store_backoff)
      : call(std::move(ledger_call)), backoff(store_backoff) {}

  CallTicket ticket{};
  LedgerCall call;
  std::string digest;
  std::string store_key;
  std::string attempt;
  CallStage stage = CallStage::kCreating;
  Time deadline;

  // The store operation under way, and when to send the next one.
  std::optional<StoreOpId> op;
  Time op_sent_at;
  std::optional<Time> retry_at;
  Backoff backoff;
  int64_t revision = 0;  // Of the claim, once it names this attempt.
  // A claim of this attempt may exist: the answer to a create (0) or to a
  // replace of this revision was lost.
  bool maybe_claimed = false;
  int64_t replaced_revision = 0;

  // While another attempt's claim is open.
  std::optional<StoreRecord> other_record;
  Claim other_claim;
  int holder_polls = 0;
  std::string inconclusive_attempt;  // Its holder does not answer for it.

  bool dispatched = false;
  bool sending = false;  // The first byte left or is about to.
  std::optional<Time> dispatch_due;
  std::optional<Time> status_due;   // No answer to the status call by then.
  std::optional<Time> status_next;  // Ask again then.

  bool answered = false;          // The caller has an answer.
  bool reported_not_run = false;  // And it said that the call did not run.
  bool other_may_have_run =
      false;  // Another attempt with this key may have run.
  ClaimState outcome = ClaimState::kOpen;  // What kStoring writes.
  std::optional<StoredAnswer> answer;
  Time store_until;

  std::optional<Time> due;  // Where the queue has it.

  bool keyed() const { return call.key.has_value(); }
};

class Ledger::Impl {
 public:
  Impl(LedgerOptions options, uint64_t seed);

  absl::StatusOr<CallTicket> Begin(Time now, LedgerCall call);
  void OnStoreResult(Time now, StoreOpId op, const StoreResult& result);
  bool OnSending(Time now, CallTicket ticket);
  void OnDispatchEnded(Time now, CallTicket ticket,
                       const DispatchOutcome& outcome);
  void OnStatusAnswer(Time now, CallTicket ticket, StatusFinding finding,
                      std::optional<StoredAnswer> answer);
  void OnMessage(Time now, const InstanceId& from,
                 const LedgerMessage& message);
  void Tick(Time now);
  std::optional<Time> next_due() const;
  std::vector<LedgerAction> TakeActions();
  size_t open_calls() const { return entries_.size(); }
  const LedgerCounts& counts() const { return counts_; }

 private:
  // What is remembered of an attempt whose entry is closed.
  struct ClosedAttempt {
    std::string store_key;
    AttemptState state = AttemptState::kNotKnown;
    std::optional<StoredAnswer> answer;
  };

  // ledger.cc
  LedgerEntry* Find(CallTicket ticket);
  LedgerEntry* FindAttempt(const std::string& attempt);
  void Dispatch(Time now, LedgerEntry& entry);
  void AnswerWith(LedgerEntry& entry, const StoredAnswer& answer,
                  bool replayed);
  void AnswerError(LedgerEntry& entry, const absl::Status& status);
  // The call was not sent and never will be.
  void AnswerNotRun(Time now, LedgerEntry& entry, ResultCode code,
                    std::string_view message);
  void AnswerUnknown(Time now, LedgerEntry& entry, ResultCode code,
                     std::string_view message);
  void OnAnswerLost(Time now, LedgerEntry& entry, const absl::Status& why);
  void QueryStatusCall(Time now, LedgerEntry& entry);
  void OnDeadline(Time now, LedgerEntry& entry);
  void OnDue(Time now, LedgerEntry& entry);
  void Close(LedgerEntry& entry);
  void RetainClosedAttempt(const LedgerEntry& entry);
  AttemptState StateOf(const LedgerEntry& entry) const;
  // Closes the entry where nothing is left to do, else queues it. Ends every
  // change of an entry.
  void CloseOrReschedule(LedgerEntry& entry);
  std::optional<Time> NextDue(const LedgerEntry& entry) const;

  // ledger_store.cc
  void StartOp(Time now, LedgerEntry& entry, StoreOp op);
  void Create(Time now, LedgerEntry& entry);
  void Read(Time now, LedgerEntry& entry);
  void TakeOver(Time now, LedgerEntry& entry);
  void StoreOutcome(Time now, LedgerEntry& entry);
  void StartStoring(Time now, LedgerEntry& entry, ClaimState outcome);
  void RetryStore(Time now, LedgerEntry& entry);
  void OnCreated(Time now, LedgerEntry& entry, const StoreResult& result);
  void OnRead(Time now, LedgerEntry& entry, const StoreResult& result);
  void OnTakenOver(Time now, LedgerEntry& entry, const StoreResult& result);
  void OnStored(Time now, LedgerEntry& entry, const StoreResult& result);
  // Decides by what the store holds under the key.
  void EvaluateRecord(Time now, LedgerEntry& entry, const StoreRecord& record);
  void OnClaimHeld(Time now, LedgerEntry& entry, int64_t revision);
  Claim MakeOpenClaim(const LedgerEntry& entry) const;

  // ledger_holder.cc
  void EvaluateOtherClaim(Time now, LedgerEntry& entry);
  void QueryHolder(Time now, LedgerEntry& entry);
  void OnHolderReply(Time now, LedgerEntry& entry, const LedgerReply& tell);
  void OnHolderInconclusive(Time now, LedgerEntry& entry);
  void ResolveWithoutHolder(Time now, LedgerEntry& entry);
  LedgerReply MakeReply(const LedgerQuery& ask);

  LedgerOptions options_;
  std::mt19937_64 random_;
  std::string run_id_;  // Unique to this run of the instance.
  uint64_t last_ticket_ = 0;
  uint64_t last_op_ = 0;
  std::map<CallTicket, std::unique_ptr<LedgerEntry>> entries_;
  std::map<StoreOpId, CallTicket> ops_;
  std::map<std::string, CallTicket> attempts_;
  std::map<std::string, ClosedAttempt> closed_;
  std::deque<std::string> closed_order_;
  // Keys whose call left this instance, so that a repeat isn't told "no".
  std::set<std::string> sent_keys_;
  std::deque<std::string> sent_keys_order_;
  std::set<std::pair<Time, CallTicket>> queue_;
  std::vector<LedgerAction> actions_;
  LedgerCounts counts_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_LEDGER_IMPL_H_
