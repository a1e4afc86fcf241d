#include "entry/origin_keeper.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "entry/forwarded_call.h"
#include "io/log.h"
#include "oleander/result_code.h"

namespace oleander::entry {
namespace {

using Kind = OriginAnswer::Kind;

// While many streams are taken up, one read of the stored versions serves all
// that came since the one before.
constexpr Duration kConfirmInterval = std::chrono::milliseconds(50);
// A read takes some milliseconds, from another region some tens.
constexpr Duration kConfirmTimeout = std::chrono::milliseconds(400);

OriginAnswer AnswerFor(const StreamOrigin& origin, const ServiceId& service) {
  return origin.service == service
             ? OriginAnswer{.kind = Kind::kVersion, .version = origin.version}
             : OriginAnswer{.kind = Kind::kAnyVersion, .version = {}};
}

OriginAnswer AnswerFrom(const absl::StatusOr<StoreRangeAnswer>& read,
                        const ServiceId& service) {
  if (!read.ok()) {
    return {.kind = Kind::kUnreachable, .version = {}};
  }
  const auto origin = read->entries.empty()
                          ? std::nullopt
                          : StreamOrigins::Parse(read->entries.front().value);
  return origin ? AnswerFor(*origin, service)
                : OriginAnswer{.kind = Kind::kUnknown, .version = {}};
}

}  // namespace

OriginKeeper::OriginKeeper(CallContext& context, ports::StorePort& store,
                           uint64_t seed)
    : context_(context), store_(store), history_({}, seed) {}

void OriginKeeper::OnServers() {
  history_.OnServers(context_.loop.now(), context_.listed.all());
  RecordOpenStreams();
  Drive();
}

void OriginKeeper::OnNewEra() {
  history_.OnNewEra(context_.loop.now());
  Drive();
}

void OriginKeeper::RecordOpenStreams() {
  const Time now = context_.loop.now();
  std::set<ServiceId> mixed;
  for (const ListedServer* server : context_.listed.all()) {
    if (!history_.OnlyVersion(now, server->service)) {
      mixed.insert(server->service);
    }
  }
  std::set<ServiceId> added;
  std::ranges::set_difference(mixed, mixed_, std::inserter(added, added.end()));
  mixed_ = std::move(mixed);
  for (const ServiceId& service : added) {
    size_t recorded = 0;
    for (const ForwardedCall* call : context_.open_calls) {
      const auto origin = call->origin();
      if (origin && origin->service == service) {
        origins_.OnBegun(now, call->attempt(), *origin);
        ++recorded;
      }
    }
    io::Log(io::LogLevel::kInfo, "versions.several",
            {{"service", service.value()}, {"open_streams", recorded}});
  }
}

void OriginKeeper::OnBegun(const std::string& attempt,
                           const StreamOrigin& origin) {
  const Time now = context_.loop.now();
  if (!history_.OnlyVersion(now, origin.service)) {
    origins_.OnBegun(now, attempt, origin);
    Drive();
  }
}

void OriginKeeper::Find(const std::string& attempt, const ServiceId& service,
                        Done done) {
  if (const StreamOrigin* origin = origins_.Find(attempt)) {
    done(AnswerFor(*origin, service));
    return;
  }
  const Question question{
      .attempt = attempt, .service = service, .done = std::move(done)};
  if (!history_.OnlyVersion(context_.loop.now(), service)) {
    ReadOrigin(question);
    return;
  }
  waiting_.push_back(question);
  if (!confirm_timer_.active()) {
    Confirm();
  }
}

void OriginKeeper::Confirm() {
  if (waiting_.empty()) {
    return;
  }
  confirm_timer_ = context_.loop.After(kConfirmInterval, [this] { Confirm(); });
  auto questions = std::make_shared<Questions>(std::exchange(waiting_, {}));
  // Whichever comes first answers the questions.
  const auto timeout = std::make_shared<io::Timer>();
  *timeout = context_.loop.After(kConfirmTimeout, [this, questions] {
    OnConfirmed(std::exchange(*questions, {}),
                MakeError(ResultCode::kStoreUnavailable,
                          "The stored versions could not be read in time."));
  });
  StoreRange read;
  read.key = history_.key();
  store_.Range(read, [this, questions, timeout](const auto& answer) {
    timeout->Cancel();
    context_.metrics.CountStoreCall("versions", answer.ok());
    OnConfirmed(std::exchange(*questions, {}), answer);
  });
}

void OriginKeeper::OnConfirmed(const Questions& questions,
                               const absl::StatusOr<StoreRangeAnswer>& answer) {
  const Time now = context_.loop.now();
  if (answer.ok()) {
    history_.OnConfirmed(now, context_.wall_now(), *answer);
    RecordOpenStreams();
    Drive();
  }
  for (const Question& question : questions) {
    if (!answer.ok()) {
      question.done({.kind = Kind::kUnreachable, .version = {}});
    } else if (const auto only = history_.OnlyVersion(now, question.service)) {
      question.done({.kind = Kind::kVersion, .version = *only});
    } else {
      ReadOrigin(question);
    }
  }
}

void OriginKeeper::ReadOrigin(const Question& question) {
  if (question.attempt.empty()) {
    question.done({.kind = Kind::kUnknown, .version = {}});
    return;
  }
  StoreRange read;
  read.key = StreamOrigins::KeyOf(question.attempt);
  store_.Range(read, [this, service = question.service,
                      done = question.done](const auto& answer) {
    context_.metrics.CountStoreCall("origin", answer.ok());
    done(AnswerFrom(answer, service));
  });
}

std::vector<std::string> OriginKeeper::VersionsNotToBegin(
    const ServiceId& service) const {
  std::set<std::string> stored;
  std::set<std::string> others;
  for (const ListedServer* server : context_.listed.ready()) {
    if (server->service == service) {
      (history_.IsStored(service, server->version) ? stored : others)
          .insert(server->version);
    }
  }
  return stored.empty() ? std::vector<std::string>()
                        : std::vector(others.begin(), others.end());
}

void OriginKeeper::Drive() {
  const Time now = context_.loop.now();
  history_.Tick(now);
  for (const StoreRequest& request : history_.TakeActions()) {
    Send(request, /*from_history=*/true);
  }
  origins_.Tick(now);
  for (const StoreRequest& request : origins_.TakeActions()) {
    Send(request, /*from_history=*/false);
  }
  const Time due = std::min(history_.next_due(), origins_.next_due());
  if (due == Time::max()) {
    timer_.Cancel();
    return;
  }
  timer_ = context_.loop.After(std::max(Duration::zero(), Duration(due - now)),
                               [this] { Drive(); });
}

void OriginKeeper::Send(const StoreRequest& request, bool from_history) {
  if (const auto* read = std::get_if<StoreRange>(&request)) {
    store_.Range(*read, [this](const auto& answer) {
      context_.metrics.CountStoreCall("versions", answer.ok());
      history_.OnRange(context_.loop.now(), context_.wall_now(), answer);
      Drive();
    });
  } else if (const auto* grant = std::get_if<StoreLeaseGrant>(&request)) {
    store_.LeaseGrant(*grant, [this](const auto& answer) {
      context_.metrics.CountStoreCall("origins_lease", answer.ok());
      origins_.OnLease(context_.loop.now(), answer);
      Drive();
    });
  } else if (const auto* write = std::get_if<StoreCas>(&request)) {
    store_.Cas(*write,
               [this, from_history, call = write->call](const auto& answer) {
                 context_.metrics.CountStoreCall(
                     from_history ? "versions" : "origins", answer.ok());
                 if (from_history) {
                   history_.OnCas(context_.loop.now(), answer);
                 } else {
                   origins_.OnCas(context_.loop.now(), call, answer);
                 }
                 Drive();
               });
  }
}

}  // namespace oleander::entry
