#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/clock.h"
#include "config/config_store.h"
#include "config/peer_client.h"
#include "platform/object_store.h"

/// In-memory fakes of the platform and of the control calls between processes, with fault injection.
namespace chervilpulley::test {

/// Fault of the next write below "config/".
enum class write_fault
{
  ResponseLost,
  RequestLost,
  ResponseLostThenOutage, ///< takes effect; the response is lost, and the platform is down from then on
  Refused                 ///< rejected by the rate limit
};

/// State of the platform, shared by all instances of a test.
struct fake_platform
{
  struct entry
  {
    std::string mBody;
    platform::object_version mVersion;
  };

  std::mutex mMutex; ///< guards all other members while instances run
  std::map<std::string, entry> mObjects;
  platform::object_version mSequence;
  std::deque<write_fault> mFaults;
  bool mDown = false;
  bool mIgnoreConditions = false; ///< mutation: Create overwrites existing objects
  bool mDropWrites = false;       ///< mutation: writes succeed but store nothing
  std::size_t mMaxBodyBytes = 0;
};

/// Object store through which one instance uses the platform.
class fake_object_store
{
public:
  fake_object_store(boost::asio::io_context& aContext, fake_platform& aPlatform)
    : mContext(aContext)
    , mPlatform(aPlatform)
  {
  }

  platform::platform_call<platform::stored_object> Get(std::string aKey)
  {
    co_await SimulateLatency();
    std::lock_guard lock(mPlatform.mMutex);
    if (IsDown()) {
      co_return Down();
    }
    auto found = mPlatform.mObjects.find(aKey);
    if (found == mPlatform.mObjects.end()) {
      co_return Error(platform::platform_errc::NotFound);
    }
    co_return platform::stored_object{ found->second.mBody, found->second.mVersion };
  }

  platform::platform_call<platform::object_version> Create(std::string aKey, std::string aBody)
  {
    co_await SimulateLatency();
    std::lock_guard lock(mPlatform.mMutex);
    const bool conditionHolds = mPlatform.mIgnoreConditions || mPlatform.mObjects.count(aKey) == 0;
    co_return Write(aKey, aBody, conditionHolds);
  }

  platform::platform_call<platform::object_version> Update(std::string aKey,
                                                           std::string aBody,
                                                           platform::object_version aVersion)
  {
    co_await SimulateLatency();
    std::lock_guard lock(mPlatform.mMutex);
    auto found = mPlatform.mObjects.find(aKey);
    co_return Write(aKey, aBody, found != mPlatform.mObjects.end() && found->second.mVersion == aVersion);
  }

  platform::platform_call<void> Delete(std::string aKey, platform::object_version)
  {
    co_await SimulateLatency();
    std::lock_guard lock(mPlatform.mMutex);
    if (IsDown()) {
      co_return Down();
    }
    mPlatform.mObjects.erase(aKey);
    co_return outcome::success();
  }

  platform::platform_call<std::vector<platform::object_summary>> List(std::string, std::string, std::size_t)
  {
    co_await SimulateLatency();
    co_return Down();
  }

  platform::platform_call<platform::watch_reply> Watch(std::string aPrefix,
                                                       platform::object_version aAfter,
                                                       duration aTime)
  {
    const auto deadline = Now() + aTime;
    while (true) {
      co_await SimulateLatency();
      std::lock_guard lock(mPlatform.mMutex);
      if (IsDown()) {
        co_return Down();
      }
      platform::watch_reply reply{ mPlatform.mSequence, {} };
      for (const auto& [key, entry] : mPlatform.mObjects) {
        if (key.rfind(aPrefix, 0) == 0 && entry.mVersion.Value() > aAfter.Value()) {
          reply.mEvents.push_back({ key, entry.mVersion });
        }
      }
      if (!reply.mEvents.empty() || Now() >= deadline) {
        co_return reply;
      }
    }
  }

  std::atomic<bool> mPlatformUnreachable{ false };

private:
  static platform::platform_error Error(platform::platform_errc aCode) { return { aCode, "injected fault" }; }
  static platform::platform_error Down() { return Error(platform::platform_errc::Unavailable); }
  bool IsDown() const { return mPlatformUnreachable || mPlatform.mDown; }

  boost::asio::awaitable<void> SimulateLatency()
  {
    boost::asio::steady_timer timer(mContext, std::chrono::milliseconds(1));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  platform::platform_result<platform::object_version> Write(const std::string& aKey,
                                                            const std::string& aBody,
                                                            bool aConditionHolds)
  {
    if (IsDown()) {
      return Down();
    }
    std::optional<write_fault> fault;
    if (!mPlatform.mFaults.empty()) {
      fault = mPlatform.mFaults.front();
      mPlatform.mFaults.pop_front();
    }
    if (fault == write_fault::Refused) {
      return Error(platform::platform_errc::RateLimited);
    }
    if (fault == write_fault::RequestLost) {
      return Error(platform::platform_errc::Unknown);
    }
    if (!aConditionHolds) {
      return Error(fault ? platform::platform_errc::Unknown : platform::platform_errc::Conflict);
    }
    mPlatform.mSequence = mPlatform.mSequence.Next();
    mPlatform.mMaxBodyBytes = std::max(mPlatform.mMaxBodyBytes, aBody.size());
    if (!mPlatform.mDropWrites) {
      mPlatform.mObjects[aKey] = { aBody, mPlatform.mSequence };
    }
    mPlatform.mDown = mPlatform.mDown || fault == write_fault::ResponseLostThenOutage;
    if (fault) {
      return Error(platform::platform_errc::Unknown);
    }
    return mPlatform.mSequence;
  }

  boost::asio::io_context& mContext;
  fake_platform& mPlatform;
};

/// Control calls between the configuration stores of one test. The port of an endpoint selects the instance.
class fake_peers : public config::peer_client
{
public:
  explicit fake_peers(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  config::peer_call<rpc::pull_config_reply> PullConfig(net::endpoint aPeer,
                                                       rpc::pull_config_request aRequest,
                                                       duration aTimeout) override
  {
    boost::asio::steady_timer timer(mContext, std::chrono::milliseconds(1));
    co_await timer.async_wait(boost::asio::use_awaitable);
    auto found = mStores.find(aPeer.mPort);
    if (found == mStores.end() || !found->second->Ready() || IsUnreachable(aPeer, aRequest.mInstance)) {
      timer.expires_after(aTimeout);
      co_await timer.async_wait(boost::asio::use_awaitable);
      co_return rpc::peer_error{ rpc::peer_errc::Unreachable, "cut" };
    }
    const auto store = found->second;
    auto reply = store->HandlePull(aRequest);
    if (reply.mRevision <= aRequest.mAfterRevision && aRequest.mWaitMs > 0) {
      co_await store->WaitForRevisionAbove(revision_number(aRequest.mAfterRevision),
                                           std::chrono::milliseconds(aRequest.mWaitMs));
      reply = store->HandlePull(aRequest);
    }
    co_return reply;
  }
  config::peer_call<rpc::drain_reply> Drain(net::endpoint, rpc::drain_request, duration) override
  {
    co_return rpc::drain_reply{};
  }
  config::peer_call<rpc::report_suspect_reply> ReportSuspect(net::endpoint,
                                                             rpc::report_suspect_request,
                                                             duration) override
  {
    co_return rpc::report_suspect_reply{};
  }
  config::peer_call<rpc::get_status_reply> GetStatus(net::endpoint aPeer, duration) override
  {
    auto found = mStores.find(aPeer.mPort);
    if (found == mStores.end() || mUnreachablePorts.count(aPeer.mPort) > 0) {
      co_return rpc::peer_error{ rpc::peer_errc::Unreachable, "cut" };
    }
    co_return rpc::get_status_reply{ found->second->Current()->Revision().Value(), found->second->Reports(), "" };
  }

  std::map<std::uint16_t, ref<config::config_store>> mStores;
  std::set<std::uint16_t> mUnreachablePorts; ///< ports of instances that can't be reached
  std::set<std::string> mIsolatedInstances;  ///< instances that can't reach others

private:
  bool IsUnreachable(const net::endpoint& aPeer, const std::string& aCaller) const
  {
    return mUnreachablePorts.count(aPeer.mPort) > 0 || mIsolatedInstances.count(aCaller) > 0;
  }

  boost::asio::io_context& mContext;
};

} // namespace chervilpulley::test
