#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "entry/api_error.h"

/// Bodies of completion requests.
namespace chervilpulley::entry {

/// Which of the two completion interfaces a caller uses.
enum class api_style
{
  Completion,
  Chat
};

/// What a caller asks of a model.
struct completion_request
{
  api_style mStyle = api_style::Completion;
  std::string mModel;
  std::string mPrompt; ///< of a chat: all messages, role by role
  std::uint32_t mMaxTokens = 16;
  bool mStream = false;
  bool mIncludeUsage = false; ///< a last chunk with the usage
};

/// Tokens of a prompt, by words; engines count their own.
std::uint32_t CountTokens(const std::string& aPrompt);

/// Reads a body; the error names the field that is wrong.
result<completion_request, api_error> ReadCompletionRequest(api_style aStyle, const std::string& aBody);

} // namespace chervilpulley::entry
