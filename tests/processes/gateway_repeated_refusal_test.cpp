#include "processes/gateway_fixture.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr unsigned kCallers = 8;
constexpr unsigned kRequestsEach = 60;
constexpr unsigned kEvents = 3;

struct sent_request
{
  gateway_call mCall;
  gateway_response mResponse;

  bool IsOfRoute(std::string_view aPrefix) const { return mCall.mTarget.starts_with(aPrefix); }
};

/// A gateway in front of servers of which all refuse some requests, and write these refusals once more.
struct repeated_refusal_fixture : gateway_fixture
{
  std::mutex mMutex;
  std::vector<sent_request> mSent;
  std::map<std::string, std::size_t> mRuns; ///< by attempt ID

  repeated_refusal_fixture()
    : gateway_fixture({ "--once_route" })
  {
    StartGateway();
  }

  static gateway_call Call(unsigned aCaller, unsigned aNumber)
  {
    static constexpr std::array kPaths{ "/look/rope", "/book/winch", "/look/rope", "/once/1", "/draft/1" };
    gateway_call call;
    call.mTarget = kPaths[aNumber % kPaths.size()];
    call.mId = fmt::format("r{}-{}", aCaller, aNumber);
    call.mMethod = call.mTarget.starts_with("/look/") ? "GET" : "POST";
    const bool isStream = call.mTarget.starts_with("/once/") || call.mTarget.starts_with("/draft/");
    call.mOutputTokens = isStream ? kEvents * 2 : 0;
    return call;
  }

  void RunCaller(unsigned aCaller)
  {
    for (unsigned number = 0; number < kRequestsEach; ++number) {
      sent_request result{ Call(aCaller, number), {} };
      result.mResponse = Send(result.mCall);
      const std::lock_guard lock(mMutex);
      mSent.push_back(std::move(result));
    }
  }

  void RunCallers()
  {
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([this, caller] { RunCaller(caller); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (const auto& record : Records("run")) {
      ++mRuns[std::string(record.at("id").as_string())];
    }
  }

  /// Share of the requests of a route that were served.
  double ServedShare(std::string_view aPrefix) const
  {
    std::size_t requests = 0;
    std::size_t served = 0;
    for (const sent_request& each : mSent) {
      requests += each.IsOfRoute(aPrefix) ? 1 : 0;
      served += each.IsOfRoute(aPrefix) && each.mResponse.mStatus == 200 ? 1 : 0;
    }
    return static_cast<double>(served) / static_cast<double>(requests);
  }

  /// Puts all servers into a state, sends requests of all kinds and compares the responses with the servers' records.
  void Check(const std::string& aState)
  {
    for (const auto& server : Servers()) {
      SetServer(std::string(server.as_object().at("name").as_string()), aState);
    }
    RunCallers();
    for (const sent_request& each : mSent) {
      INFO(each.mCall.mTarget << " " << each.mCall.mId << " answered " << each.mResponse.mStatus);
      CheckRuns(each, mRuns[each.mCall.mId]);
      if (each.mResponse.mStatus == 200) {
        CHECK(each.mResponse.mIsComplete);
        const bool isStream = each.mCall.mOutputTokens > 0;
        CHECK(each.mResponse.mBody == (isStream ? EventsUpTo(kEvents) : "answer to " + each.mCall.mId));
      }
    }
    CHECK(Records("turned_away").size() > 30);
    CHECK(Records("repeated").size() > 30);
    for (const char* route : { "/look/", "/book/", "/once/", "/draft/" }) {
      INFO(route);
      CHECK(ServedShare(route) > 0.25);
    }
  }

  static void CheckRuns(const sent_request& aSent, std::size_t aRuns)
  {
    const unsigned status = aSent.mResponse.mStatus;
    if (status == 503 || status == 429 || status == 421 || status == 408) {
      CHECK(aRuns == 0);
    }
    if (aSent.IsOfRoute("/book/") || aSent.IsOfRoute("/once/")) {
      CHECK(aRuns <= 1);
    }
  }
};

} // namespace

TEST_CASE_METHOD(repeated_refusal_fixture,
                 "gateway_whose_servers_write_a_refusal_once_more_without_an_id_refuses_no_request_that_runs")
{
  Check("repeating_unnamed");
}

TEST_CASE_METHOD(
  repeated_refusal_fixture,
  "gateway_whose_servers_write_a_refusal_once_more_when_they_get_the_same_request_again_refuses_none_that_runs")
{
  Check("repeating");
}
