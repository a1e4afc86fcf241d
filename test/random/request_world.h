// Simulation in virtual time of several entry instances with request tables,
// engines and callers. A seeded random generator drops, duplicates, delays and
// reorders messages between instances.
#ifndef OLEANDER_TEST_RANDOM_REQUEST_WORLD_H_
#define OLEANDER_TEST_RANDOM_REQUEST_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "oleander/requests.h"
#include "support/virtual_time.h"

namespace oleander::test {

enum class RequestFault {
  kCrash,         // The process dies; a new one starts later.
  kReclaim,       // Immediate handover; the process dies when the notice ends.
  kReclaimCrash,  // The same, but the process dies during the handover.
  kGracefulStop,  // The process exits once CanExit() returns true.
  kPause,         // The process is suspended and resumed later.
  kPartition,     // One failure domain is disconnected for a while.
  kServerCrash,   // A backend server's attempts fail.
  kServerSilent,  // A backend server's attempts stall.
};

struct PlannedFault {
  int after_ms = 0;  // After the previous fault.
  RequestFault kind = RequestFault::kCrash;
  int target = 0;

  friend std::ostream& operator<<(std::ostream& out, const PlannedFault& f) {
    return out << "{after " << f.after_ms << " ms, fault "
               << static_cast<int>(f.kind) << ", target " << f.target << "}";
  }
};

struct RequestWorldOptions {
  uint64_t seed = 1;
  int requests = 40;
  Duration load_time = std::chrono::seconds(40);
  double drop_rate = 0.01;
  double duplicate_rate = 0.02;
  double delay_rate = 0.02;  // Delayed long enough to be reordered.
  // The engines' output differs between attempts, so that an answer that
  // combines two of them is detected.
  bool sampled_output = false;
  ReplicaRule replica = ReplicaRule::kOtherDomain;
  RequestMutations mutations;
  std::vector<PlannedFault> faults;
};

// Results of a run.
struct RequestWorldReport {
  int accepted = 0;
  int refused = 0;
  int answered = 0;
  int lost = 0;          // Accepted, but without a complete answer.
  int wrong_answer = 0;  // Incorrect or incomplete answers.
  int not_run_but_ran = 0;
  int attempt_names_reused = 0;
  int exits_refused = 0;  // Stops after which CanExit() stayed false.
  int still_held = 0;     // Requests still held long after the end.
  uint64_t invariant_failures = 0;
  uint64_t events = 0;      // Events of the virtual-time queue.
  uint64_t recomputed = 0;  // Tokens computed more than once.
  uint64_t adoptions = 0;
  uint64_t step_downs = 0;
  uint64_t moved = 0;
  std::string first_violation;

  bool holds() const {
    return lost + wrong_answer + not_run_but_ran + attempt_names_reused +
                   exits_refused + still_held ==
               0 &&
           invariant_failures == 0;
  }
};

RequestWorldReport RunRequestWorld(const RequestWorldOptions& options);

// Returns `count` random faults of the given kinds, determined by `seed`.
std::vector<PlannedFault> DrawFaults(uint64_t seed, int count,
                                     const std::vector<RequestFault>& kinds);

std::string Describe(const RequestWorldReport& report);

}  // namespace oleander::test

#endif  // OLEANDER_TEST_RANDOM_REQUEST_WORLD_H_
