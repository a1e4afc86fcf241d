// At-most-once execution of calls that may not repeat, such as deposits and
// disbursements.
//
// An attempt is one submission of a call to one instance. A call without an
// idempotency key is dispatched at most once. For a call with a key, the ledger
// first writes a claim to the platform's key-value service: a record that names
// the one attempt which may run. The claim is created only if the key has none;
// if the reply to that write is lost, the claim is read back to find out which
// attempt it names. Only the attempt that the claim names is dispatched, and at
// most once.
//
// A repeated call with the same key receives the stored answer, waits for the
// attempt of the claim's holder (the instance that wrote it), or takes the
// claim over if the holder confirms that its attempt was not dispatched and
// never will be. In every other case the caller receives an error that says
// that the outcome is unknown; the call never runs a second time.
//
//   Ledger ledger({.self = self}, seed);
//   CallTicket ticket = *ledger.Begin(now, call);
//   for (LedgerAction& action : ledger.TakeActions()) { ... }  // StoreOp
//   ledger.OnStoreResult(now, op, result);            // DispatchOnce
//   ledger.OnDispatchEnded(now, ticket, outcome);     // AnswerCall, StoreOp
#ifndef OLEANDER_LEDGER_H_
#define OLEANDER_LEDGER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "oleander/types.h"

namespace oleander {

// Identifies a call that Begin() accepted on this instance.
enum class CallTicket : uint64_t {};
// Identifies one operation on the key-value service.
enum class StoreOpId : uint64_t {};

// A call of a plain service, as the caller submitted it.
struct LedgerCall {
  WorkspaceId workspace;
  ServiceId service;
  std::optional<std::string> key;  // The caller's idempotency key.
  // The digest of method, path and body is stored with the key: a key can't be
  // used again for another call.
  std::string method;
  std::string path;
  std::string body;
  // The service declares a call that says whether a key has run.
  bool has_status_call = false;
  // The caller has an answer after this time at the latest.
  Duration deadline = std::chrono::seconds(30);
};

// A plain service's answer, as it is stored and returned to repeated calls.
struct StoredAnswer {
  int http_status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

// Operations on the platform's key-value service. kCreate takes effect only if
// the key is absent, kReplace only if the key is at the given revision.
enum class StoreOpKind { kCreate, kRead, kReplace };

struct StoreOp {
  StoreOpId op{};
  StoreOpKind kind = StoreOpKind::kRead;
  std::string key;
  std::string value;     // The new value, for kCreate and kReplace.
  int64_t revision = 0;  // The revision that kReplace expects.
  Duration retention{};  // Shortest time for which the record is stored.
};

struct StoreRecord {
  std::string value;
  int64_t revision = 0;  // The revision of the record's last change.
};

enum class StoreOutcome {
  kDone,      // Took effect, or was read.
  kConflict,  // Did not take effect; `record` is what the key holds.
  kNotDone,   // Did not take effect and never will.
  kUnknown,   // May have taken effect, or may still take effect.
};

struct StoreResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // The record that a read or a conflict found; nullopt if the key is absent.
  std::optional<StoreRecord> record = std::nullopt;
  // The record's new revision after a kCreate or kReplace.
  int64_t revision = 0;
};

// Requests the state of an attempt from the holder of its claim.
struct LedgerQuery {
  std::string store_key;
  std::string attempt;
};
enum class AttemptState {
  kRunning,         // Not finished.
  kAbandoned,       // Was not sent and never will be.
  kAnswered,        // The service answered.
  kOutcomeUnknown,  // Was sent; whether it ran is unknown.
  kNotKnown  // The holder has no state of the attempt; the claim may have it.
};
// The holder's reply to a LedgerQuery.
struct LedgerReply {
  std::string store_key;
  std::string attempt;
  AttemptState state = AttemptState::kNotKnown;
  std::optional<StoredAnswer> answer;
};
using LedgerMessage = std::variant<LedgerQuery, LedgerReply>;

// Actions that the owner of the ledger executes in order.
struct SendLedgerMessage {
  InstanceId to;
  LedgerMessage message;
};
// Sends the call to one server on a new connection, at most once. The owner may
// connect to another server only if no byte has been sent.
struct DispatchOnce {
  CallTicket ticket{};
  std::string attempt;  // Globally unique; sent as X-Request-Id.
};
// Queries the service with its declared status call whether the key has run.
struct QueryStatus {
  CallTicket ticket{};
};
// Ends a call with an error or with the service's answer.
struct AnswerCall {
  CallTicket ticket{};
  absl::StatusOr<StoredAnswer> answer;
  bool replayed = false;  // The answer is from another attempt with the key.
};
using LedgerAction = std::variant<SendLedgerMessage, StoreOp, DispatchOnce,
                                  QueryStatus, AnswerCall>;

// The end of a dispatch. `sent` is false only if no byte of the call can have
// reached a server.
struct DispatchOutcome {
  bool sent = true;
  absl::StatusOr<StoredAnswer> answer;
};
// The result of a status call. kNotSeen doesn't guarantee that the call won't
// run: it may still be in transit.
enum class StatusFinding { kRan, kNotSeen, kFailed };

struct LedgerTiming {
  Duration store_timeout = std::chrono::seconds(2);
  // Between two tries of a store operation: exponential backoff.
  Duration store_initial_backoff = std::chrono::milliseconds(100);
  Duration store_max_backoff = std::chrono::seconds(5);
  // If the store operation that confirmed the claim was sent longer ago, the
  // claim is read again before the dispatch.
  Duration max_claim_age = std::chrono::seconds(5);
  Duration dispatch_timeout = std::chrono::seconds(60);
  Duration status_timeout = std::chrono::seconds(5);
  // Between two queries to the holder of another attempt's claim.
  Duration holder_poll_interval = std::chrono::milliseconds(200);
  // After this many queries without a reply the holder counts as unreachable.
  int max_holder_polls = 5;
  // How long the outcome's write to the claim is retried.
  Duration outcome_store_timeout = std::chrono::minutes(10);
  Duration retention = std::chrono::hours(24);  // For claims in the store.
};

struct LedgerLimits {
  size_t max_calls = 4'096;  // Open calls of this instance.
  // Closed attempts whose state other instances can query. The same limit
  // applies to the keys whose calls were sent.
  size_t max_retained_attempts = 16'384;
  // In bytes. The claim of a longer answer holds the outcome without it.
  size_t max_stored_body = 256 << 10;
};

// Faults that tests enable to prove that the test would detect them.
struct LedgerMutations {
  // Dispatches in Begin(), before the claim is confirmed.
  bool dispatch_before_claim = false;
  // Treats a lost reply to a create as if the claim was not created.
  bool lost_create_is_not_created = false;
  // Reports a call as not run although some of its bytes may have been sent.
  bool not_run_after_partial_write = false;
  // Takes a claim over although its holder didn't confirm that the attempt
  // won't run.
  bool take_over_without_consent = false;
  // Dispatches even if the claim was confirmed longer ago than max_claim_age.
  bool skip_lease_check = false;
};

struct LedgerOptions {
  InstanceId self;
  LedgerTiming timing;
  LedgerLimits limits;
  LedgerMutations mutations;
};

struct LedgerCounts {
  uint64_t started = 0;
  uint64_t dispatched = 0;
  uint64_t answered = 0;
  uint64_t replayed = 0;
  uint64_t reported_not_run = 0;
  uint64_t reported_unknown = 0;
  uint64_t taken_over = 0;
  uint64_t read_back = 0;  // Claims read back after a lost create reply.
  uint64_t store_ops = 0;
};

// The state machine of this instance's calls. It does no I/O: events come in
// through the On...() functions, and TakeActions() returns the work to do.
// `seed` must differ between two runs of one instance, because it makes attempt
// names unique.
//
// Invariants: an attempt is dispatched at most once; a call is not dispatched
// after its caller received `ran:"no"`; a call with a key is dispatched only
// while the claim is known to name its attempt.
class Ledger {
 public:
  Ledger(LedgerOptions options, uint64_t seed);
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  // Starts a call and returns its ticket. Returns kOverloaded or
  // kBadIdempotencyKey before the call has any effect.
  absl::StatusOr<CallTicket> Begin(Time now, LedgerCall call);

  void OnStoreResult(Time now, StoreOpId op, const StoreResult& result);
  // Must be called right before the first byte is sent to a server. Returns
  // false if the call must not be sent because it has ended in the meantime.
  bool OnSending(Time now, CallTicket ticket);
  void OnDispatchEnded(Time now, CallTicket ticket,
                       const DispatchOutcome& outcome);
  void OnStatusAnswer(Time now, CallTicket ticket, StatusFinding finding,
                      std::optional<StoredAnswer> answer);
  void OnMessage(Time now, const InstanceId& from,
                 const LedgerMessage& message);

  // Handles the timeouts and retries that are due.
  void Tick(Time now);
  // The time of the next Tick() that has work; nullopt if no timer is set.
  std::optional<Time> next_due() const;
  std::vector<LedgerAction> TakeActions();

  // The number of calls without an answer or whose outcome isn't stored yet.
  size_t open_calls() const;
  // Returns whether no call is open. A graceful shutdown waits for this.
  bool CanExit() const;
  const LedgerCounts& counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns the key under which the key-value service holds a call's claim.
std::string ClaimStoreKey(const WorkspaceId& workspace,
                          const ServiceId& service, const std::string& key);

}  // namespace oleander

#endif  // OLEANDER_LEDGER_H_
