#include "link/frames.h"

namespace chervilpulley::link {

frame AttemptFrame(const request_id& aRequest, const policy::attempt_key& aAttempt)
{
  frame attemptFrame;
  attemptFrame.set_request(aRequest.Str());
  attemptFrame.set_attempt(static_cast<std::uint32_t>(aAttempt.mNumber.Value()));
  attemptFrame.set_nonce(aAttempt.mNonce);
  return attemptFrame;
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

bool SendFrame(connection* aConnection, const local_revision& aOwnRevision, frame aFrame)
{
  if (aConnection == nullptr) {
    return false;
  }
  aFrame.set_config_revision(aOwnRevision.mRevision);
  return aConnection->Send(aFrame.SerializeAsString());
}

bool ParseFrame(const std::string& aMessage, frame& aFrame)
{
  return aFrame.ParseFromString(aMessage) && aFrame.body_case() != frame::BODY_NOT_SET;
}

} // namespace chervilpulley::link
