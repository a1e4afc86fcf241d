#include "load/deposit_operation.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace oleander::load {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kSeeOther = 303;
constexpr int kMaxUnsentTries = 5;  // Limits retries of unsent requests.
constexpr int kMaxReads = 3;
// Time from one instance's answer until the read arrives at another: the
// caller's two trips over the network.
constexpr Duration kThinkTime = std::chrono::milliseconds(5);
constexpr Duration kRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kHeadTimeout = std::chrono::seconds(15);

Json ParseObject(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  return json.is_object() ? json : Json::object();
}

}  // namespace

DepositOperation::DepositOperation(OperationContext context,
                                   const PlannedOperation& plan,
                                   std::function<void()> on_end)
    : Operation(context, plan, std::move(on_end)),
      account_(
          fmt::format("account-{}-{}", context.workload->seed, plan.number)) {
  result_.marker =
      fmt::format("deposit-{}-{}", context.workload->seed, plan.number);
}

bool DepositOperation::keyed() const {
  return plan_.kind == OperationKind::kDepositWithKey ||
         plan_.kind == OperationKind::kDoubleSubmit;
}

void DepositOperation::Start() {
  submissions_.push_back(
      {.entry = context_.entries->Pick(), .run = {}, .detail = {}});
  if (plan_.kind == OperationKind::kDoubleSubmit) {
    const auto first = static_cast<int>(submissions_[0].entry);
    submissions_.push_back(
        {.entry = context_.entries->Pick(first), .run = {}, .detail = {}});
  }
  timers_.resize(submissions_.size());
  for (size_t index = 0; index < submissions_.size(); ++index) {
    Submit(index);
  }
}

void DepositOperation::RunAfterFor(size_t index, Duration delay,
                                   std::function<void()> callback) {
  timers_[index] = context_.loop->After(delay, std::move(callback));
}

void DepositOperation::Submit(size_t index) {
  Submission& submission = submissions_[index];
  ++submission.tries;
  const std::string service = "/v1/services/" + context_.workload->desk_service;
  io::HttpCallRequest request =
      RequestTo(submission.entry, "POST", service + "/deposits");
  request.headers.push_back({"content-type", "application/json"});
  if (keyed()) {
    request.headers.push_back({"idempotency-key", result_.marker});
  }
  request.body = Json{{"account", account_},
                      {"amount", plan_.amount},
                      {"note", result_.marker}}
                     .dump();
  request.options.head_timeout = kHeadTimeout;
  context_.client->Fetch(
      std::move(request),
      [this, index](const io::HttpAnswer& answer) { OnAnswer(index, answer); });
}

void DepositOperation::OnAnswer(size_t index, const io::HttpAnswer& answer) {
  Submission& submission = submissions_[index];
  if (!answer.end.status.ok()) {
    if (!answer.end.sent && submission.tries < kMaxUnsentTries) {
      submission.entry =
          context_.entries->Pick(static_cast<int>(submission.entry));
      RunAfterFor(index, kRetryAfter, [this, index] { Submit(index); });
      return;
    }
    OnUnknownOutcome(index, answer.end.status.ToString());
    return;
  }
  if (const auto id = io::FindHeader(answer.headers, "oleander-request-id")) {
    result_.request_id = *id;
  }
  if (answer.status == kOk) {
    CheckAnswer(submission, answer.body);
    FinishSubmission(index, submission.outcome, submission.detail);
    return;
  }
  if (answer.status == kSeeOther || answer.status == kAccepted) {
    result_.accepted = true;
    FollowLater(index, result_.request_id);
    return;
  }
  const std::string ran = ReadError(answer.body);
  const std::string detail =
      fmt::format("status {} code {} ran {}", answer.status, result_.code, ran);
  if (ran == "no") {
    FinishSubmission(index, Outcome::kRefused, detail);
  } else {
    OnUnknownOutcome(index, detail);
  }
}

void DepositOperation::CheckAnswer(Submission& submission,
                                   const std::string& body) {
  const Json json = ParseObject(body);
  const bool right = json.value("account", "") == account_ &&
                     json.value("amount", 0) == plan_.amount &&
                     json.contains("run");
  submission.outcome = right ? Outcome::kAnswered : Outcome::kWrong;
  submission.detail = right ? "" : "the answer is " + body.substr(0, 200);
  if (right) {
    submission.run = json.value("desk", "") + ":" + json.at("run").dump();
  }
}

void DepositOperation::OnUnknownOutcome(size_t index,
                                        const std::string& detail) {
  Submission& submission = submissions_[index];
  const bool in_time = since_intended() < context_.workload->recover_within;
  if (!keyed() || !in_time) {
    FinishSubmission(index, Outcome::kUnknown, detail);
    return;
  }
  ++result_.reconnects;
  submission.entry = context_.entries->Pick(static_cast<int>(submission.entry));
  RunAfterFor(index, kRetryAfter, [this, index] { Submit(index); });
}

void DepositOperation::FollowLater(size_t index,
                                   const std::string& request_id) {
  RunAfterFor(index, kRetryAfter,
              [this, index, request_id] { Follow(index, request_id); });
}

void DepositOperation::Follow(size_t index, const std::string& request_id) {
  Submission& submission = submissions_[index];
  submission.entry = context_.entries->Pick(static_cast<int>(submission.entry));
  io::HttpCallRequest request =
      RequestTo(submission.entry, "GET", "/v1/requests/" + request_id);
  context_.client->Fetch(std::move(request), [this, index, request_id](
                                                 const io::HttpAnswer& answer) {
    OnState(index, request_id, answer);
  });
}

void DepositOperation::OnState(size_t index, const std::string& request_id,
                               const io::HttpAnswer& answer) {
  const Json json = ParseObject(answer.body);
  const std::string state = json.value("state", "");
  Submission& submission = submissions_[index];
  if (answer.end.status.ok() && state == "done") {
    CheckAnswer(submission, json.value("text", ""));
    FinishSubmission(index, submission.outcome, submission.detail);
    return;
  }
  if (state == "failed" || state == "cancelled") {
    const std::string ran = ReadError(answer.body);
    FinishSubmission(
        index, ran == "no" ? Outcome::kRefused : Outcome::kUnknown,
        fmt::format("{} code {} ran {}", state, result_.code, ran));
    return;
  }
  if (since_intended() > context_.workload->recover_within) {
    FinishSubmission(
        index, Outcome::kUnknown,
        "the result of the accepted request was not found in time");
    return;
  }
  FollowLater(index, request_id);
}

void DepositOperation::FinishSubmission(size_t index, Outcome outcome,
                                        std::string detail) {
  submissions_[index].outcome = outcome;
  submissions_[index].detail = std::move(detail);
  const bool all = std::ranges::none_of(
      submissions_, [](const auto& s) { return s.outcome == Outcome::kOpen; });
  if (all) {
    FinishOperation();
  }
}

void DepositOperation::FinishOperation() {
  // The first outcome of this list that any submission has is the result: the
  // deposit counts as refused only if every submission was refused.
  constexpr Outcome kOrder[] = {Outcome::kWrong, Outcome::kAnswered,
                                Outcome::kUnknown, Outcome::kRefused};
  for (const Outcome outcome : kOrder) {
    const auto found =
        std::ranges::find(submissions_, outcome, &Submission::outcome);
    if (found == submissions_.end()) {
      continue;
    }
    result_.accepted |= outcome == Outcome::kAnswered;
    result_.ran_twice =
        std::ranges::any_of(submissions_, [&](const Submission& s) {
          return !s.run.empty() && s.run != found->run;
        });
    if (outcome == Outcome::kAnswered &&
        plan_.kind == OperationKind::kDepositThenRead) {
      Later(kThinkTime, [this] { Read(); });
      return;
    }
    End(outcome, found->detail);
    return;
  }
}

void DepositOperation::Read() {
  ++reads_;
  const size_t written = submissions_[0].entry;
  const size_t entry = context_.workload->read_where_written
                           ? written
                           : context_.entries->Pick(static_cast<int>(written));
  io::HttpCallRequest request =
      RequestTo(entry, "GET",
                "/v1/services/" + context_.workload->desk_service +
                    "/balance/" + account_);
  context_.client->Fetch(
      std::move(request),
      [this](const io::HttpAnswer& answer) { OnBalance(answer); });
}

void DepositOperation::OnBalance(const io::HttpAnswer& answer) {
  if (!answer.end.status.ok() || answer.status != kOk) {
    if (reads_ < kMaxReads) {
      Later(kRetryAfter, [this] { Read(); });
      return;
    }
    End(Outcome::kAnswered, "the balance could not be read");
    return;
  }
  const Json json = ParseObject(answer.body);
  const int balance = json.value("balance", -1);
  result_.stale_read = balance < plan_.amount;
  const bool right = json.value("account", "") == account_ &&
                     (balance == plan_.amount || result_.stale_read);
  End(right ? Outcome::kAnswered : Outcome::kWrong,
      result_.stale_read || !right
          ? "the balance is " + answer.body.substr(0, 200)
          : "");
}

}  // namespace oleander::load
