#include "gateway/engine_inquiries.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

/// An engine that refuses again and again, or is on the way of slow streams, is asked at most once in this time.
constexpr duration kCheckPause = std::chrono::milliseconds(250);
/// Largest answer of a short call.
constexpr std::size_t kMostBytes = 1U << 20U;

class short_call
  : public ref_counted
  , public call_handler
{
public:
  short_call(boost::asio::io_context& aContext, short_answer aDone)
    : mTimer(aContext)
    , mDone(std::move(aDone))
  {
  }

  void Start(backend_calls& aCalls, const net::endpoint& aServer, net::http_request aRequest, duration aTimeout)
  {
    call_options options;
    options.mServer = aServer;
    options.mConnectTimeout = aTimeout;
    mSelf = ref<short_call>(this);
    mTimer.expires_after(aTimeout);
    mTimer.async_wait([self = ref<short_call>(this)](const boost::system::error_code& aError) {
      if (!aError) {
        self->Done(std::nullopt);
      }
    });
    mCall = aCalls.Start(options, std::move(aRequest), *this);
  }

  void OnHead(unsigned aStatus, net::http_headers aHeaders) override
  {
    mReply.mStatus = aStatus;
    mReply.mHeaders = std::move(aHeaders);
  }
  void OnBody(std::string_view aBytes) override
  {
    mReply.mBody.append(aBytes);
    if (mReply.mBody.size() > kMostBytes) {
      Done(std::nullopt);
    }
  }
  void OnEnd(call_end aEnd, const std::string&) override
  {
    if (aEnd == call_end::Complete) {
      Done(std::move(mReply));
    } else {
      Done(std::nullopt);
    }
  }

private:
  void Done(std::optional<net::http_reply> aReply)
  {
    const ref<short_call> self = std::exchange(mSelf, nullptr);
    if (!self) {
      return;
    }
    mTimer.cancel();
    if (mCall) {
      mCall->Cancel();
      mCall.reset();
    }
    const short_answer done = std::move(mDone);
    done(std::move(aReply));
  }

  boost::asio::steady_timer mTimer;
  short_answer mDone;
  ref<backend_call> mCall;
  ref<short_call> mSelf; ///< until it is done
  net::http_reply mReply;
};

} // namespace

void CallShortly(boost::asio::io_context& aContext,
                 const ref<backend_calls>& aCalls,
                 const net::endpoint& aServer,
                 net::http_request aRequest,
                 duration aTimeout,
                 short_answer aDone)
{
  MakeRef<short_call>(aContext, std::move(aDone))->Start(*aCalls, aServer, std::move(aRequest), aTimeout);
}

void engine_inquiries::Ask(const backend_id& aEngine, answer aDone)
{
  auto& waiting = mWaiting[aEngine];
  waiting.push_back(std::move(aDone));
  if (waiting.size() > 1) {
    return;
  }
  const auto address = mFleet->AddressOf(aEngine);
  const ref<engine_inquiries> self(this);
  if (!address) {
    boost::asio::post(mContext, [self, aEngine] { self->Answered(aEngine, std::nullopt); });
    return;
  }
  CallShortly(mContext,
              mCalls,
              *address,
              wire::EncodeReportRequest(),
              kInquiryTimeout,
              [self, aEngine](std::optional<net::http_reply> aReply) { self->Answered(aEngine, aReply); });
}

void engine_inquiries::Check(const backend_id& aEngine)
{
  const instant now = Now();
  instant& checkedAt = mCheckedAt[aEngine];
  if (now - checkedAt < kCheckPause || mFleet->IsBelievedLost(aEngine, now)) {
    return;
  }
  checkedAt = now;
  Ask(aEngine, [self = ref<engine_inquiries>(this), aEngine](const auto& aReport) {
    if (!aReport) {
      self->mFleet->BelieveLost(aEngine, Now());
    }
  });
}

void engine_inquiries::Answered(const backend_id& aEngine, const std::optional<net::http_reply>& aReply)
{
  std::optional<wire::engine_report> report;
  std::string fault = "no answer";
  if (aReply && aReply->mStatus == 200) {
    report = wire::DecodeReport(aReply->mBody, fault);
  }
  if (!report) {
    log_line(log_event::ReportMissing).Text("backend", aEngine.Str()).Text("reason", fault);
  }
  if (report) {
    mFleet->Reported(aEngine, *report, Now());
  }
  const auto waiting = std::move(mWaiting[aEngine]);
  mWaiting.erase(aEngine);
  for (const answer& done : waiting) {
    done(report);
  }
}

} // namespace chervilpulley::gateway
