#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilpulley/ids.h"

/// Ids of streamed events: they say where a stream can be taken up again, and are signed.
namespace chervilpulley::entry {

/// What an event id says.
struct event_id
{
  request_id mRequest;
  token_position mNext; ///< first position that the caller does not have
  instance_id mHead;    ///< sidecar that keeps the stream
  workspace_id mWorkspace;
};

/// The id as text.
/// @param aKey key that the entries share.
std::string WriteEventId(const event_id& aId, std::string_view aKey);
/// Reads an id; nothing when it is malformed or its signature is wrong.
std::optional<event_id> ReadEventId(std::string_view aText, std::string_view aKey);

} // namespace chervilpulley::entry
