#include "cli/log_lines.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <istream>
#include <optional>
#include <sstream>

namespace chervilpulley::cli {

namespace {

using std::chrono::system_clock;

/// "2026-12-04T08:13:50.123+01:00"; nothing when the text has another form.
std::optional<system_clock::time_point> ParseTime(const std::string& aText)
{
  std::tm parts{};
  std::istringstream in(aText);
  char point = 0;
  int milliseconds = 0;
  char sign = 0;
  int hours = 0;
  char colon = 0;
  int minutes = 0;
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> point >> milliseconds >> sign >> hours >> colon >> minutes;
  if (!in || point != '.' || (sign != '+' && sign != '-')) {
    return std::nullopt;
  }
  const auto offset = std::chrono::hours(hours) + std::chrono::minutes(minutes);
  const auto local = system_clock::from_time_t(::timegm(&parts)) + std::chrono::milliseconds(milliseconds);
  return sign == '+' ? local - offset : local + offset;
}

std::optional<log_record> ParseLine(const std::string& aText)
{
  const std::size_t begin = aText.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code fault;
  boost::json::value value = boost::json::parse(aText.substr(begin), fault);
  if (fault || !value.is_object()) {
    return std::nullopt;
  }
  log_record line;
  line.mFields = std::move(value.as_object());
  line.mTimeText = line.Text("time");
  line.mInstance = line.Text("instance");
  line.mEvent = line.Text("event");
  const auto time = ParseTime(line.mTimeText);
  if (!time || line.mEvent.empty()) {
    return std::nullopt;
  }
  line.mTime = *time;
  return line;
}

} // namespace

std::string log_record::Text(std::string_view aName) const
{
  const auto* value = mFields.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

double log_record::Number(std::string_view aName) const
{
  const auto* value = mFields.if_contains(aName);
  return value != nullptr && value->is_number() ? value->to_number<double>() : 0;
}

void ReadLines(std::istream& aIn, parsed_log& aLog)
{
  std::string text;
  while (std::getline(aIn, text)) {
    auto line = ParseLine(text);
    if (line) {
      aLog.mLines.push_back(std::move(*line));
    } else {
      ++aLog.mSkipped;
    }
  }
}

void SortLines(parsed_log& aLog)
{
  std::stable_sort(aLog.mLines.begin(), aLog.mLines.end(), [](const log_record& aLeft, const log_record& aRight) {
    return aLeft.mTime < aRight.mTime;
  });
}

} // namespace chervilpulley::cli
