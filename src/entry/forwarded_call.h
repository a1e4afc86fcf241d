// One caller's request on its way: attempts at backend servers, the answer or
// stream back, and one log line for each decision.
//
// Whole answers are collected before the caller sees a byte, so that a broken
// one can be tried elsewhere where the route allows it. Streams are passed on
// event by event; one that may be resumed goes on at another server from its
// last whole event.
#ifndef OLEANDER_ENTRY_FORWARDED_CALL_H_
#define OLEANDER_ENTRY_FORWARDED_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/call_context.h"
#include "io/http_server.h"
#include "oleander/event_cutter.h"
#include "oleander/send_policy.h"

namespace oleander::entry {

// What was found out about a request before it is sent anywhere.
struct AcceptedCall {
  std::shared_ptr<io::HttpExchange> exchange;
  ports::CallIntake intake;
  std::shared_ptr<const ServingConfig> config;  // Keeps `route` alive.
  const CallRoute* route = nullptr;
  WorkspaceId workspace;  // Empty on open routes.
  ServiceId service;
  int urgency = 0;
  Time arrived;
  Time deadline;  // The caller's, or the route's time-out where it is earlier.
};

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
 public:
  ForwardedCall(CallContext& context, AcceptedCall call);
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;
  ~ForwardedCall();

  void Start();

 private:
  // How the answer under way is handled.
  enum class Mode { kAwaitingHead, kDiscard, kCollect, kStream };

  void SendNext();
  // Whether the newest configuration, proven of late, lets the call be sent;
  // else the call gets its final answer.
  bool MaySend();
  void OnChosen(const RegionPlacer::Placed& placed);
  void SendTo(const ListedServer& server);
  // The prompt is read: the first event came.
  void NoteBegun();
  // For on-call engineers: on what grounds a late call was sent where it was.
  void LogIfLate() const;
  ports::SendTerms TermsFor(const ServerId& server) const;
  io::HttpCallRequest RequestFor(const ListedServer& server) const;

  void OnHead(int status, const io::Headers& headers);
  void NoteServerWords(const ports::AnswerHead& head);
  void OnBody(std::string_view chunk);
  void OnEnd(const io::HttpCallEnd& end);
  void OnCallerGone();
  void OnDeadline();
  void BeginStream();
  void PassEvents(std::string_view chunk);
  void DiscardRest();
  void DropBody();

  // What the attempt under way came to.
  void SettleAttempt(SendOutcome outcome, std::string_view reason);
  void EndAttempt(bool failed);
  void Judge(SendOutcome outcome, std::string_view reason);
  void CountBegun();

  // The final answer; exactly one of these is called.
  void RespondCollected();
  void FinishStream();
  // `known`: when there will be room, where that is known.
  void Refuse(ResultCode code, std::string_view message,
              std::optional<Duration> known = std::nullopt);
  void RefuseWithoutServer();
  // Whether the newest configuration still has the call's credential.
  bool IsStillAllowed() const;
  void Fail(ResultCode code, std::string_view message);
  void BreakStream(std::string_view reason);
  void Finish(ResultCode code, int status, std::string_view reason);

  Duration time_left() const { return call_.deadline - context_.loop.now(); }
  bool stream_begun() const { return call_.exchange->started(); }

  CallContext& context_;
  AcceptedCall call_;
  PlacementRequest question_;
  std::unique_ptr<io::HttpCall> sending_;
  std::optional<ServerId> server_;  // Of the attempt under way.
  RegionPlacer::Placed placed_;     // How it was chosen.
  uint64_t reading_ = 0;            // The attempt's number at the placement.
  // What was known of the server when it was chosen.
  struct Choice {
    Time at;
    Duration expected{};  // To the first token.
    double calls = 0;
  };
  Choice choice_;
  // As listed when it was sent to: the entry may go before the answer comes.
  int64_t server_born_ms_ = 0;
  Mode mode_ = Mode::kAwaitingHead;
  int status_ = 0;
  io::Headers headers_;
  std::string body_;
  EventCutter cutter_;
  SendHistory attempts_;
  int sends_ = 0;
  size_t discarded_ = 0;
  io::Timer discard_timer_;
  bool begun_counted_ = false;  // This attempt's run stands in the usage.
  bool paused_ = false;
  bool finished_ = false;
  io::Timer deadline_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_FORWARDED_CALL_H_
