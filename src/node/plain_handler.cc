#include "node/plain_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "io/log.h"
#include "node/http_answers.h"
#include "node/workspace_server.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr size_t kMaxKeyBytes = 255;
constexpr size_t kMaxWorkspaceBytes = 128;
constexpr int kFirstServerError = 500;
constexpr int kMaxAttempts = 4;
constexpr std::string_view kPrefix = "/v1/services/";
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
constexpr Duration kDrainingRetryAfter = std::chrono::milliseconds(100);
// The caller's headers that are forwarded to the service.
constexpr auto kPassedHeaders = std::to_array<std::string_view>(
    {"content-type", "accept", "idempotency-key", "oleander-workspace",
     "authorization"});

bool IsPrintable(std::string_view text) {
  return std::ranges::all_of(
      text, [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

absl::Status CheckKey(std::string_view key) {
  if (key.empty() || key.size() > kMaxKeyBytes || !IsPrintable(key)) {
    return MakeError(
        ResultCode::kBadIdempotencyKey,
        fmt::format("The Idempotency-Key has {} characters; expected 1 to {} "
                    "printable characters without spaces.",
                    key.size(), kMaxKeyBytes));
  }
  return absl::OkStatus();
}

io::Headers PassedHeaders(const io::Headers& headers) {
  io::Headers passed;
  std::ranges::copy_if(
      headers, std::back_inserter(passed), [](const io::Header& header) {
        return std::ranges::find(kPassedHeaders, header.name) !=
               kPassedHeaders.end();
      });
  return passed;
}

}  // namespace

struct PlainHandler::Call {
  std::shared_ptr<io::HttpExchange> exchange;
  ServiceId service;
  WorkspaceId workspace;
  std::string path;    // Path within the service, with a leading slash.
  std::string target;  // `path` with the query.
  std::optional<std::string> key;
  Profile profile;
  bool repeatable = false;
  bool reads_own_writes = false;
  Time deadline;
  int attempts = 0;
  bool may_have_run = false;  // An attempt that ended was sent.
  std::vector<ServerId> avoid;
  bool maybe_stale = false;
};

void PlainHandler::Handle(const std::shared_ptr<io::HttpExchange>& exchange) {
  auto call = Check(exchange);
  if (!call.ok()) {
    parts_.metrics.CountAnswer("", CodeOf(call.status()));
    RespondError(*exchange, call.status());
    return;
  }
  if ((*call)->repeatable) {
    ++open_calls_;
    RunRepeatable(*call);
  } else {
    RunOnce(*call);
  }
}

absl::StatusOr<PlainHandler::CallPtr> PlainHandler::Check(
    const std::shared_ptr<io::HttpExchange>& exchange) {
  if (parts_.draining()) {
    return MakeError(
        {.code = ResultCode::kDraining,
         .ran = Ran::kNo,
         .retry_after = kDrainingRetryAfter},
        "This instance is draining; send the call to another instance.");
  }
  const io::HttpRequest& request = exchange->request();
  const std::string rest =
      request.path.substr(std::min(kPrefix.size(), request.path.size()));
  const size_t slash = rest.find('/');
  auto call = std::make_shared<Call>();
  call->exchange = exchange;
  call->service = ServiceId(rest.substr(0, slash));
  call->path = slash == std::string::npos ? "/" : rest.substr(slash);
  call->target =
      request.query.empty() ? call->path : call->path + "?" + request.query;
  const ProfileState* state = parts_.profiles.ForService(call->service);
  if (state == nullptr || !state->profile.has_value() ||
      state->profile->kind != ServerKind::kPlain) {
    return MakeError(
        ResultCode::kUnknownService,
        fmt::format("No profile in force serves the plain service \"{}\".",
                    call->service.value()));
  }
  const auto workspace = io::FindHeader(request.headers, "oleander-workspace");
  if (!workspace.has_value() || workspace->empty() ||
      workspace->size() > kMaxWorkspaceBytes) {
    return MakeError(ResultCode::kMissingWorkspace,
                     "The Oleander-Workspace header must name the workspace.");
  }
  call->workspace = WorkspaceId(std::string(*workspace));
  if (const auto key = io::FindHeader(request.headers, "idempotency-key")) {
    if (absl::Status status = CheckKey(*key); !status.ok()) {
      return status;
    }
    call->key = std::string(*key);
  }
  call->profile = *state->profile;
  const CallRule* rule =
      FindCallRule(call->profile, request.method, call->path);
  call->repeatable = rule != nullptr && rule->repeatable;
  call->reads_own_writes = rule != nullptr && rule->reads_own_writes;
  const Duration limit = call->profile.latency.deadline;
  call->deadline =
      parts_.loop.now() + (limit > Duration::zero() ? limit : kDefaultDeadline);
  return call;
}

void PlainHandler::RunOnce(const CallPtr& call) {
  const io::HttpRequest& request = call->exchange->request();
  LedgerRequest ledger;
  ledger.call.workspace = call->workspace;
  ledger.call.service = call->service;
  ledger.call.key = call->key;
  ledger.call.method = request.method;
  ledger.call.path = call->target;
  ledger.call.body = request.body;
  ledger.call.has_status_call = call->profile.status_call.has_value();
  ledger.call.deadline = call->deadline - parts_.loop.now();
  ledger.target = call->target;
  ledger.headers = PassedHeaders(request.headers);
  ledger.status_call = call->profile.status_call;
  parts_.ledger.Begin(
      std::move(ledger), [this, call](const LedgerAnswer& answer) {
        if (!answer.answer.ok()) {
          Fail(call, answer.answer.status());
          return;
        }
        if (answer.server.has_value()) {
          RecordWrite(*call, *answer.server);
        }
        io::Headers headers;
        if (answer.replayed) {
          headers.push_back({.name = "idempotency-replayed", .value = "true"});
        }
        Answer(call, answer.answer->http_status, answer.answer->content_type,
               answer.answer->body, std::move(headers));
      });
}

// Chooses a server for a repeatable call. A read that must see the writes of
// its workspace goes to the server that the mark of the last write names, or
// without a mark to the server that is assigned to the workspace.
absl::StatusOr<Route> PlainHandler::ChooseServer(
    Time now, const Call& call, const RouteQuery& query) const {
  if (!call.reads_own_writes ||
      parts_.router.HasWriteMark(call.service, call.workspace)) {
    return parts_.router.Choose(now, query);
  }
  const auto workspace_server = WorkspaceServer(
      parts_.router, now, call.service, call.workspace, call.avoid);
  if (!workspace_server.has_value()) {
    return parts_.router.Choose(now, query);
  }
  Route route;
  route.server = *workspace_server;
  return route;
}

void PlainHandler::RunRepeatable(const CallPtr& call) {
  const Time now = parts_.loop.now();
  RouteQuery query;
  query.service = call->service;
  query.workspace = call->workspace;
  query.bytes = static_cast<int64_t>(call->exchange->request().body.size());
  query.priority = call->profile.priority;
  query.weights = call->profile.weights;
  query.reads_own_writes = call->reads_own_writes;
  query.avoid = call->avoid;
  query.random_bits = random_();
  const auto route = ChooseServer(now, *call, query);
  const auto server =
      route.ok() ? parts_.servers.Find(route->server) : std::nullopt;
  if (!server.has_value()) {
    --open_calls_;
    Fail(call, route.ok() ? MakeError(ResultCode::kNoServer,
                                      "The chosen server is no longer listed.")
                          : route.status());
    return;
  }
  ++call->attempts;
  call->maybe_stale = route->may_be_stale;
  const uint64_t call_id = next_call_id_++;
  parts_.router.OnDispatched(
      now, {.attempt = call_id,
            .service = call->service,
            .server = server->id,
            .blocks = {},
            .prompt_tokens = 0,
            .cached_tokens = 0,
            .max_tokens = 0,
            .bytes = query.bytes,
            .expected_first_token = route->expected_first_token});
  const io::HttpRequest& received = call->exchange->request();
  io::HttpCallRequest request;
  request.address = server->address;
  request.port = server->port;
  request.method = received.method;
  request.target = call->target;
  request.headers = PassedHeaders(received.headers);
  request.body = received.body;
  // Limits the wait for one server, so that time for another attempt remains.
  const Duration bound = std::min(call->profile.retries.stall_bound,
                                  Duration(call->deadline - now));
  request.options.head_timeout = bound;
  request.options.progress_timeout = bound;
  parts_.http.Fetch(std::move(request), [this, call, server = *server, call_id](
                                            const io::HttpAnswer& answer) {
    OnRepeatableEnd(call, server, call_id, answer);
  });
}

void PlainHandler::OnRepeatableEnd(const CallPtr& call,
                                   const ServerInfo& server, uint64_t call_id,
                                   const io::HttpAnswer& answer) {
  const Time now = parts_.loop.now();
  const bool answered =
      answer.end.status.ok() && answer.status < kFirstServerError;
  parts_.router.OnEnded(
      now, call_id,
      {.outcome = answered ? CallOutcome::kAnswered : CallOutcome::kFailed});
  if (answered) {
    --open_calls_;
    parts_.retries.OnSuccess(call->service);
    io::Headers headers;
    if (call->maybe_stale) {
      headers.push_back({.name = "oleander-may-be-stale", .value = "true"});
    }
    Answer(call, answer.status,
           std::string(io::FindHeader(answer.headers, "content-type")
                           .value_or("text/plain")),
           answer.body, std::move(headers));
    return;
  }
  if (!answer.end.status.ok()) {
    parts_.http.CloseIdleConnections(server.address, server.port);
  }
  call->may_have_run = call->may_have_run || answer.end.sent;
  call->avoid.push_back(server.id);
  RetryOrFail(call,
              answer.end.status.ok()
                  ? MakeError(ResultCode::kServerFailed,
                              fmt::format("{} answered with HTTP status {}.",
                                          server.id.value(), answer.status))
                  : answer.end.status);
}

void PlainHandler::RetryOrFail(const CallPtr& call,
                               const absl::Status& status) {
  const bool may_retry = call->attempts < kMaxAttempts &&
                         parts_.loop.now() < call->deadline &&
                         parts_.retries.TryTake(call->service);
  if (!may_retry) {
    --open_calls_;
    Fail(call, status);
    return;
  }
  parts_.metrics.CountRetry(call->service.value());
  RunRepeatable(call);
}

void PlainHandler::Answer(const CallPtr& call, int http_status,
                          const std::string& content_type,
                          const std::string& body, io::Headers headers) {
  parts_.metrics.CountAnswer(call->service.value(), ResultCode::kOk);
  headers.push_back({.name = "content-type", .value = content_type});
  call->exchange->Respond(http_status, std::move(headers), body);
}

void PlainHandler::Fail(const CallPtr& call, const absl::Status& error) {
  // That the last attempt didn't run says nothing about the earlier ones.
  const bool lost = call->may_have_run && DetailsOf(error).ran == Ran::kNo;
  const absl::Status status =
      lost ? MakeError(ResultCode::kAnswerLost,
                       fmt::format("The answer was lost. {}",
                                   std::string(error.message())))
           : error;
  parts_.metrics.CountAnswer(call->service.value(), CodeOf(status));
  io::Log(io::LogLevel::kInfo, "call.failed",
          {{"service", call->service.value()},
           {"workspace", call->workspace.value()},
           {"code", static_cast<int>(CodeOf(status))},
           {"ran", RanName(DetailsOf(status).ran)},
           {"message", std::string(status.message())}});
  RespondError(*call->exchange, status);
}

// Records an acknowledged write and announces it. The version is zero because a
// service defines its own versions, so the only server that is known to have
// the write is the one that acknowledged it.
void PlainHandler::RecordWrite(const Call& call, const ServerId& server) {
  const WriteMark mark = {.service = call.service,
                          .workspace = call.workspace,
                          .server = server,
                          .version = 0};
  parts_.router.OnWrite(parts_.loop.now(), mark);
  parts_.broadcast_write(mark);
}

}  // namespace oleander::node
