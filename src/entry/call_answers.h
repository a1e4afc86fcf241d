// Writes this instance's own answers to requests that it refuses or fails.
#ifndef OLEANDER_ENTRY_CALL_ANSWERS_H_
#define OLEANDER_ENTRY_CALL_ANSWERS_H_

#include <optional>

#include "absl/status/status.h"
#include "io/http_server.h"
#include "io/http_types.h"
#include "oleander/result_code.h"

namespace oleander::entry {

// Sends `error` as the whole answer, with the time after which to retry, if the
// error has one. The result code is also a header, so that an instance which
// has a call relayed need not parse the body.
void RespondError(io::HttpExchange& exchange, const absl::Status& error);

// The errors of calls that end without a server's answer: at their deadline,
// and with this instance.
absl::Status DeadlineError(bool may_have_run);
absl::Status StopError(bool may_have_run);

// Returns the result code in the headers of such an answer; nothing if there is
// none.
std::optional<ResultCode> ResultCodeIn(const io::Headers& headers);

}  // namespace oleander::entry

#endif  // OLEANDER_ENTRY_CALL_ANSWERS_H_
