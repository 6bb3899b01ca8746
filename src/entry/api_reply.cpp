#include "entry/api_reply.h"

#include <boost/json.hpp>

namespace chervilpulley::entry {

namespace {

namespace json = boost::json;

json::object CommonFields(const completion_identity& aIdentity, bool aIsChunk)
{
  json::object fields;
  fields["id"] = aIdentity.mId;
  if (aIdentity.mStyle == api_style::Chat) {
    fields["object"] = aIsChunk ? "chat.completion.chunk" : "chat.completion";
  } else {
    fields["object"] = "text_completion";
  }
  fields["created"] = aIdentity.mCreatedUnix;
  fields["model"] = aIdentity.mModel;
  return fields;
}

json::value Reason(const std::string& aFinishReason)
{
  return aFinishReason.empty() ? json::value(nullptr) : json::value(aFinishReason);
}

json::object Usage(const token_usage& aUsage)
{
  json::object usage;
  usage["prompt_tokens"] = aUsage.mPromptTokens;
  usage["completion_tokens"] = aUsage.mCompletionTokens;
  usage["total_tokens"] = aUsage.mPromptTokens + aUsage.mCompletionTokens;
  return usage;
}

} // namespace

std::string ChunkJson(const completion_identity& aIdentity, const std::string& aText, const std::string& aFinishReason)
{
  json::object choice;
  choice["index"] = 0;
  if (aIdentity.mStyle == api_style::Chat) {
    choice["delta"] = json::object{ { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  choice["finish_reason"] = Reason(aFinishReason);
  json::object chunk = CommonFields(aIdentity, true);
  chunk["choices"] = json::array{ choice };
  return json::serialize(chunk);
}

std::string UsageChunkJson(const completion_identity& aIdentity, const token_usage& aUsage)
{
  json::object chunk = CommonFields(aIdentity, true);
  chunk["choices"] = json::array();
  chunk["usage"] = Usage(aUsage);
  return json::serialize(chunk);
}

std::string CompletionJson(const completion_identity& aIdentity,
                           const std::string& aText,
                           const std::string& aFinishReason,
                           const token_usage& aUsage)
{
  json::object choice;
  choice["index"] = 0;
  if (aIdentity.mStyle == api_style::Chat) {
    choice["message"] = json::object{ { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  choice["finish_reason"] = Reason(aFinishReason);
  json::object completion = CommonFields(aIdentity, false);
  completion["choices"] = json::array{ choice };
  completion["usage"] = Usage(aUsage);
  return json::serialize(completion);
}

std::string Event(const std::string& aId, const std::string& aData)
{
  return (aId.empty() ? "" : "id: " + aId + "\n") + "data: " + aData + "\n\n";
}

} // namespace chervilpulley::entry
