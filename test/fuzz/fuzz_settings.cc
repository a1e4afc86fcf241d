// A settings file gives either settings or an error that names the file.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "node/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto settings = oleander::node::ParseSettings(
      {reinterpret_cast<const char*>(data), size}, "fuzz.jsonc");
  if (!settings.ok() && settings.status().message().find("fuzz.jsonc") ==
                            std::string_view::npos) {
    std::abort();
  }
  return 0;
}
