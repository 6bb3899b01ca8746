#include "policy/event_cursor.h"

#include <charconv>

namespace chervilpulley::policy {

namespace {

/// Maximum size of an event; typical ones have a few hundred bytes.
constexpr std::size_t kMaxEventBytes = 1U << 20U;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> ParseId(std::string_view aEvent)
{
  std::size_t line = 0;
  while (line < aEvent.size()) {
    std::size_t end = aEvent.find('\n', line);
    if (end == std::string_view::npos) {
      end = aEvent.size();
    }
    std::string_view value = aEvent.substr(line, end - line);
    if (value.starts_with(kIdField)) {
      value.remove_prefix(kIdField.size());
      while (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
      return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
    }
    line = end + 1;
  }
  return std::nullopt;
}

} // namespace

event_cursor::verdict event_cursor::Append(std::string_view aBytes, std::string& aOut)
{
  if (!mPartial.empty()) {
    mPartial.append(aBytes);
    aBytes = mPartial;
  }
  std::size_t consumed = 0;
  verdict result = verdict::InOrder;
  while (result == verdict::InOrder) {
    const std::size_t end = aBytes.find(kEventEnd, consumed);
    if (end == std::string_view::npos) {
      break;
    }
    result = AppendEvent(aBytes.substr(consumed, end + kEventEnd.size() - consumed), aOut);
    consumed = end + kEventEnd.size();
  }
  mPartial = std::string(aBytes.substr(consumed));
  return mPartial.size() > kMaxEventBytes ? verdict::TooLarge : result;
}

void event_cursor::SourceChanged()
{
  mPartial.clear();
  mSourceLast.reset();
  mCountFromSource = 0;
}

event_cursor::verdict event_cursor::AppendEvent(std::string_view aEvent, std::string& aOut)
{
  const auto id = ParseId(aEvent);
  if (!id) {
    return verdict::Gap;
  }
  mSourceLast = id;
  if (mLast && *id <= *mLast) {
    return verdict::InOrder;
  }
  if (mLast && *id != *mLast + 1) {
    return verdict::Gap;
  }
  mLast = id;
  ++mCount;
  ++mCountFromSource;
  aOut.append(aEvent);
  return verdict::InOrder;
}

} // namespace chervilpulley::policy
