// Decides whether the target of a roll-out answers worse than the earlier
// versions at the same time.
//
// Answers are compared in blocks of about a second, by route. Given how many
// answers of a block are bad, and how many calls each version had, the number
// of bad ones at the target says how likely it is that the odds of a bad answer
// are several times higher there than at most `tolerated_odds` times. What hits
// both versions changes the number of bad answers, not this ratio. The ratios
// of successive blocks multiply to a sequential test (Shiryaev-Roberts: it may
// begin at each block, so that a version that turns bad late is seen as fast as
// another one). Bad answers are failures and, in tests of their own, answers
// that come several times later than those of the earlier versions.
//
// The target is convicted once the statistic reaches `blocks / false_alarm`:
// the probability to convict an equal version in that many blocks is at most
// `false_alarm`. A single server can't convict the version: without the worst
// servers, the rest must be bad as well.
//
//   RolloutJudge judge(options);
//   judge.Add(evidence, /*is_target=*/true);
//   judge.CloseBlock(now, /*moving=*/false);
//   if (judge.verdict().convicted) ...
//
// Designed for a few to some thousand answers a second of up to 16 routes.
#ifndef OLEANDER_ROLLOUT_JUDGE_H_
#define OLEANDER_ROLLOUT_JUDGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "oleander/rollouts.h"
#include "oleander/types.h"

namespace oleander {

struct RolloutJudgeOptions {
  // The probability to convict an equal version in `blocks` blocks.
  double false_alarm = 5e-3;
  double blocks = 60;
  // Within this of the threshold (as natural logarithm) the target isn't proved
  // good.
  double doubt = 3;
  // The odds of a bad answer may be this many times those of the earlier ones.
  double tolerated_odds = 1.5;
  // A block ends after min_block with enough answers, else after max_block.
  Duration min_block = std::chrono::milliseconds(400);
  Duration max_block = std::chrono::milliseconds(1500);
  int64_t block_answers = 10;
  // Shorter times aren't slow, whatever the earlier versions take.
  Duration never_slow = std::chrono::milliseconds(16);
  // Answers of the earlier versions that are kept for the time in which these
  // get no calls.
  double reference_answers = 300;
  size_t max_routes = 16;
  // Pairs of a server of the target and a route that are remembered.
  size_t max_servers = 96;
};

// What is known of one route.
struct RolloutFinding {
  std::string route;
  int64_t target_answers = 0;
  int64_t target_failed = 0;
  int64_t earlier_answers = 0;
  int64_t earlier_failed = 0;
  double failing = 0;  // Natural logarithm of the statistic.
  double slow = 0;     // The same, of slow answers.
};

struct RolloutVerdict {
  bool convicted = false;
  // The statistic alone would convict, but all bad answers came from too few
  // servers.
  bool suspected = false;
  // Near the threshold or over it, and not because of a single server.
  bool doubtful = false;
  ServerId worst;       // The server with the most bad answers, if suspected.
  std::string because;  // Which test, for people.
  // Natural logarithms.
  double statistic = 0;
  double threshold = 0;
};

class RolloutJudge {
 public:
  explicit RolloutJudge(RolloutJudgeOptions options = {});

  // Adds counts of a version and route.
  void Add(const RolloutEvidence& evidence, bool is_target);
  // Ends the block if it is due. `moving`: the earlier versions get no new
  // calls, so their last answers are the reference. `loaded`: the service has
  // clearly more calls than at the time of the reference, so that times can't
  // be compared.
  void CloseBlock(Time now, bool moving, bool loaded);
  // A server of the target has left: what it did in this block, and what is
  // remembered of it, doesn't count.
  void ForgetServer(const ServerId& server);
  // Begins the test anew, as if nothing was seen. What single servers did is
  // remembered, so that a second bad one counts as the second.
  void BeginAnew();

  RolloutVerdict verdict() const;
  std::vector<RolloutFinding> findings() const;
  // Returns how many answers the target needs so that a version of which
  // `bad_share` of the answers are bad is convicted with a probability of about
  // 0.95, while it gets `target_share` of the calls.
  int64_t EnoughAnswers(double bad_share, double target_share) const;
  size_t bytes() const;

 private:
  // Alternatives: how many times higher the odds are.
  static constexpr std::array<double, 3> kOdds = {5, 20, 80};
  // Failures, and three limits from which an answer is slow.
  static constexpr size_t kTests = 4;

  struct Counts {
    float answers = 0;
    float failed = 0;
    std::array<float, RolloutEvidence::kBuckets> times{};
  };
  // The logarithm of the statistic by test and alternative.
  using Statistics = std::array<std::array<double, kOdds.size()>, kTests>;
  struct Route {
    std::string name;
    Counts target;     // Of this block.
    Counts earlier;    // Of this block.
    Counts reference;  // Of the earlier versions, before this block.
    Statistics statistics{};
    RolloutFinding finding;
  };
  struct Server {
    ServerId id;
    size_t route = 0;
    Counts block{};  // Of this block.
    // Of the blocks before, by test.
    std::array<float, kTests> answers{};
    std::array<float, kTests> bad{};
  };
  struct Highest {
    double statistic = 0;  // Natural logarithm of the mean.
    size_t route = 0;      // routes_.size(): all of them.
    size_t test = 0;
  };

  static void AddTo(Counts& counts, const RolloutEvidence& evidence);
  static void AddTo(Counts& counts, const Counts& more, float factor);
  Route* RouteOf(const std::string& name);
  // Returns from which bucket on answers are slow, by test.
  std::array<size_t, kTests> SlowLimits(const Route& route) const;
  // Returns how many answers there are for a test, and how many are bad.
  static std::array<double, 2> AnswersAndBad(const Counts& counts, size_t test,
                                             size_t limit);
  Statistics GainOf(const Route& route, bool moving, bool loaded) const;
  static void Advance(Statistics& statistics, const Statistics& gain);
  void RememberServers();
  Highest HighestStatistic() const;
  RolloutVerdict ByServers(const Highest& highest) const;

  RolloutJudgeOptions options_;
  std::vector<Route> routes_;
  Statistics all_routes_{};
  std::vector<Server> servers_;
  Time block_began_;
  bool block_has_begun_ = false;
};

}  // namespace oleander

#endif  // OLEANDER_ROLLOUT_JUDGE_H_
