// The entry instances, as the platform's load balancer sees them: it sends
// callers to instances that report that they are ready.
#ifndef OLEANDER_APPS_LOAD_ENTRIES_H_
#define OLEANDER_APPS_LOAD_ENTRIES_H_

#include <cstdint>
#include <random>
#include <vector>

#include "io/event_loop.h"
#include "io/http_client.h"
#include "load/workload.h"

namespace oleander::load {

class Entries {
 public:
  // Polls each instance's /readyz every 200 ms; if `check` is false, every
  // instance counts as ready.
  Entries(io::EventLoop& loop, std::vector<EntryAddress> addresses,
          uint64_t seed, bool check);

  // Returns the index of a random ready instance other than `avoid`; if there
  // is none, of any instance.
  size_t Pick(int avoid = -1);
  const EntryAddress& address(size_t index) const { return addresses_[index]; }
  size_t size() const { return addresses_.size(); }

 private:
  void CheckAll();

  io::HttpClient client_;
  std::vector<EntryAddress> addresses_;
  std::vector<bool> ready_;
  std::mt19937_64 random_;
  io::Timer timer_;
};

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_ENTRIES_H_
