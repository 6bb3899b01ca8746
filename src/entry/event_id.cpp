#include "entry/event_id.h"

#include <charconv>
#include <vector>

#include "base/random.h"

namespace chervilpulley::entry {

namespace {

constexpr char kSeparator = '~';
constexpr std::size_t kParts = 5;
constexpr std::size_t kSignatureDigits = 32;

std::string Sign(std::string_view aText, std::string_view aKey)
{
  return HmacSha256Hex(aKey, aText).substr(0, kSignatureDigits);
}

std::vector<std::string_view> Split(std::string_view aText)
{
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = aText.find(kSeparator);
    parts.push_back(aText.substr(0, end));
    if (end == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(end + 1);
  }
}

} // namespace

std::string WriteEventId(const event_id& aId, std::string_view aKey)
{
  std::string text = aId.mRequest.Str() + kSeparator + std::to_string(aId.mNext.Value()) + kSeparator +
                     aId.mHead.Str() + kSeparator + aId.mWorkspace.Str();
  return text + kSeparator + Sign(text, aKey);
}

std::optional<event_id> ReadEventId(std::string_view aText, std::string_view aKey)
{
  const auto parts = Split(aText);
  if (parts.size() != kParts) {
    return std::nullopt;
  }
  const std::string_view signedText = aText.substr(0, aText.size() - parts.back().size() - 1);
  std::uint64_t next = 0;
  const auto number = std::from_chars(parts[1].data(), parts[1].data() + parts[1].size(), next);
  if (!EqualConstantTime(Sign(signedText, aKey), parts.back()) || number.ec != std::errc()) {
    return std::nullopt;
  }
  return event_id{ request_id(std::string(parts[0])),
                   token_position(next),
                   instance_id(std::string(parts[2])),
                   workspace_id(std::string(parts[3])) };
}

} // namespace chervilpulley::entry
