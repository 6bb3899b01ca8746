#include "entry/service_run.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "chervilpulley/config.h"

namespace chervilpulley::entry {

namespace {

constexpr part_log kLog("entry");
constexpr duration kSilenceCheckInterval = std::chrono::milliseconds(100);
constexpr duration kRetryAfter = std::chrono::seconds(1);
/// Time for which a call waits for a sidecar that is listed but not linked yet, as in a roll-out when the last of the
/// old sidecars has just begun to leave. A link is established within milliseconds, and a failed one
/// is retried after 100 ms.
constexpr duration kLinkWait = std::chrono::milliseconds(500);
constexpr duration kLinkPollInterval = std::chrono::milliseconds(10);

/// Whether a refusal is due to the call and not to the sidecar, so that every other sidecar would refuse as well.
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

service_run::service_run(request_router& aRouter, ref<request_mailbox> aMailbox, service_job aJob)
  : mRouter(aRouter)
  , mMailbox(std::move(aMailbox))
  , mJob(std::move(aJob))
  , mAttempt{ attempt_number(0), RandomNumber() }
{
}

bool service_run::MayRetry() const
{
  return mJob.mCall.idempotent() || !mJob.mCall.idempotency_key().empty();
}

boost::asio::awaitable<service_result> service_run::Run()
{
  for (std::uint32_t i = 0; i < kMaxAttempts; ++i) {
    const provider_query query{ mJob.mPool, "", 0, 1, mExcluded, {} };
    mProvider = mRouter.Choose(query);
    const instant until = std::min(Now() + kLinkWait, mJob.mDeadline);
    while (!mProvider && Now() < until && mRouter.IsAwaited(query)) {
      const auto event = co_await mMailbox->Pop(Now() + kLinkPollInterval);
      if (event && event->mKind == request_event::kind::Stopping) {
        co_return service_result(CorrectOutcome(StoppingError()));
      }
      mProvider = mRouter.Choose(query);
    }
    if (!mProvider) {
      break;
    }
    mAttempt.mNumber = mAttempt.mNumber.Next();
    mProvider->Began();
    const auto response = co_await CallOnce();
    mProvider->Ended();
    if (response) {
      co_return *response;
    }
    mExcluded.insert(mProvider->Instance().Str());
  }
  co_return NoProviderError();
}

boost::asio::awaitable<std::optional<service_result>> service_run::CallOnce()
{
  link::frame call = Frame();
  *call.mutable_call() = mJob.mCall;
  call.mutable_call()->set_deadline_ms(
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(mJob.mDeadline - Now()).count()));
  mLink = mProvider->Link();
  if (!mRouter.Links().SendOver(mLink, std::move(call))) {
    co_return std::nullopt;
  }
  while (true) {
    const auto event = co_await mMailbox->Pop(std::min(Now() + kSilenceCheckInterval, mJob.mDeadline));
    if (Now() >= mJob.mDeadline) {
      co_return service_result(
        api_error{ 504, "timeout_error", "the call's deadline has passed", link::OUTCOME_UNKNOWN, std::nullopt });
    }
    if (!event) {
      if (IsProviderSilent()) {
        co_return OnProviderLost();
      }
      continue;
    }
    if (event->mKind == request_event::kind::Stopping) {
      mMayHaveRun = true;
      co_return service_result(CorrectOutcome(StoppingError()));
    }
    if (event->mKind == request_event::kind::ProviderLost && event->mProvider == mProvider) {
      co_return OnProviderLost();
    }
    const bool isOwnAttempt = event->mKind == request_event::kind::Frame && link::AttemptOf(event->mFrame) == mAttempt;
    if (isOwnAttempt) {
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
  kLog.Request(mJob.mRequest.Str(), "Sidecar {} refused the call: {}.", mProvider->Instance().Str(), refusal.message());
  mLastRefusal = refusal;
  mMayHaveRun |= refusal.outcome() != link::OUTCOME_NOT_RUN;
  const bool mayTryNext = refusal.outcome() == link::OUTCOME_UNKNOWN && mJob.mCall.idempotent();
  if (IsFinal(refusal) && !mayTryNext) {
    return service_result(CorrectOutcome(FromRefusal(refusal)));
  }
  return std::nullopt;
}

api_error service_run::CorrectOutcome(api_error aError) const
{
  // The last sidecar did not run the call, but one that was lost before may have.
  if (mMayHaveRun && aError.mOutcome == link::OUTCOME_NOT_RUN) {
    aError.mOutcome = link::OUTCOME_UNKNOWN;
    aError.mStatus = 504;
  }
  return aError;
}

std::optional<service_result> service_run::OnProviderLost()
{
  const std::string& name = mProvider->Instance().Str();
  kLog.Request(mJob.mRequest.Str(), "Lost the link to sidecar {} during a call.", name);
  mMayHaveRun = true;
  if (MayRetry()) {
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
  if (mLink->TimeSinceLastReceive() > mJob.mStallFloor / 2) {
    mRouter.Links().Probe(mProvider);
  }
  return mLink->TimeSinceLastReceive() > mJob.mStallFloor;
}

service_result service_run::NoProviderError() const
{
  api_error error{ 503, "server_error", "", link::OUTCOME_NOT_RUN, kRetryAfter };
  error.mMessage = "no backend server of route \"" + mJob.mCall.route() + "\" takes calls now";
  if (mLastRefusal) {
    error = FromRefusal(*mLastRefusal);
  }
  return CorrectOutcome(std::move(error));
}

link::frame service_run::Frame() const
{
  return link::AttemptFrame(mJob.mRequest, mAttempt);
}

} // namespace chervilpulley::entry
