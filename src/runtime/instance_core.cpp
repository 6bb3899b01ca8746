#include "runtime/instance_core.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "config/replicated_config_store.h"

namespace chervilpulley::runtime {

namespace {

constexpr part_log kLog("live-list");

result<net::endpoint, std::string> ParseKey(const std::string& aKey, const std::string& aValue)
{
  auto parsed = net::ParseEndpoint(aValue);
  if (parsed.has_error()) {
    return "key \"" + aKey + "\": " + parsed.error().mMessage;
  }
  return std::move(parsed).value();
}

} // namespace

result<parsed_addresses, std::string> ParseAddresses(const settings::settings& aSettings, bool aHasBackend)
{
  parsed_addresses parsed;
  BOOST_OUTCOME_TRY(parsed.mHttp, ParseKey("listen.http", aSettings.listen().http()));
  BOOST_OUTCOME_TRY(parsed.mLink, ParseKey("listen.link", aSettings.listen().link()));
  BOOST_OUTCOME_TRY(parsed.mPeer, ParseKey("listen.peer", aSettings.listen().peer()));
  BOOST_OUTCOME_TRY(parsed.mAdmin, ParseKey("listen.admin", aSettings.listen().admin()));
  BOOST_OUTCOME_TRY(parsed.mPlatform, ParseKey("platform.address", aSettings.platform().address()));
  if (aHasBackend) {
    BOOST_OUTCOME_TRY(parsed.mBackend, ParseKey("backend.address", aSettings.backend().address()));
  }
  return parsed;
}

instance_core::instance_core(const settings::settings& aSettings, parsed_addresses aAddresses)
  : mSettings(aSettings)
  , mAddresses(std::move(aAddresses))
  , mInstance(aSettings.instance().id())
  , mHttp(net::http_client::Create(mContext))
  , mLocalRevision(MakeRef<link::local_revision>())
  , mStore(mHttp, mAddresses.mPlatform, mInstance, std::chrono::milliseconds(aSettings.platform().call_timeout_ms()))
  , mPeers(config::peer_client::Create(mHttp, aSettings.security().cluster_key()))
{
  config::config_store_options options;
  options.mInstance = mInstance;
  options.mFailureDomain = failure_domain_id(aSettings.instance().failure_domain());
  mConfig = MakeRef<config::replicated_config_store<platform::http_object_store>>(mContext, mStore, mPeers, options);
}

result<void, std::string> instance_core::StartPeers(config::control_handler& aHandler)
{
  auto started = net::http_server::Start(
    mContext, mAddresses.mPeer, config::MakePeerHandler(mConfig, aHandler, mSettings.security().cluster_key()), {});
  if (started.has_error()) {
    return started.error().mMessage;
  }
  mPeerServer = started.value();
  mConfig->AddChangeCallback([localRevision = mLocalRevision](const ref<const config::config_view>& aView) {
    localRevision->mRevision = aView->Revision().Value();
  });
  mConfig->Run();
  return outcome::success();
}

admin::instance_status instance_core::BaseStatus(const std::string& aRole) const
{
  admin::instance_status status;
  status.set_instance(mInstance.Str());
  status.set_role(aRole);
  status.set_failure_domain(mSettings.instance().failure_domain());
  status.set_pool(mSettings.backend().pool());
  status.set_leaving(mHealth.mLeaving);
  return status;
}

void instance_core::FollowLiveList(std::function<void(const live_instances&)> aOnList)
{
  mOnList = std::move(aOnList);
  // Relays read the list from the platform; all other processes receive its differences from the relays.
  mConfig->SetInstancesCallback([this](const live_instances& aLive) { HandleLiveList(aLive); });
  boost::asio::co_spawn(mContext, PollLiveList(), boost::asio::detached);
}

void instance_core::HandleLiveList(const live_instances& aLive)
{
  {
    std::lock_guard lock(mLiveMutex);
    mLive = aLive;
  }
  mOnList(aLive);
}

boost::asio::awaitable<void> instance_core::PollLiveList()
{
  const duration interval = std::chrono::milliseconds(mSettings.platform().list_interval_ms());
  const duration timeout = std::chrono::milliseconds(mSettings.platform().call_timeout_ms());
  boost::asio::steady_timer timer(mContext);
  while (true) {
    if (mConfig->ReadsLiveList()) {
      const instant requestedAt = Now();
      const auto list = co_await platform::ReadLiveList(mHttp, mAddresses.mPlatform, timeout);
      RecordPlatformState(list.has_value());
      if (list.has_value()) {
        mConfig->UpdateInstances(list.value(), requestedAt);
        HandleLiveList(list.value());
      }
    }
    timer.expires_after(interval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

void instance_core::RecordPlatformState(bool aIsUp)
{
  if (mPlatformUp.exchange(aIsUp) != aIsUp) {
    kLog.Info("The platform {}.", aIsUp ? "answers" : "does not answer");
  }
}

instance_core::live_instances instance_core::Live() const
{
  std::lock_guard lock(mLiveMutex);
  return mLive;
}

platform::live_instance instance_core::Self() const
{
  platform::live_instance self;
  self.mInstance = mInstance;
  self.mFailureDomain = failure_domain_id(mSettings.instance().failure_domain());
  self.mPool = pool_name(mSettings.backend().pool());
  return self;
}

link::link_options instance_core::LinkOptions() const
{
  link::link_options options;
  options.mClusterKey = mSettings.security().cluster_key();
  options.mIdleTimeout = std::chrono::milliseconds(mSettings.limits().link_idle_ms());
  return options;
}

link::hello instance_core::Hello(const std::string& aRole) const
{
  link::hello hello;
  hello.set_instance(mInstance.Str());
  hello.set_failure_domain(mSettings.instance().failure_domain());
  hello.set_role(aRole);
  return hello;
}

} // namespace chervilpulley::runtime
