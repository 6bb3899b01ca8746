#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include <random>
#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

/// Rounds of faults; each takes a tenth of a second or so, and up to seconds where streams stall.
constexpr int kRounds = 24;
constexpr unsigned kSeed = 20261204;
constexpr unsigned kEvents = 30;

/// Two gateways before a fleet whose servers, store and gateways fail at random, several at a time.
struct soak_fixture : gateway_fixture
{
  std::mt19937 mRandom{ kSeed };

  soak_fixture()
  {
    StartGateway();
    StartGateway();
  }

  std::size_t Draw(std::size_t aBelow) { return mRandom() % aBelow; }

  void Disturb()
  {
    static const std::vector<std::string> kServers{ "engine-0", "engine-1",  "engine-2",
                                                    "engine-3", "service-0", "service-1" };
    static const std::vector<std::string> kStates{
      "ok", "ok", "ok", "dark", "refusing", "failing", "cutting", "reborn"
    };
    SetServer(kServers[Draw(kServers.size())], kStates[Draw(kStates.size())]);
    SetServer(kServers[Draw(kServers.size())], "ok");
    const bool storeFails = Draw(4) == 0;
    Control(mFleet,
            { { "store",
                { { "down", storeFails }, { "forget", Draw(5) == 0 }, { "lose_answers", Draw(5) == 0 ? 1 : 0 } } } });
  }

  /// A booking ran at most once, and not at all where the caller was told so.
  void JudgeBooking(const std::string& aId, const gateway_answer& aAnswer) const
  {
    const std::size_t runs = Runs(aId);
    INFO(aId << " got " << aAnswer.mStatus);
    CHECK(runs <= 1);
    if (aAnswer.mStatus == 503 || aAnswer.mStatus == 429) {
      CHECK(runs == 0);
      CHECK(!aAnswer.mHeaders.Get("Retry-After").empty());
    }
    if (aAnswer.mStatus == 200) {
      CHECK(aAnswer.mBody == "answer to " + aId);
      CHECK(runs == 1);
    }
  }

  /// A stream's events came once each and in order; one that looks complete is.
  static void JudgeStream(const std::string& aId, const gateway_answer& aAnswer)
  {
    INFO(aId << " got " << aAnswer.mStatus);
    const std::string all = EventsUpTo(kEvents);
    if (aAnswer.mStatus == 200 || aAnswer.mStatus == 0) {
      CHECK(all.compare(0, aAnswer.mBody.size(), aAnswer.mBody) == 0);
    }
    if (aAnswer.mStatus == 200 && aAnswer.mIsWhole) {
      CHECK(aAnswer.mBody == all);
    }
  }
};

} // namespace

TEST_CASE_METHOD(soak_fixture, "gateways_under_random_faults_keep_every_promise_and_serve_afterwards")
{
  for (int round = 0; round < kRounds; ++round) {
    Disturb();
    gateway_call booking;
    booking.mMethod = "POST";
    booking.mTarget = "/book/winch";
    booking.mId = "b" + std::to_string(round);
    booking.mPatienceMs = 1000;
    gateway_call stream;
    stream.mMethod = "POST";
    stream.mTarget = "/draft/1";
    stream.mId = "s" + std::to_string(round);
    stream.mTokens = kEvents * 2;
    stream.mPatienceMs = 3000;
    gateway_answer streamed;
    std::thread caller([&] { streamed = Send(stream, 0); });
    const auto booked = Send(booking, 1);
    caller.join();
    JudgeBooking(booking.mId, booked);
    JudgeStream(stream.mId, streamed);
  }
  for (const char* server : { "engine-0", "engine-1", "engine-2", "engine-3", "service-0", "service-1" }) {
    SetServer(server, "ok");
  }
  Control(mFleet, { { "store", { { "down", false } } } });
  gateway_call last;
  last.mMethod = "POST";
  last.mTarget = "/draft/1";
  last.mTokens = kEvents * 2;
  int tries = 0;
  CHECK(WaitUntil([&] {
    last.mId = "last" + std::to_string(++tries);
    const auto answer = Send(last, tries % 2);
    return answer.mIsWhole && answer.mBody == EventsUpTo(kEvents);
  }));
}
