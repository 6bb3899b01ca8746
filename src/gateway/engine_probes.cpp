#include "gateway/engine_probes.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

/// An engine that refuses repeatedly, or is on the path of slow streams, is probed at most once in this time.
constexpr duration kProbeInterval = std::chrono::milliseconds(250);
/// Largest response body of a call with a timeout.
constexpr std::size_t kMaxResponseBytes = 1U << 20U;

/// One call to a backend server that collects the response and gives up after a timeout.
class timed_call
  : public ref_counted
  , public call_handler
{
public:
  timed_call(boost::asio::io_context& aContext, response_handler aDone)
    : mTimer(aContext)
    , mDone(std::move(aDone))
  {
  }

  void Start(backend_calls& aCalls, const backend_address& aServer, net::http_request aRequest, duration aTimeout)
  {
    call_options options;
    options.mTo = aServer;
    options.mConnectTimeout = aTimeout;
    mSelf = ref<timed_call>(this);
    mTimer.expires_after(aTimeout);
    mTimer.async_wait([self = ref<timed_call>(this)](const boost::system::error_code& aError) {
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
    if (mReply.mBody.size() > kMaxResponseBytes) {
      Done(std::nullopt);
    }
  }
  void OnEnd(call_end aEnd, const std::string&) override
  {
    if (IsWhole(aEnd)) {
      Done(std::move(mReply));
    } else {
      Done(std::nullopt);
    }
  }

private:
  void Done(std::optional<net::http_reply> aReply)
  {
    const ref<timed_call> self = std::exchange(mSelf, nullptr);
    if (!self) {
      return;
    }
    mTimer.cancel();
    if (mCall) {
      mCall->Cancel();
      mCall.reset();
    }
    const response_handler done = std::move(mDone);
    done(std::move(aReply));
  }

  boost::asio::steady_timer mTimer;
  response_handler mDone;
  ref<backend_call> mCall;
  ref<timed_call> mSelf; ///< keeps the call alive until it is done
  net::http_reply mReply;
};

} // namespace

void CallWithTimeout(boost::asio::io_context& aContext,
                     const ref<backend_calls>& aCalls,
                     const backend_address& aServer,
                     net::http_request aRequest,
                     duration aTimeout,
                     response_handler aDone)
{
  MakeRef<timed_call>(aContext, std::move(aDone))->Start(*aCalls, aServer, std::move(aRequest), aTimeout);
}

void engine_probes::Probe(const backend_id& aEngine, report_handler aDone)
{
  auto& waiting = mWaiting[aEngine];
  waiting.push_back(std::move(aDone));
  if (waiting.size() > 1) {
    return;
  }
  const auto address = mFleet->AddressOf(aEngine);
  const ref<engine_probes> self(this);
  if (!address) {
    boost::asio::post(mContext, [self, aEngine] { self->OnResponse(aEngine, std::nullopt); });
    return;
  }
  CallWithTimeout(mContext,
                  mCalls,
                  *address,
                  wire::EncodeReportRequest(),
                  kProbeTimeout,
                  [self, aEngine](std::optional<net::http_reply> aReply) { self->OnResponse(aEngine, aReply); });
}

void engine_probes::ProbeSuspect(const backend_id& aEngine)
{
  const instant now = Now();
  instant& probedAt = mProbedAt[aEngine];
  if (now - probedAt < kProbeInterval || mFleet->IsLostOrUnlisted(aEngine, now) || mFleet->IsPaused(aEngine, now)) {
    return;
  }
  probedAt = now;
  Probe(aEngine, [self = ref<engine_probes>(this), aEngine](const auto& aReport) {
    if (!aReport) {
      self->mFleet->MarkLost(aEngine, Now());
    }
  });
}

void engine_probes::OnResponse(const backend_id& aEngine, const std::optional<net::http_reply>& aReply)
{
  std::optional<wire::engine_report> report;
  std::string fault = "no valid response";
  if (aReply && aReply->mStatus == 200) {
    report = wire::DecodeReport(aReply->mBody, fault);
  }
  if (!report) {
    log_line(log_event::ReportMissing).Text("backend", aEngine.Str()).Text("reason", fault);
  }
  if (report) {
    mFleet->HandleReport(aEngine, *report, Now());
  }
  const auto waiting = std::move(mWaiting[aEngine]);
  mWaiting.erase(aEngine);
  for (const report_handler& done : waiting) {
    done(report);
  }
}

} // namespace chervilpulley::gateway
