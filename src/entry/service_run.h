#pragma once

#include <boost/asio/awaitable.hpp>

#include <set>
#include <string>

#include "base/result.h"
#include "entry/api_error.h"
#include "entry/request_router.h"

/// One call of a plain service, through the sidecar next to the backend server. If a sidecar is lost or refuses, the
/// call is retried at another one, unless that could run it twice.
namespace chervilpulley::entry {

/// A call of a plain service and its limits.
struct service_job
{
  request_id mRequest;
  pool_name mPool;
  link::service_call mCall;
  instant mDeadline{};
  duration mStallFloor = std::chrono::seconds(1); ///< a link that is silent for longer counts as lost
};

using service_result = result<link::service_reply, api_error>;

/// Sends a call to one sidecar after another until one responds. A call that may have been dispatched is retried only
/// if that is safe: it is idempotent, or the sidecars can detect the duplicate by its idempotency key.
class service_run
{
public:
  service_run(request_router& aRouter, ref<request_mailbox> aMailbox, service_job aJob);
  boost::asio::awaitable<service_result> Run();

private:
  /// Whether the call may be sent again after it may have run.
  bool MayRetry() const;
  /// Sends the call to mProvider; nullopt if the next sidecar may be tried.
  boost::asio::awaitable<std::optional<service_result>> CallOnce();
  std::optional<service_result> OnFrame(const link::frame& aFrame);
  std::optional<service_result> OnProviderLost();
  bool IsProviderSilent() const;
  service_result NoProviderError() const;
  /// Changes the outcome "not run" to "unknown" if an earlier attempt may have run.
  api_error CorrectOutcome(api_error aError) const;
  link::frame Frame() const;

  request_router& mRouter;
  ref<request_mailbox> mMailbox;
  service_job mJob;
  policy::attempt_key mAttempt;
  ref<link::provider> mProvider;
  ref<link::connection> mLink;     ///< link over which the call was sent
  std::set<std::string> mExcluded; ///< sidecars that were tried
  std::optional<link::refusal> mLastRefusal;
  bool mMayHaveRun = false;
};

} // namespace chervilpulley::entry
