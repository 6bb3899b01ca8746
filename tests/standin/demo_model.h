#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/random.h"

/// The arithmetic of the stand-in model. Each token depends on the prompt, on the tokens before it and on each layer
/// having run once and in order, so a layer that is skipped, doubled or out of order shows in the answer.
namespace chervilpulley::standin {

/// What has been read so far: the prompt and the tokens below a position.
using context_digest = std::uint64_t;

/// Combines a state with the next value; the order matters.
inline std::uint64_t Mix(std::uint64_t aState, std::uint64_t aValue)
{
  std::uint64_t mixed = (aState * 0x9e3779b97f4a7c15ULL) ^ (aValue + 0x632be59bd9b4e019ULL);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

/// Context of position 0.
inline context_digest PromptContext(std::string_view aPrompt)
{
  return StableHash(aPrompt);
}

/// Context of the position after the one that yielded aToken.
inline context_digest NextContext(context_digest aContext, std::string_view aToken)
{
  return Mix(aContext, StableHash(aToken));
}

/// What goes into layer 0 at a position.
inline std::uint64_t InitialState(context_digest aContext, std::uint64_t aPosition)
{
  return Mix(aContext, aPosition);
}

/// Runs the layers from aFirst to aLast, both included.
inline std::uint64_t RunLayers(std::uint64_t aState, std::uint32_t aFirst, std::uint32_t aLast)
{
  for (std::uint32_t layer = aFirst; layer <= aLast; ++layer) {
    aState = Mix(aState, layer + 1);
  }
  return aState;
}

/// The token that the last layer's state stands for. Some are not ASCII.
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

/// The token at a position of an undisturbed run.
inline std::string ExpectedToken(context_digest aContext, std::uint64_t aPosition, std::uint32_t aLayerCount)
{
  return TokenFromState(RunLayers(InitialState(aContext, aPosition), 0, aLayerCount - 1));
}

/// The whole answer of an undisturbed run.
inline std::string ExpectedOutput(std::string_view aPrompt, std::uint64_t aMaxTokens, std::uint32_t aLayerCount)
{
  std::string answer;
  context_digest context = PromptContext(aPrompt);
  for (std::uint64_t position = 0; position < aMaxTokens; ++position) {
    const std::string token = ExpectedToken(context, position, aLayerCount);
    answer += token;
    context = NextContext(context, token);
  }
  return answer;
}

} // namespace chervilpulley::standin
