// An instance that holds a duty or competes for it, with a store in memory and
// a platform that records its calls.
#ifndef OLEANDER_TEST_SUPPORT_DUTY_FIXTURE_H_
#define OLEANDER_TEST_SUPPORT_DUTY_FIXTURE_H_

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "entry/duty_lease.h"
#include "entry/settings.h"
#include "oleander/result_code.h"
#include "ports/duty_port.h"
#include "support/entry_fixture.h"
#include "support/memory_store.h"

namespace oleander::entry {

// Records every call; answers with the next outcome, or OK if there is none.
class RecordingPlatform : public ports::DutyPort {
 public:
  explicit RecordingPlatform(io::EventLoop& loop) : loop_(loop) {}

  void AnswerNext(absl::Status outcome) {
    outcomes_.push_back(std::move(outcome));
  }

  void SendUsage(const ports::UsageReport& report, int64_t fence,
                 Done done) override {
    reports.push_back(report);
    fences.push_back(fence);
    Answer(std::move(done));
  }
  void OrderServers(const ports::ServerOrder& order, int64_t fence,
                    Done done) override {
    orders.push_back(order);
    fences.push_back(fence);
    Answer(std::move(done));
  }

  std::vector<ports::UsageReport> reports;
  std::vector<ports::ServerOrder> orders;
  std::vector<int64_t> fences;

 private:
  void Answer(Done done) {
    absl::Status outcome = absl::OkStatus();
    if (!outcomes_.empty()) {
      outcome = std::move(outcomes_.front());
      outcomes_.pop_front();
    }
    loop_.Post([done = std::move(done), outcome] { done(outcome); });
  }

  io::EventLoop& loop_;
  std::deque<absl::Status> outcomes_;
};

// A short lease, so that tests need not wait long for another holder.
inline LeaseOptions ShortLease(const std::string& self) {
  return {.duty = "test",
          .self = InstanceId(self),
          .ttl = std::chrono::milliseconds(3000),
          .renew_interval = std::chrono::milliseconds(200),
          .safety_margin = std::chrono::milliseconds(300),
          .retry_interval = std::chrono::milliseconds(100),
          .cooldown = std::chrono::milliseconds(50)};
}

inline EntrySettings DutySettings(const std::string& name) {
  EntrySettings settings;
  settings.instance = InstanceId(name);
  settings.location = {.region = RegionId("r"), .domain = DomainId("d")};
  settings.callers.address = io::kTestAddress;
  settings.bounds.usage_window = std::chrono::seconds(1);
  settings.bounds.usage_late = std::chrono::seconds(10);
  return settings;
}

struct DutyFixture {
  DutyFixture()
      : store(entry.loop),
        platform(entry.loop),
        settings(DutySettings("one")),
        lease(entry.loop, store, entry.metrics(), ShortLease("one"), 1,
              [this] { on_taken(); }) {
    entry.context.usage = UsageWindows(settings.bounds.usage_window);
  }

  bool Until(const std::function<bool()>& holds) {
    return io::RunUntil(entry.loop, holds);
  }
  bool holds_duty() const {
    return lease.FenceFor(std::chrono::milliseconds(100)).has_value();
  }

  std::function<void()> on_taken = [] {};
  EntryFixture entry;
  MemoryStore store;
  RecordingPlatform platform;
  EntrySettings settings;
  DutyLease lease;
};

}  // namespace oleander::entry

#endif  // OLEANDER_TEST_SUPPORT_DUTY_FIXTURE_H_
