// A deposit at the order desk: with an idempotency key, without one, submitted
// twice at the same time, or followed by a read of the balance.
#ifndef OLEANDER_APPS_LOAD_DEPOSIT_OPERATION_H_
#define OLEANDER_APPS_LOAD_DEPOSIT_OPERATION_H_

#include <optional>
#include <string>
#include <vector>

#include "load/operation.h"

namespace oleander::load {

// A deposit with a key is submitted again with the same key while its outcome
// is unknown; a deposit without a key is sent once. An answer that says that
// the deposit did not run is final, so that it can be compared with the desk's
// records.
class DepositOperation : public Operation {
 public:
  DepositOperation(OperationContext context, const PlannedOperation& plan,
                   std::function<void()> on_end);

  void Start() override;

 private:
  // One submission with its retries.
  struct Submission {
    size_t entry = 0;
    int tries = 0;
    Outcome outcome = Outcome::kOpen;
    std::string run;  // "DESK:NUMBER" of the run, such as "desk-1:17".
    std::string detail;
  };

  bool keyed() const;
  void Submit(size_t index);
  void OnAnswer(size_t index, const io::HttpAnswer& answer);
  // Sets the outcome to answered or wrong.
  void CheckAnswer(Submission& submission, const std::string& body);
  // Submits again where the deposit has a key and time is left; otherwise the
  // outcome stays unknown.
  void OnUnknownOutcome(size_t index, const std::string& detail);
  void FinishSubmission(size_t index, Outcome outcome, std::string detail);
  void FollowLater(size_t index, const std::string& request_id);
  void Follow(size_t index, const std::string& request_id);
  void OnState(size_t index, const std::string& request_id,
               const io::HttpAnswer& answer);
  // Called after the last submission: combines the outcomes, then reads the
  // balance or ends the operation.
  void FinishOperation();
  void Read();
  void OnBalance(const io::HttpAnswer& answer);
  // Runs `callback` after `delay` on the timer of submission `index`.
  void RunAfterFor(size_t index, Duration delay,
                   std::function<void()> callback);

  std::string account_;
  std::vector<Submission> submissions_;
  std::vector<io::Timer> timers_;
  int reads_ = 0;
};

}  // namespace oleander::load

#endif  // OLEANDER_APPS_LOAD_DEPOSIT_OPERATION_H_
