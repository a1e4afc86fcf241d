// Executes the actions of the ledger, which runs calls that must not run twice.
// A claim is a record in the store that gives one instance, its holder, the
// right to send the call. The actions are reads and writes of claims, the
// single dispatch of a call, status calls, and messages to other holders.
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

// A call that must not be repeated, with the data for sending it.
struct LedgerRequest {
  LedgerCall call;
  std::string target;   // Path and query within the service.
  io::Headers headers;  // Passed on to the service.
  std::optional<StatusCall> status_call;
};

struct LedgerAnswer {
  absl::StatusOr<StoredAnswer> answer;
  bool replayed = false;
  std::optional<ServerId> server;  // Unset for a replay or an error.
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
    // Servers to which no connection could be made.
    std::vector<ServerId> connect_failures;
    std::optional<ServerId> server;
    std::unique_ptr<io::HttpCall> call;
    StoredAnswer answer;
    bool answer_too_long = false;
  };

  void ScheduleActions();
  void ExecuteActions();
  void Perform(const SendLedgerMessage& action);
  void Perform(const StoreOp& action);
  void Perform(const DispatchOnce& action);
  void Perform(const QueryStatus& action);
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
  bool actions_scheduled_ = false;
  absl::flat_hash_map<CallTicket, RunningCall> running_;
  // The store lease that all records written by this instance are attached to.
  // It limits how long the store retains them. 0 while there is none.
  StoreLeaseId retention_lease_ = 0;
  bool lease_pending_ = false;
  Time lease_renew_at_{};
};

}  // namespace oleander::node

#endif  // OLEANDER_NODE_LEDGER_DRIVER_H_
