#include "node/ledger_driver.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "io/log.h"
#include "node/workspace_server.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr size_t kMaxStoredAnswerBytes = 4 << 20;
constexpr int kOkStatus = 200;
constexpr int kNotFound = 404;
constexpr int kFirstServerError = 500;
constexpr size_t kMaxConnectAttempts = 3;
constexpr Duration kStatusTimeout = std::chrono::seconds(4);
// The store retains records for at least this time and at most twice this time.
constexpr Duration kRetention = std::chrono::hours(24);
constexpr Duration kLeaseRetryInterval = std::chrono::seconds(10);

StoreResult ResultOfCas(const absl::StatusOr<StoreCasAnswer>& answer) {
  StoreResult result;
  if (!answer.ok()) {
    result.outcome = DetailsOf(answer.status()).ran == Ran::kNo
                         ? StoreOutcome::kNotDone
                         : StoreOutcome::kUnknown;
    return result;
  }
  result.outcome =
      answer->succeeded ? StoreOutcome::kDone : StoreOutcome::kConflict;
  result.revision = answer->revision;
  if (!answer->succeeded && !answer->current.empty()) {
    const StoreEntry& entry = answer->current.front();
    result.record =
        StoreRecord{.value = entry.value, .revision = entry.mod_revision};
  }
  return result;
}

StoreResult ResultOfRange(const absl::StatusOr<StoreRangeAnswer>& answer) {
  StoreResult result;
  if (!answer.ok()) {
    // A read has no effect, so it can always be repeated.
    result.outcome = StoreOutcome::kNotDone;
    return result;
  }
  result.outcome = StoreOutcome::kDone;
  if (!answer->entries.empty()) {
    const StoreEntry& entry = answer->entries.front();
    result.record =
        StoreRecord{.value = entry.value, .revision = entry.mod_revision};
  }
  return result;
}

std::string ContentType(const io::Headers& headers) {
  return std::string(
      io::FindHeader(headers, "content-type").value_or("application/json"));
}

StatusFinding FindingOf(const io::HttpAnswer& answer) {
  if (!answer.end.status.ok()) {
    return StatusFinding::kFailed;
  }
  if (answer.status == kOkStatus) {
    return StatusFinding::kRan;
  }
  return answer.status == kNotFound ? StatusFinding::kNotSeen
                                    : StatusFinding::kFailed;
}

// Replaces "{key}" in the path of a status call by the idempotency key.
std::string WithKey(std::string path, const std::string& key) {
  constexpr std::string_view kPlaceholder = "{key}";
  const size_t at = path.find(kPlaceholder);
  return at == std::string::npos ? path
                                 : path.replace(at, kPlaceholder.size(), key);
}

}  // namespace

LedgerDriver::LedgerDriver(const LedgerDriverParts& parts,
                           LedgerOptions options, uint64_t seed,
                           SendMessage send_message)
    : parts_(parts),
      ledger_(std::move(options), seed),
      send_message_(std::move(send_message)) {}

void LedgerDriver::Begin(LedgerRequest request, Done done) {
  const auto ticket = ledger_.Begin(parts_.loop.now(), request.call);
  if (!ticket.ok()) {
    done(
        {.answer = ticket.status(), .replayed = false, .server = std::nullopt});
    return;
  }
  RunningCall& running = running_[*ticket];
  running.request = std::move(request);
  running.done = std::move(done);
  ScheduleActions();
}

void LedgerDriver::OnMessage(const InstanceId& from,
                             const LedgerMessage& message) {
  ledger_.OnMessage(parts_.loop.now(), from, message);
  ScheduleActions();
}

void LedgerDriver::Tick() {
  const Time now = parts_.loop.now();
  const auto due = ledger_.next_due();
  if (due.has_value() && *due <= now) {
    ledger_.Tick(now);
    ScheduleActions();
  }
}

void LedgerDriver::ScheduleActions() {
  if (!std::exchange(actions_scheduled_, true)) {
    parts_.loop.Post([this] { ExecuteActions(); });
  }
}

void LedgerDriver::ExecuteActions() {
  actions_scheduled_ = false;
  for (const LedgerAction& action : ledger_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
}

void LedgerDriver::Perform(const SendLedgerMessage& action) {
  send_message_(action.to, action.message);
}

void LedgerDriver::Perform(const StoreOp& action) {
  if (action.kind == StoreOpKind::kRead) {
    RunRead(action);
  } else {
    RunWrite(action);
  }
}

void LedgerDriver::RunRead(const StoreOp& op) {
  parts_.store.Range(
      StoreClass::kClaim, {.call = 0, .key = op.key, .prefix = false},
      [this, id = op.op](const absl::StatusOr<StoreRangeAnswer>& answer) {
        OnStoreResult(id, ResultOfRange(answer));
      });
}

void LedgerDriver::RunWrite(const StoreOp& op) {
  RenewRetentionLease();
  StoreCas cas;
  cas.compares = {
      {.key = op.key,
       .mod_revision = op.kind == StoreOpKind::kCreate ? 0 : op.revision}};
  cas.puts = {{.key = op.key, .value = op.value, .lease = retention_lease_}};
  parts_.store.Cas(
      StoreClass::kClaim, cas,
      [this, id = op.op](const absl::StatusOr<StoreCasAnswer>& answer) {
        OnStoreResult(id, ResultOfCas(answer));
      });
}

void LedgerDriver::OnStoreResult(StoreOpId op, const StoreResult& result) {
  ledger_.OnStoreResult(parts_.loop.now(), op, result);
  ScheduleActions();
}

// Takes a new store lease of twice the retention time whenever the retention
// time has passed. A shared lease costs one write per day and instance instead
// of one per record. Without a lease records never expire, so they are never
// retained for too short a time.
void LedgerDriver::RenewRetentionLease() {
  const Time now = parts_.loop.now();
  if (lease_pending_ || now < lease_renew_at_) {
    return;
  }
  lease_pending_ = true;
  parts_.store.LeaseGrant(
      StoreClass::kOther, {.call = 0, .ttl = 2 * kRetention},
      [this](const absl::StatusOr<StoreLeaseAnswer>& answer) {
        lease_pending_ = false;
        lease_renew_at_ = parts_.loop.now() +
                          (answer.ok() ? kRetention : kLeaseRetryInterval);
        retention_lease_ = answer.ok() ? answer->lease : 0;
      });
}

void LedgerDriver::Perform(const DispatchOnce& action) {
  const auto found = running_.find(action.ticket);
  if (found == running_.end()) {
    return;
  }
  found->second.attempt = action.attempt;
  SendCall(action.ticket);
}

// Sends the call to a server. Called again for another server only if no byte
// of the call was sent.
void LedgerDriver::SendCall(CallTicket ticket) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  RunningCall& running = found->second;
  const auto server = ChooseServer(running);
  if (!server.has_value()) {
    EndDispatch(ticket, /*sent=*/false,
                MakeError(ResultCode::kNoServer,
                          fmt::format("No server of {} accepts the call.",
                                      running.request.call.service.value())));
    return;
  }
  running.server = server->id;
  running.answer = {};
  running.answer_too_long = false;
  io::HttpCallCallbacks callbacks;
  callbacks.on_sent = [this, ticket] {
    if (!ledger_.OnSending(parts_.loop.now(), ticket)) {
      // The ledger ended the call before its first byte was sent, so the call
      // must not be sent any more.
      running_.at(ticket).call.reset();
      EndDispatch(ticket, /*sent=*/false,
                  MakeError(ResultCode::kDeadlinePassed,
                            "The call was abandoned before it was sent."));
    }
  };
  callbacks.on_head = [this, ticket](int status, const io::Headers& headers) {
    StoredAnswer& answer = running_.at(ticket).answer;
    answer.http_status = status;
    answer.content_type = ContentType(headers);
  };
  callbacks.on_body = [this, ticket](std::string_view chunk) {
    RunningCall& receiving = running_.at(ticket);
    std::string& body = receiving.answer.body;
    receiving.answer_too_long =
        receiving.answer_too_long ||
        body.size() + chunk.size() > kMaxStoredAnswerBytes;
    if (!receiving.answer_too_long) {
      body.append(chunk);
    }
  };
  callbacks.on_end = [this, ticket](const io::HttpCallEnd& end) {
    OnCallEnd(ticket, end);
  };
  running.call =
      parts_.http.Start(NewRequest(running, *server), std::move(callbacks));
}

std::optional<ServerInfo> LedgerDriver::ChooseServer(
    const RunningCall& running) {
  if (running.connect_failures.size() >= kMaxConnectAttempts) {
    return std::nullopt;
  }
  const LedgerCall& call = running.request.call;
  const auto chosen =
      WorkspaceServer(parts_.router, parts_.loop.now(), call.service,
                      call.workspace, running.connect_failures);
  return chosen.has_value() ? parts_.servers.Find(*chosen) : std::nullopt;
}

io::HttpCallRequest LedgerDriver::NewRequest(const RunningCall& running,
                                             const ServerInfo& server) const {
  const LedgerCall& call = running.request.call;
  io::HttpCallRequest request;
  request.address = server.address;
  request.port = server.port;
  request.method = call.method;
  request.target = running.request.target;
  request.headers = running.request.headers;
  request.headers.push_back({.name = "x-request-id", .value = running.attempt});
  request.body = call.body;
  request.options.fresh_connection = true;
  request.options.head_timeout = call.deadline;
  request.options.progress_timeout = call.deadline;
  return request;
}

void LedgerDriver::OnCallEnd(CallTicket ticket, const io::HttpCallEnd& end) {
  RunningCall& running = running_.at(ticket);
  // Destroyed in a later event, because the call ends inside its own callback.
  parts_.loop.Post(
      [call = std::shared_ptr<io::HttpCall>(std::move(running.call))] {});
  if (!end.sent && !end.status.ok()) {
    running.connect_failures.push_back(*running.server);
    SendCall(ticket);
    return;
  }
  if (!end.status.ok()) {
    EndDispatch(ticket, end.sent,
                MakeError(ResultCode::kAnswerLost,
                          fmt::format("The answer of {} did not arrive: {}",
                                      running.server->value(),
                                      std::string(end.status.message()))));
    return;
  }
  if (running.answer_too_long) {
    // A truncated answer is never returned as if it were complete.
    EndDispatch(
        ticket, /*sent=*/true,
        MakeError({.code = ResultCode::kBadAnswer,
                   .ran = Ran::kYes,
                   .retry_after = std::nullopt},
                  fmt::format("The answer of {} is longer than {} "
                              "bytes.",
                              running.server->value(), kMaxStoredAnswerBytes)));
    return;
  }
  EndDispatch(ticket, /*sent=*/true, running.answer);
}

void LedgerDriver::EndDispatch(CallTicket ticket, bool sent,
                               absl::StatusOr<StoredAnswer> answer) {
  ledger_.OnDispatchEnded(parts_.loop.now(), ticket,
                          {.sent = sent, .answer = std::move(answer)});
  ScheduleActions();
  const auto found = running_.find(ticket);
  if (found != running_.end() && !found->second.done) {
    running_.erase(found);  // The caller has its answer already.
  }
}

void LedgerDriver::Perform(const QueryStatus& action) {
  const auto found = running_.find(action.ticket);
  if (found == running_.end() ||
      !found->second.request.status_call.has_value()) {
    return;
  }
  const RunningCall& running = found->second;
  const auto server = ChooseServer(running);
  if (!server.has_value()) {
    ledger_.OnStatusAnswer(parts_.loop.now(), action.ticket,
                           StatusFinding::kFailed, std::nullopt);
    ScheduleActions();
    return;
  }
  const StatusCall& status_call = *running.request.status_call;
  io::HttpCallRequest request;
  request.address = server->address;
  request.port = server->port;
  request.method = status_call.method;
  request.target =
      WithKey(status_call.path, running.request.call.key.value_or(""));
  request.options.fresh_connection = true;
  request.options.head_timeout = kStatusTimeout;
  parts_.http.Fetch(std::move(request), [this, ticket = action.ticket](
                                            io::HttpAnswer answer) {
    const StatusFinding finding = FindingOf(answer);
    std::optional<StoredAnswer> stored;
    if (finding == StatusFinding::kRan) {
      stored = StoredAnswer{.http_status = answer.status,
                            .content_type = ContentType(answer.headers),
                            .body = std::move(answer.body)};
    }
    ledger_.OnStatusAnswer(parts_.loop.now(), ticket, finding,
                           std::move(stored));
    ScheduleActions();
  });
}

void LedgerDriver::Perform(const AnswerCall& action) {
  const auto found = running_.find(action.ticket);
  if (found == running_.end()) {
    return;
  }
  LedgerAnswer answer{
      .answer = action.answer, .replayed = action.replayed, .server = {}};
  if (action.answer.ok() && !action.replayed &&
      action.answer->http_status < kFirstServerError) {
    answer.server = found->second.server;
  }
  const Done done = std::move(found->second.done);
  if (found->second.call == nullptr) {
    running_.erase(found);
  } else {
    // The caller gets its answer now; the dispatch continues so that its
    // outcome is recorded.
    found->second.done = nullptr;
  }
  if (done) {
    done(answer);
  }
}

}  // namespace oleander::node
