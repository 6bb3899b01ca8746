#include "base/json_split.h"

#include <algorithm>
#include <string>

namespace chervilpulley {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

std::string_view Trim(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kWhitespace) + 1 - begin);
}

/// Position of the quote that ends the string which begins at aBegin; npos if it doesn't end.
std::size_t EndOfString(std::string_view aText, std::size_t aBegin)
{
  for (std::size_t position = aBegin + 1; position < aText.size(); ++position) {
    if (aText[position] == '\\') {
      ++position;
    } else if (aText[position] == '"') {
      return position;
    }
  }
  return std::string_view::npos;
}

/// Position of the comma or closing bracket after the part that begins at aBegin; npos if the part doesn't end, or its
/// brackets don't match.
std::size_t EndOfPart(std::string_view aText, std::size_t aBegin)
{
  std::string open; // the closing brackets that are still to come
  for (std::size_t position = aBegin; position < aText.size(); ++position) {
    const char character = aText[position];
    const bool isClosing = character == '}' || character == ']';
    if (open.empty() && (isClosing || character == ',')) {
      return position;
    }
    if (character == '"') {
      position = EndOfString(aText, position);
      if (position == std::string_view::npos) {
        return position;
      }
    } else if (character == '{' || character == '[') {
      open.push_back(character == '{' ? '}' : ']');
    } else if (isClosing) {
      if (open.back() != character) {
        return std::string_view::npos;
      }
      open.pop_back();
    }
  }
  return std::string_view::npos;
}

/// The parts between a pair of brackets, which enclose the whole text.
std::optional<std::vector<std::string_view>> SplitParts(std::string_view aText, char aOpening, char aClosing)
{
  const std::string_view text = Trim(aText);
  if (text.size() < 2 || text.front() != aOpening) {
    return std::nullopt;
  }
  std::vector<std::string_view> parts;
  std::size_t begin = 1;
  while (true) {
    const std::size_t end = EndOfPart(text, begin);
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    parts.push_back(Trim(text.substr(begin, end - begin)));
    if (text[end] != ',') {
      if (text[end] != aClosing || end + 1 != text.size()) {
        return std::nullopt;
      }
      break;
    }
    begin = end + 1;
  }
  if (parts.size() == 1 && parts.front().empty()) {
    parts.clear();
  }
  return parts;
}

} // namespace

std::optional<std::vector<std::string_view>> SplitArray(std::string_view aText)
{
  return SplitParts(aText, '[', ']');
}

std::optional<json_members> json_members::Split(std::string_view aText)
{
  const auto parts = SplitParts(aText, '{', '}');
  if (!parts) {
    return std::nullopt;
  }
  json_members object;
  for (const std::string_view part : *parts) {
    const std::size_t quote = part.empty() || part.front() != '"' ? std::string_view::npos : EndOfString(part, 0);
    const std::string_view rest = quote == std::string_view::npos ? "" : Trim(part.substr(quote + 1));
    if (rest.empty() || rest.front() != ':') {
      return std::nullopt;
    }
    object.mMembers.push_back({ part.substr(1, quote - 1), Trim(rest.substr(1)) });
  }
  return object;
}

std::string_view json_members::Find(std::string_view aName) const
{
  const auto found =
    std::find_if(mMembers.rbegin(), mMembers.rend(), [&](const member& aMember) { return aMember.mName == aName; });
  return found == mMembers.rend() ? std::string_view() : found->mValue;
}

} // namespace chervilpulley
