// Parses query strings, addresses and an engine's load report. A load report
// that can't be parsed must give kBadAnswer.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "io/engine_client.h"
#include "io/http_types.h"
#include "io/socket_address.h"
#include "oleander/result_code.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  namespace io = oleander::io;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto value = io::FindQuery(text, "from");
  // Decoding never makes a text longer.
  if (value.has_value() && value->size() > text.size()) {
    std::abort();
  }
  static_cast<void>(io::ParseAddress(text, 1));
  const auto load = io::ParseServerLoad(oleander::ServerId("s"), text);
  if (!load.ok() &&
      oleander::CodeOf(load.status()) != oleander::ResultCode::kBadAnswer) {
    std::abort();
  }
  return 0;
}
