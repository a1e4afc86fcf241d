// What callers get where one instance places all calls of a region, against
// instances that choose alone and against plain rules, on the same arrivals.
#include <boost/test/unit_test.hpp>
#include <map>
#include <span>

#include "support/engine_world.h"

namespace oleander::testing {
namespace {

constexpr uint64_t kSeeds = 5;

// One Placement for all instances (a region's placer), or one for each.
class Placing : public ChoosingPolicy {
 public:
  Placing(const EngineWorld& world, int instances, bool together)
      : together_(together) {
    for (int i = 0; i < (together ? 1 : instances); ++i) {
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
                  const PlacementQuestion& question) override {
    return *Of(instance).Pick(now, question);
  }
  uint64_t OnSent(Time now, int instance, const ServerId& engine,
                  const Prompt& prompt) override {
    return Of(instance).OnSent(now, engine, prompt);
  }
  void OnBegun(Time now, int instance, uint64_t call) override {
    Of(instance).OnBegun(now, call);
  }
  void OnEnded(Time now, int instance, const ServerId& engine,
               uint64_t call) override {
    Of(instance).OnEnded(now, engine, call);
  }

 private:
  Placement& Of(int instance) {
    return placements_.at(together_ ? 0 : static_cast<size_t>(instance));
  }
  bool together_;
  std::vector<Placement> placements_;
};

// Each instance counts its own calls: the fewest of all engines, or of two that
// are drawn.
class Counting : public ChoosingPolicy {
 public:
  Counting(const EngineWorld& world, size_t drawn, uint64_t seed)
      : servers_(world.servers()), drawn_(drawn), gen_(seed) {}
  ServerId Choose(Time /*now*/, int instance,
                  const PlacementQuestion& /*question*/) override {
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
  void OnBegun(Time, int, uint64_t) override {}
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
  EngineWorldResult together;
  EngineWorldResult alone;
  EngineWorldResult fewest;
  EngineWorldResult two_choices;
};

Compared Compare(const EngineWorldOptions& options, uint64_t seed) {
  const auto play = [&](auto make) {
    EngineWorld world(options, seed);
    auto policy = make(world);
    return world.Play(policy);
  };
  return {.together = play([&](const EngineWorld& world) {
            return Placing(world, options.instances, true);
          }),
          .alone = play([&](const EngineWorld& world) {
            return Placing(world, options.instances, false);
          }),
          .fewest = play([&](const EngineWorld& world) {
            return Counting(world, world.servers().size(), seed);
          }),
          .two_choices = play([&](const EngineWorld& world) {
            return Counting(world, 2, seed);
          })};
}

void Print(const char* what, const EngineWorldResult& result) {
  BOOST_TEST_MESSAGE(what << ": long in goal " << result.long_in_goal
                          << ", short " << result.short_in_goal
                          << ", read again " << result.read_again << ", p99 "
                          << result.long_p99.count() / 1000 << " ms");
}

void Print(const Compared& compared) {
  Print("one placer", compared.together);
  Print("alone", compared.alone);
  Print("fewest calls", compared.fewest);
  Print("two choices", compared.two_choices);
}

BOOST_AUTO_TEST_SUITE(placing)

BOOST_AUTO_TEST_SUITE(by_one_instance_of_a_region)

BOOST_AUTO_TEST_CASE(serves_more_long_prompts_in_time_than_each_alone) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Compared compared = Compare({}, seed);
    Print(compared);
    BOOST_TEST(compared.together.long_in_goal >= 0.97);
    BOOST_TEST(compared.together.long_in_goal >
               compared.fewest.long_in_goal + 0.03);
    BOOST_TEST(compared.together.long_in_goal >
               compared.two_choices.long_in_goal + 0.03);
    BOOST_TEST(compared.together.long_in_goal >= compared.alone.long_in_goal);
    BOOST_TEST((compared.together.long_p99 < compared.alone.long_p99));
  }
}

BOOST_AUTO_TEST_CASE(holds_where_engines_have_much_to_read) {
  EngineWorldOptions options;
  options.long_per_s = 75;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Compared compared = Compare(options, seed);
    Print(compared);
    BOOST_TEST(compared.together.long_in_goal >=
               compared.alone.long_in_goal + 0.05);
    BOOST_TEST(compared.together.long_in_goal >
               compared.two_choices.long_in_goal);
  }
}

BOOST_AUTO_TEST_CASE(spreads_a_subject_that_half_of_the_callers_ask_for) {
  EngineWorldOptions options;
  options.hot_share = 0.5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Compared compared = Compare(options, seed);
    Print(compared);
    BOOST_TEST(compared.together.long_in_goal >= 0.97);
    BOOST_TEST(compared.together.short_in_goal >= 0.95);
  }
}

BOOST_AUTO_TEST_CASE(matters_more_the_more_instances_there_are) {
  EngineWorldOptions options;
  options.instances = 90;
  options.engines = 30;
  options.long_per_s = 150;
  options.short_per_s = 170;
  options.subjects = 376;
  options.length = std::chrono::seconds(20);
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    const Compared compared = Compare(options, seed);
    Print(compared);
    BOOST_TEST(compared.together.long_in_goal >= 0.95);
    BOOST_TEST(compared.together.long_in_goal >=
               compared.alone.long_in_goal + 0.05);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::testing
