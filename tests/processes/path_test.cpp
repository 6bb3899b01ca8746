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

TEST_CASE_METHOD(demo_fixture, "whole_path_each_kind_of_completion_gives_the_whole_answer")
{
  const std::string prompt = "Quote for a winch at Bala";
  for (const bool isChat : { false, true }) {
    for (const bool isStream : { false, true }) {
      INFO("chat " << isChat << ", stream " << isStream);
      const answer got = mCluster.CallerAt(0).Complete({ prompt, kTokens, isStream, isChat });
      CHECK(got.mStatus == 200);
      // A chat's prompt is made of its messages by the entry, so only its length and end are known here.
      if (isChat) {
        CHECK(got.mStream.mDone);
        CHECK(got.mStream.mFinishReason == "length");
      } else {
        CHECK(Text(mCluster.Judge(got, prompt, kTokens)) == "");
      }
    }
  }
}

TEST_CASE_METHOD(demo_fixture, "whole_path_booking_repeated_at_another_entry_runs_once")
{
  const answer first = mCluster.CallerAt(0).Book("slot 3, team 2", "key-1");
  const answer second = mCluster.CallerAt(1).Book("slot 3, team 2", "key-1");
  CHECK(first.mStatus == 201);
  CHECK(second.mStatus == 201);
  CHECK(first.mBody == second.mBody);
  CHECK(Text(JudgeBookings(mCluster.ServiceRunsSoFar(), { { "slot 3, team 2", told::Booked } })) == "");
}

TEST_CASE_METHOD(demo_fixture, "whole_path_stock_and_refusals_are_answered")
{
  const answer stock = mCluster.CallerAt(0).Stock();
  CHECK(stock.mStatus == 200);
  CHECK(boost::json::parse(stock.mBody).as_object().contains("stock"));
  CHECK(mCluster.CallerAt(0).Book("winch 3", "").mStatus == 400);
  CHECK(mCluster.CallerAt(0).Book("winch 3", "key-2").mStatus == 201);
  const answer other = mCluster.CallerAt(1).Book("another winch", "key-2");
  CHECK(other.mStatus == 422);
  CHECK(other.mOutcome == "not_run");
  const caller stranger(mCluster.Entry(0).Address("http"), "demo.wrong");
  CHECK(stranger.Stock().mStatus == 401);
}
