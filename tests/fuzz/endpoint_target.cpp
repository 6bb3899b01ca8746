#include "fuzz/fuzz_target.h"
#include "net/endpoint.h"

using namespace chervilpulley;

std::vector<std::string> fuzz::SeedInputs()
{
  return { "127.0.0.1:80", "[::1]:65535", "::1:80", "localhost:1", "[fe80::1%1]:0" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto read = net::ParseEndpoint(fuzz::TextOf(aData, aSize));
  if (read.has_value()) {
    const auto again = net::ParseEndpoint(read.value().Str());
    fuzz::Require(again.has_value() && again.value() == read.value(),
                  "an address that was read is written to the same");
  }
  return 0;
}
