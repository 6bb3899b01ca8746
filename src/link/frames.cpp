#include "link/frames.h"

namespace chervilpulley::link {

frame AttemptFrame(const request_id& aRequest, const policy::attempt_key& aAttempt)
{
  frame made;
  made.set_request(aRequest.Str());
  made.set_attempt(static_cast<std::uint32_t>(aAttempt.mNumber.Value()));
  made.set_nonce(aAttempt.mNonce);
  return made;
}

policy::attempt_key AttemptOf(const frame& aFrame)
{
  return { attempt_number(aFrame.attempt()), aFrame.nonce() };
}

frame AttemptLostFrame(frame aFrame, const std::string& aInstance, const std::string& aMessage)
{
  aFrame.mutable_lost()->set_instance(aInstance);
  aFrame.mutable_lost()->set_message(aMessage);
  return aFrame;
}

bool SendFrame(connection* aLink, const local_revision& aBoard, frame aFrame)
{
  if (aLink == nullptr) {
    return false;
  }
  aFrame.set_config_revision(aBoard.mRevision);
  return aLink->Send(aFrame.SerializeAsString());
}

bool ParseFrame(const std::string& aMessage, frame& aFrame)
{
  return aFrame.ParseFromString(aMessage) && aFrame.body_case() != frame::BODY_NOT_SET;
}

} // namespace chervilpulley::link
