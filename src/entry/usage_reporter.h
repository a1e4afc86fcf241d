// Sends each window's usage once: the holder of the duty adds up the records,
// writes the sum into the store under the condition that none stands there, and
// sends exactly what stands there. Whoever holds the duty later repeats that
// sum, never another.
//
// A store that came back from an older copy may have lost sums that were sent.
// So sums are told to peers before they are sent, and a window that ended
// before the era began is sent with the sum that stands in the store or that a
// peer told, or not at all.
#ifndef OLEANDER_ENTRY_USAGE_REPORTER_H_
#define OLEANDER_ENTRY_USAGE_REPORTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "entry.pb.h"
#include "entry/duty_lease.h"
#include "entry/record_keeper.h"
#include "ports/duty_port.h"

namespace oleander::entry {

class UsageReporter {
 public:
  // Passes sums on to peers.
  using SendToPeers = std::function<void(const entrywire::UsageTold& told)>;

  UsageReporter(CallContext& context, ports::StorePort& store,
                ports::DutyPort& duties, RecordKeeper& records,
                const DutyLease& lease, const Bounds& bounds)
      : context_(context),
        store_(store),
        duties_(duties),
        records_(records),
        lease_(lease),
        bounds_(bounds) {}

  // The duty became this instance's: windows whose reports may still be due
  // are looked at again.
  void OnTaken();
  void OnSendToPeers(SendToPeers send) { send_to_peers_ = std::move(send); }
  // A peer is about to report these sums.
  void OnPeerSums(const entrywire::UsageTold& told);
  void OnRecords();
  // Whether a report is on its way.
  bool busy() const { return open_calls_ > 0; }

 private:
  enum class Phase { kCollecting, kStoring, kStored, kSending, kSent };
  struct Window {
    Phase phase = Phase::kCollecting;
    UsageCounts counts;
  };

  void AdvanceAll();
  void AdvanceWindow(int64_t number, Window& window);
  // Whether every live instance has told all of the window, or it is late.
  bool IsCollected(int64_t number) const;
  UsageCounts Sum(int64_t number) const;
  // Whether the window may not have been reported in an earlier era.
  bool EndedInThisEra(int64_t number) const;
  // Looks for the sum of a window that may have been reported.
  void ReadStoredSum(int64_t number, Window& window);
  void OnSumRead(int64_t number,
                 const absl::StatusOr<StoreRangeAnswer>& answer);
  void UseStoredSum(int64_t number, Window& window, const std::string& value);
  void StoreSum(int64_t number, Window& window);
  void OnSumStored(int64_t number,
                   const absl::StatusOr<StoreCasAnswer>& answer);
  void Send(int64_t number, Window& window);
  void OnSent(int64_t number, const absl::Status& status);

  CallContext& context_;
  ports::StorePort& store_;
  ports::DutyPort& duties_;
  RecordKeeper& records_;
  const DutyLease& lease_;
  const Bounds& bounds_;
  std::map<int64_t, Window> windows_;
  // Sums that were sent, or are about to be, here or elsewhere.
  std::map<int64_t, UsageCounts> announced_sums_;
  SendToPeers send_to_peers_ = [](const entrywire::UsageTold&) {};
  int open_calls_ = 0;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_USAGE_REPORTER_H_
