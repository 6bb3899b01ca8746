#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "engine/service_client.h"
#include "platform/object_store.h"

/// An object API and a plain service in memory, with faults on demand. Thread-safe.
namespace chervilpulley::fakes {

/// Faults of the store; each number counts the next calls that it concerns.
struct store_faults
{
  int mLostBefore = 0;           ///< writes without effect, whose answer is lost
  int mLostAfter = 0;            ///< writes with effect, whose answer is lost
  int mConflicts = 0;            ///< updates that another writer goes before
  int mFailedReadsAfterLost = 0; ///< reads that fail after the next lost answer
  bool mOutage = false;          ///< all calls fail without effect
  bool mRateLimited = false;     ///< all writes are refused
  bool mIgnoresVersion = false;  ///< writes take effect whatever their condition
  int mDelayTurns = 0;           ///< turns of the event loop that each call takes
};

class memory_store
{
public:
  using object_call = platform::platform_call<platform::stored_object>;

  object_call Get(std::string aKey)
  {
    co_await Delay();
    std::lock_guard lock(mMutex);
    if (mFaults.mOutage || (mFailingReads > 0 && mFailingReads-- > 0)) {
      co_return platform::platform_error{ platform::platform_errc::Unavailable, "outage" };
    }
    const auto found = mObjects.find(aKey);
    if (found == mObjects.end()) {
      co_return platform::platform_error{ platform::platform_errc::NotFound, "absent" };
    }
    co_return found->second;
  }

  platform::platform_call<platform::object_version> Create(std::string aKey, std::string aBody)
  {
    co_await Delay();
    std::lock_guard lock(mMutex);
    co_return Put(aKey, std::move(aBody), platform::object_version());
  }

  platform::platform_call<platform::object_version> Update(std::string aKey,
                                                           std::string aBody,
                                                           platform::object_version aVersion)
  {
    co_await Delay();
    std::lock_guard lock(mMutex);
    co_return Put(aKey, std::move(aBody), aVersion);
  }

  platform::platform_call<void> Delete(std::string aKey, platform::object_version)
  {
    co_await Delay();
    std::lock_guard lock(mMutex);
    mObjects.erase(aKey);
    co_return outcome::success();
  }

  platform::platform_call<std::vector<platform::object_summary>> List(std::string, std::string, std::size_t)
  {
    co_return std::vector<platform::object_summary>();
  }

  platform::platform_call<platform::watch_reply> Watch(std::string, platform::object_version, duration)
  {
    co_return platform::watch_reply();
  }

  void SetFaults(store_faults aFaults)
  {
    std::lock_guard lock(mMutex);
    mFaults = aFaults;
  }

  int Writes() const { return mWrites; }

private:
  platform::platform_result<platform::object_version> Put(const std::string& aKey,
                                                          std::string aBody,
                                                          platform::object_version aCondition)
  {
    using platform::platform_errc;
    using platform::platform_error;
    ++mWrites;
    if (mFaults.mOutage) {
      return platform_error{ platform_errc::Unavailable, "outage" };
    }
    if (mFaults.mRateLimited) {
      return platform_error{ platform_errc::RateLimited, "rate limit" };
    }
    if (mFaults.mLostBefore > 0 && mFaults.mLostBefore-- > 0) {
      return LoseResponse();
    }
    if (mFaults.mConflicts > 0 && mFaults.mConflicts-- > 0) {
      mObjects[aKey].mVersion = platform::object_version(++mSequence);
    }
    const auto found = mObjects.find(aKey);
    const auto version = found == mObjects.end() ? platform::object_version() : found->second.mVersion;
    if (version != aCondition && !mFaults.mIgnoresVersion) {
      return platform_error{ platform_errc::Conflict, "version" };
    }
    mObjects[aKey] = { std::move(aBody), platform::object_version(++mSequence) };
    if (mFaults.mLostAfter > 0 && mFaults.mLostAfter-- > 0) {
      return LoseResponse();
    }
    return platform::object_version(mSequence);
  }

  platform::platform_error LoseResponse()
  {
    mFailingReads = std::exchange(mFaults.mFailedReadsAfterLost, 0);
    return { platform::platform_errc::Unknown, "answer lost" };
  }

  boost::asio::awaitable<void> Delay()
  {
    int turns = 0;
    {
      std::lock_guard lock(mMutex);
      turns = mFaults.mDelayTurns;
    }
    for (int i = 0; i < turns; ++i) {
      co_await boost::asio::post(boost::asio::use_awaitable);
    }
  }

  std::mutex mMutex;
  store_faults mFaults;
  std::map<std::string, platform::stored_object> mObjects;
  std::uint64_t mSequence = 0;
  int mFailingReads = 0;
  std::atomic<int> mWrites = 0;
};

static_assert(platform::object_store<memory_store>);

/// What the service does with the next calls.
enum class service_fault
{
  None,
  NotSent,      ///< it can't be reached
  LostResponse, ///< it runs the call, and the connection breaks
  LostRequest,  ///< the connection breaks after the hand-over, before it runs the call
};

class memory_service : public engine::service_client
{
public:
  boost::asio::awaitable<engine::service_result> Call(net::http_request aRequest, duration) override
  {
    for (int i = 0; i < mDelayTurns; ++i) {
      co_await boost::asio::post(boost::asio::use_awaitable);
    }
    if (mFault == service_fault::NotSent) {
      co_return engine::service_error{ engine::service_errc::NotSent, "no connection" };
    }
    if (mFault == service_fault::LostRequest) {
      co_return engine::service_error{ engine::service_errc::MaybeRun, "closed" };
    }
    const int number = CountRun(aRequest);
    if (mOnRun) {
      mOnRun();
    }
    if (mFault == service_fault::LostResponse) {
      co_return engine::service_error{ engine::service_errc::MaybeRun, "closed" };
    }
    net::http_reply reply;
    reply.mStatus = 201;
    reply.mHeaders.Set("Content-Type", "application/json");
    reply.mBody = aRequest.mBody + " #" + std::to_string(number);
    co_return reply;
  }

  /// Runs of the calls with a body.
  int Runs(const std::string& aBody)
  {
    std::lock_guard lock(mMutex);
    return mRuns[aBody];
  }
  net::http_request LastRequest()
  {
    std::lock_guard lock(mMutex);
    return mLast;
  }

  service_fault mFault = service_fault::None;
  int mDelayTurns = 0;
  std::function<void()> mOnRun;

private:
  int CountRun(const net::http_request& aRequest)
  {
    std::lock_guard lock(mMutex);
    mLast = aRequest;
    return ++mRuns[aRequest.mBody];
  }

  std::mutex mMutex;
  std::map<std::string, int> mRuns;
  net::http_request mLast;
};

} // namespace chervilpulley::fakes
