/// Workers answer part of the requests with their own 500, and one of them breaks off a few of its answers. Judges
/// whether an answer that ended early looks complete to the caller.

#include "../standin/standin.h"

#include <random>

using namespace review;

namespace {

constexpr int kRequests = 32000;
constexpr int kFailedInHundred = 14; ///< of the requests at each worker, as of rota-read at the site
constexpr int kBrokenInHundred = 2;  ///< of the answers of the one faulty worker
constexpr std::size_t kSentBytes = 23;

} // namespace

int main(int aCount, char** aWords)
{
  Begin(aCount, aWords);
  const bool trouble = HasTrouble();
  store platform;
  platform.Write("config", "main", Configuration());
  const std::string good = "the booking is made: winch 7, the crew of yard 3, Monday at 8, at the quarry's north gate";
  const std::string bad = "the booking is refused: winch 7 is in repair until Monday, the crew of yard 3 is free";
  std::mutex mutex;
  std::mt19937 random(1);
  windows disruption;
  std::atomic<int> failed{ 0 };
  std::atomic<int> broken{ 0 };
  std::atomic<int> brokenFailures{ 0 };
  const auto answer = [&](bool aIsFaulty) {
    return [&, aIsFaulty](connection& aConnection, const message& aRequest) {
      const std::string id = aRequest.Get("X-Attempt-Id");
      SleepMs(15);
      bool isFailure = false;
      bool isBroken = false;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        isFailure = static_cast<int>(random() % 100) < kFailedInHundred;
        isBroken = aIsFaulty && trouble && disruption.IsOn() && static_cast<int>(random() % 100) < kBrokenInHundred;
      }
      const std::string& body = isFailure ? bad : good;
      const std::string head = std::string("HTTP/1.1 ") + (isFailure ? "500 Internal Server Error" : "200 OK") +
                               "\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: " + id +
                               ".s\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n";
      failed += isFailure ? 1 : 0;
      if (isBroken) {
        ++broken;
        brokenFailures += isFailure ? 1 : 0;
        Record().Line("break    the answer " + std::string(isFailure ? "500" : "200") + " to " + id + " after " +
                      std::to_string(kSentBytes) + " of " + std::to_string(body.size()) + " bytes of its body");
        aConnection.Write(head + body.substr(0, kSentBytes));
        SleepMs(2);
        return false;
      }
      return aConnection.Write(head + body);
    };
  };
  worker faulty(platform, "app", "i-faulty", "a", answer(true));
  worker first(platform, "app", "i-sound-1", "a", answer(false));
  worker second(platform, "app", "i-sound-2", "a", answer(false));
  auto front = std::make_unique<gateway>("front-1", "a", platform.Address(), aWords[2]);
  if (!front->WaitReady(20'000)) {
    front.reset();
    Finish(2, "could not run: the gateway did not become ready");
  }
  SleepMs(500);
  std::atomic<int> whole{ 0 };
  std::atomic<int> visiblyBroken{ 0 };
  std::atomic<int> own{ 0 };
  std::atomic<int> looksComplete{ 0 };
  disruption.Begin(3000, 1);
  std::vector<std::thread> callers;
  constexpr int kCallers = 32;
  for (int number = 0; number < kCallers; ++number) {
    callers.emplace_back([&, number] {
      std::unique_ptr<connection> caller;
      for (int count = 0; count < kRequests / kCallers; ++count) {
        const std::string id = "book-" + std::to_string(number) + "-" + std::to_string(count);
        if (!caller) {
          caller = Connect(front->Front());
        }
        message reply;
        const bool isHead = caller && caller->Write(RequestText("POST", "/book/crew", id, 1000, "", "{}")) &&
                            caller->ReadHead(reply, NowMs() + 2000);
        const bool isComplete = isHead && caller->ReadBody(reply, NowMs() + 2000);
        Record().Line("answer   id " + id + " " + reply.mFirst + ", Content-Length " + reply.Get("Content-Length") +
                      ", X-Response-Stamp " + reply.Get("X-Response-Stamp") + ", " +
                      (isComplete ? "complete: " : "incomplete: ") + reply.mBody);
        const bool isWorkers = reply.Has("X-Response-Stamp");
        const std::string& sent = reply.Status() == 200 ? good : bad;
        if (isWorkers && isComplete) {
          ++(reply.mBody == sent ? whole : looksComplete);
        } else {
          ++(isHead && !isComplete ? visiblyBroken : own);
        }
        if (!isComplete) {
          caller.reset();
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  front.reset();
  std::ostringstream verdict;
  verdict << "requests " << kRequests << "; workers answered " << failed << " with 500; the faulty one broke off "
          << broken << " answers, of these " << brokenFailures << " failures; at the caller: whole " << whole
          << ", visibly broken off " << visiblyBroken << ", the gateway's own " << own
          << ", broken off and looking complete " << looksComplete;
  if (trouble && brokenFailures == 0) {
    Finish(2, "could not run: no failure was broken off; " + verdict.str());
  }
  Finish(looksComplete > 0 ? 1 : 0, verdict.str());
}
