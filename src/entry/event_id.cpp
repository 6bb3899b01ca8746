#include "entry/event_id.h"

#include <charconv>
#include <vector>

#include "base/random.h"

namespace chervilpulley::entry {

namespace {

constexpr char kSeparator = '~';
constexpr char kEscape = '%';
constexpr std::size_t kEscapeDigits = 2;
constexpr std::size_t kFieldCount = 5;
constexpr std::size_t kSignatureDigits = 32;

std::string Sign(std::string_view aText, std::string_view aKey)
{
  return HmacSha256Hex(aKey, aText).substr(0, kSignatureDigits);
}

std::vector<std::string_view> Split(std::string_view aText)
{
  std::vector<std::string_view> fields;
  while (true) {
    const auto end = aText.find(kSeparator);
    fields.push_back(aText.substr(0, end));
    if (end == std::string_view::npos) {
      return fields;
    }
    aText.remove_prefix(end + 1);
  }
}

/// Whether a byte of a name is written without escaping. An id must fit into one line of an event and into a request
/// header.
bool IsPlain(char aByte)
{
  return aByte > ' ' && aByte < '\x7f' && aByte != kSeparator && aByte != kEscape;
}

/// Escapes all other bytes of a name as the escape character and two hex digits.
std::string Escape(const std::string& aName)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char c : aName) {
    if (IsPlain(c)) {
      text += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    text += { kEscape, kDigits[byte >> 4U], kDigits[byte & 15U] };
  }
  return text;
}

template<class Number>
bool ReadNumber(std::string_view aText, Number& aNumber, int aBase)
{
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aNumber, aBase);
  return read.ec == std::errc() && read.ptr == end;
}

/// Reverses Escape(); nullopt if the text has an invalid escape or is empty.
std::optional<std::string> Unescape(std::string_view aText)
{
  std::string name;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] != kEscape) {
      name += aText[at];
      continue;
    }
    unsigned char byte = 0;
    if (aText.size() - at <= kEscapeDigits || !ReadNumber(aText.substr(at + 1, kEscapeDigits), byte, 16)) {
      return std::nullopt;
    }
    name += static_cast<char>(byte);
    at += kEscapeDigits;
  }
  return name.empty() ? std::nullopt : std::optional(name);
}

} // namespace

std::string WriteEventId(const event_id& aId, std::string_view aKey)
{
  std::string text = Escape(aId.mRequest.Str()) + kSeparator + std::to_string(aId.mNext.Value()) + kSeparator +
                     Escape(aId.mHead.Str()) + kSeparator + Escape(aId.mWorkspace.Str());
  return text + kSeparator + Sign(text, aKey);
}

std::optional<event_id> ReadEventId(std::string_view aText, std::string_view aKey)
{
  const auto fields = Split(aText);
  if (fields.size() != kFieldCount) {
    return std::nullopt;
  }
  const std::string_view signedText = aText.substr(0, aText.size() - fields.back().size() - 1);
  if (!EqualConstantTime(Sign(signedText, aKey), fields.back())) {
    return std::nullopt;
  }
  const auto request = Unescape(fields[0]);
  const auto head = Unescape(fields[2]);
  const auto workspace = Unescape(fields[3]);
  std::uint64_t next = 0;
  if (!request || !head || !workspace || !ReadNumber(fields[1], next, 10)) {
    return std::nullopt;
  }
  return event_id{ request_id(*request), token_position(next), instance_id(*head), workspace_id(*workspace) };
}

} // namespace chervilpulley::entry
