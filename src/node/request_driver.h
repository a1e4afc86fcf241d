// Executes the actions of the request table: sends messages, starts and cancels
// attempts, and delivers events to readers. The table holds the requests of
// which this instance is the home (the primary) or a replica (a copy that can
// take over). A follower is the table's registration of a reader.
#ifndef OLEANDER_NODE_REQUEST_DRIVER_H_
#define OLEANDER_NODE_REQUEST_DRIVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "io/event_loop.h"
#include "node/dispatcher.h"
#include "oleander/requests.h"

namespace oleander::node {

// The callbacks of a reader of one answer, such as a caller's connection. Each
// may be empty.
struct AnswerReader {
  std::function<void(uint64_t first_index,
                     const std::vector<std::string>& events)>
      on_events;
  std::function<void(const RequestEnd& end)> on_end;
  std::function<void(uint64_t next, const InstanceId& to)> on_moved;
  std::function<void(const absl::StatusOr<RequestView>& view)> on_snapshot;
};

// Whether a request was accepted, and which instance holds its replica.
struct AcceptResult {
  absl::Status status;
  RequestId id;
  InstanceId replica;
  bool other_domain = false;
};

class RequestDriver {
 public:
  using SendMessage =
      std::function<void(const InstanceId& to, const RequestMessage& message)>;

  RequestDriver(io::EventLoop& loop, RequestTableOptions options, uint64_t seed,
                SendMessage send_message);

  // Sets the dispatcher. Not a constructor argument because the dispatcher
  // needs the callbacks of this driver for its own construction.
  void SetDispatcher(Dispatcher* dispatcher) { dispatcher_ = dispatcher; }
  DispatchCallbacks MakeDispatchCallbacks();

  // Calls `prepare` with the id before the first attempt starts, and `done`
  // with the outcome. If the table rejects the request at once, only `done` is
  // called.
  void Accept(RequestSpec spec,
              const std::function<void(const RequestId&)>& prepare,
              std::function<void(const AcceptResult&)> done);
  FollowerId Follow(const RequestId& id, uint64_t from, FollowMode mode,
                    AnswerReader reader);
  void Unfollow(FollowerId follower);
  void Cancel(const RequestId& id, AnswerReader reader);

  void OnMessage(const InstanceId& from, const RequestMessage& message);
  void OnServerLost(const ServerId& server);
  void ResumeElsewhere(const AttemptKey& key);
  void SetPeers(const std::vector<PeerView>& peers);
  void Drain(bool handover);
  void Tick();

  const RequestTable& table() const { return table_; }

 private:
  void ScheduleActions();
  void ExecuteActions();
  // Sets a timer for the table's next deadline. Events that wait for a replica
  // would otherwise also wait for the next tick of the node.
  void ArmTimer();
  void Perform(const SendRequestMessage& action);
  void Perform(const RequestAccepted& action);
  void Perform(const RequestRefused& action);
  void Perform(const DispatchAttempt& action);
  void Perform(const CancelAttempt& action);
  void Perform(const DeliverEvents& action);
  void Perform(const FollowerEnded& action);
  void Perform(const FollowerMoved& action);
  void Perform(const SnapshotReady& action);
  // Removes and returns the reader of a follower, or returns an empty reader if
  // there is none.
  AnswerReader TakeReader(FollowerId follower);

  struct PendingAccept {
    std::function<void(const AcceptResult&)> done;
  };

  io::EventLoop& loop_;
  RequestTable table_;
  SendMessage send_message_;
  Dispatcher* dispatcher_ = nullptr;
  bool actions_scheduled_ = false;
  io::Timer timer_;
  absl::flat_hash_map<RequestId, PendingAccept> accepting_;
  absl::flat_hash_map<FollowerId, AnswerReader> readers_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_REQUEST_DRIVER_H_
