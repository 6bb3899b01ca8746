#include "gateway/backend_call.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "support/scripted_server.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);
const std::string kEarlier = "earlier";

/// The response that a call passed on, and how it ended.
class last_response : public call_handler
{
public:
  explicit last_response(std::function<void()> aDone)
    : mDone(std::move(aDone))
  {
  }

  void OnHead(unsigned aStatus, net::http_headers) override { mStatus = aStatus; }
  void OnBody(std::string_view aBytes) override { mBody += aBytes; }
  void OnEnd(call_end aEnd, const std::string&) override
  {
    mEnd = aEnd;
    mDone();
  }

  ref<backend_call> mCall;
  unsigned mStatus = 0;
  std::string mBody;
  std::optional<call_end> mEnd;

private:
  std::function<void()> mDone;
};

std::string Response(const std::string& aStatus, const std::string& aId, const std::string& aBody)
{
  const std::string name = aId.empty() ? "" : "X-Attempt-Id: " + aId + "\r\n";
  const std::string notRun = aStatus.starts_with("200") ? "X-Response-Stamp: s\r\n" : "X-Not-Executed: 1\r\n";
  return "HTTP/1.1 " + aStatus + "\r\n" + name + notRun + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// Calls whose handlers record one response each.
struct repeated_response_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<backend_calls> mCalls = backend_calls::Create(mContext);

  void Start(last_response& aResponse, const scripted_server& aServer, const std::string& aId)
  {
    net::http_request request;
    if (!aId.empty()) {
      request.mHeaders.Set("X-Attempt-Id", aId);
    }
    call_options options;
    options.mTo = { { backend_id("server"), 1 }, aServer.Address() };
    options.mRequestId = aId;
    options.mConnectTimeout = kLimit;
    aResponse.mCall = mCalls->Start(options, std::move(request), aResponse);
  }

  void Run()
  {
    mContext.restart();
    mContext.run_for(kLimit);
  }
};

} // namespace

TEST_CASE("backend_call_without_an_id_on_a_kept_connection_skips_a_response_that_names_a_request")
{
  for (const std::string& status : { "503 Busy", "421 Misdirected", "200 OK" }) {
    INFO(status);
    repeated_response_fixture fixture;
    const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport";
    const scripted_server server(fixture.mContext, [&](std::size_t, std::size_t aRequest) {
      const std::string earlier = Response(status, kEarlier, "earlier");
      return aRequest == 0 ? earlier : earlier + report;
    });
    const auto stop = [&] { fixture.mContext.stop(); };
    last_response first(stop);
    fixture.Start(first, server, kEarlier);
    fixture.Run();
    REQUIRE(first.mEnd == call_end::Complete);
    last_response second(stop);
    fixture.Start(second, server, "");
    fixture.Run();
    CHECK(second.mEnd == call_end::Complete);
    CHECK(second.mStatus == 200);
    CHECK(second.mBody == "report");
    CHECK(server.Connections() == 1);
  }
}
