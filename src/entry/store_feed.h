// Follows what operators and backend servers write into the store.
//
// The configuration is read whole about once a second: each read is a proof of
// which version is the newest, which a waiting call is not. The servers' list
// is read once and followed by waiting calls; it is read again after a gap.
#ifndef OLEANDER_ENTRY_STORE_FEED_H_
#define OLEANDER_ENTRY_STORE_FEED_H_

#include <cstdint>
#include <functional>

#include "entry/call_context.h"
#include "ports/catalog_port.h"
#include "ports/store_port.h"

namespace oleander::entry {

class StoreFeed {
 public:
  // `on_change` is called after each change of the configuration or of the
  // servers that may get work.
  StoreFeed(CallContext& context, ports::StorePort& store,
            const ports::CatalogPort& catalog,
            std::function<void()> on_change)
      : context_(context),
        store_(store),
        catalog_(catalog),
        on_change_(std::move(on_change)) {}

  void Start();

 private:
  void ReadConfig();
  void OnConfig(Time asked_at, const absl::StatusOr<StoreRangeAnswer>& answer);
  void ApplyConfig(const StoreEntry& entry);

  void ListServers();
  void OnListed(const absl::StatusOr<StoreRangeAnswer>& answer);
  void WaitForServers();
  void OnChanges(const absl::StatusOr<ports::StoreChanges>& answer);
  void ApplyChange(const ports::StoreChange& change);
  void ListAgain(Duration pause);
  void Publish();
  void NoteAnswer(std::string_view call, const absl::Status& status);

  CallContext& context_;
  ports::StorePort& store_;
  const ports::CatalogPort& catalog_;
  std::function<void()> on_change_;
  int64_t watched_to_ = 0;  // The revision up to which servers are known.
  uint64_t published_ = 0;
  bool away_ = false;
  bool waiting_ = false;     // A call waits for changes of the servers.
  uint64_t wait_round_ = 0;  // Answers of earlier rounds are ignored.
  io::Timer config_timer_;
  io::Timer servers_timer_;
  io::Timer return_timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_STORE_FEED_H_
