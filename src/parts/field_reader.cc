#include "oleander/field_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleander {
namespace {

using nlohmann::json;

constexpr size_t kMaxShownValueBytes = 60;

// Returns a JSON value for an error message, cut if it is long.
std::string Shown(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxShownValueBytes) {
    text.resize(kMaxShownValueBytes);
    text += "...";
  }
  return text;
}

std::string ExpectedInteger(const IntegerRule& rule) {
  if (rule.maximum == std::numeric_limits<int64_t>::max()) {
    return fmt::format("a whole number of at least {}", rule.minimum);
  }
  return fmt::format("a whole number from {} to {}", rule.minimum,
                     rule.maximum);
}

std::string ExpectedNumber(const NumberRule& rule) {
  if (rule.maximum == std::numeric_limits<double>::max()) {
    return fmt::format("a number of at least {}", rule.minimum);
  }
  return fmt::format("a number from {} to {}", rule.minimum, rule.maximum);
}

std::string ExpectedText(const TextRule& rule) {
  if (!rule.one_of.empty()) {
    return fmt::format("one of \"{}\"", fmt::join(rule.one_of, "\", \""));
  }
  return rule.may_be_empty ? "a text" : "a text that is not empty";
}

bool IsAllowedText(const json& value, const TextRule& rule) {
  if (!value.is_string()) {
    return false;
  }
  const auto& text = value.get_ref<const std::string&>();
  if (!rule.one_of.empty()) {
    return std::ranges::find(rule.one_of, text) != rule.one_of.end();
  }
  return rule.may_be_empty || !text.empty();
}

// Unsigned numbers beyond the range of int64_t would wrap around in
// get<int64_t>().
bool IsAllowedInteger(const json& value, const IntegerRule& rule) {
  if (!value.is_number_integer()) {
    return false;
  }
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
    return false;
  }
  const auto number = value.get<int64_t>();
  return number >= rule.minimum && number <= rule.maximum;
}

}  // namespace

absl::Status FieldProblems::ToStatus(ResultCode code,
                                     std::string_view source) const {
  std::vector<std::string> lines;
  std::ranges::transform(
      problems_, std::back_inserter(lines), [&](const FieldProblem& problem) {
        return fmt::format("{}: {}: found {}, expected {}.", source,
                           problem.path, problem.found, problem.expected);
      });
  return MakeError(code, fmt::format("{}", fmt::join(lines, "\n")));
}

FieldReader::FieldReader(const json& value, std::string path,
                         FieldProblems& problems)
    : value_(&value), path_(std::move(path)), problems_(&problems) {
  if (!value.is_object()) {
    problems.Add({.path = path_.empty() ? "(document)" : path_,
                  .found = Shown(value),
                  .expected = "an object"});
  }
}

bool FieldReader::Has(std::string_view key) const {
  return value_->is_object() && value_->contains(std::string(key));
}

std::string FieldReader::Text(std::string_view key, const TextRule& rule) {
  const json* field = Take(key);
  if (field == nullptr) {
    if (!rule.fallback.has_value()) {
      Missing(key, ExpectedText(rule));
    }
    return rule.fallback.value_or("");
  }
  if (!IsAllowedText(*field, rule)) {
    Problem(key, ExpectedText(rule));
    return rule.fallback.value_or("");
  }
  return field->get<std::string>();
}

int64_t FieldReader::Integer(std::string_view key, const IntegerRule& rule) {
  const json* field = Take(key);
  if (field == nullptr) {
    if (!rule.fallback.has_value()) {
      Missing(key, ExpectedInteger(rule));
    }
    return rule.fallback.value_or(rule.minimum);
  }
  if (!IsAllowedInteger(*field, rule)) {
    Problem(key, ExpectedInteger(rule));
    return rule.fallback.value_or(rule.minimum);
  }
  return field->get<int64_t>();
}

double FieldReader::Number(std::string_view key, const NumberRule& rule) {
  const json* field = Take(key);
  if (field == nullptr) {
    if (!rule.fallback.has_value()) {
      Missing(key, ExpectedNumber(rule));
    }
    return rule.fallback.value_or(rule.minimum);
  }
  const bool allowed = field->is_number() &&
                       std::isfinite(field->get<double>()) &&
                       field->get<double>() >= rule.minimum &&
                       field->get<double>() <= rule.maximum;
  if (!allowed) {
    Problem(key, ExpectedNumber(rule));
    return rule.fallback.value_or(rule.minimum);
  }
  return field->get<double>();
}

bool FieldReader::Flag(std::string_view key, std::optional<bool> fallback) {
  const json* field = Take(key);
  if (field == nullptr) {
    if (!fallback.has_value()) {
      Missing(key, "true or false");
    }
    return fallback.value_or(false);
  }
  if (!field->is_boolean()) {
    Problem(key, "true or false");
    return fallback.value_or(false);
  }
  return field->get<bool>();
}

Duration FieldReader::Milliseconds(std::string_view key,
                                   const DurationRule& rule) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  IntegerRule integer = {
      .fallback = std::nullopt,
      .minimum = duration_cast<milliseconds>(rule.minimum).count(),
      .maximum = duration_cast<milliseconds>(rule.maximum).count(),
  };
  if (rule.fallback.has_value()) {
    integer.fallback = duration_cast<milliseconds>(*rule.fallback).count();
  }
  return milliseconds(Integer(key, integer));
}

std::vector<std::string> FieldReader::Texts(std::string_view key) {
  const json* field = Take(key);
  if (field == nullptr) {
    return {};
  }
  const bool allowed =
      field->is_array() && std::ranges::all_of(*field, &json::is_string);
  if (!allowed) {
    Problem(key, "a list of texts");
    return {};
  }
  return field->get<std::vector<std::string>>();
}

std::optional<FieldReader> FieldReader::Object(std::string_view key,
                                               bool required) {
  const json* field = Take(key);
  if (field == nullptr) {
    if (required) {
      Missing(key, "an object");
    }
    return std::nullopt;
  }
  if (!field->is_object()) {
    Problem(key, "an object");
    return std::nullopt;
  }
  return FieldReader(*field, PathOf(key), *problems_);
}

std::vector<FieldReader> FieldReader::Objects(std::string_view key) {
  const json* field = Take(key);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_array()) {
    Problem(key, "a list of objects");
    return {};
  }
  std::vector<FieldReader> readers;
  readers.reserve(field->size());
  for (size_t i = 0; i < field->size(); ++i) {
    readers.emplace_back((*field)[i], fmt::format("{}[{}]", PathOf(key), i),
                         *problems_);
  }
  return readers;
}

std::vector<std::string> FieldReader::RemainingKeys() const {
  std::vector<std::string> keys;
  if (!value_->is_object()) {
    return keys;
  }
  for (const auto& [key, unused] : value_->items()) {
    if (!read_.contains(key)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void FieldReader::Problem(std::string_view key, std::string_view expected) {
  const std::string name(key);
  const bool present = value_->is_object() && value_->contains(name);
  problems_->Add({.path = PathOf(key),
                  .found = present ? Shown((*value_)[name]) : "nothing",
                  .expected = std::string(expected)});
}

void FieldReader::Finish() {
  for (const std::string& key : RemainingKeys()) {
    Problem(key, "no field of this name");
  }
}

const json* FieldReader::Take(std::string_view key) {
  read_.emplace(key);
  if (!value_->is_object()) {
    return nullptr;
  }
  const auto found = value_->find(std::string(key));
  return found == value_->end() ? nullptr : &*found;
}

std::string FieldReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

void FieldReader::Missing(std::string_view key, std::string_view expected) {
  Problem(key, expected);
}

absl::StatusOr<json> ParseJsonWithComments(std::string_view text,
                                           std::string_view source,
                                           ResultCode code) {
  try {
    return json::parse(text, nullptr, /*allow_exceptions=*/true,
                       /*ignore_comments=*/true);
  } catch (const json::parse_error& error) {
    return MakeError(
        code, fmt::format("{}: not JSON with comments near byte {}: {}", source,
                          error.byte, error.what()));
  }
}

}  // namespace oleander
