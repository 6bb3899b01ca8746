#pragma once

#include <jsonrpccpp/common/jsonparser.h>

#include <string>
#include <vector>

#include "rpc/peer_messages.h"

/// Fields of control calls in JSON. Numbers of 64 bits travel as text. For src/rpc/*.cpp only.
namespace chervilpulley {
namespace rpc {

/// A field is absent, or is not what the schema says.
class bad_field : public std::exception
{
public:
  explicit bad_field(const std::string& aName);
  const char* what() const noexcept override;

private:
  std::string mText;
};

/// Each throws bad_field.
std::string ReadText(const Json::Value& aObject, const char* aName);
std::uint32_t ReadNumber(const Json::Value& aObject, const char* aName);
std::uint64_t ParseNumber(const std::string& aText, const char* aName);
std::vector<std::string> ReadTexts(const Json::Value& aObject, const char* aName);
bool ReadFlag(const Json::Value& aObject, const char* aName);
Json::Value TextsToJson(const std::vector<std::string>& aTexts);
std::vector<instance_report> ParseReports(const Json::Value& aArray, const char* aName);
Json::Value ReportsToJson(const std::vector<instance_report>& aReports);

} // namespace rpc
} // namespace chervilpulley
