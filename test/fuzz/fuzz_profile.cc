// A profile document gives either a profile or an error that names the
// document.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "oleander/profile.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto profile = oleander::ParseProfile(
      {reinterpret_cast<const char*>(data), size}, "fuzz.jsonc");
  if (!profile.ok() &&
      profile.status().message().find("fuzz.jsonc") == std::string_view::npos) {
    std::abort();
  }
  return 0;
}
