#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Parses streamed completions and checks that no token is missing, duplicated, out of order or of another request.
namespace chervilpulley::cli {

/// One server-sent event.
struct sse_event
{
  std::string mId;
  std::string mData;
};

/// Parses server-sent events from a body that arrives in pieces of any size.
class sse_reader
{
public:
  /// Parses a piece; calls aSink for each event that it completes.
  void Handle(std::string_view aPiece, const std::function<void(const sse_event&)>& aSink);

private:
  void HandleLine(std::string_view aLine, const std::function<void(const sse_event&)>& aSink);

  std::string mBuffer; ///< an incomplete line
  sse_event mEvent;
  bool mHasData = false;
};

/// Position of the token after this event, from an event id of the form "request~position~..."; nothing when the id has
/// another form.
std::optional<std::uint64_t> NextPositionOf(std::string_view aEventId);

/// Checks one streamed completion, also when it is resumed on other connections.
class stream_checker
{
public:
  /// @param aRequestId id that every chunk must carry.
  stream_checker(std::string aRequestId, std::uint32_t aMaxTokens);

  /// Checks an event; returns whether it added a token.
  bool Handle(const sse_event& aEvent);

  bool IsDone() const { return mIsDone; }
  /// Whether "[DONE]" arrived after a finish reason and without an error, and no token is missing.
  bool IsComplete() const;
  std::uint32_t Tokens() const { return mTokens; }
  const std::string& Text() const { return mText; }
  const std::string& LastEventId() const { return mLastEventId; }
  /// Message of an error event; empty when there was none.
  const std::string& Error() const { return mError; }
  /// Number of tokens received twice.
  std::uint32_t Duplicates() const { return mDuplicates; }
  /// Describes an event that was out of order, invalid or of another request; empty when there was none.
  const std::string& Mismatch() const { return mMismatch; }

private:
  /// Records the position of a token; returns false when it was received before.
  bool AcceptPosition(const std::string& aEventId);
  bool HandleChunk(const sse_event& aEvent);

  const std::string mRequestId;
  const std::uint32_t mMaxTokens;
  std::uint32_t mTokens = 0;
  std::uint64_t mNextPosition = 0; ///< position of the next token
  std::uint32_t mDuplicates = 0;
  std::string mText;
  std::string mLastEventId;
  std::string mFinishReason;
  std::string mError;
  std::string mMismatch;
  bool mIsDone = false;
};

} // namespace chervilpulley::cli
