#include "config/peer_client.h"

#include <utility>

namespace chervilpulley::config {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnauthorized = 401;

rpc::peer_error Error(rpc::peer_errc aCode, const std::string& aDetail)
{
  return rpc::peer_error{ aCode, std::string(rpc::PeerErrorText(aCode)) + ": " + aDetail };
}

class http_peer_client : public peer_client
{
public:
  http_peer_client(ref<net::http_client> aClient, std::string aClusterKey)
    : mClient(std::move(aClient))
    , mClusterKey(std::move(aClusterKey))
  {
  }

  peer_call<rpc::pull_config_reply> PullConfig(net::endpoint aPeer,
                                               rpc::pull_config_request aRequest,
                                               duration aTimeout) override
  {
    const duration timeout = aTimeout + std::chrono::milliseconds(aRequest.mWaitMs);
    auto body = co_await Post(std::move(aPeer), rpc::MakePullConfigCall(aRequest), timeout);
    BOOST_OUTCOME_CO_TRY(auto text, std::move(body));
    co_return rpc::ParsePullConfigReply(text);
  }

  peer_call<rpc::drain_reply> Drain(net::endpoint aPeer, rpc::drain_request aRequest, duration aTimeout) override
  {
    auto body = co_await Post(std::move(aPeer), rpc::MakeDrainCall(aRequest), aTimeout);
    BOOST_OUTCOME_CO_TRY(auto text, std::move(body));
    co_return rpc::ParseDrainReply(text);
  }

  peer_call<rpc::report_suspect_reply> ReportSuspect(net::endpoint aPeer,
                                                     rpc::report_suspect_request aRequest,
                                                     duration aTimeout) override
  {
    auto body = co_await Post(std::move(aPeer), rpc::MakeReportSuspectCall(aRequest), aTimeout);
    BOOST_OUTCOME_CO_TRY(auto text, std::move(body));
    co_return rpc::ParseReportSuspectReply(text);
  }

  peer_call<rpc::get_status_reply> GetStatus(net::endpoint aPeer, duration aTimeout) override
  {
    auto body = co_await Post(std::move(aPeer), rpc::MakeGetStatusCall(), aTimeout);
    BOOST_OUTCOME_CO_TRY(auto text, std::move(body));
    co_return rpc::ParseGetStatusReply(text);
  }

private:
  peer_call<std::string> Post(net::endpoint aPeer, std::string aBody, duration aTimeout)
  {
    const std::string peer = aPeer.Str();
    net::http_request request;
    request.mMethod = "POST";
    request.mTarget = kPeerTarget;
    request.mHeaders.Set("Content-Type", "application/json");
    request.mHeaders.Set(kClusterKeyHeader, mClusterKey);
    request.mBody = std::move(aBody);
    auto reply = co_await mClient->Fetch(std::move(aPeer), std::move(request), aTimeout);
    if (!reply) {
      co_return Error(rpc::peer_errc::Unreachable, peer + ": " + reply.error().mMessage);
    }
    if (reply.value().mStatus == kUnauthorized) {
      co_return Error(rpc::peer_errc::Unauthorized, peer);
    }
    if (reply.value().mStatus != kOk) {
      co_return Error(rpc::peer_errc::Failed, peer + " with status " + std::to_string(reply.value().mStatus));
    }
    co_return std::move(reply.value().mBody);
  }

  const ref<net::http_client> mClient;
  const std::string mClusterKey;
};

} // namespace

ref<peer_client> peer_client::Create(ref<net::http_client> aClient, std::string aClusterKey)
{
  return MakeRef<http_peer_client>(std::move(aClient), std::move(aClusterKey));
}

} // namespace chervilpulley::config
