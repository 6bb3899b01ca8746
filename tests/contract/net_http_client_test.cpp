#include "net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

#include "support/scripted_server.h"

using namespace chervilpulley;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);

std::string Response(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// A client whose calls run one after the other on its own event loop.
struct http_client_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<net::http_client> mClient = net::http_client::Create(mContext);

  std::optional<net::net_result<net::http_reply>> Call(const scripted_server& aServer, bool aIsStreamed)
  {
    net::http_request request;
    request.mMethod = "PUT";
    request.mBody = "value";
    std::optional<net::net_result<net::http_reply>> reply;
    std::string streamed;
    boost::asio::co_spawn(
      mContext,
      [&]() -> boost::asio::awaitable<void> {
        if (aIsStreamed) {
          reply.emplace(co_await mClient->Stream(aServer.Address(), request, kLimit, [&](std::string_view aBytes) {
            streamed += aBytes;
            return true;
          }));
        } else {
          reply.emplace(co_await mClient->Fetch(aServer.Address(), request, kLimit));
        }
      },
      boost::asio::detached);
    mContext.restart();
    while (!reply && mContext.run_one() > 0) {
    }
    if (reply && reply->has_value()) {
      reply->value().mBody += streamed;
    }
    return reply;
  }
};

} // namespace

TEST_CASE("http_client_with_a_repeated_response_beside_the_real_one_does_not_take_it_for_the_next_response")
{
  for (const bool isStreamed : { false, true }) {
    for (const std::string& repeated :
         { Response("409 Conflict", "old"), Response("200 OK", "old"), std::string("HTTP/1.1 503 B") }) {
      INFO(repeated << (isStreamed ? " streamed" : ""));
      http_client_fixture fixture;
      scripted_server server(fixture.mContext, [&](std::size_t aConnection, std::size_t aRequest) {
        const bool isFirst = aConnection == 0 && aRequest == 0;
        return isFirst ? Response("201 Created", "first") + repeated : Response("202 Accepted", "second");
      });
      const auto first = fixture.Call(server, isStreamed);
      REQUIRE((first && first->has_value()));
      CHECK(first->value().mBody == "first");
      const auto second = fixture.Call(server, isStreamed);
      REQUIRE((second && second->has_value()));
      CHECK(second->value().mStatus == 202);
      CHECK(second->value().mBody == "second");
      CHECK(server.Connections() == 2);
    }
  }
}

TEST_CASE("http_client_with_a_repeated_response_between_two_calls_does_not_take_it_for_the_next_response")
{
  for (const bool isStreamed : { false, true }) {
    http_client_fixture fixture;
    scripted_server server(fixture.mContext, [&](std::size_t aConnection, std::size_t) {
      return aConnection == 0 ? Response("201 Created", "first") : Response("202 Accepted", "second");
    });
    const auto first = fixture.Call(server, isStreamed);
    REQUIRE((first && first->has_value()));
    server.Write(0, Response("409 Conflict", "old"));
    const auto second = fixture.Call(server, isStreamed);
    REQUIRE((second && second->has_value()));
    CHECK(second->value().mStatus == 202);
    CHECK(server.Connections() == 2);
  }
}

// What a response announces or puts into its trailer must fail its call and not end the process.
TEST_CASE("http_client_with_a_length_beyond_all_memory_or_a_huge_trailer_field_fails_that_call_alone")
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  for (const bool isStreamed : { false, true }) {
    for (const std::string& response :
         { std::string("HTTP/1.1 200 OK\r\nContent-Length: 800800800800800\r\nConnection: close\r\n\r\nshort"),
           chunked + "X-Filler: " + std::string(70'000, 'x') + "\r\n\r\n" }) {
      INFO(response.substr(0, 70) << (isStreamed ? " streamed" : ""));
      http_client_fixture fixture;
      scripted_server server(fixture.mContext, [&](std::size_t aConnection, std::size_t) {
        return aConnection == 0 ? response : Response("200 OK", "sound");
      });
      server.CloseAfterFirstResponse();
      const auto first = fixture.Call(server, isStreamed);
      REQUIRE(first);
      CHECK_FALSE(first->has_value());
      const auto second = fixture.Call(server, isStreamed);
      CHECK((second && second->has_value()));
    }
  }
}

TEST_CASE("http_client_with_sound_responses_reuses_its_connection")
{
  for (const bool isStreamed : { false, true }) {
    http_client_fixture fixture;
    scripted_server server(fixture.mContext, [&](std::size_t, std::size_t) { return Response("200 OK", "sound"); });
    REQUIRE(fixture.Call(server, isStreamed));
    REQUIRE(fixture.Call(server, isStreamed));
    CHECK(server.Connections() == 1);
  }
}
