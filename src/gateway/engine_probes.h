#pragma once

#include <functional>
#include <map>
#include <vector>

#include "gateway/fleet.h"
#include "gateway/wire.h"
#include "gateway/worker_call.h"

/// Short calls to backend servers whose answers are small: reports, orders, new paths.
namespace chervilpulley::gateway {

/// Longest wait for a report; it is free of waiting at the engine.
inline constexpr duration kProbeTimeout = std::chrono::milliseconds(200);

/// What came of a short call; nothing where no whole answer came in time.
using short_answer = std::function<void(std::optional<net::http_reply>)>;

/// Sends a request and gives the whole answer, or nothing after aTimeout.
void CallWithTimeout(boost::asio::io_context& aContext,
                     const ref<worker_calls>& aCalls,
                     const net::endpoint& aServer,
                     net::http_request aRequest,
                     duration aTimeout,
                     short_answer aDone);

/// Asks engines what they say of themselves; many who ask at the same time share one call.
class engine_probes : public ref_counted
{
public:
  using answer = std::function<void(const std::optional<wire::engine_report>&)>;

  engine_probes(boost::asio::io_context& aContext, ref<fleet> aFleet, ref<worker_calls> aCalls)
    : mContext(aContext)
    , mFleet(std::move(aFleet))
    , mCalls(std::move(aCalls))
  {
  }

  /// aDone gets nothing when the engine does not answer.
  void Probe(const backend_id& aEngine, answer aDone);
  /// Asks an engine that refused or may be slow, unless it was asked just before; one that does not answer is believed
  /// lost.
  void ProbeSuspect(const backend_id& aEngine);

private:
  void Answered(const backend_id& aEngine, const std::optional<net::http_reply>& aReply);

  boost::asio::io_context& mContext;
  ref<fleet> mFleet;
  ref<worker_calls> mCalls;
  std::map<backend_id, std::vector<answer>> mWaiting;
  std::map<backend_id, instant> mCheckedAt;
};

} // namespace chervilpulley::gateway
