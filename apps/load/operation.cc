#include "load/operation.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "load/chat_operation.h"
#include "load/deposit_operation.h"

namespace oleander::load {

std::string_view OutcomeName(Outcome outcome) {
  constexpr std::array<std::string_view, 6> kNames = {
      "open", "answered", "refused", "unknown", "lost", "wrong"};
  return kNames[static_cast<size_t>(outcome)];
}

Duration OperationContext::elapsed() const { return loop->now() - started; }

Operation::Operation(OperationContext context, const PlannedOperation& plan,
                     std::function<void()> on_end)
    : context_(context), plan_(plan), on_end_(std::move(on_end)) {
  result_.kind = plan.kind;
  result_.workspace = plan.workspace;
  result_.intended = plan.at;
}

Duration Operation::since_intended() const {
  return context_.elapsed() - plan_.at;
}

void Operation::Later(Duration delay, std::function<void()> callback) {
  timer_ = context_.loop->After(delay, std::move(callback));
}

void Operation::End(Outcome outcome, std::string detail) {
  if (ended()) {
    return;
  }
  result_.outcome = outcome;
  result_.detail = std::move(detail);
  result_.end = since_intended();
  on_end_();
}

std::string Operation::ReadError(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object()) {
    result_.detail = "no error body";
    return "unknown";
  }
  const auto& error = json["error"];
  result_.code = error.value("code", 0);
  result_.retry_after_ms = error.value("retry_after_ms", int64_t{-1});
  return error.value("ran", "unknown");
}

io::HttpCallRequest Operation::RequestTo(size_t entry, std::string method,
                                         std::string target) const {
  const EntryAddress& address = context_.entries->address(entry);
  io::HttpCallRequest request;
  request.address = address.address;
  request.port = address.port;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers = {{"oleander-workspace", plan_.workspace}};
  return request;
}

std::unique_ptr<Operation> MakeOperation(OperationContext context,
                                         const PlannedOperation& plan,
                                         std::function<void()> on_end) {
  switch (plan.kind) {
    case OperationKind::kChatStream:
    case OperationKind::kChatWhole:
    case OperationKind::kLongReview:
      return std::make_unique<ChatOperation>(context, plan, std::move(on_end));
    case OperationKind::kDepositWithKey:
    case OperationKind::kDepositWithoutKey:
    case OperationKind::kDoubleSubmit:
    case OperationKind::kDepositThenRead:
      break;
  }
  return std::make_unique<DepositOperation>(context, plan, std::move(on_end));
}

}  // namespace oleander::load
