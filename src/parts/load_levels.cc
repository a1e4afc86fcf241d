#include <algorithm>
#include <cmath>

#include "oleander/load_spread.h"

namespace oleander {
namespace {

constexpr double kLevelsPerDoubling = 4;
// Value of level 1; smaller positive values are rounded up to it.
constexpr double kMinValue = 0.5;
constexpr double kMaxLevel = 255;

}  // namespace

uint8_t LevelOf(double value) {
  if (!(value > 0)) {
    return 0;
  }
  const double level =
      1 + std::round(kLevelsPerDoubling * std::log2(value / kMinValue));
  return static_cast<uint8_t>(std::clamp(level, 1.0, kMaxLevel));
}

double ValueOf(uint8_t level) {
  if (level == 0) {
    return 0;
  }
  return kMinValue * std::exp2((level - 1) / kLevelsPerDoubling);
}

}  // namespace oleander
