#include <catch2/catch.hpp>

#include <algorithm>
#include <future>

#include <boost/json.hpp>

#include "processes/gateway_fixture.h"

/// Streams that break off while all other engines answer with errors or with responses that only look like streams.
using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr unsigned kEvents = 50;
const std::vector<std::string> kStates{
  "refusing", "failing", "failing-with-events", "unstamped", "mistyped", "encoded"
};

struct broken_stream_fixture : gateway_fixture
{
  std::string mFirst; ///< the engine that began the stream

  broken_stream_fixture() { StartGateway(); }

  /// Sends a stream; after its fifth event its first engine breaks it off, and all others respond by aState.
  gateway_response SendBroken(const std::string& aId, const std::string& aState, unsigned aDeadlineMs)
  {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/draft/1";
    call.mId = aId;
    call.mBody = "a prompt";
    call.mOutputTokens = kEvents * 2;
    call.mDeadlineMs = aDeadlineMs;
    bool isDone = false;
    call.mOnBytes = [&](const std::string& aBody) {
      if (!isDone && aBody.find("id: 5\n") != std::string::npos) {
        isDone = true;
        BreakOff(aId, aState);
      }
    };
    return Send(call);
  }

  void BreakOff(const std::string& aId, const std::string& aState)
  {
    mFirst = std::string(Records("run", aId).back().at("server").as_string());
    SetEngines(aState);
    SetServer(mFirst, "cutting");
  }

  /// Sets the state of all engines but the one that began the stream.
  void SetEngines(const std::string& aState) const
  {
    for (const auto& server : Servers()) {
      const std::string name(server.as_object().at("name").as_string());
      if (name != mFirst && name.starts_with("engine-")) {
        SetServer(name, aState);
      }
    }
  }

  void SetAllToOk()
  {
    mFirst.clear();
    SetEngines("ok");
  }

  /// Whether the gateway has logged an event of a request so many times.
  bool HasLogged(const std::string& aEvent, const std::string& aId, int aTimes) const
  {
    const std::string log = mGateways[0]->Output();
    const std::string line = "\"event\":\"" + aEvent + "\",\"request\":\"" + aId + "\"";
    int times = 0;
    for (std::size_t at = log.find(line); at != std::string::npos; at = log.find(line, at + 1)) {
      ++times;
    }
    return times >= aTimes;
  }

  bool MetAnotherEngine(const std::string& aId) const
  {
    return HasLogged("stream_failed", aId, 2) || HasLogged("engine_refused", aId, 1);
  }
};

} // namespace

TEST_CASE_METHOD(broken_stream_fixture, "gateway_stream_that_breaks_off_while_other_engines_fail_breaks_off_visibly")
{
  for (const std::string& state : kStates) {
    const auto response = SendBroken("broken-" + state, state, 1500);
    INFO(state << "\n" << response.mBody << mGateways[0]->Output());
    CHECK(MetAnotherEngine("broken-" + state));
    CHECK_FALSE(response.mIsComplete);
    const auto events = static_cast<unsigned>(std::count(response.mBody.begin(), response.mBody.end(), '\n') / 3);
    CHECK(events >= 5);
    CHECK(events < kEvents);
    CHECK(response.mBody == EventsUpTo(events));
    SetAllToOk();
  }
}

TEST_CASE_METHOD(broken_stream_fixture,
                 "gateway_stream_that_breaks_off_while_other_engines_fail_is_resumed_when_they_work")
{
  for (const std::string& state : kStates) {
    const std::string id = "resumed-" + state;
    auto sent = std::async(std::launch::async, [&] { return SendBroken(id, state, 8000); });
    CHECK(WaitUntil([&] { return MetAnotherEngine(id); }));
    // The engine that began the stream restarts, so that its run no longer counts as an attempt.
    const std::string first = mFirst;
    SetEngines("ok");
    SetServer(first, "reborn");
    const auto response = sent.get();
    INFO(state << "\n" << response.mBody << mGateways[0]->Output());
    CHECK(response.mIsComplete);
    CHECK(response.mBody == EventsUpTo(kEvents));
    CHECK(response.mHeaders.Get("X-Response-Stamp") == first);
  }
}
