// Implementation of LoadSpread.
#ifndef OLEANDER_PARTS_LOAD_SPREAD_IMPL_H_
#define OLEANDER_PARTS_LOAD_SPREAD_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "absl/random/distributions.h"
#include "oleander/load_spread.h"
#include "oleander/types.h"
#include "parts/server_roster.h"

namespace oleander {

class LoadSpread::Impl {
 public:
  Impl(InstanceInfo self, const LoadSpreadOptions& options, uint64_t seed,
       Time now);

  void SetServers(const std::vector<ServerInfo>& servers, Time now);
  void SetLiveInstances(const std::vector<InstanceInfo>& live, Time now);
  void OnLoadReport(const ServerId& server, const LoadReport& report, Time now);
  void OnPollFailed(const ServerId& server, Time now);
  void OnLeaving(const ServerId& server, Time now);
  void OnUpdate(const InstanceId& from, const LoadUpdate& update, Time now);
  LoadUpdate UpdateFor(const InstanceId& neighbour, bool same_domain, Time now);
  void Tick(Time now);
  Time next_due() const;
  std::vector<LoadAction> TakeActions();

  bool usable(const ServerId& server, Time now) const;
  bool leaving(const ServerId& server) const;
  std::optional<KnownLoad> Find(const ServerId& server, Time now) const;
  std::vector<LoadSummary> summaries(Time now) const;
  std::vector<ServerId> polled_here() const;

 private:
  // Figures as sent to neighbours, with the time of sampling.
  struct Published {
    LoadEntry entry;  // Its age and server number are set when it is sent.
    LoadTraits traits;
    Time sampled_at = Time::min();
    Time traits_sampled_at = Time::min();
  };
  struct Server {
    ServerInfo info;
    // Latest report that this instance polled itself.
    std::optional<LoadReport> polled_report;
    Time polled_sampled_at = Time::min();
    Published published;
    bool leaving = false;
    Time leaving_since{};
    bool poller = false;
    Time next_poll = Time::max();
    // Deadline of the poll in progress; Time::max() if none.
    Time reply_due = Time::max();
    // Time before which this instance, if it isn't a poller, doesn't poll the
    // server.
    Time stale_poll_not_before{};
  };
  struct Summary {
    LoadSummaryEntry entry;
    Time sampled_at = Time::min();
  };
  // The figures that a neighbour is known to have, with their sampling times.
  struct Neighbour {
    uint32_t roster = 0;
    Time last_used{};
    std::map<ServerId, Time> sampled_at;
    std::map<ServerId, Time> traits_sampled_at;
    std::set<ServerId> leaving;
    std::map<parts::Pool, Time> summaries;
  };

  // Updates which servers this instance polls.
  void SelectPollers(Time now);
  bool IsPoller(const ServerInfo& server) const;
  bool NeedsDetail(const ServerInfo& server) const;
  void Poll(Server& server, Time now);
  void PollStaleServers(Time now);
  void Publish(Server& server, const LoadReport& report, Time sampled_at);
  void ApplyLeaving(Server& server, bool leaving, Time sampled_at, Time now);
  void MarkLeaving(Server& server, Time now);
  void ApplyEntry(Neighbour& from, Server& server, const LoadEntry& entry,
                  Time now);
  void ApplySummary(Neighbour& from, const parts::Pool& pool,
                    const LoadSummaryEntry& entry, Time now);
  // Updates the summaries of this domain that this instance produces.
  void ProduceSummaries(Time now);
  void ProduceSummary(const parts::Pool& pool, Summary& summary, Time now);
  void AddEntries(Neighbour& neighbour, bool same_domain, LoadUpdate& update,
                  Time now);
  void AddSummaries(Neighbour& neighbour, LoadUpdate& update, Time now);
  LoadReport LatestReport(const Server& server, Time now) const;
  // Returns Time::min() if there are no figures.
  Time LatestSampleTime(const Server& server) const;
  Server* FindServer(const ServerId& id);
  const Server* FindServer(const ServerId& id) const;
  Duration Jittered(Duration duration);

  InstanceInfo self_;
  LoadSpreadOptions options_;
  std::mt19937_64 gen_;
  std::vector<ServerInfo> listed_;  // The list of the last SetServers() call.
  parts::ServerRoster roster_;
  std::vector<InstanceInfo> live_;
  std::set<DomainId> live_domains_;
  std::vector<Server> servers_;  // In the order of the roster.
  std::map<parts::Pool, Summary> summaries_;
  std::map<InstanceId, Neighbour> neighbours_;
  Time next_summaries_;
  Time next_stale_poll_;
  double stale_polls_left_ = 0;  // Token bucket of the polls of stale servers.
  std::vector<LoadAction> actions_;
};

}  // namespace oleander

#endif  // OLEANDER_PARTS_LOAD_SPREAD_IMPL_H_
