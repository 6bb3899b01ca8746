#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chervilpulley/ids.h"

/// Orders the work at one stage of a pipeline: each position runs once and in order, even when inputs arrive twice or
/// late after a retry or a failed connection.
namespace chervilpulley::policy {

/// Identifies an attempt of a request; ordered by number, then by the nonce of the entry that opened it.
struct attempt_key
{
  attempt_number mNumber;
  std::uint64_t mNonce = 0;
  auto operator<=>(const attempt_key&) const = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};

/// How a stage handles an input.
enum class stage_action
{
  Run,    ///< run it on the engine
  Replay, ///< respond with the stored output
  Wait,   ///< already running; its output is the response to this input too
  Fenced, ///< drop it: a newer attempt exists
  Gap     ///< neither the next position nor a stored one; the attempt cannot continue
};

/// Output of one position, stored until the caller has received the token.
struct stage_output
{
  std::string mData;    ///< input of the next stage; empty at the last stage
  std::string mToken;   ///< generated token; set by the last stage only
  bool mIsLast = false; ///< the output of the model ends with this token
  std::string mFinishReason;
};

/// Tracks the progress of one request at one stage: its current attempt, the extent of its KV cache and the stored
/// outputs.
class stage_progress
{
public:
  /// Opens an attempt whose first position is aStart. Returns false if this attempt or a newer one was opened before.
  bool Open(attempt_key aAttempt, token_position aStart);
  attempt_key Current() const { return mCurrent; }
  bool IsCurrent(attempt_key aAttempt) const { return aAttempt == mCurrent; }

  /// Whether the KV cache must be filled before aStart can run here.
  bool NeedsPrefill(token_position aStart) const;
  /// Records that the KV cache holds at least all positions below aStart; a longer KV cache stays as it is.
  void Prefilled(token_position aStart);
  /// Records that the KV cache is lost, because the engine ended or dropped it.
  void LoseState();

  /// Decides how to handle the input of a position.
  /// @param aDigest digest of the input; it distinguishes a retry from an input that follows a different token.
  stage_action OnInput(attempt_key aAttempt, token_position aPosition, std::uint64_t aDigest);
  /// Stores the engine's output of a position. Returns whether the current attempt has requested it.
  bool OnOutput(token_position aPosition, stage_output aOutput);
  /// Records that the engine failed to run the position.
  void OnFailure();
  /// Stored output of a position; null if there is none.
  const stage_output* FindOutput(token_position aPosition) const;
  /// Discards the outputs of positions below aNext, which the caller has received.
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
  token_position mEnd; ///< end of the KV cache: it holds all positions below this one
  std::map<token_position, stored_output> mOutputs;
  std::optional<token_position> mRunning;
  std::uint64_t mRunningDigest = 0;
  std::optional<token_position> mRequested; ///< latest position that the current attempt requested
};

} // namespace chervilpulley::policy
