// Reads small text files, such as settings, tokens and keys.
#ifndef OLEANDER_IO_TEXT_FILE_H_
#define OLEANDER_IO_TEXT_FILE_H_

#include <string>

#include "absl/status/statusor.h"

namespace oleander::io {

// Returns the file's content, or kSettingsUnreadable if it can't be opened.
absl::StatusOr<std::string> ReadTextFile(const std::string& file);

}  // namespace oleander::io

#endif  // OLEANDER_IO_TEXT_FILE_H_
