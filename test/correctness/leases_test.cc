// Leases: one holder at a time, fencing numbers, lost replies and suspended
// holders.
#include "oleander/leases.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>

#include "oleander/result_code.h"
#include "support/fake_store.h"

namespace oleander::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A lease keeper connected to a store. Tests can take the store down, expire
// the lease and lose the reply to a transaction.
struct Holder {
  explicit Holder(const std::string& name, FakeStore& fake, Time now,
                  Duration cooldown = Duration::zero(), uint64_t seed = 7)
      : store(fake),
        keeper({.duty = "capacity/a",
                .self = InstanceId(name),
                .cooldown = cooldown},
               seed, now) {}

  void Execute(Time now) {
    for (bool more = true; more;) {
      more = false;
      for (LeaseAction& action : keeper.TakeActions()) {
        more = true;
        if (auto* request = std::get_if<StoreRequest>(&action)) {
          std::visit([&](auto& r) { Answer(r, now); }, *request);
        } else if (auto* taken = std::get_if<LeaseTaken>(&action)) {
          fences.push_back(taken->fence);
        } else if (std::holds_alternative<LeaseDropped>(action)) {
          ++drops;
        } else {
          ++deferrals;
        }
      }
    }
  }
  void Tick(Time now) {
    keeper.Tick(now);
    Execute(now);
  }
  void RunUntil(Time& now, Time end) {
    while (now < end) {
      now += milliseconds(100);
      Tick(now);
    }
  }

  void Answer(const StoreRange& request, Time now) {
    if (store_down) {
      keeper.OnRange(request.call,
                     MakeError(ResultCode::kStoreUnavailable, "Down."), now);
      return;
    }
    keeper.OnRange(request.call, store.Range(request), now);
  }
  void Answer(const StoreCas& request, Time now) {
    const StoreCasAnswer answer = store.Cas(request);
    if (lose_next_cas) {
      lose_next_cas = false;
      keeper.OnCas(request.call,
                   MakeError(ResultCode::kStoreAnswerLost, "Lost."), now);
      return;
    }
    keeper.OnCas(request.call, answer, now);
  }
  void Answer(const StoreLeaseGrant& request, Time now) {
    lease = store.Grant();
    keeper.OnLease(request.call,
                   StoreLeaseAnswer{.lease = lease, .ttl = request.ttl}, now);
  }
  void Answer(const StoreLeaseKeepAlive& request, Time now) {
    if (store_down) {
      keeper.OnLease(request.call,
                     MakeError(ResultCode::kStoreUnavailable, "Down."), now);
      return;
    }
    keeper.OnLease(
        request.call,
        StoreLeaseAnswer{.lease = request.lease,
                         .ttl = expired ? Duration::zero() : seconds(10)},
        now);
  }
  void Answer(const StoreLeaseRevoke& request, Time) {
    store.ExpireLease(request.lease);
  }
  void Answer(const StoreWatch&, Time) {}
  void Answer(const StoreCancelWatch&, Time) {}

  FakeStore& store;
  LeaseKeeper keeper;
  StoreLeaseId lease = 0;
  bool lose_next_cas = false;
  bool store_down = false;
  bool expired = false;
  std::vector<int64_t> fences;
  int drops = 0;
  int deferrals = 0;
};

struct Fixture {
  FakeStore store;
  Time now = Time(seconds(100));
};

BOOST_FIXTURE_TEST_SUITE(lease_keeper, Fixture)

BOOST_AUTO_TEST_CASE(one_of_two_holds_and_the_next_has_a_higher_fence) {
  Holder a("a", store, now);
  Holder b("b", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  b.keeper.Want(true, now);
  b.Tick(now);
  BOOST_TEST(a.keeper.FenceFor(now, seconds(1)).has_value());
  BOOST_TEST(!b.keeper.FenceFor(now, seconds(1)).has_value());
  BOOST_TEST(b.keeper.holder() == InstanceId("a"));
  a.keeper.Want(false, now);
  a.Execute(now);
  b.RunUntil(now, now + seconds(5));
  BOOST_REQUIRE(b.fences.size() == 1u);
  BOOST_TEST(b.fences.front() > a.fences.front());
}

BOOST_AUTO_TEST_CASE(a_lost_reply_is_resolved_by_reading) {
  Holder a("a", store, now);
  a.lose_next_cas = true;
  a.keeper.Want(true, now);
  a.Tick(now);
  BOOST_TEST(a.fences.size() == 1u);
  BOOST_TEST(a.keeper.FenceFor(now, seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(an_order_that_would_outlast_the_lease_is_not_given) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  // A lease of 10 s minus the safety margin of 2 s.
  BOOST_TEST(a.keeper.FenceFor(now, seconds(8)).has_value());
  BOOST_TEST(!a.keeper.FenceFor(now, milliseconds(8001)).has_value());
}

BOOST_AUTO_TEST_CASE(a_holder_that_was_suspended_finds_its_lease_expired) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  now += seconds(9);
  // FenceFor() is called right before the order, without a tick in between.
  BOOST_TEST(!a.keeper.FenceFor(now, milliseconds(1)).has_value());
  a.Tick(now);
  BOOST_TEST(a.drops == 1);
}

BOOST_AUTO_TEST_CASE(renewals_keep_it_and_an_outage_ends_it_early) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  a.RunUntil(now, now + seconds(60));
  BOOST_TEST(a.fences.size() == 1u);
  BOOST_TEST(a.keeper.FenceFor(now, seconds(1)).has_value());
  a.store_down = true;
  a.RunUntil(now, now + seconds(11));
  BOOST_TEST(a.drops == 1);
  BOOST_TEST(!a.keeper.FenceFor(now, Duration::zero()).has_value());
}

BOOST_AUTO_TEST_CASE(a_lease_that_expired_at_the_service_is_dropped) {
  Holder a("a", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  a.expired = true;
  a.RunUntil(now, now + seconds(4));
  BOOST_TEST(a.drops == 1);
}

BOOST_AUTO_TEST_CASE(each_check_of_a_waiting_instance_costs_one_read) {
  Holder a("a", store, now);
  Holder b("b", store, now);
  a.keeper.Want(true, now);
  a.Tick(now);
  b.keeper.Want(true, now);
  const int64_t before = store.revision();
  b.RunUntil(now, now + seconds(8));
  BOOST_TEST(store.revision() == before);
  BOOST_TEST(b.lease == 0);
}

// A new process of an instance doesn't know that its predecessor held the duty.
BOOST_AUTO_TEST_SUITE(a_restarted_instance)

constexpr Duration kCooldown = seconds(6);

// Takes the duty, and gives it up again.
void HoldBriefly(Holder& holder, Time& now) {
  holder.keeper.Want(true, now);
  holder.RunUntil(now, now + seconds(5));
  BOOST_REQUIRE(holder.fences.size() == 1U);
  holder.keeper.Want(false, now);
  holder.Execute(now);
}

BOOST_AUTO_TEST_CASE(does_not_take_the_duty_back_from_the_next_holder) {
  Holder a("a", store, now, kCooldown);
  HoldBriefly(a, now);
  Holder b("b", store, now, kCooldown);
  const Time started = now + seconds(4);
  HoldBriefly(b, now);
  Holder restarted("a", store, started, kCooldown);
  restarted.keeper.Want(true, now);
  restarted.RunUntil(now, started + kCooldown - milliseconds(100));
  BOOST_TEST(restarted.fences.empty());
  BOOST_TEST(restarted.deferrals == 1);
  restarted.RunUntil(now, started + kCooldown + seconds(3));
  BOOST_TEST(restarted.fences.size() == 1U);
}

BOOST_AUTO_TEST_CASE(does_not_take_it_back_after_two_other_holders) {
  Holder a("a", store, now, kCooldown);
  HoldBriefly(a, now);
  for (const char* name : {"b", "c"}) {
    Holder other(name, store, now, kCooldown);
    HoldBriefly(other, now);
  }
  Holder restarted("a", store, now, kCooldown);
  restarted.keeper.Want(true, now);
  restarted.RunUntil(now, now + seconds(4));
  BOOST_TEST(restarted.fences.empty());
}

BOOST_AUTO_TEST_CASE(takes_it_at_once_if_no_other_has_held_it_since) {
  Holder a("a", store, now, kCooldown);
  HoldBriefly(a, now);
  Holder restarted("a", store, now, kCooldown);
  restarted.keeper.Want(true, now);
  restarted.Tick(now);
  BOOST_TEST(restarted.fences.size() == 1U);
}

BOOST_AUTO_TEST_CASE(takes_it_at_once_if_it_has_not_held_it) {
  Holder a("a", store, now, kCooldown);
  HoldBriefly(a, now);
  Holder c("c", store, now, kCooldown);
  c.keeper.Want(true, now);
  c.Tick(now);
  BOOST_TEST(c.fences.size() == 1U);
}

// The restored copy lacks what the holder of the earlier era wrote.
BOOST_AUTO_TEST_CASE(does_not_take_it_back_after_the_store_was_restored) {
  FakeStore copy = store;
  Holder a("a", store, now, kCooldown);
  a.keeper.OnEra(1, std::chrono::hours(1), now);
  a.keeper.Want(true, now);
  a.Tick(now);
  BOOST_REQUIRE(a.fences.size() == 1U);
  store = copy;
  const Time restored = now;
  const Time restarted_at = restored + seconds(9);
  now = restored + seconds(10);
  Holder b("b", store, now - seconds(60), kCooldown);
  b.keeper.OnEra(2, now - restored, now);
  b.keeper.Want(true, now);
  b.RunUntil(now, now + milliseconds(200));
  BOOST_REQUIRE(b.fences.size() == 1U);
  b.keeper.Want(false, now);
  b.Execute(now);
  Holder restarted("a", store, restarted_at, kCooldown);
  restarted.keeper.OnEra(2, now - restored, now);
  restarted.keeper.Want(true, now);
  restarted.RunUntil(now, restarted_at + kCooldown - milliseconds(100));
  BOOST_TEST(restarted.fences.empty());
}

// Three instances that are stopped, killed and started again at random, with a
// store that is restored from older copies.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed) : gen_(seed) {
    for (const char* name : {"a", "b", "c"}) {
      machines_[name];
      Start(name, /*first=*/true);
    }
  }

  // Returns whether holders acted in the order A, B, A inside `kBound`.
  bool BreaksTheOrder() {
    constexpr int kSteps = 3000;
    for (int step = 0; step < kSteps && !broken_; ++step) {
      now_ += milliseconds(100);
      ExpireLeases();
      for (auto& [name, machine] : machines_) {
        Disrupt(name, machine);
        if (machine.process != nullptr) {
          machine.process->Tick(now_);
          Act(name, *machine.process);
        } else if (now_ >= machine.starts_at) {
          Start(name, /*first=*/false);
        }
      }
      if (Chance(400)) {
        copy_ = store_;
      }
      if (Chance(800)) {
        Restore();
      }
    }
    return broken_;
  }
  int turns() const { return turns_; }

 private:
  static constexpr Duration kBound = seconds(3);
  static constexpr Duration kTtl = seconds(10);

  struct Machine {
    std::unique_ptr<Holder> process;
    Time starts_at;
    Time ends_at = Time::max();
    Time last_act = Time::min();
    int64_t seen_era = 0;
    bool other_acted = false;  // Since `last_act`.
  };

  bool Chance(int one_in) {
    return std::uniform_int_distribution<int>(1, one_in)(gen_) == 1;
  }
  Duration Upto(Duration bound) {
    return Duration(
        std::uniform_int_distribution<int64_t>(0, bound.count())(gen_));
  }

  void Start(const std::string& name, bool first) {
    Machine& machine = machines_[name];
    machine.process =
        std::make_unique<Holder>(name, store_, now_, kCooldown, gen_());
    machine.ends_at = Time::max();
    const Duration known_age = Chance(2) ? now_ - era_began_ : Duration::zero();
    const Duration age = first ? Duration::max() : known_age;
    machine.process->keeper.OnEra(era_, age, now_);
    machine.seen_era = era_;
    machine.process->keeper.Want(true, now_);
  }

  void Disrupt(const std::string& name, Machine& machine) {
    if (machine.process == nullptr) {
      return;
    }
    // Each reply of the store names the era; only a holder acts without one.
    const bool acts =
        machine.process->keeper.FenceFor(now_, Duration(1)).has_value();
    if (machine.seen_era < era_ &&
        (!acts || now_ > era_began_ + milliseconds(300))) {
      machine.process->keeper.OnEra(era_, now_ - era_began_, now_);
      machine.seen_era = era_;
    }
    const bool holds = machine.process->keeper.holder() == InstanceId(name);
    if (machine.ends_at == Time::max() && Chance(holds ? 12 : 200)) {
      machine.process->keeper.Want(false, now_);
      machine.process->Execute(now_);
      machine.ends_at = now_ + Upto(seconds(2));
    }
    if (now_ >= machine.ends_at || Chance(300)) {
      if (const StoreLeaseId lease = machine.process->lease; lease != 0) {
        expiring_.emplace_back(now_ + Upto(kTtl), lease);
      }
      machine.process.reset();
      machine.starts_at = now_ + milliseconds(500);
    }
  }

  void Act(const std::string& name, const Holder& process) {
    if (!process.keeper.FenceFor(now_, milliseconds(100))) {
      return;
    }
    Machine& machine = machines_[name];
    if (machine.other_acted) {
      ++turns_;
      broken_ = broken_ || now_ - machine.last_act <= kBound;
    }
    machine.last_act = now_;
    machine.other_acted = false;
    for (auto& [other, record] : machines_) {
      if (other != name && record.last_act != Time::min()) {
        record.other_acted = true;
      }
    }
  }

  void ExpireLeases() {
    std::erase_if(expiring_, [this](const auto& item) {
      const bool due = item.first <= now_;
      if (due) {
        store_.ExpireLease(item.second);
      }
      return due;
    });
  }

  void Restore() {
    const StoreLeaseId last_lease = store_.Grant();
    store_ = copy_;
    while (store_.Grant() < last_lease) {
    }
    ++era_;
    era_began_ = now_;
    // The copy's leases aren't renewed.
    for (StoreLeaseId lease = 1; lease <= last_lease; ++lease) {
      expiring_.emplace_back(now_ + kTtl, lease);
    }
  }

  std::mt19937_64 gen_;
  FakeStore store_;
  FakeStore copy_;
  Time now_ = Time(seconds(1000));
  int64_t era_ = 1;
  Time era_began_ = Time(seconds(0));
  std::vector<std::pair<Time, StoreLeaseId>> expiring_;
  std::map<std::string, Machine> machines_;
  int turns_ = 0;
  bool broken_ = false;
};

BOOST_AUTO_TEST_CASE(never_acts_a_second_time_right_after_another) {
  int turns = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    RandomRun run(seed);
    BOOST_TEST(!run.BreaksTheOrder(), "seed " << seed);
    turns += run.turns();
  }
  BOOST_TEST(turns > 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::testing
