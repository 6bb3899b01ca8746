#include "engine/service_client.h"

namespace chervilpulley::engine {

namespace {

service_error ToServiceError(const net::net_error& aError)
{
  const auto code = aError.mMaybeSent ? service_errc::MaybeRun : service_errc::NotSent;
  return { code, "service: " + aError.mMessage };
}

class http_service_client : public service_client
{
public:
  http_service_client(ref<net::http_client> aHttp, net::endpoint aEndpoint)
    : mHttp(std::move(aHttp))
    , mEndpoint(std::move(aEndpoint))
  {
  }

  boost::asio::awaitable<service_result> Call(net::http_request aRequest, duration aTimeout) override
  {
    const bool isSafe = aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD" || aRequest.mMethod == "OPTIONS";
    auto call = isSafe ? mHttp->Fetch(mEndpoint, std::move(aRequest), aTimeout)
                       : mHttp->FetchAlone(mEndpoint, std::move(aRequest), aTimeout);
    auto reply = co_await std::move(call);
    if (reply.has_error()) {
      co_return ToServiceError(reply.error());
    }
    co_return std::move(reply).value();
  }

private:
  ref<net::http_client> mHttp;
  net::endpoint mEndpoint;
};

} // namespace

ref<service_client> service_client::Create(ref<net::http_client> aHttp, net::endpoint aEndpoint)
{
  return MakeRef<http_service_client>(std::move(aHttp), std::move(aEndpoint));
}

} // namespace chervilpulley::engine
