/// Clients resume streams of which they have all events, and a share of them leaves before the answer. Judges whether
/// the gateway outlives it and answers the requests that sound workers are at work on.

#include "../standin/standin.h"

#include <random>

using namespace review;

namespace {

constexpr int kGateways = 2;
constexpr int kCallers = 6;    ///< kept connections to each gateway, for plain requests
constexpr int kResuming = 24;  ///< clients that resume streams, at each gateway
constexpr int kSeconds = 50;   ///< of traffic
constexpr int kLeaveInTen = 3; ///< of the clients that resume streams
constexpr int kLastEvent = 77;

} // namespace

int main(int aCount, char** aWords)
{
  Begin(aCount, aWords);
  const bool trouble = HasTrouble();
  id_set atSound;
  store platform;
  platform.Write("config", "main", Configuration());
  worker app(platform, "app", "i-app-1", "a", [&](connection& aConnection, const message& aRequest) {
    const std::string id = aRequest.Get("X-Attempt-Id");
    atSound.Add(id);
    SleepMs(15);
    return aConnection.Write(
      Reply("200 OK", "X-Attempt-Id: " + id + "\r\nX-Response-Stamp: " + id + ".s\r\n", std::string(800, 'a')));
  });
  const auto stream = [&](connection& aConnection, const message& aRequest) {
    const std::string id = aRequest.Get("X-Attempt-Id");
    SleepMs(245);
    std::string bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: " + id +
                        ".s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const int last = std::atoi(aRequest.Get("Last-Event-Id").c_str());
    for (int event = last + 1; event <= kLastEvent; ++event) {
      const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      bytes += size + text + "\r\n";
    }
    return aConnection.Write(bytes + "0\r\n\r\n");
  };
  worker first(platform, "llm", "i-llm-1", "a", stream);
  worker second(platform, "llm", "i-llm-2", "a", stream);
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
  for (const auto until = NowMs() + 20'000; !(first.HoldsLayers() && second.HoldsLayers()); SleepMs(50)) {
    if (NowMs() > until) {
      gateways.clear();
      Finish(2, "could not run: the engines got no layers");
    }
  }
  SleepMs(3000);
  const auto end = NowMs() + kSeconds * 1000;
  windows disruption;
  disruption.Begin(1000, 7);
  std::atomic<int> resumed{ 0 };
  std::atomic<int> completed{ 0 };
  std::atomic<int> left{ 0 };
  std::vector<std::thread> clients;
  for (int number = 0; number < kGateways * kResuming; ++number) {
    gateway* target = gateways[number % kGateways].get();
    clients.emplace_back([&, number, target] {
      std::mt19937 random(static_cast<unsigned>(number));
      for (int count = 0; NowMs() < end; ++count) {
        auto client = Connect(target->Front());
        if (!client) {
          SleepMs(300);
          continue;
        }
        const std::string id = "r" + std::to_string(number) + "-" + std::to_string(count);
        client->Write(
          RequestText("POST",
                      "/chat/text",
                      id,
                      20'000,
                      "Last-Event-Id: " + std::to_string(kLastEvent) +
                        "\r\nX-Model: m0\r\nX-Token-Counts: 760,154\r\nX-Prompt-Prefix: 5c1e:40,91bd:720\r\n",
                      "{}"));
        ++resumed;
        message reply;
        if (trouble && disruption.IsOn() && static_cast<int>(random() % 10) < kLeaveInTen) {
          // It leaves within 250 ms, half of the objective, if there was no answer before.
          std::this_thread::sleep_for(std::chrono::microseconds(244'000 + random() % 6'000));
          client->Reset();
          ++left;
          Record().Line("leave    id " + id);
        } else if (client->ReadRequest(reply, NowMs() + 3000)) {
          completed += reply.Status() == 200 ? 1 : 0;
          Record().Line("answer   id " + id + " " + reply.mFirst);
        } else {
          Record().Line("answer   id " + id + " none, the connection closed");
        }
        client.reset();
        SleepMs(static_cast<int>(random() % 200));
      }
    });
  }
  kept_callers callers(gateways, atSound, kCallers, end);
  const int ends = RestartUntil(gateways, end + 500);
  callers.Join();
  for (std::thread& client : clients) {
    client.join();
  }
  gateways.clear();
  std::ostringstream verdict;
  verdict << "times that one of " << kGateways << " gateways ended by itself: " << ends << "; streams resumed "
          << resumed << ", answered " << completed << ", left " << left << "; plain requests sent " << callers.mSent
          << ", served " << callers.mServed << ", answered otherwise " << callers.mOtherwise
          << "; requests at sound workers whose kept connection closed without an answer: " << callers.mCut;
  // LOST: more than three such requests. A process that ends by itself counts as running all the while.
  Finish(callers.mCut > 3 ? 1 : 0, verdict.str());
}
