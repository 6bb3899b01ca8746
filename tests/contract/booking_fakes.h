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

/// In-memory object API and plain service with injectable faults. Thread-safe.
namespace chervilpulley::fakes {

/// Faults of the store. Each number is how many of the next matching calls are affected.
struct store_faults
{
  int mLostBefore = 0;           ///< writes that have no effect and whose response is lost
  int mLostAfter = 0;            ///< writes that take effect but whose response is lost
  int mConflicts = 0;            ///< updates that another writer precedes
  int mFailedReadsAfterLost = 0; ///< reads that fail after the next lost response
  bool mOutage = false;          ///< all calls fail without effect
  bool mRateLimited = false;     ///< all writes are refused
  bool mIgnoresVersion = false;  ///< writes take effect even if their condition does not hold
  int mDelayTurns = 0;           ///< turns of the event loop that each call takes
};

/// Object API in memory that checks the versions of writes.
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
    return { platform::platform_errc::Unknown, "response lost" };
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

/// Fault of the service in the next calls.
enum class service_fault
{
  None,
  NotSent,      ///< the service can't be reached
  LostResponse, ///< the service runs the call, then the connection breaks
  LostRequest,  ///< the connection breaks after the dispatch, before the service runs the call
};

/// Plain service in memory that counts the runs of each body.
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

  /// Number of runs of the calls with this body.
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
