// Keeps a copy of all entries of the store under one prefix: lists them once
// and follows them with waiting calls. After a gap in the changes it lists them
// again.
//
//   PrefixFollower orders(loop, store, prefix, [this] { OnOrders(); });
//   orders.Follow(true);  // Reads from now on.
//
// Designed for a few entries that change some times a minute.
#ifndef OLEANDER_ENTRY_PREFIX_FOLLOWER_H_
#define OLEANDER_ENTRY_PREFIX_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "io/event_loop.h"
#include "oleander/store.h"
#include "ports/store_port.h"

namespace oleander::entry {

class PrefixFollower {
 public:
  using Entries = std::map<std::string, StoreEntry>;

  // `on_change` is called after each answer that may have changed the entries
  // or the revision; `on_call` with the kind and outcome of each store call.
  PrefixFollower(
      io::EventLoop& loop, ports::StorePort& store, std::string prefix,
      std::function<void()> on_change,
      std::function<void(std::string_view call, const absl::Status& status)>
          on_call)
      : loop_(loop),
        store_(store),
        prefix_(std::move(prefix)),
        on_change_(std::move(on_change)),
        on_call_(std::move(on_call)) {}

  // Reads as long as `follow` is true. Otherwise the calls in progress end, and
  // no others start.
  void Follow(bool follow);
  // Lists the entries now, besides a waiting call; used to learn that nothing
  // has changed. Without effect while a listing is in progress.
  void Confirm();
  // Forgets the entries and their revision, and lists them again: the store was
  // restored from an older copy.
  void OnNewEra();

  // The entries are complete up to this revision; 0: not known.
  int64_t revision() const { return revision_; }
  const Entries& entries() const { return entries_; }

 private:
  void List();
  void OnListed(const absl::StatusOr<StoreRangeAnswer>& answer);
  void Wait();
  void OnChanges(const absl::StatusOr<ports::StoreChanges>& answer);
  void Next(Duration delay);

  io::EventLoop& loop_;
  ports::StorePort& store_;
  std::string prefix_;
  std::function<void()> on_change_;
  std::function<void(std::string_view, const absl::Status&)> on_call_;
  Entries entries_;
  int64_t revision_ = 0;
  bool follows_ = false;
  bool listing_ = false;
  bool waiting_ = false;
  uint64_t round_ = 0;  // Answers to calls of earlier rounds are ignored.
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_PREFIX_FOLLOWER_H_
