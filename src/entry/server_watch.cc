#include "entry/server_watch.h"

#include <algorithm>
#include <iterator>

#include "io/log.h"
#include "io/socket_address.h"

namespace oleander::entry {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
// As for calls: see forwarded_call.cc.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Checked at once when a connection has failed: one more than make an instance
// cut off, since one may have crashed. Before that, one server is enough.
constexpr size_t kServersPerCheck = 4;

}  // namespace

void ServerWatch::Start() {
  timer_ = context_.loop.Every(kTickInterval, [this] { Tick(); });
}

void ServerWatch::Tick() {
  const Time now = context_.loop.now();
  const bool cut_off = context_.paths.cut_off(now);
  if (cut_off != was_cut_off_) {
    was_cut_off_ = cut_off;
    io::Log(cut_off ? io::LogLevel::kWarning : io::LogLevel::kInfo,
            cut_off ? "servers.cut_off" : "servers.reached",
            {{"relayed_calls", context_.relayed_calls.size()}});
    context_.metrics.SetCutOff(cut_off);
    if (cut_off) {
      on_cut_off_();
    }
  }
  if ((cut_off || context_.paths.silent(now)) && now >= next_check_) {
    CheckServers();
  }
}

void ServerWatch::CheckServers() {
  next_check_ = context_.loop.now() + kCheckInterval;
  checks_.clear();
  std::vector<const ListedServer*> servers;
  std::ranges::sample(context_.listed.ready(), std::back_inserter(servers),
                      context_.paths.suspect() ? kServersPerCheck : 1, gen_);
  for (const ListedServer* server : servers) {
    const auto address = io::ParseAddress(server->address, server->port);
    if (!address) {
      continue;
    }
    checks_.push_back(std::make_unique<io::ReachabilityCheck>(
        context_.loop, *address, kConnectTimeout,
        [this, id = server->id](bool reachable) {
          if (reachable) {
            context_.paths.OnReached();
          } else {
            context_.paths.OnUnreached(context_.loop.now(), id);
          }
        }));
  }
}

}  // namespace oleander::entry
