// Statistics over all operations, as a table, a JSON line, a file of results
// and a plot.
#ifndef OLEANDER_APPS_LOAD_REPORT_H_
#define OLEANDER_APPS_LOAD_REPORT_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/operation.h"

namespace oleander::load {

// Returns the nearest-rank percentile: the smallest sample such that at least
// `share` (0 to 1) of the samples are not above it. 0 if there are none.
double Percentile(std::vector<double> samples, double share);

using Operations = std::vector<std::unique_ptr<Operation>>;

// Returns the statistics of the run as a JSON object.
nlohmann::json Figures(const Operations& operations, const Workload& workload,
                       Duration run_time);

// Returns one object per operation, for checks against the stand-ins' records.
nlohmann::json Results(const Operations& operations);

// Returns a table with one row per kind of operation.
std::string Table(const Operations& operations);

// Returns an SVG plot of the first-token latency and of the arrivals, answers,
// refusals and other outcomes per second.
std::string Plot(const Operations& operations);

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_REPORT_H_
