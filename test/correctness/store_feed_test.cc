// How instances come to know the configuration and the servers: from the store,
// from a reader, and through the store's silence.
#include "entry/store_feed.h"

#include <boost/test/unit_test.hpp>

#include "oleander/result_code.h"
#include "platform/catalog_codec.h"
#include "support/entry_fixture.h"

namespace oleander::entry {
namespace {

using std::chrono::milliseconds;

// A store in memory that can stay silent.
class MemoryStore : public ports::StorePort {
 public:
  explicit MemoryStore(io::EventLoop& loop) : loop_(loop) {}

  void Write(const std::string& key, const std::string& value) {
    entries_[key] = {.key = key,
                     .value = value,
                     .create_revision = 1,
                     .mod_revision = ++revision_,
                     .version = 1,
                     .lease = 0};
  }
  void Remove(const std::string& key) {
    entries_.erase(key);
    ++revision_;
    removed_.push_back({key, revision_});
  }
  // Calls from now on fail, and those that wait stay without an answer.
  void SetDown(bool down) { down_ = down; }

  void Range(const StoreRange& request, Done<StoreRangeAnswer> done) override {
    ++reads;
    StoreRangeAnswer answer{.revision = revision_, .entries = {}};
    for (const auto& [key, entry] : entries_) {
      if (request.prefix ? key.starts_with(request.key) : key == request.key) {
        answer.entries.push_back(entry);
      }
    }
    Reply(std::move(done), std::move(answer));
  }
  void Wait(const ports::StoreWait& request,
            Done<ports::StoreChanges> done) override {
    ++waits;
    Poll(request, std::move(done), loop_.now() + request.longest);
  }
  void Cas(const StoreCas&, Done<StoreCasAnswer> done) override {
    Reply(std::move(done), StoreCasAnswer{});
  }
  void LeaseGrant(const StoreLeaseGrant&,
                  Done<StoreLeaseAnswer> done) override {
    Reply(std::move(done), StoreLeaseAnswer{});
  }
  void LeaseKeepAlive(const StoreLeaseKeepAlive&,
                      Done<StoreLeaseAnswer> done) override {
    Reply(std::move(done), StoreLeaseAnswer{});
  }
  void LeaseRevoke(const StoreLeaseRevoke&,
                   Done<StoreLeaseAnswer> done) override {
    Reply(std::move(done), StoreLeaseAnswer{});
  }

  int reads = 0;
  int waits = 0;

 private:
  template <typename Answer>
  void Reply(Done<Answer> done, Answer answer) {
    if (down_) {
      loop_.Post([done = std::move(done)] {
        done(MakeError(ResultCode::kStoreUnavailable, "The store is down."));
      });
      return;
    }
    loop_.Post(
        [done = std::move(done), answer = std::move(answer)] { done(answer); });
  }

  void Poll(const ports::StoreWait& request, Done<ports::StoreChanges> done,
            Time until) {
    ports::StoreChanges changes{.revision = revision_, .changes = {}};
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(request.prefix) &&
          entry.mod_revision > request.after_revision) {
        changes.changes.push_back({.entry = entry, .removed = false});
      }
    }
    for (const auto& [key, revision] : removed_) {
      if (key.starts_with(request.prefix) &&
          revision > request.after_revision) {
        StoreEntry entry;
        entry.key = key;
        entry.mod_revision = revision;
        changes.changes.push_back({.entry = entry, .removed = true});
      }
    }
    const bool answers =
        !down_ && (!changes.changes.empty() || loop_.now() >= until);
    if (answers) {
      done(changes);
      return;
    }
    timers_.push_back(
        loop_.After(milliseconds(10), [this, request, done = std::move(done),
                                       until] { Poll(request, done, until); }));
  }

  io::EventLoop& loop_;
  bool down_ = false;
  int64_t revision_ = 10;
  std::map<std::string, StoreEntry> entries_;
  std::vector<std::pair<std::string, int64_t>> removed_;
  std::vector<io::Timer> timers_;
};

std::string ServerIn(const char* state) {
  return std::string(R"({"service":"service","address":"127.0.0.1:9",)") +
         R"("zone":"d","state":")" + state + "\"}";
}

EntrySettings SettingsOf(const std::string& name) {
  EntrySettings settings;
  settings.instance = InstanceId(name);
  settings.place = {.region = RegionId("r"), .domain = DomainId("d")};
  settings.callers.address = io::kTestAddress;
  settings.bounds.usage_window = std::chrono::seconds(5);
  return settings;
}

// An instance's feed, on its own fixture's loop.
struct FeedFixture {
  explicit FeedFixture(const char* name)
      : store(entry.loop),
        settings(SettingsOf(name)),
        peers(entry.context, entry.context.quotas, settings, 1),
        feed(entry.context, store, catalog, peers, settings.instance,
             [this] { ++changes; }) {
    entry.context.config = nullptr;
    entry.context.proof = ConfigProof({.bound = std::chrono::seconds(5)});
    store.Write("op/config", R"({"version":1,"routes":[]})");
    store.Write("servers/one", ServerIn("ready"));
  }

  bool Until(const std::function<bool()>& holds) {
    return io::RunUntil(entry.loop, holds);
  }
  size_t ready() { return entry.context.listed.ready().size(); }
  int64_t version() {
    return entry.context.config == nullptr ? 0
                                           : entry.context.config->version();
  }

  EntryFixture entry;
  MemoryStore store;
  platform::CatalogCodec catalog;
  EntrySettings settings;
  PeerNews peers;
  StoreFeed feed;
  int changes = 0;
};

BOOST_AUTO_TEST_SUITE(store_feed)

BOOST_AUTO_TEST_CASE(learns_configuration_and_servers_and_follows_both) {
  FeedFixture instance("one");
  instance.feed.Start();
  BOOST_TEST(instance.Until(
      [&] { return instance.version() == 1 && instance.ready() == 1; }));
  BOOST_TEST(instance.changes >= 2);

  instance.store.Write("op/config", R"({"version":2,"routes":[]})");
  instance.store.Write("servers/two", ServerIn("ready"));
  BOOST_TEST(instance.Until(
      [&] { return instance.version() == 2 && instance.ready() == 2; }));

  instance.store.Write("servers/two", ServerIn("draining"));
  BOOST_TEST(instance.Until([&] { return instance.ready() == 1; }));
  instance.store.Remove("servers/one");
  BOOST_TEST(instance.Until([&] { return instance.ready() == 0; }));
}

BOOST_AUTO_TEST_CASE(keeps_the_configuration_that_it_can_read) {
  FeedFixture instance("one");
  instance.feed.Start();
  BOOST_TEST(instance.Until([&] { return instance.version() == 1; }));
  instance.store.Write("op/config", "{");
  const int reads = instance.store.reads;
  BOOST_TEST(instance.Until([&] { return instance.store.reads > reads + 2; }));
  BOOST_TEST(instance.version() == 1);
  // An unreadable newer version proves nothing about the one in force.
  const Time now = instance.entry.loop.now();
  BOOST_TEST((instance.entry.context.proof.age(now) > milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(passes_over_an_entry_that_cannot_be_read) {
  FeedFixture instance("one");
  instance.store.Write("servers/bad", "\xff");
  instance.feed.Start();
  BOOST_TEST(instance.Until([&] { return instance.ready() == 1; }));
  instance.store.Write("servers/one", "no JSON");
  BOOST_TEST(instance.Until([&] { return instance.ready() == 0; }));
}

BOOST_AUTO_TEST_CASE(keeps_the_servers_while_the_store_is_silent) {
  FeedFixture instance("one");
  instance.feed.Start();
  BOOST_TEST(instance.Until(
      [&] { return instance.version() == 1 && instance.ready() == 1; }));
  instance.store.SetDown(true);
  const int reads = instance.store.reads;
  BOOST_TEST(instance.Until([&] { return instance.store.reads > reads + 2; }));
  BOOST_TEST(instance.ready() == 1U);
  // The entry lapses in the outage and is back a moment later.
  instance.store.Remove("servers/one");
  instance.store.SetDown(false);
  io::RunFor(instance.entry.loop, milliseconds(600));
  BOOST_TEST(instance.ready() == 1U);
  instance.store.Write("servers/one", ServerIn("ready"));
  io::RunFor(instance.entry.loop, milliseconds(2500));
  BOOST_TEST(instance.ready() == 1U);
}

BOOST_AUTO_TEST_SUITE(a_readers_word)

mesh::Envelope Ask(uint64_t round, int64_t revision) {
  mesh::Envelope envelope;
  envelope.mutable_store_ask()->set_round(round);
  envelope.mutable_store_ask()->set_servers_revision(revision);
  return envelope;
}

BOOST_AUTO_TEST_CASE(without_a_question_changes_nothing) {
  FeedFixture instance("one");
  instance.feed.Start();
  BOOST_TEST(instance.Until(
      [&] { return instance.version() == 1 && instance.ready() == 1; }));
  instance.store.SetDown(true);
  io::RunFor(instance.entry.loop, milliseconds(300));
  const Time now = instance.entry.loop.now();
  const Duration age = instance.entry.context.proof.age(now);
  mesh::Envelope tell;
  tell.mutable_store_tell()->set_round(77);
  tell.mutable_store_tell()->set_config_revision(1);
  tell.mutable_store_tell()->set_proof_age_us(0);
  entrywire::ServerChange& change = *tell.mutable_store_tell()->add_changes();
  change.set_key("servers/forged");
  change.set_value(ServerIn("ready"));
  change.set_revision(1'000'000);
  tell.mutable_store_tell()->set_servers_revision(1'000'000);
  instance.feed.OnMessage(InstanceId("two"), tell);
  BOOST_TEST((instance.entry.context.proof.age(now) == age));
  BOOST_TEST(instance.ready() == 1U);
  instance.feed.OnMessage(InstanceId("two"), Ask(1, 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander::entry
