#include "node/request_driver.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace oleander::node {
namespace {

// Prevents a table that is always due from occupying the event loop completely.
constexpr Duration kMinTimerDelay = std::chrono::milliseconds(1);

}  // namespace

RequestDriver::RequestDriver(io::EventLoop& loop, RequestTableOptions options,
                             uint64_t seed, SendMessage send_message)
    : loop_(loop),
      table_(std::move(options), seed),
      send_message_(std::move(send_message)) {}

DispatchCallbacks RequestDriver::MakeDispatchCallbacks() {
  return {.on_started =
              [this](const AttemptKey& key, const ServerId& server) {
                table_.OnAttemptStarted(loop_.now(), key, server);
                ScheduleActions();
              },
          .on_tokens =
              [this](const AttemptKey& key, uint64_t first_index,
                     const std::vector<std::string>& tokens) {
                table_.OnTokens(loop_.now(), key, first_index, tokens);
                ScheduleActions();
              },
          .on_ended =
              [this](const AttemptKey& key, const AttemptOutcome& outcome) {
                table_.OnAttemptEnded(loop_.now(), key, outcome);
                ScheduleActions();
              }};
}

void RequestDriver::Accept(RequestSpec spec,
                           const std::function<void(const RequestId&)>& prepare,
                           std::function<void(const AcceptResult&)> done) {
  auto id = table_.Accept(loop_.now(), std::move(spec));
  if (!id.ok()) {
    done({.status = id.status(),
          .id = {},
          .replica = {},
          .other_domain = false});
    return;
  }
  accepting_.emplace(*id, PendingAccept{.done = std::move(done)});
  if (prepare) {
    prepare(*id);
  }
  ScheduleActions();
}

FollowerId RequestDriver::Follow(const RequestId& id, uint64_t from,
                                 FollowMode mode, AnswerReader reader) {
  const FollowerId follower = table_.Follow(loop_.now(), id, from, mode);
  readers_.insert_or_assign(follower, std::move(reader));
  ScheduleActions();
  return follower;
}

void RequestDriver::Unfollow(FollowerId follower) {
  readers_.erase(follower);
  table_.Unfollow(loop_.now(), follower);
  ScheduleActions();
}

void RequestDriver::Cancel(const RequestId& id, AnswerReader reader) {
  const FollowerId follower = table_.Cancel(loop_.now(), id);
  readers_.insert_or_assign(follower, std::move(reader));
  ScheduleActions();
}

void RequestDriver::OnMessage(const InstanceId& from,
                              const RequestMessage& message) {
  table_.OnMessage(loop_.now(), from, message);
  ScheduleActions();
}

void RequestDriver::OnServerLost(const ServerId& server) {
  table_.OnServerLost(loop_.now(), server);
  ScheduleActions();
}

void RequestDriver::ResumeElsewhere(const AttemptKey& key) {
  table_.ResumeElsewhere(loop_.now(), key);
  ScheduleActions();
}

void RequestDriver::SetPeers(const std::vector<PeerView>& peers) {
  table_.SetPeers(loop_.now(), peers);
  ScheduleActions();
}

void RequestDriver::Drain(bool handover) {
  table_.Drain(loop_.now(), handover);
  ScheduleActions();
}

void RequestDriver::Tick() {
  const auto due = table_.next_due();
  if (due.has_value() && *due <= loop_.now()) {
    table_.Tick(loop_.now());
    ScheduleActions();
  }
}

// Executes actions in a separate event, so that no callback of an action calls
// the table while another call of the table is running.
void RequestDriver::ScheduleActions() {
  if (!std::exchange(actions_scheduled_, true)) {
    loop_.Post([this] { ExecuteActions(); });
  }
}

void RequestDriver::ExecuteActions() {
  actions_scheduled_ = false;
  for (const RequestAction& action : table_.TakeActions()) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
  ArmTimer();
}

void RequestDriver::ArmTimer() {
  const auto due = table_.next_due();
  if (!due.has_value()) {
    timer_.Cancel();
    return;
  }
  const Duration left = *due - loop_.now();
  timer_ = loop_.After(std::max(left, kMinTimerDelay), [this] { Tick(); });
}

void RequestDriver::Perform(const SendRequestMessage& action) {
  send_message_(action.to, action.message);
}

void RequestDriver::Perform(const RequestAccepted& action) {
  const auto found = accepting_.find(action.id);
  if (found == accepting_.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  accepting_.erase(found);
  done({.status = absl::OkStatus(),
        .id = action.id,
        .replica = action.replica,
        .other_domain = action.other_domain});
}

void RequestDriver::Perform(const RequestRefused& action) {
  const auto found = accepting_.find(action.id);
  if (found == accepting_.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  accepting_.erase(found);
  done({.status = action.status,
        .id = action.id,
        .replica = {},
        .other_domain = false});
}

void RequestDriver::Perform(const DispatchAttempt& action) {
  dispatcher_->Start(loop_.now(), action);
}

void RequestDriver::Perform(const CancelAttempt& action) {
  dispatcher_->Cancel(loop_.now(), action.key);
}

void RequestDriver::Perform(const DeliverEvents& action) {
  const auto found = readers_.find(action.follower);
  if (found != readers_.end() && found->second.on_events) {
    // Copied first, because the callback may remove the reader.
    const auto on_events = found->second.on_events;
    on_events(action.first_index, action.events);
  }
}

void RequestDriver::Perform(const FollowerEnded& action) {
  const AnswerReader reader = TakeReader(action.follower);
  if (reader.on_end) {
    reader.on_end(action.end);
  }
}

void RequestDriver::Perform(const FollowerMoved& action) {
  const AnswerReader reader = TakeReader(action.follower);
  if (reader.on_moved) {
    reader.on_moved(action.next, action.to);
  }
}

void RequestDriver::Perform(const SnapshotReady& action) {
  const AnswerReader reader = TakeReader(action.follower);
  if (reader.on_snapshot) {
    reader.on_snapshot(action.view);
  }
}

AnswerReader RequestDriver::TakeReader(FollowerId follower) {
  const auto found = readers_.find(follower);
  if (found == readers_.end()) {
    return {};
  }
  AnswerReader reader = std::move(found->second);
  readers_.erase(found);
  return reader;
}

}  // namespace oleander::node
