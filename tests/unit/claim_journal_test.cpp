#include "policy/claim_journal.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "unit/claim_model.h"

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr int kScripts = 3000;
constexpr int kScriptsForMutations = 30'000; ///< at most; the search ends at the first violation
constexpr std::size_t kScriptBytes = 600;

bool PassesChecks(model::mutation aMutation, int aScripts)
{
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = aScripts;
  params.disableShrinking = aMutation != model::mutation::None;
  const auto property = [=] {
    const auto script =
      *rc::gen::container<std::vector<std::uint8_t>>(kScriptBytes, rc::gen::arbitrary<std::uint8_t>());
    model::simulation simulation(aMutation);
    const bool passes = simulation.Run(script);
    if (!passes && aMutation == model::mutation::None) {
      RC_FAIL(simulation.Fault());
    }
    RC_ASSERT(!simulation.Fault().ends_with(model::kRanTwice));
  };
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  if (aMutation == model::mutation::None) {
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
  }
  return result.template is<rc::detail::SuccessResult>();
}

struct claim_journal_fixture
{
  claim_request MakeRequest(const std::string& aKey, std::uint64_t aId, std::uint64_t aBody = 1) const
  {
    const auto lifetime = *LifetimeOfKey(aKey, mNow, mRetention);
    return { claim_key(aKey), claim_id(aId), body_digest(aBody), lifetime };
  }

  /// Carries out steps until the journal is idle or waits.
  void Settle(claim_journal& aJournal)
  {
    for (auto step = aJournal.Next(mNow); IsWork(step); step = aJournal.Next(mNow)) {
      mSteps.push_back(step.mAction);
      aJournal.HandleReply(mStore.Apply(step), mNow);
    }
  }

  static bool IsWork(const journal_step& aStep)
  {
    return aStep.mAction != journal_action::Idle && aStep.mAction != journal_action::Wait;
  }

  claim_status Claim(claim_journal& aJournal, const claim_request& aRequest)
  {
    aJournal.Claim(aRequest);
    Settle(aJournal);
    mDecisions = aJournal.TakeDecisions();
    REQUIRE(mDecisions.size() == 1);
    return mDecisions[0].mStatus;
  }

  static journal::answer MakeResponse(const std::string& aBody)
  {
    journal::answer answer;
    answer.set_status(201);
    answer.set_body(aBody);
    return answer;
  }

  long Count(journal_action aAction) const { return std::count(mSteps.begin(), mSteps.end(), aAction); }

  calendar_time mNow{ std::chrono::hours(24 * 365 * 56) };
  std::chrono::milliseconds mRetention = std::chrono::hours(72);
  model::store mStore;
  claim_journal mFirst;
  claim_journal mSecond;
  std::vector<journal_action> mSteps;
  std::vector<claim_decision> mDecisions;
};

} // namespace

TEST_CASE("claim_journal_under_any_faults_runs_each_key_at_most_once")
{
  REQUIRE(PassesChecks(model::mutation::None, kScripts));
}

TEST_CASE("claim_journal_with_injected_mutation_is_caught_by_the_checker")
{
  const auto injected = GENERATE(model::mutation::ClaimWithoutResultIgnored,
                                 model::mutation::NoResultRunsAgain,
                                 model::mutation::ResultIgnored,
                                 model::mutation::LostResponseIsSuccess,
                                 model::mutation::ConflictIsSuccess,
                                 model::mutation::ReleasedAfterDispatch,
                                 model::mutation::DispatchedAfterPause,
                                 model::mutation::SealedSegmentsIgnored);
  CAPTURE(static_cast<int>(injected));
  REQUIRE_FALSE(PassesChecks(injected, kScriptsForMutations));
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_with_many_claims_batches_them_in_one_write")
{
  for (std::uint64_t i = 1; i <= 100; ++i) {
    mFirst.Claim(MakeRequest("key " + std::to_string(i), i));
  }
  Settle(mFirst);
  REQUIRE(mFirst.TakeDecisions().size() == 100);
  REQUIRE(mSteps == std::vector{ journal_action::ReadOpen, journal_action::CreateOpen });
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_retry_after_result_gets_the_first_response")
{
  const auto request = MakeRequest("key", 1);
  REQUIRE(Claim(mFirst, request) == claim_status::Won);
  mFirst.WriteResult(request, MakeResponse("booked"), mNow);
  Settle(mFirst);
  REQUIRE(Claim(mSecond, MakeRequest("key", 2)) == claim_status::HasResult);
  REQUIRE(mDecisions[0].mResponse->status() == 201);
  REQUIRE(mDecisions[0].mResponse->body() == "booked");
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_retry_without_result_gets_no_result_however_late")
{
  REQUIRE(Claim(mFirst, MakeRequest("key", 1)) == claim_status::Won);
  mNow += std::chrono::hours(71);
  REQUIRE(Claim(mSecond, MakeRequest("key", 2)) == claim_status::NoResult);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_key_with_another_body_is_refused")
{
  REQUIRE(Claim(mFirst, MakeRequest("key", 1, 1)) == claim_status::Won);
  REQUIRE(Claim(mSecond, MakeRequest("key", 2, 2)) == claim_status::KeyReused);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_released_claim_can_be_made_again")
{
  const auto request = MakeRequest("key", 1);
  REQUIRE(Claim(mFirst, request) == claim_status::Won);
  mFirst.Release(request, mNow);
  Settle(mFirst);
  REQUIRE(Claim(mSecond, MakeRequest("key", 2)) == claim_status::Won);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_lost_response_is_resolved_by_its_own_claim_id")
{
  mFirst.Claim(MakeRequest("key", 1));
  mFirst.HandleReply(mStore.Apply(mFirst.Next(mNow)), mNow);
  mStore.Apply(mFirst.Next(mNow));
  mFirst.HandleReply({ store_response::Unknown, {}, {} }, mNow);
  Settle(mFirst);
  REQUIRE(mFirst.TakeDecisions().at(0).mStatus == claim_status::Won);
  REQUIRE(Count(journal_action::UpdateOpen) == 0);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_claim_refused_while_uncertain_is_released_when_seen")
{
  mFirst.Claim(MakeRequest("key", 1));
  mFirst.HandleReply(mStore.Apply(mFirst.Next(mNow)), mNow);
  mStore.Apply(mFirst.Next(mNow));
  mFirst.HandleReply({ store_response::Unknown, {}, {} }, mNow);
  mFirst.Next(mNow);
  mFirst.HandleReply({ store_response::Unavailable, {}, {} }, mNow);
  REQUIRE(mFirst.TakeDecisions().at(0).mStatus == claim_status::Unavailable);
  mNow += kPlatformBackoff;
  Settle(mFirst);
  REQUIRE(Claim(mSecond, MakeRequest("key", 2)) == claim_status::Won);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_during_platform_backoff_refuses_without_a_call")
{
  mFirst.Claim(MakeRequest("key", 1));
  mFirst.Next(mNow);
  mFirst.HandleReply({ store_response::Unavailable, {}, {} }, mNow);
  REQUIRE(mFirst.TakeDecisions().at(0).mStatus == claim_status::Unavailable);
  REQUIRE(Claim(mFirst, MakeRequest("key", 2)) == claim_status::Unavailable);
  REQUIRE(mSteps.empty());
  mNow += kPlatformBackoff;
  REQUIRE(Claim(mFirst, MakeRequest("key", 3)) == claim_status::Won);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_key_older_than_retention_is_refused")
{
  const std::string key = "0199d0c4-8f00-7000-8000-000000000000";
  mNow = *TimeOfKey(key);
  const auto request = MakeRequest(key, 1);
  mNow += mRetention + std::chrono::milliseconds(1);
  REQUIRE(Claim(mFirst, request) == claim_status::TooOld);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_full_segments_are_sealed_and_dropped_when_expired")
{
  for (std::uint64_t i = 1; i <= 12'000; ++i) {
    mFirst.Claim(MakeRequest("key " + std::to_string(i), i));
    if (i % 500 == 0) {
      Settle(mFirst);
    }
  }
  REQUIRE(mFirst.TakeDecisions().size() == 12'000);
  REQUIRE(Count(journal_action::CreateSealed) > 2);
  REQUIRE(Claim(mSecond, MakeRequest("key 1", 20'000)) == claim_status::NoResult);
  mNow += mRetention + kClockMargin + std::chrono::seconds(2);
  REQUIRE(Claim(mSecond, MakeRequest("key 1", 20'001)) == claim_status::Won);
  REQUIRE(Count(journal_action::DeleteSealed) == Count(journal_action::CreateSealed));
  REQUIRE(Claim(mFirst, MakeRequest("key 2", 20'002)) == claim_status::Won);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_segment_sealed_by_another_process_is_not_written_again")
{
  constexpr std::uint64_t kClaims = 10'000;
  constexpr std::size_t kSlack = 8U << 10U;
  for (std::uint64_t i = 1; i <= kClaims; ++i) {
    claim_journal& journal = i % 200 < 100 ? mFirst : mSecond;
    journal.Claim(MakeRequest("key " + std::to_string(i), i));
    Settle(journal);
  }
  REQUIRE(mStore.LargestBody() < claim_limits().mSegmentBytes + kSlack);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_results_are_dropped_before_their_claims")
{
  for (std::uint64_t i = 1; i <= 40; ++i) {
    const auto request = MakeRequest("key " + std::to_string(i), i);
    REQUIRE(Claim(mFirst, request) == claim_status::Won);
    mFirst.WriteResult(request, MakeResponse(std::string(10'000, 'x')), mNow);
    Settle(mFirst);
  }
  REQUIRE(Claim(mFirst, MakeRequest("key 1", 100)) == claim_status::HasResult);
  mNow += kMaxResultRetention + kClockMargin + std::chrono::seconds(2);
  REQUIRE(Claim(mFirst, MakeRequest("another key", 101)) == claim_status::Won);
  REQUIRE(Count(journal_action::UpdateSealed) > 0);
  REQUIRE(Claim(mSecond, MakeRequest("key 1", 102)) == claim_status::NoResult);
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_response_over_the_limit_is_marked_and_not_stored")
{
  const auto request = MakeRequest("key", 1);
  REQUIRE(Claim(mFirst, request) == claim_status::Won);
  mFirst.WriteResult(request, MakeResponse(std::string(600U << 10U, 'x')), mNow);
  Settle(mFirst);
  REQUIRE(Claim(mSecond, MakeRequest("key", 2)) == claim_status::HasResult);
  REQUIRE(mDecisions[0].mResponse->too_large());
}

TEST_CASE_METHOD(claim_journal_fixture, "claim_journal_with_unreadable_segment_refuses_claims")
{
  mFirst.Claim(MakeRequest("key", 1));
  mFirst.Next(mNow);
  mFirst.HandleReply({ store_response::Ok, segment_version(1), "\xff not a segment" }, mNow);
  REQUIRE(mFirst.TakeDecisions().at(0).mStatus == claim_status::Unavailable);
}
