// The JSON text of a profile's value in the key-value service.
#include <nlohmann/json.hpp>

#include "oleander/field_reader.h"
#include "oleander/profiles.h"
#include "oleander/result_code.h"

namespace oleander {

std::string EncodeProfileValue(const ProfileValue& value) {
  const nlohmann::json json = {
      {"edit_id", value.edit_id},
      {"who", value.who},
      {"when_us", value.when.time_since_epoch().count()},
      {"reason", value.reason},
      {"deleted", value.deleted},
      {"document", value.document}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<ProfileValue> DecodeProfileValue(std::string_view text) {
  const std::string source = "profile value";
  auto parsed =
      ParseJsonWithComments(text, source, ResultCode::kProfileInvalid);
  if (!parsed.ok()) {
    return parsed.status();
  }
  FieldProblems problems;
  FieldReader reader(*parsed, "", problems);
  const TextRule may_be_empty = {.fallback = "", .may_be_empty = true};
  ProfileValue value;
  value.edit_id = reader.Text("edit_id", may_be_empty);
  value.who = reader.Text("who", may_be_empty);
  value.when = WallTime(Duration(reader.Integer("when_us", {.fallback = 0})));
  value.reason = reader.Text("reason", may_be_empty);
  value.deleted = reader.Flag("deleted", false);
  value.document = reader.Text("document", may_be_empty);
  if (!problems.empty()) {
    return problems.ToStatus(ResultCode::kProfileInvalid, source);
  }
  return value;
}

}  // namespace oleander
