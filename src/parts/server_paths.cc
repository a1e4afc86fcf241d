#include "oleander/server_paths.h"

#include <algorithm>

namespace oleander {

void ServerPaths::OnSent(Time now) {
  if (!waiting_since_) {
    waiting_since_ = now;
  }
}

void ServerPaths::OnReached() {
  unreached_.clear();
  waiting_since_.reset();
}

void ServerPaths::OnUnreached(Time now, const ServerId& server) {
  unreached_[server] = now;
}

bool ServerPaths::cut_off(Time now) const {
  const auto recent =
      std::ranges::count_if(unreached_, [this, now](const auto& item) {
        return now - item.second < options_.failure_lifetime;
      });
  const size_t enough = std::min(options_.min_unreached, listed_);
  return listed_ > 0 && static_cast<size_t>(recent) >= enough;
}

bool ServerPaths::silent(Time now) const {
  return waiting_since_ && now - *waiting_since_ >= options_.silence_bound;
}

}  // namespace oleander
