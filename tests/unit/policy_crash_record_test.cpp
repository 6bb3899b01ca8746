#include "policy/crash_record.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

struct crash_record_fixture
{
  const request_digest mFaulty{ 7 };
  const request_digest mInnocent{ 8 };
  instant mNow = instant() + std::chrono::hours(1);
  crash_record mRecord;

  static server_start Server(int aNumber) { return { backend_id("server-" + std::to_string(aNumber)), 1 }; }

  /// A run is interrupted, and its server is down a second later.
  std::size_t Crash(request_digest aDigest, int aServer)
  {
    mRecord.RunInterrupted(aDigest, Server(aServer), mNow);
    mNow += std::chrono::seconds(1);
    return mRecord.TimePassed([](const server_start&) { return false; }, mNow).size();
  }
};

} // namespace

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_a_request_that_crashed_three_servers_blocks_it")
{
  for (int server = 0; server < 3; ++server) {
    CHECK(!mRecord.IsBlocked(mFaulty));
    CHECK(Crash(mFaulty, server) == 1);
  }
  CHECK(mRecord.IsBlocked(mFaulty));
  CHECK(!mRecord.IsBlocked(mInnocent));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_interrupted_runs_on_servers_that_are_up_does_not_block")
{
  for (int server = 0; server < 5; ++server) {
    mRecord.RunInterrupted(mInnocent, Server(server), mNow);
  }
  CHECK(mRecord.TimePassed([](const server_start&) { return true; }, mNow + std::chrono::seconds(5)).empty());
  CHECK(mRecord.TimePassed([](const server_start&) { return true; }, mNow + kCrashConfirmationTime * 2).empty());
  CHECK(mRecord.TimePassed([](const server_start&) { return false; }, mNow + kCrashConfirmationTime * 3).empty());
  CHECK(!mRecord.IsBlocked(mInnocent));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_one_crash_seen_by_many_gateways_counts_it_once")
{
  CHECK(Crash(mFaulty, 1) == 1);
  CHECK(!mRecord.Crashed({ mFaulty, Server(1) }, mNow));
  CHECK(!mRecord.Crashed({ mFaulty, Server(1) }, mNow));
  CHECK(!mRecord.IsBlocked(mFaulty));
  CHECK(mRecord.Crashed({ mFaulty, Server(2) }, mNow));
  CHECK(mRecord.Crashed({ mFaulty, Server(3) }, mNow));
  CHECK(mRecord.IsBlocked(mFaulty));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_a_request_that_succeeds_in_between_is_cleared")
{
  Crash(mInnocent, 1);
  Crash(mInnocent, 2);
  CHECK(mRecord.Cleared(mInnocent));
  Crash(mInnocent, 3);
  CHECK(!mRecord.IsBlocked(mInnocent));
  CHECK(!mRecord.Cleared(mFaulty));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_expires_and_keeps_blocked_requests_in_a_flood")
{
  for (int server = 0; server < 3; ++server) {
    Crash(mFaulty, server);
  }
  for (std::uint64_t digest = 100; digest < 100 + kMaxCrashRecords * 2; ++digest) {
    mRecord.Crashed({ request_digest(digest), Server(9) }, mNow);
  }
  CHECK(mRecord.IsBlocked(mFaulty));
  mRecord.TimePassed([](const server_start&) { return true; }, mNow + kCrashRecordLife * 2);
  CHECK(!mRecord.IsBlocked(mFaulty));
}
