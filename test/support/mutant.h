// Random changes to valid bytes, for tests of parsers.
#ifndef OLEANDER_TEST_SUPPORT_MUTANT_H_
#define OLEANDER_TEST_SUPPORT_MUTANT_H_

#include <algorithm>
#include <random>
#include <string>

namespace oleander {

// Returns `valid` with some bytes changed, removed, duplicated or inserted.
inline std::string Mutant(std::string valid, std::mt19937_64& gen) {
  const auto random_up_to = [&gen](size_t size) {
    return std::uniform_int_distribution<size_t>(0, size)(gen);
  };
  for (size_t left = random_up_to(4) + 1; left > 0 && !valid.empty(); --left) {
    const size_t at = random_up_to(valid.size() - 1);
    const size_t length = std::min(random_up_to(8), valid.size() - at);
    switch (random_up_to(3)) {
      case 0:
        valid[at] = static_cast<char>(random_up_to(255));
        break;
      case 1:
        valid.erase(at, length);
        break;
      case 2:
        valid.insert(at, valid.substr(at, length));
        break;
      default:
        valid.insert(at, length, '\xff');
    }
  }
  return valid;
}

}  // namespace oleander

#endif  // OLEANDER_TEST_SUPPORT_MUTANT_H_
