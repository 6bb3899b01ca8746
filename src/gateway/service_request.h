#pragma once

#include <boost/asio/steady_timer.hpp>

#include "gateway/request_context.h"

/// A request that one plain backend server answers whole. One that must not run twice is never sent again after a
/// server may have begun to run it.
namespace chervilpulley::gateway {

class service_request
  : public request_work
  , public call_owner
{
public:
  service_request(request_tools& aTools, admitted_request aRequest);

  void Start();

  void OnCallerGone() override;
  void OnTaken() override {}
  void OnHead(unsigned aStatus, net::http_headers aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(call_end aEnd, const std::string& aReason) override;

private:
  void TryServer(instant aNow);
  void Send(const backend_id& aServer, const net::endpoint& aAddress, instant aNow);
  void Drop(bool aFailed);
  bool IsIdempotent() const { return mAsked.mRoute->mKind == request_kind::Idempotent; }
  bool MayRepeat(instant aNow);
  void TakeFailure(const std::string& aReason, instant aNow);
  void TakeTimeout();
  void HandOn();
  void GiveUp(const std::string& aReason, instant aNow);
  void End(request_end aEnd, unsigned aStatus, const std::string& aReason);
  const std::string& Id() const { return mAsked.mWish.mId.Str(); }

  request_tools& mTools;
  admitted_request mAsked;
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
