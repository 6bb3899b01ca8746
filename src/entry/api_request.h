#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "entry/api_error.h"

/// Parses and validates the JSON bodies of completion requests, so that malformed ones are refused before they use any
/// capacity.
namespace chervilpulley::entry {

/// The two completion interfaces: a plain prompt, or a list of chat messages.
enum class api_style
{
  Completion,
  Chat
};

/// A validated completion request.
struct completion_request
{
  api_style mStyle = api_style::Completion;
  std::string mModel;
  std::string mPrompt; ///< for a chat: all messages, one "role: content" line each
  std::uint32_t mMaxTokens = 16;
  bool mStream = false;
  bool mIncludeUsage = false; ///< the stream ends with a chunk that has the token usage
};

/// Estimates the tokens of a prompt as its number of words; engines use their own count.
std::uint32_t CountTokens(const std::string& aPrompt);

/// Parses a body. The error names the invalid field.
result<completion_request, api_error> ReadCompletionRequest(api_style aStyle, const std::string& aBody);

} // namespace chervilpulley::entry
