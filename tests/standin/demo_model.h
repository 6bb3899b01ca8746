#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/random.h"

/// The arithmetic of the stand-in model. Each token depends on the prompt, on the tokens before it and on every layer
/// having run exactly once and in order, so a layer that is skipped, run twice or run out of order changes the output.
namespace chervilpulley::standin {

/// Digest of the model's input up to a position: the prompt and all tokens before that position.
using context_digest = std::uint64_t;

/// Hashes a value into a state. Mixing the same values in another order gives another state.
inline std::uint64_t Mix(std::uint64_t aState, std::uint64_t aValue)
{
  std::uint64_t mixed = (aState * 0x9e3779b97f4a7c15ULL) ^ (aValue + 0x632be59bd9b4e019ULL);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

/// The context at position 0.
inline context_digest PromptContext(std::string_view aPrompt)
{
  return StableHash(aPrompt);
}

/// The context at the position after the one that generated aToken.
inline context_digest NextContext(context_digest aContext, std::string_view aToken)
{
  return Mix(aContext, StableHash(aToken));
}

/// The input of layer 0 at a position.
inline std::uint64_t InitialState(context_digest aContext, std::uint64_t aPosition)
{
  return Mix(aContext, aPosition);
}

/// Runs the layers aFirst to aLast, both inclusive.
inline std::uint64_t RunLayers(std::uint64_t aState, std::uint32_t aFirst, std::uint32_t aLast)
{
  for (std::uint32_t layer = aFirst; layer <= aLast; ++layer) {
    aState = Mix(aState, layer + 1);
  }
  return aState;
}

/// Decodes the output of the last layer into a token. Some tokens contain non-ASCII characters.
inline std::string TokenFromState(std::uint64_t aState)
{
  static constexpr std::array<std::string_view, 32> kSyllables = { "ba", "ca", "da", "dŵr", "e",    "fa", "ga", "gwy",
                                                                   "ha", "i",  "ja", "la",  "llan", "ma", "mi", "na",
                                                                   "ni", "o",  "pa", "pen", "ra",   "ri", "sa", "so",
                                                                   "ta", "tŷ", "to", "u",   "wa",   "wi", "ya", "yn" };
  std::string token;
  for (unsigned shift : { 0U, 8U, 16U }) {
    token += kSyllables[(aState >> shift) % kSyllables.size()];
  }
  return token + " ";
}

/// The token that a run without faults generates at a position.
inline std::string ExpectedToken(context_digest aContext, std::uint64_t aPosition, std::uint32_t aLayerCount)
{
  return TokenFromState(RunLayers(InitialState(aContext, aPosition), 0, aLayerCount - 1));
}

/// The complete output of a run without faults.
inline std::string ExpectedOutput(std::string_view aPrompt, std::uint64_t aMaxTokens, std::uint32_t aLayerCount)
{
  std::string output;
  context_digest context = PromptContext(aPrompt);
  for (std::uint64_t position = 0; position < aMaxTokens; ++position) {
    const std::string token = ExpectedToken(context, position, aLayerCount);
    output += token;
    context = NextContext(context, token);
  }
  return output;
}

} // namespace chervilpulley::standin
