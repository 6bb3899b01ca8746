/// Fuzzes stage_progress with sequences of events and checks its invariants after each one.

#include <optional>

#include "fuzz/fuzz_target.h"
#include "policy/stage_progress.h"

using namespace chervilpulley;
using policy::attempt_key;
using policy::stage_action;

namespace {

attempt_key MakeAttempt(unsigned aNumber)
{
  return { attempt_number(aNumber), aNumber * 7ULL };
}

/// A stage with a simulated engine, which runs at most one position at a time and loses that run together with its
/// state.
class stage_harness
{
public:
  /// Handles one event. The bits of aEvent from the lowest: 2 for the kind, 2 for the attempt, 3 for the position.
  void HandleEvent(std::uint8_t aEvent, std::uint8_t aDigest)
  {
    const unsigned attempt = (aEvent >> 2U) & 3U;
    const token_position position((aEvent >> 4U) & 7U);
    switch (aEvent & 3U) {
      case 0:
        return Open(attempt, position);
      case 1:
        return Finish(aDigest);
      case 2:
        return LoseOrDeliver(aDigest);
      default:
        return Input(attempt, position, aDigest & 1U);
    }
  }

private:
  void Open(unsigned aAttempt, token_position aStart)
  {
    const bool isNewer = MakeAttempt(aAttempt) > mStage.Current();
    const bool isOpened = mStage.Open(MakeAttempt(aAttempt), aStart);
    fuzz::Require(isOpened == isNewer, "an attempt opens exactly if it is newer");
    if (isOpened && mStage.NeedsPrefill(aStart) && !mRunningPosition) {
      mStage.Prefilled(aStart);
      fuzz::Require(!mStage.NeedsPrefill(aStart), "a stage needs no prefill after a prefill");
    }
  }

  void Finish(std::uint8_t aDigest)
  {
    if (!mRunningPosition) {
      return;
    }
    const token_position position = *mRunningPosition;
    mRunningPosition.reset();
    if (aDigest % 8 == 0) {
      mStage.OnFailure();
      return;
    }
    mStage.OnOutput(position, { "out", "", false, "" });
    fuzz::Require(!mStage.IsRunning(), "an output ends the run");
    fuzz::Require(mStage.FindOutput(position) != nullptr, "an output is stored");
  }

  void LoseOrDeliver(std::uint8_t aDigest)
  {
    if (aDigest % 4 == 0) {
      mStage.LoseState();
      mRunningPosition.reset();
      fuzz::Require(mStage.OutputCount() == 0 && !mStage.IsRunning(),
                    "no output and no run is left after the state is lost");
      return;
    }
    mStage.Delivered(token_position(aDigest & 7U));
  }

  void Input(unsigned aAttempt, token_position aPosition, std::uint64_t aDigest)
  {
    const bool needsPrefill = mStage.NeedsPrefill(aPosition);
    const stage_action action = mStage.OnInput(MakeAttempt(aAttempt), aPosition, aDigest);
    fuzz::Require((action == stage_action::Fenced) == !mStage.IsCurrent(MakeAttempt(aAttempt)),
                  "old attempts are fenced");
    fuzz::Require(action != stage_action::Replay || mStage.FindOutput(aPosition) != nullptr,
                  "a replayed position has a stored output");
    fuzz::Require(action != stage_action::Wait || mRunningPosition == aPosition,
                  "an input only waits for the running position");
    if (action == stage_action::Run) {
      fuzz::Require(!mRunningPosition, "only one position runs at a time");
      fuzz::Require(!needsPrefill, "no position runs before the earlier ones are in the KV cache");
      mRunningPosition = aPosition;
    }
  }

  policy::stage_progress mStage;
  std::optional<token_position> mRunningPosition; ///< position that the engine runs
};

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  return { std::string("\x04\x01\x07\x01\x01\x01\x17\x01\x01\x01\x27\x01", 12),
           std::string("\x04\x01\x07\x01\x08\x01\x0b\x01\x01\x01\x1b\x01", 12),
           std::string("\x04\x01\x07\x01\x02\x04\x08\x01\x0b\x01\x01\x08", 12) };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  stage_harness harness;
  for (std::size_t i = 0; i + 1 < aSize; i += 2) {
    harness.HandleEvent(aData[i], aData[i + 1]);
  }
  return 0;
}
