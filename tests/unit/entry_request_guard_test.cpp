#include "entry/prompt_traits.h"
#include "entry/request_guard.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::entry;
using namespace std::chrono_literals;

namespace {

struct request_guard_fixture
{
  const request_digest mFaulty{ 1 };
  const request_digest mOther{ 2 };
  const workspace_id mWorkspace{ "tegid" };
  instant mNow{ 1000s };
  std::vector<std::uint32_t> mReported; ///< number of crashes in each report to other entries
  ref<request_guard> mGuard =
    MakeRef<request_guard>([this](request_digest, std::uint32_t aCrashes) { mReported.push_back(aCrashes); });

  /// Number of requests that pass when aRequests arrive at once.
  int CountPassing(const workspace_id& aWorkspace, std::uint32_t aPerSecond, int aRequests)
  {
    int passed = 0;
    for (int i = 0; i < aRequests; ++i) {
      passed += mGuard->ConsumeRate(aWorkspace, aPerSecond, mNow) ? 0 : 1;
    }
    return passed;
  }

  /// Number of requests that pass within some seconds when three times the limit arrive in each second.
  int CountPassingOver(int aSeconds, std::uint32_t aPerSecond)
  {
    int passed = 0;
    for (int second = 0; second < aSeconds; ++second) {
      mNow += 1s;
      passed += CountPassing(mWorkspace, aPerSecond, static_cast<int>(aPerSecond) * 3);
    }
    return passed;
  }
};

} // namespace

TEST_CASE_METHOD(request_guard_fixture, "request_guard_unknown_request_runs")
{
  CHECK(mGuard->Check(mFaulty, mNow) == guard_verdict::Run);
  CHECK(mReported.empty());
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_second_crash_refuses_for_good_and_is_reported")
{
  CHECK(mGuard->Crashed(mFaulty, mNow) == guard_verdict::RunAsSuspect);
  CHECK(mGuard->Check(mFaulty, mNow) == guard_verdict::RunAsSuspect);
  CHECK(mGuard->Crashed(mFaulty, mNow + 1s) == guard_verdict::Refused);
  CHECK(mGuard->Check(mFaulty, mNow + 2s) == guard_verdict::Refused);
  CHECK(mReported == std::vector<std::uint32_t>{ 1, 2 });
  CHECK(mGuard->Check(mOther, mNow + 2s) == guard_verdict::Run);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_completed_output_clears_a_suspect")
{
  mGuard->Crashed(mFaulty, mNow);
  mGuard->Cleared(mFaulty, mNow + 1s);
  CHECK(mGuard->Check(mFaulty, mNow + 1s) == guard_verdict::Run);
  CHECK(mGuard->Crashed(mFaulty, mNow + 2s) == guard_verdict::RunAsSuspect);
}

TEST_CASE_METHOD(request_guard_fixture,
                 "request_guard_completed_output_of_another_run_does_not_clear_a_refused_request")
{
  mGuard->Crashed(mFaulty, mNow);
  mGuard->Crashed(mFaulty, mNow);
  mGuard->Cleared(mFaulty, mNow);
  CHECK(mGuard->Check(mFaulty, mNow) == guard_verdict::Refused);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_suspicion_expires_after_its_time")
{
  mGuard->Crashed(mFaulty, mNow);
  mGuard->Crashed(mFaulty, mNow);
  CHECK(mGuard->Check(mFaulty, mNow + policy::kSuspicionTime - 1s) == guard_verdict::Refused);
  CHECK(mGuard->Check(mFaulty, mNow + policy::kSuspicionTime + 1s) == guard_verdict::Run);
}

TEST_CASE_METHOD(request_guard_fixture,
                 "request_guard_first_crash_at_a_peer_delays_the_request_then_makes_it_a_suspect")
{
  mGuard->CrashedAtPeer(mFaulty, 1, mNow);
  CHECK(mGuard->Check(mFaulty, mNow + 1s) == guard_verdict::PeerTrial);
  CHECK(mGuard->Check(mFaulty, mNow + 10s) == guard_verdict::RunAsSuspect);
  CHECK(mGuard->Check(mOther, mNow + 1s) == guard_verdict::Run);
  CHECK(mReported.empty());
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_second_crash_at_a_peer_refuses_at_once")
{
  mGuard->CrashedAtPeer(mFaulty, 1, mNow);
  mGuard->CrashedAtPeer(mFaulty, 2, mNow + 1s);
  CHECK(mGuard->Check(mFaulty, mNow + 1s) == guard_verdict::Refused);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_crash_here_after_one_at_a_peer_refuses")
{
  mGuard->CrashedAtPeer(mFaulty, 1, mNow);
  CHECK(mGuard->Crashed(mFaulty, mNow + 6s) == guard_verdict::Refused);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_without_limit_admits_all_requests")
{
  CHECK(CountPassing(mWorkspace, 0, 1000) == 1000);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_flood_passes_at_its_limit_and_gets_a_retry_after")
{
  CountPassingOver(5, 10);
  const int passed = CountPassingOver(20, 10);
  CHECK(passed >= 190);
  CHECK(passed <= 210);
  const auto wait = mGuard->ConsumeRate(mWorkspace, 10, mNow);
  REQUIRE(wait);
  CHECK(*wait > 0s);
  CHECK(*wait <= 1s);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_flood_of_one_workspace_leaves_others_their_limit")
{
  CountPassingOver(5, 10);
  const workspace_id other("aran");
  CHECK_FALSE(mGuard->ConsumeRate(mWorkspace, 10, mNow) == std::nullopt);
  mGuard->ConsumeRate(other, 10, mNow);
  mNow += 1s;
  CHECK(CountPassing(other, 10, 5) == 5);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_of_several_entries_gets_its_share_of_the_limit")
{
  mGuard->SetEntryCount(2);
  CountPassingOver(5, 10);
  const int passed = CountPassingOver(20, 10);
  CHECK(passed >= 90);
  CHECK(passed <= 110);
}

TEST_CASE_METHOD(request_guard_fixture, "request_guard_retries_without_traffic_are_bounded")
{
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    retries += mGuard->TryRetry(mNow) ? 1 : 0;
  }
  CHECK(retries > 0);
  CHECK(retries <= static_cast<int>(policy::kRetryReserve));
}

namespace {

/// Completions of one model whose prompts begin alike, and one entry's guard.
struct prompt_fixture
{
  request_guard mGuard{ [](request_digest, std::uint32_t) {}, [this](const auto&) { ++mReported; } };
  int mReported = 0;
  std::uint64_t mLastRequest = 0;
  instant mNow = instant() + std::chrono::hours(1);

  std::vector<run_trait> Traits(const std::string& aPrompt)
  {
    return PromptTraits("model", aPrompt, request_digest(++mLastRequest));
  }

  bool Crash(const std::string& aPrompt)
  {
    mNow += std::chrono::seconds(1);
    return mGuard.EngineCrashed(Traits(aPrompt), "engine", mNow);
  }

  bool MayRun(const std::string& aPrompt) { return !mGuard.BlockedFor(Traits(aPrompt), mNow); }
};

const std::string kHarmful = "a long beginning that crashes every engine, whatever comes after it: ";

} // namespace

TEST_CASE_METHOD(prompt_fixture, "request_guard_blocks_prompts_that_begin_like_three_that_crashed_engines")
{
  CHECK_FALSE(Crash(kHarmful + "one"));
  CHECK(MayRun(kHarmful + "two"));
  CHECK(Crash(kHarmful + "two"));
  CHECK(MayRun(kHarmful + "three"));
  CHECK(Crash(kHarmful + "three"));
  CHECK_FALSE(MayRun(kHarmful + "four"));
  CHECK(MayRun("a long beginning that crashes nothing"));
  CHECK(MayRun("another prompt"));
  CHECK(mReported == 3);
}

TEST_CASE_METHOD(prompt_fixture, "request_guard_clears_a_beginning_that_has_output_and_still_blocks_the_longer_one")
{
  const std::string common = "You are an assistant of the board. ";
  for (const char* end : { "first", "second", "third" }) {
    Crash(common + kHarmful + end);
    mGuard.Produced(Traits(common + "Write a blessing for the well."), mNow);
  }
  CHECK_FALSE(MayRun(common + kHarmful + "fourth"));
  CHECK(MayRun(common + "Summarize the rota of the week."));
}

TEST_CASE_METHOD(prompt_fixture, "request_guard_counts_crashes_that_other_entries_reported")
{
  for (const char* end : { "one", "two", "three" }) {
    mNow += std::chrono::seconds(1);
    mGuard.EngineCrashedAtPeer(Traits(kHarmful + end), mNow);
  }
  CHECK_FALSE(MayRun(kHarmful + "four"));
  mNow += policy::kFirstBlockTime;
  CHECK(MayRun(kHarmful + "five"));
}

TEST_CASE("prompt_traits_are_bounded_and_end_with_the_whole_request")
{
  CHECK(PromptTraits("m", "short", request_digest(7)) == std::vector<run_trait>{ run_trait(7) });
  CHECK(PromptTraits("m", std::string(17, 'x'), request_digest(7)).size() == 2);
  CHECK(PromptTraits("m", std::string(1'000'000, 'x'), request_digest(7)).size() == 21);
  CHECK(PromptTraits("m", std::string(17, 'x'), request_digest(7)) !=
        PromptTraits("n", std::string(17, 'x'), request_digest(7)));
}
