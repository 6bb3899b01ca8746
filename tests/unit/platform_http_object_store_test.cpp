#include "platform/http_object_store.h"
#include "platform/live_list.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace chervilpulley;
using namespace chervilpulley::platform;

namespace {

/// Responds to each call with mReply or mError, and records the request.
class scripted_client : public net::http_client
{
public:
  boost::asio::awaitable<net::net_result<net::http_reply>> Fetch(net::endpoint,
                                                                 net::http_request aRequest,
                                                                 duration aTimeout) override
  {
    mRequest = std::move(aRequest);
    mTimeout = aTimeout;
    if (mError) {
      co_return *mError;
    }
    co_return mReply;
  }
  boost::asio::awaitable<net::net_result<net::http_reply>> FetchAlone(net::endpoint aEndpoint,
                                                                      net::http_request aRequest,
                                                                      duration aTimeout) override
  {
    return Fetch(std::move(aEndpoint), std::move(aRequest), aTimeout);
  }
  boost::asio::awaitable<net::net_result<net::http_reply>> Stream(net::endpoint aEndpoint,
                                                                  net::http_request aRequest,
                                                                  duration aTimeout,
                                                                  net::body_sink) override
  {
    return Fetch(std::move(aEndpoint), std::move(aRequest), aTimeout);
  }

  net::http_request mRequest;
  net::http_reply mReply;
  std::optional<net::net_error> mError;
  duration mTimeout{};
};

struct http_object_store_fixture
{
  template<class T>
  T Run(boost::asio::awaitable<T> aCall)
  {
    std::optional<T> returned;
    boost::asio::io_context context;
    boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> { returned.emplace(co_await std::move(aCall)); },
      boost::asio::detached);
    context.run();
    return std::move(*returned);
  }
  void Respond(unsigned aStatus, std::string aBody, const std::string& aTag = "")
  {
    mClient->mReply = net::http_reply{ aStatus, {}, std::move(aBody) };
    mClient->mError.reset();
    if (!aTag.empty()) {
      mClient->mReply.mHeaders.Set("ETag", aTag);
    }
  }

  ref<scripted_client> mClient = MakeRef<scripted_client>();
  http_object_store mStore{ mClient, net::endpoint{ "127.0.0.1", 1 }, instance_id("i-1"), std::chrono::seconds(1) };
};

} // namespace

TEST_CASE_METHOD(http_object_store_fixture, "http_object_store_call_sends_condition_and_writer")
{
  Respond(201, "", "\"8\"");
  REQUIRE(Run(mStore.Create("a b/c", "body")).value() == object_version(8));
  REQUIRE(mClient->mRequest.mMethod == "PUT");
  REQUIRE(mClient->mRequest.mTarget == "/objects/a%20b/c");
  REQUIRE(mClient->mRequest.mHeaders.Get("If-None-Match") == "*");
  REQUIRE(mClient->mRequest.mHeaders.Get("X-Writer") == "i-1");
  Respond(200, "", "\"9\"");
  REQUIRE(Run(mStore.Update("k", "body", object_version(8))).value() == object_version(9));
  REQUIRE(mClient->mRequest.mHeaders.Get("If-Match") == "\"8\"");
  Respond(204, "");
  REQUIRE(Run(mStore.Delete("k", object_version(9))).has_value());
  REQUIRE(mClient->mRequest.mHeaders.Get("If-Match") == "\"9\"");
}

TEST_CASE_METHOD(http_object_store_fixture, "http_object_store_read_parses_response")
{
  Respond(200, "body", "\"5\"");
  REQUIRE(Run(mStore.Get("k")).value().mVersion == object_version(5));
  Respond(200, R"({"objects":[{"key":"a","version":3,"size":1}]})");
  REQUIRE(Run(mStore.List("p/", "p/a&b", 10)).value().at(0).mKey == "a");
  REQUIRE(mClient->mRequest.mTarget == "/objects?prefix=p/&after=p/a%26b&limit=10");
  Respond(200, R"({"sequence":4,"events":[{"key":"a","version":4,"deleted":false}]})");
  const auto watch = Run(mStore.Watch("p/", object_version(3), std::chrono::seconds(2)));
  REQUIRE(watch.value().mSequence == object_version(4));
  REQUIRE(mClient->mRequest.mTarget == "/watch?prefix=p/&after=3&timeout_ms=2000");
  REQUIRE(mClient->mTimeout == std::chrono::seconds(3));
}

TEST_CASE_METHOD(http_object_store_fixture, "http_object_store_error_status_maps_to_error_code")
{
  struct row
  {
    unsigned mStatus;
    platform_errc mRead;
    platform_errc mWrite;
  };
  const row rows[] = {
    { 404, platform_errc::NotFound, platform_errc::NotFound },
    { 412, platform_errc::Conflict, platform_errc::Conflict },
    { 413, platform_errc::TooLarge, platform_errc::TooLarge },
    { 429, platform_errc::RateLimited, platform_errc::RateLimited },
    { 500, platform_errc::Unavailable, platform_errc::Unknown },
    { 503, platform_errc::Unavailable, platform_errc::Unavailable },
    { 302, platform_errc::BadReply, platform_errc::BadReply },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mStatus);
    Respond(row.mStatus, "");
    REQUIRE(Run(mStore.Get("k")).error().mCode == row.mRead);
    REQUIRE(Run(mStore.Create("k", "b")).error().mCode == row.mWrite);
    REQUIRE(Run(mStore.Delete("k", object_version(1))).error().mCode == row.mWrite);
  }
}

TEST_CASE_METHOD(http_object_store_fixture, "http_object_store_write_without_response_is_unknown")
{
  mClient->mError = net::net_error{ net::net_errc::Timeout, "no response", true };
  REQUIRE(Run(mStore.Create("k", "b")).error().mCode == platform_errc::Unknown);
  REQUIRE(Run(mStore.Get("k")).error().mCode == platform_errc::Unavailable);
  mClient->mError->mMaybeSent = false;
  REQUIRE(Run(mStore.Create("k", "b")).error().mCode == platform_errc::Unavailable);
}

TEST_CASE_METHOD(http_object_store_fixture, "http_object_store_malformed_response_is_bad_reply")
{
  for (const char* tag : { "", "8", "\"\"", "\"x\"", "\"8x\"", "\"-1\"", "\"99999999999999999999\"" }) {
    CAPTURE(tag);
    Respond(200, "", tag);
    REQUIRE(Run(mStore.Get("k")).error().mCode == platform_errc::BadReply);
    REQUIRE(Run(mStore.Create("k", "b")).error().mCode == platform_errc::BadReply);
  }
  for (const char* body : { "",
                            "[]",
                            "{",
                            "{}",
                            R"({"objects":1,"sequence":1,"events":{}})",
                            R"({"objects":[1],"sequence":1,"events":[1]})",
                            R"({"objects":[{"key":1,"version":1}],"sequence":-1,"events":[]})" }) {
    CAPTURE(body);
    Respond(200, body);
    REQUIRE(Run(mStore.List("p", "", 1)).error().mCode == platform_errc::BadReply);
    REQUIRE(Run(mStore.Watch("p", object_version(0), duration(0))).error().mCode == platform_errc::BadReply);
  }
}

TEST_CASE("live_list_malformed_item_is_skipped")
{
  const auto list = ParseLiveList(R"({"instances":[
    {"instance":"a","role":"entry","failure_domain":"d","state":"leaving","peer":"127.0.0.1:7"},
    {"instance":"b","role":"sidecar","failure_domain":"d","pool":"p","state":"live"},
    {"instance":"","role":"entry","failure_domain":"d","state":"live"},
    {"instance":"c","role":"other","failure_domain":"d","state":"live"},
    {"instance":"d","role":"entry","state":"live"},
    {"instance":"e","role":"entry","failure_domain":"d","state":"gone"},
    {"instance":"f","role":"entry","failure_domain":"d","state":"live","peer":"host"},
    7]})");
  REQUIRE(list.value().size() == 2);
  REQUIRE(list.value()[0].mLeaving);
  REQUIRE(list.value()[0].mPeer == net::endpoint{ "127.0.0.1", 7 });
  REQUIRE(list.value()[1].mPool == pool_name("p"));
  for (const char* body : { "", "[]", "{}", R"({"instances":{}})" }) {
    REQUIRE(ParseLiveList(body).error().mCode == platform_errc::BadReply);
  }
}
