#include "load/entries.h"

#include <absl/random/random.h>

#include <utility>

namespace oleander::load {
namespace {

constexpr int kOk = 200;
constexpr auto kCheckPeriod = std::chrono::milliseconds(200);
constexpr auto kCheckTimeout = std::chrono::milliseconds(500);
constexpr auto kMaxIdleTime = std::chrono::seconds(2);

}  // namespace

Entries::Entries(io::EventLoop& loop, std::vector<EntryAddress> addresses,
                 uint64_t seed, bool check)
    : client_(loop, kMaxIdleTime),
      addresses_(std::move(addresses)),
      ready_(addresses_.size(), true),
      random_(seed) {
  if (check) {
    timer_ = loop.Every(kCheckPeriod, [this] { CheckAll(); });
  }
}

void Entries::CheckAll() {
  for (size_t index = 0; index < addresses_.size(); ++index) {
    io::HttpCallRequest request;
    request.address = addresses_[index].address;
    request.port = addresses_[index].port;
    request.target = "/readyz";
    request.options.connect_timeout = kCheckTimeout;
    request.options.head_timeout = kCheckTimeout;
    client_.Fetch(
        std::move(request), [this, index](const io::HttpAnswer& answer) {
          ready_[index] = answer.end.status.ok() && answer.status == kOk;
        });
  }
}

size_t Entries::Pick(int avoid) {
  std::vector<size_t> candidates;
  for (size_t index = 0; index < addresses_.size(); ++index) {
    if (ready_[index] && static_cast<int>(index) != avoid) {
      candidates.push_back(index);
    }
  }
  if (candidates.empty()) {
    return absl::Uniform<size_t>(random_, 0, addresses_.size());
  }
  return candidates[absl::Uniform<size_t>(random_, 0, candidates.size())];
}

}  // namespace oleander::load
