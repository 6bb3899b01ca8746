#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/ids.h"
#include "generated/link.pb.h"
#include "link/link.h"
#include "policy/stage_progress.h"

/// Sending and reading frames.
namespace chervilpulley::link {

/// The revision of the configuration that this process has; it goes out with every frame.
class local_revision : public ref_counted
{
public:
  std::atomic<std::uint64_t> mRevision{ 0 };
};

/// A frame about one attempt, without a body.
frame AttemptFrame(const request_id& aRequest, const policy::attempt_key& aAttempt);
/// The attempt that a frame is about.
policy::attempt_key AttemptOf(const frame& aFrame);
/// The frame with the loss of an attempt as its body.
/// @param aInstance the stage at fault.
frame AttemptLostFrame(frame aFrame, const std::string& aInstance, const std::string& aMessage);
/// Stamps and sends a frame; false when the link is closed. A null link counts as closed.
bool SendFrame(connection* aLink, const local_revision& aBoard, frame aFrame);
/// Parses a message; false when it is not a frame.
bool ParseFrame(const std::string& aMessage, frame& aFrame);

} // namespace chervilpulley::link
