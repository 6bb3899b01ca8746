#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"

/// Reads JSON bodies; a value of the wrong type is a fault that names its key.
namespace chervilpulley::standin {

/// A JSON object whose values are read with a check of their type.
class json_body
{
public:
  /// Parses a body; a body that is no JSON object is a fault.
  explicit json_body(std::string_view aText);

  /// Each returns the default when the key is absent.
  std::uint64_t Number(std::string_view aKey, std::uint64_t aDefault = 0);
  bool Flag(std::string_view aKey, bool aDefault = false);
  std::string Text(std::string_view aKey, std::string_view aDefault = {});
  std::vector<std::string> Texts(std::string_view aKey);
  /// Makes the absence of a key a fault.
  void Require(std::string_view aKey);
  bool Has(std::string_view aKey) const { return mObject.contains(aKey); }

  /// The first fault; empty when all was well.
  const std::string& Error() const { return mError; }
  const boost::json::object& Object() const { return mObject; }

private:
  void SetError(std::string_view aKey, std::string_view aExpected);

  boost::json::object mObject;
  std::string mError;
};

/// `{"error":"..."}`.
net::http_reply ErrorReply(unsigned aStatus, std::string_view aMessage);
net::http_reply ObjectReply(unsigned aStatus, const boost::json::object& aObject);
/// A reply of JSON lines.
net::http_reply LinesReply(std::string aLines);

} // namespace chervilpulley::standin
