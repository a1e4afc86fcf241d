// Evidence of crashed servers, and what it says about the parts of prompts.
#include "oleander/poison_parts.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PartHash kPoison = 7;
constexpr PartHash kFirst = 1;  // Shared with sound requests.
constexpr PartHash kOther = 2;

struct Instance {
  explicit Instance(const char* name = "one") {
    poison.SetInstances({InstanceId("one"), InstanceId("two")},
                        InstanceId(name));
  }
  bool Crash(uint64_t run, const std::vector<PartHash>& parts,
             bool begun = true) {
    return poison.OnCrash(now, {.run = run, .begun = begun, .parts = parts});
  }
  // Three servers crash under the part.
  void Suspect(PartHash part) {
    for (uint64_t run = 1; run <= 3; ++run) {
      Crash(run, {part});
    }
  }
  bool Refuses(const std::vector<PartHash>& parts) const {
    return poison.Find(now, parts).has_value();
  }

  Time now = Time(seconds(1000));
  PoisonParts poison;
};

BOOST_AUTO_TEST_SUITE(poison_parts)

BOOST_AUTO_TEST_SUITE(a_part)

BOOST_AUTO_TEST_CASE(is_suspected_once_three_servers_crashed_under_it) {
  Instance instance;
  BOOST_TEST(instance.Crash(1, {kPoison}));
  BOOST_TEST(!instance.Crash(1, {kPoison}));  // Another call on that server.
  instance.Crash(2, {kPoison});
  BOOST_TEST(!instance.Refuses({kPoison}));
  instance.Crash(3, {kPoison});
  instance.now += seconds(1);
  const auto suspicion = instance.poison.Find(instance.now, {kOther, kPoison});
  BOOST_TEST_REQUIRE(suspicion.has_value());
  BOOST_TEST(suspicion->part == kPoison);
  BOOST_TEST(suspicion->crashes == 3);
  BOOST_TEST((suspicion->last_crash_age == seconds(1)));
  BOOST_TEST((suspicion->retry_after > seconds(1)));
  BOOST_TEST(!instance.Refuses({kOther}));
}

BOOST_AUTO_TEST_CASE(that_was_just_answered_on_is_not_blamed) {
  Instance instance;
  instance.poison.OnAnswer(instance.now, {kFirst});
  instance.now += seconds(1);
  for (uint64_t run = 1; run <= 5; ++run) {
    instance.Crash(run, {kFirst, kPoison});
  }
  BOOST_TEST(instance.Refuses({kPoison}));
  BOOST_TEST(!instance.Refuses({kFirst}));
  // Nor is one that is answered on afterwards.
  for (uint64_t run = 11; run <= 15; ++run) {
    instance.Crash(run, {kOther});
  }
  BOOST_TEST(instance.Refuses({kOther}));
  instance.poison.OnAnswer(instance.now, {kOther});
  BOOST_TEST(!instance.Refuses({kOther}));
}

BOOST_AUTO_TEST_CASE(is_not_suspected_of_what_another_explains) {
  Instance instance;
  for (uint64_t run = 1; run <= 4; ++run) {
    instance.Crash(run, {kPoison, kFirst});
  }
  instance.Crash(5, {kPoison, kOther});
  BOOST_TEST(instance.poison.IsSuspected(kPoison));
  BOOST_TEST(!instance.poison.IsSuspected(kFirst));
  BOOST_TEST(!instance.Refuses({kFirst, kOther}));
}

BOOST_AUTO_TEST_CASE(of_a_call_that_waited_is_not_blamed_if_an_answer_began) {
  Instance instance;
  for (uint64_t run = 1; run <= 4; ++run) {
    instance.Crash(run, {kFirst}, /*begun=*/false);
    instance.Crash(run, {kPoison}, /*begun=*/true);
    instance.Crash(run, {kOther}, /*begun=*/false);
  }
  BOOST_TEST(instance.Refuses({kPoison}));
  BOOST_TEST(!instance.Refuses({kFirst}));
  BOOST_TEST(!instance.Refuses({kOther}));
}

BOOST_AUTO_TEST_CASE(is_forgotten_if_crashes_are_far_apart) {
  Instance instance;
  for (uint64_t run = 1; run <= 5; ++run) {
    instance.Crash(run, {kPoison});
    instance.now += seconds(61);
  }
  BOOST_TEST(!instance.Refuses({kPoison}));
}

BOOST_AUTO_TEST_CASE(that_is_not_told_from_another_is_tried_without_it_soon) {
  Instance instance;
  instance.poison.SetInstances({InstanceId("one")}, InstanceId("one"));
  for (uint64_t run = 1; run <= 3; ++run) {
    instance.Crash(run, {kPoison, kFirst});
  }
  const bool first = instance.poison.IsSuspected(kFirst);
  BOOST_TEST(first != instance.poison.IsSuspected(kPoison));
  const PartHash suspect = first ? kFirst : kPoison;
  BOOST_TEST(instance.Refuses({suspect}));
  instance.now += seconds(2);
  BOOST_TEST(!instance.Refuses({suspect}));
  BOOST_TEST(instance.Refuses({kPoison, kFirst}));
  instance.poison.OnAnswer(instance.now, {kFirst});
  BOOST_TEST(instance.Refuses({kPoison}));
  BOOST_TEST(!instance.Refuses({kFirst}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_suspicion)

BOOST_AUTO_TEST_CASE(stops_retries_before_it_stops_calls) {
  Instance instance;
  instance.Crash(1, {kPoison});
  BOOST_TEST(instance.poison.MayRetry(instance.now, {kPoison}));
  instance.Crash(2, {kPoison});
  BOOST_TEST(!instance.poison.MayRetry(instance.now, {kPoison}));
  BOOST_TEST(instance.poison.MayRetry(instance.now, {kFirst}));
  BOOST_TEST(!instance.Refuses({kPoison}));
}

BOOST_AUTO_TEST_CASE(admits_one_call_after_its_hold_at_one_of_the_instances) {
  Instance one("one");
  Instance two("two");
  one.Suspect(kPoison);
  two.Suspect(kPoison);
  one.now += seconds(16);
  two.now += seconds(16);
  BOOST_TEST(one.Refuses({kPoison}) != two.Refuses({kPoison}));
  Instance& tries = one.Refuses({kPoison}) ? two : one;
  tries.poison.OnSent(tries.now, {kPoison});
  BOOST_TEST(tries.Refuses({kPoison}));
}

BOOST_AUTO_TEST_CASE(admits_calls_elsewhere_while_the_first_gets_none) {
  Instance one("one");
  Instance two("two");
  one.Suspect(kPoison);
  two.Suspect(kPoison);
  one.now += seconds(16);
  two.now += seconds(16);
  Instance& waits = one.Refuses({kPoison}) ? one : two;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(waits.Refuses({kPoison}));
    waits.poison.OnRefused(waits.now, {kPoison});
    waits.now += milliseconds(700);
  }
  BOOST_TEST(!waits.Refuses({kPoison}));
}

BOOST_AUTO_TEST_CASE(lasts_longer_after_each_further_round) {
  Instance instance;
  instance.poison.SetInstances({InstanceId("one")}, InstanceId("one"));
  instance.Suspect(kPoison);
  instance.now += seconds(16);
  BOOST_TEST(!instance.Refuses({kPoison}));
  instance.Crash(4, {kPoison});
  instance.now += seconds(59);
  BOOST_TEST(instance.Refuses({kPoison}));
  instance.now += seconds(2);
  BOOST_TEST(!instance.Refuses({kPoison}));
}

BOOST_AUTO_TEST_CASE(is_reported_once_and_when_it_ends) {
  Instance instance;
  instance.Suspect(kPoison);
  auto changes = instance.poison.TakeChanges();
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].suspected);
  BOOST_TEST(changes[0].part == kPoison);
  BOOST_TEST(instance.poison.TakeChanges().empty());
  instance.poison.OnAnswer(instance.now, {kPoison});
  changes = instance.poison.TakeChanges();
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(!changes[0].suspected);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(news)

BOOST_AUTO_TEST_CASE(adds_up_the_crashes_that_instances_saw) {
  Instance one("one");
  Instance two("two");
  one.Crash(1, {kPoison});
  one.Crash(2, {kPoison});
  two.Crash(2, {kPoison});
  two.poison.OnPeerNews(two.now, one.poison.News(one.now));
  BOOST_TEST(!two.Refuses({kPoison}));
  two.Crash(3, {kPoison});
  BOOST_TEST(two.Refuses({kPoison}));
  // An instance that learns of it late learns it from either.
  Instance late("two");
  late.now += seconds(14);
  two.now += seconds(14);
  late.poison.OnPeerNews(late.now, two.poison.News(two.now));
  BOOST_TEST(late.Refuses({kPoison}));
}

BOOST_AUTO_TEST_CASE(ends_a_wrong_suspicion_elsewhere) {
  Instance one("one");
  Instance two("two");
  one.Suspect(kFirst);
  two.poison.OnAnswer(two.now, {kFirst});
  two.poison.OnPeerNews(two.now, one.poison.News(one.now));
  BOOST_TEST(!two.Refuses({kFirst}));
  one.poison.OnPeerNews(one.now, two.poison.News(two.now));
  BOOST_TEST(!one.Refuses({kFirst}));
}

BOOST_AUTO_TEST_CASE(is_empty_without_crashes) {
  Instance instance;
  instance.poison.OnAnswer(instance.now, {kFirst, kOther});
  BOOST_TEST(instance.poison.News(instance.now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_whole_request)

const PartHash kRequest = HashOfRequest({"bakery", "POST", "/deposit"});
const PartHash kOtherRequest = HashOfRequest({"bakery", "POST", "/read"});

BOOST_AUTO_TEST_CASE(is_told_from_one_that_differs_in_any_field) {
  BOOST_TEST(IsRequest(kRequest));
  BOOST_TEST(!IsRequest(HashOfPart("POST")));
  BOOST_TEST(HashOfRequest({"a", "b"}) != HashOfRequest({"b", "a"}));
  BOOST_TEST(HashOfRequest({"ab", ""}) != HashOfRequest({"a", "b"}));
  BOOST_TEST(HashOfRequest({"a", "b"}) == HashOfRequest({"a", "b"}));
}

BOOST_AUTO_TEST_CASE(comes_before_the_parts_of_its_prompt) {
  Instance instance;
  for (uint64_t run = 1; run <= 3; ++run) {
    instance.Crash(run, {kRequest, kFirst, kOther});
  }
  BOOST_TEST(instance.Refuses({kRequest, kFirst, kOther}));
  BOOST_TEST(!instance.Refuses({kOtherRequest, kFirst, kOther}));
  BOOST_TEST(instance.poison.suspected_requests() == 1U);
  BOOST_TEST(instance.poison.suspected_parts() == 0U);
}

BOOST_AUTO_TEST_CASE(is_blamed_though_the_answer_to_another_had_begun) {
  Instance instance;
  for (uint64_t run = 1; run <= 3; ++run) {
    const std::string sound = std::to_string(run);
    instance.Crash(run, {kRequest}, /*begun=*/false);
    instance.Crash(run, {HashOfRequest({sound}), kFirst}, /*begun=*/true);
    instance.Crash(run, {kRequest, kOther}, /*begun=*/false);
    instance.poison.OnAnswer(instance.now, {HashOfRequest({sound}), kFirst});
  }
  BOOST_TEST(instance.Refuses({kRequest}));
  BOOST_TEST(!instance.Refuses({kFirst}));
  BOOST_TEST(!instance.Refuses({kOther}));
}

BOOST_AUTO_TEST_CASE(leaves_its_part_suspected_if_different_ones_crash) {
  Instance instance;
  for (uint64_t run = 1; run <= 3; ++run) {
    instance.Crash(run, {kRequest, kPoison});
  }
  instance.Crash(4, {kOtherRequest, kPoison});
  BOOST_TEST(!instance.poison.IsSuspected(kPoison));
  instance.Crash(5, {HashOfRequest({"third"}), kPoison});
  BOOST_TEST(instance.poison.IsSuspected(kPoison));
}

BOOST_AUTO_TEST_CASE(is_not_sent_on_after_it_ended_a_second_server) {
  Instance instance;
  instance.Crash(1, {kRequest}, /*begun=*/false);
  BOOST_TEST(instance.poison.MayRetry(instance.now, {kRequest}));
  instance.Crash(2, {kRequest}, /*begun=*/false);
  BOOST_TEST(!instance.poison.MayRetry(instance.now, {kRequest}));
  BOOST_TEST(instance.poison.MayRetry(instance.now, {kOtherRequest}));
}

BOOST_AUTO_TEST_CASE(that_was_answered_elsewhere_is_cleared_by_that_instance) {
  Instance one;
  Instance two("two");
  two.poison.OnAnswer(two.now, {kRequest});
  one.now = two.now += seconds(1);
  for (uint64_t run = 1; run <= 3; ++run) {
    one.Crash(run, {kRequest}, /*begun=*/false);
  }
  BOOST_TEST(one.Refuses({kRequest}));
  two.poison.OnPeerNews(two.now, one.poison.News(one.now));
  BOOST_TEST(!two.Refuses({kRequest}));
  one.poison.OnPeerNews(one.now, two.poison.News(two.now));
  BOOST_TEST(!one.Refuses({kRequest}));
}

BOOST_AUTO_TEST_CASE(is_known_to_a_peer_that_hears_of_the_suspicion_only) {
  Instance one;
  Instance two("two");
  for (uint64_t run = 1; run <= 9; ++run) {
    one.Crash(run, {kRequest}, /*begun=*/false);
  }
  one.now += seconds(11);  // The crashes themselves are told no longer.
  two.now = one.now;
  two.poison.OnPeerNews(two.now, one.poison.News(one.now));
  BOOST_TEST(two.Refuses({kRequest}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(answered_requests_are_remembered_in_bounded_memory) {
  Instance instance;
  for (int call = 0; call < 100'000; ++call) {
    instance.poison.OnAnswer(instance.now,
                             {HashOfRequest({std::to_string(call)})});
  }
  BOOST_TEST(instance.poison.News(instance.now).empty());
  BOOST_TEST(sizeof(PoisonParts) < 32U << 10);
}

BOOST_AUTO_TEST_CASE(the_evidence_is_bounded) {
  Instance instance;
  for (uint64_t run = 1; run <= 5000; ++run) {
    instance.Crash(run, {run * 10, run * 10 + 1});
  }
  const CrashNews news = instance.poison.News(instance.now);
  BOOST_TEST(news.crashes.size() <= 64U);
  BOOST_TEST(instance.poison.suspected_parts() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
