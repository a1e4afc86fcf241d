// The answer text of a stand-in engine. It depends only on the prompt, so that
// the load tool can check each token.
#ifndef OLEANDER_APPS_STANDINS_SHARED_ANSWER_H_
#define OLEANDER_APPS_STANDINS_SHARED_ANSWER_H_

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace oleander::standins {

// Returns token `index` of the answer to `prompt`: a space, "w" and six hex
// digits.
inline std::string AnswerToken(std::string_view prompt, uint64_t index) {
  const uint64_t hash = XXH64(prompt.data(), prompt.size(), index);
  constexpr int kShift = 40;  // Keeps the first six of sixteen digits.
  return fmt::format(" w{:06x}", hash >> kShift);
}

// Returns tokens `from` to `until` (exclusive), concatenated.
inline std::string AnswerText(std::string_view prompt, uint64_t from,
                              uint64_t until) {
  std::string text;
  for (uint64_t index = from; index < until; ++index) {
    text += AnswerToken(prompt, index);
  }
  return text;
}

// Returns the hash that identifies a prompt in the records of the engines and
// the load tool.
inline std::string PromptHash(std::string_view prompt) {
  return fmt::format("{:016x}", XXH64(prompt.data(), prompt.size(), 0));
}

}  // namespace oleander::standins

#endif  // OLEANDER_APPS_STANDINS_SHARED_ANSWER_H_
