#include "sidecar/placement_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/log.h"

namespace chervilpulley::sidecar {

namespace {

constexpr part_log kLog("placement");
/// After a longer gap between ticks the process was suspended: it confirms its revision again before it sends an order.
constexpr duration kMaxTickGap = std::chrono::seconds(3);
constexpr duration kLoadOrderInterval = std::chrono::seconds(2);
constexpr duration kLoadTimeout = std::chrono::minutes(10);

policy::layer_range RangeOf(const model_name& aModel, std::uint32_t aFirst, std::uint32_t aLast)
{
  return { aModel, layer_index(aFirst), layer_index(aLast) };
}

std::uint32_t Number(layer_index aLayer)
{
  return static_cast<std::uint32_t>(aLayer.Value());
}

} // namespace

placement_follower::placement_follower(boost::asio::io_context& aContext,
                                       instance_id aInstance,
                                       ref<config::config_store> aConfig,
                                       ref<engine::engine_client> aEngine,
                                       ref<backend_monitor> aMonitor,
                                       pending_source aPending,
                                       newest_check aIsNewest)
  : mContext(aContext)
  , mInstance(std::move(aInstance))
  , mConfig(std::move(aConfig))
  , mEngine(std::move(aEngine))
  , mMonitor(std::move(aMonitor))
  , mPending(std::move(aPending))
  , mIsNewest(std::move(aIsNewest))
{
}

std::optional<policy::layer_range> placement_follower::Desired(const config::config_view& aView,
                                                               const instance_id& aInstance)
{
  const admin::placement* placement = aView.FindPlacement(aInstance);
  if (placement == nullptr) {
    return std::nullopt;
  }
  return RangeOf(model_name(placement->model()), placement->first_layer(), placement->last_layer());
}

policy::placement_state placement_follower::State() const
{
  policy::placement_state state;
  state.mDesired = Desired(*mConfig->Current(), mInstance);
  if (const auto engine = mMonitor->Engine()) {
    state.mCurrent = RangeOf(engine->mModel, engine->mFirstLayer, engine->mLastLayer);
  }
  state.mLoading = mLoading;
  state.mRevisionConfirmed = mIsConfirmed;
  state.mSelf = policy::KeyOf(mInstance);
  return state;
}

void placement_follower::OnTick(instant aNow)
{
  std::lock_guard lock(mMutex);
  if (mLastTick != instant{} && aNow - mLastTick > kMaxTickGap) {
    mIsConfirmed = false;
  }
  mLastTick = aNow;
  policy::placement_state state = State();
  // An engine without a placement keeps the layers that it was started with.
  if (!state.mDesired || !state.mCurrent || !mConfig->Ready()) {
    return;
  }
  const auto pending = mPending();
  state.mPending = pending;
  const policy::placement_action action = policy::Reconcile(state);
  if (action == policy::placement_action::AwaitConfig && !std::exchange(mIsConfirming, true)) {
    boost::asio::co_spawn(mContext, Confirm(), boost::asio::detached);
  } else if (action == policy::placement_action::Load && aNow >= mNextLoadOrderAt) {
    mNextLoadOrderAt = aNow + kLoadOrderInterval;
    mLoading = state.mDesired;
    boost::asio::co_spawn(
      mContext, SendLoadOrder(*state.mDesired, mConfig->Current()->Revision()), boost::asio::detached);
  }
}

boost::asio::awaitable<void> placement_follower::Confirm()
{
  const ref<placement_follower> self(this);
  const bool isNewest = co_await mIsNewest(mConfig->Current()->Revision());
  std::lock_guard lock(mMutex);
  mIsConfirming = false;
  mIsConfirmed = isNewest;
}

boost::asio::awaitable<void> placement_follower::SendLoadOrder(policy::layer_range aRange, revision_number aFence)
{
  const ref<placement_follower> self(this);
  kLog.Info("Ordering the engine to load layers {} to {} of model \"{}\" at revision {}.",
            aRange.mFirst.Value(),
            aRange.mLast.Value(),
            aRange.mModel.Str(),
            aFence.Value());
  const engine::load_request order{ aRange.mModel, Number(aRange.mFirst), Number(aRange.mLast), aFence };
  const auto loaded = co_await mEngine->Load(order, kLoadTimeout);
  if (loaded.has_error()) {
    kLog.Warning("The engine failed to load the layers: {}.", loaded.error().mMessage);
  }
  std::lock_guard lock(mMutex);
  mLoading.reset();
}

} // namespace chervilpulley::sidecar
