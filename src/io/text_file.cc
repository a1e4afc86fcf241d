#include "io/text_file.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

#include "oleander/result_code.h"

namespace oleander::io {

absl::StatusOr<std::string> ReadTextFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    return MakeError(ResultCode::kSettingsUnreadable,
                     fmt::format("The file {} can't be read.", file));
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

}  // namespace oleander::io
