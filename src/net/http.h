#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 requests and replies as plain values; nothing here names the HTTP library.
namespace chervilpulley::net {

struct http_header
{
  std::string mName;
  std::string mValue;
};

/// Headers in the order they came; names compare without case.
class http_headers
{
public:
  /// Adds a header behind the others, also where one of that name is there.
  void Add(std::string_view aName, std::string_view aValue);
  /// Adds a header, or replaces the value of the one of that name.
  void Set(std::string_view aName, std::string_view aValue);
  /// Value of a header; empty when there is none.
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

/// The path of a target, without its query.
std::string_view PathOf(std::string_view aTarget);
/// A value from the target's query, decoded; nothing when it is absent.
std::optional<std::string> QueryValue(std::string_view aTarget, std::string_view aName);
/// Whether two names of headers are the same; case does not count.
bool EqualNames(std::string_view aLeft, std::string_view aRight);
/// Whether a header concerns one connection only, or the framing of a message on it.
bool IsHopByHop(std::string_view aName);
/// A reply with a JSON body.
http_reply JsonReply(unsigned aStatus, std::string aBody);

} // namespace chervilpulley::net
