// Measures the cost per instance of Membership, LoadSpread and ProfileStore in
// virtual time, with 8, 24, 72, 216 and 360 instances.
//
// Without flags it runs 8, 24 and 72 instances and checks counts only, which
// are the same on every run, against the target's budget, as in CI. --report
// adds 216 and 360 instances and checks processor time and memory, too. The
// exit status is 1 if a figure exceeds its budget.
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <numeric>
#include <string>
#include <vector>

#include "support/control_fleet.h"

DEFINE_bool(report, false,
            "Run all sizes, and measure processor time and memory, too.");
DEFINE_uint64(seed, 1, "Seed of the run.");
DEFINE_double(mesh_heartbeat_s, 10,
              "Interval of the mesh's own keep-alive, seconds.");

namespace oleander::testing {
namespace {

// The target's budget for these parts, per node.
constexpr double kBytesPerSecond = 5000;
constexpr double kCoreShare = 0.019;
constexpr double kMemoryBytes = 128.0 * (1 << 20);
constexpr double kChangeSeconds = 5;
constexpr double kCrashSeconds = 5;
// Most figures must stay below their budget by this factor.
constexpr double kSafetyFactor = 2;
constexpr double kChangesPerDay = 920;
constexpr double kRestartsPerDay = 290 + 7;
constexpr double kSecondsPerDay = 86400;
// Budget for the whole fleet.
constexpr double kStoreReadsPerSecond = 2000;

constexpr std::array<size_t, 5> kSizes = {8, 24, 72, 216, 360};
constexpr size_t kSizesInCi = 3;
constexpr Duration kWarmUp = seconds(90);
constexpr Duration kMeasured = seconds(60);

struct Row {
  size_t instances = 0;
  size_t servers = 0;
  // Per node and second, by Traffic.
  std::array<double, kTrafficClasses> messages{};
  std::array<double, kTrafficClasses> sent{};
  std::array<double, kTrafficClasses> received{};
  double keep_alive = 0;     // Bytes per second in each direction.
  double store_calls = 0;    // Per second, by the whole fleet.
  double change_bytes = 0;   // Per node and change, in each direction.
  double restart_bytes = 0;  // Per node and restart, in each direction.
  double change_seconds = 0;
  double crash_seconds = 0;
  double core_share = 0;
  double memory_bytes = 0;

  // Returns bytes per second with changes and restarts at the target's daily
  // rates.
  double Total(const std::array<double, kTrafficClasses>& classes) const {
    return std::accumulate(classes.begin(), classes.end(), keep_alive) +
           change_bytes * kChangesPerDay / kSecondsPerDay +
           restart_bytes * kRestartsPerDay / kSecondsPerDay;
  }
  double sent_total() const { return Total(sent); }
  double received_total() const { return Total(received); }
};

FleetOptions Options(size_t instances) {
  FleetOptions options;
  options.instances = instances;
  // The target has 750 backend servers for 360 instances.
  options.servers = instances * 750 / 360;
  options.domains = instances >= 72 ? 9 : 3;
  options.regions = options.domains == 9 ? 3 : 2;
  options.services = 4;
  options.seed = FLAGS_seed;
  return options;
}

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Runs the fleet while the engines' load reports change every 500 ms, so that
// as many load updates are sent as under load.
void RunUnderChangingLoad(ControlFleet& fleet, Duration duration) {
  constexpr Duration kStep = milliseconds(500);
  for (Duration passed{}; passed < duration; passed += kStep) {
    for (auto& [id, report] : fleet.reports()) {
      report.running = absl::Uniform(fleet.gen(), 2, 16);
      report.waiting = absl::Uniform(fleet.gen(), 0, 8);
      report.queued_tokens = absl::Uniform<int64_t>(fleet.gen(), 0, 8000);
    }
    fleet.RunFor(kStep);
  }
}

double MeanBytesSent(ControlFleet& fleet) {
  double bytes = 0;
  for (const ControlFleet::Node& node : fleet.nodes()) {
    for (const TrafficCount& count : node.traffic) {
      bytes += static_cast<double>(count.bytes_sent);
    }
  }
  return bytes / static_cast<double>(fleet.nodes().size());
}

void MeasureSteady(ControlFleet& fleet, Row& row) {
  fleet.ClearTraffic();
  const double before = ProcessorSeconds();
  RunUnderChangingLoad(fleet, kMeasured);
  const auto nodes = static_cast<double>(row.instances);
  const double time = SecondsOf(kMeasured);
  row.core_share = (ProcessorSeconds() - before) / time / nodes;
  row.store_calls = static_cast<double>(fleet.store_calls()) / time;
  double links = 0;
  for (const ControlFleet::Node& node : fleet.nodes()) {
    links += static_cast<double>(node.membership->neighbours().size());
    for (size_t i = 0; i < kTrafficClasses; ++i) {
      const TrafficCount& count = node.traffic[i];
      const double per = time * nodes;
      row.messages[i] += static_cast<double>(count.messages_sent) / per;
      row.sent[i] += static_cast<double>(count.bytes_sent) / per;
      row.received[i] += static_cast<double>(count.bytes_received) / per;
    }
  }
  // There are two connections per neighbour, one in each direction. Each
  // carries a PING and a PONG per interval, one of which this instance sends.
  row.keep_alive =
      links / nodes * 2 * (kKeepAliveBytes / 2.0) / FLAGS_mesh_heartbeat_s;
}

// Returns the bytes per node that the fleet has sent since `start` in excess of
// `steady_rate`.
double ExtraBytes(ControlFleet& fleet, double steady_rate, Time start) {
  return std::max(
      0.0, MeanBytesSent(fleet) - steady_rate * SecondsOf(fleet.now() - start));
}

void MeasureChanges(ControlFleet& fleet, Row& row, double steady_rate) {
  constexpr int kChanges = 10;
  fleet.ClearTraffic();
  const Time start = fleet.now();
  for (int n = 0; n < kChanges; ++n) {
    ProfileEdit edit;
    edit.name = ProfileName("chat");
    edit.edit_id = fmt::format("c{}", n);
    // About as long as the sample profiles in etc/.
    edit.document =
        fmt::format(R"({{"name": "chat", "services": ["s"], "workspaces": )"
                    R"({{"max_in_flight": {}}}}} // {})",
                    n, std::string(1800, 'x'));
    const Time started = fleet.now();
    const size_t at = static_cast<size_t>(n * 5) % row.instances;
    fleet.On(at, [&](auto& node) { node.profiles->Edit(edit, fleet.now()); });
    fleet.RunUntilHolds(seconds(20), milliseconds(5), [&] {
      const auto done = fleet.node(at).edits.find(edit.edit_id);
      return done != fleet.node(at).edits.end() &&
             std::ranges::all_of(
                 fleet.nodes(), [&](const ControlFleet::Node& node) {
                   const ProfileState* state =
                       node.profiles->Find(ProfileName("chat"));
                   return state != nullptr &&
                          state->revision >= done->second.revision;
                 });
    });
    row.change_seconds =
        std::max(row.change_seconds, SecondsOf(fleet.now() - started));
    RunUnderChangingLoad(fleet, seconds(1));
  }
  row.change_bytes = ExtraBytes(fleet, steady_rate, start) / kChanges;
}

void MeasureRestart(ControlFleet& fleet, Row& row, double steady_rate) {
  fleet.ClearTraffic();
  const Time start = fleet.now();
  const size_t who = row.instances / 2;
  const InstanceInfo victim = fleet.node(who).info;
  fleet.Crash(who);
  const Duration seen = fleet.RunUntilHolds(seconds(20), milliseconds(50), [&] {
    return std::ranges::all_of(
        fleet.nodes(), [&](const ControlFleet::Node& node) {
          const auto member = node.membership->Find(victim.id);
          return !node.running || node.info.location != victim.location ||
                 (member.has_value() && member->state == MemberState::kDead);
        });
  });
  row.crash_seconds = SecondsOf(seen);
  RunUnderChangingLoad(fleet, seconds(5));
  fleet.Start(who);
  RunUnderChangingLoad(fleet, seconds(10));
  row.restart_bytes = ExtraBytes(fleet, steady_rate, start);
}

Row Measure(size_t instances) {
  const double heap = HeapBytes();
  ControlFleet fleet(Options(instances));
  Row row;
  row.instances = instances;
  row.servers = fleet.servers().size();
  fleet.StartAll();
  RunUnderChangingLoad(fleet, kWarmUp);
  row.memory_bytes = (HeapBytes() - heap) / static_cast<double>(instances);
  MeasureSteady(fleet, row);
  const double steady_rate =
      std::accumulate(row.sent.begin(), row.sent.end(), 0.0);
  MeasureChanges(fleet, row, steady_rate);
  MeasureRestart(fleet, row, steady_rate);
  return row;
}

void Print(const Row& row) {
  fmt::print("{} instances, {} servers\n", row.instances, row.servers);
  for (size_t i = 0; i < kTrafficClasses; ++i) {
    fmt::print(
        "  {:<11} {:6.2f} messages/s {:6.0f} B/s sent {:6.0f} received\n",
        kTrafficNames[i], row.messages[i], row.sent[i], row.received[i]);
  }
  fmt::print("  keep-alive  {:24.0f} B/s sent {:6.0f} received\n",
             row.keep_alive, row.keep_alive);
  fmt::print("  one change  {:.0f} B per node; at {:.0f} a day {:.1f} B/s\n",
             row.change_bytes, kChangesPerDay,
             row.change_bytes * kChangesPerDay / kSecondsPerDay);
  fmt::print("  one restart {:.0f} B per node; at {:.0f} a day {:.1f} B/s\n",
             row.restart_bytes, kRestartsPerDay,
             row.restart_bytes * kRestartsPerDay / kSecondsPerDay);
  fmt::print("  total       {:.0f} B/s sent, {:.0f} B/s received\n",
             row.sent_total(), row.received_total());
  fmt::print("  store       {:.2f} calls/s of the whole fleet\n",
             row.store_calls);
  fmt::print("  a change is in force everywhere in {:.3f} s at most\n",
             row.change_seconds);
  fmt::print("  a crash is seen by its domain in {:.2f} s\n",
             row.crash_seconds);
  if (FLAGS_report) {
    fmt::print("  processor   {:.3f}% of a core per node\n",
               row.core_share * 100);
    fmt::print("  memory      {:.2f} MB per node\n",
               row.memory_bytes / (1 << 20));
  }
  std::fflush(stdout);
}

bool IsWithin(const char* what, double value, double limit) {
  if (value <= limit) {
    return true;
  }
  fmt::print("  OVER BUDGET: {} is {:.4g}, the limit is {:.4g}\n", what, value,
             limit);
  return false;
}

bool Check(const Row& row) {
  bool within =
      IsWithin("bytes sent and received per second",
               row.sent_total() + row.received_total(), kBytesPerSecond);
  within &= IsWithin("bytes sent per second, a factor of two to spare",
                     row.sent_total(), kBytesPerSecond / kSafetyFactor);
  within &= IsWithin("bytes received per second, a factor of two to spare",
                     row.received_total(), kBytesPerSecond / kSafetyFactor);
  within &= IsWithin("seconds until a change is in force", row.change_seconds,
                     kChangeSeconds);
  within &= IsWithin("seconds until a crash is seen", row.crash_seconds,
                     kCrashSeconds);
  within &= IsWithin("store calls per second", row.store_calls,
                     kStoreReadsPerSecond / kSafetyFactor);
  if (FLAGS_report) {
    within &=
        IsWithin("share of a core", row.core_share, kCoreShare / kSafetyFactor);
    within &= IsWithin("bytes of memory", row.memory_bytes,
                       kMemoryBytes / kSafetyFactor);
  }
  return within;
}

int Main() {
  bool within = true;
  const size_t count = FLAGS_report ? kSizes.size() : kSizesInCi;
  for (size_t i = 0; i < count; ++i) {
    const Row row = Measure(kSizes[i]);
    Print(row);
    within &= Check(row);
  }
  fmt::print("{}\n", within ? "within the budget" : "OVER BUDGET");
  return within ? 0 : 1;
}

}  // namespace
}  // namespace oleander::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return oleander::testing::Main();
}
