#include <catch2/catch.hpp>

#include <future>
#include <set>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

/// Two plain services behind sidecars and two entries, over two failure domains.
struct bookings_fixture
{
  cluster mCluster{ { {}, { "domain-a", "domain-b" }, { "domain-a", "domain-b" } } };

  /// Whether any service has run a booking.
  bool HasRun(const std::string& aBody) const
  {
    return !CheckBookings(mCluster.AllServiceRuns(), { { aBody, booking_outcome::NotRun } }).empty();
  }

  /// The plain service that has run a booking.
  backend& Running(const std::string& aBody)
  {
    for (std::size_t i : { std::size_t(0), std::size_t(1) }) {
      if (!CheckBookings(ServiceRuns(RecordsOf(*mCluster.Service(i).mServer)), { { aBody, booking_outcome::NotRun } })
             .empty()) {
        return mCluster.Service(i);
      }
    }
    throw std::runtime_error("no service runs " + aBody);
  }
};

} // namespace

TEST_CASE_METHOD(bookings_fixture, "booking_sent_to_two_entries_at_once_runs_once")
{
  std::vector<booking> bookings;
  for (int round = 0; round < 20; ++round) {
    const std::string body = "dressing slot " + std::to_string(round);
    const std::string key = "race-" + std::to_string(round);
    std::vector<std::future<response>> calls;
    for (const std::size_t entry : { std::size_t(0), std::size_t(1), std::size_t(0), std::size_t(1) }) {
      calls.push_back(std::async(std::launch::async, [&, entry] { return mCluster.CallerAt(entry).Book(body, key); }));
    }
    std::set<std::string> confirmations;
    for (std::future<response>& call : calls) {
      const response got = call.get();
      bookings.push_back({ body, OutcomeOf(got) });
      if (OutcomeOf(got) == booking_outcome::Booked) {
        confirmations.insert(got.mBody);
      }
    }
    CHECK(confirmations.size() == 1);
  }
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), bookings)) == "");
}

TEST_CASE_METHOD(bookings_fixture, "booking_whose_sidecar_is_killed_during_the_run_never_runs_again")
{
  for (const std::size_t service : { std::size_t(0), std::size_t(1) }) {
    Control(*mCluster.Service(service).mServer, { { "slow_ms", 400 } });
  }
  const std::string body = "winch 5 on the feast day";
  std::future<response> first =
    std::async(std::launch::async, [&] { return mCluster.CallerAt(0).Book(body, "killed"); });
  REQUIRE(WaitUntil([&] { return HasRun(body); }));
  Running(body).mSidecar->Kill();
  const response lost = first.get();
  CHECK(OutcomeOf(lost) == booking_outcome::Unknown);
  const response repeated = mCluster.CallerAt(1).Book(body, "killed");
  CHECK(OutcomeOf(repeated) == booking_outcome::Unknown);
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), { { body, OutcomeOf(lost) }, { body, OutcomeOf(repeated) } })) ==
        "");
}

TEST_CASE_METHOD(bookings_fixture, "booking_whose_service_crashes_is_unknown_and_never_runs_again")
{
  for (const std::size_t service : { std::size_t(0), std::size_t(1) }) {
    Control(*mCluster.Service(service).mServer, { { "slow_ms", 400 } });
  }
  const std::string body = "slot 4 at gate 2";
  std::future<response> first =
    std::async(std::launch::async, [&] { return mCluster.CallerAt(0).Book(body, "crashed"); });
  REQUIRE(WaitUntil([&] { return HasRun(body); }));
  Running(body).mServer->Kill();
  const response lost = first.get();
  CHECK(OutcomeOf(lost) == booking_outcome::Unknown);
  const response repeated = mCluster.CallerAt(1).Book(body, "crashed");
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), { { body, OutcomeOf(lost) }, { body, OutcomeOf(repeated) } })) ==
        "");
}

TEST_CASE_METHOD(bookings_fixture,
                 "booking_whose_claim_response_is_lost_runs_at_most_once_and_reports_the_true_outcome")
{
  std::vector<booking> bookings;
  for (int round = 0; round < 6; ++round) {
    const std::string body = "winch with lost answers " + std::to_string(round);
    const std::string key = "lost-" + std::to_string(round);
    Control(mCluster.Platform(), { { "lose_answers", 1 + round % 3 } });
    for (const std::size_t entry : { std::size_t(0), std::size_t(1) }) {
      bookings.push_back({ body, OutcomeOf(mCluster.CallerAt(entry).Book(body, key)) });
      CHECK_FALSE((bookings.back().mReportedOutcome == booking_outcome::NotRun && HasRun(body)));
    }
  }
  Control(mCluster.Platform(), { { "lose_answers", 0 } });
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), bookings)) == "");
}

TEST_CASE_METHOD(bookings_fixture, "booking_whose_sidecar_is_frozen_and_woken_runs_at_most_once")
{
  const std::string body = "winch held by a frozen process";
  for (const std::size_t service : { std::size_t(0), std::size_t(1) }) {
    Control(*mCluster.Service(service).mServer, { { "slow_ms", 400 } });
  }
  std::future<response> first =
    std::async(std::launch::async, [&] { return mCluster.CallerAt(0).Book(body, "frozen"); });
  REQUIRE(WaitUntil([&] { return HasRun(body); }));
  process& frozen = *Running(body).mSidecar;
  frozen.Freeze();
  const response lost = first.get();
  const response repeated = mCluster.CallerAt(1).Book(body, "frozen");
  frozen.Wake();
  CHECK(OutcomeOf(lost) != booking_outcome::NotRun);
  CHECK(OutcomeOf(repeated) != booking_outcome::NotRun);
  response after;
  CHECK(WaitUntil([&] {
    after = mCluster.CallerAt(1).Book(body, "frozen");
    return OutcomeOf(after) == booking_outcome::Booked;
  }));
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), { { body, booking_outcome::Booked } })) == "");
}

TEST_CASE_METHOD(bookings_fixture, "booking_during_an_outage_is_refused_at_once_and_stock_calls_continue")
{
  Control(mCluster.Platform(), { { "outage", true } });
  const response refused = mCluster.CallerAt(0).Book("winch during the outage", "outage");
  CHECK(refused.mStatus == 503);
  CHECK(OutcomeOf(refused) == booking_outcome::NotRun);
  CHECK_FALSE(refused.mHeaders.Get("Retry-After").empty());
  CHECK(mCluster.CallerAt(1).Stock().mStatus == 200);
  Control(mCluster.Platform(), { { "outage", false } });
  response later;
  CHECK(WaitUntil([&] {
    later = mCluster.CallerAt(1).Book("winch during the outage", "outage");
    return OutcomeOf(later) == booking_outcome::Booked;
  }));
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), { { "winch during the outage", booking_outcome::Booked } })) ==
        "");
}
