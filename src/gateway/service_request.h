#pragma once

#include <boost/asio/steady_timer.hpp>

#include "gateway/request_context.h"

/// A request that one plain backend server answers whole. One that must not run twice is never sent again after a
/// server may have begun to run it.
namespace chervilpulley::gateway {

class service_request
  : public request_handler
  , public call_handler
{
public:
  service_request(request_environment& aEnvironment, admitted_request aRequest);

  void Start();

  void OnCallerGone() override;
  void OnWritten() override {}
  void OnHead(unsigned aStatus, net::http_headers aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(call_end aEnd, const std::string& aReason) override;

private:
  void TryServer(instant aNow);
  void Send(const backend_id& aServer, const net::endpoint& aAddress, instant aNow);
  void Drop(bool aFailed);
  bool IsIdempotent() const { return mRequest.mRoute->mKind == request_kind::Idempotent; }
  bool MayRepeat(instant aNow);
  void TakeFailure(const std::string& aReason, instant aNow);
  void TakeTimeout();
  void HandOn();
  void GiveUp(const std::string& aReason, instant aNow);
  void End(request_end aEnd, unsigned aStatus, const std::string& aReason);
  const std::string& Id() const { return mRequest.mMetadata.mId.Str(); }

  request_environment& mEnvironment;
  admitted_request mRequest;
  boost::asio::steady_timer mTimer;
  std::optional<backend_id> mServer;
  ref<backend_call> mCall;
  std::set<backend_id> mExcluded;
  unsigned mRuns = 0; ///< servers that may have run it
  unsigned mSends = 0;
  unsigned mStatus = 0;
  bool mHasHead = false;
  net::http_headers mHeaders;
  wire::answer_note mNote;
  std::string mBody;
  bool mIsEnded = false;
};

} // namespace chervilpulley::gateway
