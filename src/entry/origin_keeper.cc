#include "entry/origin_keeper.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "entry/forwarded_call.h"
#include "io/log.h"

namespace oleander::entry {
namespace {

using Kind = OriginAnswer::Kind;

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
  const Time now = context_.loop.now();
  if (const StreamOrigin* origin = origins_.Find(attempt)) {
    done(AnswerFor(*origin, service));
    return;
  }
  if (const auto only = history_.OnlyVersion(now, service)) {
    done({.kind = Kind::kVersion, .version = *only});
    return;
  }
  if (attempt.empty()) {
    done({.kind = Kind::kUnknown, .version = {}});
    return;
  }
  StoreRange read;
  read.key = StreamOrigins::KeyOf(attempt);
  store_.Range(read,
               [this, service, done = std::move(done)](const auto& answer) {
                 context_.metrics.CountStoreCall("origin", answer.ok());
                 done(AnswerFrom(answer, service));
               });
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
