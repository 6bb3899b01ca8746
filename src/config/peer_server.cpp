#include "config/peer_server.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/random.h"
#include "config/peer_client.h"
#include "rpc/peer_calls.h"

namespace chervilpulley::config {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kServiceUnavailable = 503;
constexpr std::uint32_t kMaxWaitMs = 10'000;

/// Handles one call. Remembers a pull without updates, so that it can wait for them and be handled again.
class call_handler : public rpc::peer_handler
{
public:
  call_handler(config_store& aStore, control_handler& aHandler)
    : mStore(aStore)
    , mHandler(aHandler)
  {
  }
  rpc::pull_config_reply PullConfig(const rpc::pull_config_request& aRequest) override
  {
    mIsPull = true;
    auto reply = mStore.HandlePull(aRequest);
    if (reply.mRevision <= aRequest.mAfterRevision) {
      mWaitingPull = aRequest;
    }
    return reply;
  }
  rpc::drain_reply Drain(const rpc::drain_request& aRequest) override { return mHandler.Drain(aRequest); }
  rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) override
  {
    return mHandler.ReportSuspect(aRequest);
  }
  rpc::get_status_reply GetStatus() override
  {
    return { mStore.Current()->Revision().Value(), mStore.Reports(), mHandler.Status() };
  }
  bool IsPull() const { return mIsPull; }
  const std::optional<rpc::pull_config_request>& WaitingPull() const { return mWaitingPull; }

private:
  config_store& mStore;
  control_handler& mHandler;
  bool mIsPull = false;
  std::optional<rpc::pull_config_request> mWaitingPull;
};

net::http_reply ErrorReply(unsigned aStatus, const char* aText)
{
  return net::JsonReply(aStatus, std::string(R"({"error":")") + aText + "\"}");
}

boost::asio::awaitable<net::http_reply> HandleCall(config_store& aStore, control_handler& aHandler, std::string aBody)
{
  call_handler handler(aStore, aHandler);
  std::string response = rpc::HandlePeerCall(handler, aBody);
  if (handler.IsPull() && !aStore.Ready()) {
    co_return ErrorReply(kServiceUnavailable, "the configuration is not known here yet");
  }
  const auto waitingPull = handler.WaitingPull();
  if (!waitingPull || waitingPull->mWaitMs == 0) {
    co_return net::JsonReply(kOk, std::move(response));
  }
  const auto time = std::chrono::milliseconds(std::min(waitingPull->mWaitMs, kMaxWaitMs));
  const revision_number after(waitingPull->mAfterRevision);
  const auto revision = co_await aStore.WaitForRevisionAbove(after, time);
  if (revision.Value() > after.Value()) {
    response = rpc::HandlePeerCall(handler, aBody);
  }
  co_return net::JsonReply(kOk, std::move(response));
}

} // namespace

net::http_handler MakePeerHandler(ref<config_store> aStore, control_handler& aHandler, std::string aClusterKey)
{
  return [store = std::move(aStore), &aHandler, key = std::move(aClusterKey)](
           net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    auto& request = aExchange.Request();
    if (net::PathOf(request.mTarget) != kPeerTarget) {
      co_await aExchange.Reply(ErrorReply(kNotFound, "no such target"));
      co_return;
    }
    if (request.mMethod != "POST") {
      co_await aExchange.Reply(ErrorReply(kMethodNotAllowed, "control calls use POST"));
      co_return;
    }
    if (!EqualConstantTime(request.mHeaders.Get(kClusterKeyHeader), key)) {
      co_await aExchange.Reply(ErrorReply(kUnauthorized, "cluster key is missing or wrong"));
      co_return;
    }
    auto reply = co_await HandleCall(*store, aHandler, std::move(request.mBody));
    co_await aExchange.Reply(std::move(reply));
  };
}

} // namespace chervilpulley::config
