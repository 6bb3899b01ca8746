/// A faulty worker spoils the length in the head of a few answers. Judges whether the gateways outlive it and answer
/// the requests that sound workers are at work on.

#include "../standin/standin.h"

using namespace review;

namespace {

constexpr int kGateways = 3;
constexpr int kCallers = 8;         ///< kept connections to each gateway
constexpr int kSeconds = 15;        ///< of traffic
constexpr int kSpoiltInHundred = 2; ///< of the answers of the one faulty worker

} // namespace

int main(int aCount, char** aWords)
{
  Begin(aCount, aWords);
  const bool trouble = HasTrouble();
  id_set atSound;
  store platform;
  platform.Write("config", "main", Configuration());
  windows disruption;
  std::atomic<int> answers{ 0 };
  std::atomic<int> spoilt{ 0 };
  const auto answer = [&](bool aIsFaulty) {
    return [&, aIsFaulty](connection& aConnection, const message& aRequest) {
      const std::string id = aRequest.Get("X-Attempt-Id");
      if (!aIsFaulty) {
        atSound.Add(id);
      }
      SleepMs(30);
      const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: " + id + ".s\r\n";
      const std::string body(800, 'a');
      if (aIsFaulty && trouble && disruption.IsOn() && ++answers % (100 / kSpoiltInHundred) == 0) {
        ++spoilt;
        Record().Line("spoil    the answer to " + id + ": a length of which only 800 bytes follow, then the end");
        aConnection.Write(head + "Content-Length: 800800800800800\r\n\r\n" + body);
        return false;
      }
      return aConnection.Write(head + "Content-Length: 800\r\n\r\n" + body);
    };
  };
  worker faulty(platform, "app", "i-faulty", "a", answer(true));
  worker first(platform, "app", "i-sound-1", "a", answer(false));
  worker second(platform, "app", "i-sound-2", "a", answer(false));
  std::vector<std::unique_ptr<gateway>> gateways;
  for (int number = 0; number < kGateways; ++number) {
    gateways.push_back(
      std::make_unique<gateway>("front-" + std::to_string(number + 1), "a", platform.Address(), aWords[2]));
  }
  for (const auto& each : gateways) {
    if (!each->WaitReady(20'000)) {
      gateways.clear();
      Finish(2, "could not run: a gateway did not become ready");
    }
  }
  SleepMs(1000);
  const auto end = NowMs() + kSeconds * 1000;
  disruption.Begin(3000, 1);
  kept_callers callers(gateways, atSound, kCallers, end);
  const int ends = RestartUntil(gateways, end + 500);
  callers.Join();
  gateways.clear();
  std::ostringstream verdict;
  verdict << "times that one of " << kGateways << " gateways ended by itself: " << ends << "; sent " << callers.mSent
          << ", served " << callers.mServed << ", answered otherwise " << callers.mOtherwise << ", spoilt answers "
          << spoilt << "; requests at sound workers whose kept connection closed without an answer: " << callers.mCut;
  if (trouble && spoilt == 0) {
    Finish(2, "could not run: no answer was spoilt; " + verdict.str());
  }
  // LOST: more than three such requests. A process that ends by itself counts as running all the while.
  Finish(callers.mCut > 3 ? 1 : 0, verdict.str());
}
