#include "node/chat_handler.h"

#include <fmt/format.h>

#include <utility>

#include "io/log.h"
#include "node/answer_stream.h"
#include "node/http_answers.h"
#include "oleander/result_code.h"

namespace oleander::node {
namespace {

constexpr int kAccepted = 202;
constexpr size_t kMaxWorkspaceBytes = 128;
constexpr Duration kDrainingRetryAfter = std::chrono::milliseconds(100);

bool WantsAsync(const io::Headers& headers) {
  const auto prefer = io::FindHeader(headers, "prefer");
  return prefer.has_value() &&
         prefer->find("respond-async") != std::string_view::npos;
}

ServiceId ServiceOf(const io::Headers& headers, const ChatRequest& chat) {
  const auto header = io::FindHeader(headers, "oleander-service");
  return ServiceId(header.has_value() ? std::string(*header) : chat.model);
}

// Returns the header that tells the caller whether the request has a replica
// and whether that is in another failure domain.
io::Headers HeadersFor(const AcceptResult& result) {
  io::Headers headers;
  if (result.replica.empty()) {
    headers.push_back({.name = "oleander-durability", .value = "none"});
  } else {
    headers.push_back(
        {.name = "oleander-durability",
         .value = result.other_domain ? "other-domain" : "same-domain"});
  }
  return headers;
}

}  // namespace

struct ChatHandler::Call {
  std::shared_ptr<io::HttpExchange> exchange;
  ChatRequest chat;
  RoutableRequest routable;
  ServiceId service;
  WorkspaceId workspace;
  Profile profile;
  bool respond_async = false;
  Time arrival;
  AdmissionId admission = 0;
  bool admitted = false;
  bool disconnected = false;
};

void ChatHandler::Handle(const std::shared_ptr<io::HttpExchange>& exchange) {
  auto call = Check(exchange);
  if (!call.ok()) {
    parts_.metrics.CountAnswer("", CodeOf(call.status()));
    RespondError(*exchange, call.status());
    return;
  }
  if ((*call)->respond_async) {
    // Asynchronous requests are accepted first and wait for admission
    // afterwards, so that a waiting request survives a reclaim of this instance
    // too.
    Accept(*call);
    return;
  }
  RequestAdmission(*call);
}

absl::StatusOr<std::shared_ptr<ChatHandler::Call>> ChatHandler::Check(
    const std::shared_ptr<io::HttpExchange>& exchange) {
  if (parts_.requests.table().draining()) {
    return MakeError(
        {.code = ResultCode::kDraining,
         .ran = Ran::kNo,
         .retry_after = kDrainingRetryAfter},
        "This instance is draining; send the request to another instance.");
  }
  const io::HttpRequest& request = exchange->request();
  const auto workspace = io::FindHeader(request.headers, "oleander-workspace");
  if (!workspace.has_value() || workspace->empty() ||
      workspace->size() > kMaxWorkspaceBytes) {
    return MakeError(ResultCode::kMissingWorkspace,
                     "The Oleander-Workspace header must name the workspace.");
  }
  auto chat = ParseChatRequest(request.body);
  if (!chat.ok()) {
    return chat.status();
  }
  auto call = std::make_shared<Call>();
  call->service = ServiceOf(request.headers, *chat);
  const ProfileState* state = parts_.profiles.ForService(call->service);
  if (state == nullptr || !state->profile.has_value() ||
      state->profile->kind != ServerKind::kEngine) {
    return MakeError(
        ResultCode::kUnknownService,
        fmt::format("No profile in force serves completions of \"{}\".",
                    call->service.value()));
  }
  call->exchange = exchange;
  call->routable.blocks = PrefixBlocks(chat->prompt);
  call->routable.prompt_tokens = CountWords(chat->prompt);
  call->routable.max_tokens = chat->max_tokens;
  call->chat = *std::move(chat);
  call->workspace = WorkspaceId(std::string(*workspace));
  call->profile = *state->profile;
  call->respond_async = WantsAsync(request.headers);
  call->arrival = parts_.loop.now();
  return call;
}

void ChatHandler::RequestAdmission(const std::shared_ptr<Call>& call) {
  const auto route = ExpectedRoute(*call);
  if (!route.ok()) {
    Refuse(call, route.status());
    return;
  }
  call->exchange->OnDisconnected([this, call] {
    call->disconnected = true;
    if (!call->admitted) {
      parts_.admission.Withdraw(parts_.loop.now(), call->admission);
    }
  });
  call->admission = parts_.admission.Offer(
      parts_.loop.now(), AdmissionQueryOf(*call, route->expected_first_token),
      [this, call](const absl::Status& status) {
        call->admitted = status.ok();
        // If Offer() decides at once, it has not returned the admission id yet,
        // so the remaining steps run in a later event.
        parts_.loop.Post([this, call, status] {
          if (!status.ok()) {
            Refuse(call, status);
          } else if (call->disconnected) {
            parts_.admission.Withdraw(parts_.loop.now(), call->admission);
          } else {
            Accept(call);
          }
        });
      });
}

AdmissionQuery ChatHandler::AdmissionQueryOf(
    const Call& call, Duration expected_first_token) const {
  const Profile& profile = call.profile;
  AdmissionQuery query;
  query.service = call.service;
  query.workspace = call.workspace;
  query.priority = profile.priority;
  query.share = ShareOf(profile, call.workspace);
  if (profile.latency.deadline > Duration::zero()) {
    query.deadline = call.arrival + profile.latency.deadline;
  }
  query.expected_first_token = expected_first_token;
  query.first_token_target = profile.priority == Priority::kInteractive
                                 ? profile.latency.first_token
                                 : Duration::zero();
  query.cost_tokens = static_cast<double>(call.routable.prompt_tokens +
                                          call.routable.max_tokens);
  query.max_in_flight = profile.workspaces.max_in_flight;
  return query;
}

absl::StatusOr<Route> ChatHandler::ExpectedRoute(const Call& call) {
  RouteQuery query;
  query.service = call.service;
  query.workspace = call.workspace;
  query.blocks = call.routable.blocks;
  query.prompt_tokens = call.routable.prompt_tokens;
  query.max_tokens = call.routable.max_tokens;
  query.priority = call.profile.priority;
  query.weights = call.profile.weights;
  query.first_token_target = call.profile.latency.first_token;
  query.random_bits = random_();
  return parts_.router.Choose(parts_.loop.now(), query);
}

void ChatHandler::Accept(const std::shared_ptr<Call>& call) {
  const Profile& profile = call->profile;
  RequestSpec spec;
  spec.service = call->service;
  spec.profile = profile.name;
  spec.workspace = call->workspace;
  spec.priority = profile.priority;
  spec.body = call->chat.body;
  spec.respond_async = call->respond_async;
  spec.stream = call->chat.stream;
  spec.max_tokens = call->chat.max_tokens;
  spec.deadline = profile.latency.deadline;
  spec.stall_bound = profile.retries.stall_bound;
  spec.first_event_bound =
      profile.latency.first_token + profile.retries.stall_bound;
  spec.replica = profile.durability.replica;
  spec.on_disconnect =
      call->respond_async ? OnDisconnect::kFinish : profile.on_disconnect;
  spec.answer_retention = profile.durability.answer_retention;
  spec.max_requests = profile.durability.max_requests;
  spec.max_bytes = profile.durability.max_bytes;
  parts_.requests.Accept(
      std::move(spec),
      [this, call](const RequestId& id) {
        if (call->admitted) {
          parts_.dispatcher.RetainAdmission(id, call->admission,
                                            call->routable);
        }
      },
      [this, call](const AcceptResult& result) { OnAccepted(call, result); });
}

void ChatHandler::OnAccepted(const std::shared_ptr<Call>& call,
                             const AcceptResult& result) {
  if (!result.status.ok()) {
    if (call->admitted) {
      parts_.dispatcher.DropAdmission(result.id);
      parts_.admission.Withdraw(parts_.loop.now(), call->admission);
    }
    Refuse(call, result.status);
    return;
  }
  parts_.metrics.ObserveHold(parts_.loop.now() - call->arrival);
  io::Log(io::LogLevel::kInfo, "request.accepted",
          {{"request", result.id.value()},
           {"service", call->service.value()},
           {"workspace", call->workspace.value()},
           {"replica", result.replica.value()},
           {"other_domain", result.other_domain}});
  io::Headers headers = HeadersFor(result);
  if (call->respond_async) {
    const std::string location = "/v1/requests/" + result.id.value();
    headers.push_back({.name = "location", .value = location});
    headers.push_back(
        {.name = "oleander-request-id", .value = result.id.value()});
    RespondJson(*call->exchange, kAccepted,
                {{"id", result.id.value()},
                 {"state", "queued"},
                 {"location", location}},
                std::move(headers));
    return;
  }
  AnswerStream::Start(
      parts_.requests, parts_.metrics, call->exchange,
      {.id = result.id,
       .model = call->chat.model,
       .service = call->service.value(),
       .form = call->chat.stream ? AnswerForm::kEvents : AnswerForm::kWhole,
       .from = 0,
       .headers = std::move(headers)});
}

void ChatHandler::Refuse(const std::shared_ptr<Call>& call,
                         const absl::Status& status) {
  parts_.metrics.CountAnswer(call->service.value(), CodeOf(status));
  io::Log(io::LogLevel::kInfo, "request.refused",
          {{"service", call->service.value()},
           {"workspace", call->workspace.value()},
           {"code", static_cast<int>(CodeOf(status))},
           {"message", std::string(status.message())}});
  RespondError(*call->exchange, status);
}

}  // namespace oleander::node
