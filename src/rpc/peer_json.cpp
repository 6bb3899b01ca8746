#include "rpc/peer_json.h"

#include <limits>

namespace chervilpulley {
namespace rpc {

namespace {

const Json::Value& ReadField(const Json::Value& aObject, const char* aName)
{
  if (!aObject.isObject() || !aObject.isMember(aName)) {
    throw invalid_field(aName);
  }
  return aObject[aName];
}

} // namespace

invalid_field::invalid_field(const std::string& aName)
  : mText("field \"" + aName + "\" is absent or not what the schema says")
{
}

const char* invalid_field::what() const noexcept
{
  return mText.c_str();
}

std::string ReadString(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = ReadField(aObject, aName);
  if (!value.isString()) {
    throw invalid_field(aName);
  }
  return value.asString();
}

std::uint32_t ReadNumber(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = ReadField(aObject, aName);
  if (!value.isUInt()) {
    throw invalid_field(aName);
  }
  return value.asUInt();
}

std::uint64_t ParseNumber(const std::string& aText, const char* aName)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t number = 0;
  for (const char digit : aText) {
    const auto value = static_cast<std::uint64_t>(digit - '0');
    if (digit < '0' || digit > '9' || number > (kMax - value) / 10) {
      throw invalid_field(aName);
    }
    number = number * 10 + value;
  }
  if (aText.empty()) {
    throw invalid_field(aName);
  }
  return number;
}

std::vector<std::string> ReadStrings(const Json::Value& aObject, const char* aName)
{
  const Json::Value& array = ReadField(aObject, aName);
  if (!array.isArray()) {
    throw invalid_field(aName);
  }
  std::vector<std::string> texts;
  texts.reserve(array.size());
  for (const Json::Value& value : array) {
    if (!value.isString()) {
      throw invalid_field(aName);
    }
    texts.push_back(value.asString());
  }
  return texts;
}

bool ReadBool(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = ReadField(aObject, aName);
  if (!value.isBool()) {
    throw invalid_field(aName);
  }
  return value.asBool();
}

Json::Value StringsToJson(const std::vector<std::string>& aTexts)
{
  Json::Value array(Json::arrayValue);
  for (const std::string& text : aTexts) {
    array.append(text);
  }
  return array;
}

std::vector<instance_report> ParseReports(const Json::Value& aArray, const char* aName)
{
  if (!aArray.isArray()) {
    throw invalid_field(aName);
  }
  std::vector<instance_report> reports;
  reports.reserve(aArray.size());
  for (const Json::Value& value : aArray) {
    instance_report report;
    report.mInstance = ReadString(value, "instance");
    report.mFailureDomain = ReadString(value, "failure_domain");
    report.mRevision = ParseNumber(ReadString(value, "revision"), "revision");
    report.mAgeMs = ReadNumber(value, "age_ms");
    reports.push_back(report);
  }
  return reports;
}

Json::Value ReportsToJson(const std::vector<instance_report>& aReports)
{
  Json::Value array(Json::arrayValue);
  for (const instance_report& report : aReports) {
    Json::Value value(Json::objectValue);
    value["instance"] = report.mInstance;
    value["failure_domain"] = report.mFailureDomain;
    value["revision"] = std::to_string(report.mRevision);
    value["age_ms"] = static_cast<Json::UInt>(report.mAgeMs);
    array.append(value);
  }
  return array;
}

} // namespace rpc
} // namespace chervilpulley
