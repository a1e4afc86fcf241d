// Carries out what the ledger asks for: claims in the store, the one dispatch,
// status calls, and messages to other holders.
#ifndef OLEANDER_NODE_LEDGER_DRIVER_H_
#define OLEANDER_NODE_LEDGER_DRIVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "io/event_loop.h"
#include "io/http_client.h"
#include "node/server_directory.h"
#include "node/store_gateway.h"
#include "oleander/ledger.h"
#include "oleander/profile.h"
#include "oleander/routing.h"

namespace oleander::node {

// A call that may not repeat, with what is needed to carry it out.
struct LedgerRequest {
  LedgerCall call;
  std::string target;   // Path and query below the service.
  io::Headers headers;  // Passed on to the service.
  std::optional<StatusCall> status_call;
};

struct LedgerAnswer {
  absl::StatusOr<StoredAnswer> answer;
  bool replayed = false;
  std::optional<ServerId> server;  // Where it ran just now.
};

struct LedgerDriverParts {
  io::EventLoop& loop;
  io::HttpClient& http;
  Router& router;
  ServerDirectory& servers;
  StoreGateway& store;
};

class LedgerDriver {
 public:
  using SendMessage =
      std::function<void(const InstanceId& to, const LedgerMessage& message)>;
  using Done = std::function<void(const LedgerAnswer&)>;

  LedgerDriver(const LedgerDriverParts& parts, LedgerOptions options,
               uint64_t seed, SendMessage send_message);

  void Begin(LedgerRequest request, Done done);
  void OnMessage(const InstanceId& from, const LedgerMessage& message);
  void Tick();

  const Ledger& ledger() const { return ledger_; }

 private:
  struct RunningCall {
    LedgerRequest request;
    Done done;
    std::string attempt;
    std::vector<ServerId>
        connect_failures;  // Servers that could not be connected to.
    std::optional<ServerId> server;
    std::unique_ptr<io::HttpCall> call;
    StoredAnswer answer;
    bool answer_too_long = false;
  };

  void SchedulePump();
  void Pump();
  void Perform(const SendLedgerMessage& action);
  void Perform(const StoreOp& action);
  void Perform(const DispatchOnce& action);
  void Perform(const AskStatus& action);
  void Perform(const AnswerCall& action);
  void RunRead(const StoreOp& op);
  void RunWrite(const StoreOp& op);
  void SendCall(CallTicket ticket);
  void OnCallEnd(CallTicket ticket, const io::HttpCallEnd& end);
  void EndDispatch(CallTicket ticket, bool sent,
                   absl::StatusOr<StoredAnswer> answer);
  std::optional<ServerInfo> ChooseServer(const RunningCall& running);
  io::HttpCallRequest NewRequest(const RunningCall& running,
                                 const ServerInfo& server) const;
  void OnStoreResult(StoreOpId op, const StoreResult& result);
  void RenewRetentionLease();

  LedgerDriverParts parts_;
  Ledger ledger_;
  SendMessage send_message_;
  bool pump_scheduled_ = false;
  absl::flat_hash_map<CallTicket, RunningCall> running_;
  // One lease of the store bounds how long all records written here are kept.
  StoreLeaseId retention_lease_ = 0;
  bool lease_pending_ = false;
  Time lease_renew_at_{};
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_LEDGER_DRIVER_H_
