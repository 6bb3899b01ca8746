#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

/// What a fuzz target defines. The entry is libFuzzer's; the driver here calls it where libFuzzer is not linked.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace chervilpulley::fuzz {

/// Inputs that the driver starts from.
std::vector<std::string> SeedInputs();

inline std::string ToText(const std::uint8_t* aData, std::size_t aSize)
{
  return aSize == 0 ? std::string() : std::string(reinterpret_cast<const char*>(aData), aSize);
}

/// Ends the program when a property of a decoder does not hold.
inline void Require(bool aHolds, const char* aProperty)
{
  if (!aHolds) {
    std::fprintf(stderr, "property does not hold: %s\n", aProperty);
    std::abort();
  }
}

} // namespace chervilpulley::fuzz
