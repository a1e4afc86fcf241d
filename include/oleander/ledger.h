// Calls that may not repeat: deposits, disbursements.
//
// Without an idempotency key a call is dispatched once and never again. With a
// key, a claim in the platform's key-value service comes first, created only if
// absent and carrying this attempt's own name; a lost answer is settled by
// reading the claim back. Only the attempt in the claim is dispatched, once.
// A repeat with the same key gets the stored answer, waits at the claim's
// holder, or takes over where the holder confirms that it never dispatched and
// never will. In every other case the caller is told that the outcome is
// unknown; there is never a second run.
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

// Names one Begin() on this instance.
enum class CallTicket : uint64_t {};
// Names one operation on the store.
enum class StoreOpId : uint64_t {};

struct LedgerCall {
  WorkspaceId workspace;
  ServiceId service;
  std::optional<std::string> key;  // The caller's idempotency key.
  // What the call is: method, path and body. A key is bound to its digest.
  std::string method;
  std::string path;
  std::string body;
  bool has_status_call = false;
  // How long the caller waits for an answer.
  Duration deadline = std::chrono::seconds(30);
};

// A plain service's answer, as it is stored and given to repeats.
struct StoredAnswer {
  int http_status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

// Operations on the platform's key-value service.
enum class StoreOpKind { kCreate, kRead, kReplace };

struct StoreOp {
  StoreOpId op{};
  StoreOpKind kind = StoreOpKind::kRead;
  std::string key;
  std::string value;     // Of kCreate and kReplace.
  int64_t revision = 0;  // kReplace only takes effect at this revision.
  Duration retention{};  // How long the store keeps the record.
};

struct StoreRecord {
  std::string value;
  int64_t revision = 0;  // Of its last change.
};

enum class StoreOutcome {
  kDone,      // Took effect, or was read.
  kConflict,  // Did not take effect: the record is another; see `record`.
  kNotDone,   // Did not take effect and never will.
  kUnknown,   // May have taken effect, or may yet.
};

struct StoreResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // What kRead or kConflict found; nothing where the key is absent.
  std::optional<StoreRecord> record = std::nullopt;
  // The revision that kCreate or kReplace made.
  int64_t revision = 0;
};

// Asks the holder of a claim how its attempt stands.
struct LedgerQuery {
  std::string store_key;
  std::string attempt;
};
enum class AttemptState {
  kRunning,
  kAbandoned,
  kAnswered,
  kOutcomeUnknown,
  kNotKnown
};
struct LedgerReply {
  std::string store_key;
  std::string attempt;
  AttemptState state = AttemptState::kNotKnown;
  std::optional<StoredAnswer> answer;
};
using LedgerMessage = std::variant<LedgerQuery, LedgerReply>;

// Actions, carried out in order.
struct SendLedgerMessage {
  InstanceId to;
  LedgerMessage message;
};
// Send the call to one server on a fresh connection, at most once. Connecting
// to another server is allowed only as long as no byte was sent.
struct DispatchOnce {
  CallTicket ticket{};
  std::string attempt;  // Unique; goes out as X-Request-Id.
};
// Ask the service by its declared status call whether the key has run.
struct QueryStatus {
  CallTicket ticket{};
};
// The end of a call: an error, or the service's answer.
struct AnswerCall {
  CallTicket ticket{};
  absl::StatusOr<StoredAnswer> answer;
  bool replayed = false;  // From an earlier run of the same key.
};
using LedgerAction = std::variant<SendLedgerMessage, StoreOp, DispatchOnce,
                                  QueryStatus, AnswerCall>;

// How a dispatch ended. `sent` is false only where no byte of the call can
// have reached a server.
struct DispatchOutcome {
  bool sent = true;
  absl::StatusOr<StoredAnswer> answer;
};
// What a status call found. kNotSeen doesn't promise that the call won't run.
enum class StatusFinding { kRan, kNotSeen, kFailed };

struct LedgerTiming {
  Duration store_timeout = std::chrono::seconds(2);
  Duration store_initial_backoff = std::chrono::milliseconds(100);
  Duration store_max_backoff = std::chrono::seconds(5);
  // A claim older than this is read again before its dispatch.
  Duration max_claim_age = std::chrono::seconds(5);
  Duration dispatch_timeout = std::chrono::seconds(60);
  Duration status_timeout = std::chrono::seconds(5);
  Duration holder_poll_interval = std::chrono::milliseconds(200);
  int max_holder_polls = 5;  // Without an answer: the holder counts as gone.
  Duration outcome_store_timeout = std::chrono::minutes(10);
  Duration retention = std::chrono::hours(24);
};

struct LedgerLimits {
  size_t max_calls = 4'096;  // Open at once on this instance.
  size_t max_retained_attempts =
      16'384;                          // Attempts whose state others may ask.
  size_t max_stored_body = 256 << 10;  // Longer answers aren't stored whole.
};

// Faults that tests switch on to show that they would be noticed.
struct LedgerMutations {
  bool dispatch_before_claim = false;
  bool lost_create_is_not_created = false;
  bool not_run_after_partial_write = false;
  bool take_over_without_consent = false;
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
  uint64_t read_back = 0;  // Lost answers settled by reading.
  uint64_t store_ops = 0;
};

// The state machine. `seed` must differ between two runs of one instance: it
// makes attempt names unique.
//
// Invariants: an attempt is dispatched at most once; nothing is dispatched
// after its caller was told `ran:"no"`; a call with a key is dispatched only
// while the claim is known to name its attempt.
class Ledger {
 public:
  Ledger(LedgerOptions options, uint64_t seed);
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  // Refuses with kOverloaded or kBadIdempotencyKey before anything is done.
  absl::StatusOr<CallTicket> Begin(Time now, LedgerCall call);

  void OnStoreResult(Time now, StoreOpId op, const StoreResult& result);
  // The first byte is about to leave for a server. Where this returns false
  // the call must not be sent: it was ended meanwhile.
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

  // Calls without an answer, and outcomes that are not yet stored.
  size_t open_calls() const;
  // Whether nothing is open: a graceful stop waits for this.
  bool CanExit() const;
  const LedgerCounts& counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The key-value service's key of a claim.
std::string ClaimStoreKey(const WorkspaceId& workspace,
                          const ServiceId& service, const std::string& key);

}  // namespace oleander

#endif  // OLEANDER_LEDGER_H_
