// A simulation of several entry instances with their ledgers, one key-value
// service and one order desk (a plain service that counts how often each call
// runs), driven by a seeded queue of events.
#ifndef OLEANDER_TEST_RANDOM_LEDGER_WORLD_H_
#define OLEANDER_TEST_RANDOM_LEDGER_WORLD_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "oleander/ledger.h"
#include "support/virtual_time.h"

namespace oleander::test {

enum class LedgerFault {
  kStoreDown,          // Every operation fails without effect.
  kStoreLosesAnswers,  // Operations take effect; their replies are lost.
  kStoreSlow,          // Operations may take effect after their timeout.
  kDeskSlow,           // The desk may answer after the callers' deadline.
  kDeskLosesAnswers,   // The desk runs the call; its answer is lost.
  kDeskRefuses,        // No connection to the desk can be made.
  kPause,              // An instance is suspended and resumes later.
  kCrash,              // An instance crashes and is replaced.
  kPartition,          // Messages between instances are lost.
};

struct PlannedLedgerFault {
  int after_ms = 0;
  LedgerFault kind = LedgerFault::kStoreDown;
  int target = 0;
  int length_ms = 1000;

  friend std::ostream& operator<<(std::ostream& out,
                                  const PlannedLedgerFault& f) {
    return out << "{after " << f.after_ms << " ms, fault "
               << static_cast<int>(f.kind) << ", target " << f.target
               << ", for " << f.length_ms << " ms}";
  }
};

struct LedgerWorldOptions {
  uint64_t seed = 1;
  int keys = 60;
  int max_submissions = 4;  // Per key, at the same time and later.
  Duration load_time = std::chrono::seconds(60);
  double lost_store_answers = 0.03;
  double partial_writes = 0.03;  // Bytes were sent before the connection broke.
  bool status_call = false;
  LedgerMutations mutations;
  std::vector<PlannedLedgerFault> faults;
};

struct LedgerWorldReport {
  int submitted = 0;
  int answered = 0;
  int replayed = 0;
  int reported_not_run = 0;
  int reported_unknown = 0;
  int runs = 0;
  int ran_twice = 0;              // Keys that ran more than once.
  int not_run_but_ran = 0;        // Keys that ran; each caller got `ran:"no"`.
  int wrong_answer = 0;           // Answers of another key or another run.
  int without_end = 0;            // Submissions without an answer.
  int refused_without_cause = 0;  // Refused by the ledger without an outage.
  int still_open = 0;             // Instances with open calls at the end.
  uint64_t invariant_failures = 0;
  uint64_t events = 0;
  std::string first_violation;  // First failed invariant or check.

  bool holds() const {
    return ran_twice + not_run_but_ran + wrong_answer + without_end +
                   refused_without_cause + still_open ==
               0 &&
           invariant_failures == 0;
  }
};

LedgerWorldReport RunLedgerWorld(const LedgerWorldOptions& options);

std::vector<PlannedLedgerFault> DrawLedgerFaults(
    uint64_t seed, int count, const std::vector<LedgerFault>& kinds);

std::string Describe(const LedgerWorldReport& report);

}  // namespace oleander::test

#endif  // OLEANDER_TEST_RANDOM_LEDGER_WORLD_H_
