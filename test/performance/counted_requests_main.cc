// Counts the cost of a request at its home and its replica: messages, encoded
// bytes and memory. Two request tables exchange messages through the codec in
// virtual time. --report adds processor time.
//
// docs/CAPACITY.md uses the counts per request and per token as slopes.
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/request_codec.h"
#include "mesh.pb.h"
#include "oleander/requests.h"
#include "support/control_fleet.h"

DEFINE_bool(report, false, "Print processor time too.");
DEFINE_int32(batch_ms, 10, "Least time between two Progress messages, ms.");

namespace oleander::testing {
namespace {

constexpr size_t kRequests = 100;
constexpr int64_t kTokens = 393;  // Mean at the target load.
constexpr Duration kBetweenTokens = milliseconds(46);
constexpr size_t kBodyBytes = 2000;
// Requests that one instance holds at the target load, as home and as replica:
// 2,800 requests/s of kTokens tokens at 46 ms over 360 instances.
constexpr double kHeldAtTarget = 2 * 2800.0 / 360 * kTokens * 0.046;
// Default of max_request_bytes in the settings.
constexpr double kMemoryBudget = 128.0 * (1 << 20);

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

struct Side {
  InstanceInfo info;
  std::unique_ptr<RequestTable> table;
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

class Pair {
 public:
  Pair() {
    for (size_t i = 0; i < sides_.size(); ++i) {
      Side& side = sides_[i];
      side.info = {
          .id = InstanceId(fmt::format("entry-{:03}", i)),
          .location = {.region = RegionId("region-0"),
                       .domain = DomainId(fmt::format("domain-{}", i))},
          .address = "127.14.0.1",
          .http_port = 1,
          .mesh_port = 2};
    }
    for (size_t i = 0; i < sides_.size(); ++i) {
      RequestTableOptions options;
      options.self = sides_[i].info;
      options.timing.progress_interval = milliseconds(FLAGS_batch_ms);
      sides_[i].table = std::make_unique<RequestTable>(options, i + 1);
      const std::vector<PeerView> peers = {
          {.info = sides_[1 - i].info, .alive = true, .leaving = false}};
      sides_[i].table->SetPeers(now_, peers);
    }
  }

  Side& home() { return sides_[0]; }
  Side& replica() { return sides_[1]; }
  size_t accepted() const { return accepted_; }

  void Accept() {
    RequestSpec spec;
    spec.service = ServiceId("designs");
    spec.profile = ProfileName("designs");
    spec.workspace = WorkspaceId("storefront");
    spec.body = std::string(kBodyBytes, 'x');
    spec.max_tokens = kTokens;
    if (!home().table->Accept(now_, std::move(spec)).ok()) {
      throw std::runtime_error("A request was not accepted.");
    }
    ExecuteActions();
  }

  // Adds the token `index` to every running attempt.
  void Step(int64_t index) {
    now_ += kBetweenTokens;
    const std::vector<std::string> token = {" w1a2b3c"};
    for (const AttemptKey& key : attempts_) {
      home().table->OnTokens(now_, key, static_cast<uint64_t>(index), token);
    }
    for (Side& side : sides_) {
      side.table->Tick(now_);
    }
    ExecuteActions();
  }

  void End() {
    for (const AttemptKey& key : std::exchange(attempts_, {})) {
      AttemptOutcome outcome;
      outcome.finish_reason = "stop";
      home().table->OnAttemptEnded(now_, key, outcome);
    }
    ExecuteActions();
  }

 private:
  void ExecuteActions() {
    for (bool more = true; more;) {
      more = false;
      for (size_t i = 0; i < sides_.size(); ++i) {
        for (RequestAction& action : sides_[i].table->TakeActions()) {
          more = true;
          Execute(i, action);
        }
      }
    }
  }

  void Execute(size_t from, RequestAction& action) {
    if (std::holds_alternative<RequestAccepted>(action)) {
      ++accepted_;
    } else if (const auto* attempt = std::get_if<DispatchAttempt>(&action)) {
      home().table->OnAttemptStarted(now_, attempt->key, ServerId("worker-1"));
      attempts_.push_back(attempt->key);
    } else if (auto* send = std::get_if<SendRequestMessage>(&action)) {
      mesh::Envelope envelope;
      envelope.set_version(1);
      envelope.set_from(sides_[from].info.id.value());
      *envelope.mutable_request() = io::EncodeRequestMessage(send->message);
      const std::string bytes = envelope.SerializeAsString();
      ++sides_[from].messages;
      sides_[from].bytes += bytes.size() + kWireOverhead;
      mesh::Envelope parsed;
      parsed.ParseFromString(bytes);
      const auto message = io::DecodeRequestMessage(parsed.request());
      if (!message.ok()) {
        throw std::runtime_error(message.status().ToString());
      }
      sides_[1 - from].table->OnMessage(now_, sides_[from].info.id, *message);
    }
  }

  Time now_ = Time(seconds(1000));
  std::array<Side, 2> sides_;
  std::vector<AttemptKey> attempts_;
  size_t accepted_ = 0;
};

int Main() {
  const double heap = HeapBytes();
  Pair pair;
  const double start = ProcessorSeconds();
  for (size_t i = 0; i < kRequests; ++i) {
    pair.Accept();
  }
  const double accepted = ProcessorSeconds();
  const auto requests = static_cast<double>(kRequests);
  const double tokens = requests * static_cast<double>(kTokens);
  const auto home_accept = static_cast<double>(pair.home().bytes) / requests;
  const auto replica_accept =
      static_cast<double>(pair.replica().bytes) / requests;
  const uint64_t messages_before = pair.home().messages;
  const uint64_t home_before = pair.home().bytes;
  const uint64_t replica_before = pair.replica().bytes;
  for (int64_t i = 0; i < kTokens; ++i) {
    pair.Step(i);
  }
  const double streamed = ProcessorSeconds();
  const double held =
      (HeapBytes() - heap) / (2 * requests);  // One copy of one request.
  pair.End();
  const double retained = (HeapBytes() - heap) / (2 * requests);
  fmt::print(
      "per request: home sends {:.0f} B, replica {:.0f} B to accept it\n",
      home_accept, replica_accept);
  fmt::print(
      "per token: home sends {:.2f} messages and {:.0f} B, replica {:.0f} B\n",
      static_cast<double>(pair.home().messages - messages_before) / tokens,
      static_cast<double>(pair.home().bytes - home_before) / tokens,
      static_cast<double>(pair.replica().bytes - replica_before) / tokens);
  fmt::print("memory: {:.0f} B per copy after {} tokens\n", held, kTokens);
  if (FLAGS_report) {
    fmt::print(
        "processor, both sides and codec: {:.1f} us per request, {:.2f} "
        "us per token\n",
        (accepted - start) / requests * 1e6,
        (streamed - accepted) / tokens * 1e6);
  }
  const double at_target = held * kHeldAtTarget;
  fmt::print("memory: {:.0f} B per copy of an ended answer\n", retained);
  fmt::print(
      "ended answers kept at the target: {:.1f} MB per minute of "
      "answer_kept\n",
      retained * 2 * 2800.0 / 360 * 60 / (1 << 20));
  fmt::print("held at the target: {:.1f} MB per instance\n",
             at_target / (1 << 20));
  const bool good = pair.accepted() == kRequests && at_target <= kMemoryBudget;
  fmt::print("{}\n", good ? "within the budget" : "OVER BUDGET");
  return good ? 0 : 1;
}

}  // namespace
}  // namespace oleander::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return oleander::testing::Main();
}
