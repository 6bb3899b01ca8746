#pragma once

#include <cstdint>
#include <string>

#include "entry/api_request.h"

/// JSON bodies of the replies to completion requests, complete or as chunks of an event stream.
namespace chervilpulley::entry {

/// The fields that all chunks of one completion share.
struct completion_identity
{
  api_style mStyle = api_style::Completion;
  std::string mId;
  std::string mModel;
  std::int64_t mCreatedUnix = 0; ///< seconds
};

/// Token counts that are reported to the caller.
struct token_usage
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/// JSON of one streamed chunk. An empty finish reason is written as null.
std::string ChunkJson(const completion_identity& aIdentity, const std::string& aText, const std::string& aFinishReason);
/// JSON of the last chunk, which has the usage and an empty list of choices.
std::string UsageChunkJson(const completion_identity& aIdentity, const token_usage& aUsage);
/// JSON of a completion that is sent in one reply.
std::string CompletionJson(const completion_identity& aIdentity,
                           const std::string& aText,
                           const std::string& aFinishReason,
                           const token_usage& aUsage);
/// Text of one server-sent event. If the id is empty, the event has no id line.
std::string Event(const std::string& aId, const std::string& aData);

} // namespace chervilpulley::entry
