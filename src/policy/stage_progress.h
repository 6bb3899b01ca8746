#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chervilpulley/ids.h"

/// Order of work at one stage of a pipeline: every position runs once and in order, whatever is sent twice or late.
namespace chervilpulley::policy {

/// An attempt of a request, ordered by number, then by the nonce of the entry that opened it.
struct attempt_key
{
  attempt_number mNumber;
  std::uint64_t mNonce = 0;
  auto operator<=>(const attempt_key&) const = default; // NOLINT(modernize-use-nullptr): taken wrongly by clang-tidy 14
};

/// What a stage does with an input.
enum class stage_action
{
  Run,    ///< hand it to the engine
  Replay, ///< answer with the output that was kept
  Wait,   ///< it is running already; its output answers this input too
  Fenced, ///< a newer attempt exists; drop it
  Gap     ///< it is not the next position and was not kept; the attempt can't go on
};

/// Output of one position, kept until the caller has the token.
struct stage_output
{
  std::string mData;    ///< for the next stage; empty at the last one
  std::string mToken;   ///< of the last stage
  bool mIsLast = false; ///< the answer ends with this token
  std::string mFinishReason;
};

/// Progress of one request at one stage.
class stage_progress
{
public:
  /// Opens an attempt whose first position is aStart. False when a newer attempt, or this one, was opened before.
  bool Open(attempt_key aAttempt, token_position aStart);
  attempt_key Current() const { return mCurrent; }
  bool IsCurrent(attempt_key aAttempt) const { return aAttempt == mCurrent; }

  /// Whether the KV cache must be filled before aStart can run here.
  bool NeedsPrefill(token_position aStart) const;
  /// The KV cache now holds at least all positions below aStart; a longer one stays as it is.
  void Prefilled(token_position aStart);
  /// The KV cache is gone: the engine ended or dropped it.
  void LoseState();

  /// Decides on the input of a position.
  /// @param aDigest digest of the input, to tell a repeat from a position that follows another token.
  stage_action OnInput(attempt_key aAttempt, token_position aPosition, std::uint64_t aDigest);
  /// Takes the engine's output of a position. Returns whether the current attempt has asked for it.
  bool OnOutput(token_position aPosition, stage_output aOutput);
  /// The engine failed to run the position.
  void OnFailure();
  /// Output kept for a position; null when there is none.
  const stage_output* FindOutput(token_position aPosition) const;
  /// Drops outputs of positions below aNext.
  void Delivered(token_position aNext);
  bool IsRunning() const { return mRunning.has_value(); }
  std::size_t OutputCount() const { return mOutputs.size(); }

private:
  struct stored_output
  {
    std::uint64_t mDigest = 0;
    stage_output mOutput;
  };

  stage_action OnKnownPosition(token_position aPosition, std::uint64_t aDigest);
  void StartRun(token_position aPosition, std::uint64_t aDigest);

  attempt_key mCurrent;
  bool mHasState = false;
  token_position mEnd; ///< positions below it are in the KV cache
  std::map<token_position, stored_output> mOutputs;
  std::optional<token_position> mRunning;
  std::uint64_t mRunningDigest = 0;
  std::optional<token_position> mRequested; ///< highest position that the current attempt asked for
};

} // namespace chervilpulley::policy
