// oleander_load: generates a seeded, open-loop load of mixed requests, checks
// every answer and reports the results. docs/operators/oleander_load.md
// describes it.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include "io/event_loop.h"
#include "io/http_client.h"
#include "io/log.h"
#include "load/entries.h"
#include "load/operation.h"
#include "load/report.h"
#include "load/workload.h"

DEFINE_string(workload, "", "File with the workload, JSON with comments.");
DEFINE_uint64(seed, 0, "Replaces the workload's seed if not 0.");
DEFINE_string(results, "", "File for one result per operation, in JSON.");
DEFINE_string(plot, "", "SVG file for latency and counts over time.");
DEFINE_bool(table, true, "Print a table before the JSON line.");

namespace oleander::load {
namespace {

constexpr auto kMaxIdleTime = std::chrono::seconds(2);
constexpr auto kCheckPeriod = std::chrono::milliseconds(20);
constexpr int kExitUsage = 2;

// Starts each planned operation at its arrival time and runs until all have
// ended, or until the workload's end_within after the last arrival.
class LoadRun {
 public:
  explicit LoadRun(const Workload& workload)
      : workload_(workload),
        plan_(PlanOperations(workload)),
        client_(loop_, kMaxIdleTime),
        entries_(loop_, workload.entries, workload.seed, !workload.direct) {}

  void Run();
  const Operations& operations() const { return operations_; }
  Duration run_time() const { return run_time_; }

 private:
  void StartDueOperations();
  Duration last_arrival() const {
    return plan_.empty() ? Duration::zero() : plan_.back().at;
  }

  Workload workload_;
  std::vector<PlannedOperation> plan_;
  io::EventLoop loop_;
  io::HttpClient client_;
  Entries entries_;
  Operations operations_;
  Time started_;
  size_t ended_ = 0;
  Duration run_time_{};
  io::Timer next_;
  io::Timer check_;
};

void LoadRun::StartDueOperations() {
  while (operations_.size() < plan_.size()) {
    const PlannedOperation& due = plan_[operations_.size()];
    const Duration wait = started_ + due.at - loop_.now();
    if (wait > Duration::zero()) {
      next_ = loop_.After(wait, [this] { StartDueOperations(); });
      return;
    }
    operations_.push_back(MakeOperation({.loop = &loop_,
                                         .client = &client_,
                                         .entries = &entries_,
                                         .workload = &workload_,
                                         .started = started_},
                                        due, [this] { ++ended_; }));
    operations_.back()->Start();
  }
}

void LoadRun::Run() {
  started_ = loop_.now();
  next_ = loop_.After(Duration::zero(), [this] { StartDueOperations(); });
  check_ = loop_.Every(kCheckPeriod, [this] {
    run_time_ = loop_.now() - started_;
    const bool late = run_time_ > last_arrival() + workload_.end_within;
    if (ended_ == plan_.size() || late) {
      loop_.Stop();
    }
  });
  loop_.OnTerminationSignal([this] { loop_.Stop(); });
  loop_.Run();
}

bool WriteFile(const std::string& file, const std::string& text) {
  if (file.empty()) {
    return true;
  }
  std::ofstream stream(file);
  stream << text;
  return stream.good();
}

int Main() {
  std::ifstream stream(FLAGS_workload);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  auto workload = ParseWorkload(text, FLAGS_workload);
  if (!workload.ok()) {
    fmt::print(stderr, "{}\n", std::string(workload.status().message()));
    return kExitUsage;
  }
  if (FLAGS_seed != 0) {
    workload->seed = FLAGS_seed;
  }
  LoadRun run(*workload);
  run.Run();
  const bool written =
      WriteFile(FLAGS_results, Results(run.operations()).dump()) &&
      WriteFile(FLAGS_plot, FLAGS_plot.empty() ? "" : Plot(run.operations()));
  if (FLAGS_table) {
    fmt::print("{}", Table(run.operations()));
  }
  fmt::print("{}\n",
             Figures(run.operations(), *workload, run.run_time()).dump());
  return written ? 0 : 1;
}

}  // namespace
}  // namespace oleander::load

int main(int argc, char** argv) {
  oleander::io::LogToStandardError();
  gflags::SetUsageMessage("oleander_load --workload=FILE [--seed=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  oleander::io::SetLogInstance("load");
  return oleander::load::Main();
}
