#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Forwards each event of a stream (text/event-stream) exactly once, in order and never in part, also when the stream
/// continues from another backend server. It guards callers against lost, duplicated or torn events when a backend
/// server fails in the middle of a stream.
namespace chervilpulley::policy {

/// Position of a caller in the events of one stream.
class event_cursor
{
public:
  /// Result of Append().
  enum class verdict
  {
    InOrder,
    Gap,      ///< an event is missing or has no id; the source is no longer usable
    TooLarge, ///< an event exceeds the maximum size without an end
  };

  /// @param aLast id of the last event that the caller already has.
  explicit event_cursor(std::optional<std::uint64_t> aLast)
    : mLast(aLast)
  {
  }

  /// Reads bytes of the source; appends the complete events that the caller does not have yet to aOut.
  verdict Append(std::string_view aBytes, std::string& aOut);
  /// Discards a partial event, because the stream continues from another source.
  void SourceChanged();
  /// Id of the last event that was forwarded or that the caller already had.
  std::optional<std::uint64_t> Last() const { return mLast; }
  /// Number of events forwarded.
  std::uint64_t Count() const { return mCount; }
  /// Whether the last bytes ended in the middle of an event.
  bool HasPartialEvent() const { return !mPartial.empty(); }
  std::size_t PartialBytes() const { return mPartial.size(); }
  /// Number of events forwarded from the current source.
  std::uint64_t CountFromSource() const { return mCountFromSource; }
  /// Whether the caller has all events of the current source, and none beyond them. A source without events is taken to
  /// have none after the caller's last.
  bool EndsWithSource() const { return !mSourceLast || mSourceLast == mLast; }

private:
  verdict AppendEvent(std::string_view aEvent, std::string& aOut);

  std::optional<std::uint64_t> mLast;
  std::optional<std::uint64_t> mSourceLast; ///< id of the last event of the current source, forwarded or not
  std::uint64_t mCount = 0;
  std::uint64_t mCountFromSource = 0;
  std::string mPartial;
};

} // namespace chervilpulley::policy
