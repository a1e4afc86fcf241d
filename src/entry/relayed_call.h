// Has one caller's request served by a peer, because this instance is cut off
// from the backend servers.
//
// The peer gets the request as the caller sent it, on a port of its own, and
// serves it like a caller's: it chooses servers, retries, and continues a
// stream that breaks off. Its answer is passed on unchanged. The quota was
// taken here. A peer that can't serve calls says so before it sends them to a
// server, and another peer is tried.
#ifndef OLEANDER_ENTRY_RELAYED_CALL_H_
#define OLEANDER_ENTRY_RELAYED_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "entry/accepted_call.h"
#include "entry/call_context.h"
#include "io/http_client.h"

namespace oleander::entry {

class RelayedCall : public std::enable_shared_from_this<RelayedCall> {
 public:
  // `may_have_run` tells whether a server may have run the call before.
  RelayedCall(CallContext& context, AcceptedCall call, bool may_have_run);
  RelayedCall(const RelayedCall&) = delete;
  RelayedCall& operator=(const RelayedCall&) = delete;
  ~RelayedCall();

  // Sends the call to the first peer. From then on the exchange owns it.
  void Start();
  // The process is about to end: sends the final answer.
  void OnStop();

 private:
  void SendNext();
  void SendTo(const RelayPeer& peer);
  void OnHead(int status, const io::Headers& headers);
  void OnBody(std::string_view chunk);
  void OnEnd(const io::HttpCallEnd& end);
  void OnWholeAnswer();
  // The peer's connection ended without a whole answer.
  void OnLost(const io::HttpCallEnd& end);
  // The call didn't reach a server at this peer.
  void OnPeerFailed(std::string_view reason);
  void OnDeadline();
  void OnCallerDisconnected();
  void PauseIfSlow();

  // Each of these sends the final answer, once. The first one refuses the call
  // if the error says that it didn't run.
  void RefuseOrFail(const absl::Status& error);
  void Refuse(ResultCode code, std::string_view message);
  void Fail(ResultCode code, std::string_view message);
  void Finish(ResultCode code, int status, std::string_view reason);

  Duration time_left() const { return call_.deadline - context_.loop.now(); }
  // Whether a peer may have sent the call to a server, at any of the tries.
  bool may_have_run() const {
    return may_have_run_ || (peer_call_ != nullptr && peer_call_->sent());
  }

  CallContext& context_;
  AcceptedCall call_;
  bool may_have_run_;
  std::vector<InstanceId> tried_;
  std::unique_ptr<io::HttpCall> peer_call_;
  int status_ = 0;
  io::Headers headers_;
  std::string body_;
  bool from_server_ = false;  // The answer is a server's, not the peer's own.
  bool lost_ = false;         // It is neither.
  bool paused_ = false;
  bool finished_ = false;
  io::Timer deadline_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_RELAYED_CALL_H_
