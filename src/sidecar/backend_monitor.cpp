#include "sidecar/backend_monitor.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"
#include "base/log.h"

namespace chervilpulley::sidecar {

namespace {

constexpr part_log kLog("backend");

} // namespace

backend_monitor::backend_monitor(boost::asio::io_context& aContext,
                                 ref<net::http_client> aHttp,
                                 backend_options aOptions,
                                 std::function<void()> aOnChange)
  : mContext(aContext)
  , mHttp(aHttp)
  , mEngine(MakeRef<engine::engine_client>(aHttp, aOptions.mAddress))
  , mOptions(std::move(aOptions))
  , mOnChange(std::move(aOnChange))
{
}

boost::asio::awaitable<void> backend_monitor::Run()
{
  const ref<backend_monitor> self(this);
  boost::asio::steady_timer timer(mContext);
  while (true) {
    if (mOptions.mKind == backend_kind::Engine) {
      co_await ProbeEngine();
    } else {
      co_await ProbeService();
    }
    timer.expires_after(mOptions.mProbeInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

boost::asio::awaitable<void> backend_monitor::ProbeEngine()
{
  auto state = co_await mEngine->GetState(mOptions.mProbeTimeout);
  if (state.has_value()) {
    SetState(true, std::move(state).value());
  } else {
    SetState(false, std::nullopt);
  }
}

boost::asio::awaitable<void> backend_monitor::ProbeService()
{
  net::http_request probe;
  probe.mMethod = "OPTIONS";
  const auto reply = co_await mHttp->Fetch(mOptions.mAddress, std::move(probe), mOptions.mProbeTimeout);
  SetState(reply.has_value(), std::nullopt);
}

void backend_monitor::SetState(bool aIsUp, std::optional<engine::engine_state> aState)
{
  bool isChanged = false;
  {
    std::lock_guard lock(mMutex);
    const bool hasOtherLayers = aState && mState &&
                                (aState->mModel != mState->mModel || aState->mFirstLayer != mState->mFirstLayer ||
                                 aState->mLastLayer != mState->mLastLayer);
    isChanged = aIsUp != mIsUp || hasOtherLayers;
    mIsUp = aIsUp;
    mState = std::move(aState);
    mReadAt = Now();
  }
  if (isChanged) {
    kLog.Info("The backend server at {} is {}.", mOptions.mAddress.Str(), aIsUp ? "up" : "down");
    mOnChange();
  }
}

void backend_monitor::MarkDown()
{
  SetState(false, std::nullopt);
}

bool backend_monitor::IsUp() const
{
  std::lock_guard lock(mMutex);
  return mIsUp;
}

std::optional<engine::engine_state> backend_monitor::Engine() const
{
  std::lock_guard lock(mMutex);
  return mState;
}

duration backend_monitor::Age() const
{
  std::lock_guard lock(mMutex);
  return Now() - mReadAt;
}

} // namespace chervilpulley::sidecar
