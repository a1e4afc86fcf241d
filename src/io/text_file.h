// Reads a small text file whole, for settings, tokens and keys.
#ifndef OLEANDER_IO_TEXT_FILE_H_
#define OLEANDER_IO_TEXT_FILE_H_

#include <string>

#include "absl/status/statusor.h"

namespace oleander::io {

// kSettingsUnreadable where the file can't be read.
absl::StatusOr<std::string> ReadTextFile(const std::string& file);

}  // namespace oleander::io

#endif  // OLEANDER_IO_TEXT_FILE_H_
