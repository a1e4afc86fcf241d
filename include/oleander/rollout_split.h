// Splits the calls of one instance between the versions of a service during a
// roll-out, and counts what came of them.
//
// Each instance sends the stage's share of its own calls to the target, by an
// error term that it carries from call to call. The error terms of different
// instances begin at different fractions, so that hundreds of instances with
// few calls each keep the share together without asking one another.
//
// An instance that hears no news of the stage never goes up, and after
// max_stage_age it sends nothing new to the target.
//
//   RolloutSplit split(options, /*fraction=*/0.37);
//   split.SetOrders(now, orders);
//   split.SetStages(now, stages);  // At each news, also of an unchanged stage.
//   const RolloutChoice* choice = split.Choose(now, service, route);
//   // Send to a server that the choice allows; null allows all. Then:
//   split.OnSent(service, version, route, server);
//   split.OnAnswer(now, service, version, route, server, true, first);
//   split.OnEnd(now, service, version, lasted);
//   const std::vector<RolloutEvidence> evidence = split.TakeEvidence(now);
//
// Designed for up to 360 instances with a few calls a second each, and for a
// handful of services, versions and routes.
#ifndef OLEANDER_ROLLOUT_SPLIT_H_
#define OLEANDER_ROLLOUT_SPLIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "oleander/rollouts.h"
#include "oleander/types.h"

namespace oleander {

struct RolloutSplitOptions {
  // After this long without news of the stage, nothing new goes to the target.
  Duration max_stage_age = std::chrono::seconds(3);
  // Rows of counts that are kept until the evidence is taken; calls beyond them
  // are counted without their server.
  size_t max_rows = 256;
};

class RolloutSplit {
 public:
  // `fraction`, in [0, 1), is where the error term of this instance begins.
  RolloutSplit(RolloutSplitOptions options, double fraction)
      : options_(options), fraction_(fraction) {}

  // Sets all known orders. The target of an order without a stage gets nothing.
  void SetOrders(Time now, const std::vector<RolloutOrder>& orders);
  // Takes stages that the holder told of, at `now`. Those that are older than
  // the known one are ignored; an equal one renews its age.
  void SetStages(Time now, const std::vector<RolloutStage>& stages);

  // Returns where a new call may go, or null if the service has no roll-out,
  // and counts the call. Once for each request. The result is valid until the
  // next SetOrders() or SetStages(). Doesn't allocate.
  const RolloutChoice* Choose(Time now, const ServiceId& service,
                              std::string_view route = {});

  // Records a call that was sent to a server. To be called for all services,
  // also without a roll-out, so that calls that began before it are known. Each
  // call of OnSent is followed by one of OnEnd, and in between by at most one
  // of OnAnswer.
  void OnSent(const ServiceId& service, std::string_view version,
              std::string_view route, const ServerId& server);
  // Records the first event of a stream, the answer, or the failure of a call.
  // `first` is the time since it was sent. A stream that breaks off after its
  // first event is recorded by OnBrokenOff() instead of a second OnAnswer().
  void OnAnswer(Time now, const ServiceId& service, std::string_view version,
                std::string_view route, const ServerId& server, bool good,
                Duration first);
  void OnBrokenOff(const ServiceId& service, std::string_view version,
                   std::string_view route, const ServerId& server);
  // Records that nothing more comes of the call, and how long it lasted.
  // `answered`: whether OnAnswer was called for it.
  void OnEnd(const ServiceId& service, std::string_view version, bool answered,
             Duration lasted);

  // Returns what was counted since the last call, for the services with an
  // active roll-out. Empty while none is active.
  std::vector<RolloutEvidence> TakeEvidence(Time now);

  // Returns the stage that is known of the service, or null.
  const RolloutStage* stage(const ServiceId& service) const;

 private:
  struct RouteShare {
    std::string route;
    double share = 0;
    double error = 0;
  };
  struct Version {
    std::string name;
    int64_t open = 0;
    int64_t waiting = 0;
    Duration longest{};
  };
  struct Service {
    bool ordered = false;
    RolloutOrder order;
    bool staged = false;
    RolloutStage stage;
    Time heard_at;
    RolloutChoice to_target;
    RolloutChoice to_earlier;
    RolloutChoice after;             // Once the roll-out is over.
    std::vector<RouteShare> shares;  // The first is of all other routes.
    int64_t calls = 0;
    int64_t total_calls = 0;
    int64_t total_target = 0;
    std::vector<Version> versions;
    std::vector<RolloutEvidence> rows;
  };

  static bool IsActive(const Service& service);
  bool IsRecent(Time now, const Service& service) const;
  void Prepare(Service& service) const;
  static Version& VersionOf(Service& service, std::string_view name);
  // Returns the counts to which a call at this server belongs, or null if the
  // service has no active roll-out.
  RolloutEvidence* RowOf(Service& service, std::string_view version,
                         std::string_view route, const ServerId& server) const;

  RolloutSplitOptions options_;
  double fraction_;
  absl::flat_hash_map<ServiceId, Service> services_;
};

}  // namespace oleander

#endif  // OLEANDER_ROLLOUT_SPLIT_H_
