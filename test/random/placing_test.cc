// Compares one placer for all calls of a region with instances that choose on
// their own and with simple rules, on the same arrivals.
#include <boost/test/unit_test.hpp>
#include <map>
#include <span>

#include "support/engine_world.h"

namespace oleander::testing {
namespace {

constexpr uint64_t kSeeds = 5;

// One Placement for all instances, as with a region's placer, or one for each.
class PlacementPolicy : public ChoosingPolicy {
 public:
  PlacementPolicy(const EngineWorld& world, int instances, bool shared)
      : shared_(shared) {
    for (int i = 0; i < (shared ? 1 : instances); ++i) {
      placements_.emplace_back(
          PlacementOptions{},
          Location{.region = RegionId("r"), .domain = DomainId("r-a")},
          static_cast<uint64_t>(i) + 1);
      placements_.back().SetRegions(
          {{DomainId("r-a"), RegionId("r")}, {DomainId("r-b"), RegionId("r")}});
      placements_.back().SetServers(world.servers());
    }
  }
  ServerId Choose(Time now, int instance,
                  const PlacementRequest& request) override {
    return *Of(instance).Pick(now, request);
  }
  uint64_t OnSent(Time now, int instance, const ServerId& engine,
                  const Prompt& prompt) override {
    return Of(instance).OnSent(now, engine, prompt);
  }
  void OnStarted(Time now, int instance, uint64_t call) override {
    Of(instance).OnStarted(now, call);
  }
  void OnEnded(Time now, int instance, const ServerId& engine,
               uint64_t call) override {
    Of(instance).OnEnded(now, engine, call);
  }

 private:
  Placement& Of(int instance) {
    return placements_.at(shared_ ? 0 : static_cast<size_t>(instance));
  }
  bool shared_;
  std::vector<Placement> placements_;
};

// Each instance counts its local calls at each engine and chooses, among
// `drawn` random engines, the one with the fewest.
class FewestCalls : public ChoosingPolicy {
 public:
  FewestCalls(const EngineWorld& world, size_t drawn, uint64_t seed)
      : servers_(world.servers()), drawn_(drawn), gen_(seed) {}
  ServerId Choose(Time /*now*/, int instance,
                  const PlacementRequest& /*request*/) override {
    std::ranges::shuffle(servers_, gen_);
    const auto some =
        std::span(servers_).first(std::min(drawn_, servers_.size()));
    return (*std::ranges::min_element(some, {},
                                      [&](const auto* server) {
                                        return calls_[{instance, server->id}];
                                      }))
        ->id;
  }
  uint64_t OnSent(Time, int instance, const ServerId& engine,
                  const Prompt&) override {
    ++calls_[{instance, engine}];
    return 0;
  }
  void OnStarted(Time, int, uint64_t) override {}
  void OnEnded(Time, int instance, const ServerId& engine, uint64_t) override {
    --calls_[{instance, engine}];
  }

 private:
  std::vector<const ListedServer*> servers_;
  size_t drawn_;
  std::mt19937_64 gen_;
  std::map<std::pair<int, ServerId>, int> calls_;
};

struct Compared {
  EngineWorldResult one_placer;
  EngineWorldResult independent;
  EngineWorldResult fewest;
  EngineWorldResult two_choices;
};

Compared Compare(const EngineWorldOptions& options, uint64_t seed) {
  const auto play = [&](auto make) {
    EngineWorld world(options, seed);
    auto policy = make(world);
    return world.Play(policy);
  };
  return {.one_placer = play([&](const EngineWorld& world) {
            return PlacementPolicy(world, options.instances, true);
          }),
          .independent = play([&](const EngineWorld& world) {
            return PlacementPolicy(world, options.instances, false);
          }),
          .fewest = play([&](const EngineWorld& world) {
            return FewestCalls(world, world.servers().size(), seed);
          }),
          .two_choices = play([&](const EngineWorld& world) {
            return FewestCalls(world, 2, seed);
          })};
}

void Print(const char* what, const EngineWorldResult& result) {
  BOOST_TEST_MESSAGE(what << ": long in goal " << result.long_in_goal
                          << ", short " << result.short_in_goal
                          << ", repeated prefill " << result.repeated_prefill
                          << ", p99 " << result.long_p99.count() / 1000
                          << " ms");
}

void Print(const Compared& compared) {
  Print("one placer", compared.one_placer);
  Print("independent", compared.independent);
  Print("fewest calls", compared.fewest);
  Print("two choices", compared.two_choices);
}

BOOST_AUTO_TEST_SUITE(placing)

BOOST_AUTO_TEST_SUITE(by_one_instance_of_a_region)

BOOST_AUTO_TEST_CASE(
    serves_more_long_prompts_in_time_than_independent_choices) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Compared compared = Compare({}, seed);
    Print(compared);
    BOOST_TEST(compared.one_placer.long_in_goal >= 0.97);
    BOOST_TEST(compared.one_placer.long_in_goal >
               compared.fewest.long_in_goal + 0.03);
    BOOST_TEST(compared.one_placer.long_in_goal >
               compared.two_choices.long_in_goal + 0.03);
    BOOST_TEST(compared.one_placer.long_in_goal >=
               compared.independent.long_in_goal);
    BOOST_TEST((compared.one_placer.long_p99 < compared.independent.long_p99));
  }
}

BOOST_AUTO_TEST_CASE(holds_with_much_pending_prefill) {
  EngineWorldOptions options;
  options.long_per_s = 75;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Compared compared = Compare(options, seed);
    Print(compared);
    BOOST_TEST(compared.one_placer.long_in_goal >=
               compared.independent.long_in_goal + 0.05);
    BOOST_TEST(compared.one_placer.long_in_goal >
               compared.two_choices.long_in_goal);
  }
}

BOOST_AUTO_TEST_CASE(spreads_a_prefix_that_half_of_the_calls_share) {
  EngineWorldOptions options;
  options.hot_share = 0.5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Compared compared = Compare(options, seed);
    Print(compared);
    BOOST_TEST(compared.one_placer.long_in_goal >= 0.97);
    BOOST_TEST(compared.one_placer.short_in_goal >= 0.95);
  }
}

BOOST_AUTO_TEST_CASE(matters_more_with_more_instances) {
  EngineWorldOptions options;
  options.instances = 90;
  options.engines = 30;
  options.long_per_s = 150;
  options.short_per_s = 170;
  options.prefixes = 376;
  options.length = std::chrono::seconds(20);
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    const Compared compared = Compare(options, seed);
    Print(compared);
    BOOST_TEST(compared.one_placer.long_in_goal >= 0.95);
    BOOST_TEST(compared.one_placer.long_in_goal >=
               compared.independent.long_in_goal + 0.05);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::testing
