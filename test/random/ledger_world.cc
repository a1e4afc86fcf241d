#include "random/ledger_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "oleander/invariant.h"
#include "oleander/result_code.h"

namespace oleander::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 4;
constexpr Duration kCallerDeadline = seconds(8);
constexpr Duration kOutcomeKept = seconds(60);

struct Record {
  std::string value;
  int64_t revision = 0;
};

struct Instance {
  InstanceId id;
  std::unique_ptr<Ledger> ledger;
  bool up = false;
  bool paused = false;
  uint64_t run = 0;
  std::vector<std::function<void()>> deferred;  // Calls while it is paused.
  std::optional<Time> tick_at;
};

struct Submission {
  int key = 0;
  bool other_body = false;
  int instance = 0;
  uint64_t run = 0;
  bool started = false;
  bool ended = false;
  bool cut_off = false;  // Its instance crashed.
  bool answered = false;
  bool reported_not_run = false;
};

class World {
 public:
  explicit World(const LedgerWorldOptions& options)
      : options_(options), draw_(options.seed) {}

  LedgerWorldReport Run();

 private:
  void Start(int index);
  void Call(int index, std::function<void(Ledger&)> call);
  void Perform(int index);
  void Execute(int index, const SendLedgerMessage& action);
  void Execute(int index, const StoreOp& action);
  void Execute(int index, const DispatchOnce& action);
  void Execute(int index, const QueryStatus& action);
  void Execute(int index, const AnswerCall& action);
  StoreResult Apply(const StoreOp& op);
  void Submit(int submission);
  void Fault(const PlannedLedgerFault& fault);
  void CheckOutcome();
  bool Active(LedgerFault kind) const {
    const auto until = until_.find(kind);
    return until != until_.end() && until->second > time_.now();
  }
  void RecordViolation(int& count, std::string what) {
    ++count;
    if (report_.first_violation.empty()) {
      report_.first_violation = std::move(what);
    }
  }
  Submission* SubmissionOf(int index, CallTicket ticket) {
    const auto found = tickets_.find({index, instances_[index].run, ticket});
    return found == tickets_.end() ? nullptr : &submissions_[found->second];
  }
  static std::string KeyName(int key) { return fmt::format("key-{}", key); }

  LedgerWorldOptions options_;
  Draw draw_;
  VirtualTime time_;
  LedgerWorldReport report_;
  std::array<Instance, kInstances> instances_;
  std::map<std::string, Record> store_;
  int64_t revision_ = 0;
  std::map<LedgerFault, Time> until_;
  std::map<LedgerFault, Time> last_until_;
  std::vector<Submission> submissions_;
  std::map<std::tuple<int, uint64_t, CallTicket>, int> tickets_;
  std::map<int, std::vector<std::string>> desk_runs_;  // Answers by key.
  int64_t desk_count_ = 0;
};

LedgerWorldReport World::Run() {
  const InvariantHandler before =
      SetInvariantHandler([&](const InvariantFailure& failure) {
        if (report_.first_violation.empty()) {
          report_.first_violation = failure.name + ": " + failure.message;
        }
      });
  const uint64_t failures_before = invariant_failures();
  for (int i = 0; i < kInstances; ++i) {
    instances_[i].id = InstanceId(fmt::format("entry-{}", i));
    Start(i);
  }
  for (int key = 0; key < options_.keys; ++key) {
    const Time first =
        Time{} + draw_.Between(milliseconds(1), options_.load_time);
    const auto count =
        1 + draw_.Below(static_cast<uint64_t>(options_.max_submissions));
    for (uint64_t i = 0; i < count; ++i) {
      Submission submission;
      submission.key = key;
      submission.other_body = i > 0 && draw_.Chance(0.05);
      submissions_.push_back(submission);
      const Duration later = draw_.Chance(0.4)
                                 ? Duration(draw_.Below(2000))
                                 : draw_.Between(milliseconds(0), seconds(20));
      const int index = static_cast<int>(submissions_.size()) - 1;
      time_.At(first + (i == 0 ? Duration(0) : later),
               [this, index] { Submit(index); });
    }
  }
  Duration at = seconds(1);
  for (const PlannedLedgerFault& fault : options_.faults) {
    at += milliseconds(fault.after_ms);
    time_.At(Time{} + at, [this, fault] { Fault(fault); });
  }
  report_.events = time_.RunUntil(Time{} + std::max(options_.load_time, at) +
                                  2 * kOutcomeKept + seconds(120));
  CheckOutcome();
  report_.invariant_failures = invariant_failures() - failures_before;
  SetInvariantHandler(before);
  return report_;
}

void World::Start(int index) {
  Instance& instance = instances_[index];
  LedgerOptions options;
  options.self = instance.id;
  options.mutations = options_.mutations;
  options.timing.dispatch_timeout = seconds(12);
  options.timing.outcome_store_timeout = kOutcomeKept;
  instance.ledger = std::make_unique<Ledger>(options, draw_.Seed());
  instance.up = true;
  instance.paused = false;
  instance.deferred.clear();
  instance.tick_at.reset();
  ++instance.run;
}

void World::Call(int index, std::function<void(Ledger&)> call) {
  Instance& instance = instances_[index];
  if (!instance.up) {
    return;
  }
  if (instance.paused) {
    const uint64_t run = instance.run;
    instance.deferred.emplace_back([this, index, run, call = std::move(call)] {
      if (instances_[index].run == run) {
        Call(index, call);
      }
    });
    return;
  }
  call(*instance.ledger);
  Perform(index);
}

void World::Perform(int index) {
  Instance& instance = instances_[index];
  for (const LedgerAction& action : instance.ledger->TakeActions()) {
    std::visit([&](const auto& one) { Execute(index, one); }, action);
  }
  const std::optional<Time> due = instance.ledger->next_due();
  if (!due.has_value() ||
      (instance.tick_at.has_value() && *instance.tick_at <= *due)) {
    return;
  }
  instance.tick_at = due;
  const uint64_t run = instance.run;
  time_.At(*due, [this, index, run, due] {
    Instance& target = instances_[index];
    if (target.run != run || target.tick_at != due) {
      return;
    }
    target.tick_at.reset();
    Call(index, [this](Ledger& ledger) { ledger.Tick(time_.now()); });
  });
}

void World::Submit(int index) {
  Submission& submission = submissions_[index];
  std::vector<int> up;
  for (int i = 0; i < kInstances; ++i) {
    if (instances_[i].up) {
      up.push_back(i);
    }
  }
  if (up.empty()) {
    return;
  }
  const int target = up[draw_.Below(up.size())];
  submission.instance = target;
  submission.run = instances_[target].run;
  LedgerCall call;
  call.workspace = WorkspaceId("bakery");
  call.service = ServiceId("desk");
  call.key = KeyName(submission.key);
  call.method = "POST";
  call.path = "/deposits";
  call.body = submission.other_body ? "other" : "body";
  call.has_status_call = options_.status_call;
  call.deadline = kCallerDeadline;
  ++report_.submitted;
  submission.started = true;
  Call(target, [this, index, target, call](Ledger& ledger) {
    const absl::StatusOr<CallTicket> ticket = ledger.Begin(time_.now(), call);
    if (!ticket.ok()) {
      submissions_[index].ended = true;
      return;
    }
    tickets_[{target, instances_[target].run, *ticket}] = index;
  });
}

StoreResult World::Apply(const StoreOp& op) {
  const auto found = store_.find(op.key);
  const std::optional<StoreRecord> current =
      found == store_.end()
          ? std::nullopt
          : std::optional(StoreRecord{.value = found->second.value,
                                      .revision = found->second.revision});
  const bool matches =
      op.kind == StoreOpKind::kCreate
          ? !current.has_value()
          : current.has_value() && current->revision == op.revision;
  if (op.kind == StoreOpKind::kRead) {
    return {.outcome = StoreOutcome::kDone, .record = current};
  }
  if (!matches) {
    return {.outcome = StoreOutcome::kConflict, .record = current};
  }
  store_[op.key] = {.value = op.value, .revision = ++revision_};
  return {.outcome = StoreOutcome::kDone,
          .record = std::nullopt,
          .revision = revision_};
}

void World::Execute(int index, const StoreOp& action) {
  const uint64_t run = instances_[index].run;
  const auto answer = [this, index, run,
                       op = action.op](const StoreResult& result) {
    if (instances_[index].run == run) {
      Call(index, [this, op, result](Ledger& ledger) {
        ledger.OnStoreResult(time_.now(), op, result);
      });
    }
  };
  if (Active(LedgerFault::kStoreDown)) {
    // The operation is refused at once, or its outcome stays unknown.
    const bool refused = draw_.Chance(0.5);
    time_.After(refused ? milliseconds(1) : milliseconds(1500),
                [answer, refused] {
                  answer({.outcome = refused ? StoreOutcome::kNotDone
                                             : StoreOutcome::kUnknown});
                });
    return;
  }
  const bool slow = Active(LedgerFault::kStoreSlow);
  const Duration delay = slow ? draw_.Between(seconds(1), seconds(6))
                              : draw_.Between(milliseconds(1), milliseconds(8));
  const bool lost = draw_.Chance(Active(LedgerFault::kStoreLosesAnswers)
                                     ? 0.7
                                     : options_.lost_store_answers);
  time_.After(delay, [this, action, answer, lost] {
    const StoreResult result = Apply(action);
    if (!lost) {
      time_.After(milliseconds(1), [answer, result] { answer(result); });
    } else if (draw_.Chance(0.5)) {
      time_.After(milliseconds(20),
                  [answer] { answer({.outcome = StoreOutcome::kUnknown}); });
    }  // Otherwise the operation times out in the ledger.
  });
}

void World::Execute(int index, const DispatchOnce& action) {
  const uint64_t run = instances_[index].run;
  const auto end = [this, index, run,
                    ticket = action.ticket](const DispatchOutcome& outcome) {
    if (instances_[index].run == run) {
      Call(index, [this, ticket, outcome](Ledger& ledger) {
        ledger.OnDispatchEnded(time_.now(), ticket, outcome);
      });
    }
  };
  Submission* submission = SubmissionOf(index, action.ticket);
  // The call may be dispatched inside Begin(), before `tickets_` has its
  // ticket.
  time_.After(draw_.Between(milliseconds(1), milliseconds(5)), [=, this] {
    const Submission* one =
        submission != nullptr ? submission : SubmissionOf(index, action.ticket);
    if (one == nullptr || instances_[index].run != run) {
      return;
    }
    if (Active(LedgerFault::kDeskRefuses)) {
      end({.sent = false,
           .answer = MakeError(ResultCode::kConnectFailed, "refused")});
      return;
    }
    const int key = one->key;
    Call(index, [=, this](Ledger& ledger) {
      if (!ledger.OnSending(time_.now(), action.ticket)) {
        return;
      }
      const bool broke = draw_.Chance(options_.partial_writes);
      const bool arrives = !broke || draw_.Chance(0.7);
      const Duration work =
          Active(LedgerFault::kDeskSlow)
              ? draw_.Between(seconds(2), seconds(20))
              : draw_.Between(milliseconds(2), milliseconds(300));
      if (broke) {
        time_.After(milliseconds(1), [=] {
          end({.sent = true,
               .answer = MakeError(ResultCode::kAnswerLost, "broke off")});
        });
      }
      if (!arrives) {
        return;
      }
      const bool answer_lost =
          broke ||
          (Active(LedgerFault::kDeskLosesAnswers) && draw_.Chance(0.6));
      time_.After(work, [=, this] {
        const std::string body =
            fmt::format("{} run {}", KeyName(key), ++desk_count_);
        desk_runs_[key].push_back(body);
        if (!answer_lost) {
          time_.After(milliseconds(1), [=] {
            end({.sent = true,
                 .answer = StoredAnswer{.http_status = 200,
                                        .content_type = "text/plain",
                                        .body = body}});
          });
        }
      });
    });
  });
}

void World::Execute(int index, const QueryStatus& action) {
  const Submission* submission = SubmissionOf(index, action.ticket);
  if (submission == nullptr) {
    return;
  }
  const int key = submission->key;
  const uint64_t run = instances_[index].run;
  time_.After(milliseconds(3), [=, this] {
    if (instances_[index].run != run) {
      return;
    }
    const std::vector<std::string>& runs = desk_runs_[key];
    std::optional<StoredAnswer> answer;
    if (!runs.empty()) {
      answer = StoredAnswer{.http_status = 200,
                            .content_type = "text/plain",
                            .body = runs.front()};
    }
    Call(index, [=, this](Ledger& ledger) {
      ledger.OnStatusAnswer(
          time_.now(), action.ticket,
          answer.has_value() ? StatusFinding::kRan : StatusFinding::kNotSeen,
          answer);
    });
  });
}

void World::Execute(int index, const SendLedgerMessage& action) {
  const auto to = std::ranges::find(instances_, action.to, &Instance::id);
  if (to == instances_.end() || Active(LedgerFault::kPartition) ||
      draw_.Chance(0.03)) {
    return;
  }
  const int target = static_cast<int>(to - instances_.begin());
  const int copies = draw_.Chance(0.05) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const Duration delay = draw_.Chance(0.05)
                               ? draw_.Between(milliseconds(10), seconds(2))
                               : draw_.Between(Duration(500), milliseconds(3));
    time_.After(delay, [this, target, from = instances_[index].id,
                        message = action.message] {
      Call(target, [this, from, message](Ledger& ledger) {
        ledger.OnMessage(time_.now(), from, message);
      });
    });
  }
}

void World::Execute(int index, const AnswerCall& action) {
  Submission* submission = SubmissionOf(index, action.ticket);
  if (submission == nullptr) {
    RecordViolation(report_.wrong_answer,
                    "An answer came for an unknown ticket.");
    return;
  }
  if (submission->ended) {
    RecordViolation(report_.wrong_answer, "A submission was answered twice.");
  }
  submission->ended = true;
  if (!action.answer.ok()) {
    const ErrorDetails details = DetailsOf(action.answer.status());
    submission->reported_not_run = details.ran == Ran::kNo;
    report_.reported_not_run += details.ran == Ran::kNo ? 1 : 0;
    report_.reported_unknown += details.ran == Ran::kUnknown ? 1 : 0;
    const bool wrong_key_use =
        details.code == ResultCode::kKeyReusedWithOtherBody;
    if (wrong_key_use && !submission->other_body) {
      // The submission with the other body came first and has the claim.
      return;
    }
    const bool outage = std::ranges::any_of(last_until_, [&](const auto& e) {
      return e.second + kCallerDeadline + seconds(20) > time_.now();
    });
    if (details.code == ResultCode::kClaimStoreDown && !outage) {
      RecordViolation(
          report_.refused_without_cause,
          fmt::format("{} was refused although the store is available.",
                      KeyName(submission->key)));
    }
    return;
  }
  submission->answered = true;
  ++report_.answered;
  report_.replayed += action.replayed ? 1 : 0;
  const std::vector<std::string>& runs = desk_runs_[submission->key];
  if (runs.empty() || action.answer->body != runs.front()) {
    RecordViolation(report_.wrong_answer,
                    fmt::format("{} got \"{}\".", KeyName(submission->key),
                                action.answer->body));
  }
}

void World::Fault(const PlannedLedgerFault& fault) {
  const Duration length = milliseconds(fault.length_ms);
  const Time until = time_.now() + length;
  last_until_[fault.kind] = std::max(last_until_[fault.kind], until);
  const int index = fault.target % kInstances;
  Instance& instance = instances_[index];
  if (fault.kind == LedgerFault::kPause) {
    if (!instance.up || instance.paused) {
      return;
    }
    instance.paused = true;
    const uint64_t run = instance.run;
    time_.After(length, [this, index, run] {
      Instance& one = instances_[index];
      if (one.run != run || !one.up) {
        return;
      }
      one.paused = false;
      for (const auto& call : std::exchange(one.deferred, {})) {
        call();
      }
    });
    return;
  }
  if (fault.kind == LedgerFault::kCrash) {
    if (!instance.up) {
      return;
    }
    instance.up = false;
    for (Submission& submission : submissions_) {
      if (submission.started && submission.instance == index &&
          submission.run == instance.run && !submission.ended) {
        submission.cut_off = true;
      }
    }
    time_.After(milliseconds(500), [this, index] { Start(index); });
    return;
  }
  until_[fault.kind] = std::max(until_[fault.kind], until);
}

void World::CheckOutcome() {
  std::map<int, std::vector<const Submission*>> by_key;
  for (const Submission& submission : submissions_) {
    if (!submission.started) {
      continue;
    }
    by_key[submission.key].push_back(&submission);
    if (!submission.ended && !submission.cut_off) {
      RecordViolation(
          report_.without_end,
          fmt::format("{} never got an answer.", KeyName(submission.key)));
    }
  }
  for (const auto& [key, runs] : desk_runs_) {
    report_.runs += static_cast<int>(runs.size());
    if (runs.size() > 1) {
      RecordViolation(
          report_.ran_twice,
          fmt::format("{} ran {} times.", KeyName(key), runs.size()));
    }
    const bool all_told_no =
        std::ranges::all_of(by_key[key], [](const Submission* submission) {
          return submission->reported_not_run && !submission->cut_off;
        });
    if (!runs.empty() && all_told_no) {
      RecordViolation(
          report_.not_run_but_ran,
          fmt::format("{} ran, but every caller received ran:\"no\".",
                      KeyName(key)));
    }
  }
  for (const Instance& instance : instances_) {
    if (instance.up && !instance.paused && instance.ledger->open_calls() > 0) {
      RecordViolation(
          report_.still_open,
          fmt::format("{} still has {} open calls.", instance.id.value(),
                      instance.ledger->open_calls()));
    }
  }
}

}  // namespace

LedgerWorldReport RunLedgerWorld(const LedgerWorldOptions& options) {
  return World(options).Run();
}

std::vector<PlannedLedgerFault> DrawLedgerFaults(
    uint64_t seed, int count, const std::vector<LedgerFault>& kinds) {
  Draw draw(seed);
  std::vector<PlannedLedgerFault> faults;
  faults.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    faults.push_back({.after_ms = static_cast<int>(draw.Below(6000)),
                      .kind = kinds[draw.Below(kinds.size())],
                      .target = static_cast<int>(draw.Below(kInstances)),
                      .length_ms = 200 + static_cast<int>(draw.Below(9000))});
  }
  return faults;
}

std::string Describe(const LedgerWorldReport& r) {
  return fmt::format(
      "submitted {} answered {} replayed {} told_no {} told_unknown {} runs {} "
      "doubled {} not_run_but_ran {} wrong_answer {} without_end {} "
      "refused_without_cause {} left_over {} invariants {} events {}; first: "
      "{}",
      r.submitted, r.answered, r.replayed, r.reported_not_run,
      r.reported_unknown, r.runs, r.ran_twice, r.not_run_but_ran,
      r.wrong_answer, r.without_end, r.refused_without_cause, r.still_open,
      r.invariant_failures, r.events, r.first_violation);
}

}  // namespace oleander::test
