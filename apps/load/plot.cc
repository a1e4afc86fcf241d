// Draws the SVG plot of a run; report.h declares Plot().
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "load/report.h"

namespace oleander::load {
namespace {

constexpr double kWidth = 900;
constexpr double kPanelHeight = 220;
constexpr double kMargin = 60;
constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;

struct Series {
  std::string_view name;
  std::string_view colour;
  std::vector<double> values;  // One per second of the run.
};

size_t SecondOf(Duration time) {
  return static_cast<size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

std::string Text(double x, double y, std::string_view text) {
  return fmt::format(
      "<text x=\"{:.1f}\" y=\"{:.1f}\" font-size=\"12\" "
      "font-family=\"sans-serif\">{}</text>\n",
      x, y, text);
}

std::string Line(const Series& series, double top, double highest) {
  const double step =
      (kWidth - 2 * kMargin) /
      static_cast<double>(std::max<size_t>(series.values.size() - 1, 1));
  std::string points;
  for (size_t second = 0; second < series.values.size(); ++second) {
    points += fmt::format(
        "{:.1f},{:.1f} ", kMargin + step * static_cast<double>(second),
        top + kPanelHeight * (1 - series.values[second] / highest));
  }
  return fmt::format(
      "<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" "
      "points=\"{}\"/>\n",
      series.colour, points);
}

std::string Panel(std::string_view title, const std::vector<Series>& all,
                  double top) {
  double highest = 1;
  for (const Series& series : all) {
    highest = std::max(highest, *std::ranges::max_element(series.values));
  }
  std::string svg = fmt::format(
      "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"none\" "
      "stroke=\"#999\"/>\n",
      kMargin, top, kWidth - 2 * kMargin, kPanelHeight);
  svg += Text(kMargin, top - 8, title);
  svg += Text(8, top + 12, fmt::format("{:.0f}", highest));
  svg += Text(8, top + kPanelHeight, "0");
  double label = kMargin + 260;
  for (const Series& series : all) {
    svg += Line(series, top, highest);
    svg += fmt::format("<g fill=\"{}\">{}</g>", series.colour,
                       Text(label, top - 8, series.name));
    label += 100;
  }
  return svg;
}

}  // namespace

std::string Plot(const Operations& operations) {
  size_t seconds = 1;
  for (const auto& operation : operations) {
    const OperationResult& result = operation->result();
    const Duration last = result.intended + std::max(result.end, Duration(0));
    seconds = std::max(seconds, SecondOf(last) + 1);
  }
  std::vector<std::vector<double>> first(seconds);
  std::array<std::vector<double>, 4> counts;
  counts.fill(std::vector<double>(seconds, 0));
  for (const auto& operation : operations) {
    const OperationResult& result = operation->result();
    const Duration last = result.intended + std::max(result.end, Duration(0));
    if (result.first_token >= Duration::zero()) {
      first[SecondOf(result.intended)].push_back(
          std::chrono::duration<double, std::milli>(result.first_token)
              .count());
    }
    ++counts[0][SecondOf(result.intended)];
    const bool answered = result.outcome == Outcome::kAnswered;
    const bool refused = result.outcome == Outcome::kRefused;
    ++counts[answered ? 1 : refused ? 2 : 3][SecondOf(last)];
  }
  Series median = {.name = "p50", .colour = "#1f77b4", .values = {}};
  Series tail = {.name = "p95", .colour = "#d62728", .values = {}};
  for (const auto& samples : first) {
    median.values.push_back(Percentile(samples, kMedian));
    tail.values.push_back(Percentile(samples, kP95));
  }
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
      "height=\"{1}\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
      kWidth, 2 * kPanelHeight + 3 * kMargin);
  svg +=
      Panel("first token in ms, by second of arrival", {median, tail}, kMargin);
  svg += Panel("operations per second",
               {{.name = "arrived", .colour = "#777", .values = counts[0]},
                {.name = "answered", .colour = "#2ca02c", .values = counts[1]},
                {.name = "refused", .colour = "#ff7f0e", .values = counts[2]},
                {.name = "other", .colour = "#d62728", .values = counts[3]}},
               2 * kMargin + kPanelHeight);
  return svg + "</svg>\n";
}

}  // namespace oleander::load
