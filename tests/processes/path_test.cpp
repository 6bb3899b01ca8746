#include <catch2/catch.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <set>

#include "processes/cluster.h"
#include "standin/demo_model.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 12;

struct demo_fixture
{
  cluster mCluster{ { TwoChains(), { "domain-a", "domain-b" }, { "domain-a", "domain-b" } } };
};

} // namespace

TEST_CASE_METHOD(demo_fixture, "whole_path_each_kind_of_completion_gives_the_complete_output")
{
  const std::string prompt = "Quote for a winch at Bala";
  for (const bool isChat : { false, true }) {
    for (const bool isStream : { false, true }) {
      INFO("chat " << isChat << ", stream " << isStream);
      const response got = mCluster.CallerAt(0).Complete({ prompt, kTokens, isStream, isChat });
      CHECK(got.mStatus == 200);
      // The entry builds a chat's prompt from its messages, so the test knows only the output's length and end.
      if (isChat) {
        CHECK(got.mStream.mDone);
        CHECK(got.mStream.mFinishReason == "length");
      } else {
        CHECK(Text(mCluster.CheckCompletion(got, prompt, kTokens)) == "");
      }
    }
  }
}

TEST_CASE_METHOD(demo_fixture, "whole_path_booking_repeated_at_another_entry_runs_once")
{
  const response first = mCluster.CallerAt(0).Book("slot 3, team 2", "key-1");
  const response second = mCluster.CallerAt(1).Book("slot 3, team 2", "key-1");
  CHECK(first.mStatus == 201);
  CHECK(second.mStatus == 201);
  CHECK(first.mBody == second.mBody);
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), { { "slot 3, team 2", booking_outcome::Booked } })) == "");
}

TEST_CASE_METHOD(demo_fixture, "whole_path_stock_and_refusals_are_answered")
{
  const response stock = mCluster.CallerAt(0).Stock();
  CHECK(stock.mStatus == 200);
  CHECK(boost::json::parse(stock.mBody).as_object().contains("stock"));
  CHECK(mCluster.CallerAt(0).Book("winch 3", "").mStatus == 400);
  CHECK(mCluster.CallerAt(0).Book("winch 3", "key-2").mStatus == 201);
  const response other = mCluster.CallerAt(1).Book("another winch", "key-2");
  CHECK(other.mStatus == 422);
  CHECK(other.mOutcome == "not_run");
  const caller stranger(mCluster.Entry(0).Address("http"), "demo.wrong");
  CHECK(stranger.Stock().mStatus == 401);
}
