#pragma once

#include <boost/asio/awaitable.hpp>

#include <set>
#include <string>

#include "base/result.h"
#include "entry/api_error.h"
#include "entry/request_router.h"

/// One call of a plain service, through the sidecar beside it.
namespace chervilpulley::entry {

struct service_job
{
  request_id mRequest;
  pool_name mPool;
  link::service_call mCall;
  instant mDeadline{};
  duration mStallFloor = std::chrono::seconds(1);
};

using service_result = result<link::service_reply, api_error>;

/// Sends a call until a sidecar answers it. A call that may have been handed over is sent again only if that is safe:
/// it is idempotent, or its key lets the sidecars recognise it.
class service_run
{
public:
  service_run(request_router& aRouter, ref<request_mailbox> aMailbox, service_job aJob);
  boost::asio::awaitable<service_result> Run();

private:
  bool MayRetry() const;
  boost::asio::awaitable<std::optional<service_result>> CallOnce();
  std::optional<service_result> OnFrame(const link::frame& aFrame);
  std::optional<service_result> OnProviderLost();
  bool IsProviderSilent() const;
  service_result NoProviderError() const;
  api_error CorrectOutcome(api_error aError) const;
  link::frame Frame() const;

  request_router& mRouter;
  ref<request_mailbox> mMailbox;
  service_job mJob;
  policy::attempt_key mAttempt;
  ref<link::provider> mProvider;
  ref<link::connection> mLink; ///< that the call was sent over
  std::set<std::string> mExcluded;
  std::optional<link::refusal> mLastRefusal;
  bool mMayHaveRun = false;
};

} // namespace chervilpulley::entry
