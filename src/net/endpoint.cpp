#include "net/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace chervilpulley::net {

namespace {

bool IsIpAddress(const std::string& aText)
{
  if (aText.find('\0') != std::string::npos) {
    return false; // inet_pton reads no further
  }
  unsigned char bytes[sizeof(in6_addr)];
  return inet_pton(AF_INET, aText.c_str(), bytes) == 1 || inet_pton(AF_INET6, aText.c_str(), bytes) == 1;
}

net_error BadAddress(std::string_view aText)
{
  return { net_errc::BadAddress, "address \"" + std::string(aText) + "\" is not ip:port" };
}

} // namespace

std::string endpoint::Str() const
{
  const bool isIp6 = mAddress.find(':') != std::string::npos;
  const std::string host = isIp6 ? "[" + mAddress + "]" : mAddress;
  return host + ":" + std::to_string(mPort);
}

net_result<endpoint> ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddress(aText);
  }
  std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port = aText.substr(colon + 1);
  endpoint parsed{ std::string(host), 0 };
  const auto number = std::from_chars(port.data(), port.data() + port.size(), parsed.mPort);
  const bool isNumber = number.ec == std::errc() && number.ptr == port.data() + port.size();
  if (!isNumber || !IsIpAddress(parsed.mAddress)) {
    return BadAddress(aText);
  }
  return parsed;
}

} // namespace chervilpulley::net
