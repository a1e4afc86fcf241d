// Runs the attempts of accepted requests on model engines. An attempt is one
// streamed call to one engine; a request can have several, one after another.
// The dispatcher requests admission if the request has none yet,
// chooses a server, and makes the call.
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

// The properties of a chat request that the router uses. An instance that
// admits a request before accepting it computes them once for both steps.
struct RoutableRequest {
  std::vector<BlockHash> blocks;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
};

// Callbacks for the progress of attempts. They run on the event loop.
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

  // Stores the admission of a request that was admitted before it was accepted.
  // The next attempt that starts uses it and so is sent without waiting.
  void RetainAdmission(const RequestId& id, AdmissionId admission,
                       RoutableRequest routable);
  // Forgets a stored admission because the request was not accepted.
  void DropAdmission(const RequestId& id) { retained_admissions_.erase(id); }
  void Start(Time now, const DispatchAttempt& dispatch);
  // Closes the call and cancels it at the engine. The attempt makes no further
  // callbacks.
  void Cancel(Time now, const AttemptKey& key);
  // Makes the next attempt of this request run on `server` and resume from the
  // KV cache that was imported there.
  void ResumeFrom(const RequestId& id, const ServerId& server,
                  std::string kv_handle);

  size_t running() const { return attempts_.size(); }
  // The state of a running attempt, for the reclaim planner.
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
    uint64_t call_id = 0;  // Identifies the call in the router's accounting.
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

// Converts the end of an engine call into the outcome for the request table. An
// engine counts the tokens of this call only; the table counts those of the
// whole answer, so `resume_from` is added.
AttemptOutcome OutcomeOf(const io::CompletionEnd& end, uint64_t resume_from);

// Returns the blocks and sizes of a chat body, or an empty value if the body
// does not parse.
RoutableRequest MakeRoutable(const std::string& body);

}  // namespace oleander::node

#endif  // OLEANDER_NODE_DISPATCHER_H_
