#include "policy/event_cursor.h"

#include <charconv>

namespace chervilpulley::policy {

namespace {

/// Longest event; those of the users' platform have some hundred bytes.
constexpr std::size_t kMaxEventBytes = 1U << 20U;
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> IdOf(std::string_view aEvent)
{
  std::size_t line = 0;
  while (line < aEvent.size()) {
    std::size_t end = aEvent.find('\n', line);
    if (end == std::string_view::npos) {
      end = aEvent.size();
    }
    std::string_view text = aEvent.substr(line, end - line);
    if (text.starts_with(kIdField)) {
      text.remove_prefix(kIdField.size());
      while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const auto parsed = std::from_chars(text.data(), text.data() + text.size(), id);
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
  std::size_t taken = 0;
  verdict result = verdict::InOrder;
  while (result == verdict::InOrder) {
    const std::size_t end = aBytes.find(kEventEnd, taken);
    if (end == std::string_view::npos) {
      break;
    }
    result = AppendEvent(aBytes.substr(taken, end + kEventEnd.size() - taken), aOut);
    taken = end + kEventEnd.size();
  }
  mPartial = std::string(aBytes.substr(taken));
  return mPartial.size() > kMaxEventBytes ? verdict::TooLarge : result;
}

event_cursor::verdict event_cursor::AppendEvent(std::string_view aEvent, std::string& aOut)
{
  const auto id = IdOf(aEvent);
  if (!id) {
    return verdict::Gap;
  }
  if (mLast && *id <= *mLast) {
    return verdict::InOrder;
  }
  if (mLast && *id != *mLast + 1) {
    return verdict::Gap;
  }
  mLast = id;
  ++mCount;
  aOut.append(aEvent);
  return verdict::InOrder;
}

} // namespace chervilpulley::policy
