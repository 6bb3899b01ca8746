#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>

#include "base/ref_counted.h"
#include "gateway/gateway_metrics.h"
#include "net/http_client.h"
#include "policy/store_availability.h"
#include "policy/store_revision.h"

/// Calls of this gateway to the platform's store, and what they tell of it: its era, and since when it serves.
namespace chervilpulley::gateway {

/// Client of the store. Counts each call, and logs when the store stops responding and when it responds again.
class store_client : public ref_counted
{
public:
  store_client(boost::asio::io_context& aContext, net::endpoint aStore, ref<gateway_metrics> aMetrics);

  /// Status and body of the response.
  struct outcome
  {
    unsigned mStatus = 0; ///< 0: no response, or one that is older than another one
    std::string mBody;
    policy::store_era mEra; ///< 0 if the store names none
    bool IsSuccess() const { return mStatus >= 200 && mStatus < 300; }
  };
  boost::asio::awaitable<outcome> Call(net::http_request aRequest, duration aTimeout);
  /// The latest era that is known; 0 if none is.
  policy::store_era Era() const { return mEra.value_or(policy::store_era()); }
  /// Records an era that another gateway knows of.
  void LearnEra(policy::store_era aEra);
  policy::store_availability& Availability() { return mAvailability; }

private:
  bool SeeEra(const std::optional<policy::store_era>& aEra, const std::string& aCall);

  net::endpoint mStore;
  ref<net::http_client> mClient;
  ref<gateway_metrics> mMetrics;
  bool mIsFailing = false;               ///< the last call failed
  std::optional<policy::store_era> mEra; ///< the latest that is known
  policy::store_availability mAvailability;
};

} // namespace chervilpulley::gateway
