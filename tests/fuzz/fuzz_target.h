#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

/// The functions that each fuzz target defines, and helpers for them. LLVMFuzzerTestOneInput() is the entry point of
/// libFuzzer; driver.cpp calls it where libFuzzer is not linked.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace chervilpulley::fuzz {

/// Valid and nearly valid inputs, which the driver runs first and then mutates.
std::vector<std::string> SeedInputs();

/// Copies an input into a string; aData may be null if aSize is 0.
inline std::string ToText(const std::uint8_t* aData, std::size_t aSize)
{
  return aSize == 0 ? std::string() : std::string(reinterpret_cast<const char*>(aData), aSize);
}

/// Aborts the program if a property does not hold, so that the fuzzer reports the input.
inline void Require(bool aHolds, const char* aProperty)
{
  if (!aHolds) {
    std::fprintf(stderr, "property does not hold: %s\n", aProperty);
    std::abort();
  }
}

} // namespace chervilpulley::fuzz
