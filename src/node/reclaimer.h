// Plans and executes what happens to the running requests of a backend server
// that gets a reclaim notice.
#ifndef OLEANDER_NODE_RECLAIMER_H_
#define OLEANDER_NODE_RECLAIMER_H_

#include <vector>

#include "io/engine_client.h"
#include "io/event_loop.h"
#include "node/dispatcher.h"
#include "node/load_driver.h"
#include "node/request_driver.h"
#include "node/server_directory.h"
#include "oleander/reclaim.h"
#include "oleander/routing.h"

namespace oleander::node {

struct ReclaimerParts {
  io::EventLoop& loop;
  io::EngineClient& engines;
  RequestDriver& requests;
  Dispatcher& dispatcher;
  Router& router;
  LoadDriver& load;
  ServerDirectory& servers;
  Location location;  // Location of this instance.
  InstanceId self;    // Used in the names of attempts.
};

class Reclaimer {
 public:
  explicit Reclaimer(const ReclaimerParts& parts) : parts_(parts) {}

  // Finishes, moves or resumes elsewhere each request of this instance that
  // runs on `server`. `left` is the time until the server is removed.
  void OnNotice(const ServerId& server, Duration left);

 private:
  RunningRequest Describe(const AttemptKey& key,
                          const Dispatcher::AttemptView& view) const;
  std::vector<ReclaimTarget> Targets(const ServerInfo& leaving) const;
  void Execute(const ServerInfo& leaving, const ReclaimStep& step,
               Duration left);
  void Export(const ServerInfo& leaving, const ReclaimStep& step,
              Duration left);
  void Import(const ServerInfo& leaving, const ReclaimStep& step,
              const io::KvHandle& handle, Duration left);
  void UpdateKvBytesPerToken(const io::KvHandle& handle);

  ReclaimerParts parts_;
  // Taken from the last exported cache. The initial value is large, so that the
  // first plan doesn't schedule more exports than the time allows.
  int64_t kv_bytes_per_token_ = 128 << 10;
  std::vector<io::Timer> timers_;
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_RECLAIMER_H_
