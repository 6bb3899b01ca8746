#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Streamed answers as a caller reads them.
namespace chervilpulley::cli {

/// One server-sent event.
struct sse_event
{
  std::string mId;
  std::string mData;
};

/// Splits pieces of a body into events, wherever the pieces are cut.
class sse_reader
{
public:
  /// Takes a piece; calls aSink for each event that it completes.
  void Handle(std::string_view aPiece, const std::function<void(const sse_event&)>& aSink);

private:
  void TakeLine(std::string_view aLine, const std::function<void(const sse_event&)>& aSink);

  std::string mRest; ///< a line that is not complete
  sse_event mEvent;
  bool mHasData = false;
};

/// First position that the caller does not have, as an event id says it ("request~position~..."); nothing when the id
/// has another form.
std::optional<std::uint64_t> NextPositionOf(std::string_view aEventId);

/// Checks one streamed answer, also over several connections.
class stream_checker
{
public:
  /// @param aRequestId id that every chunk must carry.
  stream_checker(std::string aRequestId, std::uint32_t aMaxTokens);

  /// Takes an event; tells whether it brought a token.
  bool Handle(const sse_event& aEvent);

  bool IsDone() const { return mIsDone; }
  /// The answer is whole: "[DONE]" came after a finish reason, and no token is missing.
  bool IsComplete() const;
  std::uint32_t Tokens() const { return mTokens; }
  const std::string& Text() const { return mText; }
  const std::string& LastEventId() const { return mLastEventId; }
  /// What an error event said; empty when there was none.
  const std::string& Error() const { return mError; }
  /// Tokens that came twice.
  std::uint32_t Duplicates() const { return mDuplicates; }
  /// The first thing that was out of order or of another request; empty when there was none.
  const std::string& Mismatch() const { return mMismatch; }

private:
  /// Tells whether a token's position was not there before; notes it.
  bool IsNew(const std::string& aEventId);
  bool TakeChunk(const sse_event& aEvent);

  const std::string mRequestId;
  const std::uint32_t mMaxTokens;
  std::uint32_t mTokens = 0;
  std::uint64_t mNext = 0; ///< position that is due
  std::uint32_t mDuplicates = 0;
  std::string mText;
  std::string mLastEventId;
  std::string mFinishReason;
  std::string mError;
  std::string mMismatch;
  bool mIsDone = false;
};

} // namespace chervilpulley::cli
