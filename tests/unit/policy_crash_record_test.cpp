#include "policy/crash_record.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

/// Traits of the tests: whole requests, and parts of prompts that they share.
struct crash_record_fixture
{
  const run_trait mFaulty{ 7 };
  const run_trait mInnocent{ 8 };
  const run_trait mPopularPart{ 20 };
  const run_trait mFaultyPart{ 21 };
  const run_trait mOtherPart{ 22 };
  instant mNow = instant() + std::chrono::hours(1);
  std::uint64_t mLastRequest = 1000;
  int mLastServer = 100;
  crash_record mRecord;

  static server_start Server(int aNumber) { return { backend_id("server-" + std::to_string(aNumber)), 1 }; }
  static bool IsDown(const server_start&) { return false; }
  static bool IsUp(const server_start&) { return true; }

  interrupted_run Run(const std::vector<run_trait>& aTraits, int aServer) const
  {
    return { aTraits, Server(aServer), mNow, "" };
  }

  /// A run is interrupted, and its server is down a second later. Returns the number of crashes found.
  std::size_t Crash(run_trait aRequest, int aServer)
  {
    mRecord.RunInterrupted(Run({ aRequest }, aServer));
    mNow += std::chrono::seconds(1);
    const auto found = mRecord.Confirm(IsDown, mNow);
    for (const auto& run : found) {
      mRecord.Crashed(run, mNow);
    }
    return found.size();
  }

  /// Another request with these parts crashes another server.
  std::optional<trait_block> CrashWithParts(std::vector<run_trait> aParts)
  {
    mNow += std::chrono::milliseconds(200);
    return CrashAt(std::move(aParts), ++mLastServer);
  }

  std::optional<trait_block> CrashAt(std::vector<run_trait> aParts, int aServer)
  {
    aParts.push_back(run_trait(++mLastRequest));
    return mRecord.Crashed(Run(aParts, aServer), mNow);
  }

  bool IsBlocked(run_trait aTrait) const { return mRecord.FindBlock({ aTrait }, mNow).has_value(); }
};

} // namespace

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_a_request_that_crashed_three_servers_blocks_it")
{
  for (int server = 0; server < 3; ++server) {
    CHECK(!IsBlocked(mFaulty));
    CHECK(Crash(mFaulty, server) == 1);
  }
  CHECK(IsBlocked(mFaulty));
  CHECK(!IsBlocked(mInnocent));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_interrupted_runs_on_servers_that_are_up_does_not_block")
{
  for (int server = 0; server < 5; ++server) {
    mRecord.RunInterrupted(Run({ mInnocent }, server));
  }
  CHECK(mRecord.Confirm(IsUp, mNow + std::chrono::seconds(5)).empty());
  CHECK(mRecord.Confirm(IsUp, mNow + kCrashConfirmationTime * 2).empty());
  CHECK(mRecord.Confirm(IsDown, mNow + kCrashConfirmationTime * 3).empty());
  CHECK(!IsBlocked(mInnocent));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_one_crash_seen_by_many_gateways_counts_it_once")
{
  CHECK(Crash(mFaulty, 1) == 1);
  CHECK(!mRecord.Crashed(Run({ mFaulty }, 1), mNow));
  CHECK(!mRecord.Crashed(Run({ mFaulty }, 1), mNow));
  CHECK(!IsBlocked(mFaulty));
  CHECK(!mRecord.Crashed(Run({ mFaulty }, 2), mNow));
  CHECK(mRecord.Crashed(Run({ mFaulty }, 3), mNow));
  CHECK(IsBlocked(mFaulty));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_a_request_that_succeeds_in_between_is_cleared")
{
  Crash(mInnocent, 1);
  Crash(mInnocent, 2);
  CHECK(mRecord.Cleared({ mInnocent }, mNow) == std::vector<run_trait>{ mInnocent });
  Crash(mInnocent, 3);
  CHECK(!IsBlocked(mInnocent));
  CHECK(mRecord.Cleared({ mFaulty }, mNow).empty());
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_expires_and_keeps_blocked_requests_in_a_flood")
{
  for (int server = 0; server < 3; ++server) {
    Crash(mFaulty, server);
  }
  for (std::uint64_t request = 2000; request < 2000 + kMaxCrashRecords * 2; ++request) {
    mRecord.Crashed(Run({ run_trait(request) }, 9), mNow);
  }
  CHECK(IsBlocked(mFaulty));
  for (int each = 0; each < 2; ++each) {
    mNow += kCrashRecordLife * 2;
    mRecord.TimePassed(mNow);
  }
  CHECK(!IsBlocked(mFaulty));
  CHECK(!mRecord.IsSuspect({ mFaulty }, mNow));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_requests_that_share_a_faulty_part_blocks_the_part_alone")
{
  std::optional<trait_block> block;
  for (int crash = 0; crash < 3; ++crash) {
    CHECK(!block);
    block = CrashWithParts({ mPopularPart, mFaultyPart });
    mRecord.Cleared({ mPopularPart }, mNow);
  }
  REQUIRE(block);
  CHECK(block->mTrait == mFaultyPart);
  CHECK(block->mCrashes == 3);
  CHECK(block->mTimeLeft >= kFirstBlockTime);
  CHECK(mRecord.Admit({ mPopularPart, mFaultyPart, mInnocent }, mNow));
  CHECK(!mRecord.Admit({ mPopularPart, mOtherPart, mInnocent }, mNow));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_without_sound_runs_in_between_blocks_the_most_specific_part_first")
{
  for (int crash = 0; crash < 3; ++crash) {
    CrashWithParts({ mPopularPart, mFaultyPart });
  }
  CHECK(IsBlocked(mFaultyPart));
  CHECK(!IsBlocked(mPopularPart));
  // Runs that were in progress when the part was blocked, and a harmless one beside them.
  for (int crash = 0; crash < 5; ++crash) {
    CrashWithParts({ mPopularPart, mFaultyPart });
    CrashAt({ mPopularPart, mOtherPart }, mLastServer);
  }
  CHECK(!IsBlocked(mPopularPart));
  CHECK(!IsBlocked(mOtherPart));
  CHECK(!mRecord.IsSuspect({ mPopularPart }, mNow));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_with_a_faulty_first_part_and_varying_others_blocks_the_first_part")
{
  for (std::uint64_t crash = 0; crash < 4; ++crash) {
    CrashWithParts({ mFaultyPart, run_trait(50 + crash) });
  }
  CHECK(IsBlocked(mFaultyPart));
  CHECK(!IsBlocked(run_trait(53)));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_with_a_faulty_first_part_and_the_same_second_one_blocks_it_later")
{
  for (int crash = 0; crash < 3; ++crash) {
    CrashWithParts({ mFaultyPart, mOtherPart });
  }
  CHECK(!IsBlocked(mFaultyPart));
  for (std::uint64_t crash = 0; crash < 4; ++crash) {
    CrashWithParts({ mFaultyPart, run_trait(50 + crash) });
  }
  CHECK(IsBlocked(mFaultyPart));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_with_two_faulty_parts_blocks_both")
{
  for (int crash = 0; crash < 3; ++crash) {
    CrashWithParts({ mPopularPart, mFaultyPart });
    CrashWithParts({ mPopularPart, mOtherPart });
    mRecord.Cleared({ mPopularPart }, mNow);
  }
  CHECK(IsBlocked(mFaultyPart));
  CHECK(IsBlocked(mOtherPart));
  CHECK(!IsBlocked(mPopularPart));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_a_rack_that_ends_at_once_counts_one_crash_for_a_popular_part")
{
  mNow += std::chrono::seconds(1);
  for (int server = 0; server < 12; ++server) {
    CHECK(!CrashAt({ mPopularPart, mOtherPart }, server));
    mNow += std::chrono::milliseconds(5);
  }
  CHECK(!mRecord.IsSuspect({ mPopularPart }, mNow));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_crashes_in_close_succession_still_blocks_the_faulty_part")
{
  // Thirty requests a second, each of which crashes a server.
  int crashes = 0;
  while (!IsBlocked(mFaultyPart) && crashes < 100) {
    mNow += std::chrono::milliseconds(33);
    CrashAt({ mPopularPart, mFaultyPart }, ++crashes);
    mRecord.Cleared({ mPopularPart }, mNow);
  }
  CHECK(crashes <= 9);
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_of_one_request_sent_again_blocks_it_and_then_the_part_it_shares")
{
  const std::vector<run_trait> repeated{ mPopularPart, mFaultyPart, mFaulty };
  for (int crash = 0; crash < 3; ++crash) {
    mNow += std::chrono::milliseconds(200);
    mRecord.Crashed(Run(repeated, ++mLastServer), mNow);
    mRecord.Cleared({ mPopularPart }, mNow);
  }
  CHECK(IsBlocked(mFaulty));
  CHECK(!IsBlocked(mFaultyPart));
  CrashWithParts({ mPopularPart, mFaultyPart });
  CHECK(IsBlocked(mFaultyPart));
}

TEST_CASE_METHOD(crash_record_fixture,
                 "crash_record_with_an_innocent_part_blocked_by_mistake_frees_it_with_the_next_output")
{
  for (int crash = 0; crash < 3; ++crash) {
    CrashWithParts({ mPopularPart });
  }
  CHECK(IsBlocked(mPopularPart));
  mRecord.Cleared({ mPopularPart, mInnocent }, mNow);
  CHECK(!mRecord.Admit({ mPopularPart, mInnocent }, mNow));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_after_a_block_lets_one_run_at_a_time_try_and_blocks_for_longer")
{
  const std::vector<run_trait> request{ mFaultyPart, mInnocent };
  for (int crash = 0; crash < 3; ++crash) {
    CrashWithParts({ mFaultyPart });
  }
  mNow += kFirstBlockTime;
  mRecord.TimePassed(mNow);
  CHECK(!mRecord.Admit(request, mNow));
  CHECK(mRecord.Admit(request, mNow + kTrialInterval / 2));
  CHECK(mRecord.IsSuspect(request, mNow));
  // The part that comes after it in this run is no other explanation: it has crashed nothing before.
  const auto again = CrashWithParts({ mFaultyPart, mOtherPart });
  REQUIRE(again);
  CHECK(again->mTimeLeft >= kFirstBlockTime * 2);
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_told_of_a_block_by_another_gateway_refuses_and_tries_again_later")
{
  const trait_block block{ mFaultyPart, 3, kFirstBlockTime, mNow };
  CHECK(mRecord.Blocked(block, mNow) == block_verdict::Adopted);
  CHECK(mRecord.Blocked(block, mNow) == block_verdict::Known);
  CHECK(mRecord.Admit({ mFaultyPart, mInnocent }, mNow));
  // Hints repeated with the time that is left do not extend it.
  mRecord.Blocked({ mFaultyPart, 3, kFirstBlockTime / 2, mNow }, mNow + kFirstBlockTime / 2);
  mNow += kFirstBlockTime;
  mRecord.TimePassed(mNow);
  CHECK(!mRecord.Admit({ mFaultyPart, mInnocent }, mNow));
  CHECK(CrashWithParts({ mFaultyPart }));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_told_of_an_endless_block_bounds_it")
{
  mRecord.Blocked({ mInnocent, 3, std::chrono::hours(100'000), mNow }, mNow);
  mNow += kMaxBlockTime;
  mRecord.TimePassed(mNow);
  CHECK(!IsBlocked(mInnocent));
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_in_a_flood_of_parts_keeps_the_blocked_one_and_stays_bounded")
{
  for (int crash = 0; crash < 3; ++crash) {
    CrashWithParts({ mFaultyPart });
  }
  for (std::uint64_t part = 10'000; part < 10'000 + kMaxCrashRecords * 3; ++part) {
    CrashAt({ run_trait(part) }, static_cast<int>(part));
    mNow += std::chrono::milliseconds(1);
  }
  CHECK(IsBlocked(mFaultyPart));
}

TEST_CASE_METHOD(crash_record_fixture,
                 "crash_record_that_misses_reports_of_the_faulty_part_does_not_block_the_popular_one")
{
  // Harmless runs with the popular part were on all servers; two of three reports about the faulty one got lost.
  CrashWithParts({ mPopularPart, mFaultyPart });
  for (std::uint64_t crash = 0; crash < 2; ++crash) {
    CrashWithParts({ mPopularPart, run_trait(50 + crash) });
  }
  CHECK(!IsBlocked(mPopularPart));
}

TEST_CASE_METHOD(crash_record_fixture,
                 "crash_record_with_output_after_the_first_crash_contradicts_another_gateways_block")
{
  mRecord.Cleared({ mPopularPart }, mNow);
  const auto second = std::chrono::seconds(1);
  CHECK(mRecord.Blocked({ mPopularPart, 3, kFirstBlockTime, mNow - second }, mNow) == block_verdict::Contradicted);
  CHECK(!IsBlocked(mPopularPart));
  CHECK(mRecord.LastOutput(mPopularPart) == mNow);
  CHECK(mRecord.Blocked({ mPopularPart, 3, kFirstBlockTime, mNow + second }, mNow + second) == block_verdict::Adopted);
  // Output before the first crash shows nothing.
  CHECK(mRecord.Cleared({ mPopularPart }, mNow).empty());
  CHECK(mRecord.Cleared({ mPopularPart }, mNow + second * 2) == std::vector<run_trait>{ mPopularPart });
}

TEST_CASE_METHOD(crash_record_fixture, "crash_record_told_late_of_a_crash_before_the_last_output_does_not_count_it")
{
  for (int crash = 0; crash < 3; ++crash) {
    mRecord.Cleared({ mPopularPart }, mNow + std::chrono::seconds(1));
    CrashWithParts({ mPopularPart });
  }
  CHECK(!IsBlocked(mPopularPart));
}
