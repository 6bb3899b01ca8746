#include "policy/stream_pace.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct stream_pace_fixture
{
  stream_pace mPace;

  void ObserveGaps(duration aGap)
  {
    for (int gap = 0; gap < 200; ++gap) {
      mPace.GapObserved(aGap);
    }
  }
};

} // namespace

TEST_CASE_METHOD(stream_pace_fixture, "stream_pace_without_measurements_predicts_nothing")
{
  CHECK_FALSE(mPace.IsMeasured());
  CHECK(mPace.OutputTime(100) == 0ms);
}

TEST_CASE_METHOD(stream_pace_fixture, "stream_pace_with_two_tokens_an_event_predicts_half_of_the_gaps")
{
  ObserveGaps(100ms);
  CHECK(mPace.OutputTime(80) == 8s);
  mPace.Ended(40, 80);
  CHECK(mPace.OutputTime(80) == 4s);
  CHECK(mPace.LongestOutputTime(80) == 8s);
  ObserveGaps(20ms);
  CHECK(mPace.OutputTime(80) < 900ms);
}
