#pragma once

#include <jsonrpccpp/common/jsonparser.h>

#include <string>
#include <vector>

#include "rpc/peer_messages.h"

/// JSON fields of control calls; private to src/rpc. 64-bit numbers are encoded as strings.
namespace chervilpulley {
namespace rpc {

/// Thrown when a field is absent or does not match the schema.
class invalid_field : public std::exception
{
public:
  explicit invalid_field(const std::string& aName);
  const char* what() const noexcept override;

private:
  std::string mText;
};

/// The functions that read throw invalid_field. ParseNumber reads a 64-bit number from a string, and the other
/// functions read or write the field of the given name.
std::string ReadString(const Json::Value& aObject, const char* aName);
std::uint32_t ReadNumber(const Json::Value& aObject, const char* aName);
std::uint64_t ParseNumber(const std::string& aText, const char* aName);
std::vector<std::string> ReadStrings(const Json::Value& aObject, const char* aName);
bool ReadBool(const Json::Value& aObject, const char* aName);
Json::Value StringsToJson(const std::vector<std::string>& aTexts);
std::vector<instance_report> ParseReports(const Json::Value& aArray, const char* aName);
Json::Value ReportsToJson(const std::vector<instance_report>& aReports);

} // namespace rpc
} // namespace chervilpulley
