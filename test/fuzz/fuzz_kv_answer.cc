// Replies of the key-value service are either parsed or refused with one of
// three result codes.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "io/kv_client.h"
#include "oleander/result_code.h"

namespace {

template <typename Answer>
void Check(const absl::StatusOr<Answer>& answer) {
  using oleander::CodeOf;
  using oleander::ResultCode;
  if (answer.ok()) {
    return;
  }
  const ResultCode code = CodeOf(answer.status());
  if (code != ResultCode::kBadAnswer &&
      code != ResultCode::kStoreRevisionCompacted &&
      code != ResultCode::kStoreUnavailable) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace io = oleander::io;
  const std::string_view body(reinterpret_cast<const char*>(data), size);
  Check(io::ParseRangeAnswer(body));
  Check(io::ParseCasAnswer(body));
  Check(io::ParseLeaseAnswer(body));
  Check(io::ParseWatchEvents(body));
  return 0;
}
