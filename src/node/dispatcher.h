// Runs the attempts of accepted requests on model engines: admission where it
// is still due, the choice of a server, and the streamed call.
#ifndef OLEANDER_NODE_DISPATCHER_H_
#define OLEANDER_NODE_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "io/engine_client.h"
#include "io/event_loop.h"
#include "node/admission_gate.h"
#include "node/metrics.h"
#include "node/server_directory.h"
#include "oleander/profiles.h"
#include "oleander/requests.h"
#include "oleander/routing.h"
#include "oleander/streams.h"

namespace oleander::node {

// What a chat request needs to be routed; computed once per request and
// instance.
struct RoutableRequest {
  std::vector<BlockHash> blocks;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
};

// Where attempts report to; called from callbacks of the loop.
struct DispatchCallbacks {
  std::function<void(const AttemptKey&, const ServerId&)> on_started;
  std::function<void(const AttemptKey&, uint64_t first_index,
                     const std::vector<std::string>&)>
      on_tokens;
  std::function<void(const AttemptKey&, const AttemptOutcome&)> on_ended;
};

struct DispatcherParts {
  io::EventLoop& loop;
  io::EngineClient& engines;
  Router& router;
  AdmissionGate& admission;
  ServerDirectory& servers;
  ProfileStore& profiles;
  Metrics& metrics;
};

class Dispatcher {
 public:
  Dispatcher(const DispatcherParts& parts, InstanceId self,
             DispatchCallbacks callbacks);

  // The request passed admission before it was accepted; its first attempt goes
  // at once.
  void RetainAdmission(const RequestId& id, AdmissionId admission,
                       RoutableRequest routable);
  // The request was not accepted after all.
  void DropAdmission(const RequestId& id) { retained_admissions_.erase(id); }
  void Start(Time now, const DispatchAttempt& dispatch);
  // Closes the call and tells the engine; nothing is reported any more.
  void Cancel(Time now, const AttemptKey& key);
  // The next attempt of this request resumes from an imported KV cache on
  // `server`.
  void ResumeFrom(const RequestId& id, const ServerId& server,
                  std::string kv_handle);

  size_t running() const { return attempts_.size(); }
  // What is known of a running attempt, for the reclaim planner.
  struct AttemptView {
    ServerId server;
    int64_t prompt_tokens = 0;
    int64_t generated = 0;
    int64_t max_tokens = 0;
    Duration token_interval{};
  };
  std::optional<AttemptView> Find(const AttemptKey& key) const;

 private:
  struct Attempt {
    DispatchAttempt dispatch;
    RoutableRequest routable;
    AdmissionId admission = 0;
    bool admitted = false;
    uint64_t call_id = 0;  // Names the call to the router.
    Time sent_at{};
    Time last_token_at{};
    bool first_token_seen = false;
    int64_t tokens = 0;
    ServerInfo server;
    std::unique_ptr<io::CompletionCall> call;
  };
  struct RetainedAdmission {
    AdmissionId admission = 0;
    RoutableRequest routable;
  };
  struct KvResume {
    ServerId server;
    std::string handle;
  };
  using Attempts = std::map<AttemptKey, Attempt>;

  void RequestAdmission(Time now, Attempt& attempt);
  void Send(Time now, const AttemptKey& key);
  absl::StatusOr<Route> ChooseServer(Time now, Attempt& attempt);
  std::string BodyOf(const Attempt& attempt);
  void OnTokens(const AttemptKey& key, uint64_t first_index,
                const std::vector<std::string>& tokens);
  void OnCallEnd(const AttemptKey& key, const io::CompletionEnd& end);
  void FinishCall(Time now, Attempt& attempt, CallOutcome outcome,
                  const std::optional<io::EngineUsage>& usage);
  void End(const AttemptKey& key, const AttemptOutcome& outcome);
  void DestroyLater(std::unique_ptr<io::CompletionCall> call);

  DispatcherParts parts_;
  InstanceId self_;
  DispatchCallbacks callbacks_;
  absl::BitGen random_;
  uint64_t next_call_id_ = 1;
  Attempts attempts_;
  absl::flat_hash_map<RequestId, RetainedAdmission> retained_admissions_;
  absl::flat_hash_map<RequestId, KvResume> kv_resumes_;
};

// How the table hears of an engine call's end. An engine counts the tokens of
// the one call, the table those of the whole answer.
AttemptOutcome OutcomeOf(const io::CompletionEnd& end, uint64_t resume_from);

// The blocks and sizes of a chat body; an empty answer where it does not parse.
RoutableRequest MakeRoutable(const std::string& body);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_DISPATCHER_H_
