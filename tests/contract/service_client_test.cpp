#include "engine/service_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <catch2/catch.hpp>

#include <optional>

#include "net/http_server.h"
#include "support/scripted_server.h"

using namespace chervilpulley;
using namespace chervilpulley::engine;

namespace {

constexpr duration kTimeout = std::chrono::milliseconds(200);

struct service_client_fixture
{
  ~service_client_fixture()
  {
    if (mServer) {
      mServer->StopAccepting();
    }
  }

  void Serve(net::http_handler aHandler)
  {
    auto server = net::http_server::Start(mContext, { "127.0.0.1", 0 }, std::move(aHandler), {});
    REQUIRE(server.has_value());
    mServer = server.value();
    mEndpoint = mServer->LocalEndpoint();
  }

  service_result Call()
  {
    const auto client = service_client::Create(net::http_client::Create(mContext), mEndpoint);
    std::optional<service_result> callResult;
    boost::asio::co_spawn(
      mContext,
      [&]() -> boost::asio::awaitable<void> {
        net::http_request request;
        request.mMethod = "POST";
        request.mTarget = "/reserve";
        callResult.emplace(co_await client->Call(request, kTimeout));
      },
      boost::asio::detached);
    mContext.restart();
    while (!callResult && mContext.run_one() > 0) {
    }
    REQUIRE(callResult);
    return *callResult;
  }

  boost::asio::io_context mContext;
  ref<net::http_server> mServer;
  net::endpoint mEndpoint;
  int mRunCount = 0;
};

} // namespace

TEST_CASE_METHOD(service_client_fixture, "service_client_error_status_is_a_response")
{
  Serve([](net::http_exchange& aExchange) -> boost::asio::awaitable<void> {
    co_await aExchange.Reply(net::JsonReply(500, "{}"));
  });
  const auto reply = Call();
  REQUIRE(reply.has_value());
  REQUIRE(reply.value().mStatus == 500);
}

TEST_CASE_METHOD(service_client_fixture, "service_client_without_connection_returns_not_sent")
{
  Serve([](net::http_exchange&) -> boost::asio::awaitable<void> { co_return; });
  mServer->StopAccepting();
  mContext.poll();
  const auto reply = Call();
  REQUIRE(reply.has_error());
  REQUIRE(reply.error().mCode == service_errc::NotSent);
}

TEST_CASE_METHOD(service_client_fixture, "service_client_connection_closed_after_dispatch_returns_maybe_run")
{
  Serve([this](net::http_exchange&) -> boost::asio::awaitable<void> {
    ++mRunCount;
    co_return;
  });
  const auto reply = Call();
  REQUIRE(reply.has_error());
  REQUIRE(reply.error().mCode == service_errc::MaybeRun);
  REQUIRE(mRunCount == 1);
}

TEST_CASE_METHOD(service_client_fixture, "service_client_timeout_returns_maybe_run")
{
  boost::asio::steady_timer never(mContext, std::chrono::hours(1));
  Serve([&](net::http_exchange&) -> boost::asio::awaitable<void> {
    ++mRunCount;
    co_await never.async_wait(boost::asio::use_awaitable);
  });
  const auto reply = Call();
  REQUIRE(reply.has_error());
  REQUIRE(reply.error().mCode == service_errc::MaybeRun);
  REQUIRE(mRunCount == 1);
}

TEST_CASE("service_client_booking_does_not_take_an_earlier_response_that_comes_once_more_for_its_own")
{
  for (const std::string& method : { "POST", "PUT", "DELETE", "PATCH" }) {
    for (const std::string& status : { "503 Busy", "429 Too Many", "201 Created" }) {
      INFO(method << " " << status);
      boost::asio::io_context context(1);
      const std::string earlier = "HTTP/1.1 " + status + "\r\nContent-Length: 7\r\n\r\nearlier";
      const scripted_server server(context, [&](std::size_t aConnection, std::size_t aRequest) {
        const std::string own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
        return aConnection == 0 ? (aRequest == 0 ? earlier : earlier + own) : own;
      });
      const auto client = service_client::Create(net::http_client::Create(context), server.Address());
      std::optional<service_result> second;
      boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          net::http_request request;
          request.mMethod = method;
          co_await client->Call(request, std::chrono::seconds(10));
          second.emplace(co_await client->Call(request, std::chrono::seconds(10)));
        },
        boost::asio::detached);
      while (!second && context.run_one() > 0) {
      }
      REQUIRE((second && second->has_value()));
      CHECK(second->value().mStatus == 200);
      CHECK(second->value().mBody == "own");
    }
  }
}
