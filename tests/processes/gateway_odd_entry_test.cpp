#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include "support/odd_entries.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

/// Two gateways, of which one reads the list through the other, and an entry of the list that another writer writes.
struct odd_entry_fixture : gateway_fixture
{
  static constexpr const char* kOddName = "engine-00";
  unsigned mNextId = 0;

  odd_entry_fixture()
  {
    StartGateway();
    StartGateway();
    REQUIRE(WaitUntil([&] { return Metric(0, "gateway_follows_relay") + Metric(1, "gateway_follows_relay") == 1; }));
  }

  void WriteEntry(const std::string& aSpec) const
  {
    Call(mFleet.Address("http"), "POST", std::string("/raw_entries/") + kOddName, aSpec);
  }
  void RemoveEntry() const { Control(mFleet, { { "remove_entry", kOddName } }); }

  /// Sends a lookup; returns the name of the server that ran it, or nothing if it was not served.
  std::string Look(std::size_t aGateway)
  {
    gateway_call call;
    call.mTarget = "/look/rope";
    call.mId = "look-" + std::to_string(mNextId++);
    if (Send(call, aGateway).mStatus != 200) {
      return "";
    }
    return std::string(Records("run", call.mId).back().at("server").as_string());
  }

  bool AllHave(std::string_view aMetric, double aValue) const
  {
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
      if (Metric(gateway, aMetric) != aValue) {
        return false;
      }
    }
    return true;
  }

  /// Lets a sound server leave the list and register again, and checks that all gateways follow.
  void CheckThatChangesAreFollowed()
  {
    const double listed = Metric(0, "gateway_backends");
    SetServer("service-0", "gone");
    REQUIRE(WaitUntil([&] { return AllHave("gateway_backends", listed - 1); }));
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
      CHECK(Look(gateway) == "service-1");
    }
    SetServer("service-0", "ok");
    REQUIRE(WaitUntil([&] { return AllHave("gateway_backends", listed); }));
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
      CHECK(WaitUntil([&] { return Look(gateway) == "service-0"; }));
    }
  }
};

} // namespace

TEST_CASE_METHOD(odd_entry_fixture, "gateways_with_an_odd_entry_that_stays_and_goes_follow_and_use_the_sound_servers")
{
  for (const testing::odd_entry& odd : testing::UnreadableEntries()) {
    INFO(odd.mName);
    WriteEntry(odd.mSpec);
    CheckThatChangesAreFollowed();
    CHECK(WaitUntil([&] { return AllHave("gateway_unreadable_entries", 1); }));
    // The list is read again as a whole.
    Control(mFleet, { { "store", { { "forget", true } } } });
    CheckThatChangesAreFollowed();
    RemoveEntry();
    CHECK(WaitUntil([&] { return AllHave("gateway_unreadable_entries", 0); }));
    CHECK(AllHave("gateway_configuration_version", Metric(0, "gateway_configuration_version")));
  }
}

TEST_CASE_METHOD(odd_entry_fixture, "gateway_that_starts_beside_an_odd_entry_serves_and_uses_the_entry_once_corrected")
{
  const double listed = Metric(0, "gateway_backends");
  for (const std::string& odd :
       { testing::SpecWith("extra", testing::Nested(200)), testing::SpecWith("zone", "\"\xff\"") }) {
    WriteEntry(odd);
    StartGateway();
    CHECK(WaitUntil([&] { return AllHave("gateway_backends", listed); }));
  }
  WriteEntry(testing::SpecWith("extra", "1"));
  CHECK(WaitUntil([&] { return AllHave("gateway_backends", listed + 1); }));
  CHECK(AllHave("gateway_unreadable_entries", 0));
  WriteEntry(testing::SpecWith("born", "1e9999999999"));
  CHECK(WaitUntil([&] { return AllHave("gateway_backends", listed); }));
  CHECK(AllHave("gateway_unreadable_entries", 1));
}

TEST_CASE_METHOD(odd_entry_fixture, "gateways_with_an_entry_whose_layers_are_beyond_the_model_keep_running_and_serve")
{
  const double listed = Metric(0, "gateway_backends");
  // The address is of a server that is not an engine, so that the entry's engine never holds anything.
  const std::string spec =
    R"({"service":"engines","address":"127.0.0.1:9","zone":"here","state":"ready","kind":"card","born":1,"layers":)";
  for (const char* layers : { R"({"from":999999,"target":1000000})", R"({"from":4,"target":1000000})" }) {
    INFO(layers);
    WriteEntry(spec + layers + "}");
    CHECK(WaitUntil([&] { return AllHave("gateway_backends", listed + 1); }));
    CheckThatChangesAreFollowed();
    RemoveEntry();
    CHECK(WaitUntil([&] { return AllHave("gateway_backends", listed); }));
  }
}
