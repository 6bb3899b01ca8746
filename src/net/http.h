#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 requests and responses as plain values, independent of the HTTP library.
namespace chervilpulley::net {

struct http_header
{
  std::string mName;
  std::string mValue;
};

/// Headers in the order received. Names are case-insensitive.
class http_headers
{
public:
  /// Appends a header, even if one with this name exists.
  void Add(std::string_view aName, std::string_view aValue);
  /// Replaces the value of the first header with this name, or appends a header.
  void Set(std::string_view aName, std::string_view aValue);
  /// Value of the first header with this name; empty when there is none.
  std::string_view Get(std::string_view aName) const;
  bool Has(std::string_view aName) const;
  void Remove(std::string_view aName);
  const std::vector<http_header>& All() const { return mAll; }

private:
  std::vector<http_header> mAll;
};

struct http_request
{
  std::string mMethod = "GET";
  std::string mTarget = "/"; ///< path and query, as sent
  http_headers mHeaders;
  std::string mBody;
};

struct http_reply
{
  unsigned mStatus = 200;
  http_headers mHeaders;
  std::string mBody;
};

/// The path of a request target, without its query.
std::string_view PathOf(std::string_view aTarget);
/// Encodes a text for the path or the query of a request target; slashes stay.
std::string PercentEncode(std::string_view aText);
/// Decoded value of a query parameter; nullopt when it is absent.
std::optional<std::string> QueryValue(std::string_view aTarget, std::string_view aName);
/// Compares header names, ignoring case.
bool EqualNames(std::string_view aLeft, std::string_view aRight);
/// Whether a header applies to one connection only, or to the framing of its messages; such headers are not forwarded.
bool IsHopByHop(std::string_view aName);
/// Makes a response with a JSON body.
http_reply JsonReply(unsigned aStatus, std::string aBody);

} // namespace chervilpulley::net
