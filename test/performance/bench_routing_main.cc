// Measures the wall-clock time of one routing decision and the router's memory
// by the number of servers. The prefix index holds 100,000 entries.
#include <benchmark/benchmark.h>

#include <random>

#include "oleander/admission.h"
#include "oleander/routing.h"

namespace oleander {
namespace {

constexpr int kEntries = 100'000;
constexpr int kPrompts = 4096;
constexpr int kDomains = 9;
constexpr Time kNow{std::chrono::hours(1)};

struct Setup {
  std::unique_ptr<Router> router;
  std::vector<std::vector<BlockHash>> prompts;
  std::mt19937_64 random{1};

  // Makes prompts of `blocks` blocks. A third is one of 40 shared prefixes, the
  // rest is unique.
  Setup(int servers, int blocks) {
    RoutingOptions options;
    options.location = {RegionId("r0"), DomainId("d0")};
    options.prefixes.max_entries = kEntries;
    router = std::make_unique<Router>(options);
    std::vector<ServerInfo> list(servers);
    for (int i = 0; i < servers; ++i) {
      const int domain = i % kDomains;
      list[i].id = ServerId("engine-" + std::to_string(i));
      list[i].service = ServiceId("model");
      list[i].location = {RegionId("r" + std::to_string(domain / 3)),
                          DomainId("d" + std::to_string(domain))};
    }
    router->SetServers(kNow, list);
    for (const ServerInfo& info : list) {
      ServerLoad load;
      load.server = info.id;
      load.slots = 16;
      load.running = static_cast<int>(random() % 20);
      load.prefill_tokens_per_s = 6000;
      router->OnLoad(kNow, load);
    }
    std::vector<std::vector<BlockHash>> shared(40);
    for (auto& prefix : shared) {
      for (int i = 0; i < blocks / 3; ++i) prefix.push_back(random());
    }
    for (int i = 0; i < kPrompts; ++i) {
      std::vector<BlockHash> prompt = shared[random() % shared.size()];
      while (prompt.size() < static_cast<size_t>(blocks)) {
        prompt.push_back(random());
      }
      prompts.push_back(std::move(prompt));
    }
    // Fills the index by dispatching prompts to random servers.
    for (uint64_t attempt = 1;
         router->prefixes().entries() < kEntries && attempt < 100'000;
         ++attempt) {
      DispatchedCall call;
      call.attempt = attempt;
      call.server = list[random() % list.size()].id;
      call.blocks = prompts[random() % prompts.size()];
      router->OnDispatched(kNow, call);
      router->OnEnded(kNow, attempt, {});
    }
  }

  RouteQuery Query(size_t index) const {
    RouteQuery query;
    query.service = ServiceId("model");
    query.blocks = prompts[index % prompts.size()];
    query.prompt_tokens = static_cast<int64_t>(query.blocks.size()) * 64;
    query.random_bits = index * 0x9E3779B97F4A7C15ULL;
    return query;
  }
};

void BenchChoose(benchmark::State& state) {
  Setup setup(static_cast<int>(state.range(0)),
              static_cast<int>(state.range(1)));
  size_t index = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(setup.router->Choose(kNow, setup.Query(++index)));
  }
  state.counters["entries"] =
      static_cast<double>(setup.router->prefixes().entries());
  state.counters["index_bytes"] =
      static_cast<double>(setup.router->prefixes().memory_bytes());
  state.counters["all_bytes"] =
      static_cast<double>(setup.router->memory_bytes());
}
BENCHMARK(BenchChoose)
    ->ArgsProduct({{9, 83, 750}, {12, 36, 90}})
    ->ArgNames({"servers", "blocks"});

void BenchChoosePlain(benchmark::State& state) {
  Setup setup(static_cast<int>(state.range(0)), 12);
  RouteQuery query = setup.Query(0);
  query.blocks = {};
  for (auto _ : state) {
    query.random_bits += 0x9E3779B97F4A7C15ULL;
    benchmark::DoNotOptimize(setup.router->Choose(kNow, query));
  }
}
BENCHMARK(BenchChoosePlain)->Arg(3)->Arg(83)->Arg(750);

// Measures recording a dispatch, its first token and its end.
void BenchRecord(benchmark::State& state) {
  Setup setup(static_cast<int>(state.range(0)), 36);
  uint64_t attempt = 1'000'000;
  for (auto _ : state) {
    DispatchedCall call;
    call.attempt = ++attempt;
    call.server = ServerId("engine-" + std::to_string(attempt % 9));
    call.blocks = setup.prompts[attempt % kPrompts];
    call.prompt_tokens = 2304;
    setup.router->OnDispatched(kNow, call);
    setup.router->OnFirstToken(kNow, attempt);
    setup.router->OnEnded(kNow, attempt, {});
    if (attempt % 1000 == 0) {
      ServerLoad load;
      for (int i = 0; i < 9; ++i) {
        load.server = ServerId("engine-" + std::to_string(i));
        setup.router->OnLoad(kNow, load);
      }
    }
  }
}
BENCHMARK(BenchRecord)->Arg(9)->Arg(750);

void BenchAdmit(benchmark::State& state) {
  Admission admission;
  AdmissionQuery query;
  query.service = ServiceId("model");
  const auto workspaces = state.range(0);
  for (auto _ : state) {
    ++query.id;
    query.workspace = WorkspaceId(std::to_string(query.id % workspaces));
    benchmark::DoNotOptimize(admission.Offer(kNow, query));
    admission.OnFinished(kNow, query.id);
  }
}
BENCHMARK(BenchAdmit)->Arg(5)->Arg(100);

}  // namespace
}  // namespace oleander

BENCHMARK_MAIN();
