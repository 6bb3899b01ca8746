/// A request crashes each engine that runs it and comes again and again. All gateways are killed twice, each time
/// after they have blocked it. Judges whether it reaches engines in more than three retries after the third crash.

#include "../standin/standin.h"

#include <set>

using namespace review;

namespace {

constexpr int kGateways = 2;
constexpr int kEngines = 6;
constexpr int kContactMs = 3000;
constexpr int kReturnMs = 2000; ///< until a crashed engine is back, under another id
constexpr int kRetries = 8;     ///< of the client before and after each kill, at most
constexpr int kKills = 2;       ///< of all gateways
constexpr int kDownMs = 2000;

/// An engine that crashes: its connections are reset, nothing is accepted for a while, and it comes back empty under
/// another id at the same address.
class engine
{
public:
  using on_harm = std::function<void(const std::string& aWorker, const std::string& aId)>;

  engine(store& aStore, const std::string& aName, on_harm aOnHarm)
    : mStore(aStore)
    , mName(aName)
    , mOnHarm(std::move(aOnHarm))
    , mListener([this](connection& aConnection) { Serve(aConnection); })
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    List();
  }
  bool HoldsLayers()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return !mIsDown && mTo > 0;
  }
  void TimePassed()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mIsDown && NowMs() >= mBackAt) {
      mStore.Remove("servers", Id());
      ++mStart;
      mIsDown = false;
      List();
    }
  }

private:
  std::string Id() const { return mName + "-" + std::to_string(mStart); }
  void List()
  {
    mBorn = UnixMs();
    mOrders = 0;
    mFrom = 0;
    mTo = 0;
    Write();
  }
  void Write()
  {
    json::object spec{ { "service", "llm" }, { "address", mListener.Address() },
                       { "zone", "a" },      { "version", "v1" },
                       { "slots", 192 },     { "state", "ready" },
                       { "coldMs", 0 },      { "stage", "unified" },
                       { "kind", "big" },    { "born", mBorn },
                       { "seq", mOrders } };
    if (mTo > 0) {
      spec["layers"] = { { "from", mFrom }, { "target", mTo }, { "version", 1 } };
    }
    mStore.Write("servers", Id(), spec);
  }
  void Crash()
  {
    mIsDown = true;
    mBackAt = NowMs() + kReturnMs;
    for (const int socket : mSockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  void Serve(connection& aConnection)
  {
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      if (mIsDown) {
        aConnection.Reset();
        return;
      }
      mSockets.insert(aConnection.Socket());
    }
    const int socket = aConnection.Socket();
    message request;
    while (aConnection.ReadRequest(request, NowMs() + 120'000) && Handle(aConnection, request)) {
    }
    const std::lock_guard<std::mutex> lock(mMutex);
    mSockets.erase(socket);
  }
  bool Handle(connection& aConnection, const message& aRequest)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    if (mIsDown) {
      return false;
    }
    const std::string id = aRequest.Get("X-Attempt-Id");
    if (aRequest.Has("X-Expect-Instance") && aRequest.Get("X-Expect-Instance") != Id()) {
      return aConnection.Write(Reply("421 Misdirected Request",
                                     "X-Not-Executed: 1\r\nX-Attempt-Id: " + id + "\r\nX-Instance-Id: " + Id() + "\r\n",
                                     ""));
    }
    if (aRequest.Target() == "/chervilpulley/report") {
      json::object report{ { "stage", "unified" }, { "busy", false }, { "seq", mOrders },
                           { "waiting", 0 },       { "running", 0 },  { "kvUsed", 0 },
                           { "kvTotal", 100000 },  { "pace", 1.0 },   { "born", mBorn } };
      if (mTo > 0) {
        report["layers"] = { { "from", mFrom }, { "target", mTo }, { "version", 1 } };
      }
      return aConnection.Write(Reply("200 OK", "Content-Type: application/json\r\n", json::serialize(report)));
    }
    if (aRequest.Target() == "/chervilpulley/order") {
      boost::json::error_code error;
      const json::value body = json::parse(aRequest.mBody, error);
      const json::object* order = body.if_object();
      if (order == nullptr || !order->contains("op") || order->at("op") != "place") {
        return aConnection.Write(Reply("400 Bad Request", "", ""));
      }
      if (order->contains("expect") && order->at("expect").to_number<int>() != mOrders) {
        return aConnection.Write(Reply("409 Conflict", "", ""));
      }
      mFrom = order->at("from").to_number<int>();
      mTo = order->at("target").to_number<int>();
      ++mOrders;
      Write();
      return aConnection.Write(Reply("202 Accepted", "", ""));
    }
    if (aRequest.mBody.find("harm") != std::string::npos) {
      mOnHarm(Id(), id);
      Crash();
      aConnection.Reset();
      return false;
    }
    lock.unlock();
    std::string bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: " + id +
                        ".s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int event = 1; event <= 5; ++event) {
      const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      bytes += size + text + "\r\n";
    }
    return aConnection.Write(bytes + "0\r\n\r\n");
  }

  store& mStore;
  std::string mName;
  on_harm mOnHarm;
  std::mutex mMutex;
  std::set<int> mSockets;
  bool mIsDown = false;
  std::int64_t mBackAt = 0;
  std::int64_t mBorn = 0;
  int mStart = 1;
  int mOrders = 0;
  int mFrom = 0;
  int mTo = 0;
  listener mListener; ///< last, as it serves at once
};

} // namespace

int main(int aCount, char** aWords)
{
  Begin(aCount, aWords);
  const bool trouble = HasTrouble();
  store platform;
  platform.Write("config", "main", Configuration());
  std::mutex mutex;
  std::vector<std::int64_t> harmed; ///< when the request reached an engine, which crashed
  std::vector<std::unique_ptr<engine>> engines;
  for (int number = 0; number < kEngines; ++number) {
    engines.push_back(std::make_unique<engine>(
      platform, "i-llm-" + std::to_string(number + 1), [&](const std::string& aWorker, const std::string& aId) {
        const std::lock_guard<std::mutex> lock(mutex);
        harmed.push_back(NowMs());
        Record().Line("crash    worker " + aWorker + " by id " + aId + ", number " + std::to_string(harmed.size()));
      }));
  }
  std::thread([&] {
    for (;; SleepMs(50)) {
      for (const auto& each : engines) {
        each->TimePassed();
      }
    }
  }).detach();
  std::vector<std::unique_ptr<gateway>> gateways;
  for (int number = 0; number < kGateways; ++number) {
    gateways.push_back(
      std::make_unique<gateway>("front-" + std::to_string(number + 1), "a", platform.Address(), aWords[2]));
  }
  const auto allReady = [&] {
    bool areReady = true;
    for (const auto& each : gateways) {
      areReady = areReady && each->WaitReady(20'000);
    }
    return areReady;
  };
  const auto awaitEngines = [&] {
    for (const auto until = NowMs() + 15'000; NowMs() < until; SleepMs(50)) {
      bool areBack = true;
      for (const auto& each : engines) {
        areBack = areBack && each->HoldsLayers();
      }
      if (areBack) {
        SleepMs(600); // the gateways have read the list
        return true;
      }
    }
    return false;
  };
  const auto crashes = [&] {
    const std::lock_guard<std::mutex> lock(mutex);
    return harmed.size();
  };
  int sent = 0;
  const auto send = [&](const std::string& aBody) {
    gateway& target = *gateways[static_cast<std::size_t>(sent) % gateways.size()];
    const std::string id = (aBody == "{}" ? "calm-" : "harm-") + std::to_string(sent++);
    auto client = Connect(target.Front());
    message reply;
    const bool isAnswered =
      client &&
      client->Write(RequestText("POST",
                                "/chat/text",
                                id,
                                20'000,
                                "X-Model: m0\r\nX-Token-Counts: 760,154\r\nX-Prompt-Prefix: 5c1e:40,91bd:720\r\n",
                                aBody)) &&
      client->ReadRequest(reply, NowMs() + 5000);
    Record().Line("answer   from " + target.Name() + " id " + id + " " + (isAnswered ? reply.mFirst : "none"));
    return isAnswered ? reply.Status() : 0;
  };
  if (!allReady() || !awaitEngines()) {
    gateways.clear();
    Finish(2, "could not run: no gateway or no engine is ready");
  }
  SleepMs(4000);
  for (int number = 0; number < 6; ++number) {
    send("{}");
  }
  // The request comes again until it has crashed three engines and the gateways refuse it.
  for (int number = 0, refusals = 0; number < kRetries && refusals < 4; ++number) {
    const auto before = crashes();
    send("{\"harm\":1}");
    refusals = crashes() == before && before >= 3 ? refusals + 1 : 0;
    awaitEngines();
  }
  if (crashes() < 3) {
    gateways.clear();
    Finish(2, "could not run: the request did not crash three engines");
  }
  const auto third = harmed[2];
  SleepMs(kContactMs);
  const auto before = crashes();
  Record().Line("note     crashes so far " + std::to_string(before));
  std::size_t counted = 0;
  for (int kill = 0; kill < kKills; ++kill) {
    for (const auto& each : gateways) {
      if (trouble) {
        ::kill(each->Pid(), SIGKILL);
      }
    }
    for (const auto& each : gateways) {
      while (trouble && !each->HasEnded()) {
        SleepMs(5);
      }
    }
    SleepMs(kDownMs);
    for (const auto& each : gateways) {
      if (trouble) {
        each->Start();
      }
    }
    if (!allReady()) {
      gateways.clear();
      Finish(2, "could not run: a gateway did not become ready again");
    }
    // From here on all machines are in touch: nothing has happened to them for contactMs.
    SleepMs(kContactMs + 1000);
    const auto inTouch = NowMs();
    for (int number = 0; number < kRetries; ++number) {
      awaitEngines();
      send("{\"harm\":1}");
      SleepMs(300);
    }
    for (const auto at : harmed) {
      counted += at > third + kContactMs && at > inTouch ? 1 : 0;
    }
  }
  gateways.clear();
  std::ostringstream verdict;
  verdict << "engines crashed by the request: " << before << " before"
          << (trouble ? " all gateways were killed twice, " : ", ") << crashes() - before
          << " after; retries that reached engines later than contactMs after the third crash, from "
          << "machines in touch: " << counted;
  Finish(counted > 3 ? 1 : 0, verdict.str());
}
