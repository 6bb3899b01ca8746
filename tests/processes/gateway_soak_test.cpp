#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include <random>
#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

/// Rounds of faults; each takes about a tenth of a second, or up to seconds when streams stall.
constexpr int kFaultRounds = 24;
constexpr unsigned kSeed = 20261204;
constexpr unsigned kEvents = 30;

/// Two gateways in front of a fleet whose backend servers and store fail at random, several at a time.
struct soak_fixture : gateway_fixture
{
  std::mt19937 mRandom{ kSeed };

  soak_fixture()
  {
    StartGateway();
    StartGateway();
  }

  /// Random number below aBelow.
  std::size_t RandomBelow(std::size_t aBelow) { return mRandom() % aBelow; }

  /// Changes the states of backend servers and of the store at random.
  void InjectFaults()
  {
    static const std::vector<std::string> kServers{ "engine-0", "engine-1",  "engine-2",
                                                    "engine-3", "service-0", "service-1" };
    static const std::vector<std::string> kStates{
      "ok", "ok", "ok", "dark", "refusing", "failing", "cutting", "reborn"
    };
    SetServer(kServers[RandomBelow(kServers.size())], kStates[RandomBelow(kStates.size())]);
    SetServer(kServers[RandomBelow(kServers.size())], "ok");
    const bool storeFails = RandomBelow(4) == 0;
    Control(mFleet,
            { { "store",
                { { "down", storeFails },
                  { "forget", RandomBelow(5) == 0 },
                  { "lose_answers", RandomBelow(5) == 0 ? 1 : 0 } } } });
  }

  /// A booking runs at most once, and not at all when the caller got status 503 or 429.
  void CheckBooking(const std::string& aId, const gateway_response& aResponse) const
  {
    const std::size_t runs = RunCount(aId);
    INFO(aId << " got " << aResponse.mStatus);
    CHECK(runs <= 1);
    if (aResponse.mStatus == 503 || aResponse.mStatus == 429) {
      CHECK(runs == 0);
      CHECK(!aResponse.mHeaders.Get("Retry-After").empty());
    }
    if (aResponse.mStatus == 200) {
      CHECK(aResponse.mBody == "answer to " + aId);
      CHECK(runs == 1);
    }
  }

  /// A stream's events arrive once each and in order; a stream that ends normally has all of them.
  static void CheckStream(const std::string& aId, const gateway_response& aResponse)
  {
    INFO(aId << " got " << aResponse.mStatus);
    const std::string all = EventsUpTo(kEvents);
    if (aResponse.mStatus == 200 || aResponse.mStatus == 0) {
      CHECK(all.compare(0, aResponse.mBody.size(), aResponse.mBody) == 0);
    }
    if (aResponse.mStatus == 200 && aResponse.mIsComplete) {
      CHECK(aResponse.mBody == all);
    }
  }
};

} // namespace

TEST_CASE_METHOD(soak_fixture, "gateways_under_random_faults_keep_every_guarantee_and_serve_afterwards")
{
  for (int round = 0; round < kFaultRounds; ++round) {
    InjectFaults();
    gateway_call booking;
    booking.mMethod = "POST";
    booking.mTarget = "/book/winch";
    booking.mId = "b" + std::to_string(round);
    booking.mDeadlineMs = 1000;
    gateway_call stream;
    stream.mMethod = "POST";
    stream.mTarget = "/draft/1";
    stream.mId = "s" + std::to_string(round);
    stream.mOutputTokens = kEvents * 2;
    stream.mDeadlineMs = 3000;
    gateway_response streamed;
    std::thread caller([&] { streamed = Send(stream, 0); });
    const auto booked = Send(booking, 1);
    caller.join();
    CheckBooking(booking.mId, booked);
    CheckStream(stream.mId, streamed);
  }
  for (const char* server : { "engine-0", "engine-1", "engine-2", "engine-3", "service-0", "service-1" }) {
    SetServer(server, "ok");
  }
  Control(mFleet, { { "store", { { "down", false } } } });
  gateway_call last;
  last.mMethod = "POST";
  last.mTarget = "/draft/1";
  last.mOutputTokens = kEvents * 2;
  int tries = 0;
  CHECK(WaitUntil([&] {
    last.mId = "last" + std::to_string(++tries);
    const auto response = Send(last, tries % 2);
    return response.mIsComplete && response.mBody == EventsUpTo(kEvents);
  }));
}
