// A stand-in for a plain service that handles money: it records each run of a
// deposit, stores balances with versions, and replicates deposits to the other
// desks after a delay. docs/operators/standins.md lists its flags and faults.
#include <gflags/gflags.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/random/random.h"
#include "io/http_client.h"
#include "io/log.h"
#include "standins/shared_standin.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_uint32(port, 9100, "Port to listen on.");
DEFINE_string(id, "desk", "Name of this server.");
DEFINE_string(replicas, "",
              "ADDRESS:PORT of the other desks, joined by commas.");
DEFINE_uint32(replica_lag_ms, 300, "Delay of replication to the other desks.");
DEFINE_uint32(work_ms, 5, "Time that each call takes.");
DEFINE_uint32(load_lag_ms, 200, "Maximum age of the load report.");
DEFINE_uint32(slots, 16, "Concurrent calls that the load report states.");
DEFINE_uint64(seed, 1, "Seed of all random choices.");

namespace oleander::standins {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr auto kRetryAfter = std::chrono::milliseconds(500);
constexpr std::string_view kDeposits = "/deposits/";
constexpr std::string_view kBalance = "/balance/";

// One execution of a deposit on this desk.
struct Run {
  int64_t number = 0;
  std::string key;
  std::string body;
  std::string account;
  int64_t amount = 0;
  int64_t at_ms = 0;
};

struct Account {
  int64_t balance = 0;
  int64_t version = 0;
};

struct Replica {
  std::string address;
  uint16_t port = 0;
};

std::vector<Replica> ParseReplicas(std::string_view text) {
  std::vector<Replica> replicas;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    const std::string_view item = text.substr(0, comma);
    const size_t colon = std::min(item.rfind(':'), item.size() - 1);
    replicas.push_back(
        {.address = std::string(item.substr(0, colon)),
         .port = static_cast<uint16_t>(std::strtoul(
             std::string(item.substr(colon + 1)).c_str(), nullptr, 10))});
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return replicas;
}

class Desk {
 public:
  explicit Desk(io::EventLoop& loop);
  int Run() { return standin_.Run(); }

 private:
  bool Intercept(const ExchangePtr& exchange);
  void HandleDeposit(const ExchangePtr& exchange);
  void RunDeposit(const ExchangePtr& exchange, const Json& body);
  void AnswerDeposit(const ExchangePtr& exchange, const Json& answer);
  void HandleStatus(const ExchangePtr& exchange);
  void HandleBalance(const ExchangePtr& exchange);
  void HandleReplicate(const ExchangePtr& exchange);
  void HandleLoad(const ExchangePtr& exchange);
  void Replicate(const oleander::standins::Run& run);
  void SendToReplica(const Replica& replica, const std::string& body);
  void Apply(const std::string& id, const std::string& account, int64_t amount);
  void ApplyFaults();
  bool restarting() const { return standin_.now_ms() < restarting_until_ms_; }
  Json Records() const;

  Standin standin_;
  io::HttpClient client_;
  std::mt19937_64 random_{FLAGS_seed};
  std::vector<Replica> replicas_ = ParseReplicas(FLAGS_replicas);
  std::vector<oleander::standins::Run> runs_;
  std::map<std::string, Account> accounts_;
  std::set<std::string> applied_;  // "desk:run", local and replicated.
  std::set<std::string> replicated_keys_;
  std::vector<ExchangePtr> open_;
  int64_t restarting_until_ms_ = -1;
  int64_t leaving_since_ms_ = -1;
  int64_t last_new_work_ms_ = -1;
  uint64_t calls_ = 0;
  uint64_t running_ = 0;
  uint64_t reported_running_ = 0;
  int64_t load_snapshot_ms_ = 0;
  io::Timer load_timer_;
};

Desk::Desk(io::EventLoop& loop)
    : standin_(loop, FLAGS_address, static_cast<uint16_t>(FLAGS_port)),
      client_(loop, std::chrono::seconds(1)) {
  const auto route = [this](const char* method, std::string path,
                            void (Desk::*handler)(const ExchangePtr&)) {
    standin_.Route(method, std::move(path),
                   [this, handler](const ExchangePtr& exchange) {
                     (this->*handler)(exchange);
                   });
  };
  route("POST", "/deposits", &Desk::HandleDeposit);
  route("GET", "/deposits/*", &Desk::HandleStatus);
  route("GET", "/balance/*", &Desk::HandleBalance);
  route("POST", "/replicate", &Desk::HandleReplicate);
  route("GET", "/v1/load", &Desk::HandleLoad);
  standin_.OnIntercept(
      [this](const auto& exchange) { return Intercept(exchange); });
  standin_.OnFault([this] { ApplyFaults(); });
  standin_.OnRecords([this] { return Records(); });
  load_timer_ =
      loop.Every(std::chrono::milliseconds(FLAGS_load_lag_ms), [this] {
        reported_running_ = running_;
        load_snapshot_ms_ = standin_.now_ms();
      });
}

void Desk::ApplyFaults() {
  const Faults& faults = standin_.faults();
  const auto restart = static_cast<int64_t>(faults.Number("restart_ms", 0));
  if (restart > 0) {
    restarting_until_ms_ = standin_.now_ms() + restart;
    for (const ExchangePtr& exchange : std::exchange(open_, {})) {
      DropConnection(exchange);
    }
  }
  if (!faults.Flag("leaving")) {
    leaving_since_ms_ = -1;
  } else if (leaving_since_ms_ < 0) {
    leaving_since_ms_ = standin_.now_ms();
  }
}

bool Desk::Intercept(const ExchangePtr& exchange) {
  if (restarting()) {
    DropConnection(exchange);
    return true;
  }
  if (standin_.faults().Flag("mute")) {
    standin_.HoldWithoutAnswer(exchange);
    return true;
  }
  return false;
}

void Desk::HandleDeposit(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  const Faults& faults = standin_.faults();
  ++calls_;
  if (leaving_since_ms_ >= 0) {
    last_new_work_ms_ = standin_.now_ms() - leaving_since_ms_;
  }
  if (faults.Flag("refuse")) {
    RespondJson(exchange, kUnavailable, {{"error", "Refused by a fault."}});
    return;
  }
  if (TextField(*body, "account").empty()) {
    RespondJson(exchange, kBadRequest, {{"error", "No account is named."}});
    return;
  }
  std::erase_if(open_, [](const auto& held) { return held->closed(); });
  open_.push_back(exchange);
  ++running_;
  const Duration work =
      std::chrono::milliseconds(FLAGS_work_ms) + faults.Milliseconds("slow_ms");
  standin_.Later(work, [this, exchange, body = *body] {
    --running_;
    RunDeposit(exchange, body);
  });
}

void Desk::RunDeposit(const ExchangePtr& exchange, const Json& body) {
  if (restarting()) {
    return;  // The restart lost this deposit.
  }
  if (absl::Bernoulli(random_, standin_.faults().Number("error_rate", 0))) {
    RespondJson(exchange, kServerError, {{"error", "Failed by a fault."}});
    return;
  }
  const auto key =
      io::FindHeader(exchange->request().headers, "idempotency-key");
  oleander::standins::Run run = {
      .number = static_cast<int64_t>(runs_.size()) + 1,
      .key = std::string(key.value_or("")),
      .body = exchange->request().body,
      .account = TextField(body, "account"),
      .amount = IntegerField(body, "amount", 0),
      .at_ms = standin_.now_ms()};
  runs_.push_back(run);
  Apply(FLAGS_id + ":" + std::to_string(run.number), run.account, run.amount);
  Replicate(run);
  AnswerDeposit(exchange, {{"run", run.number},
                           {"desk", FLAGS_id},
                           {"account", run.account},
                           {"amount", run.amount},
                           {"balance", accounts_[run.account].balance}});
}

void Desk::AnswerDeposit(const ExchangePtr& exchange, const Json& answer) {
  const Faults& faults = standin_.faults();
  if (absl::Bernoulli(random_, faults.Number("lose_answer", 0))) {
    DropConnection(exchange);
    return;
  }
  if (absl::Bernoulli(random_, faults.Number("silent_answer", 0))) {
    standin_.HoldWithoutAnswer(exchange);
    return;
  }
  standin_.Later(faults.Milliseconds("late_answer_ms"),
                 [exchange, answer] { RespondJson(exchange, kOk, answer); });
}

void Desk::Apply(const std::string& id, const std::string& account,
                 int64_t amount) {
  if (!applied_.insert(id).second) {
    return;
  }
  accounts_[account].balance += amount;
  ++accounts_[account].version;
}

void Desk::Replicate(const oleander::standins::Run& run) {
  const std::string body = Json{
      {"id", FLAGS_id + ":" + std::to_string(run.number)},
      {"key", run.key},
      {"account", run.account},
      {"amount", run.amount}}.dump();
  standin_.Later(std::chrono::milliseconds(FLAGS_replica_lag_ms), [this, body] {
    for (const Replica& replica : replicas_) {
      SendToReplica(replica, body);
    }
  });
}

void Desk::SendToReplica(const Replica& replica, const std::string& body) {
  io::HttpCallRequest request;
  request.address = replica.address;
  request.port = replica.port;
  request.method = "POST";
  request.target = "/replicate";
  request.body = body;
  request.options.head_timeout = std::chrono::seconds(2);
  client_.Fetch(
      std::move(request), [this, replica, body](const io::HttpAnswer& answer) {
        if (answer.end.status.ok() && answer.status == kOk) {
          return;
        }
        standin_.Later(kRetryAfter,
                       [this, replica, body] { SendToReplica(replica, body); });
      });
}

void Desk::HandleReplicate(const ExchangePtr& exchange) {
  const auto body = JsonBodyOf(exchange);
  if (!body) {
    return;
  }
  Apply(TextField(*body, "id"), TextField(*body, "account"),
        IntegerField(*body, "amount", 0));
  replicated_keys_.insert(TextField(*body, "key"));
  RespondJson(exchange, kOk, Json::object());
}

void Desk::HandleStatus(const ExchangePtr& exchange) {
  const std::string key = exchange->request().path.substr(kDeposits.size());
  const auto run = std::ranges::find(runs_, key, &oleander::standins::Run::key);
  if (run != runs_.end()) {
    RespondJson(exchange, kOk,
                {{"ran", true},
                 {"run", run->number},
                 {"desk", FLAGS_id},
                 {"account", run->account},
                 {"amount", run->amount}});
    return;
  }
  const bool ran = replicated_keys_.contains(key);
  RespondJson(exchange, ran ? kOk : kNotFound, {{"ran", ran}});
}

void Desk::HandleBalance(const ExchangePtr& exchange) {
  ++calls_;
  const std::string name = exchange->request().path.substr(kBalance.size());
  const auto found = accounts_.find(name);
  const Account account = found == accounts_.end() ? Account() : found->second;
  const Json answer = {{"account", name},
                       {"balance", account.balance},
                       {"version", account.version},
                       {"desk", FLAGS_id}};
  standin_.Later(std::chrono::milliseconds(FLAGS_work_ms) +
                     standin_.faults().Milliseconds("slow_ms"),
                 [exchange, answer] { RespondJson(exchange, kOk, answer); });
}

void Desk::HandleLoad(const ExchangePtr& exchange) {
  RespondJson(exchange, kOk,
              {{"age_ms", standin_.now_ms() - load_snapshot_ms_},
               {"running", reported_running_},
               {"waiting", 0},
               {"slots", FLAGS_slots},
               {"leaving", leaving_since_ms_ >= 0}});
}

Json Desk::Records() const {
  Json runs = Json::array();
  std::ranges::transform(
      runs_, std::back_inserter(runs), [](const oleander::standins::Run& run) {
        return Json{{"run", run.number},    {"key", run.key},
                    {"body", run.body},     {"account", run.account},
                    {"amount", run.amount}, {"at_ms", run.at_ms}};
      });
  return {{"id", FLAGS_id},
          {"runs", std::move(runs)},
          {"calls", calls_},
          {"leaving_since_ms", leaving_since_ms_},
          {"last_new_work_after_leaving_ms", last_new_work_ms_}};
}

}  // namespace
}  // namespace oleander::standins

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stands in for an order desk in experiments.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  oleander::io::SetLogInstance(FLAGS_id);
  oleander::io::EventLoop loop;
  oleander::standins::Desk desk(loop);
  return desk.Run();
}
