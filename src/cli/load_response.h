#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cli/load_results.h"

/// Answers that come whole, as a caller reads them.
namespace chervilpulley::cli {

/// The text of a whole completion, and how many tokens it has.
struct completion_response
{
  std::string mId;
  std::string mText;
  std::string mFinishReason;
  std::uint32_t mTokens = 0;
};

/// Reads the body of a completion; nothing when it is not what the interface says.
std::optional<completion_response> ParseCompletion(const std::string& aBody);

/// How a call ended whose answer is this error body.
call_outcome OutcomeOfError(const std::string& aBody);

} // namespace chervilpulley::cli
