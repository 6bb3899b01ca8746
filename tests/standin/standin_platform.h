#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "json_body.h"
#include "net/http_server.h"
#include "record_log.h"
#include "signal.h"

/// Stands in for the platform of a cluster of entries and sidecars: a versioned object store and the list of live
/// instances. Control calls inject outages, hangs, delays and lost responses.
namespace chervilpulley::standin {

/// The object API, the watch and the live list of the platform.
class platform
{
public:
  /// @param aStateFile file that keeps objects, live list and records across restarts; empty keeps them in memory only
  explicit platform(const std::string& aStateFile);

  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);

private:
  struct stored_object
  {
    std::uint64_t mVersion = 0;
    bool mDeleted = false;
    std::string mBody;
  };
  /// A change of the live list; kept with its time, because the list can be served with a delay.
  struct live_change
  {
    instant mTime;
    std::string mInstance;
    boost::json::object mLine; ///< empty if the instance was removed
  };
  /// The faults that control calls have injected.
  struct faults
  {
    bool mOutage = false;         ///< the object API responds with 503
    bool mLiveListOutage = false; ///< the live list responds with 503
    bool mHang = false;           ///< no call gets a response until the fault ends
    duration mDelay{ 0 };
    std::uint64_t mResponsesToDrop = 0; ///< successful writes to come whose response is lost
    duration mLiveListDelay{ 0 };       ///< age of the live list that is served
  };

  boost::asio::awaitable<void> HandlePlatformCall(net::http_exchange& aExchange);
  boost::asio::awaitable<net::http_reply> Watch(const net::http_request& aRequest);
  net::http_reply Object(const net::http_request& aRequest, std::string_view aKey);
  net::http_reply Get(std::string_view aKey) const;
  net::http_reply Put(const net::http_request& aRequest, std::string_view aKey);
  net::http_reply Delete(const net::http_request& aRequest, std::string_view aKey);
  net::http_reply List(const net::http_request& aRequest) const;
  net::http_reply LiveList() const;
  net::http_reply ChangeLiveEntry(const net::http_request& aRequest, std::string_view aInstance);
  net::http_reply Control(const net::http_request& aRequest);
  net::http_reply CallCounts() const;

  const stored_object* Find(std::string_view aKey) const;
  bool ConditionHolds(const net::http_request& aRequest, std::string_view aKey) const;
  std::uint64_t Store(std::string_view aKey, std::string aBody, bool aDeleted, std::string_view aWriter);
  bool HasUpdates(std::string_view aPrefix, std::uint64_t aAfter) const;
  void Restore();

  record_log mRecords;
  record_log mState;
  bool mIsPersistent;
  std::map<std::string, stored_object, std::less<>> mObjects;
  std::deque<live_change> mLiveChanges;
  std::map<std::string, std::uint64_t, std::less<>>
    mCalls; ///< number of calls by method and path; a waiting watch counts as one call
  std::uint64_t mSequence = 0;
  faults mFaults;
  signal mChanged;
};

} // namespace chervilpulley::standin
