#include "entry/prompt_traits.h"

#include <string_view>

#include "base/random.h"

namespace chervilpulley::entry {

namespace {

/// Lengths in bytes: multiples of kStep up to kFineEnd, then doubled up to kLongest.
constexpr std::size_t kStep = 16;
constexpr std::size_t kFineEnd = 256;
constexpr std::size_t kLongest = 4096;

} // namespace

std::vector<run_trait> PromptTraits(const std::string& aModel, const std::string& aPrompt, request_digest aRequest)
{
  std::vector<run_trait> traits;
  const std::string begin = "beginning\n" + aModel + "\n";
  std::size_t length = kStep;
  while (length < aPrompt.size() && length <= kLongest) {
    traits.emplace_back(StableHash(begin + aPrompt.substr(0, length)));
    length = length < kFineEnd ? length + kStep : length * 2;
  }
  traits.emplace_back(aRequest.Value());
  return traits;
}

} // namespace chervilpulley::entry
