/// Fuzzes the parser of network addresses.

#include "fuzz/fuzz_target.h"
#include "net/endpoint.h"

using namespace chervilpulley;

std::vector<std::string> fuzz::SeedInputs()
{
  return { "127.0.0.1:80", "[::1]:65535", "::1:80", "localhost:1", "[fe80::1%1]:0" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto parsed = net::ParseEndpoint(fuzz::ToText(aData, aSize));
  if (parsed.has_value()) {
    const auto reparsed = net::ParseEndpoint(parsed.value().Str());
    fuzz::Require(reparsed.has_value() && reparsed.value() == parsed.value(), "a parsed address survives a round trip");
  }
  return 0;
}
