#include "net/http.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace chervilpulley::net {

namespace {

int HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(aDigit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isEscape = aText[i] == '%' && i + 2 < aText.size();
    if (isEscape && HexValue(aText[i + 1]) >= 0 && HexValue(aText[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexValue(aText[i + 1]) * 16 + HexValue(aText[i + 2])));
      i += 2;
    } else {
      decoded.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return decoded;
}

constexpr char kHexDigits[] = "0123456789ABCDEF";

bool IsUnescaped(char aCharacter)
{
  const bool letter = (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool digit = aCharacter >= '0' && aCharacter <= '9';
  return letter || digit || std::string_view("-._~/").find(aCharacter) != std::string_view::npos;
}

} // namespace

bool EqualNames(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aL, char aR) {
    return std::tolower(static_cast<unsigned char>(aL)) == std::tolower(static_cast<unsigned char>(aR));
  });
}

bool IsHopByHop(std::string_view aName)
{
  static constexpr std::array<std::string_view, 9> kNames{ "Connection",        "Keep-Alive",     "Proxy-Connection",
                                                           "Transfer-Encoding", "Content-Length", "TE",
                                                           "Trailer",           "Upgrade",        "Expect" };
  return std::any_of(
    kNames.begin(), kNames.end(), [&](std::string_view aHopByHop) { return EqualNames(aName, aHopByHop); });
}

void http_headers::Add(std::string_view aName, std::string_view aValue)
{
  mAll.push_back({ std::string(aName), std::string(aValue) });
}

void http_headers::Set(std::string_view aName, std::string_view aValue)
{
  for (http_header& header : mAll) {
    if (EqualNames(header.mName, aName)) {
      header.mValue = aValue;
      return;
    }
  }
  mAll.push_back({ std::string(aName), std::string(aValue) });
}

std::string_view http_headers::Get(std::string_view aName) const
{
  for (const http_header& header : mAll) {
    if (EqualNames(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

bool http_headers::Has(std::string_view aName) const
{
  return std::any_of(
    mAll.begin(), mAll.end(), [&](const http_header& aHeader) { return EqualNames(aHeader.mName, aName); });
}

void http_headers::Remove(std::string_view aName)
{
  std::erase_if(mAll, [&](const http_header& aHeader) { return EqualNames(aHeader.mName, aName); });
}

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string PercentEncode(std::string_view aText)
{
  std::string encoded;
  for (const char character : aText) {
    if (IsUnescaped(character)) {
      encoded.push_back(character);
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4U]);
    encoded.push_back(kHexDigits[byte & 15U]);
  }
  return encoded;
}

std::optional<std::string> QueryValue(std::string_view aTarget, std::string_view aName)
{
  const auto queryStart = aTarget.find('?');
  std::string_view query = queryStart == std::string_view::npos ? "" : aTarget.substr(queryStart + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? std::string() : PercentDecode(pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

http_reply JsonReply(unsigned aStatus, std::string aBody)
{
  http_reply reply;
  reply.mStatus = aStatus;
  reply.mHeaders.Set("Content-Type", "application/json");
  reply.mBody = std::move(aBody);
  return reply;
}

} // namespace chervilpulley::net
