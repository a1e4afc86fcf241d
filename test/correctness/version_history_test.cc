#include "oleander/version_history.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "oleander/result_code.h"
#include "support/fake_store.h"

namespace oleander {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kPool("pool");

// An instance whose list is set by the test, before a store that answers at
// once.
class Instance {
 public:
  explicit Instance(testing::FakeStore& store) : store_(store) {}

  void List(const std::vector<std::string>& versions) {
    std::vector<ListedServer> servers(versions.size());
    std::vector<const ListedServer*> list;
    for (size_t i = 0; i < versions.size(); ++i) {
      servers[i].service = kPool;
      servers[i].version = versions[i];
      list.push_back(&servers[i]);
    }
    history.OnServers(now, list);
  }
  // Lets time pass; requests that become due are answered.
  void Pass(Duration time) {
    for (const Time end = now + time; now < end; now += milliseconds(100)) {
      history.Tick(now);
      for (const StoreRequest& request : history.TakeActions()) {
        Answer(request);
      }
    }
  }
  std::optional<std::string> Only() const {
    return history.OnlyVersion(now, kPool);
  }

  VersionHistory history{{}, 1};
  Time now{seconds(100)};
  bool store_down = false;
  int requests = 0;

 private:
  void Answer(const StoreRequest& request) {
    ++requests;
    const absl::Status down =
        MakeError(ResultCode::kStoreUnavailable, "The store is down.");
    if (const auto* read = std::get_if<StoreRange>(&request)) {
      history.OnRange(now, WallNow(),
                      store_down ? absl::StatusOr<StoreRangeAnswer>(down)
                                 : store_.Range(*read));
    } else if (const auto* write = std::get_if<StoreCas>(&request)) {
      history.OnCas(now, store_down ? absl::StatusOr<StoreCasAnswer>(down)
                                    : store_.Cas(*write));
    }
    for (const StoreRequest& next : history.TakeActions()) {
      Answer(next);
    }
  }
  WallTime WallNow() const {
    return WallTime(seconds(1'790'000'000)) + now.time_since_epoch();
  }

  testing::FakeStore& store_;
};

BOOST_AUTO_TEST_SUITE(version_history)

BOOST_AUTO_TEST_CASE(one_version_is_the_only_one) {
  testing::FakeStore store;
  Instance instance(store);
  instance.List({"v1", "v1"});
  BOOST_TEST(!instance.Only().has_value());  // The store wasn't read yet.
  instance.Pass(seconds(2));
  BOOST_TEST(*instance.Only() == "v1");
  BOOST_TEST(instance.history.IsListed(kPool, "v1"));
  BOOST_TEST(!instance.history.IsListed(kPool, "v2"));
  BOOST_TEST(!instance.history.OnlyVersion(instance.now, ServiceId("other"))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(
    a_version_that_left_counts_as_long_as_its_streams_may_last) {
  testing::FakeStore store;
  Instance instance(store);
  instance.List({"v1"});
  instance.Pass(seconds(2));
  instance.List({"v1", "v2"});
  BOOST_TEST(!instance.Only().has_value());
  instance.List({"v2"});
  instance.Pass(seconds(29));
  BOOST_TEST(!instance.Only().has_value());
  instance.Pass(seconds(2));
  BOOST_TEST(*instance.Only() == "v2");
}

BOOST_AUTO_TEST_SUITE(an_instance_that_has_just_started)

BOOST_AUTO_TEST_CASE(knows_of_a_version_that_left_before) {
  testing::FakeStore store;
  Instance before(store);
  before.List({"v1"});
  before.Pass(seconds(2));
  Instance after(store);
  after.now = before.now;
  after.List({"v2"});
  after.Pass(seconds(10));
  BOOST_TEST(!after.Only().has_value());
  // A third one learns when the version left.
  Instance third(store);
  third.now = after.now;
  third.List({"v2"});
  third.Pass(seconds(15));
  BOOST_TEST(!third.Only().has_value());
  third.Pass(seconds(6));
  BOOST_TEST(*third.Only() == "v2");
}

BOOST_AUTO_TEST_CASE(knows_no_only_version_until_it_has_read_the_store) {
  testing::FakeStore store;
  Instance instance(store);
  instance.store_down = true;
  instance.List({"v1"});
  instance.Pass(seconds(40));
  BOOST_TEST(!instance.Only().has_value());
  instance.store_down = false;
  instance.Pass(seconds(3));
  BOOST_TEST(*instance.Only() == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_stored_text_that_is_no_history_is_replaced) {
  for (const char* text :
       {"", "[", "[1]", R"({"pool":7})", R"({"pool":{"v1":"x"}})",
        R"({"pool":{"v1":99999999999999999999}})"}) {
    testing::FakeStore store;
    StoreCas write;
    write.puts = {{.key = VersionHistoryOptions().key, .value = text}};
    store.Cas(write);
    Instance instance(store);
    instance.List({"v1"});
    instance.Pass(seconds(3));
    BOOST_TEST_CONTEXT(text) { BOOST_TEST((instance.Only() == "v1")); }
  }
}

BOOST_AUTO_TEST_CASE(a_list_that_stays_the_same_costs_no_calls) {
  testing::FakeStore store;
  Instance instance(store);
  instance.List({"v1", "v2"});
  instance.Pass(seconds(3));
  const int requests = instance.requests;
  for (int round = 0; round < 50; ++round) {
    instance.List({"v2", "v1"});
    instance.Pass(seconds(1));
  }
  BOOST_TEST(instance.requests == requests);
}

BOOST_AUTO_TEST_CASE(the_store_learns_again_what_an_older_copy_lacks) {
  testing::FakeStore store;
  Instance instance(store);
  instance.List({"v1"});
  instance.Pass(seconds(2));
  instance.List({"v1", "v2"});
  instance.Pass(seconds(2));
  StoreCas older;
  older.puts = {
      {.key = VersionHistoryOptions().key, .value = R"({"pool":{"v1":0}})"}};
  store.Cas(older);
  instance.history.OnNewEra(instance.now);
  instance.Pass(seconds(2));
  StoreRange read;
  read.key = VersionHistoryOptions().key;
  BOOST_TEST(store.Range(read).entries.front().value.find("v2") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
