// Reads a JSON-with-comments document field by field and collects every error
// with its path, the value found and the expected value. Used for settings and
// profiles.
//
//   FieldProblems problems;
//   FieldReader root(document, "", problems);
//   options.port = root.Integer("port", {.minimum = 1, .maximum = 65535});
//   options.address = root.Text("address", {.fallback = "127.0.0.1"});
//   root.Finish();  // Anything not read by now is an unknown field.
//   if (!problems.empty()) return
//   problems.ToStatus(ResultCode::kSettingsInvalid, file);
#ifndef OLEANDER_FIELD_READER_H_
#define OLEANDER_FIELD_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "oleander/result_code.h"
#include "oleander/types.h"

namespace oleander {

// An invalid, missing or unknown field.
struct FieldProblem {
  std::string path;  // Such as "mesh.peers[2].port".
  std::string found;
  std::string expected;
};

// The problems of one document.
class FieldProblems {
 public:
  void Add(FieldProblem problem) { problems_.push_back(std::move(problem)); }
  bool empty() const { return problems_.empty(); }
  const std::vector<FieldProblem>& all() const { return problems_; }
  // Returns a status with `code` whose message lists every problem, one a line,
  // each with `source` (the name of the file or document).
  absl::Status ToStatus(ResultCode code, std::string_view source) const;

 private:
  std::vector<FieldProblem> problems_;
};

// Rules for one field. A field without a fallback must be present.
struct TextRule {
  std::optional<std::string> fallback = std::nullopt;
  bool may_be_empty = false;
  std::vector<std::string> one_of = {};
};
struct IntegerRule {
  std::optional<int64_t> fallback = std::nullopt;
  int64_t minimum = 0;
  int64_t maximum = std::numeric_limits<int64_t>::max();
};
struct NumberRule {
  std::optional<double> fallback = std::nullopt;
  double minimum = 0;
  double maximum = std::numeric_limits<double>::max();
};
struct DurationRule {
  std::optional<Duration> fallback = std::nullopt;
  Duration minimum = Duration::zero();
  Duration maximum = std::chrono::hours(24 * 365);
};

// Reads the fields of one JSON object. After a problem, a function returns the
// fallback, or else an empty text, the minimum or false.
class FieldReader {
 public:
  FieldReader(const nlohmann::json& value, std::string path,
              FieldProblems& problems);

  const std::string& path() const { return path_; }
  bool Has(std::string_view key) const;

  std::string Text(std::string_view key, const TextRule& rule = {});
  int64_t Integer(std::string_view key, const IntegerRule& rule = {});
  double Number(std::string_view key, const NumberRule& rule = {});
  bool Flag(std::string_view key, std::optional<bool> fallback = std::nullopt);
  // Reads a whole number of milliseconds; by convention the key ends in "_ms".
  Duration Milliseconds(std::string_view key, const DurationRule& rule = {});
  // Reads a list of strings; a missing list is empty.
  std::vector<std::string> Texts(std::string_view key);

  // Returns a reader of the object at `key`; nullopt if the field is missing
  // (a problem only if `required`) or is not an object (always a problem).
  std::optional<FieldReader> Object(std::string_view key,
                                    bool required = false);
  // Returns a reader of each item of the list at `key`; a missing list is
  // empty.
  std::vector<FieldReader> Objects(std::string_view key);
  // Returns the keys that have not been read yet, for maps with arbitrary keys.
  std::vector<std::string> RemainingKeys() const;

  // Adds a problem of the field at `key` with the value that it has.
  void Problem(std::string_view key, std::string_view expected);
  // Reports every field that was never read.
  void Finish();

 private:
  // Marks the field as read and returns its value; nullptr if it is missing.
  const nlohmann::json* Take(std::string_view key);
  std::string PathOf(std::string_view key) const;
  void Missing(std::string_view key, std::string_view expected);

  const nlohmann::json* value_;
  std::string path_;
  FieldProblems* problems_;
  std::set<std::string, std::less<>> read_;
};

// Parses JSON with comments. An error has `code`, and its message names
// `source` and the byte at which parsing stopped.
absl::StatusOr<nlohmann::json> ParseJsonWithComments(std::string_view text,
                                                     std::string_view source,
                                                     ResultCode code);

}  // namespace oleander

#endif  // OLEANDER_FIELD_READER_H_
