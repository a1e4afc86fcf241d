// Tells which software version began a stream, from what this instance has seen
// and from what all instances write into the store.
//
// Connects VersionHistory and StreamOrigins to the store and to open calls.
#ifndef OLEANDER_ENTRY_ORIGIN_KEEPER_H_
#define OLEANDER_ENTRY_ORIGIN_KEEPER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "entry/call_context.h"
#include "oleander/stream_origins.h"
#include "oleander/version_history.h"
#include "ports/store_port.h"

namespace oleander::entry {

// What is known of the version that began a stream.
struct OriginAnswer {
  enum class Kind {
    kVersion,      // `version` began it.
    kAnyVersion,   // Another service began it, so its versions don't matter.
    kUnknown,      // No record says which version began it.
    kUnreachable,  // The store could not be asked.
  };
  Kind kind = Kind::kUnknown;
  std::string version;
};

class OriginKeeper {
 public:
  using Done = std::function<void(const OriginAnswer&)>;

  OriginKeeper(CallContext& context, ports::StorePort& store, uint64_t seed);

  // The list of servers has changed.
  void OnServers();
  // The store was restored from an older copy.
  void OnNewEra();
  void SetInstances(size_t instances) { origins_.SetInstances(instances); }

  // Records that the attempt has brought the first event of a stream.
  void OnBegun(const std::string& attempt, const StreamOrigin& origin);
  // Finds the version that began the stream which this attempt brought first.
  // Calls `done` once, possibly before returning.
  void Find(const std::string& attempt, const ServiceId& service, Done done);
  // Returns whether a server of this version is listed, here or by another
  // instance.
  bool IsListed(const ServiceId& service, const std::string& version) const {
    return history_.IsListed(service, version) ||
           history_.IsStored(service, version);
  }
  // Returns the versions at which no stream of the service may begin yet:
  // instances with an older list could not learn of them. Empty if there is no
  // other version.
  std::vector<std::string> VersionsNotToBegin(const ServiceId& service) const;

 private:
  struct Question {
    std::string attempt;
    ServiceId service;
    Done done;
  };
  using Questions = std::vector<Question>;

  // Reads the stored versions for the questions that wait.
  void Confirm();
  void OnConfirmed(const Questions& questions,
                   const absl::StatusOr<StoreRangeAnswer>& answer);
  void ReadOrigin(const Question& question);
  // Records the open streams of services that now have a second version.
  void RecordOpenStreams();
  void Drive();
  void Send(const StoreRequest& request, bool from_history);

  CallContext& context_;
  ports::StorePort& store_;
  VersionHistory history_;
  StreamOrigins origins_;
  std::set<ServiceId> mixed_;  // Services whose streams are recorded.
  // Those that came after the last read of the stored versions was sent.
  Questions waiting_;
  io::Timer confirm_timer_;  // Until the next such read may be sent.
  io::Timer timer_;
};

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_ORIGIN_KEEPER_H_
