#include "policy/admission_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <unordered_map>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct admission_queue_fixture
{
  admission_queue mQueue{ 64 };
  instant mNow{ 1000s };

  static admission_request Request(const std::string& aWorkspace, std::uint64_t aTokens = 99)
  {
    admission_request request;
    request.mWorkspace = workspace_id(aWorkspace);
    request.mOutputTokens = token_count(aTokens);
    return request;
  }
  admission_ticket Offer(const admission_request& aRequest)
  {
    auto offered = mQueue.Offer(aRequest, mNow);
    REQUIRE(offered.has_value());
    return offered.value();
  }
  /// Drains aCount requests of cost 100, one every 100 ms.
  void Drain(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mNow += 100ms;
      mQueue.Next(mNow);
    }
  }
};

} // namespace

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_of_one_workspace_serves_by_priority_then_arrival")
{
  const admission_ticket low = Offer(Request("w"));
  const admission_ticket second = Offer(Request("w"));
  admission_request urgent = Request("w");
  urgent.mPriority = 99;
  const admission_ticket high = Offer(urgent);
  for (admission_ticket expected : { high, low, second }) {
    REQUIRE(mQueue.Next(mNow)->mTicket == expected);
  }
  REQUIRE_FALSE(mQueue.Next(mNow));
}

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_under_flood_keeps_capacity_for_others")
{
  int admitted = 0;
  for (int i = 0; i < 500; ++i) {
    admitted += mQueue.Offer(Request("flood"), mNow).has_value() ? 1 : 0;
  }
  REQUIRE(admitted == 32);
  Offer(Request("steady"));
}

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_shares_cost_by_weight")
{
  admission_queue queue(10000);
  std::unordered_map<admission_ticket, double> heavy;
  admission_request request = Request("heavy", 299);
  request.mWeight = 3.0;
  for (int i = 0; i < 900; ++i) {
    heavy[queue.Offer(request, mNow).value()] = 300.0;
    queue.Offer(Request("light", 99), mNow).value();
  }
  double heavyCost = 0.0;
  double lightCost = 0.0;
  for (int i = 0; i < 600; ++i) {
    const admission_ticket ticket = queue.Next(mNow)->mTicket;
    (heavy.contains(ticket) ? heavyCost : lightCost) += heavy.contains(ticket) ? 300.0 : 100.0;
  }
  REQUIRE(heavyCost / lightCost == Approx(3.0).epsilon(0.05));
}

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_refuses_request_that_would_miss_its_deadline")
{
  for (int i = 0; i < 20; ++i) {
    Offer(Request("w"));
  }
  Drain(5);
  admission_request request = Request("w");
  request.mFirstTokenDeadline = mNow + 1s;
  auto refused = mQueue.Offer(request, mNow);
  REQUIRE(refused.has_error());
  REQUIRE(refused.error().mReason == admission_refusal::DeadlineMissed);
  REQUIRE(*refused.error().mRetryAfter == 800ms);
  Drain(7);
  request.mFirstTokenDeadline = mNow + 1s;
  REQUIRE(mQueue.Offer(request, mNow).has_error());
  Drain(1);
  request.mFirstTokenDeadline = mNow + 1s;
  REQUIRE(mQueue.Offer(request, mNow).has_value());
}

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_predicts_short_wait_for_workspace_without_backlog")
{
  for (int i = 0; i < 30; ++i) {
    Offer(Request("flood"));
  }
  Drain(5);
  const auto wait = [&](const char* aWorkspace) {
    return mQueue.PredictedWait(Request(aWorkspace)) * kForecastRateFraction;
  };
  REQUIRE(wait("flood") / 1ms == Approx(2500).epsilon(0.001));
  REQUIRE(wait("steady") / 1ms <= 100.001);
}

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_refuses_impossible_deadline_without_retry_time")
{
  admission_request request = Request("w");
  request.mFirstTokenAfterStart = 2s;
  request.mFirstTokenDeadline = mNow + 1s;
  auto refused = mQueue.Offer(request, mNow);
  REQUIRE(refused.error().mReason == admission_refusal::DeadlineUnreachable);
  REQUIRE_FALSE(refused.error().mRetryAfter);
}

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_returns_expired_request_as_expired")
{
  admission_request request = Request("w");
  request.mFirstTokenDeadline = mNow + 1s;
  Offer(request);
  REQUIRE(mQueue.Next(mNow + 2s)->mExpired);
}

TEST_CASE_METHOD(admission_queue_fixture, "admission_queue_cancel_removes_only_waiting_requests")
{
  const admission_ticket ticket = Offer(Request("w"));
  REQUIRE(mQueue.Cancel(ticket));
  REQUIRE_FALSE(mQueue.Cancel(ticket));
  REQUIRE(mQueue.Size() == 0);
  REQUIRE(mQueue.Cost() == 0.0);
}

TEST_CASE("admission_queue_under_any_calls_holds_bound_and_order")
{
  REQUIRE(rc::check([] {
    admission_queue queue(*rc::gen::inRange<std::size_t>(1, 40));
    std::unordered_map<admission_ticket, std::string> waiting;
    std::vector<admission_ticket> tickets;
    instant now{ 0s };
    const int calls = *rc::gen::inRange(1, 200);
    for (int i = 0; i < calls; ++i) {
      now += duration(*rc::gen::inRange(0, 100000));
      const int call = *rc::gen::inRange(0, 4);
      if (call < 2) {
        admission_request request =
          admission_queue_fixture::Request("w" + std::to_string(*rc::gen::inRange(0, 5)), *rc::gen::inRange(0, 3000));
        request.mPriority = *rc::gen::inRange(0U, 6U);
        request.mWeight = *rc::gen::inRange(0, 5);
        if (auto offered = queue.Offer(request, now)) {
          RC_ASSERT(waiting.emplace(offered.value(), request.mWorkspace.Str()).second);
          tickets.push_back(offered.value());
        }
      } else if (call == 2) {
        auto next = queue.Next(now);
        RC_ASSERT(next.has_value() == !waiting.empty());
        RC_ASSERT((!next || waiting.erase(next->mTicket) == 1));
      } else if (!tickets.empty()) {
        const admission_ticket ticket = tickets[*rc::gen::inRange<std::size_t>(0, tickets.size())];
        RC_ASSERT(queue.Cancel(ticket) == (waiting.erase(ticket) == 1));
      }
      RC_ASSERT(queue.Size() == waiting.size());
      RC_ASSERT(queue.Size() <= queue.Capacity());
    }
  }));
}

TEST_CASE("admission_queue_serves_a_steady_workspace_within_its_share_of_grants")
{
  REQUIRE(rc::check([] {
    admission_queue queue(1000);
    const instant now{ 0s };
    const int floods = *rc::gen::inRange(1, 6);
    for (int i = 0; i < floods * 60; ++i) {
      (void)queue.Offer(admission_queue_fixture::Request("f" + std::to_string(i % floods), *rc::gen::inRange(0, 500)),
                        now);
    }
    const std::uint64_t tokens = *rc::gen::inRange(0, 500);
    const admission_ticket steady = queue.Offer(admission_queue_fixture::Request("steady", tokens), now).value();
    double cost = 0.0;
    const double before = queue.Cost();
    while (queue.Next(now)->mTicket != steady) {
    }
    cost = before - queue.Cost();
    // Two rounds, plus the request of each flooding workspace that is being served.
    RC_ASSERT(cost <= 3.0 * kRoundQuantum * (floods + 1));
  }));
}
