#include "processes/raw_caller.h"
#include "processes/termination_judge.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "base/clock.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kEventMs = 10;
constexpr unsigned kTokensPerEvent = 2;
/// All callers together, and the fewest for each gateway: the stand-in fleet is a single process.
constexpr std::size_t kCallers = 30;
constexpr std::size_t kMinCallersPerGateway = 2;
constexpr std::int64_t kCrossingMs = 200;
/// A caller that has got nothing for so long after its deadline gives up.
constexpr std::int64_t kGiveUpMs = 10'000;
constexpr std::size_t kMaxFaultsShown = 12;
/// Sizes with which a slow caller's responses wait at the gateway.
constexpr int kSmallBufferBytes = 1;
constexpr std::size_t kSmallPieceBytes = 200;
constexpr std::size_t kPieceBytes = 4096;

/// A number from the environment, for longer runs by hand.
unsigned Option(const char* aName, unsigned aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/// A signal to a gateway some time after its SIGTERM.
struct later_signal
{
  std::int64_t mAfterMs = 0;
  int mNumber = 0;
};

/// How the caller of one connection behaves.
struct caller_manner
{
  unsigned mMaxGapMs = 0;        ///< longest time from a response to the next request
  bool mIsPipelining = false;    ///< sends the next request before the response has ended
  bool mSendsAfterClose = false; ///< sends one more request after Connection: close
  bool mIsSlow = false;          ///< reads slowly, with a small receive buffer
  bool mIsUsedOnce = false;      ///< the connection is left after the first response
};

caller_manner DrawManner(std::mt19937_64& aRandom)
{
  static const std::vector<unsigned> kGaps{ 0, 10, 100, 400, 1500 };
  caller_manner manner;
  manner.mMaxGapMs = kGaps[aRandom() % kGaps.size()];
  manner.mIsPipelining = aRandom() % 2 == 0;
  manner.mSendsAfterClose = aRandom() % 3 == 0;
  manner.mIsSlow = aRandom() % 5 == 0;
  manner.mIsUsedOnce = aRandom() % 4 == 0;
  return manner;
}

/// One connection of a caller, with all that was sent and received on it.
struct caller_connection
{
  raw_caller mCaller;
  caller_manner mManner;
  std::shared_ptr<gateway_life> mGateway;
  std::string mName;
  std::vector<request_outcome> mSent;
  std::vector<received_response> mResponses; ///< the whole ones
  received_response mPart;                   ///< of the next response
  std::size_t mParsed = 0;                   ///< bytes of the whole responses
  bool mIsClosing = false;                   ///< a response had Connection: close
  bool mHasSentAfterClose = false;
  std::int64_t mNextMs = 0; ///< when the next request is sent
  std::int64_t mOpenMs = 0;
  std::int64_t mProgressMs = SteadyMs();

  caller_connection(std::shared_ptr<gateway_life> aGateway, caller_manner aManner, std::string aName)
    : mCaller(aGateway->mCallers, aManner.mIsSlow ? kSmallBufferBytes : 0)
    , mManner(aManner)
    , mGateway(std::move(aGateway))
    , mName(std::move(aName))
  {
  }

  std::size_t Unanswered() const { return mSent.size() - mResponses.size(); }

  /// Whether the caller wants to send another request on this connection, now or later.
  bool WantsToSend() const
  {
    if (mIsClosing) {
      return mManner.mSendsAfterClose && !mHasSentAfterClose;
    }
    return !(mManner.mIsUsedOnce && !mSent.empty());
  }

  bool MaySendNow() const
  {
    const std::size_t most = mManner.mIsPipelining ? 2 : 1;
    return WantsToSend() && Unanswered() < most && SteadyMs() >= mNextMs;
  }

  void Read(std::mt19937_64& aRandom)
  {
    if (mManner.mIsSlow) {
      const unsigned mostMs = aRandom() % 20 == 0 ? 1200 : 20;
      std::this_thread::sleep_for(std::chrono::milliseconds(aRandom() % mostMs));
    }
    const std::int64_t before = SteadyMs();
    const bool hasRead = mCaller.ReadSome(10ms, mManner.mIsSlow ? kSmallPieceBytes : kPieceBytes);
    if (!hasRead && mCaller.End() == connection_end::Open) {
      mOpenMs = before;
    }
    if (hasRead) {
      mProgressMs = SteadyMs();
      Parse();
    }
  }

  void Parse()
  {
    mPart = ParseResponse(std::string_view(mCaller.Received()).substr(mParsed));
    while (mPart.mIsComplete) {
      mParsed += mPart.mSize;
      mIsClosing |= mPart.mCloses;
      mResponses.push_back(std::move(mPart));
      mPart = ParseResponse(std::string_view(mCaller.Received()).substr(mParsed));
    }
  }

  /// What each request got, once the connection has ended or the caller has given up.
  std::vector<request_outcome> Outcomes()
  {
    const bool gaveUp = mCaller.End() == connection_end::Open;
    bool isAfterClose = false;
    for (std::size_t each = 0; each < mSent.size(); ++each) {
      request_outcome& outcome = mSent[each];
      const received_response response = each < mResponses.size()    ? mResponses[each]
                                         : each == mResponses.size() ? mPart
                                                                     : received_response{};
      outcome.mOpenMs = mOpenMs;
      outcome.mEndedMs = SteadyMs();
      outcome.mIsAfterClose = isAfterClose;
      outcome.mIsBehindCut = each > mResponses.size();
      outcome.mGaveUp = gaveUp && !response.mIsComplete && !isAfterClose;
      outcome.mStatus = response.mStatus;
      outcome.mIsComplete = response.mIsComplete;
      outcome.mBody = response.mBody;
      isAfterClose |= response.mCloses;
    }
    return mSent;
  }
};

/// Gateways that are terminated in overlapping series while callers go on using their connections, and while engines
/// leave and end, the configuration changes and the store is down at times.
class termination_soak : public gateway_fixture
{
public:
  termination_soak()
    : gateway_fixture({ "--engines=8", "--services=4", fmt::format("--event_ms={}", kEventMs) })
    , mRandom(Option("CHERVILPULLEY_SOAK_SEED", 20261205))
  {
    mGraceS = std::vector<double>{ 2, 3, 4 }[mRandom() % 3];
    const unsigned gateways = Option("CHERVILPULLEY_SOAK_GATEWAYS", 3);
    for (unsigned each = 0; each < gateways; ++each) {
      AddLife(StartGateway());
    }
  }

  void Run()
  {
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < std::max(kCallers, mGateways.size() * kMinCallersPerGateway); ++caller) {
      callers.emplace_back([this, caller, seed = mRandom()] { Caller(caller, seed); });
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(Option("CHERVILPULLEY_SOAK_SECONDS", 14));
    const std::size_t pauseMs = std::max<std::size_t>(20, 900 / mLive.size());
    while (std::chrono::steady_clock::now() < end) {
      InjectFault();
      std::this_thread::sleep_for(std::chrono::milliseconds(mRandom() % pauseMs));
    }
    SetStore(false);
    mIsOver = true;
    for (std::thread& thread : callers) {
      thread.join();
    }
    for (std::thread& thread : mTerminations) {
      thread.join();
    }
  }

  void Check()
  {
    termination_judge judge(mGraceS, RecordsOf(mFleet));
    for (std::size_t each = 0; each < mLives.size(); ++each) {
      judge.AddLog(mLives[each]->mName, mGateways[each]->Output());
    }
    CheckExits();
    CheckOutcomes(judge);
    KeepLogs();
  }

private:
  void AddLife(const process& aGateway)
  {
    auto life = std::make_shared<gateway_life>();
    life->mName = fmt::format("g{}", mLives.size());
    life->mCallers = aGateway.Address("http");
    const std::lock_guard lock(mMutex);
    mLives.push_back(life);
    mLive.push_back(mLives.size() - 1);
  }

  /// A gateway to connect to: one in use, or now and then one that is leaving.
  std::shared_ptr<gateway_life> DrawGateway(std::mt19937_64& aRandom)
  {
    const std::lock_guard lock(mMutex);
    if (aRandom() % 4 == 0) {
      const std::size_t recent = std::min(mLives.size(), 2 * mLive.size());
      const auto& life = mLives[mLives.size() - 1 - aRandom() % recent];
      // The address of one that has ended may be in use again.
      if (life->mExitedMs == 0) {
        return life;
      }
    }
    return mLives[mLive[aRandom() % mLive.size()]];
  }

  void InjectFault()
  {
    switch (mRandom() % 10) {
      case 0:
      case 1:
        ReplaceGateway();
        break;
      case 2:
        ReplaceGateway();
        ReplaceGateway();
        break;
      case 3:
        SetStore(!mIsStoreDown && mRandom() % 3 == 0);
        break;
      case 4:
        ++mVersion;
        mKey = mRandom() % 12 == 0 ? 2 : 1;
        Control(mFleet, { { "version", mVersion }, { "key", KeyName(mKey) } });
        break;
      case 5: {
        const auto& live = *mGateways[mLive[mRandom() % mLive.size()]];
        ::kill(live.Pid(), SIGHUP);
        break;
      }
      default:
        ChangeServer();
    }
  }

  static std::string KeyName(unsigned aKey) { return fmt::format("key-{}", aKey); }

  void SetStore(bool aIsDown)
  {
    mIsStoreDown = aIsDown;
    Control(mFleet, { { "store", { { "down", aIsDown } } } });
  }

  void ChangeServer()
  {
    static const std::vector<std::string> kStates{ "ok",      "ok",      "ok",      "ok",        "ok",      "ok",
                                                   "leaving", "leaving", "closing", "gone",      "cutting", "cutting",
                                                   "failing", "dark",    "reborn",  "announcing" };
    const auto servers = Servers();
    const std::string name(servers[mRandom() % servers.size()].as_object().at("name").as_string());
    std::string& state = mStates[name];
    // A server that leaves does not come back but by a restart.
    const bool leaves = state == "announcing" || state == "leaving" || state == "closing" || state == "gone";
    state = leaves ? "reborn" : kStates[mRandom() % kStates.size()];
    SetServer(name, state);
  }

  /// Terminates a gateway and starts another in its place.
  void ReplaceGateway()
  {
    const std::size_t slot = mRandom() % mLive.size();
    const std::size_t old = mLive[slot];
    AddLife(LaunchGateway());
    {
      const std::lock_guard lock(mMutex);
      mLive.erase(mLive.begin() + static_cast<std::ptrdiff_t>(slot));
    }
    mTerminations.emplace_back([this, life = mLives[old], gateway = mGateways[old].get(), signals = DrawSignals()] {
      Terminate(*life, *gateway, signals);
    });
  }

  /// The signals of a leaving gateway after its SIGTERM, in order of time.
  std::vector<later_signal> DrawSignals()
  {
    std::vector<later_signal> signals;
    const auto graceMs = static_cast<std::uint64_t>(mGraceS * 1000);
    const auto moment = [&] { return static_cast<std::int64_t>(mRandom() % graceMs); };
    if (mRandom() % 4 == 0) {
      signals.push_back({ moment(), SIGTERM });
    }
    if (mRandom() % 4 == 0) {
      signals.push_back({ moment(), SIGHUP });
    }
    if (mRandom() % 8 == 0) {
      const std::int64_t stopped = moment();
      signals.push_back({ stopped, SIGSTOP });
      signals.push_back({ stopped + 20 + moment() / 3, SIGCONT });
    }
    std::sort(signals.begin(), signals.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAfterMs < aRight.mAfterMs;
    });
    return signals;
  }

  /// Plays the platform: SIGTERM, and SIGKILL at the end of the grace period.
  void Terminate(gateway_life& aLife, process& aGateway, std::vector<later_signal> aSignals) const
  {
    aSignals.push_back({ static_cast<std::int64_t>(mGraceS * 1000), SIGKILL });
    const std::int64_t begun = SteadyMs();
    aLife.mTerminatedMs = begun;
    aGateway.Terminate();
    auto next = aSignals.begin();
    while (!aGateway.Status()) {
      if (next != aSignals.end() && SteadyMs() - begun >= next->mAfterMs) {
        aLife.mIsFrozen = aLife.mIsFrozen || next->mNumber == SIGSTOP;
        aLife.mIsKilled = aLife.mIsKilled || next->mNumber == SIGKILL;
        ::kill(aGateway.Pid(), next->mNumber);
        ++next;
      }
      std::this_thread::sleep_for(2ms);
    }
    aLife.mExitedMs = SteadyMs();
    aLife.mStatus = *aGateway.Status();
  }

  void Caller(std::size_t aCaller, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    for (int each = 0; !mIsOver; ++each) {
      const auto gateway = DrawGateway(random);
      const std::string name = fmt::format("{}/{}-{}", gateway->mName, aCaller, each);
      std::unique_ptr<caller_connection> connection;
      try {
        connection = std::make_unique<caller_connection>(gateway, DrawManner(random), name);
      } catch (const boost::system::system_error&) {
        std::this_thread::sleep_for(10ms);
        continue;
      }
      UseConnection(*connection, random);
      const auto outcomes = connection->Outcomes();
      const std::lock_guard lock(mMutex);
      mOutcomes.insert(mOutcomes.end(), outcomes.begin(), outcomes.end());
    }
  }

  /// Sends requests until the gateway closes the connection, or the caller wants no more.
  void UseConnection(caller_connection& aConnection, std::mt19937_64& aRandom)
  {
    while (aConnection.mCaller.End() == connection_end::Open) {
      if (!mIsOver && aConnection.MaySendNow()) {
        SendNext(aConnection, aRandom);
      }
      const bool wantsMore = !mIsOver && aConnection.WantsToSend();
      if (aConnection.mHasSentAfterClose || aConnection.mIsClosing) {
        if (!wantsMore && SteadyMs() - aConnection.mProgressMs > kCrossingMs) {
          return;
        }
      } else if (aConnection.Unanswered() == 0 && !wantsMore) {
        return;
      }
      if (SteadyMs() - aConnection.mProgressMs > kGiveUpMs) {
        return;
      }
      aConnection.Read(aRandom);
    }
  }

  void SendNext(caller_connection& aConnection, std::mt19937_64& aRandom)
  {
    request_outcome outcome;
    outcome.mId = fmt::format("{}-{}", aConnection.mName, aConnection.mSent.size());
    outcome.mGateway = aConnection.mGateway;
    outcome.mIsSlow = aConnection.mManner.mIsSlow;
    const gateway_call call = DrawCall(outcome, aRandom);
    aConnection.mHasSentAfterClose = aConnection.mIsClosing;
    outcome.mSentMs = SteadyMs();
    outcome.mIsSent = aConnection.mCaller.Send(EncodeRequest(call, DrawLengthHint(call, aRandom)));
    aConnection.mProgressMs = outcome.mSentMs;
    aConnection.mNextMs = outcome.mSentMs + DrawGap(aConnection, aRandom);
    aConnection.mSent.push_back(std::move(outcome));
  }

  /// Time from a request to the next; a pipelining caller may send that one at any time of a stream.
  static std::int64_t DrawGap(const caller_connection& aConnection, std::mt19937_64& aRandom)
  {
    // Callers that are refused at once do not crowd out the others, nor their lines in the log.
    const bool isRefused = !aConnection.mResponses.empty() && aConnection.mResponses.back().mStatus != 200;
    return (isRefused ? 50 : 8) + static_cast<std::int64_t>(aRandom() % (aConnection.mManner.mMaxGapMs + 1));
  }

  /// An estimate of a stream's output tokens, which is often far off.
  static unsigned DrawLengthHint(const gateway_call& aCall, std::mt19937_64& aRandom)
  {
    static const std::vector<double> kFactors{ 0.2, 0.6, 1, 1, 1, 1.5, 4 };
    return static_cast<unsigned>(aCall.mOutputTokens * kFactors[aRandom() % kFactors.size()]);
  }

  gateway_call DrawCall(request_outcome& aOutcome, std::mt19937_64& aRandom) const
  {
    static const std::vector<unsigned> kDeadlinesMs{ 600, 2000, 4000, 6000, 6000 };
    const auto graceMs = static_cast<unsigned>(mGraceS * 1000);
    const std::vector<unsigned> lengthsMs{ 100, 100, 100, 400, 1000, graceMs / 2, graceMs, graceMs + 1000 };
    gateway_call call;
    call.mId = aOutcome.mId;
    call.mKey = KeyName(aRandom() % 50 == 0 ? 2 : mKey.load());
    call.mDeadlineMs = aOutcome.mDeadlineMs = kDeadlinesMs[aRandom() % kDeadlinesMs.size()];
    const unsigned kind = aRandom() % 10;
    aOutcome.mKind = kind < 3 ? "lookup" : kind < 5 ? "booking" : "stream";
    call.mMethod = kind < 3 ? "GET" : "POST";
    call.mTarget = kind < 3 ? "/look/rope" : kind < 5 ? "/book/winch" : "/draft/1";
    if (kind >= 5) {
      aOutcome.mEvents = lengthsMs[aRandom() % lengthsMs.size()] / kEventMs;
      call.mOutputTokens = aOutcome.mEvents * kTokensPerEvent;
    } else if (kind >= 3) {
      call.mBody = "body of " + aOutcome.mId;
    }
    return call;
  }

  void CheckExits()
  {
    std::size_t exits = 0;
    for (const auto& life : mLives) {
      if (life->mTerminatedMs == 0) {
        continue;
      }
      ++exits;
      const std::int64_t afterMs = life->mExitedMs - life->mTerminatedMs;
      INFO(life->mName << " got SIGTERM at " << life->mTerminatedMs << " and ended " << afterMs << " ms later");
      CHECK((life->mIsFrozen || !life->mIsKilled));
      CHECK((life->mIsKilled || life->mStatus == 0));
    }
    std::cout << "soak: " << exits << " gateways terminated, grace period of " << mGraceS << " s\n";
    CHECK(exits > 0);
  }

  void CheckOutcomes(termination_judge& aJudge)
  {
    std::map<std::string, std::size_t> byKind;
    std::map<std::string, std::size_t> faults;
    for (const request_outcome& each : mOutcomes) {
      ++byKind[fmt::format("{} {}{}", each.mKind, each.mStatus, each.mIsComplete ? "" : " incomplete")];
      const std::string fault = aJudge.FaultOf(each);
      if (!fault.empty() && ++faults[fault] <= kMaxFaultsShown) {
        FAIL_CHECK(fault << "\n" << aJudge.Evidence(each));
      }
    }
    Print("soak: ", byKind);
    Print("soak: no complete response: ", aJudge.Excuses());
    Print("soak: FAULT: ", faults);
    CHECK(faults.empty());
    CHECK(byKind["stream 200"] > 0);
    CHECK(byKind["booking 200"] > 0);
    CHECK(byKind["lookup 200"] > 0);
  }

  /// Copies the gateways' logs to a folder that is named in the environment.
  void KeepLogs() const
  {
    if (const char* folder = std::getenv("CHERVILPULLEY_SOAK_LOGS"); folder != nullptr) {
      std::filesystem::copy(mFolder.File(""), folder, std::filesystem::copy_options::recursive);
    }
  }

  static void Print(const std::string& aHead, const std::map<std::string, std::size_t>& aCounts)
  {
    for (const auto& [what, count] : aCounts) {
      std::cout << aHead << what << ": " << count << "\n";
    }
  }

  std::mt19937_64 mRandom;
  std::mutex mMutex;
  std::vector<std::shared_ptr<gateway_life>> mLives; ///< one for each process of mGateways
  std::vector<std::size_t> mLive;                    ///< indexes of the gateways in use
  std::vector<request_outcome> mOutcomes;
  std::vector<std::thread> mTerminations;
  std::map<std::string, std::string> mStates; ///< of the backend servers
  std::uint64_t mVersion = 1;
  std::atomic<unsigned> mKey = 1;
  bool mIsStoreDown = false;
  std::atomic<bool> mIsOver = false;
};

} // namespace

TEST_CASE_METHOD(termination_soak, "gateways_terminated_in_overlapping_series_lose_no_request")
{
  Run();
  Check();
}
