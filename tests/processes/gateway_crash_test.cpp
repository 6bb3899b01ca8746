#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

/// Two gateways. Requests with one part in their prompts crash each engine that starts to write an output on it; no two
/// of them are alike. Sound requests have the other part in common with them.
struct crashing_part_fixture : gateway_fixture
{
  int mSent = 0;

  crashing_part_fixture()
  {
    StartGateway();
    StartGateway();
    REQUIRE(WaitUntil([&] { return Metric(0, "gateway_gateways") == 2 && Metric(1, "gateway_gateways") == 2; }));
  }

  /// Waits until both gateways have a path: the engines that crashed hold their layers again.
  void AwaitEngines() const
  {
    REQUIRE(WaitUntil([&] {
      for (const std::size_t gateway : { 0U, 1U }) {
        if (Metric(gateway, "gateway_uncovered_layers") > 0) {
          return false;
        }
      }
      return true;
    }));
  }

  gateway_response SendParts(const std::string& aId, const std::string& aSharedParts, std::size_t aGateway)
  {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/draft/1";
    call.mId = aId;
    call.mBody = "prompt of " + aId;
    call.mOutputTokens = 20;
    call.mPromptParts = aSharedParts + "own" + std::to_string(++mSent) + ":20";
    return Send(call, aGateway);
  }

  /// Requests with aPart go to five engines at most; later ones are refused, and sound ones are served.
  void CheckThatCrashingPartIsBlocked(const std::string& aPart)
  {
    const std::string parts = "5a5a:40," + aPart + ":100,";
    for (int each = 0; each < 8; ++each) {
      AwaitEngines();
      SendParts("crashing-" + std::to_string(each), parts, static_cast<std::size_t>(each) % 2);
    }
    std::size_t runs = 0;
    for (int each = 0; each < 8; ++each) {
      runs += RunCount("crashing-" + std::to_string(each));
    }
    CHECK(runs <= 5);
    for (const std::size_t gateway : { 0U, 1U }) {
      const std::string id = "later-" + std::to_string(gateway);
      const auto response = SendParts(id, parts, gateway);
      CHECK(response.mStatus == 503);
      CHECK(!response.mHeaders.Get("Retry-After").empty());
      CHECK(RunCount(id) == 0);
      AwaitEngines();
      CHECK(SendParts("sound-" + std::to_string(gateway), "5a5a:40,", gateway).mStatus == 200);
      CHECK(SendParts("other-" + std::to_string(gateway), "5a5a:40,6b6b:100,", gateway).mStatus == 200);
    }
  }
};

/// Two gateways, and one request that crashes each engine which runs it.
struct crashing_request_fixture : crashing_part_fixture
{
  std::size_t mRuns = 0; ///< of the crashing request

  void SendCrashingRequest(std::size_t aGateway)
  {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/draft/1";
    call.mId = "crashing-" + std::to_string(++mSent);
    call.mBody = "ends its server";
    call.mOutputTokens = 20;
    Send(call, aGateway);
    mRuns += RunCount(call.mId);
  }

  /// Number of crashes that the gateways keep in the store.
  std::size_t StoredCrashes() const
  {
    const auto list = JsonOf(Call(mFleet.Address("http"), "GET", "/chervilpulley/objects/crashes"));
    std::size_t count = 0;
    for (const auto& item : list.at("items").as_array()) {
      count += item.at("spec").at("crashes").as_array().size();
    }
    return count;
  }

  void KillAllAndRestart()
  {
    mGateways[0]->Kill();
    mGateways[1]->Kill();
    RestartGateway(0);
    RestartGateway(1);
  }
};

/// One gateway, and enough engines that some hold each layer after several have crashed.
struct gateway_fixture_of_many_engines : gateway_fixture
{
  gateway_fixture_of_many_engines()
    : gateway_fixture({ "--engines=24" })
  {
    StartGateway();
  }
};

} // namespace

TEST_CASE_METHOD(crashing_part_fixture,
                 "gateways_send_requests_with_a_part_that_crashes_engines_to_five_at_most_and_serve_the_others")
{
  CheckThatCrashingPartIsBlocked("bad0bad0");
}

TEST_CASE_METHOD(crashing_part_fixture,
                 "gateways_block_a_part_that_crashes_engines_whose_responses_end_without_events_and_look_complete")
{
  CheckThatCrashingPartIsBlocked("bad1bad1");
}

TEST_CASE_METHOD(crashing_part_fixture, "gateway_that_starts_after_a_part_was_blocked_sends_no_request_with_it")
{
  CheckThatCrashingPartIsBlocked("bad0bad0");
  StartGateway();
  CHECK(SendParts("at-new", "5a5a:40,bad0bad0:100,", 2).mStatus == 503);
  CHECK(RunCount("at-new") == 0);
}

TEST_CASE_METHOD(gateway_fixture_of_many_engines,
                 "gateway_without_the_list_blocks_a_part_that_crashes_engines_which_restart_at_once")
{
  Control(mFleet, { { "store", { { "down", true } } } });
  std::size_t runs = 0;
  for (int each = 0; each < 6; ++each) {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/draft/1";
    call.mId = "crashing-" + std::to_string(each);
    call.mBody = "prompt of " + call.mId;
    call.mOutputTokens = 20;
    call.mPromptParts = "5a5a:40,bad0bad0:100,own" + std::to_string(each) + ":20";
    Send(call);
    runs += RunCount(call.mId);
    // Crashes at the same moment count as one.
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
  }
  CHECK(runs <= 5);
  CHECK(Metric(0, "gateway_blocked_traits") > 0);
}

TEST_CASE_METHOD(crashing_part_fixture,
                 "gateways_all_killed_after_a_part_was_blocked_send_it_to_three_more_engines_at_most")
{
  CheckThatCrashingPartIsBlocked("bad0bad0");
  mGateways[0]->Kill();
  mGateways[1]->Kill();
  RestartGateway(0);
  RestartGateway(1);
  std::size_t runs = 0;
  for (int each = 0; each < 8; ++each) {
    AwaitEngines();
    const std::string id = "again-" + std::to_string(each);
    SendParts(id, "5a5a:40,bad0bad0:100,", static_cast<std::size_t>(each) % 2);
    runs += RunCount(id);
  }
  // The rule counts from the fifth crash on, which was before the restarts.
  CHECK(runs <= 3);
}

// What a fleet has found out about a crashing request was in the memory of its processes only.
TEST_CASE_METHOD(crashing_request_fixture,
                 "gateways_all_killed_after_each_crash_send_a_crashing_request_to_three_engines_at_most")
{
  for (std::size_t kill = 0; kill < 4; ++kill) {
    AwaitEngines();
    SendCrashingRequest(kill % 2);
    REQUIRE(WaitUntil([&] { return StoredCrashes() >= mRuns; }));
    KillAllAndRestart();
  }
  CHECK(mRuns == 3);
}

TEST_CASE_METHOD(
  crashing_request_fixture,
  "gateways_without_the_store_keep_crashes_until_it_is_back_and_write_them_again_after_it_came_from_a_copy")
{
  Control(mFleet, { { "store", { { "copy", true } } } });
  Control(mFleet, { { "store", { { "down", true } } } });
  SendCrashingRequest(0);
  REQUIRE(mRuns > 0);
  Control(mFleet, { { "store", { { "down", false } } } });
  CHECK(WaitUntil([&] { return StoredCrashes() >= mRuns; }));
  Control(mFleet, { { "store", { { "restore", true } } } });
  CHECK(StoredCrashes() == 0);
  CHECK(WaitUntil([&] { return StoredCrashes() >= mRuns; }));
}

TEST_CASE_METHOD(crashing_part_fixture, "gateways_whose_retries_show_that_a_request_is_harmless_keep_no_crash_of_it")
{
  gateway_call call;
  call.mMethod = "POST";
  call.mTarget = "/draft/1";
  call.mId = "sound";
  call.mBody = "sound";
  call.mOutputTokens = 20;
  SetServer("engine-0", "reborn");
  AwaitEngines();
  CHECK(Send(call).mStatus == 200);
  const auto list = JsonOf(Call(mFleet.Address("http"), "GET", "/chervilpulley/objects/crashes"));
  CHECK(list.at("items").as_array().empty());
}
