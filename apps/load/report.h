// Figures over all operations, as a table, a JSON line, a file of results and
// a picture.
#ifndef OLEANDER_APPS_LOAD_REPORT_H_
#define OLEANDER_APPS_LOAD_REPORT_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/operation.h"

namespace oleander::load {

// The value below which `share` of the samples lie; 0 where there are none.
double Percentile(std::vector<double> samples, double share);

using Operations = std::vector<std::unique_ptr<Operation>>;

// The figures of the run, with the names that DESIGN gives them.
nlohmann::json Figures(const Operations& operations, const Workload& workload,
                       Duration run_time);

// One object per operation, for checks against the stand-ins' records.
nlohmann::json Results(const Operations& operations);

// A table with one row per kind of operation.
std::string Table(const Operations& operations);

// An SVG picture of first-token latency and of answers, refusals and losses
// per second.
std::string Plot(const Operations& operations);

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_REPORT_H_
