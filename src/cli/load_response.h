#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cli/load_results.h"

/// Parses responses that are not streamed, so that the load tool can detect incomplete or invalid ones.
namespace chervilpulley::cli {

/// A completion that was not streamed.
struct completion_response
{
  std::string mId;
  std::string mText;
  std::string mFinishReason;
  std::uint32_t mTokens = 0;
};

/// Parses the body of a completion; nothing when a field of the API is missing or has the wrong type.
std::optional<completion_response> ParseCompletion(const std::string& aBody);

/// The outcome of a call whose response has this error body.
call_outcome OutcomeOfError(const std::string& aBody);

} // namespace chervilpulley::cli
