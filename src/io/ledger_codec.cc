#include "io/ledger_codec.h"

#include <fmt/format.h>

#include "oleander/result_code.h"

namespace oleander::io {
namespace {

constexpr auto kLastState = static_cast<uint32_t>(AttemptState::kNotKnown);

absl::Status BadFrame(std::string_view field) {
  return MakeError(
      ResultCode::kMeshBadFrame,
      fmt::format("Ledger message: {} is missing or out of range.", field));
}

}  // namespace

mesh::LedgerMessage EncodeLedgerMessage(const LedgerMessage& message) {
  mesh::LedgerMessage frame;
  if (const auto* query = std::get_if<LedgerQuery>(&message)) {
    frame.mutable_ask()->set_store_key(query->store_key);
    frame.mutable_ask()->set_attempt(query->attempt);
    return frame;
  }
  const auto& reply = std::get<LedgerReply>(message);
  mesh::LedgerTell& out = *frame.mutable_tell();
  out.set_store_key(reply.store_key);
  out.set_attempt(reply.attempt);
  out.set_state(static_cast<uint32_t>(reply.state));
  if (reply.answer.has_value()) {
    mesh::LedgerAnswer& answer = *out.mutable_answer();
    answer.set_http_status(reply.answer->http_status);
    answer.set_content_type(reply.answer->content_type);
    answer.set_body(reply.answer->body);
  }
  return frame;
}

absl::StatusOr<LedgerMessage> DecodeLedgerMessage(
    const mesh::LedgerMessage& frame) {
  if (frame.has_ask()) {
    if (frame.ask().store_key().empty() || frame.ask().attempt().empty()) {
      return BadFrame("ask.store_key or ask.attempt");
    }
    return LedgerQuery{.store_key = frame.ask().store_key(),
                       .attempt = frame.ask().attempt()};
  }
  if (!frame.has_tell()) {
    return BadFrame("body");
  }
  const mesh::LedgerTell& in = frame.tell();
  if (in.store_key().empty() || in.attempt().empty()) {
    return BadFrame("tell.store_key or tell.attempt");
  }
  if (in.state() > kLastState) {
    return BadFrame("tell.state");
  }
  LedgerReply reply{.store_key = in.store_key(),
                    .attempt = in.attempt(),
                    .state = static_cast<AttemptState>(in.state()),
                    .answer = std::nullopt};
  if (in.has_answer()) {
    reply.answer = StoredAnswer{.http_status = in.answer().http_status(),
                                .content_type = in.answer().content_type(),
                                .body = in.answer().body()};
  }
  return reply;
}

}  // namespace oleander::io
