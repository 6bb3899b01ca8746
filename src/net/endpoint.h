#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "net/net_error.h"

/// Numeric addresses of processes; host names are not resolved.
namespace chervilpulley::net {

/// An IP address and port.
struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  /// "ip:port", or "[ip]:port" for IPv6.
  std::string Str() const;
  auto operator<=>(const endpoint&) const = default; // NOLINT(modernize-use-nullptr): taken wrongly by clang-tidy 14
};

/// Parses "ip:port" or "[ip]:port"; host names are rejected.
net_result<endpoint> ParseEndpoint(std::string_view aText);

} // namespace chervilpulley::net

template<>
struct std::hash<chervilpulley::net::endpoint>
{
  std::size_t operator()(const chervilpulley::net::endpoint& aEndpoint) const noexcept
  {
    return std::hash<std::string>{}(aEndpoint.mAddress) * 31 + aEndpoint.mPort;
  }
};
