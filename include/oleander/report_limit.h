// Limits the log lines about something that is wrong at many subjects and in
// every answer of each, such as a header of a server that can't be read.
//
// Designed for 750 servers that send 2,800 answers a second. A check takes one
// look-up in a hash table, and memory is bounded by `max_subjects`.
//
//   ReportLimit limit({.interval = seconds(10), .max_subjects = 1024});
//   if (limit.Allows(now, HashOfServerRun(server, started_ms))) {
//     Log(...);  // At most once in 10 s for this run of the server.
//   }
#ifndef OLEANDER_REPORT_LIMIT_H_
#define OLEANDER_REPORT_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "oleander/types.h"

namespace oleander {

struct ReportLimitOptions {
  Duration interval = std::chrono::seconds(10);
  // While the table is full of subjects that were reported within `interval`,
  // others aren't reported.
  size_t max_subjects = 1024;
};

class ReportLimit {
 public:
  explicit ReportLimit(ReportLimitOptions options = {}) : options_(options) {}

  // Returns whether a report about the subject may be made now. If so, it
  // counts as made.
  bool Allows(Time now, uint64_t subject);

 private:
  ReportLimitOptions options_;
  absl::flat_hash_map<uint64_t, Time> reported_at_;
};

}  // namespace oleander

#endif  // OLEANDER_REPORT_LIMIT_H_
