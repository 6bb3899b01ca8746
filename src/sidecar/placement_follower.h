#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <vector>

#include "config/config_store.h"
#include "engine/engine_client.h"
#include "policy/placement.h"
#include "sidecar/backend_monitor.h"

/// Makes the engine beside this process load the layers that the configuration places on it. Guards against orders from
/// an outdated configuration, for example after the process was suspended.
namespace chervilpulley::sidecar {

/// Sends load orders to the engine; no other process does. Their fencing number is the revision of the configuration.
/// Thread-safe.
class placement_follower : public ref_counted
{
public:
  /// Instances of the same failure domain whose placement is not loaded yet according to their last reports, including
  /// this one.
  using pending_source = std::function<std::vector<policy::member_key>()>;
  /// Whether the platform has no revision after the given one; false while it can't be read.
  using newest_check = std::function<boost::asio::awaitable<bool>(revision_number)>;

  placement_follower(boost::asio::io_context& aContext,
                     instance_id aInstance,
                     ref<config::config_store> aConfig,
                     ref<engine::engine_client> aEngine,
                     ref<backend_monitor> aMonitor,
                     pending_source aPending,
                     newest_check aIsNewest);

  /// Compares the engine with the configuration and starts what is needed; called periodically.
  void OnTick(instant aNow);
  /// The layers that the configuration places on an instance; nullopt if it places none.
  static std::optional<policy::layer_range> Desired(const config::config_view& aView, const instance_id& aInstance);

private:
  /// Checks with the platform whether the current revision is the newest.
  boost::asio::awaitable<void> Confirm();
  boost::asio::awaitable<void> SendLoadOrder(policy::layer_range aRange, revision_number aFence);
  policy::placement_state State() const;

  boost::asio::io_context& mContext;
  const instance_id mInstance;
  ref<config::config_store> mConfig;
  ref<engine::engine_client> mEngine;
  ref<backend_monitor> mMonitor;
  pending_source mPending;
  newest_check mIsNewest;
  mutable std::mutex mMutex;
  instant mLastTick{};
  instant mNextLoadOrderAt{}; ///< earliest time of the next order; delays the retry of a refused one
  bool mIsConfirmed = false;
  bool mIsConfirming = false;
  std::optional<policy::layer_range> mLoading;
};

} // namespace chervilpulley::sidecar
