#pragma once

#include <functional>
#include <map>
#include <vector>

#include "gateway/backend_call.h"
#include "gateway/fleet.h"
#include "gateway/wire.h"

/// Calls with a timeout to backend servers whose responses are small (reports, orders, new paths), and probes of
/// engines that refuse, are slow or seem dead. A probe finds a lost engine before the platform's list drops it.
namespace chervilpulley::gateway {

/// Timeout of a probe; an engine reports without queueing.
inline constexpr duration kProbeTimeout = std::chrono::milliseconds(200);

/// Gets the response of a call, or nothing when no complete response arrived in time.
using response_handler = std::function<void(std::optional<net::http_reply>)>;

/// Sends a request and passes the complete response to aDone, or nothing on failure or after aTimeout.
void CallWithTimeout(boost::asio::io_context& aContext,
                     const ref<backend_calls>& aCalls,
                     const backend_address& aServer,
                     net::http_request aRequest,
                     duration aTimeout,
                     response_handler aDone);

/// Gets reports from engines and applies them to the fleet. Concurrent probes of one engine share a call.
class engine_probes : public ref_counted
{
public:
  using report_handler = std::function<void(const std::optional<wire::engine_report>&)>;

  engine_probes(boost::asio::io_context& aContext, ref<fleet> aFleet, ref<backend_calls> aCalls)
    : mContext(aContext)
    , mFleet(std::move(aFleet))
    , mCalls(std::move(aCalls))
  {
  }

  /// Gets a report; aDone gets nothing when the engine does not respond.
  void Probe(const backend_id& aEngine, report_handler aDone);
  /// Probes an engine that refused or may be slow, unless it was probed just before. One that does not respond is
  /// marked as lost.
  void ProbeSuspect(const backend_id& aEngine);

private:
  void OnResponse(const backend_id& aEngine, const std::optional<net::http_reply>& aReply);

  boost::asio::io_context& mContext;
  ref<fleet> mFleet;
  ref<backend_calls> mCalls;
  std::map<backend_id, std::vector<report_handler>> mWaiting;
  std::map<backend_id, instant> mProbedAt;
};

} // namespace chervilpulley::gateway
