#include "policy/stage_progress.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>
#include <vector>

using namespace chervilpulley;
using policy::attempt_key;
using policy::stage_action;
using policy::stage_progress;

namespace {

attempt_key Attempt(std::uint64_t aNumber)
{
  return { attempt_number(aNumber), aNumber * 7 };
}

struct stage_progress_fixture
{
  stage_progress_fixture()
  {
    mStage.Open(Attempt(1), token_position(0));
    mStage.Prefilled(token_position(0));
  }

  /// Runs a position and supplies its output.
  void RunPosition(std::uint64_t aPosition)
  {
    REQUIRE(mStage.OnInput(mStage.Current(), token_position(aPosition), aPosition) == stage_action::Run);
    mStage.OnOutput(token_position(aPosition), { "out", "", false, "" });
  }

  stage_progress mStage;
};

/// One event at a stage.
struct stage_event
{
  unsigned mKind = 0;
  unsigned mAttempt = 0;
  unsigned mPosition = 0;
};

/// Feeds events to a stage and records which positions its engine has run, to find those run twice, out of order or for
/// a fenced attempt.
class stage_model
{
public:
  void Feed(const stage_event& aEvent)
  {
    switch (aEvent.mKind) {
      case 0:
        Open(aEvent.mAttempt);
        break;
      case 1:
        Finish();
        break;
      default:
        Input(aEvent.mAttempt, aEvent.mPosition);
    }
  }

  bool mRanTwice = false;
  bool mRanOutOfOrder = false;
  bool mRanFenced = false;

private:
  void Open(unsigned aAttempt)
  {
    if (mStage.Open(Attempt(aAttempt), token_position(0)) && mStage.NeedsPrefill(token_position(0))) {
      mStage.Prefilled(token_position(0));
    }
    mNewest = std::max(mNewest, aAttempt);
  }

  void Input(unsigned aAttempt, unsigned aPosition)
  {
    if (mStage.OnInput(Attempt(aAttempt), token_position(aPosition), aPosition) != stage_action::Run) {
      return;
    }
    mRanFenced |= aAttempt < mNewest;
    mRanTwice |= !mRan.insert(aPosition).second;
    mRanOutOfOrder |= aPosition != mRan.size() - 1;
    mRunning = aPosition;
  }

  void Finish() { mStage.OnOutput(token_position(mRunning), { "out", "", false, "" }); }

  stage_progress mStage;
  std::set<unsigned> mRan;
  unsigned mRunning = 0;
  unsigned mNewest = 0;
};

std::vector<stage_event> AnyEvents()
{
  return *rc::gen::container<std::vector<stage_event>>(
    rc::gen::build<stage_event>(rc::gen::set(&stage_event::mKind, rc::gen::inRange(0U, 4U)),
                                rc::gen::set(&stage_event::mAttempt, rc::gen::inRange(1U, 4U)),
                                rc::gen::set(&stage_event::mPosition, rc::gen::inRange(0U, 5U))));
}

} // namespace

TEST_CASE("stage_progress_any_order_of_events_runs_each_position_once_and_in_order")
{
  const bool holds = rc::check([] {
    stage_model model;
    for (const stage_event& event : AnyEvents()) {
      model.Feed(event);
    }
    RC_ASSERT(!model.mRanTwice);
    RC_ASSERT(!model.mRanOutOfOrder);
    RC_ASSERT(!model.mRanFenced);
  });
  REQUIRE(holds);
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_retried_input_is_replayed")
{
  RunPosition(0);
  REQUIRE(mStage.OnInput(Attempt(1), token_position(0), 0) == stage_action::Replay);
  REQUIRE(mStage.FindOutput(token_position(0))->mData == "out");
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_input_of_older_attempt_is_fenced")
{
  mStage.Open(Attempt(2), token_position(0));
  REQUIRE(mStage.OnInput(Attempt(1), token_position(0), 0) == stage_action::Fenced);
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_same_attempt_opened_again_is_refused")
{
  REQUIRE_FALSE(mStage.Open(Attempt(1), token_position(0)));
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_position_ahead_is_a_gap")
{
  REQUIRE(mStage.OnInput(Attempt(1), token_position(1), 1) == stage_action::Gap);
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_position_after_another_token_runs_again_from_there")
{
  RunPosition(0);
  RunPosition(1);
  mStage.Open(Attempt(2), token_position(0));
  REQUIRE(mStage.OnInput(Attempt(2), token_position(0), 99) == stage_action::Run);
  mStage.OnOutput(token_position(0), { "other", "", false, "" });
  REQUIRE(mStage.FindOutput(token_position(1)) == nullptr);
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_output_of_run_begun_under_older_attempt_is_kept_for_newer")
{
  mStage.OnInput(Attempt(1), token_position(0), 0);
  mStage.Open(Attempt(2), token_position(0));
  REQUIRE_FALSE(mStage.OnOutput(token_position(0), { "out", "", false, "" }));
  REQUIRE(mStage.OnInput(Attempt(2), token_position(0), 0) == stage_action::Replay);
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_prefill_for_another_stage_keeps_own_outputs")
{
  RunPosition(0);
  mStage.Open(Attempt(2), token_position(0));
  mStage.Prefilled(token_position(0));
  REQUIRE(mStage.OnInput(Attempt(2), token_position(0), 0) == stage_action::Replay);
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_lost_state_needs_prefill")
{
  RunPosition(0);
  mStage.LoseState();
  REQUIRE(mStage.NeedsPrefill(token_position(0)));
  REQUIRE(mStage.OnInput(Attempt(1), token_position(1), 1) == stage_action::Gap);
}

TEST_CASE_METHOD(stage_progress_fixture, "stage_progress_delivered_positions_are_not_kept")
{
  RunPosition(0);
  RunPosition(1);
  mStage.Delivered(token_position(1));
  REQUIRE(mStage.OutputCount() == 1);
}
