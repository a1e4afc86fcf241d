// Several entry instances with their request tables, engines and callers,
// joined by a seeded queue that drops, doubles, delays and reorders messages.
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
  kCrash,         // The process dies and its instance is replaced later.
  kReclaim,       // Handover at once; the process dies at the notice's end.
  kReclaimCrash,  // The same, but it dies half way.
  kGracefulStop,  // Exits only when the table says so.
  kPause,         // The process stands still and goes on later.
  kPartition,     // One failure domain is cut off for a while.
  kServerCrash,   // A backend server's attempts fail.
  kServerSilent,  // Its attempts make no progress.
};

struct PlannedFault {
  int after_ms = 0;  // After the fault before.
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
  double delay_rate = 0.02;  // Delayed long enough to be overtaken.
  // The engines' output differs from attempt to attempt, so that an answer
  // pieced together from two of them is found out.
  bool sampled_output = false;
  ReplicaRule replica = ReplicaRule::kOtherDomain;
  RequestMutations mutations;
  std::vector<PlannedFault> faults;
};

// What the run showed.
struct RequestWorldReport {
  int accepted = 0;
  int refused = 0;
  int answered = 0;
  int lost = 0;          // Accepted, but no whole answer.
  int wrong_answer = 0;  // Not the answer to the request, or not whole.
  int not_run_but_ran = 0;
  int attempt_names_reused = 0;
  int exits_refused = 0;  // Graceful stops that never could exit.
  int still_held = 0;     // Requests still held long after the end.
  uint64_t invariant_failures = 0;
  uint64_t events = 0;      // Events of the queue.
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

// A plan of `count` faults drawn from `seed`.
std::vector<PlannedFault> DrawFaults(uint64_t seed, int count,
                                     const std::vector<RequestFault>& kinds);

std::string Describe(const RequestWorldReport& report);

}  // namespace oleander::test

#endif  // OLEANDER_TEST_RANDOM_REQUEST_WORLD_H_
