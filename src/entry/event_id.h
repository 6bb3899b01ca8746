#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilpulley/ids.h"

/// Ids of streamed events. A caller that lost its connection sends the last id to any entry, which resumes the stream
/// there. The ids are signed, so that a caller cannot forge one for another stream or workspace.
namespace chervilpulley::entry {

/// The position in a stream that an event id encodes.
struct event_id
{
  request_id mRequest;
  token_position mNext; ///< first position that the caller has not received
  instance_id mHead;    ///< first sidecar of the chain; it keeps the state of the stream
  workspace_id mWorkspace;
};

/// Encodes and signs an id.
/// @param aKey secret that all entries share.
std::string WriteEventId(const event_id& aId, std::string_view aKey);
/// Decodes an id; nullopt if it is malformed or its signature is wrong.
std::optional<event_id> ReadEventId(std::string_view aText, std::string_view aKey);

} // namespace chervilpulley::entry
