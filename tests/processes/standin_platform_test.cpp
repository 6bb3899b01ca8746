#include <catch2/catch.hpp>

#include <boost/json/array.hpp>

#include <thread>

#include "net/http_client.h"
#include "processes/http_call.h"
#include "processes/process.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

struct platform_fixture
{
  temporary_folder mFolder;
  process mPlatform{ { StandinPath(), "platform" }, mFolder.File("platform.log") };
  net::endpoint mHttp = mPlatform.Address("http");
};

struct object_case
{
  const char* mName;
  const char* mMethod;
  const char* mTarget;
  std::vector<net::http_header> mHeaders;
  unsigned mStatus;
  std::string mTag; ///< expected ETag
};

} // namespace

TEST_CASE_METHOD(platform_fixture, "standin_platform_conditional_calls_respond_as_specified")
{
  const std::vector<object_case> cases = {
    { "absent", "GET", "/objects/a/b", {}, 404, "" },
    { "update of an absent object", "PUT", "/objects/a/b", { { "If-Match", "\"1\"" } }, 412, "" },
    { "create", "PUT", "/objects/a/b", { { "If-None-Match", "*" } }, 201, "\"1\"" },
    { "create again", "PUT", "/objects/a/b", { { "If-None-Match", "*" } }, 412, "" },
    { "read", "GET", "/objects/a/b", {}, 200, "\"1\"" },
    { "update of the right version", "PUT", "/objects/a/b", { { "If-Match", "\"1\"" } }, 200, "\"2\"" },
    { "update of an old version", "PUT", "/objects/a/b", { { "If-Match", "\"1\"" } }, 412, "" },
    { "write without condition", "PUT", "/objects/a/c", {}, 201, "\"3\"" },
    { "delete of an old version", "DELETE", "/objects/a/b", { { "If-Match", "\"1\"" } }, 412, "" },
    { "delete", "DELETE", "/objects/a/b", { { "If-Match", "\"2\"" } }, 204, "" },
    { "delete again", "DELETE", "/objects/a/b", {}, 404, "" },
    { "read of a deleted object", "GET", "/objects/a/b", {}, 404, "" },
    { "create of a deleted object", "PUT", "/objects/a/b", { { "If-None-Match", "*" } }, 201, "\"5\"" },
    { "unknown path", "GET", "/nothing", {}, 404, "" },
    { "unknown method", "POST", "/objects/a/b", {}, 405, "" },
  };
  for (const object_case& each : cases) {
    INFO(each.mName);
    const net::http_reply reply = Call(mHttp, each.mMethod, each.mTarget, "body", each.mHeaders);
    CHECK(reply.mStatus == each.mStatus);
    CHECK(reply.mHeaders.Get("ETag") == each.mTag);
  }
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_oversized_object_is_refused")
{
  CHECK(Call(mHttp, "PUT", "/objects/big", std::string(1'000'000, 'x')).mStatus == 201);
  CHECK(Call(mHttp, "PUT", "/objects/big", std::string(1'000'001, 'x')).mStatus == 413);
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_list_gives_keys_after_key_in_order")
{
  for (const char* key : { "/objects/p/3", "/objects/p/1", "/objects/q/1", "/objects/p/2" }) {
    Call(mHttp, "PUT", key, "x");
  }
  const boost::json::object page = JsonOf(Call(mHttp, "GET", "/objects?prefix=p/&after=p/1&limit=1"));
  REQUIRE(page.at("objects").as_array().size() == 1);
  CHECK(page.at("objects").as_array()[0].at("key") == "p/2");
  CHECK(JsonOf(Call(mHttp, "GET", "/objects?prefix=p/")).at("objects").as_array().size() == 3);
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_watch_wakes_on_a_write")
{
  net::http_reply reply;
  std::thread watcher([&] { reply = Call(mHttp, "GET", "/watch?prefix=w/&after=0&timeout_ms=15000"); });
  Call(mHttp, "PUT", "/objects/other", "x");
  Call(mHttp, "PUT", "/objects/w/1", "x");
  watcher.join();
  const boost::json::object update = JsonOf(reply);
  REQUIRE(update.at("events").as_array().size() == 1);
  CHECK(update.at("events").as_array()[0].at("key") == "w/1");
  CHECK(update.at("sequence").to_number<int>() == 2);
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_outage_responds_503_and_ends")
{
  Call(mHttp, "PUT", "/objects/kept", "x");
  Control(mPlatform, { { "outage", true }, { "list_outage", true } });
  for (const char* target : { "/objects/kept", "/objects?prefix=", "/watch?prefix=&after=9&timeout_ms=1", "/live" }) {
    INFO(target);
    CHECK(Call(mHttp, "GET", target).mStatus == 503);
  }
  Control(mPlatform, { { "outage", false } });
  CHECK(Call(mHttp, "GET", "/objects/kept").mStatus == 200);
  CHECK(Call(mHttp, "GET", "/live").mStatus == 503);
  Control(mPlatform, { { "list_outage", false } });
  CHECK(Call(mHttp, "GET", "/live").mStatus == 200);
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_hang_gives_no_response_until_it_ends")
{
  Control(mPlatform, { { "hang", true } });
  const auto hung = net::FetchBlocking(mHttp, { "GET", "/live", {}, "" }, std::chrono::milliseconds(100));
  REQUIRE_FALSE(hung.has_value());
  CHECK(hung.error().mCode == net::net_errc::Timeout);
  Control(mPlatform, { { "hang", false } });
  CHECK(Call(mHttp, "GET", "/live").mStatus == 200);
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_lost_response_keeps_the_write")
{
  Control(mPlatform, { { "lose_answers", 1 } });
  const auto lost = net::FetchBlocking(mHttp, { "PUT", "/objects/k", {}, "first" }, kTestTimeout);
  REQUIRE_FALSE(lost.has_value());
  CHECK(lost.error().mMaybeSent);
  CHECK(Call(mHttp, "GET", "/objects/k").mBody == "first");
  CHECK(Call(mHttp, "PUT", "/objects/k", "second").mStatus == 200);
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_live_list_lags_when_configured")
{
  Call(mHttp, "PUT", "/live/entry-1", R"({"role":"entry","state":"live"})");
  const auto instances = [&] { return JsonOf(Call(mHttp, "GET", "/live")).at("instances").as_array().size(); };
  CHECK(instances() == 1);
  Control(mPlatform, { { "list_lag_ms", 3'600'000 } });
  CHECK(instances() == 0);
  Control(mPlatform, { { "list_lag_ms", 0 } });
  Call(mHttp, "DELETE", "/live/entry-1");
  CHECK(instances() == 0);
}

TEST_CASE_METHOD(platform_fixture, "standin_platform_records_hold_key_version_and_writer")
{
  Call(mHttp, "PUT", "/objects/k", "x", { { "X-Writer", "entry-1" } });
  const auto records = RecordsOf(mPlatform);
  REQUIRE(records.size() == 1);
  CHECK(records[0].at("key") == "k");
  CHECK(records[0].at("version").to_number<int>() == 1);
  CHECK(records[0].at("writer") == "entry-1");
}

TEST_CASE("standin_platform_restart_with_file_keeps_everything")
{
  const temporary_folder folder;
  const std::vector<std::string> arguments{ StandinPath(), "platform", "--records_file", folder.File("state") };
  const std::string body("binary\0\xff body", 13);
  {
    const process before(arguments, folder.File("log"));
    Call(before.Address("http"), "PUT", "/objects/k", body);
    Call(before.Address("http"), "PUT", "/live/entry-1", R"({"role":"entry"})");
  }
  const process after(arguments, folder.File("log"));
  const net::http_reply reply = Call(after.Address("http"), "GET", "/objects/k");
  CHECK(reply.mBody == body);
  CHECK(reply.mHeaders.Get("ETag") == "\"1\"");
  CHECK(JsonOf(Call(after.Address("http"), "GET", "/live")).at("instances").as_array().size() == 1);
  CHECK(RecordsOf(after).size() == 1);
}
