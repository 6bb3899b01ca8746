#include "gateway/wire.h"

#include <catch2/catch.hpp>

#include "net/http.h"
#include "support/store_revisions.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using namespace std::chrono_literals;
using chervilpulley::testing::At;

namespace {

const char* const kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":500,
   "priority":1,"trafficSplit":[{"service":"e","weight":90},{"service":"f","weight":10}],"maxAttempts":2,
   "anonymous":false,"resumable":true,"gapTargetMs":200},
  {"name":"r2","host":"a.example","pathPrefix":"/x/y/","kind":"unsafe","service":"s","maxAttempts":1,"timeoutMs":900,
   "anonymous":true},
  {"name":"broken"}],
  "services":[{"name":"e","healthPath":"/h","maxConns":968,"engine":{"slots":192,"kvTokenBytes":459000,"stride":2,
   "step_ms":0.85,"read_per_s":252000.0,"layers":80,"layerMb":1750.0,"pipeMbps":7900.0,"loads_at_once":6,
   "models":[{"name":"m","loadS":14.0}],"delays":[{"from":"p","target":"q","delay_ms":0.25}],
   "usual":{"prompt":772,"answer":154},"kinds":[{"name":"l4","mb":21600.0,"pace":16.0,"readX":8.2}]}},
   {"name":"s","healthPath":"/h","maxConns":96}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
  "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},{"apiKeys":["lost"]},{"name":"t2","apiKeys":["k3"]}]})";

struct configuration_fixture
{
  std::string mFault;
  ref<const configuration> mDecoded = wire::DecodeConfiguration(kConfiguration, mFault);
};

net::http_headers Headers(const std::vector<net::http_header>& aHeaders)
{
  net::http_headers headers;
  for (const auto& header : aHeaders) {
    headers.Add(header.mName, header.mValue);
  }
  return headers;
}

} // namespace

TEST_CASE_METHOD(configuration_fixture, "platform_configuration_decodes_and_skips_malformed_entries")
{
  REQUIRE(mDecoded);
  CHECK(mDecoded->mVersion == 7);
  CHECK(mDecoded->mRoutes.size() == 2);
  CHECK(mDecoded->mWorkspaces.size() == 2);
  CHECK(mDecoded->FindWorkspace("k2")->mName.Str() == "t1");
  CHECK(mDecoded->FindWorkspace("k2")->mPriority == 1U);
  CHECK(mDecoded->FindWorkspace("k3")->mPriority == std::nullopt);
  CHECK(mDecoded->FindRoute("a.example", "/x/1")->mPriority == 1);
  CHECK(mDecoded->FindRoute("a.example", "/x/y/1")->mPriority == 5);
  CHECK(mDecoded->FindWorkspace("lost") == nullptr);
  CHECK(mDecoded->mLimits.mMaxBodyBytes == 100);
  const pool* engines = mDecoded->FindPool(pool_name("e"));
  REQUIRE(engines);
  REQUIRE(engines->mEngine);
  CHECK(engines->mEngine->mSlots == 192);
  CHECK(engines->mEngine->mBytesPerTokenAndLayer == Approx(5737.5));
  CHECK(engines->mEngine->mLoadTime.count() == Approx(14'000));
  CHECK(engines->mEngine->FindKind("l4")->mPrefillScale == Approx(8.2));
  CHECK(!mDecoded->FindPool(pool_name("s"))->mEngine);
}

TEST_CASE("platform_configuration_without_slots_of_engines_leaves_them_unknown")
{
  std::string text = kConfiguration;
  const std::string slots = R"("slots":192,)";
  text.erase(text.find(slots), slots.size());
  std::string fault;
  const auto decoded = wire::DecodeConfiguration(text, fault);
  REQUIRE(decoded);
  CHECK(decoded->FindPool(pool_name("e"))->mEngine->mSlots == 0);
}

TEST_CASE_METHOD(configuration_fixture, "platform_route_with_the_longest_prefix_of_the_path_is_found")
{
  REQUIRE(mDecoded);
  CHECK(mDecoded->FindRoute("a.example", "/x/1")->mName.Str() == "r1");
  CHECK(mDecoded->FindRoute("a.example", "/x/y/1")->mName.Str() == "r2");
  CHECK(mDecoded->FindRoute("a.example", "/z") == nullptr);
  CHECK(mDecoded->FindRoute("b.example", "/x/1") == nullptr);
}

TEST_CASE_METHOD(configuration_fixture, "platform_pool_is_drawn_by_weight")
{
  REQUIRE(mDecoded);
  const route& split = *mDecoded->FindRoute("a.example", "/x/1");
  CHECK(DrawPool(split, 0).Str() == "e");
  CHECK(DrawPool(split, ~0ULL).Str() == "f");
}

TEST_CASE("platform_configuration_that_is_malformed_is_rejected_with_a_reason")
{
  for (const char* text : { "", "[]", "{}", R"({"version":"x","routes":[]})", R"({"version":1})", "{\"version\":1" }) {
    std::string fault;
    INFO(text);
    CHECK(wire::DecodeConfiguration(text, fault) == nullptr);
    CHECK(!fault.empty());
  }
}

TEST_CASE("platform_list_entry_with_missing_or_malformed_fields_is_rejected")
{
  std::string fault;
  const std::string good =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","layers":{"from":3,"target":9},"born":12})";
  const auto member = wire::DecodeMember("i-1", good, fault);
  REQUIRE(member);
  CHECK(member->mLayers == policy::layer_span{ 3, 9 });
  CHECK(member->mStartedAt == 12);
  for (const char* text : { "",
                            "1",
                            "{}",
                            R"({"service":"s","address":"x","zone":"z","state":"ready"})",
                            R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"asleep"})",
                            R"({"service":5,"address":"10.0.0.9:80","zone":"z","state":"ready"})" }) {
    INFO(text);
    CHECK(!wire::DecodeMember("i-1", text, fault));
  }
}

TEST_CASE("platform_dispatch_replaces_internal_headers_and_removes_the_key")
{
  const auto callers = Headers({ { "Host", "a" },
                                 { "X-Attempt-Id", "id1" },
                                 { "X-Credential", "secret" },
                                 { "X-Tenant", "forged" },
                                 { "X-Hop-Count", "forged" },
                                 { "X-Request-Priority", "0" },
                                 { "X-Deadline-Ms", "9" },
                                 { "Connection", "close" },
                                 { "Last-Event-Id", "4" },
                                 { "X-Other", "kept" } });
  wire::dispatch dispatch;
  dispatch.mExpected = backend_id("i-1");
  dispatch.mTimeLeft = 1500ms;
  dispatch.mWorkspace = "t1";
  dispatch.mPriority = 12;
  dispatch.mPath = { { "10.0.0.1:80", { 0, 20 } }, { "10.0.0.2:80", { 20, 80 } } };
  dispatch.mLastEvent = 6;
  const auto sent = wire::EncodeDispatch(callers, dispatch);
  CHECK(sent.Get("X-Attempt-Id") == "id1");
  CHECK(sent.Get("X-Other") == "kept");
  CHECK(!sent.Has("X-Credential"));
  CHECK(!sent.Has("Connection"));
  CHECK(sent.Get("X-Tenant") == "t1");
  CHECK(sent.Get("X-Request-Priority") == "9");
  CHECK(sent.Get("X-Deadline-Ms") == "1500");
  CHECK(sent.Get("X-Expect-Instance") == "i-1");
  CHECK(sent.Get("X-Hop-Count") == "10.0.0.1:80=0-20,10.0.0.2:80=20-80");
  CHECK(sent.Get("Last-Event-Id") == "6");
}

TEST_CASE("platform_request_metadata_of_a_stream_is_decoded")
{
  const auto metadata = wire::DecodeMetadata(Headers({ { "X-Attempt-Id", "id1" },
                                                       { "Host", "a" },
                                                       { "X-Token-Counts", "1460,80" },
                                                       { "X-Deadline-Ms", "20000" },
                                                       { "Last-Event-Id", "12" },
                                                       { "X-Length-Hint", "33" } }));
  CHECK(metadata.mId.Str() == "id1");
  CHECK(metadata.mPromptTokens == 1460);
  CHECK(metadata.mMaxOutputTokens == 80);
  CHECK(metadata.mCallerTimeout == duration(20s));
  CHECK(metadata.mLastEvent == 12U);
  CHECK(metadata.mOutputTokensHint == 33.0);
  CHECK(!wire::DecodeMetadata(Headers({ { "X-Deadline-Ms", "soon" } })).mCallerTimeout);
}

TEST_CASE("platform_request_metadata_lists_the_parts_of_a_prompt_without_the_last_one")
{
  const auto parts = [](const std::string& aText) {
    return wire::DecodeMetadata(Headers({ { "X-Prompt-Prefix", aText } })).mSharedParts;
  };
  using ids = std::vector<std::string>;
  CHECK(parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == ids{ "5c1e07a2", "91bd3f06" });
  CHECK(parts("5c1e07a2:800 , 91bd3f06:410, e4402b7d:250") == ids{ "5c1e07a2", "91bd3f06" });
  CHECK(parts("5c1e07a2,,:7,e4402b7d") == ids{ "5c1e07a2" });
  CHECK(parts("e4402b7d:250").empty());
  CHECK(parts("").empty());
  CHECK(wire::DecodeMetadata(Headers({})).mSharedParts.empty());
}

TEST_CASE("platform_report_lists_stalled_requests")
{
  std::string fault;
  const auto report = wire::DecodeReport(
    R"({"busy":true,"seq":2,"pace":3.5,"layers":{"from":0,"target":9},"stalled":[{"id":"r","address":"10.0.0.2:80"}]})",
    fault);
  REQUIRE(report);
  CHECK(report->mIsBusy);
  CHECK(report->mOrders == 2);
  CHECK(report->mSlowdownFactor == 3.5);
  REQUIRE(report->mStalled.size() == 1);
  CHECK(report->mStalled[0].mFaultyAddress == "10.0.0.2:80");
  CHECK(!wire::DecodeReport("[]", fault));
}

TEST_CASE("platform_changes_and_lists_decode_and_skip_malformed_objects")
{
  std::string fault;
  const auto list = wire::DecodeList(
    R"({"items":[{"metadata":{"name":"a","revision":5},"spec":{"x":1}},"bad"],"truncated":true,"currentRev":9})",
    policy::store_era(1),
    fault);
  REQUIRE(list);
  REQUIRE(list->mItems.size() == 1);
  CHECK(list->mItems[0].mSpec == R"({"x":1})");
  CHECK(list->mIsTruncated);
  CHECK(list->mRevision == At(9));
  const auto changes = wire::DecodeChanges(
    R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a"}}}],"currentRev":10})", policy::store_era(1), fault);
  REQUIRE(changes);
  REQUIRE(changes->mChanges.size() == 1);
  CHECK(changes->mChanges[0].mIsDeleted);
  CHECK(!wire::DecodeList("{}", policy::store_era(1), fault));
  CHECK(!wire::DecodeChanges("x", policy::store_era(1), fault));
}

TEST_CASE("platform_list_after_a_name_of_any_bytes_is_a_valid_target")
{
  const std::string name = "a b&c=\r\n#\xff/1";
  const auto request = wire::EncodeList(wire::object_kind::Backends, name, true);
  CHECK(net::QueryValue(request.mTarget, "after") == name);
  CHECK(net::QueryValue(request.mTarget, "serializable") == "1");
  CHECK(request.mTarget.find_first_of(" \r\n#") == std::string::npos);
}

TEST_CASE("platform_layer_order_encodes_whether_it_waits_for_streams")
{
  const policy::layer_order waits{ backend_id("i-1"), { 3, 9 }, false };
  const policy::layer_order interrupts{ backend_id("i-1"), { 3, 9 }, true };
  CHECK(wire::EncodeLayerOrder(waits, 7, 2).mBody.find(R"("drainMode":"wait")") != std::string::npos);
  CHECK(wire::EncodeLayerOrder(interrupts, 7, 2).mBody.find(R"("drainMode":"cutoff")") != std::string::npos);
}

TEST_CASE("platform_streams_of_a_pool_are_resumable_if_all_its_routes_are")
{
  std::string fault;
  const auto decoded = wire::DecodeConfiguration(
    R"({"version":1,"routes":[
      {"name":"a","host":"h","pathPrefix":"/a/","kind":"streaming","service":"e","resumable":true},
      {"name":"b","host":"h","pathPrefix":"/b/","kind":"streaming","service":"f"},
      {"name":"c","host":"h","pathPrefix":"/c/","kind":"unsafe","service":"e"}],
      "services":[{"name":"e"},{"name":"f"}]})",
    fault);
  REQUIRE(decoded);
  CHECK(decoded->AllStreamsResumable(pool_name("e")));
  CHECK_FALSE(decoded->AllStreamsResumable(pool_name("f")));
}

TEST_CASE("platform_store_era_is_read_from_a_whole_number_alone")
{
  CHECK(wire::DecodeStoreEra(Headers({ { "store-era", "7" } })) == policy::store_era(7));
  for (const char* text : { "", "x", "-1", "7.5", "7 ", "99999999999999999999" }) {
    INFO(text);
    CHECK_FALSE(wire::DecodeStoreEra(Headers({ { "Store-Era", text } })));
  }
  CHECK_FALSE(wire::DecodeStoreEra(Headers({})));
}

TEST_CASE("platform_removal_carries_the_revision_to_remove")
{
  const auto removal = wire::EncodeDelete(wire::object_kind::LeaderLeases, "placement", At(17));
  CHECK(removal.mMethod == "DELETE");
  CHECK(net::QueryValue(removal.mTarget, "revision") == "17");
}

TEST_CASE("platform_response_did_not_run_only_with_its_header_or_status_421")
{
  CHECK(wire::DecodeResponseMetadata(503, Headers({ { "X-Not-Executed", "full" } })).mDidNotRun);
  CHECK(wire::DecodeResponseMetadata(421, Headers({})).mDidNotRun);
  CHECK(!wire::DecodeResponseMetadata(429, Headers({})).mDidNotRun);
  CHECK(!wire::DecodeResponseMetadata(503, Headers({})).mDidNotRun);
}

TEST_CASE("platform_status_promises_that_the_request_did_not_run_for_408_421_429_and_503_alone")
{
  for (unsigned status = 100; status < 600; ++status) {
    INFO(status);
    CHECK(wire::PromisesNotRun(status) == (status == 408 || status == 421 || status == 429 || status == 503));
  }
}

TEST_CASE("platform_response_says_that_its_server_leaves_only_with_the_value_1")
{
  CHECK(wire::DecodeResponseMetadata(200, Headers({ { "server-leaving", "1" } })).mIsLeaving);
  CHECK(wire::DecodeResponseMetadata(503, Headers({ { "Server-Leaving", "1" } })).mIsLeaving);
  CHECK(!wire::DecodeResponseMetadata(200, Headers({ { "Server-Leaving", "0" } })).mIsLeaving);
  CHECK(!wire::DecodeResponseMetadata(200, Headers({ { "Server-Leaving", "" } })).mIsLeaving);
  CHECK(!wire::DecodeResponseMetadata(200, Headers({})).mIsLeaving);
}

TEST_CASE("platform_response_asks_for_a_pause_only_with_status_503_and_a_number_of_seconds")
{
  const auto pause = [](unsigned aStatus, const std::vector<net::http_header>& aHeaders) {
    return wire::DecodeResponseMetadata(aStatus, Headers(aHeaders)).mPause;
  };
  CHECK(pause(503, { { "Retry-After", "2" } }) == duration(2s));
  CHECK(pause(503, { { "retry-after", "0.25" } }) == duration(250ms));
  CHECK(pause(503, { { "Retry-After", "1" }, { "Retry-After", "3" }, { "Retry-After", "x" } }) == duration(3s));
  CHECK(pause(503, { { "Retry-After", "1e300" } }) == duration(1h));
  CHECK(pause(503, { { "Retry-After", "inf" } }) == duration(1h));
  for (const char* text : { "", "0", "-1", "nan", "soon", "3 s", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
    INFO(text);
    CHECK(!pause(503, { { "Retry-After", text } }));
  }
  CHECK(!pause(429, { { "Retry-After", "2" } }));
  CHECK(!pause(200, { { "Retry-After", "2" } }));
  CHECK(!pause(503, {}));
}

TEST_CASE("platform_response_that_names_a_limit_yields_the_lowest_readable_rate_and_none_for_other_values")
{
  const auto decoded = [](const std::vector<net::http_header>& aHeaders) {
    return wire::DecodeResponseMetadata(200, Headers(aHeaders));
  };
  const auto limit = [&](const std::string& aText) { return decoded({ { "Server-Limit", aText } }).mLimit; };
  CHECK(limit("5") == 5.0);
  CHECK(limit("0.3") == 0.3);
  CHECK(limit("0") == 0.0);
  CHECK(limit("5, 4 ,6") == 4.0);
  CHECK(limit("5,,x") == 5.0);
  CHECK(decoded({ { "server-limit", "7" }, { "Server-Limit", "2.5" }, { "Server-Limit", "-1" } }).mLimit == 2.5);
  for (const char* text : { "", "-1", "-0.5", "nan", "inf", "1e400", "1e3", "+5", "5 a second", "0x5", "," }) {
    INFO(text);
    CHECK(!limit(text));
    CHECK(decoded({ { "Server-Limit", text } }).mNamesLimit);
  }
  CHECK_FALSE(decoded({}).mNamesLimit);
}

TEST_CASE("platform_refusal_of_a_new_path_yields_the_engine_in_its_body_or_none")
{
  CHECK(wire::DecodePathRefusal(R"({"address":"10.0.0.1:80"})") == "10.0.0.1:80");
  CHECK(wire::DecodePathRefusal("").empty());
  CHECK(wire::DecodePathRefusal("[]").empty());
  CHECK(wire::DecodePathRefusal(R"({"address":7})").empty());
}
