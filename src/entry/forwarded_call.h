// Forwards one caller's request: makes attempts at backend servers, returns the
// answer or stream, and logs one line for each decision.
//
// An answer that isn't a stream is buffered in full before the caller receives
// a byte, so that after a broken answer the call can be retried at another
// server if the route allows it. Streams are forwarded event by event; a
// resumable stream continues at another server after its last complete event.
#ifndef OLEANDER_ENTRY_FORWARDED_CALL_H_
#define OLEANDER_ENTRY_FORWARDED_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "entry/accepted_call.h"
#include "entry/call_context.h"
#include "entry/origin_keeper.h"
#include "oleander/event_cutter.h"
#include "oleander/send_policy.h"
#include "oleander/stream_origins.h"

namespace oleander::entry {

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
 public:
  ForwardedCall(CallContext& context, AcceptedCall call);
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;
  ~ForwardedCall();

  // Starts the deadline timer and the first attempt. From then on the exchange
  // owns the call.
  void Start();
  // The process is about to end: sends the final answer, if the call isn't
  // finished.
  void OnStop();
  // This instance has been cut off from the servers: gives up an attempt that
  // waits for its answer, if the call may be sent again.
  void OnCutOff();

  const std::string& attempt() const { return call_.intake.attempt; }
  // Returns the origin of the stream if it may be taken up and this attempt has
  // brought its first event.
  std::optional<StreamOrigin> origin() const;

 private:
  // How the body of the current attempt's answer is handled.
  enum class Mode { kAwaitingHead, kDiscard, kCollect, kStream };

  // Returns whether the caller goes on with a stream that broke off.
  bool TakesUpStream() const;
  // Finds the version that began the stream, then sends the call.
  void SendToOrigin();
  void OnOrigin(const OriginAnswer& answer);
  void SendNext();
  // Asks for a server that the placement request allows.
  void ChooseServer();
  // Returns the versions that the attempt must not begin a stream at.
  std::vector<std::string> VersionsNotToBegin() const;
  // Sets the version of the next attempt: of the stream that it goes on with,
  // or what the roll-out of the service asks for. Returns false if the call has
  // been refused.
  bool SetVersion();
  // Returns where the roll-out of the service lets the call go. The first
  // attempt takes its turn; one at the target isn't followed by another there
  // while the target is on trial.
  RolloutChoice ChooseByRollout();
  // No server is left that the roll-out allows: widens the request to those
  // that serve in this case. Returns false if there are none.
  bool WidenRollout();
  // Returns whether the service has a server of another version than these.
  bool HasOtherVersion(const std::vector<std::string>& versions) const;
  // Records an answer, or the lack of one, for the roll-out of the service.
  void RecordRolloutAnswer(bool good);
  void RecordRolloutEnd();
  // Returns whether a peer may serve the call in place of this instance.
  bool MayBeRelayed() const;
  // Called if this instance can't reach a server: leaves the call to a peer
  // or, if a peer relays it, refuses it, so that another one is asked. Returns
  // false if neither applies.
  bool LeaveToPeer();
  // Leaves the call to a RelayedCall, which then owns the answer.
  void HandOver();
  // Returns whether the current configuration allows the call to be sent and
  // was confirmed recently enough, and neither the request nor a part of its
  // prompt is suspected of crashing servers. If not, sends the final answer.
  bool MaySend();
  void OnChosen(const RegionPlacer::Placed& placed);
  void SendTo(const ListedServer& server);
  // Records that the stream's first event arrived: from now on only servers of
  // the same version may go on with it.
  void RecordOrigin();
  // Records that prefill is finished: the first event, or the head of an answer
  // that isn't a stream, arrived.
  void RecordStart();
  // Logs what the choice of server was based on if the first event missed the
  // route's goal, for on-call engineers.
  void LogIfLate() const;
  ports::SendTerms TermsFor(const ServerId& server) const;
  io::HttpCallRequest RequestFor(const ListedServer& server) const;

  void OnHead(int status, const io::Headers& headers);
  void ApplyServerNotices(const ports::AnswerHead& head);
  // Returns whether the current attempt's answer has had a complete event.
  bool has_event() const { return cutter_.events() > events_before_; }
  // Records that the current attempt's connection ended, in case the server
  // crashed because of the prompt.
  void RecordLostConnection();
  void OnBody(std::string_view chunk);
  void OnEnd(const io::HttpCallEnd& end);
  void OnCallerDisconnected();
  void OnDeadline();
  // Ends the current attempt. Returns whether any attempt may have run.
  bool GiveUpAttempt();
  void StartStream();
  void ForwardEvents(std::string_view chunk);
  void DiscardBody();
  void ClearCollectedBody();

  // Ends the current attempt with this outcome and decides what follows: the
  // next attempt or the final answer.
  void FinishAttempt(SendOutcome outcome, std::string_view reason);
  void EndAttempt(bool failed);
  void DecideNext(SendOutcome outcome, std::string_view reason);
  void CountStart();

  // Each of these sends the final answer. Exactly one of them takes effect.
  void RespondCollected();
  void FinishStream();
  // `known_retry_after` is the time until there will be capacity, if known.
  void Refuse(ResultCode code, std::string_view message,
              std::optional<Duration> known_retry_after = std::nullopt);
  void RefuseWithoutServer();
  // Refuses the call unless an earlier attempt may have run it.
  void GiveUp(ResultCode code, std::string_view reason,
              std::optional<Duration> known_retry_after = std::nullopt);
  // Returns whether the current configuration still has the call's credential.
  bool IsStillAllowed() const;
  void Fail(ResultCode code, std::string_view message);
  // Refuses the call if the error says that it didn't run.
  void RefuseOrFail(const absl::Status& error);
  void AbortStream(std::string_view reason);
  void Finish(ResultCode code, int status, std::string_view reason);

  Duration time_left() const { return call_.deadline - context_.loop.now(); }
  bool stream_started() const { return call_.exchange->started(); }
  // Whether the last attempt, and so the refusal, is due to a connection that
  // could not be established.
  bool never_connected() const {
    return attempts_.not_run > 0 && attempts_.last == SendOutcome::kNotSent;
  }

  CallContext& context_;
  AcceptedCall call_;
  PlacementRequest placement_request_;
  // The version that began the stream, once it has begun.
  std::optional<std::string> stream_version_;
  // What the roll-out asked for, if the service has one.
  std::optional<RolloutChoice> rollout_choice_;
  // Versions that the attempt avoids for the sake of the roll-out.
  std::vector<std::string> rollout_avoided_;
  bool rollout_widened_ = false;
  // Whether the current attempt's outcome was recorded for the roll-out.
  bool rollout_answered_ = false;
  std::unique_ptr<io::HttpCall> server_call_;
  std::optional<ServerId> server_;  // The current attempt's, if there is one.
  RegionPlacer::Placed placed_;     // The choice of the server.
  uint64_t placement_call_ = 0;     // The attempt's id at Placement.
  // Estimates for the server when it was chosen.
  struct Choice {
    Time at;
    Duration expected{};  // Time to first token.
    double calls = 0;     // Running and waiting at the server.
  };
  Choice choice_;
  // From the list at the time of sending: the server may be removed from the
  // list before the answer arrives.
  int64_t server_started_ms_ = 0;
  std::string server_version_;
  uint64_t events_before_ = 0;  // Events of earlier attempts.
  Mode mode_ = Mode::kAwaitingHead;
  int status_ = 0;
  // How long work takes at the server, as it told with its answer.
  std::optional<double> told_slowness_;
  io::Headers headers_;
  std::string body_;
  EventCutter cutter_;
  SendHistory attempts_;
  int sends_ = 0;
  size_t discarded_bytes_ = 0;
  io::Timer discard_timer_;
  bool start_counted_ = false;  // The usage includes this attempt.
  bool paused_ = false;
  bool finished_ = false;
  io::Timer deadline_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_FORWARDED_CALL_H_
