#include "sidecar/service_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <vector>

#include "base/clock.h"
#include "net/http_server.h"
#include "support/recording_link.h"

using namespace chervilpulley;
using namespace chervilpulley::sidecar;

namespace {

constexpr auto kLimit = std::chrono::seconds(20);

/// A runner that counts what it runs.
class counting_runner : public service_runner
{
public:
  boost::asio::awaitable<service_outcome> Run(link::service_call, request_id) override
  {
    ++mRuns;
    link::service_reply reply;
    reply.set_status(200);
    co_return reply;
  }
  void SetHonoursKey(bool) override {}
  std::size_t OpenBookings() const override { return 0; }

  std::size_t mRuns = 0;
};

/// A sidecar whose service is up.
struct service_calls_fixture
{
  service_calls_fixture()
  {
    boost::asio::co_spawn(mContext, mMonitor->Run(), boost::asio::detached);
    const instant limit = Now() + kLimit;
    while (!mMonitor->IsUp() && Now() < limit) {
      mContext.run_one_for(kLimit);
    }
    REQUIRE(mMonitor->IsUp());
  }

  link::frame ResponseToCall()
  {
    link::frame call;
    call.set_request("r1");
    call.mutable_call()->set_workspace("workspace-1");
    const std::size_t before = mLink->mFrames.size();
    mCalls->OnCall(mLink, call);
    const instant limit = Now() + kLimit;
    while (mLink->mFrames.size() == before && Now() < limit) {
      mContext.run_one_for(kLimit);
    }
    REQUIRE(mLink->mFrames.size() == before + 1);
    return mLink->mFrames.back();
  }

  static boost::asio::awaitable<void> RespondToProbe(net::http_exchange& aExchange)
  {
    co_await aExchange.Reply(net::JsonReply(200, "{}"));
  }

  boost::asio::io_context mContext;
  ref<net::http_server> mService = net::http_server::Start(mContext, { "127.0.0.1", 0 }, RespondToProbe, {}).value();
  ref<backend_monitor> mMonitor =
    MakeRef<backend_monitor>(mContext,
                             net::http_client::Create(mContext),
                             backend_options{ backend_kind::Service, mService->LocalEndpoint() },
                             [] {});
  ref<counting_runner> mRunner = MakeRef<counting_runner>();
  ref<const config::config_view> mView = config::MakeConfigView(revision_number(1), {});
  ref<test::recording_link> mLink = MakeRef<test::recording_link>();
  ref<service_calls> mCalls = MakeRef<service_calls>(
    mContext,
    instance_id("sidecar-1"),
    mRunner,
    mMonitor,
    MakeRef<admission_gate>(mContext, gate_limits{}, metrics::process_metrics::Create()),
    [this] { return mView; },
    MakeRef<link::local_revision>());
};

} // namespace

TEST_CASE_METHOD(service_calls_fixture, "service_calls_of_a_sidecar_that_is_leaving_are_refused_as_not_run")
{
  CHECK(ResponseToCall().has_reply());
  mCalls->Leave(true);
  const link::frame refused = ResponseToCall();
  REQUIRE(refused.has_refused());
  CHECK(refused.refused().reason() == link::REFUSAL_LEAVING);
  CHECK(refused.refused().outcome() == link::OUTCOME_NOT_RUN);
  CHECK(refused.refused().retry_after_ms() > 0);
  CHECK(mRunner->mRuns == 1);
  mCalls->Leave(false);
  CHECK(ResponseToCall().has_reply());
}
