#include "policy/crash_suspects.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct crash_suspects_fixture
{
  crash_suspects mSuspects{ 100 };
  instant mNow{ 1000s };
  request_digest mFaulty{ 1 };
  request_digest mInnocent{ 2 };

  start_verdict Check(request_digest aDigest) { return mSuspects.Check(aDigest, false, mNow); }
  void CrashWith(std::initializer_list<request_digest> aRunning)
  {
    for (request_digest digest : aRunning) {
      mSuspects.Started(digest, mNow);
    }
    mSuspects.BackendCrashed(mNow);
  }
};

} // namespace

TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_after_two_crashes_alone_refuses")
{
  CrashWith({ mFaulty });
  REQUIRE(Check(mFaulty) == start_verdict::Start);
  CrashWith({ mFaulty });
  REQUIRE(Check(mFaulty) == start_verdict::Refused);
}

TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_run_one_at_a_time")
{
  CrashWith({ mFaulty, mInnocent });
  mSuspects.Started(mFaulty, mNow);
  REQUIRE(Check(mInnocent) == start_verdict::Deferred);
  REQUIRE(Check(request_digest(3)) == start_verdict::Start);
  mSuspects.Finished(mFaulty, false);
  REQUIRE(Check(mInnocent) == start_verdict::Start);
}

TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_after_two_crashes_in_a_shared_batch_are_isolated_not_refused")
{
  CrashWith({ mInnocent, request_digest(7) });
  CrashWith({ mInnocent, request_digest(8) });
  REQUIRE(mSuspects.Level(mInnocent, mNow) == suspicion::Isolated);
  mSuspects.Started(request_digest(9), mNow);
  REQUIRE(Check(mInnocent) == start_verdict::Deferred);
  REQUIRE(Check(request_digest(10)) == start_verdict::Deferred);
  mSuspects.Finished(request_digest(9), true);
  REQUIRE(Check(mInnocent) == start_verdict::Start);
  mSuspects.Started(mInnocent, mNow);
  REQUIRE(Check(request_digest(10)) == start_verdict::Deferred);
  mSuspects.Finished(mInnocent, true);
  REQUIRE(mSuspects.Level(mInnocent, mNow) == suspicion::None);
  REQUIRE(Check(request_digest(10)) == start_verdict::Start);
}

TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_clear_completed_requests_but_not_refused_ones")
{
  mSuspects.Merge({ mInnocent, suspicion::Isolated, 5s }, mNow);
  mSuspects.Merge({ mFaulty, suspicion::Refused, 5s }, mNow);
  mSuspects.Cleared(mInnocent);
  mSuspects.Cleared(mFaulty);
  REQUIRE(mSuspects.Level(mInnocent, mNow) == suspicion::None);
  REQUIRE(mSuspects.Level(mFaulty, mNow) == suspicion::Refused);
}

TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_unused_reservation_expires")
{
  CrashWith({ mInnocent, request_digest(7) });
  CrashWith({ mInnocent, request_digest(8) });
  mSuspects.Started(request_digest(9), mNow);
  Check(mInnocent);
  mNow += kIsolationReserveTime;
  REQUIRE(Check(request_digest(10)) == start_verdict::Start);
}

TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_merge_reports_of_others_until_they_expire")
{
  mSuspects.Merge({ mFaulty, suspicion::Refused, 5s }, mNow);
  mSuspects.Merge({ mFaulty, suspicion::Suspect, 2s }, mNow);
  REQUIRE(Check(mFaulty) == start_verdict::Refused);
  REQUIRE(mSuspects.Reports(mNow).size() == 1);
  mNow += 5s;
  REQUIRE(Check(mFaulty) == start_verdict::Start);
  REQUIRE(mSuspects.Size() == 0);
}

TEST_CASE_METHOD(crash_suspects_fixture, "crash_suspects_beyond_capacity_evict_the_lowest_level_first")
{
  mSuspects.Merge({ mFaulty, suspicion::Refused, 5s }, mNow);
  for (std::uint64_t i = 10; i < 500; ++i) {
    mSuspects.Merge({ request_digest(i), suspicion::Suspect, 60s }, mNow);
  }
  REQUIRE(mSuspects.Size() == 100);
  REQUIRE(Check(mFaulty) == start_verdict::Refused);
}

TEST_CASE("crash_suspects_with_any_faulty_requests_never_refuse_an_innocent_one")
{
  REQUIRE(rc::check([] {
    crash_suspects suspects;
    instant now{ 0s };
    const int requests = *rc::gen::inRange(2, 12);
    const int faulty = *rc::gen::inRange(1, requests);
    std::set<int> running;
    for (int i = 0; i < 120; ++i) {
      now += 1s;
      const int request = *rc::gen::inRange(0, requests);
      const request_digest digest(static_cast<std::uint64_t>(request) + 1);
      if (running.contains(request)) {
        suspects.Finished(digest, *rc::gen::arbitrary<bool>());
        running.erase(request);
      } else if (suspects.Check(digest, *rc::gen::arbitrary<bool>(), now) == start_verdict::Start) {
        suspects.Started(digest, now);
        running.insert(request);
      }
      const bool faultyRuns = !running.empty() && *running.begin() < faulty;
      if (faultyRuns && *rc::gen::arbitrary<bool>()) {
        suspects.BackendCrashed(now);
        running.clear();
      }
      for (int innocent = faulty; innocent < requests; ++innocent) {
        RC_ASSERT(suspects.Level(request_digest(static_cast<std::uint64_t>(innocent) + 1), now) != suspicion::Refused);
      }
    }
  }));
}
