// The simulated workload (hourly arrivals, conversations and dossiers) and the
// simulated cloud (prices and reclaim waves).
#include <algorithm>
#include <array>

#include "counted_decisions.h"

namespace oleander::bench {
namespace {

constexpr int kHours = 24;
// Arrival rate in each hour as a share of the peak.
constexpr std::array<double, kHours> kByHour = {
    0.15, 0.12, 0.1, 0.1,  0.12, 0.2, 0.35, 0.6, 0.9, 1.0,  0.95, 0.85,
    0.75, 0.7,  0.7, 0.75, 0.8,  0.9, 0.95, 0.8, 0.6, 0.45, 0.3,  0.2};
// Share of arrivals of each workspace.
constexpr std::array<double, kWorkspaces> kShares = {0.45, 0.25, 0.15, 0.1,
                                                     0.05};
constexpr Duration kOpeningTime = std::chrono::seconds(120);

int PickWorkspace(Random& random) {
  double left = random.Unit();
  for (int i = 0; i < kWorkspaces; ++i) {
    left -= kShares[i];
    if (left < 0) return i;
  }
  return kWorkspaces - 1;
}

void Extend(Random& random, int blocks, std::vector<BlockHash>& prompt) {
  for (int i = 0; i < blocks; ++i) prompt.push_back(random.Bits());
}

struct Shape {
  int shared_blocks;        // Shared by the workspace's prompts.
  int conversation_blocks;  // Start of the conversation or dossier.
  int turns;                // Maximum.
  int turn_blocks;          // Added by each turn.
  int answer_low, answer_high;
  double pause;  // Mean seconds between turns, in addition to 5 s.
  bool interactive;
};

constexpr Shape kChat = {24, 2, 6, 2, 50, 200, 12, true};
constexpr Shape kStatusCheck = {8, 1, 2, 1, 20, 60, 5, true};
constexpr Shape kReview = {8, 80, 5, 3, 250, 600, 10, false};

}  // namespace

Location LocationOf(int domain) {
  return {.region = RegionId(domain < 2 ? "near" : "far"),
          .domain = DomainId("domain-" + std::to_string(domain))};
}

// Tortared gives more weight to cost, Voltabridge to recomputed tokens.
MeasureWeights WeightsOf(User user) {
  return user == User::kTortared ? MeasureWeights{0.7, 0.3}
                                 : MeasureWeights{0.3, 0.7};
}

Workload MakeWorkload(User user, Scenario scenario, uint64_t seed) {
  Random random(seed * 2 + (user == User::kTortared ? 0 : 1));
  Workload workload;
  const Duration length =
      scenario == Scenario::kDay ? kHours * kHour : std::chrono::seconds(240);
  workload.end = Time{} + length;
  std::array<std::vector<BlockHash>, kWorkspaces> shared;
  for (auto& blocks : shared) Extend(random, 24, blocks);
  // New conversations per second.
  const double peak = user == User::kTortared ? 5.0 : 2.6;
  Time now{};
  while (now < workload.end) {
    const bool day = scenario == Scenario::kDay;
    const double hourly =
        day ? kByHour[(now.time_since_epoch() / kHour) % kHours] : 1.0;
    const bool rush = scenario == Scenario::kOpening &&
                      now >= Time{} + kOpeningTime &&
                      now < Time{} + kOpeningTime + std::chrono::seconds(60);
    const double rate = peak * hourly * (rush ? 6 : 1);
    now += std::chrono::duration_cast<Duration>(random.Exponential(1 / rate));
    const bool review = user == User::kVoltabridge && random.Unit() < 0.35;
    const Shape& shape = user == User::kTortared ? kChat
                         : review                ? kReview
                                                 : kStatusCheck;
    // The additional calls of the rush come from the largest workspace.
    const int workspace =
        rush && random.Unit() < 5.0 / 6 ? 0 : PickWorkspace(random);
    std::vector<BlockHash> prompt(
        shared[workspace].begin(),
        shared[workspace].begin() + shape.shared_blocks);
    Extend(random, shape.conversation_blocks, prompt);
    const int turns = 1 + random.Below(shape.turns);
    Time at = now;
    for (int turn = 0; turn < turns; ++turn) {
      Extend(random, shape.turn_blocks, prompt);
      Call call;
      call.arrives = at;
      call.instance = random.Below(kInstances);
      call.workspace = workspace;
      call.interactive = shape.interactive;
      call.blocks = prompt;
      call.prompt_tokens = static_cast<int>(prompt.size()) * kWordsPerBlock +
                           random.Below(kWordsPerBlock);
      call.answer_tokens =
          static_cast<int>(random.Between(shape.answer_low, shape.answer_high));
      if (at < workload.end) workload.calls.push_back(std::move(call));
      at += std::chrono::duration_cast<Duration>(
          Seconds(5) + random.Exponential(shape.pause));
    }
  }
  // Calls with the same arrival time keep their order by number.
  for (size_t i = 0; i < workload.calls.size(); ++i) {
    workload.calls[i].number = i;
  }
  std::ranges::sort(workload.calls, {}, [](const Call& call) {
    return std::pair(call.arrives, call.number);
  });
  return workload;
}

Cloud::Cloud(uint64_t seed, Scenario scenario) {
  Random random(seed * 7919 + 17);
  for (double& phase : phase_) phase = random.Between(0, 6.28);
  if (scenario == Scenario::kDay) {
    for (const double hour : {random.Between(8, 11), random.Between(16, 20)}) {
      waves_.push_back(
          {Time{} + std::chrono::duration_cast<Duration>(hour * Seconds(kHour)),
           random.Below(kDomains), false});
    }
  }
  if (scenario == Scenario::kDomainLoss) {
    waves_.push_back(
        {Time{} + std::chrono::seconds(120), random.Below(kDomains), true});
  }
}

// Reclaimable prices vary around 0.35 with a different phase in each domain.
// On-demand prices differ slightly by domain.
double Cloud::Price(Time now, const MarketKey& key) const {
  const int domain = key.domain.value().back() - '0';
  if (key.market == Market::kOnDemand) return 1 + 0.03 * domain;
  const double hours = Seconds(now.time_since_epoch()) / Seconds(kHour);
  return 0.35 + 0.12 * std::sin(hours * 6.28 / 24 + phase_[domain]);
}

std::vector<MarketPrice> Cloud::Prices(Time now) const {
  std::vector<MarketPrice> prices;
  for (int domain = 0; domain < kDomains; ++domain) {
    for (const Market market : {Market::kOnDemand, Market::kReclaimable}) {
      const MarketKey key = KeyFor(domain, market);
      prices.push_back({key, Price(now, key)});
    }
  }
  return prices;
}

// Returns true for a lost domain, and for a reclaimable market within an hour
// after its reclaim wave.
bool Cloud::Refuses(Time now, const MarketKey& key) const {
  return std::ranges::any_of(waves_, [&](const Wave& wave) {
    return KeyFor(wave.domain, key.market) == key && wave.at <= now &&
           (wave.whole_domain ||
            (key.market == Market::kReclaimable && now < wave.at + kHour));
  });
}

MarketKey KeyFor(int domain, Market market) {
  return {"standard", LocationOf(domain).domain, market};
}

}  // namespace oleander::bench
