// Reports the usage of each window to the platform, always with the same
// counts.
//
// The holder of the duty sums the records of all instances and writes the sum
// into the store on the condition that the window has no sum yet. It then
// reports exactly the stored sum. A later holder of the duty may report the
// window again, but only with that sum.
//
// A store that was restored from an older copy may have lost sums that were
// already reported. So each sum is sent to several peers before it is reported.
// A window that ended before the era began is reported with the sum in the
// store or with the sum that a peer sent, or not at all.
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

// Advances each recent window from collected to reported; owned by the entry
// node.
class UsageReporter {
 public:
  // Sends sums to several peers.
  using SendToPeers = std::function<void(const entrywire::UsageTold& sums)>;

  UsageReporter(CallContext& context, ports::StorePort& store,
                ports::DutyPort& duties, RecordKeeper& records,
                const DutyLease& lease, const Bounds& bounds)
      : context_(context),
        store_(store),
        duties_(duties),
        records_(records),
        lease_(lease),
        bounds_(bounds) {}

  // Checks the windows whose reports may still be due. Called when this
  // instance acquires the duty.
  void OnTaken();
  void OnSendToPeers(SendToPeers send) { send_to_peers_ = std::move(send); }
  // Retains sums that are about to be reported by a peer or by this instance.
  void OnPeerSums(const entrywire::UsageTold& sums);
  // Advances the windows with the records just read.
  void OnRecords();
  // Returns whether a store call or a report has not been answered yet.
  bool busy() const { return open_calls_ > 0; }

 private:
  // kStoring also covers reading a stored sum; kStored and kSending: the sum is
  // known and not yet reported; kSent: reported, or given up.
  enum class Phase { kCollecting, kStoring, kStored, kSending, kSent };
  struct Window {
    Phase phase = Phase::kCollecting;
    UsageCounts counts;
  };

  void AdvanceAll();
  void AdvanceWindow(int64_t number, Window& window);
  // Returns whether every live instance has written its final counts of the
  // window, or the wait for late records is over.
  bool IsCollected(int64_t number) const;
  // Returns the sum of the window's counts in all records.
  UsageCounts Sum(int64_t number) const;
  // Returns whether the window ended in the current era, so that its sum cannot
  // have been lost in a restore.
  bool EndedInThisEra(int64_t number) const;
  // Reads the stored sum of a window that may have been reported in an earlier
  // era.
  void ReadStoredSum(int64_t number, Window& window);
  void OnSumRead(int64_t number,
                 const absl::StatusOr<StoreRangeAnswer>& answer);
  // Reports the stored sum; `value` is its encoding.
  void UseStoredSum(int64_t number, Window& window, const std::string& value);
  // Writes the sum on the condition that none is stored.
  void StoreSum(int64_t number, Window& window);
  void OnSumStored(int64_t number,
                   const absl::StatusOr<StoreCasAnswer>& answer);
  // Sends the sum to the peers and reports it.
  void Send(int64_t number, Window& window);
  void OnSent(int64_t number, const absl::Status& status);

  CallContext& context_;
  ports::StorePort& store_;
  ports::DutyPort& duties_;
  RecordKeeper& records_;
  const DutyLease& lease_;
  const Bounds& bounds_;
  std::map<int64_t, Window> windows_;
  // Sums that this instance or a peer has reported or is about to report.
  std::map<int64_t, UsageCounts> announced_sums_;
  SendToPeers send_to_peers_ = [](const entrywire::UsageTold&) {};
  int open_calls_ = 0;
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_USAGE_REPORTER_H_
