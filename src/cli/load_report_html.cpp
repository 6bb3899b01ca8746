#include "cli/load_report.h"

#include <fmt/format.h>

#include <algorithm>

namespace chervilpulley::cli {

namespace {

/// Sizes of a plot, in pixels.
constexpr double kWidth = 900;
constexpr double kHeight = 180;
constexpr double kTextHeight = 24;
constexpr double kUsPerMs = 1000;

/// One curve of a plot.
struct plot_series
{
  std::string mName;
  std::string mColour;
  std::vector<double> mValues;
};

std::string EscapeHtml(const std::string& aText)
{
  std::string text;
  for (char c : aText) {
    if (c == '&') {
      text += "&amp;";
    } else if (c == '<') {
      text += "&lt;";
    } else {
      text += c;
    }
  }
  return text;
}

double MaxValue(const std::vector<plot_series>& aSeries)
{
  double maxValue = 1;
  for (const plot_series& each : aSeries) {
    for (double value : each.mValues) {
      maxValue = std::max(maxValue, value);
    }
  }
  return maxValue;
}

std::string Polyline(const plot_series& aSeries, double aMaxValue)
{
  std::string points;
  const double step = kWidth / static_cast<double>(std::max<std::size_t>(2, aSeries.mValues.size()) - 1);
  for (std::size_t i = 0; i < aSeries.mValues.size(); ++i) {
    const double y = kTextHeight + kHeight * (1 - aSeries.mValues[i] / aMaxValue);
    points += fmt::format("{:.1f},{:.1f} ", static_cast<double>(i) * step, y);
  }
  return fmt::format(
    "<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"{}\"/>\n", aSeries.mColour, points);
}

std::string Plot(const std::string& aTitle, const std::vector<plot_series>& aSeries)
{
  const double maxValue = MaxValue(aSeries);
  std::string svg = fmt::format("<svg width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\" font-size=\"12\">\n"
                                "<text x=\"0\" y=\"14\">{2}, up to {3:.1f}</text>\n"
                                "<rect x=\"0\" y=\"{4}\" width=\"{0}\" height=\"{5}\" fill=\"#f6f6f6\"/>\n",
                                kWidth,
                                kHeight + kTextHeight,
                                aTitle,
                                maxValue,
                                kTextHeight,
                                kHeight);
  double x = kWidth;
  for (const plot_series& each : aSeries) {
    constexpr double kNameWidth = 90;
    x -= kNameWidth;
    svg += fmt::format("<text x=\"{}\" y=\"14\" fill=\"{}\">{}</text>\n", x, each.mColour, each.mName);
    svg += Polyline(each, maxValue);
  }
  return svg + "</svg>\n";
}

template<class Value>
plot_series Series(const load_summary& aSummary, const char* aName, const char* aColour, Value&& aValue)
{
  plot_series series{ aName, aColour, {} };
  series.mValues.reserve(aSummary.mSeconds.size());
  for (const second_summary& second : aSummary.mSeconds) {
    series.mValues.push_back(static_cast<double>(aValue(second)));
  }
  return series;
}

std::string CallPlot(const load_summary& aSummary)
{
  return Plot(
    "Calls by the second in which they were sent",
    { Series(aSummary, "sent", "#888888", [](const second_summary& aSecond) { return aSecond.mSent; }),
      Series(aSummary, "whole", "#2266bb", [](const second_summary& aSecond) { return aSecond.mComplete; }) });
}

std::string FirstTokenPlot(const load_summary& aSummary)
{
  const auto p50 = [](const second_summary& aSecond) {
    return static_cast<double>(aSecond.mFirstToken.mP50.count()) / kUsPerMs;
  };
  const auto p99 = [](const second_summary& aSecond) {
    return static_cast<double>(aSecond.mFirstToken.mP99.count()) / kUsPerMs;
  };
  return Plot("Time to the first token in ms",
              { Series(aSummary, "p50", "#2266bb", p50), Series(aSummary, "p99", "#bb4422", p99) });
}

} // namespace

std::string ReportHtml(const load_summary& aSummary)
{
  return "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>chervilpulley load</title></head>\n"
         "<body style=\"font-family: sans-serif\">\n<h1>chervilpulley load</h1>\n" +
         CallPlot(aSummary) + FirstTokenPlot(aSummary) + "<pre>\n" + EscapeHtml(ReportText(aSummary)) +
         "</pre>\n</body></html>\n";
}

} // namespace chervilpulley::cli
