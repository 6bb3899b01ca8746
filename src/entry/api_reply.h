#pragma once

#include <cstdint>
#include <string>

#include "entry/api_request.h"

/// Answers to completion requests, whole and as streamed chunks.
namespace chervilpulley::entry {

/// What all chunks of one answer share.
struct completion_identity
{
  api_style mStyle = api_style::Completion;
  std::string mId;
  std::string mModel;
  std::int64_t mCreatedUnix = 0; ///< seconds
};

struct token_usage
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/// JSON of one streamed chunk; an empty finish reason is null.
std::string ChunkJson(const completion_identity& aIdentity, const std::string& aText, const std::string& aFinishReason);
/// JSON of the last chunk, which has no choices but the usage.
std::string UsageChunkJson(const completion_identity& aIdentity, const token_usage& aUsage);
/// JSON of a whole answer.
std::string CompletionJson(const completion_identity& aIdentity,
                           const std::string& aText,
                           const std::string& aFinishReason,
                           const token_usage& aUsage);
/// One server-sent event; an empty id leaves the id out.
std::string Event(const std::string& aId, const std::string& aData);

} // namespace chervilpulley::entry
