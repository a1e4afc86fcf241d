// Notices that this instance is cut off from the backend servers, and that it
// reaches them again.
//
// While calls wait and no server has sent a byte for a while, and while the
// instance is cut off, it checks whether some servers accept connections.
#ifndef OLEANDER_ENTRY_SERVER_WATCH_H_
#define OLEANDER_ENTRY_SERVER_WATCH_H_

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "entry/call_context.h"
#include "io/reachability_check.h"

namespace oleander::entry {

class ServerWatch {
 public:
  // `on_cut_off` is called each time the instance has become cut off.
  ServerWatch(CallContext& context, uint64_t seed,
              std::function<void()> on_cut_off)
      : context_(context), gen_(seed), on_cut_off_(std::move(on_cut_off)) {}

  void Start();

 private:
  void Tick();
  void CheckServers();

  CallContext& context_;
  std::mt19937_64 gen_;
  std::function<void()> on_cut_off_;
  bool was_cut_off_ = false;
  Time next_check_;
  std::vector<std::unique_ptr<io::ReachabilityCheck>> checks_;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_SERVER_WATCH_H_
