#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"

/// Reads the JSON bodies of calls to the stand-ins. A missing value or one of the wrong type gives an error message
/// that names its key, so that a mistake in a test shows in the response.
namespace chervilpulley::standin {

/// A JSON object with type-checked access to its values.
class json_body
{
public:
  /// Parses a body. Sets the error if it is not a JSON object.
  explicit json_body(std::string_view aText);

  /// Each returns the default if the key is absent; a value of the wrong type also sets the error.
  std::uint64_t Number(std::string_view aKey, std::uint64_t aDefault = 0);
  bool Flag(std::string_view aKey, bool aDefault = false);
  std::string Text(std::string_view aKey, std::string_view aDefault = {});
  std::vector<std::string> Texts(std::string_view aKey);
  /// Sets the error if the key is absent.
  void Require(std::string_view aKey);
  bool Has(std::string_view aKey) const { return mObject.contains(aKey); }

  /// The first error found; empty if there is none.
  const std::string& Error() const { return mError; }
  const boost::json::object& Object() const { return mObject; }

private:
  /// Stores "KEY must be EXPECTED", unless an earlier error is stored.
  void SetError(std::string_view aKey, std::string_view aExpected);

  boost::json::object mObject;
  std::string mError;
};

/// A reply with the body `{"error":"..."}`.
net::http_reply ErrorReply(unsigned aStatus, std::string_view aMessage);
net::http_reply ObjectReply(unsigned aStatus, const boost::json::object& aObject);
/// A reply whose body is JSON lines.
net::http_reply LinesReply(std::string aLines);

} // namespace chervilpulley::standin
