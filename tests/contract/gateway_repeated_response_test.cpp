#include "gateway/backend_call.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/wire.h"
#include "support/scripted_server.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);
const std::string kMine = "mine";
const std::string kEarlier = "earlier";

/// The response that a call passed on, and how it ended.
class last_response : public call_handler
{
public:
  explicit last_response(std::function<void()> aDone)
    : mDone(std::move(aDone))
  {
  }

  void OnHead(unsigned aStatus, net::http_headers aHeaders) override
  {
    mStatus = aStatus;
    mIsCertain = mCall->IsResponseCertain();
    mDidNotRun = wire::DecodeResponseMetadata(aStatus, aHeaders).mDidNotRun;
  }
  void OnBody(std::string_view aBytes) override { mBody += aBytes; }
  void OnEnd(call_end aEnd, const std::string&) override
  {
    mEnd = aEnd;
    mDone();
  }
  /// Whether the request's sender may believe that it did not run.
  bool IsRefused() const { return mStatus != 0 && mDidNotRun && mIsCertain; }
  bool IsAnswered() const { return mEnd == call_end::Complete && mStatus == 200 && mIsCertain; }

  ref<backend_call> mCall;
  unsigned mStatus = 0;
  bool mIsCertain = false;
  bool mDidNotRun = false;
  std::string mBody;
  std::optional<call_end> mEnd;

private:
  std::function<void()> mDone;
};

std::string Response(const std::string& aStatus, const std::string& aId, const std::string& aBody, bool aIsHead)
{
  const std::string name = aId.empty() ? "" : "X-Attempt-Id: " + aId + "\r\n";
  const std::string notRun = aStatus.starts_with("200") ? "X-Response-Stamp: s\r\n" : "X-Not-Executed: 1\r\n";
  return "HTTP/1.1 " + aStatus + "\r\n" + name + notRun + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + (aIsHead ? "" : aBody);
}

/// Calls whose handlers record one response each.
struct repeated_response_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<backend_calls> mCalls = backend_calls::Create(mContext);

  void Start(last_response& aResponse,
             const scripted_server& aServer,
             const std::string& aId,
             const std::string& aMethod = "GET",
             const std::string& aBody = "")
  {
    net::http_request request;
    request.mMethod = aMethod;
    request.mBody = aBody;
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
      const std::string earlier = Response(status, kEarlier, "earlier", false);
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

namespace {

/// When a response comes that belongs to no request.
enum class moment
{
  BesideTheResponseBefore,
  BetweenTheRequests,
  AsTheRequestIsSent, ///< after the connection was found to have no unread bytes
  BeforeTheBodyIsRead,
  BeforeItsOwnResponse
};

struct repeated_case
{
  moment mMoment;
  std::string mStatus;
  std::string mId;
  std::string mMethod;
  bool mHasInterim;
};

std::vector<repeated_case> RepeatedCases(const std::string& aId)
{
  std::vector<repeated_case> cases;
  for (const moment when : { moment::BesideTheResponseBefore,
                             moment::BetweenTheRequests,
                             moment::AsTheRequestIsSent,
                             moment::BeforeTheBodyIsRead,
                             moment::BeforeItsOwnResponse }) {
    for (const std::string& status : { "503 Busy", "429 Too Many", "421 Misdirected" }) {
      for (const std::string& method : { "GET", "HEAD", "POST" }) {
        cases.push_back({ when, status, aId, method, false });
        cases.push_back({ when, status, aId, method, true });
      }
    }
  }
  return cases;
}

/// Whether the connection is closed before the request, because bytes have arrived that belong to none.
bool IsFoundBefore(moment aMoment)
{
  return aMoment == moment::BesideTheResponseBefore || aMoment == moment::BetweenTheRequests;
}

/// Sends an earlier request and then one of its own, and gets the earlier refusal once more at some moment.
struct repeated_run
{
  repeated_response_fixture mFixture;
  scripted_server mServer;
  last_response mResponse;

  explicit repeated_run(const repeated_case& aCase)
    : mServer(mFixture.mContext,
              [=](std::size_t aConnection, std::size_t aRequest) { return Script(aCase, aConnection, aRequest); })
    , mResponse([this] { mFixture.mContext.stop(); })
  {
    const std::string repeated = Response(aCase.mStatus, aCase.mId, "not run", false);
    mServer.OnHead([=](std::size_t aConnection, std::size_t aRequest) {
      const bool isNow = aCase.mMoment == moment::BeforeTheBodyIsRead && aConnection == 0 && aRequest == 1;
      return isNow ? repeated : "";
    });
    last_response first([this] { mFixture.mContext.stop(); });
    mFixture.Start(first, mServer, kEarlier);
    mFixture.Run();
    REQUIRE(first.mEnd == call_end::Complete);
    if (aCase.mMoment == moment::BetweenTheRequests) {
      mServer.Write(0, repeated);
    }
    // A long body does not fit into the socket buffers, so part of it is unsent when the response comes.
    const std::size_t length = aCase.mMoment == moment::BeforeTheBodyIsRead ? 8U << 20U : 8U;
    mFixture.Start(mResponse, mServer, kMine, aCase.mMethod, std::string(aCase.mMethod == "POST" ? length : 0, 'x'));
    if (aCase.mMoment == moment::AsTheRequestIsSent) {
      mServer.Write(0, repeated);
    }
    mFixture.Run();
    REQUIRE(mResponse.mEnd);
  }

  static std::string Script(const repeated_case& aCase, std::size_t aConnection, std::size_t aRequest)
  {
    const std::string repeated = Response(aCase.mStatus, aCase.mId, "not run", false);
    if (aConnection == 0 && aRequest == 0) {
      return Response("200 OK", kEarlier, "ok", false) +
             (aCase.mMoment == moment::BesideTheResponseBefore ? repeated : "");
    }
    const bool isNow = aCase.mMoment == moment::BeforeItsOwnResponse && aConnection == 0;
    return (isNow ? repeated : "") + (aCase.mHasInterim ? "HTTP/1.1 100 Continue\r\n\r\n" : "") +
           Response("200 OK", kMine, "whole", aCase.mMethod == "HEAD");
  }
};

std::string NameOf(const repeated_case& aCase)
{
  return "moment " + std::to_string(static_cast<int>(aCase.mMoment)) + " " + aCase.mStatus + " " + aCase.mMethod +
         " names '" + aCase.mId + "'" + (aCase.mHasInterim ? " interim" : "");
}

} // namespace

TEST_CASE("request_on_a_kept_connection_with_an_earlier_refusal_that_names_its_request_is_answered")
{
  for (const repeated_case& each : RepeatedCases(kEarlier)) {
    INFO(NameOf(each));
    const repeated_run run(each);
    CHECK_FALSE(run.mResponse.IsRefused());
    if (each.mMethod == "HEAD" && !IsFoundBefore(each.mMoment)) {
      // Whether a response that belongs to another request has a body is not known.
      CHECK(run.mResponse.mEnd == call_end::Abort);
      continue;
    }
    CHECK(run.mResponse.IsAnswered());
    CHECK(run.mResponse.mBody == (each.mMethod == "HEAD" ? "" : "whole"));
  }
}

TEST_CASE("request_on_a_kept_connection_does_not_believe_a_refusal_without_an_id")
{
  for (const repeated_case& each : RepeatedCases("")) {
    INFO(NameOf(each));
    const repeated_run run(each);
    CHECK_FALSE(run.mResponse.IsRefused());
    CHECK(run.mResponse.IsAnswered() == IsFoundBefore(each.mMoment));
  }
}

TEST_CASE("request_on_a_kept_connection_believes_a_refusal_that_names_it_at_once")
{
  for (const repeated_case& each : RepeatedCases(kMine)) {
    INFO(NameOf(each));
    const repeated_run run(each);
    CHECK(run.mResponse.IsRefused() != IsFoundBefore(each.mMoment));
    CHECK(run.mResponse.IsAnswered() == IsFoundBefore(each.mMoment));
  }
}

TEST_CASE("request_on_a_new_connection_believes_a_refusal_that_names_it_or_none_but_not_another")
{
  for (const std::string& status : { "503 Busy", "429 Too Many", "421 Misdirected" }) {
    for (const std::string& id : { kMine, std::string(), kEarlier }) {
      INFO(status << " names '" << id << "'");
      repeated_response_fixture fixture;
      const scripted_server server(fixture.mContext, [&](std::size_t, std::size_t) {
        return Response(status, id, "not run", false) + Response(status, "", "not run", false);
      });
      last_response response([&] { fixture.mContext.stop(); });
      fixture.Start(response, server, kMine);
      fixture.Run();
      CHECK(response.mEnd == call_end::Complete);
      CHECK(response.IsRefused() == (id != kEarlier));
    }
  }
}
