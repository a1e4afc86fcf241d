// Measures the cost of a request's second copy: processor time of the
// home (its primary instance) and the replica together, and bytes of the
// protobuf frames between the two.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "io/request_codec.h"
#include "oleander/requests.h"

namespace {

using namespace oleander;
using std::chrono::milliseconds;

constexpr int kTokens = 200;
constexpr size_t kBodyBytes = 2'000;

InstanceInfo Info(const std::string& id, const std::string& domain) {
  return {.id = InstanceId(id),
          .location = {.region = RegionId("r"), .domain = DomainId(domain)},
          .address = "127.0.0.1",
          .http_port = 0,
          .mesh_port = 0};
}

RequestSpec Spec(ReplicaRule rule) {
  RequestSpec spec;
  spec.service = ServiceId("model");
  spec.profile = ProfileName("tortared");
  spec.workspace = WorkspaceId("bakery");
  spec.body = std::string(kBodyBytes, 'x');
  spec.max_tokens = kTokens;
  spec.answer_retention = milliseconds(0);
  spec.replica = rule;
  return spec;
}

// A home and its replica, which exchange messages through the codec.
class Pair {
 public:
  Pair() {
    const std::vector<PeerView> peers = {{.info = home_.self},
                                         {.info = replica_.self}};
    home_table_.SetPeers(now_, peers);
    replica_table_.SetPeers(now_, peers);
  }

  // Runs one request from acceptance to its end, until both have dropped it.
  void Run(ReplicaRule rule) {
    const RequestId id = *home_table_.Accept(now_, Spec(rule));
    ExchangeMessages();
    const AttemptKey key{.id = id, .epoch = 1, .attempt = 1};
    for (uint64_t i = 0; i < kTokens; ++i) {
      now_ += milliseconds(30);
      home_table_.OnTokens(now_, key, i, token_);
      ExchangeMessages();
    }
    home_table_.OnAttemptEnded(now_, key,
                               {.status = absl::OkStatus(),
                                .finish_reason = "stop",
                                .total_events = kTokens});
    ExchangeMessages();
    now_ += milliseconds(500);
    home_table_.Tick(now_);
    replica_table_.Tick(now_);
    ExchangeMessages();
  }

  uint64_t bytes() const { return bytes_; }
  uint64_t messages() const { return messages_; }

 private:
  void ExchangeMessages() {
    while (DeliverMessages(home_table_, replica_table_, home_.self.id) ||
           DeliverMessages(replica_table_, home_table_, replica_.self.id)) {
    }
  }
  bool DeliverMessages(RequestTable& from, RequestTable& to,
                       const InstanceId& sender) {
    bool any = false;
    for (const RequestAction& action : from.TakeActions()) {
      const auto* send = std::get_if<SendRequestMessage>(&action);
      if (send == nullptr) {
        continue;
      }
      any = true;
      const std::string wire =
          io::EncodeRequestMessage(send->message).SerializeAsString();
      bytes_ += wire.size();
      ++messages_;
      mesh::RequestMessage frame;
      frame.ParseFromString(wire);
      to.OnMessage(now_, sender, *io::DecodeRequestMessage(frame));
    }
    return any;
  }

  Time now_{};
  RequestTableOptions home_{
      .self = Info("a", "d1"), .limits = {}, .timing = {}, .mutations = {}};
  RequestTableOptions replica_{
      .self = Info("b", "d2"), .limits = {}, .timing = {}, .mutations = {}};
  RequestTable home_table_{home_, 1};
  RequestTable replica_table_{replica_, 2};
  std::vector<std::string> token_{" token"};
  uint64_t bytes_ = 0;
  uint64_t messages_ = 0;
};

// Measures the home and the replica together, without sockets.
void BenchRequest(benchmark::State& state, ReplicaRule rule) {
  Pair pair;
  for (auto _ : state) {
    pair.Run(rule);
  }
  const auto runs = static_cast<double>(state.iterations());
  state.counters["bytes"] = static_cast<double>(pair.bytes()) / runs;
  state.counters["messages"] = static_cast<double>(pair.messages()) / runs;
}

BENCHMARK_CAPTURE(BenchRequest, alone, ReplicaRule::kNone)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(BenchRequest, with_second_copy, ReplicaRule::kOtherDomain)
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
