#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/ids.h"
#include "generated/link.pb.h"
#include "link/link.h"
#include "policy/stage_progress.h"

/// Builds, sends and parses the frames that travel over links.
/// A malformed message is reported to the caller, which closes the link.
namespace chervilpulley::link {

/// Revision of the configuration that this process has. Every frame carries it, so that peers notice newer ones.
class local_revision : public ref_counted
{
public:
  std::atomic<std::uint64_t> mRevision{ 0 };
};

/// Makes a frame for an attempt, without a body.
frame AttemptFrame(const request_id& aRequest, const policy::attempt_key& aAttempt);
/// The attempt that a frame belongs to.
policy::attempt_key AttemptOf(const frame& aFrame);
/// Adds a body to a frame that reports its attempt as lost.
/// @param aInstance instance whose stage failed.
frame AttemptLostFrame(frame aFrame, const std::string& aInstance, const std::string& aMessage);
/// Sets the configuration revision of a frame and sends it; false when the link is closed. A null link counts as
/// closed.
bool SendFrame(connection* aConnection, const local_revision& aOwnRevision, frame aFrame);
/// Parses a message; false when it is malformed or has no body.
bool ParseFrame(const std::string& aMessage, frame& aFrame);

} // namespace chervilpulley::link
