// Carries out what the request table asks for: messages, attempts, and
// deliveries to readers.
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

// A reader of one answer, such as a caller's connection. Callbacks may be
// empty.
struct AnswerReader {
  std::function<void(uint64_t first_index,
                     const std::vector<std::string>& events)>
      on_events;
  std::function<void(const RequestEnd& end)> on_end;
  std::function<void(uint64_t next, const InstanceId& to)> on_moved;
  std::function<void(const absl::StatusOr<RequestView>& view)> on_snapshot;
};

// Whether a request was accepted, and where its replica is.
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

  // The dispatcher reports back to this driver, so it comes after construction.
  void SetDispatcher(Dispatcher* dispatcher) { dispatcher_ = dispatcher; }
  DispatchCallbacks MakeDispatchCallbacks();

  // `prepare` is called with the id before the first attempt starts; `done`
  // tells the outcome.
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
  void SchedulePump();
  void Pump();
  // Wakes the table when it is due; events that wait for a replica must not
  // wait for the node's next tick as well.
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
  // Removes and returns the reader of a follower; an empty one where it is
  // gone.
  AnswerReader TakeReader(FollowerId follower);

  struct PendingAccept {
    std::function<void(const AcceptResult&)> done;
  };

  io::EventLoop& loop_;
  RequestTable table_;
  SendMessage send_message_;
  Dispatcher* dispatcher_ = nullptr;
  bool pump_scheduled_ = false;
  io::Timer timer_;
  absl::flat_hash_map<RequestId, PendingAccept> accepting_;
  absl::flat_hash_map<FollowerId, AnswerReader> readers_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_REQUEST_DRIVER_H_
