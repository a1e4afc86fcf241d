// The implementation of Ledger. Its functions are in three files: ledger.cc
// (calls from Begin() to the answer), ledger_store.cc (claims in the key-value
// service) and ledger_holder.cc (claims that name another attempt).
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
  kReading,         // The claim is being read, to find out whose it is.
  kTakingOver,      // An abandoned claim is being replaced by this attempt's.
  kQueryingHolder,  // Another attempt is open; its holder is polled.
  kDispatched,      // Given out for sending; waits for the answer.
  kQueryingStatus,  // The service is queried whether the key has run.
  kStoring,         // The caller has its answer; the outcome is being stored.
};

// The state of one call from Begin() until its outcome is stored.
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

  // The pending store operation, and when to send the next one.
  std::optional<StoreOpId> op;
  Time op_sent_at;
  std::optional<Time> retry_at;
  Backoff backoff;
  int64_t revision = 0;  // The claim's revision, once it names this attempt.
  // A claim of this attempt may exist, because the reply to a create or to a
  // replace was lost. `replaced_revision` is the one that the replace expected;
  // 0 for a create.
  bool maybe_claimed = false;
  int64_t replaced_revision = 0;

  // The claim of another attempt with the same key, as read last.
  std::optional<StoreRecord> other_record;
  Claim other_claim;
  int holder_polls = 0;
  // The other attempt whose holder didn't reply or doesn't know its outcome.
  std::string inconclusive_attempt;

  bool dispatched = false;
  bool sending = false;  // The first byte was sent or is about to be sent.
  std::optional<Time> dispatch_due;
  std::optional<Time> status_due;   // The status call times out.
  std::optional<Time> status_next;  // The next status call is sent.

  bool answered = false;          // The caller has an answer.
  bool reported_not_run = false;  // The answer says `ran:"no"`.
  // Another attempt with this key may have run.
  bool other_may_have_run = false;
  ClaimState outcome = ClaimState::kOpen;  // Written to the claim in kStoring.
  std::optional<StoredAnswer> answer;
  Time store_until;  // The outcome's write isn't retried after that.

  std::optional<Time> due;  // The time of this entry in `queue_`.

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
  // The retained state of an attempt whose entry is closed.
  struct ClosedAttempt {
    std::string store_key;
    AttemptState state = AttemptState::kNotKnown;
    std::optional<StoredAnswer> answer;
  };

  // Functions in ledger.cc. Find() and FindAttempt() return nullptr if there is
  // no such entry.
  LedgerEntry* Find(CallTicket ticket);
  LedgerEntry* FindAttempt(const std::string& attempt);
  void Dispatch(Time now, LedgerEntry& entry);
  // Answers the caller unless it has an answer, and retains `answer` for the
  // claim. `replayed`: the answer is from another attempt with the key.
  void AnswerWith(LedgerEntry& entry, const StoredAnswer& answer,
                  bool replayed);
  // Ends the call with an error unless the caller has an answer.
  void AnswerError(LedgerEntry& entry, const absl::Status& status);
  // Ends a call that was not sent and never will be.
  void AnswerNotRun(Time now, LedgerEntry& entry, ResultCode code,
                    std::string_view message);
  // Ends a call of which it is unknown whether it ran.
  void AnswerUnknown(Time now, LedgerEntry& entry, ResultCode code,
                     std::string_view message);
  // The call was sent, but no answer arrived. Queries the service's status call
  // if there is one, else ends the call as unknown.
  void OnAnswerLost(Time now, LedgerEntry& entry, const absl::Status& why);
  void QueryStatusCall(Time now, LedgerEntry& entry);
  // The caller's deadline has passed: ends the call with what is known.
  void OnDeadline(Time now, LedgerEntry& entry);
  // Handles the entry's timeouts and retries that are due.
  void OnDue(Time now, LedgerEntry& entry);
  void Close(LedgerEntry& entry);
  // Retains the state of a keyed attempt, for queries of other instances.
  void RetainClosedAttempt(const LedgerEntry& entry);
  // Returns the attempt's state as reported to other instances.
  AttemptState StateOf(const LedgerEntry& entry) const;
  // Closes the entry if nothing is left to do, else updates its time in
  // `queue_`. Must be called after every change of an entry.
  void CloseOrReschedule(LedgerEntry& entry);
  // Returns the earliest timeout or retry of the entry.
  std::optional<Time> NextDue(const LedgerEntry& entry) const;

  // Functions in ledger_store.cc.

  // Sends a store operation of the entry; a pending one is then ignored.
  void StartOp(Time now, LedgerEntry& entry, StoreOp op);
  void Create(Time now, LedgerEntry& entry);
  void Read(Time now, LedgerEntry& entry);
  // Replaces the other attempt's claim by this attempt's.
  void TakeOver(Time now, LedgerEntry& entry);
  // Writes the outcome to the claim.
  void StoreOutcome(Time now, LedgerEntry& entry);
  // Enters kStoring: the caller has its answer, and the claim, if this attempt
  // has or may have one, gets the outcome.
  void StartStoring(Time now, LedgerEntry& entry, ClaimState outcome);
  // Repeats the operation or the poll of the entry's stage.
  void RetryStore(Time now, LedgerEntry& entry);
  void OnCreated(Time now, LedgerEntry& entry, const StoreResult& result);
  void OnRead(Time now, LedgerEntry& entry, const StoreResult& result);
  void OnTakenOver(Time now, LedgerEntry& entry, const StoreResult& result);
  void OnStored(Time now, LedgerEntry& entry, const StoreResult& result);
  // Decides by the record that the store holds under the key.
  void EvaluateRecord(Time now, LedgerEntry& entry, const StoreRecord& record);
  // The claim at `revision` names this attempt: dispatches the call, after one
  // more read if the evidence is too old.
  void OnClaimHeld(Time now, LedgerEntry& entry, int64_t revision);
  // Returns an open claim that names the entry's attempt.
  Claim MakeOpenClaim(const LedgerEntry& entry) const;

  // Functions in ledger_holder.cc.

  // Acts on the claim of another attempt by its state.
  void EvaluateOtherClaim(Time now, LedgerEntry& entry);
  // Queries the holder of the other attempt, or gives up after
  // `max_holder_polls` without a reply.
  void QueryHolder(Time now, LedgerEntry& entry);
  void OnHolderReply(Time now, LedgerEntry& entry, const LedgerReply& reply);
  // The holder didn't reply or doesn't know the outcome: reads the claim again.
  void OnHolderInconclusive(Time now, LedgerEntry& entry);
  // Queries the service's status call if there is one, else ends the call as
  // unknown.
  void ResolveWithoutHolder(Time now, LedgerEntry& entry);
  // Returns the state of an attempt of this instance.
  LedgerReply MakeReply(const LedgerQuery& query);

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
  // Keys of calls that this instance sent, so that a repeated call isn't
  // reported as not run.
  std::set<std::string> sent_keys_;
  std::deque<std::string> sent_keys_order_;
  std::set<std::pair<Time, CallTicket>> queue_;
  std::vector<LedgerAction> actions_;
  LedgerCounts counts_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_LEDGER_IMPL_H_
