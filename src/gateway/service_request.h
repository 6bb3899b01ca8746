#pragma once

#include <boost/asio/steady_timer.hpp>

#include "gateway/request_context.h"

/// Requests that one server of a plain service answers with a single response. They are retried at another server when
/// one fails, refuses or is slow; a request that is not idempotent is never retried once a server may have begun to run
/// it.
namespace chervilpulley::gateway {

/// One request to a plain service, from its admission to the response.
class service_request
  : public request_handler
  , public call_handler
  , public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  service_request(request_environment& aEnvironment, admitted_request aRequest);

  /// Sends the request to a server, or refuses it when none is usable.
  void Start();
  /// Ends the request with a response, because the process stops.
  void Stop(instant aNow);
  /// Continues if the request waits for permits of limited servers, which may have arrived.
  void PermitsArrived(instant aNow);

  /// Bytes of the incomplete response.
  std::size_t HeldBytes() const { return mBody.size(); }
  /// Drops the bytes of the response and ends the attempt, if one is running.
  void HandleOversized(instant aNow);

  void OnCallerGone() override;
  void OnWritten() override {}
  void OnHead(unsigned aStatus, net::http_headers aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(call_end aEnd, const std::string& aReason) override;

private:
  void TryServer(instant aNow);
  bool WaitForPermits(instant aNow);
  void Send(const backend_address& aServer, instant aNow);
  void EndAttempt(bool aFailed);
  bool IsIdempotent() const { return mRequest.mRoute->mKind == request_kind::Idempotent; }
  bool MayRetry(instant aNow);
  bool MayBegin(instant aNow) const;
  void HandleFailure(const std::string& aReason, instant aNow);
  void HandleTimeout();
  void ForwardResponse();
  void LogCut(instant aNow) const;
  duration RetryAfter(instant aNow);
  void GiveUp(const std::string& aReason, instant aNow, std::optional<duration> aRetryAfter = std::nullopt);
  void End(request_end aEnd, unsigned aStatus, const std::string& aReason);
  const std::string& Id() const { return mRequest.mMetadata.mId.Str(); }

  request_environment& mEnvironment;
  admitted_request mRequest;
  boost::asio::steady_timer mTimer;
  std::optional<backend_id> mServer;
  ref<backend_call> mCall;
  std::set<backend_id> mExcluded;
  unsigned mRuns = 0; ///< servers that may have run the request
  unsigned mSends = 0;
  instant mSentAt;
  unsigned mStatus = 0;
  bool mIsWhole = false; ///< the response has arrived completely
  bool mHasHead = false;
  bool mIsResponseCertain = false; ///< the response surely belongs to this request
  net::http_headers mHeaders;
  wire::response_metadata mResponseMetadata;
  std::string mBody;
  bool mHasWaited = false; ///< for permits
  bool mIsWaiting = false;
  bool mIsEnded = false;
};

} // namespace chervilpulley::gateway
