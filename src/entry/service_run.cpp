#include "entry/service_run.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "chervilpulley/config.h"

namespace chervilpulley::entry {

namespace {

constexpr part_log kLog("entry");
constexpr duration kSilenceCheck = std::chrono::milliseconds(100);
constexpr duration kRetryAfter = std::chrono::seconds(1);
/// How long a call waits for a sidecar that is listed and not linked yet, as in a roll-out, when the last of the others
/// has just begun to leave. A link is made within milliseconds, and tried again after 100.
constexpr duration kLinkWait = std::chrono::milliseconds(500);
constexpr duration kLinkPause = std::chrono::milliseconds(10);

/// Refusals that say something of the call, not of the sidecar: no other sidecar would decide otherwise.
bool IsFinal(const link::refusal& aRefusal)
{
  switch (aRefusal.reason()) {
    case link::REFUSAL_KEY_REUSED:
    case link::REFUSAL_KEY_TOO_OLD:
    case link::REFUSAL_BAD_REQUEST:
    case link::REFUSAL_PLATFORM_DOWN:
      return true;
    default:
      return aRefusal.outcome() != link::OUTCOME_NOT_RUN;
  }
}

} // namespace

service_run::service_run(request_router& aRouter, ref<request_mailbox> aMailbox, service_order aOrder)
  : mRouter(aRouter)
  , mMailbox(std::move(aMailbox))
  , mOrder(std::move(aOrder))
  , mAttempt{ attempt_number(0), RandomNumber() }
{
}

bool service_run::MayRepeat() const
{
  return mOrder.mCall.idempotent() || !mOrder.mCall.idempotency_key().empty();
}

boost::asio::awaitable<service_result> service_run::Run()
{
  for (std::uint32_t i = 0; i < kMaxAttempts; ++i) {
    const provider_wish wish{ mOrder.mPool, "", 0, 1, mExcluded, {} };
    mProvider = mRouter.Choose(wish);
    const instant until = std::min(Now() + kLinkWait, mOrder.mDeadline);
    while (!mProvider && Now() < until && mRouter.IsAwaited(wish)) {
      co_await mMailbox->Pop(Now() + kLinkPause);
      mProvider = mRouter.Choose(wish);
    }
    if (!mProvider) {
      break;
    }
    mAttempt.mNumber = mAttempt.mNumber.Next();
    mProvider->Began();
    const auto answer = co_await CallOnce();
    mProvider->Ended();
    if (answer) {
      co_return *answer;
    }
    mExcluded.insert(mProvider->Instance().Str());
  }
  co_return NoProvider();
}

boost::asio::awaitable<std::optional<service_result>> service_run::CallOnce()
{
  link::frame call = Frame();
  *call.mutable_call() = mOrder.mCall;
  call.mutable_call()->set_deadline_ms(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(mOrder.mDeadline - Now()).count()));
  mLink = mProvider->Link();
  if (!mRouter.Links().SendOver(mLink, std::move(call))) {
    co_return std::nullopt;
  }
  while (true) {
    const auto event = co_await mMailbox->Pop(std::min(Now() + kSilenceCheck, mOrder.mDeadline));
    if (Now() >= mOrder.mDeadline) {
      co_return service_result(
        api_error{ 504, "timeout_error", "the call's deadline has passed", link::OUTCOME_UNKNOWN, std::nullopt });
    }
    if (!event) {
      if (IsProviderSilent()) {
        co_return OnProviderLost();
      }
      continue;
    }
    if (event->mKind == request_event::kind::ProviderLost && event->mProvider == mProvider) {
      co_return OnProviderLost();
    }
    const bool isOurs = event->mKind == request_event::kind::Frame && link::AttemptOf(event->mFrame) == mAttempt;
    if (isOurs) {
      co_return OnFrame(event->mFrame);
    }
  }
}

std::optional<service_result> service_run::OnFrame(const link::frame& aFrame)
{
  if (aFrame.has_reply()) {
    return service_result(aFrame.reply());
  }
  if (!aFrame.has_refused()) {
    return std::nullopt;
  }
  const link::refusal& refusal = aFrame.refused();
  kLog.Request(mOrder.mRequest.Str(), "{} refused: {}.", mProvider->Instance().Str(), refusal.message());
  mLastRefusal = refusal;
  mMayHaveRun |= refusal.outcome() != link::OUTCOME_NOT_RUN;
  const bool mayGoOn = refusal.outcome() == link::OUTCOME_UNKNOWN && mOrder.mCall.idempotent();
  if (IsFinal(refusal) && !mayGoOn) {
    return service_result(Known(FromRefusal(refusal)));
  }
  return std::nullopt;
}

api_error service_run::Known(api_error aError) const
{
  // What a sidecar did not run, one that was lost before may have run.
  if (mMayHaveRun && aError.mOutcome == link::OUTCOME_NOT_RUN) {
    aError.mOutcome = link::OUTCOME_UNKNOWN;
    aError.mStatus = 504;
  }
  return aError;
}

std::optional<service_result> service_run::OnProviderLost()
{
  const std::string& name = mProvider->Instance().Str();
  kLog.Request(mOrder.mRequest.Str(), "Lost sidecar {} during a call.", name);
  mMayHaveRun = true;
  if (MayRepeat()) {
    return std::nullopt;
  }
  return service_result(api_error{ 504,
                                   "server_error",
                                   "sidecar \"" + name + "\" was lost during the call, which may have run",
                                   link::OUTCOME_UNKNOWN,
                                   std::nullopt });
}

bool service_run::IsProviderSilent() const
{
  if (mProvider->Link() != mLink) {
    return true;
  }
  if (mLink->TimeSinceLastReceive() > mOrder.mStallFloor / 2) {
    mRouter.Links().Probe(mProvider);
  }
  return mLink->TimeSinceLastReceive() > mOrder.mStallFloor;
}

service_result service_run::NoProvider() const
{
  api_error error{ 503, "server_error", "", link::OUTCOME_NOT_RUN, kRetryAfter };
  error.mMessage = "no backend server of route \"" + mOrder.mCall.route() + "\" takes calls now";
  if (mLastRefusal) {
    error = FromRefusal(*mLastRefusal);
  }
  return Known(std::move(error));
}

link::frame service_run::Frame() const
{
  return link::AttemptFrame(mOrder.mRequest, mAttempt);
}

} // namespace chervilpulley::entry
