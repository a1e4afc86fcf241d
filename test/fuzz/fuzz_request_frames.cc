// Parses arbitrary bytes as request and ledger messages and passes those that
// decode to a request table and a ledger, which must not crash.
#include <cstddef>
#include <cstdint>

#include "io/ledger_codec.h"
#include "io/request_codec.h"
#include "oleander/ledger.h"
#include "oleander/requests.h"

using namespace oleander;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size > (1U << 16)) {
    return 0;
  }
  const InstanceId peer("peer");
  mesh::RequestMessage request;
  if (request.ParseFromArray(data, static_cast<int>(size))) {
    const auto message = io::DecodeRequestMessage(request);
    if (message.ok()) {
      RequestTableOptions options;
      options.self.id = InstanceId("self");
      RequestTable table(options, 1);
      Time now{};
      table.OnMessage(now, peer, *message);
      table.OnMessage(now, peer, *message);
      now += std::chrono::seconds(40);
      table.Tick(now);
      table.TakeActions();
    }
  }
  mesh::LedgerMessage claim;
  if (claim.ParseFromArray(data, static_cast<int>(size))) {
    const auto message = io::DecodeLedgerMessage(claim);
    if (message.ok()) {
      LedgerOptions options;
      options.self = InstanceId("self");
      Ledger ledger(options, 1);
      ledger.OnMessage(Time{}, peer, *message);
      ledger.TakeActions();
    }
  }
  return 0;
}
