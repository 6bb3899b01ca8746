#include "gateway/store_client.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/wire.h"

namespace chervilpulley::gateway {

store_client::store_client(boost::asio::io_context& aContext, net::endpoint aStore, ref<gateway_metrics> aMetrics)
  : mStore(std::move(aStore))
  , mClient(net::http_client::Create(aContext))
  , mMetrics(std::move(aMetrics))
{
}

boost::asio::awaitable<store_client::outcome> store_client::Call(net::http_request aRequest, duration aTimeout)
{
  const ref<store_client> self(this);
  const instant startedAt = Now();
  const std::string target = aRequest.mMethod + " " + aRequest.mTarget;
  auto reply = co_await mClient->Fetch(mStore, std::move(aRequest), aTimeout);
  outcome result;
  std::string reason;
  if (reply) {
    const bool isCurrent = SeeEra(wire::DecodeStoreEra(reply.value().mHeaders), target);
    result.mStatus = isCurrent ? reply.value().mStatus : 0;
    result.mBody = std::move(reply.value().mBody);
    result.mEra = Era();
    reason = isCurrent ? "status " + std::to_string(result.mStatus) : "of an earlier era";
  } else {
    reason = reply.error().mMessage;
  }
  // 404, 409 and 410 are valid responses, not failures of the store.
  const bool hasResponded =
    result.IsSuccess() || result.mStatus == 404 || result.mStatus == 409 || result.mStatus == 410;
  mMetrics->StoreCall(hasResponded, Now() - startedAt);
  if (!hasResponded && !mIsFailing) {
    log_line(log_event::StoreLost).Text("call", target).Text("reason", reason);
  } else if (hasResponded && mIsFailing) {
    log_line(log_event::StoreRegained).Text("call", target);
  }
  mIsFailing = !hasResponded;
  if (hasResponded) {
    mAvailability.Responded(Now());
  } else {
    mAvailability.Failed();
  }
  co_return result;
}

/// Notes the era of a response; false for one of an earlier era, or without an era although the store names them: what
/// it says may be from before the store came back from a copy.
bool store_client::SeeEra(const std::optional<policy::store_era>& aEra, const std::string& aCall)
{
  if (mEra && aEra && *aEra > *mEra) {
    log_line(log_event::StoreRestored)
      .Count("era", aEra->Value())
      .Count("former_era", mEra->Value())
      .Text("call", aCall);
    mAvailability.Restored(Now());
  }
  mEra = std::max(mEra, aEra);
  return mEra == aEra;
}

void store_client::LearnEra(policy::store_era aEra)
{
  if (aEra > Era()) {
    SeeEra(aEra, "relay");
  }
}

} // namespace chervilpulley::gateway
