#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Hands on the events of a stream (text/event-stream) once each and in order, also where the stream goes on at another
/// backend server, and never a part of one.
namespace chervilpulley::policy {

class event_cursor
{
public:
  enum class verdict
  {
    InOrder,
    Gap,      ///< an event is missing, or has no id: the source can't be used any more
    TooLarge, ///< an event without an end
  };

  /// @param aLast id of the event that the caller has already.
  explicit event_cursor(std::optional<std::uint64_t> aLast)
    : mLast(aLast)
  {
  }

  /// Takes bytes of the source; appends the whole events that the caller does not have to aOut.
  verdict Append(std::string_view aBytes, std::string& aOut);
  /// The stream goes on from another source.
  void SourceChanged() { mPartial.clear(); }
  /// Id of the last event handed on, or that the caller had.
  std::optional<std::uint64_t> Last() const { return mLast; }
  /// Events handed on.
  std::uint64_t Count() const { return mCount; }
  /// True when the source has ended in the middle of an event.
  bool HasPartialEvent() const { return !mPartial.empty(); }

private:
  verdict AppendEvent(std::string_view aEvent, std::string& aOut);

  std::optional<std::uint64_t> mLast;
  std::uint64_t mCount = 0;
  std::string mPartial;
};

} // namespace chervilpulley::policy
