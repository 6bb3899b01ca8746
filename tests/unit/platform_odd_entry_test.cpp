#include <catch2/catch.hpp>

#include <boost/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>

#include "gateway/relay_messages.h"
#include "gateway/wire.h"
#include "platform/live_list.h"
#include "support/odd_entries.h"
#include "support/store_revisions.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using namespace chervilpulley::testing;

namespace {

const std::string kSound = SpecWith("extra", "1");

std::string Object(const std::string& aName, const std::string& aSpec)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":5,"finalizers":[]},"spec":)" + aSpec +
         R"(,"status":null})";
}

/// A list with an odd entry between sound ones.
std::string ListWith(const std::string& aOdd)
{
  return R"({"items":[)" + Object("a", kSound) + "," + aOdd + ", " + Object("c", kSound) +
         R"(],"truncated":false,"currentRev":9})";
}

std::string ChangesWith(const std::string& aOdd)
{
  return R"({"events":[{"deleted":false,"object":)" + Object("a", kSound) + R"(},{"object":)" + aOdd +
         R"(,"deleted":false},{"deleted":true,"object":)" + Object("c", kSound) + R"(}],"currentRev":10})";
}

/// Names of the servers to use in a list.
std::vector<std::string> Usable(const std::vector<wire::record>& aRecords)
{
  std::vector<std::string> names;
  for (const wire::record& record : aRecords) {
    std::string fault;
    if (wire::DecodeMember(record.mName, record.mSpec, fault)) {
      names.push_back(record.mName);
    }
  }
  return names;
}

std::vector<std::string> UsableIn(const std::string& aList)
{
  std::string fault;
  const auto list = wire::DecodeList(aList, policy::store_era(1), fault);
  INFO(fault);
  REQUIRE(list);
  CHECK(list->mRevision == At(9));
  return Usable(list->mItems);
}

std::vector<std::string> UsableInChanges(const std::string& aChanges)
{
  std::string fault;
  const auto changes = wire::DecodeChanges(aChanges, policy::store_era(1), fault);
  INFO(fault);
  REQUIRE(changes);
  CHECK(changes->mRevision == At(10));
  std::vector<wire::record> changed;
  for (const wire::record_change& change : changes->mChanges) {
    CHECK(change.mIsDeleted == (change.mObject.mName == "c"));
    changed.push_back(change.mObject);
  }
  return Usable(changed);
}

const std::vector<std::string> kSoundNames{ "a", "c" };

} // namespace

TEST_CASE("list_and_changes_with_an_unreadable_entry_keep_the_sound_ones_and_its_name")
{
  for (const odd_entry& odd : UnreadableEntries()) {
    INFO(odd.mName);
    CHECK(UsableIn(ListWith(Object("b", odd.mSpec))) == kSoundNames);
    CHECK(UsableInChanges(ChangesWith(Object("b", odd.mSpec))) == kSoundNames);
    std::string fault;
    const auto record = wire::DecodeRecord(Object("b", odd.mSpec), policy::store_era(1), fault);
    REQUIRE(record);
    CHECK(record->mName == "b");
    CHECK(record->mRevision == At(5));
    const auto list = wire::DecodeList(ListWith(Object("b", odd.mSpec)), policy::store_era(1), fault);
    REQUIRE(list);
    CHECK(list->mItems.size() == 3);
  }
}

TEST_CASE("list_and_changes_with_an_invalid_entry_keep_the_sound_ones")
{
  for (const odd_entry& odd : InvalidEntries()) {
    INFO(odd.mName);
    CHECK(UsableIn(ListWith(Object("b", odd.mSpec))) == kSoundNames);
    CHECK(UsableInChanges(ChangesWith(Object("b", odd.mSpec))) == kSoundNames);
  }
}

TEST_CASE("list_entry_whose_name_is_no_id_is_rejected")
{
  std::string fault;
  CHECK(wire::DecodeMember("i-7f3a91c2", kSound, fault));
  for (const std::string& name :
       { std::string(), std::string("i-1\r\nX-Other: y"), std::string("i 1"), std::string(5000, 'i') }) {
    INFO(name);
    CHECK(!wire::DecodeMember(name, kSound, fault));
  }
}

TEST_CASE("list_entry_without_layers_or_counts_or_with_an_empty_span_is_accepted")
{
  std::string fault;
  CHECK(wire::DecodeMember("b", R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready"})", fault));
  for (const char* layers : { "null", "{}", R"({"from":0,"target":0})", R"({"from":0.0,"target":80.0,"version":1})" }) {
    INFO(layers);
    CHECK(wire::DecodeMember("b", SpecWith("layers", layers), fault));
  }
  CHECK(wire::DecodeMember("b", SpecWith("born", "1764892800000"), fault)->mStartedAt == 1764892800000U);
  CHECK(wire::DecodeMember("b", SpecWith("coldMs", "-0.5"), fault));
  CHECK(wire::DecodeMember("b", SpecWith("version", "1"), fault));
}

TEST_CASE("request_headers_with_numbers_out_of_range_are_bounded")
{
  for (const char* number : { "1e300", "inf", "99999999999999999999999" }) {
    INFO(number);
    net::http_headers headers;
    headers.Add("X-Deadline-Ms", number);
    headers.Add("Last-Event-Id", number);
    headers.Add("X-Token-Counts", std::string(number) + "," + number);
    headers.Add("X-Length-Hint", number);
    const auto metadata = wire::DecodeMetadata(headers);
    CHECK(metadata.mCallerTimeout == std::chrono::hours(24));
    CHECK(metadata.mLastEvent == std::nullopt);
    CHECK(metadata.mPromptTokens == 1e8);
    CHECK(metadata.mMaxOutputTokens == 1e8);
    CHECK(metadata.mOutputTokensHint == 1e8);
  }
}

TEST_CASE("report_and_configuration_with_numbers_out_of_range_are_bounded")
{
  for (const std::string number : { "1e300", "-1e300", "1e400", "-1e400", "4294967297", "-1" }) {
    INFO(number);
    std::string fault;
    const auto report =
      wire::DecodeReport(R"({"pace":)" + number + R"(,"kvUsed":)" + number + R"(,"kvTotal":)" + number + R"(,"seq":)" +
                           number + R"(,"layers":{"from":0,"target":)" + number + "}}",
                         fault);
    REQUIRE(report);
    CHECK((report->mSlowdownFactor >= 0 && report->mSlowdownFactor <= 1000));
    CHECK((std::isfinite(report->mUsedMemory) && std::isfinite(report->mTotalMemory)));
    CHECK(report->mLayers.IsEmpty());
    const auto member = [&](const std::string& aName) { return '"' + aName + "\":" + number; };
    const auto configuration = wire::DecodeConfiguration(
      R"({"version":7,"routes":[{"host":"a","pathPrefix":"/",)" + member("timeoutMs") + "," +
        member("targetLatencyMs") + "," + member("gapTargetMs") + "," + member("maxAttempts") +
        R"(,"trafficSplit":[{"service":"e",)" + member("weight") + R"(}]}],"services":[{"name":"e",)" +
        member("maxConns") + R"(,"engine":{)" + member("layers") + "," + member("slots") + "," + member("layerMb") +
        "," + member("step_ms") + "," + member("read_per_s") + R"(,"models":[{)" + member("loadS") +
        R"(}],"kinds":[{"name":"k",)" + member("mb") + "," + member("pace") + R"(}]}}],"limits":{)" +
        member("maxHeaderBytes") + "," + member("idleTimeoutMs") + "}}",
      fault);
    REQUIRE(configuration);
    const route& route = configuration->mRoutes.front();
    for (const duration time :
         { route.mTimeout, route.mObjective, route.mGapObjective, configuration->mLimits.mIdleTimeout }) {
      CHECK((time >= duration::zero() && time < std::chrono::hours(1'000'000)));
    }
    CHECK(route.mMaxAttempts >= 1);
    CHECK(configuration->mLimits.mMaxHeaderBytes > 1000);
    const auto& model = *configuration->mPools.front().mEngine;
    CHECK(model.mLayers <= 1'000'000);
    for (const double value : { model.mLayerMb,
                                model.mStep.count(),
                                model.mLoadTime.count(),
                                model.mKinds[0].mMemoryMb,
                                route.mPools.front().mWeight }) {
      CHECK((value >= 0 && value < 1e18));
    }
    CHECK(policy::LayerCapacity(model, model.mKinds[0], 1) <= model.mLayers);
    if (number == "4294967297") {
      CHECK(model.mSlots == 4294967295U);
      CHECK(configuration->mPools.front().mMaxConnections == 4294967295U);
    }
  }
}

TEST_CASE("report_with_an_unreadable_member_keeps_the_others")
{
  for (const std::string& odd :
       { Nested(40), Nested(100'000), std::string("1e9999999999"), std::string("\"\xff\""), std::string("NaN") }) {
    std::string fault;
    const auto report = wire::DecodeReport(
      R"({"models":)" + odd + R"(,"seq":2,"pace":3.5,"layers":{"from":0,"target":9},"extra":)" + odd + "}", fault);
    INFO(fault);
    REQUIRE(report);
    CHECK(report->mOrders == 2);
    CHECK(report->mSlowdownFactor == 3.5);
    CHECK(report->mLayers == policy::layer_span{ 0, 9 });
  }
}

TEST_CASE("live_list_with_an_unreadable_or_invalid_item_keeps_the_sound_ones")
{
  const auto item = [](const std::string& aName, const std::string& aExtra) {
    return R"({"instance":")" + aName + R"(","role":"entry","failure_domain":"f","http":"127.0.0.1:80","extra":)" +
           aExtra + "}";
  };
  for (const std::string& odd : { item("b", Nested(40)),
                                  item("b", Nested(100'000)),
                                  item("b", "1e9999999999"),
                                  item("b", "\"\xff\""),
                                  item("b", R"(1,"link":"127.0.0.1:0")"),
                                  item("b", R"(1,"link":"127.0.0.1:99999")"),
                                  std::string("NaN"),
                                  Nested(60) }) {
    const auto list =
      platform::ParseLiveList(R"({"instances":[)" + item("a", "1") + "," + odd + "," + item("c", "1e400") + "]}");
    REQUIRE(list.has_value());
    REQUIRE(list.value().size() == 2);
    CHECK(list.value()[0].mInstance.Str() == "a");
    CHECK(list.value()[1].mInstance.Str() == "c");
  }
  CHECK(platform::ParseLiveList(R"({"instances":[)" + item("a", "1")).has_error());
}

TEST_CASE("list_entry_with_a_repeated_or_enormous_member_leaves_the_sound_ones_and_its_last_value_counts")
{
  std::string fault;
  const std::string repeated = R"({"service":"x","address":7,)" + kSound.substr(1);
  const auto member = wire::DecodeMember("b", repeated, fault);
  REQUIRE(member);
  CHECK(member->mPool.Str() == "s");
  const std::string removed = kSound.substr(0, kSound.size() - 1) + R"(,"state":"asleep"})";
  CHECK(UsableIn(ListWith(Object("b", removed))) == kSoundNames);
  const std::string twice = R"({"metadata":{"name":"x","name":"b"},"spec":)" + kSound + R"(,"spec":{}})";
  CHECK(UsableIn(ListWith(twice)) == kSoundNames);
  const std::string enormous = '"' + std::string(4'000'000, 'x') + '"';
  CHECK(UsableIn(ListWith(Object("b", enormous))) == kSoundNames);
  CHECK(UsableIn(ListWith(Object("b", SpecWith("extra", enormous)))) == std::vector<std::string>{ "a", "b", "c" });
  for (const char* name : { "service", "zone", "kind", "address" }) {
    CHECK(UsableIn(ListWith(Object("b", SpecWith(name, enormous)))) == kSoundNames);
  }
}

TEST_CASE("list_with_an_odd_status_or_odd_metadata_of_an_entry_keeps_all_sound_specs")
{
  std::string fault;
  const std::string odd = R"({"metadata":{"finalizers":)" + Nested(50) +
                          R"(,"name":"b","revision":1e9999999999},"spec":)" + kSound + R"(,"status":")" + "\xff" +
                          R"("})";
  CHECK(UsableIn(ListWith(odd)) == std::vector<std::string>{ "a", "b", "c" });
  CHECK(UsableIn(ListWith(R"({"metadata":{"name":")"
                          "\xff"
                          R"("},"spec":1})")) == kSoundNames);
  CHECK(UsableIn(ListWith(Nested(60))) == kSoundNames);
}

TEST_CASE("list_that_is_cut_off_or_whose_brackets_do_not_match_is_unreadable_as_a_whole")
{
  const std::string whole = ListWith(Object("b", kSound));
  std::string fault;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    INFO(size);
    CHECK(!wire::DecodeList(whole.substr(0, size), policy::store_era(1), fault));
    CHECK(!wire::DecodeChanges(ChangesWith(Object("b", kSound)).substr(0, size), policy::store_era(1), fault));
  }
  for (const char* odd : { "]", "}", "[", "{\"", "[}", "{\"a\":]}" }) {
    INFO(odd);
    CHECK(!wire::DecodeList(ListWith(odd), policy::store_era(1), fault));
  }
}

namespace {

/// A piece of text as it may stand anywhere in an odd entry.
rc::Gen<std::string> OddPiece()
{
  return rc::gen::oneOf(rc::gen::element<std::string>("1e400",
                                                      "-1e400",
                                                      "1e9999999999",
                                                      "12345678901234567890123",
                                                      "-1",
                                                      "1e300",
                                                      "0.5",
                                                      "NaN",
                                                      "null",
                                                      "true",
                                                      "[]",
                                                      "{}",
                                                      "\"\"",
                                                      "\"\xff\xc0\"",
                                                      R"("\ud800")",
                                                      R"("10.0.0.9:99999")",
                                                      R"("10.0.0.9:0")",
                                                      R"({"from":1e300,"target":1e400})",
                                                      R"({"from":-5,"target":99999999999999999999})"),
                        rc::gen::map(rc::gen::inRange<std::size_t>(1, 2000), Nested),
                        rc::gen::map(rc::gen::inRange<std::size_t>(0, 5000),
                                     [](std::size_t aSize) { return '"' + std::string(aSize, 'x') + '"'; }));
}

rc::Gen<std::string> OddSpec()
{
  const auto member = rc::gen::element<std::string>("service",
                                                    "address",
                                                    "zone",
                                                    "state",
                                                    "slots",
                                                    "seq",
                                                    "born",
                                                    "layers",
                                                    "kind",
                                                    "version",
                                                    "coldMs",
                                                    "extra",
                                                    "pace",
                                                    "kvUsed",
                                                    "kvTotal",
                                                    "stalled",
                                                    "routes",
                                                    "limits",
                                                    "services",
                                                    "failure_domain",
                                                    "relay");
  return rc::gen::oneOf(OddPiece(), rc::gen::map(rc::gen::pair(member, OddPiece()), [](const auto& aMember) {
                          return SpecWith(aMember.first, aMember.second);
                        }));
}

/// The same with any single byte replaced.
rc::Gen<std::string> BrokenText(const std::string& aText)
{
  return rc::gen::map(rc::gen::pair(rc::gen::inRange<std::size_t>(0, aText.size()), rc::gen::arbitrary<char>()),
                      [aText](const auto& aChange) {
                        std::string text = aText;
                        text[aChange.first] = aChange.second;
                        return text;
                      });
}

/// Gives a text to every decoder; none may throw.
void DecodeByAll(const std::string& aText)
{
  std::string fault;
  wire::DecodeRecord(aText, policy::store_era(1), fault);
  wire::DecodeList(aText, policy::store_era(1), fault);
  wire::DecodeChanges(aText, policy::store_era(1), fault);
  wire::DecodeMember("b", aText, fault);
  wire::DecodeReport(aText, fault);
  wire::DecodeConfiguration(aText, fault);
  wire::DecodeGateway(aText, fault);
  wire::DecodePathRefusal(aText);
  DecodeRelayResponse(aText, fault);
}

} // namespace

TEST_CASE("decoders_given_any_odd_entry_throw_nothing_and_keep_the_sound_entries_beside_it")
{
  rc::prop("odd entries", [] {
    const std::string odd = *OddSpec();
    DecodeByAll(odd);
    std::string fault;
    const auto list = wire::DecodeList(ListWith(Object("b", odd)), policy::store_era(1), fault);
    RC_ASSERT(list.has_value());
    const auto names = Usable(list->mItems);
    RC_ASSERT(std::count(names.begin(), names.end(), "a") == 1);
    RC_ASSERT(std::count(names.begin(), names.end(), "c") == 1);
    const auto changes = wire::DecodeChanges(ChangesWith(Object("b", odd)), policy::store_era(1), fault);
    RC_ASSERT(changes.has_value());
    RC_ASSERT(changes->mChanges.size() == 3U);
  });
  rc::prop("broken texts", [] {
    DecodeByAll(*BrokenText(ListWith(Object("b", kSound))));
    DecodeByAll(*BrokenText(ChangesWith(Object("b", kSound))));
    DecodeByAll(*BrokenText(kSound));
  });
}
